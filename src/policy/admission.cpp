#include "policy/admission.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kStrainFrom = 0.5;    // part latency to the time a step has above which queries are refused
constexpr double kStrainRange = 0.35;  // and by how much above that the most are
constexpr double kAtOnce = 0.15;       // by which that starts later where a refused client is back at once
constexpr double kMostRefused = 0.99;
constexpr double kHopeWeight = 0.5;  // queries that are taken for answered in time before any are known
constexpr double kHopeless = 0.3;    // prospect below which queries are refused without strain
constexpr double kRetryAge = 0.7;    // tries' times taken to have passed before a marked retry
}  // namespace

Admission::Admission(const Settings& s, double now)
    : over_share(s.over_quota_utility),
      utility_by_work(s.utility_by_work),
      strain_from(s.max_retry_after > 0 ? kStrainFrom : kStrainFrom + kAtOnce) {
  for (const auto& c : s.customers)
    customers.push_back({c.quota / s.router_count, c.quota / s.router_count, now});
}

// The share of its utility that a query can be expected to earn in its time, by how long others of late took.
double Admission::prospect(const Query& q, Verticals& verticals, double now) {
  auto& v = verticals.of(q);
  auto times = v.query_times.recent(now);
  // The SLO time runs from the client's first try, of which a later one tells nothing but that it was.
  const auto used = q.client_retry ? kRetryAge * (q.deadline - q.received_at) : 0;
  const auto in_time = probability_within(times, verticals.slo_end(q) - used - now);
  const auto late = std::max(0.0, probability_within(times, verticals.last_end(q) - now) - in_time);
  const auto many = static_cast<double>(times.size());
  return (many * (in_time + v.is.late_utility * late) + kHopeWeight) / (many + kHopeWeight);
}

bool Admission::within_reach(const Query& q, const Verticals& verticals, Nodes& nodes, double now) {
  double reach = 0;
  for (const auto& leaf : q.leaves)
    if (nodes.any_holder(leaf, [&](int i) { return nodes.within_reach(nodes.at(i), now); }))
      reach += leaf.weight;
  return reach >= verticals.told(q).min_merge_share - kRounding;
}

// A query that waited while the router stood still was asked earlier, by what its client leaves it less.
void Admission::date(Query& q, VerticalState& v, double standstill, double now) {
  const auto left = q.deadline - now;
  if (standstill > 0) {
    q.received_at = now - std::clamp(v.try_time - left, 0.0, standstill);
  } else if (!q.client_retry) {
    v.try_time = std::max(left, v.try_time + kAverageWeight * (left - v.try_time));
  }
}

Explanation Admission::refuse(const Query& q, Verticals& verticals, Nodes& nodes, std::ranlux24_base& chance,
                              double now) {
  auto& v = verticals.of(q);
  const auto& part_work = verticals.part_work;
  double work = q.work_hint;
  if (work <= 0) work = (part_work > 0 ? part_work : 1.0) * static_cast<double>(q.leaves.size());
  v.query_work.add(work);
  verticals.query_parts.add(static_cast<double>(q.leaves.size()));
  auto density = v.is.utility / (utility_by_work ? v.query_work : work);
  if (q.customer != kNone) {
    auto& bucket = customers[static_cast<std::size_t>(q.customer)];
    bucket.level = std::min(bucket.level + (now - bucket.filled) * bucket.rate, bucket.rate);
    bucket.filled = now;
    if (bucket.level < 1) density *= over_share;
    if (bucket.level >= 1) --bucket.level;
  }
  // A query with hardly a chance in its time sinks work for nothing, and its client asks again.
  const auto reached = within_reach(q, verticals, nodes, now);
  const auto hope = reached ? prospect(q, verticals, now) : 0;
  density *= hope;
  mean_density.add(density);
  // By Little's law latency grows with what is out. Answers tell of queries sent before a burst, and let it
  // in.
  const auto parts = static_cast<double>(q.leaves.size());
  const auto usual = std::max({verticals.typical_out, parts, nodes.up});  // a part for each node is no load
  const auto foretold = verticals.strain * std::max(1.0, (verticals.out(now) + parts) / usual) *
                        verticals.usual_step(q) / verticals.step_time(q);
  const auto refused = std::clamp((foretold - strain_from) / kStrainRange, 0.0, kMostRefused);
  const auto share = std::max(std::min(refused * mean_density / std::max(density, 1e-9), kMostRefused),
                              1 - hope / kHopeless);
  const auto refuses = std::uniform_real_distribution<>(0, 1)(chance) < share;
  const auto reason = !refuses                        ? Reason::none
                      : !reached                      ? Reason::too_few_reachable
                      : 1 - hope / kHopeless >= share ? Reason::unlikely_in_time
                                                      : Reason::overloaded;
  return explain(reason, foretold, hope, share);
}
}  // namespace yoketurn::policy
