// The router: owns the connections and the queries in progress, and passes events from one to the other.
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
#include "discovery/node_numbers.hpp"
#include "discovery/watch.hpp"
#include "limits/memory_budget.hpp"
#include "logging/log.hpp"
#include "queries/answer_values.hpp"
#include "queries/queries.hpp"
#include "queries/unanswered_ids.hpp"
#include "router/config.hpp"
#include "router/shutdown.hpp"
#include "router/standstill.hpp"
#include "router/version_reporter.hpp"
#include "time/wall_deadline.hpp"
#include "timeline/recorder.hpp"
#include "timeline/segments.hpp"
#include "timeline/server.hpp"

namespace yoketurn {

class Router : private QueryActions,
               private ConnectionPool::Listener,
               private ClientListener::RequestHandler,
               private DiscoveryWatch::Listener {
 public:
  // starting: no data node is ready yet. draining: asked to stop; first serves its open connections as usual,
  // then closes each after the answer that is pending on it. stopped: every request is answered.
  enum class Phase { starting, serving, draining, stopped };

  Router(boost::asio::io_context& context, const Config& config, Log& log);
  ~Router();
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;
  // Identifies the program: its revision and a hash of its decision code. Call before start().
  void set_build(std::string_view revision, std::uint64_t decisions_hash);

  void start();
  void drain();
  void reload();  // reads the configuration again and applies what can change while the router runs
  Phase phase() const { return phase_; }
  const Recorder* recorder() const { return recorder_.get(); }  // nullptr: no timeline is kept
  std::optional<boost::asio::ip::tcp::endpoint> timeline_endpoint() const;
  std::size_t pending_calls() const { return pending_calls_; }  // without an outcome
  boost::asio::ip::tcp::endpoint client_endpoint() const { return clients_.endpoint(); }

 private:
  static constexpr int kNoSecondStep = std::numeric_limits<int>::max();  // as the index of its first part
  struct Part {
    std::string id;
    int shard = 0;
    double weight = 0;  // share of the answer
    bool answered = false;
    bool dropped = false;  // its value was received, but the answer has no room for it
  };
  // The state of a query that only the connections need.
  struct PendingQuery {
    explicit PendingQuery(MemoryBudget& budget) : memory(budget) {}

    int connection = 0;  // of the client
    int vertical = 0;
    double accepted_at = 0;
    int call_count = 0;
    bool awaits_answer = true;  // the client has no answer yet and is still connected
    std::string id;
    std::string key;  // idempotency key; empty: the query isn't deduplicated
    std::shared_ptr<const std::string> text;
    std::vector<Part> parts;
    int second_step_begin = kNoSecondStep;  // parts from this index on belong to the second step
    std::string second_step_options;        // sent with these parts: what came of the first step
    AnswerValues values{kMaxResultBytes};
    MemoryBudget::Share memory;
  };
  struct Counters {
    // disconnected: queries whose client disconnected first.
    long long accepted = 0, merged = 0, rejected = 0, aborted = 0, disconnected = 0, bad_requests = 0;
  };
  struct CallResult {
    CallResult(const CallRef& call, Outcome call_outcome, double call_score, MemoryBudget& budget)
        : ref(call), outcome(call_outcome), score(call_score), memory(budget) {}

    CallRef ref;
    Outcome outcome;
    double score;
    std::string value;
    MemoryBudget::Share memory;  // of the value
    bool value_lost = false;     // there was no memory for it
  };

  void send(long long query, const Send& send, int call) override;
  void cancel(long long query, const Cancel& cancel) override;
  void merge(long long query, bool whole) override;
  void reject(long long query, double stay_away, const Explanation& why) override;
  void abort(long long query, const Explanation& why) override;
  void release(long long query) override;
  void on_call_ended(int vertical, const Call& call) override;

  void call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) override;
  void connection_opened(int node, double took) override;
  void connection_closed(int node, Closing closing) override;
  void load_requested(int node) override;
  void load_reported(int node, std::string_view report, double asked) override;
  void connection_limit_reached() override;
  void ingress_event(What what, std::uint8_t why, int connection, std::uint32_t address, double a,
                     double b) override;
  void request_received(int connection, const ClientConnection::Request& request,
                        double received_at) override;
  void client_disconnected(int connection) override;
  void list_received(const MemberList& list) override;
  double started_at(const Member& member);
  void watch_lost() override;
  void watch_data_received() override;
  void stale_list_received(const MemberList& list) override;
  void list_unusable() override;
  void release_node_numbers();

  // Applies the operators' settings. Throws if that isn't possible; nothing has changed then.
  void apply_operators(const OperatorSettings& operators);
  void record_known_nodes(double at);
  void record_loop_events(double at);
  void update_sites();
  void update_version_reporter(double at);
  bool reload_operators();  // false: the file could not be used and the previous settings stay

  void accept_query(int connection, QueryRequest request, double received_at);
  void start_second_step(long long query, double at);
  int store_value(PendingQuery& query, CallResult& result);
  void drop_value(long long query, int leaf);
  void release_query(long long query);
  void remember_unanswered(const PendingQuery& query);
  static std::size_t bookkeeping_bytes(const PendingQuery& query);
  void send_answer(long long query, int status, std::string_view body, double retry_after = 0);
  void schedule_turn();
  void run_turn();
  void process_turn(double at);
  bool must_read_first(double at);
  void arm_timer();
  void set_timer(double next);
  void tick();
  void await_signal();
  void enter_phase(Phase phase);
  void advance_shutdown(double at);
  void log_counters(double at);
  void log_memory();
  void log_client_left(long long query);
  void log_outcome(std::string_view end, long long query, const Explanation& why);

  boost::asio::io_context& context_;
  Log& log_;
  Config config_;
  QuerySchema query_schema_;
  NameIndex zones_;
  double unix_at_zero_;  // Unix time at the zero of the monotonic clock
  WallDeadline evacuated_until_;
  Phase phase_ = Phase::starting;
  Shutdown shutdown_;
  bool turn_scheduled_ = false;
  bool in_turn_ = false;
  double next_tick_at_ = 0;
  double timer_at_ = 0;  // when timer_ expires; 0: it is not set
  StandstillDetector standstill_;
  long long last_query_number_ = -1;
  int open_count_ = 0;   // queries and parts in progress
  MemoryBudget memory_;  // of all that is held for clients and nodes
  std::unordered_map<long long, PendingQuery> pending_queries_;
  std::unordered_map<int, long long> query_by_connection_;
  std::unordered_set<std::string> open_ids_;  // of the queries that await an answer
  UnansweredIds unanswered_ids_;
  std::deque<CallResult> call_results_;        // since the last turn
  std::vector<long long> merged_first_steps_;  // queries whose second step starts this turn
  NodeAges node_ages_;
  NodeNumbers node_numbers_;
  Counters counters_;
  double next_counters_log_at_ = 0;
  std::size_t pending_calls_ = 0;

  VersionReporter version_reporter_;
  boost::asio::ip::tcp::endpoint current_discovery_;  // an order may name another one than the configuration
  std::vector<bool> nodes_in_lost_sites_;             // by node number
  double next_full_list_request_at_ = 0;              // earliest, after a list with a lower count
  double next_version_events_at_ = 0;                 // for the timeline

  std::unique_ptr<Recorder> recorder_;
  std::unique_ptr<Segments> segments_;
  MemberTable members_;
  double next_load_request_at_ = 0;
  long long last_unjudged_ = 0, last_lost_lines_ = 0;
  int last_segment_failures_ = 0;

  // Destroyed first: their destructors report to the members above.
  TimerQueue timers_;
  Queries queries_;
  ConnectionPool pool_;
  ClientListener clients_;
  DiscoveryWatch watch_;
  std::unique_ptr<TimelineServer> server_;
  boost::asio::steady_timer tick_timer_, timer_;
  boost::asio::signal_set signals_;
};

}  // namespace yoketurn
