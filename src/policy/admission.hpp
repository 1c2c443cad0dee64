// Admission control: which queries are refused before any part is sent.
#pragma once

#include <random>

#include "policy/verticals.hpp"

namespace yoketurn::policy {

struct TokenBucket {
  double tokens_per_second = 0;  // this router's share of the customer's quota
  double tokens = 0;
  double refilled_at = 0;
};

struct Admission {
  Admission(const Settings& settings, double now);

  std::vector<TokenBucket> customer_buckets;
  double over_quota_utility;
  bool utility_by_work;
  double refusal_start_load;  // predicted load (part latency / time of a step) from which queries are refused
  SmoothedMean mean_utility_density{kMeanSampleWeight};  // utility per unit of work, over all queries

  // Sets back the receive time of a query that waited while the router stood still. standstill: how long, in
  // seconds.
  static void adjust_received_at(Query& query, VerticalState& vertical, double standstill, double now);
  // The share of its utility that a query can be expected to earn in its time.
  static double expected_utility_share(const Query& query, Verticals& verticals, double now);
  // Whether enough parts of the query have a reachable replica to be merged. If not, the work of the others
  // would be wasted.
  static bool enough_parts_reachable(const Query& query, const Verticals& verticals, Nodes& nodes,
                                     double now);
  // Refuses queries at random when the nodes are overloaded, the less utility for its work the more likely.
  // Reason::none: the query is admitted.
  Explanation decide_refusal(const Query& query, Verticals& verticals, Nodes& nodes,
                             std::ranlux24_base& random, double now);
};
}  // namespace yoketurn::policy
