// The state of each vertical: part latencies, hedge delays, the load estimate and the deadlines of a query.
#pragma once

#include "policy/nodes.hpp"

namespace yoketurn::policy {

constexpr double kLatencyWindowSeconds = 10;
constexpr double kWeightRounding = 5e-5;  // by which the weights of a step may miss 1 when added up

struct PendingPart {
  double sent_at;
  double step_time;  // usual_step_time() of its query
  int node;
  auto operator<=>(const PendingPart&) const = default;
};

struct VerticalState {
  explicit VerticalState(const Vertical& vertical);
  Vertical settings;
  double hedge_delay;          // age from which an unanswered part is copied
  double lost_after = kNever;  // age from which an unanswered part counts as lost, not slow
  double quick_latency = 0;    // mean latency of the quicker half of the recent answers; 0: none
  SampleWindow part_latencies{kLatencyWindowSeconds};
  std::multiset<PendingPart> pending_parts;
  double client_time_limit = 0;  // time that clients leave a query, near the longest
  SmoothedMean mean_query_work{kMeanSampleWeight};
  SampleWindow query_durations{kLatencyWindowSeconds};
  SampleWindow load_samples{kLoadWindowSeconds};  // part latencies as multiples of usual_step_time()
};

struct Verticals {
  explicit Verticals(const Settings& settings);

  double end_margin;  // by which answers are sent before the client's deadline
  std::vector<VerticalState> all;
  SmoothedMean mean_part_work{kMeanSampleWeight};  // by the hints
  SmoothedMean mean_query_parts{kMeanSampleWeight};
  double load_estimate = 0;    // recent part latency as a multiple of the time that a step has
  double typical_pending = 0;  // mean of recent_pending() over about the load window

  VerticalState& state_of(const Query& query) { return all[static_cast<std::size_t>(query.vertical)]; }
  const Vertical& settings_of(const Query& query) const {
    return all[static_cast<std::size_t>(query.vertical)].settings;
  }
  double slo_deadline(const Query& query) const {
    return std::min(query.received_at + settings_of(query).slo_time +
                        settings_of(query).slo_stretch * query.work_hint,
                    query.deadline) -
           end_margin;
  }
  double final_deadline(const Query& query) const { return query.deadline - end_margin; }
  int step_count(const Query& query) const { return settings_of(query).second_step_parts > 0 ? 2 : 1; }
  double step_time(const Query& query) const {
    return std::max(slo_deadline(query) - query.received_at, end_margin) / step_count(query);
  }
  // The time a step has if the client waits until the SLO time. Load is measured against it: measured against
  // the time that clients in a hurry leave, the nodes would look overloaded to all other clients too.
  double usual_step_time(const Query& query) const {
    return std::max(
               settings_of(query).slo_time + settings_of(query).slo_stretch * query.work_hint - end_margin,
               end_margin) /
           step_count(query);
  }
  // A call has all the time in which its answer still has utility.
  double call_timeout(const Query& query, double now) const {
    return (settings_of(query).late_utility > 0 ? final_deadline(query) : slo_deadline(query)) - now;
  }
  double copy_at(const Query& query, const Leaf& leaf) {
    return leaf.calls[0].sent_at + state_of(query).hedge_delay + excess_work(leaf);
  }
  // Seconds that a part should take longer than an average one, by its work hint.
  double excess_work(const Leaf& leaf) const;
  // Pending parts that were sent within the load window.
  double recent_pending(double now) const;
  // Updates hedge delays, lost_after and the load estimate. last_tick_at: time of the last update.
  void update_estimates(double now, double last_tick_at, Nodes& nodes);
};
}  // namespace yoketurn::policy
