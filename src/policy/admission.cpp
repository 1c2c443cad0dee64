#include "policy/admission.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kRefusalStartLoad =
    0.5;  // part latency to the time a step has above which queries are refused
constexpr double kRefusalLoadRange = 0.35;  // and by how much above that the most are
constexpr double kNoRetryAfterSlack =
    0.15;  // by which that starts later where a refused client is back at once
constexpr double kMaxRefusalChance = 0.99;
constexpr double kPriorSuccesses = 0.5;  // queries that are taken for answered in time before any are known
constexpr double kMinExpectedUtility = 0.3;  // prospect below which queries are refused without strain
constexpr double kRetryElapsedShare = 0.7;   // tries' times taken to have passed before a marked retry
}  // namespace

Admission::Admission(const Settings& s, double now)
    : over_quota_utility(s.over_quota_utility),
      utility_by_work(s.utility_by_work),
      refusal_start_load(s.max_retry_after > 0 ? kRefusalStartLoad : kRefusalStartLoad + kNoRetryAfterSlack) {
  for (const auto& c : s.customers)
    customer_buckets.push_back({c.quota / s.router_count, c.quota / s.router_count, now});
}

// The share of its utility that a query can be expected to earn in its time, by how long others of late took.
double Admission::expected_utility_share(const Query& q, Verticals& verticals, double now) {
  auto& v = verticals.state_of(q);
  auto times = v.query_durations.recent(now);
  // The SLO time runs from the client's first try, of which a later one tells nothing but that it was.
  const auto used = q.client_retry ? kRetryElapsedShare * (q.deadline - q.received_at) : 0;
  const auto in_time = probability_within(times, verticals.slo_deadline(q) - used - now);
  const auto late = std::max(0.0, probability_within(times, verticals.final_deadline(q) - now) - in_time);
  const auto many = static_cast<double>(times.size());
  return (many * (in_time + v.settings.late_utility * late) + kPriorSuccesses) / (many + kPriorSuccesses);
}

bool Admission::enough_parts_reachable(const Query& q, const Verticals& verticals, Nodes& nodes, double now) {
  double reach = 0;
  for (const auto& leaf : q.leaves)
    if (nodes.any_replica(leaf, [&](int i) { return nodes.is_reachable(nodes.at(i), now); }))
      reach += leaf.weight;
  return reach >= verticals.settings_of(q).min_merge_share - kWeightRounding;
}

// A query that waited while the router stood still was asked earlier, by what its client leaves it less.
void Admission::adjust_received_at(Query& q, VerticalState& v, double standstill, double now) {
  const auto left = q.deadline - now;
  if (standstill > 0) {
    q.received_at = now - std::clamp(v.client_time_limit - left, 0.0, standstill);
  } else if (!q.client_retry) {
    v.client_time_limit =
        std::max(left, v.client_time_limit + kMeanSampleWeight * (left - v.client_time_limit));
  }
}

Explanation Admission::decide_refusal(const Query& q, Verticals& verticals, Nodes& nodes,
                                      std::ranlux24_base& chance, double now) {
  auto& v = verticals.state_of(q);
  const auto& part_work = verticals.mean_part_work;
  double work = q.work_hint;
  if (work <= 0) work = (part_work > 0 ? part_work : 1.0) * static_cast<double>(q.leaves.size());
  v.mean_query_work.add(work);
  verticals.mean_query_parts.add(static_cast<double>(q.leaves.size()));
  auto density = v.settings.utility / (utility_by_work ? v.mean_query_work : work);
  if (q.customer != kNone) {
    auto& bucket = customer_buckets[static_cast<std::size_t>(q.customer)];
    bucket.tokens = std::min(bucket.tokens + (now - bucket.refilled_at) * bucket.tokens_per_second,
                             bucket.tokens_per_second);
    bucket.refilled_at = now;
    if (bucket.tokens < 1) density *= over_quota_utility;
    if (bucket.tokens >= 1) --bucket.tokens;
  }
  // A query with hardly a chance in its time sinks work for nothing, and its client asks again.
  const auto reached = enough_parts_reachable(q, verticals, nodes, now);
  const auto hope = reached ? expected_utility_share(q, verticals, now) : 0;
  density *= hope;
  mean_utility_density.add(density);
  // By Little's law latency grows with what is out. Answers tell of queries sent before a burst, and let it
  // in.
  const auto parts = static_cast<double>(q.leaves.size());
  const auto usual =
      std::max({verticals.typical_pending, parts, nodes.nodes_up});  // a part for each node is no load
  const auto foretold = verticals.load_estimate *
                        std::max(1.0, (verticals.recent_pending(now) + parts) / usual) *
                        verticals.usual_step_time(q) / verticals.step_time(q);
  const auto refused =
      std::clamp((foretold - refusal_start_load) / kRefusalLoadRange, 0.0, kMaxRefusalChance);
  const auto share =
      std::max(std::min(refused * mean_utility_density / std::max(density, 1e-9), kMaxRefusalChance),
               1 - hope / kMinExpectedUtility);
  const auto refuses = std::uniform_real_distribution<>(0, 1)(chance) < share;
  const auto reason = !refuses                                  ? Reason::none
                      : !reached                                ? Reason::too_few_reachable
                      : 1 - hope / kMinExpectedUtility >= share ? Reason::unlikely_in_time
                                                                : Reason::overloaded;
  return explain(reason, foretold, hope, share);
}
}  // namespace yoketurn::policy
