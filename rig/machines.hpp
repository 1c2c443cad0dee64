// Stand-in data nodes: cores, a queue, service times, a cold start, falling over, effects by key; and the
// ways by which each router reaches each of them, where the faults are put. Built on the project's one set of
// stand-ins.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "days/day.hpp"
#include "days/record.hpp"
#include "examples/standin.hpp"

namespace yoketurn::rig {

using namespace days;

void after(boost::asio::io_context& context, double seconds, std::function<void()> then);

// What a part needs to be done: when it may still begin, and who is told how it ended.
struct Work {
  std::string id;  // the part's, as the router sent it
  std::string query, key;
  int shard = 0, step = 1, router = 0;
  double until = 0;
  double sent = 0;  // when it came out of its router
  std::function<void(std::string_view end, int score)> done;
};

// The effects of keyed and unsafe parts over all nodes, as the services behind them would keep them.
class Effects {
 public:
  // By when its part was sent: a repeat that is sent within the window is one, however long it is on its way
  // or waits there.
  bool repeats(const std::string& key, int shard, double window, double sent);

 private:
  std::map<std::pair<std::string, int>, double> done_;
};

class Machine {
 public:
  using Note = std::function<void(Event)>;
  Machine(boost::asio::io_context& context, const Day& day, int number, Effects& effects,
          std::function<double()> clock, Note note);

  void arrive(Work work);
  void give_up(const std::string& id);
  void start(double born);  // a new process: empty, cold where it was born after the day began
  void die();
  void drain(bool drains) { draining_ = drains; }

  bool up() const { return up_; }
  bool draining() const { return draining_; }
  double born() const { return born_; }
  double capacity(double now) const;
  double most_pushed() const { return most_pushed_; }  // of what would make it fall over
  double slow = 1;

 private:
  void next();
  void begin(Work work);
  void push(double now);

  boost::asio::io_context& context_;
  const Day& day_;
  int number_;
  Effects& effects_;
  std::function<double()> clock_;
  Note note_;
  std::mt19937 chance_;
  bool up_ = true, draining_ = false;
  double born_ = 0;  // 0: long ago
  int life_ = 0;     // of the process: what an earlier one had in hand is gone
  int busy_ = 0;
  std::deque<Work> queue_;
  std::deque<double> arrivals_;
  double most_pushed_ = 0;
};

// What a way does to what passes it.
struct Way {
  bool to_node = true, from_node = true;  // carries
  bool refused = false;
  double delay = 0;  // each way
  double lost = 0;   // share of answers
  bool operator==(const Way&) const = default;
};

// One router's way to one machine: an address of its own, at which its frames come out.
class Port {
 public:
  Port(boost::asio::io_context& context, int router, Machine& machine, int number, unsigned seed,
       std::function<double()> clock, Machine::Note note);
  boost::asio::ip::tcp::endpoint at() const { return door_.at(); }
  void set(const Way& way);
  void reset();                                     // all connections
  int connections() const { return connections_; }  // that were made to it, in all

 private:
  struct Door : toy::DataNode {
    using toy::DataNode::DataNode;
    ~Door() override { stop(); }
    std::function<void(toy::Session&)> on_begin;

   protected:
    void began(toy::Session& session) override { on_begin(session); }
  };
  void came(const toy::DataNode::Part& part, const std::shared_ptr<toy::Session>& from);
  void deliver(const toy::DataNode::Part& part, const std::weak_ptr<toy::Session>& from, double sent);

  boost::asio::io_context& context_;
  int router_;
  Machine& machine_;
  int number_;
  std::mt19937 chance_;
  std::function<double()> clock_;
  Machine::Note note_;
  Way way_;
  int connections_ = 0;
  std::vector<std::function<void()>> held_;  // what came while the way carried nothing
  Door door_;
};

}  // namespace yoketurn::rig
