// Part latencies by vertical: hedge delays, lost parts, the strain of the nodes, and the times of a query.
#pragma once

#include "policy/nodes.hpp"

namespace yoketurn::policy {

constexpr double kWindow = 10;      // part latencies are kept for so long
constexpr double kRounding = 5e-5;  // weights of a step add up to 1 but for this

// A part that is out.
struct Out {
  double sent;
  double time;  // usual_step of its query
  int node;
  auto operator<=>(const Out&) const = default;
};

struct VerticalState {
  explicit VerticalState(const Vertical& v);
  Vertical is;
  double delay;          // the hedge delay
  double lost = kNever;  // the age from which an unanswered part is lost, not slow
  double quick = 0;      // mean latency of the quicker half of its answers of late; 0: none
  SampleWindow latencies{kWindow};
  std::multiset<Out> waiting;  // its parts that are out
  double try_time = 0;         // what clients leave a query, near the longest
  SmoothedMean query_work{kAverageWeight};
  SampleWindow query_times{kWindow};
  SampleWindow strain{kStrainWindow};  // part latencies to usual_step
};

struct Verticals {
  explicit Verticals(const Settings& s);

  double margin;  // by which answers come before the client's time is up
  std::vector<VerticalState> all;
  SmoothedMean part_work{kAverageWeight};    // by the hints
  SmoothedMean query_parts{kAverageWeight};  // of a query
  double strain = 0;                         // part latency to the time that a step has
  double typical_out = 0;                    // parts out while that was measured

  VerticalState& of(const Query& q) { return all[static_cast<std::size_t>(q.vertical)]; }
  const Vertical& told(const Query& q) const { return all[static_cast<std::size_t>(q.vertical)].is; }
  double slo_end(const Query& q) const {
    return std::min(q.received_at + told(q).slo_time + told(q).slo_stretch * q.work_hint, q.deadline) -
           margin;
  }
  double last_end(const Query& q) const { return q.deadline - margin; }
  int steps(const Query& q) const { return told(q).second_step_parts > 0 ? 2 : 1; }
  double step_time(const Query& q) const { return std::max(slo_end(q) - q.received_at, margin) / steps(q); }
  // The time of a step where the client waits to the SLO time. Strain is measured against it: what the
  // hurried part of the clients leaves would make the nodes look strained to all others.
  double usual_step(const Query& q) const {
    return std::max(told(q).slo_time + told(q).slo_stretch * q.work_hint - margin, margin) / steps(q);
  }
  // A leaf call is given all the time in which its answer is worth something.
  double timeout(const Query& q, double now) const {
    return (told(q).late_utility > 0 ? last_end(q) : slo_end(q)) - now;
  }
  double copy_at(const Query& q, const Leaf& leaf) {
    return leaf.calls[0].sent_at + of(q).delay + excess(leaf);
  }
  double excess(const Leaf& leaf) const;
  double out(double now) const;
  void estimate(double now, double since, Nodes& nodes);
};
}  // namespace yoketurn::policy
