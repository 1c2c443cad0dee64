// Which queries are refused before work is sunk into them.
#pragma once

#include <random>

#include "policy/verticals.hpp"

namespace yoketurn::policy {

struct TokenBucket {
  double tokens_per_second = 0;  // this router's part of the customer's share
  double tokens = 0;
  double refilled_at = 0;
};

struct Admission {
  Admission(const Settings& s, double now);

  std::vector<TokenBucket> customer_buckets;
  double over_quota_utility;
  bool utility_by_work;
  double refusal_start_load;  // foretold part latency to the time of a step from which queries are refused
  SmoothedMean mean_utility_density{kMeanSampleWeight};  // utility for a unit of work, over all queries

  static void adjust_received_at(Query& q, VerticalState& v, double standstill, double now);
  static double expected_utility_share(const Query& q, Verticals& verticals, double now);
  // Whether enough of its parts have a replica that is not shunned. The others would do work for nothing.
  static bool enough_parts_reachable(const Query& q, const Verticals& verticals, Nodes& nodes, double now);
  // Refusal by chance under strain: the less utility for its work, the likelier. Reason::none: it is taken.
  Explanation decide_refusal(const Query& q, Verticals& verticals, Nodes& nodes, std::ranlux24_base& chance,
                             double now);
};
}  // namespace yoketurn::policy
