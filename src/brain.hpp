// The interface of the decision module: plain types and the class. All choices are made in src/policy.
// Times are seconds on one clock, ids small indices from 0, works seconds of node time.
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

inline constexpr int kNone = -1;
inline constexpr std::size_t kMaxTraceEntries = 512;
// For so long, in seconds, a router may be held up between reading its clock and writing. Times in which
// something may be sent end so much earlier.
inline constexpr double kMaxSendStallSeconds = 0.15;

enum class Effect { repeatable, deduplicated, side_effecting };

struct Vertical {
  double slo_time = 0;     // an answer within it earns the full utility
  double slo_stretch = 0;  // plus this multiple of the query's own work
  double utility = 1;
  double late_utility = 0;  // share of the utility after the SLO time
  Effect effect = Effect::repeatable;
  double dedup_window = 0;     // deduplicated: repeats are dropped for so long
  double min_merge_share = 1;  // share of the weight below which nothing may be merged
  double complete_share = 1;   // share of the weight that makes a whole answer
  double partial_utility = 0;
  int second_step_parts = 0;  // parts of the second step
};

struct Customer {
  double quota = 0;  // queries a second within its share, over all routers
};

struct Settings {
  std::vector<Vertical> verticals;
  std::vector<Customer> customers;
  int router_count = 1;
  int zone = kNone;
  double timer_resolution = 0;  // the least time between two rounds
  int max_calls = 1;
  bool may_copy = false;
  bool may_cancel = false;
  bool may_send_peer_reports = false;  // the other routers of the tier can be told of what was sent
  bool must_request_node_list = false;
  double max_retry_after = 0;
  double over_quota_utility = 1;  // utility of what goes over a customer's share
  bool utility_by_work = false;
  int max_parts_per_call = 1;
  int cell_count = 1;
  int cells_per_shard = 1;  // cells that hold a shard, from cell (shard mod cells) on
  double start_capacity = 1;
  double slow_start_time = 0;
  double overload_multiple = 1;
  double overload_time = 0;
  double retry_budget_window = 0;  // 0: no budget is stated
  double retry_budget_min = 0;
  double retry_budget_ratio = 0;
};

struct DiscoveredNode {
  int node = kNone;
  int zone = kNone;
  int cell = 0;
  bool up = true;         // false: draining or gone
  double started_at = 0;  // 0: long ago
};

enum class Outcome {
  pending,
  success,
  failure,
  overloaded,
  timed_out,
  unreachable,
  disconnected,
  malformed,  // the answer, or another on its connection, could not be read: the node lives, and may have run
              // it
  cancelled,
  unsent
};

struct Call {
  int node = kNone;
  int batch = kNone;  // calls of one group travel together
  double sent_at = 0;
  Outcome outcome = Outcome::pending;

  bool pending() const { return outcome == Outcome::pending; }
  bool may_have_run() const {
    return outcome != Outcome::overloaded && outcome != Outcome::unreachable && outcome != Outcome::unsent;
  }
};

struct Leaf {
  int shard = 0;
  double weight = 0;
  double work_hint = 0;  // hint; 0: unknown
  int step = 1;
  bool answered = false;  // its answer has arrived
  std::vector<Call> calls;

  bool any_pending() const { return std::any_of(calls.begin(), calls.end(), std::mem_fn(&Call::pending)); }
  // Calls that have left this router, or still may.
  std::ptrdiff_t attempts() const {
    return std::count_if(calls.begin(), calls.end(),
                         [](const Call& c) { return c.outcome != Outcome::unsent; });
  }
};

// Why a choice fell as it did. The three figures are named at each; times are seconds from now.
enum class Reason : std::uint8_t {
  none,
  // A part is sent: score of the chosen node, of the next best (infinite: there is none), the hedge delay.
  first_call,
  copy,           // late by the hedge delay
  resent_lost,    // its call is taken for lost
  resent_failed,  // each of its calls has ended
  // A call is cancelled: its age.
  race_lost,      // the part is in
  presumed_lost,  // it goes out again elsewhere
  // A part waits.
  within_hedge_delay,  // its call is out and not late: its age, the hedge delay
  copy_budget_spent,   // it is late, but a tenth of the parts were copied: copies, parts sent
  no_faster_node,      // the best other node would not answer soon enough: its score, the bound
  no_node_left,        // no node that holds it may be sent it now
  retry_delayed,       // only nodes that have failed it are left: until it goes out again
  max_calls_reached,   // it has had its most calls: their number
  retry_budget_spent,  // the budget of further calls: spent, most
  may_have_run,        // a further call could have its effect twice
  // A node is passed over.
  worse_score,    // its score, that of the best
  unavailable,    // draining or gone
  slow_start,     // parts it was sent, parts it may be sent
  suspect,        // its score without the suspicion, until when it is left alone, parts waiting there
  already_tried,  // the part has been there
  // A query ends.
  complete,           // share that is in
  partial,            // enough is in and nothing more is worth the wait: share that is in
  too_many_pending,   // too many in hand
  overloaded,         // foretold latency to the time of a step, prospect, chance of the refusal
  unlikely_in_time,   // the same
  too_few_reachable,  // the same: too few of its parts have a node to go to
  deadline_passed,    // share that is in
  share_unreachable,  // share that is in, share that may still come
  // A node is passed over for its site: the share that this gets, how long ago it was lost.
  site_avoided,
  router_refusing,  // a query ends: this router takes none, or few, for now
};

struct Query {
  int vertical = 0;
  int customer = kNone;
  double received_at = 0;
  double deadline = 0;
  double work_hint = 0;  // hint; 0: unknown
  bool client_retry = false;
  Reason forced_rejection = Reason::none;  // why it is not taken, whatever it is worth
  bool admitted = false;
  int step = 1;
  int parts_expected = 0;            // parts of this step that have not been named yet
  bool first_step_complete = false;  // the first step was merged whole
  bool ended = false;
  std::vector<Leaf> leaves;
};

struct Explanation {
  Reason reason = Reason::none;
  float a = 0, b = 0, c = 0;
};

constexpr Explanation explain(Reason reason, double a = 0, double b = 0, double c = 0) {
  return {reason, static_cast<float>(a), static_cast<float>(b), static_cast<float>(c)};
}

// A choice that names no message: a node that is passed over for a part, or a part that waits (no node).
struct DecisionTraceEntry {
  int leaf = 0;
  int node = kNone;
  int chosen_node = kNone;  // the node that was better
  Explanation explanation;
};

struct Send {
  int leaf = 0;
  int node = kNone;
  int batch = kNone;
  double timeout = 0;
  Explanation explanation;
  double max_send_delay =
      std::numeric_limits<double>::infinity();  // its first byte leaves within so long, or never
};

struct Cancel {
  int leaf = 0;
  int call = 0;
  Explanation explanation;
};

enum class QueryEnd { none, merge_complete, merge_partial, reject, abort };

// What to do for a query: cancels first, then the sends, then the end. Every named send counts as sent.
struct Decision {
  std::vector<Cancel> cancels;
  std::vector<Send> sends;
  QueryEnd query_end = QueryEnd::none;
  double retry_after = 0;
  Explanation explanation;  // of the end
};

// What routers tell each other: a part was sent to a node, or a call there has ended.
struct PeerReport {
  int node = kNone;
  double latency = 0;  // what is taken for the latency of the call that ended; 0: one was sent
};

// What a site (a zone of the list) may get, as src/sites believes.
struct SiteShare {
  bool lost = false;           // nothing, but for a trial
  bool probe_allowed = false;  // a part may be sent there to see
  double share = 1;            // of what its nodes would get by their scores
  double lost_at = 0;          // when it was lost: a process born later is not judged by that
};

// What is believed of a node.
enum class NodeHealth : std::uint8_t { unknown, healthy, slow_start, suspect, probing };

// What is asked of whoever decides; `Brain` is the module. Others stand in its place where designs are
// compared.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  // The three questions.
  virtual Decision route(Query& q, double now) = 0;
  virtual Decision on_call_ended(Query& q, int leaf, int call,
                                 double now) = 0;  // the outcome stands in the call
  virtual double time_to_next_check(const Query& q, double now) const = 0;

  virtual void on_requests_received(int requests, double now) = 0;  // so many queries and parts came in
  // told: discovery says so now; else it is what was known last, before the start.
  virtual void update_nodes(std::span<const DiscoveredNode> hosts, bool complete, bool told = true) = 0;
  virtual void remove_node(
      int node) = 0;  // gone, with nothing out there: the next of this number is unheard of
  virtual void on_node_list_failed(double now) = 0;
  virtual bool tick(double now) = 0;  // whether the list must be asked for
  virtual double tick_interval() const = 0;
  virtual std::vector<PeerReport>
  take_peer_reports() = 0;  // to all other routers: what there is to tell since the last call
  virtual void on_peer_report(PeerReport word, double now) = 0;
  virtual void set_site_shares(std::span<const SiteShare> sites) = 0;  // by zone; empty: all are sound

  // Has what is passed over and what waits noted from now on, at most kMostJudged an answer.
  virtual void enable_trace(bool on) = 0;
  virtual std::span<const DecisionTraceEntry> trace() const = 0;  // of the last answer
  virtual long long dropped_trace_entries() const = 0;  // choices there was no room to note, since the start
  virtual NodeHealth node_health(int node, double now) const = 0;
};

class AdaptiveRoutingPolicy final : public RoutingPolicy {
 public:
  AdaptiveRoutingPolicy(const Settings& settings, std::uint64_t seed, double now);
  ~AdaptiveRoutingPolicy() override;

  Decision route(Query& q, double now) override;
  Decision on_call_ended(Query& q, int leaf, int call, double now) override;
  double time_to_next_check(const Query& q, double now) const override;
  void on_requests_received(int requests, double now) override;
  void update_nodes(std::span<const DiscoveredNode> hosts, bool complete, bool told = true) override;
  void remove_node(int node) override;
  void on_node_list_failed(double now) override;
  bool tick(double now) override;
  double tick_interval() const override;
  std::vector<PeerReport> take_peer_reports() override;
  void on_peer_report(PeerReport word, double now) override;
  void set_site_shares(std::span<const SiteShare> sites) override;
  void enable_trace(bool on) override;
  std::span<const DecisionTraceEntry> trace() const override;
  long long dropped_trace_entries() const override;
  NodeHealth node_health(int node, double now) const override;

 private:
  struct State;
  std::unique_ptr<State> s_;
};

}  // namespace yoketurn
