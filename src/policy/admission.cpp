#include "policy/admission.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kRefusalStartLoad = 0.5;   // predicted load above which queries are refused
constexpr double kRefusalLoadRange = 0.35;  // above that, until the refusal probability has its maximum
constexpr double kNoRetryAfterSlack =
    0.15;  // refusal starts later by this where refused clients retry at once
constexpr double kMaxRefusalChance = 0.99;
constexpr double kPriorSuccesses = 0.5;      // queries counted as answered in time before any are known
constexpr double kMinExpectedUtility = 0.3;  // share below which queries are refused at any load
// Share of a try's time that is assumed to have passed before a query marked as a retry.
constexpr double kRetryElapsedShare = 0.7;
}  // namespace

Admission::Admission(const Settings& settings, double now)
    : over_quota_utility(settings.over_quota_utility),
      utility_by_work(settings.utility_by_work),
      refusal_start_load(settings.max_retry_after > 0 ? kRefusalStartLoad
                                                      : kRefusalStartLoad + kNoRetryAfterSlack) {
  for (const auto& customer : settings.customers)
    customer_buckets.push_back(
        {customer.quota / settings.router_count, customer.quota / settings.router_count, now});
}

// Estimated from the durations of recent queries.
double Admission::expected_utility_share(const Query& query, Verticals& verticals, double now) {
  auto& vertical = verticals.state_of(query);
  auto durations = vertical.query_durations.recent(now);
  // The SLO time runs from the client's first try. Of that a retry only says that there was one.
  const auto elapsed = query.client_retry ? kRetryElapsedShare * (query.deadline - query.received_at) : 0;
  const auto in_time = probability_within(durations, verticals.slo_deadline(query) - elapsed - now);
  const auto late =
      std::max(0.0, probability_within(durations, verticals.final_deadline(query) - now) - in_time);
  const auto count = static_cast<double>(durations.size());
  return (count * (in_time + vertical.settings.late_utility * late) + kPriorSuccesses) /
         (count + kPriorSuccesses);
}

bool Admission::enough_parts_reachable(const Query& query, const Verticals& verticals, Nodes& nodes,
                                       double now) {
  double reachable = 0;
  for (const auto& leaf : query.leaves)
    if (nodes.any_replica(leaf, [&](int i) { return nodes.is_reachable(nodes.at(i), now); }))
      reachable += leaf.weight;
  return reachable >= verticals.settings_of(query).min_merge_share - kWeightRounding;
}

// While the router stood still the query's time passed: the less time it has left compared with other queries
// of its vertical, the earlier it was sent.
void Admission::adjust_received_at(Query& query, VerticalState& vertical, double standstill, double now) {
  const auto left = query.deadline - now;
  if (standstill > 0) {
    query.received_at = now - std::clamp(vertical.client_time_limit - left, 0.0, standstill);
  } else if (!query.client_retry) {
    vertical.client_time_limit =
        std::max(left, vertical.client_time_limit + kMeanSampleWeight * (left - vertical.client_time_limit));
  }
}

Explanation Admission::decide_refusal(const Query& query, Verticals& verticals, Nodes& nodes,
                                      std::ranlux24_base& random, double now) {
  auto& vertical = verticals.state_of(query);
  const auto& mean_part_work = verticals.mean_part_work;
  double work = query.work_hint;
  if (work <= 0)
    work = (mean_part_work > 0 ? mean_part_work : 1.0) * static_cast<double>(query.leaves.size());
  vertical.mean_query_work.add(work);
  verticals.mean_query_parts.add(static_cast<double>(query.leaves.size()));
  auto density = vertical.settings.utility / (utility_by_work ? vertical.mean_query_work : work);
  if (query.customer != kNone) {
    auto& bucket = customer_buckets[static_cast<std::size_t>(query.customer)];
    bucket.tokens = std::min(bucket.tokens + (now - bucket.refilled_at) * bucket.tokens_per_second,
                             bucket.tokens_per_second);
    bucket.refilled_at = now;
    if (bucket.tokens < 1) density *= over_quota_utility;
    if (bucket.tokens >= 1) --bucket.tokens;
  }
  // A query that is unlikely to be answered in its time wastes work, and its client sends it again.
  const auto reachable = enough_parts_reachable(query, verticals, nodes, now);
  const auto expected_utility = reachable ? expected_utility_share(query, verticals, now) : 0;
  density *= expected_utility;
  mean_utility_density.add(density);
  // By Little's law latency grows with the number of pending parts. Answers only show the load of queries
  // sent before a burst: by them alone the burst would be admitted.
  const auto parts = static_cast<double>(query.leaves.size());
  const auto usual_pending =
      std::max({verticals.typical_pending, parts, nodes.nodes_up});  // a part for each node is no load
  const auto predicted_load = verticals.load_estimate *
                              std::max(1.0, (verticals.recent_pending(now) + parts) / usual_pending) *
                              verticals.usual_step_time(query) / verticals.step_time(query);
  const auto base_chance =
      std::clamp((predicted_load - refusal_start_load) / kRefusalLoadRange, 0.0, kMaxRefusalChance);
  const auto refusal_chance =
      std::max(std::min(base_chance * mean_utility_density / std::max(density, 1e-9), kMaxRefusalChance),
               1 - expected_utility / kMinExpectedUtility);
  const auto refuse = std::uniform_real_distribution<>(0, 1)(random) < refusal_chance;
  const auto reason = !refuse      ? Reason::none
                      : !reachable ? Reason::too_few_reachable
                      : 1 - expected_utility / kMinExpectedUtility >= refusal_chance
                          ? Reason::unlikely_in_time
                          : Reason::overloaded;
  return explain(reason, predicted_load, expected_utility, refusal_chance);
}
}  // namespace yoketurn::policy
