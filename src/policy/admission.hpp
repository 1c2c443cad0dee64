// Which queries are refused before work is sunk into them.
#pragma once

#include <random>

#include "policy/verticals.hpp"

namespace yoketurn::policy {

struct Bucket {
  double rate = 0;  // this router's part of the customer's share
  double level = 0;
  double filled = 0;
};

struct Admission {
  Admission(const Settings& s, double now);

  std::vector<Bucket> customers;
  double over_share;
  bool utility_by_work;
  double strain_from;  // foretold part latency to the time of a step from which queries are refused
  SmoothedMean mean_density{kAverageWeight};  // utility for a unit of work, over all queries

  static void date(Query& q, VerticalState& v, double standstill, double now);
  static double prospect(const Query& q, Verticals& verticals, double now);
  // Whether enough of its parts have a replica that is not shunned. The others would do work for nothing.
  static bool within_reach(const Query& q, const Verticals& verticals, Nodes& nodes, double now);
  // Refusal by chance under strain: the less utility for its work, the likelier. Reason::none: it is taken.
  Explanation refuse(const Query& q, Verticals& verticals, Nodes& nodes, std::ranlux24_base& chance,
                     double now);
};
}  // namespace yoketurn::policy
