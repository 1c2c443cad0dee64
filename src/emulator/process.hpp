// A router's process: the real queries in hand and the module that decides (or another in its place), with
// the emulator's messages in place of sockets. It can be killed, told to end, stopped and started again.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "emulator/engine.hpp"
#include "emulator/flights.hpp"
#include "queries/queries.hpp"

namespace yoketurn::emulator {

// One try of a client's question, as a router gets it.
struct Request {
  long long id = 0, ask = 0;
  int vertical = 0;
  double left = 0;  // that the client still waits
  std::vector<int> shards;
  double work = 0;  // hint, of a part
};

class Process : private QueryActions {
 public:
  // What it does to the world.
  struct World {
    std::function<FlightRef(Process&, long long request, const Send&, int leaf, int call)> send;
    std::function<bool(FlightRef)> give_up;  // whether any byte of it had gone
    std::function<bool(FlightRef)> unsent;   // whether no byte of it has; it never will then
    std::function<void(Process&, long long request, int status, double retry_after, const Explanation&,
                       bool whole, const std::vector<int>& shards)>
        answer;
    std::function<void(Process&, const SiteHealthChange&)> believes;
    std::function<void(Process&, const Call&)> settled;
    // nullptr: the module does.
    std::function<std::unique_ptr<RoutingPolicy>(std::uint64_t seed)> decide;
  };
  Process(Engine& engine, const Settings& settings, int number, std::uint64_t seed, bool plan,
          const World& world);

  void start();  // takes a moment until it answers
  void kill();   // whatever it holds is gone
  void term();   // answers what it holds, and takes what still comes, until it is killed
  void stop();   // SIGSTOP
  void resume();
  bool alive() const { return queries_ != nullptr; }
  bool stopped() const { return stopped_; }
  bool healthy() const { return alive() && ready_ && !stopped_ && !ending_; }
  int number() const { return number_; }
  std::uint32_t life() const { return life_; }
  long long query_of(long long request) const { return by_request_.at(request); }
  // What its agent tells it, or the configuration of its start; nothing where discovery is silent.
  std::function<std::vector<DiscoveredNode>(bool known_last)> list;

  void ask(const Request& request);
  void gone(long long request);  // its client has left
  void ended(long long query, int leaf, int call, Outcome outcome);
  void told(std::vector<DiscoveredNode> hosts, bool complete);

  static constexpr double kZero = 1000;  // its clock when the day begins: a start at 0 is long ago

 private:
  struct Part {
    int leaf, call;
    FlightRef flight;
    TimerQueue::Key due, by;
  };
  struct Held {
    long long request = 0;
    std::vector<int> shards;
    std::vector<bool> in;
    std::vector<Part> out;
    bool answered = false;
  };
  struct News {
    long long query;
    int leaf, call;
    Outcome outcome;
  };

  void take(std::function<void()> what);  // now, or once it runs again
  void turn();
  void arm();
  void tick(int chain);
  double now() const { return engine_.now() + kZero; }
  void answer(long long query, int status, double retry_after, const Explanation& why, bool whole);
  void timed_out(long long query, int leaf, int call);
  void withdraw(long long query, int leaf, int call);
  bool drop(long long query, int leaf, int call, FlightRef& flight);

  void send(long long query, const Send& send, int call) override;
  void cancel(long long query, const Cancel& cancel) override;
  void merge(long long query, bool whole) override;
  void reject(long long query, double stay_away, const Explanation& why) override;
  void abort(long long query, const Explanation& why) override;
  void release(long long query) override;
  void on_call_ended(int vertical, const Call& call) override;

  Engine& engine_;
  const Settings& settings_;
  int number_;
  std::uint64_t seed_;
  bool plan_;
  const World& world_;
  TimerQueue due_;
  std::unique_ptr<Queries> queries_;
  std::uint32_t life_ = 0;
  bool ready_ = false, stopped_ = false, ending_ = false;
  double armed_ = -1;
  int ticks_ = 0;  // chains of ticks begun
  std::vector<std::function<void()>> inbox_;
  std::vector<News> news_;
  std::unordered_map<long long, Held> held_;             // by query
  std::unordered_map<long long, long long> by_request_;  // query
  long long last_ = 0;
  std::size_t parts_ = 0;  // in hand
};

}  // namespace yoketurn::emulator
