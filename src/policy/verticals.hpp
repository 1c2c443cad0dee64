// Part latencies by vertical: hedge delays, lost parts, the strain of the nodes, and the times of a query.
#pragma once

#include "policy/nodes.hpp"

namespace yoketurn::policy {

constexpr double kLatencyWindowSeconds = 10;  // part latencies are kept for so long
constexpr double kWeightRounding = 5e-5;      // weights of a step add up to 1 but for this

// A part that is out.
struct PendingPart {
  double sent_at;
  double step_time;  // usual_step of its query
  int node;
  auto operator<=>(const PendingPart&) const = default;
};

struct VerticalState {
  explicit VerticalState(const Vertical& v);
  Vertical settings;
  double hedge_delay;          // the hedge delay
  double lost_after = kNever;  // the age from which an unanswered part is lost, not slow
  double quick_latency = 0;    // mean latency of the quicker half of its answers of late; 0: none
  SampleWindow part_latencies{kLatencyWindowSeconds};
  std::multiset<PendingPart> pending_parts;  // its parts that are out
  double client_time_limit = 0;              // what clients leave a query, near the longest
  SmoothedMean mean_query_work{kMeanSampleWeight};
  SampleWindow query_durations{kLatencyWindowSeconds};
  SampleWindow load_samples{kLoadWindowSeconds};  // part latencies to usual_step
};

struct Verticals {
  explicit Verticals(const Settings& s);

  double end_margin;  // by which answers come before the client's time is up
  std::vector<VerticalState> all;
  SmoothedMean mean_part_work{kMeanSampleWeight};    // by the hints
  SmoothedMean mean_query_parts{kMeanSampleWeight};  // of a query
  double load_estimate = 0;                          // part latency to the time that a step has
  double typical_pending = 0;                        // parts out while that was measured

  VerticalState& state_of(const Query& q) { return all[static_cast<std::size_t>(q.vertical)]; }
  const Vertical& settings_of(const Query& q) const {
    return all[static_cast<std::size_t>(q.vertical)].settings;
  }
  double slo_deadline(const Query& q) const {
    return std::min(q.received_at + settings_of(q).slo_time + settings_of(q).slo_stretch * q.work_hint,
                    q.deadline) -
           end_margin;
  }
  double final_deadline(const Query& q) const { return q.deadline - end_margin; }
  int step_count(const Query& q) const { return settings_of(q).second_step_parts > 0 ? 2 : 1; }
  double step_time(const Query& q) const {
    return std::max(slo_deadline(q) - q.received_at, end_margin) / step_count(q);
  }
  // The time of a step where the client waits to the SLO time. Strain is measured against it: what the
  // hurried part of the clients leaves would make the nodes look strained to all others.
  double usual_step_time(const Query& q) const {
    return std::max(settings_of(q).slo_time + settings_of(q).slo_stretch * q.work_hint - end_margin,
                    end_margin) /
           step_count(q);
  }
  // A leaf call is given all the time in which its answer is worth something.
  double call_timeout(const Query& q, double now) const {
    return (settings_of(q).late_utility > 0 ? final_deadline(q) : slo_deadline(q)) - now;
  }
  double copy_at(const Query& q, const Leaf& leaf) {
    return leaf.calls[0].sent_at + state_of(q).hedge_delay + excess_work(leaf);
  }
  double excess_work(const Leaf& leaf) const;
  double recent_pending(double now) const;
  void update_estimates(double now, double since, Nodes& nodes);
};
}  // namespace yoketurn::policy
