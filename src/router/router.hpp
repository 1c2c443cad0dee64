// The router: owns the connections and the queries in hand, and carries what is read from one to the other.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "clients/listener.hpp"
#include "datanodes/pool.hpp"
#include "discovery/member_table.hpp"
#include "discovery/node_ages.hpp"
#include "discovery/watch.hpp"
#include "logging/log.hpp"
#include "queries/queries.hpp"
#include "router/config.hpp"
#include "router/shutdown.hpp"
#include "router/standing.hpp"
#include "router/standstill.hpp"
#include "time/wall_deadline.hpp"
#include "timeline/recorder.hpp"
#include "timeline/segments.hpp"
#include "timeline/server.hpp"

namespace yoketurn {

class Router : private QueryActions,
               private Pool::Listener,
               private Listener::Asker,
               private Watch::Listener {
 public:
  // starting: not yet a node to send to. serving. draining: told to stop; goes on answering on the
  // connections it has, then closes them and answers what it holds. stopped: owes nothing.
  enum class Phase { starting, serving, draining, stopped };

  Router(boost::asio::io_context& context, const Config& config, Log& log);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  void build(std::string_view revision, std::uint64_t decisions);  // of the program, before the start

  void start();
  void drain();
  void reload();  // reads its configuration again and follows what of it can change while it runs
  Phase phase() const { return phase_; }
  const Recorder* recorder() const { return recorder_.get(); }  // nullptr: no time line is kept
  std::optional<boost::asio::ip::tcp::endpoint> timeline_at() const;
  std::size_t calls_out() const { return calls_out_; }
  boost::asio::ip::tcp::endpoint at() const { return clients_.at(); }

 private:
  static constexpr int kFirstOnly = std::numeric_limits<int>::max();
  struct Part {
    std::string id;
    int shard = 0;
    bool in = false;
    std::string value;
  };
  // What of a query only the connections need.
  struct Held {
    int client = 0;
    int vertical = 0;
    double taken = 0;
    int calls = 0;
    bool open = true;  // its answer is owed
    std::string id;
    std::string key;
    std::shared_ptr<const std::string> text;
    std::vector<Part> parts;
    int second_from = kFirstOnly;  // parts from here on are of the second step
    std::string first_step;        // what these are told of the first
    std::size_t bytes = 0;         // of the values
  };
  struct Figures {
    long long taken = 0, merged = 0, rejected = 0, aborted = 0, left = 0, bad = 0;
  };
  struct News {
    CallRef ref;
    Outcome outcome;
    double score;
    std::string value;
  };

  void send(long long query, const Send& send, int call) override;
  void cancel(long long query, const Cancel& cancel) override;
  void merge(long long query, bool whole) override;
  void reject(long long query, double stay_away, const Explanation& why) override;
  void abort(long long query, const Explanation& why) override;
  void release(long long query) override;
  void on_call_ended(int vertical, const Call& call) override;

  void call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) override;
  void connected(int node, double took) override;
  void disconnected(int node, Closing closing) override;
  void load_asked(int node) override;
  void reported(int node, std::string_view report, double asked) override;
  void no_room() override;
  void door(What what, std::uint8_t why, int connection, std::uint32_t address, double a, double b) override;
  void asked(int connection, const ClientConnection::Request& request) override;
  void left(int connection) override;
  void listed(const MemberList& list) override;
  double born(const Member& member);
  void watch_lost() override;
  void watch_heard() override;
  void passed_over(const MemberList& list) override;
  void unusable() override;
  int number_of(const std::string& node);  // kNone: there is no room for it
  void let_go();

  void watch_over(const Operators& operators);  // throws if it can't; then all is as it was
  void begin_lines(double at);
  void observe(double at);
  void tell_sites();
  void tell_standing(double at);
  bool reload_operators();  // whether they were taken, where there are any

  void take(int connection, Ask ask);
  void take_second_step(long long query, double at);
  void keep(Held& held, int leaf, std::string value);
  void done_with(long long query);
  void answer(long long query, int status, std::string_view body, double retry_after = 0);
  void wake();
  void turn();
  void take_turn(double at);
  bool reads_first(double at);
  void arm();
  void due_after(double next);
  void tick();
  void await_signal();
  void enter(Phase phase);
  void wind_up(double at);
  void tell_figures(double at);
  void tell_of(std::string_view end, long long query, const Explanation& why);

  boost::asio::io_context& context_;
  Log& log_;
  Config config_;
  Asked asked_;
  Names zones_;
  double unix_at_zero_;
  WallDeadline evacuated_until_;
  Phase phase_ = Phase::starting;
  Shutdown shutdown_;
  bool woken_ = false;
  bool in_turn_ = false;
  double next_tick_ = 0;
  double armed_ = 0;
  Standstill still_;
  long long last_query_ = -1;
  int open_ = 0;  // queries and parts in hand
  std::unordered_map<long long, Held> held_;
  std::unordered_map<int, long long> by_client_;
  std::unordered_set<std::string> open_ids_;  // of the queries whose answer is owed
  std::deque<News> news_;
  std::vector<long long> merged_first_;
  NodeAges node_ages_;
  std::unordered_map<std::string, int> nodes_;
  std::unordered_map<std::string, int> leaving_;  // those of them that are gone
  std::vector<int> spare_;                        // numbers that nodes have had
  Figures figures_;
  double figures_at_ = 0;
  std::size_t calls_out_ = 0;  // without an outcome

  Standing standing_;
  boost::asio::ip::tcp::endpoint
      discovery_now_;         // that is followed: an order may name another than the configuration
  std::vector<bool> hidden_;  // nodes of sites that are held for lost
  double ask_again_at_ = 0;   // from when on a count that runs backwards is asked about again
  double versions_at_ = 0;    // when the time line is told them again

  std::unique_ptr<Recorder> recorder_;
  std::unique_ptr<Segments> segments_;
  MemberTable members_;
  double reports_at_ = 0;
  long long unjudged_ = 0, lines_lost_ = 0;
  int disk_failures_ = 0;

  // These tell of what they hold when they end, so all that is told of outlives them.
  TimerQueue due_;
  Queries queries_;
  Pool pool_;
  yoketurn::Listener clients_;
  Watch watch_;
  std::unique_ptr<TimelineServer> server_;
  boost::asio::steady_timer tick_timer_, due_timer_;
  boost::asio::signal_set signals_;
};

}  // namespace yoketurn
