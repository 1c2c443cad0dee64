// The interface of the routing policy: plain types, the abstract class RoutingPolicy and its implementation
// AdaptiveRoutingPolicy. All routing decisions are made in src/policy.
//
// Times are seconds on one monotonic clock, ids are small indices from 0, work is in seconds of node time.
// Enumerators that are written to the timeline have their written names in src/timeline/event.cpp.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <span>
#include <vector>

namespace yoketurn {

// An id that refers to nothing: no node, no zone, no customer, no list entry.
inline constexpr int kNone = -1;
inline constexpr std::size_t kMaxTraceEntries = 512;  // per decision
// How long a router may stall between reading its clock and writing. Periods in which something may be sent
// end earlier by this much.
inline constexpr double kMaxSendStallSeconds = 0.15;

// What a repeated execution of a part does.
// repeatable: nothing. deduplicated: nothing within Vertical::dedup_window. side_effecting: it takes effect
// twice.
enum class Effect { repeatable, deduplicated, side_effecting };

struct Vertical {
  double slo_time = 0;      // an answer within this time has the full utility
  double slo_stretch = 0;   // added to slo_time: this multiple of the query's work hint
  double utility = 1;       // of a complete answer within the SLO time
  double late_utility = 0;  // share of the utility after the SLO time
  Effect effect = Effect::repeatable;
  double dedup_window = 0;     // deduplicated only: for how long the nodes drop repeats of a part
  double min_merge_share = 1;  // share of the weight below which nothing may be merged
  double complete_share = 1;   // share of the weight that makes a complete answer
  double partial_utility = 0;  // utility of a partial answer, per share of the weight
  int second_step_parts = 0;   // parts of the second step; 0: queries have one step
};

struct Customer {
  double quota = 0;  // queries per second at full utility, over all routers
};

struct Settings {
  std::vector<Vertical> verticals;
  std::vector<Customer> customers;
  int router_count = 1;
  int zone = kNone;             // this router's zone
  double timer_resolution = 0;  // shortest time between two rounds of the caller's event loop
  int max_calls = 1;            // per part
  bool may_copy = false;
  bool may_cancel = false;
  bool may_send_peer_reports = false;   // the other routers of the tier can be sent PeerReports
  bool must_request_node_list = false;  // discovery answers requests only; else it pushes the list
  double max_retry_after = 0;           // longest wait a rejected client can be asked for; 0: it can't be
  double over_quota_utility = 1;        // factor on the utility of queries above their customer's quota
  // The utility of a query grows with its work: Vertical::utility is that of a query of mean work.
  bool utility_by_work = false;
  int max_parts_per_call = 1;
  int cell_count = 1;
  int cells_per_shard = 1;         // cells that hold a shard, from cell (shard mod cell_count) on
  double start_capacity = 1;       // share of its capacity that a node has when its process starts
  double slow_start_time = 0;      // until it has its full capacity
  double overload_multiple = 1;    // a node fails when it is sent this multiple of its capacity
  double overload_time = 0;        // for this long
  double retry_budget_window = 0;  // 0: further calls (copies and retries) are not limited
  double retry_budget_min = 0;     // further calls allowed in any window
  double retry_budget_ratio = 0;   // and in addition this share of the requests received in the window
};

// A node as the discovery service lists it.
struct DiscoveredNode {
  int node = kNone;
  int zone = kNone;
  int cell = 0;           // group of nodes that hold the same shards
  bool up = true;         // false: draining or removed
  double started_at = 0;  // start of its process; 0: long ago
};

// The state of a call, or how it ended.
enum class Outcome {
  pending,
  success,
  failure,
  overloaded,  // the node refused the call because it is full
  timed_out,
  unreachable,   // no connection could be opened
  disconnected,  // the connection broke while the call was pending
  malformed,  // this or another answer on the connection could not be parsed: the node may have run the call
  cancelled,
  unsent  // the call never left this router
};

// One attempt of a part at one node.
struct Call {
  int node = kNone;
  int batch = kNone;  // calls of one batch travel in one message
  double sent_at = 0;
  Outcome outcome = Outcome::pending;

  bool pending() const { return outcome == Outcome::pending; }
  bool may_have_run() const {
    return outcome != Outcome::overloaded && outcome != Outcome::unreachable && outcome != Outcome::unsent;
  }
};

// A part of a query: what it asks of one shard.
struct Leaf {
  int shard = 0;
  double weight = 0;     // share of the answer; the weights of a step add up to 1
  double work_hint = 0;  // 0: unknown
  int step = 1;
  bool answered = false;
  std::vector<Call> calls;
  // Its value was received, but the answer has no room for it: the part counts as not answered.
  bool dropped = false;

  bool awaits_answer() const { return !answered && !dropped; }
  bool any_pending() const { return std::any_of(calls.begin(), calls.end(), std::mem_fn(&Call::pending)); }
  // Calls that have left this router or still may.
  std::ptrdiff_t attempts() const {
    return std::count_if(calls.begin(), calls.end(),
                         [](const Call& c) { return c.outcome != Outcome::unsent; });
  }
};

// The reason of a decision. The comment of each names the figures a, b and c of its Explanation, in this
// order; times are in seconds, relative to now.
enum class Reason : std::uint8_t {
  none,
  // A part is sent. Figures: score of the chosen node, of the second best (infinite: none), hedge delay.
  first_call,
  copy,           // no answer within the hedge delay
  resent_lost,    // the pending call is presumed lost
  resent_failed,  // all calls so far have ended without an answer
  // A call is cancelled. Figure: its age.
  race_lost,      // another call of the part was answered first
  presumed_lost,  // the part is sent again to another node
  // A part waits.
  within_hedge_delay,  // its call is not late yet: age of the call, hedge delay
  copy_budget_spent,   // it is late, but the share of copies is used up: copies, parts sent
  no_faster_node,      // the best other node would not answer soon enough: its score, the bound
  no_node_left,        // no node with its shard may be sent it now
  retry_delayed,       // only nodes it has been to are left: time until the retry
  max_calls_reached,   // the maximum number of calls
  retry_budget_spent,  // further calls made, maximum
  may_have_run,        // another call could take effect twice
  // A node is passed over.
  worse_score,    // its score, score of the best node
  unavailable,    // draining or removed
  slow_start,     // work it was sent in the window, its limit
  suspect,        // its latency estimate, time until its next probe, parts pending there
  already_tried,  // the part has been sent there before
  // A query ends.
  complete,          // share answered
  partial,           // enough is answered and the rest isn't worth the wait: share answered
  too_many_pending,  // the router holds its maximum of queries
  overloaded,        // predicted latency over the time of a step, expected utility share, refusal probability
  unlikely_in_time,  // an answer in time is unlikely: the same figures
  too_few_reachable,  // too few of its parts have a node that can be sent them: the same figures
  deadline_passed,    // share answered
  share_unreachable,  // the required share can't be reached: share answered, share still possible
  // A node is passed over because its site is lost. Figure: time since the loss.
  site_avoided,
  router_refusing,  // a query ends: this router takes no queries, or few, for now
  // A query ends: the values of the required share don't fit into an answer. Figures: share that fits, share
  // still possible.
  answer_too_large,
};

struct Query {
  int vertical = 0;
  int customer = kNone;
  double received_at = 0;
  double deadline = 0;
  double work_hint = 0;                    // 0: unknown
  bool client_retry = false;               // the client has sent it before
  Reason forced_rejection = Reason::none;  // not none: it is rejected for this reason, whatever its utility
  bool admitted = false;
  int step = 1;
  int parts_expected = 0;            // parts of this step that have not been added yet
  bool first_step_complete = false;  // the first step was merged as a complete answer
  bool ended = false;
  std::vector<Leaf> leaves;
};

// Why a decision was made, with the figures that Reason names.
struct Explanation {
  Reason reason = Reason::none;
  float a = 0, b = 0, c = 0;
};

constexpr Explanation explain(Reason reason, double a = 0, double b = 0, double c = 0) {
  return {reason, static_cast<float>(a), static_cast<float>(b), static_cast<float>(c)};
}

// A choice that leads to no message: a node that is passed over for a part, or (node is kNone) a part that
// waits.
struct DecisionTraceEntry {
  int leaf = 0;
  int node = kNone;
  int chosen_node = kNone;  // the node that was preferred
  Explanation explanation;
};

struct Send {
  int leaf = 0;
  int node = kNone;
  int batch = kNone;
  double timeout = 0;
  Explanation explanation;
  // If the last byte of its frame has not left within this time, the call must not be sent.
  double max_send_delay = std::numeric_limits<double>::infinity();
};

struct Cancel {
  int leaf = 0;
  int call = 0;
  Explanation explanation;
};

// Whether and how a query ends. reject: nothing took effect, so that a retry is harmless. abort: it may have.
enum class QueryEnd { none, merge_complete, merge_partial, reject, abort };

// What to do for a query: first the cancels, then the sends, then the end. Every send listed counts as sent.
struct Decision {
  std::vector<Cancel> cancels;
  std::vector<Send> sends;
  QueryEnd query_end = QueryEnd::none;
  double retry_after = 0;   // reject, abort: how long the client is asked to wait
  Explanation explanation;  // of the end
};

// What routers report to each other: a part was sent to a node, or a call there has ended.
struct PeerReport {
  int node = kNone;
  double latency = 0;  // of the call that ended, as the node's score counts it; 0: a part was sent
};

// How much may be sent to a site (a zone of the node list), as src/sites determines it.
struct SiteShare {
  bool lost = false;           // nothing may be sent there but a probe
  bool probe_allowed = false;  // a lost site may be sent one part as a probe
  double share = 1;            // of what its nodes would be sent by their scores
  double lost_at = 0;          // processes that started later are not affected by the loss
};

// suspect: it is sent nothing until its next probe. probing: suspect, with a probe pending or due.
enum class NodeHealth : std::uint8_t { unknown, healthy, slow_start, suspect, probing };

// Decides where the parts of queries go and how queries end. AdaptiveRoutingPolicy is the one in use; other
// implementations are compared with it.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  // What to do for a query now.
  virtual Decision route(Query& query, double now) = 0;
  // A call has ended; its outcome is set in the call.
  virtual Decision on_call_ended(Query& query, int leaf, int call, double now) = 0;
  // Seconds until route() has to be called for the query again.
  virtual double time_to_next_check(const Query& query, double now) const = 0;

  // This many queries and parts were received.
  virtual void on_requests_received(int requests, double now) = 0;
  // complete: nodes that are not in the list are removed. from_discovery: false for the list that was kept
  // from before the start of the process.
  virtual void update_nodes(std::span<const DiscoveredNode> nodes, bool complete,
                            bool from_discovery = true) = 0;
  // The node is removed and no calls are pending there; its number may be given to another node.
  virtual void remove_node(int node) = 0;
  virtual void on_node_list_failed(double now) = 0;
  // Periodic work, every tick_interval(). Returns whether the node list has to be requested now.
  virtual bool tick(double now) = 0;
  virtual double tick_interval() const = 0;
  // The reports for all other routers since the last call.
  virtual std::vector<PeerReport> take_peer_reports() = 0;
  virtual void on_peer_report(PeerReport report, double now) = 0;
  virtual void set_site_shares(std::span<const SiteShare> sites) = 0;  // by zone; empty: no limits

  // Enables the trace of nodes passed over and parts that wait, kMaxTraceEntries at most per decision.
  virtual void enable_trace(bool on) = 0;
  virtual std::span<const DecisionTraceEntry> trace() const = 0;  // of the last decision
  virtual long long dropped_trace_entries() const = 0;            // for lack of room, since the start
  virtual NodeHealth node_health(int node, double now) const = 0;
};

// Sends parts by measured node latencies and pending parts, copies late parts to other nodes and refuses
// queries when the nodes are overloaded.
class AdaptiveRoutingPolicy final : public RoutingPolicy {
 public:
  AdaptiveRoutingPolicy(const Settings& settings, std::uint64_t seed, double now);
  ~AdaptiveRoutingPolicy() override;

  Decision route(Query& query, double now) override;
  Decision on_call_ended(Query& query, int leaf, int call, double now) override;
  double time_to_next_check(const Query& query, double now) const override;
  void on_requests_received(int requests, double now) override;
  void update_nodes(std::span<const DiscoveredNode> nodes, bool complete,
                    bool from_discovery = true) override;
  void remove_node(int node) override;
  void on_node_list_failed(double now) override;
  bool tick(double now) override;
  double tick_interval() const override;
  std::vector<PeerReport> take_peer_reports() override;
  void on_peer_report(PeerReport report, double now) override;
  void set_site_shares(std::span<const SiteShare> sites) override;
  void enable_trace(bool on) override;
  std::span<const DecisionTraceEntry> trace() const override;
  long long dropped_trace_entries() const override;
  NodeHealth node_health(int node, double now) const override;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace yoketurn
