// What the loss of a site will mean, told beforehand: which tranches have no holder left, how strained the
// rest is, which verticals are refused in what share by the module's own rule, how long the return takes. A
// forecast over mean rates, no I/O; it steers nothing. Rates are parts or queries a second, capacities parts
// a second, times seconds.
#pragma once

#include <string>
#include <vector>

#include "routing_policy.hpp"

namespace yoketurn {

struct PlannedNode {
  int site = kNone;
  int cell = 0;
  double capacity = 0;
};

struct PlannedLoad {
  std::string vertical;
  double rate = 0;     // queries
  int parts = 1;       // of a query, at shards drawn evenly
  double utility = 1;  // of a query
};

struct PlannedTown {
  int sites = 0, shards = 0, cells = 1, span = 1;
  std::vector<PlannedNode> nodes;
  std::vector<PlannedLoad> loads;
  Settings settings;  // cold start and falling over
};

struct PlannedLoss {
  std::vector<int> lost;       // sites
  std::vector<int> unheld;     // shards
  std::vector<double> strain;  // by shard: load to capacity of the holders left, before anything is refused
  double most_strain = 0;      // of a node
  std::vector<double> out_of_reach;  // by load: share of its queries that need an unheld shard
  std::vector<double>
      refused;  // by load: share of the others that is refused so that no node is over its capacity
  double utility = 0, whole = 0;  // a second: what is served, what was asked
  double warm_return = 0, cold_return = 0;
};

// The holders that are left of each shard, by node.
std::vector<std::vector<int>> holders_left(const PlannedTown& town, const std::vector<int>& lost);
PlannedLoss plan_loss(const PlannedTown& town, const std::vector<int>& lost);

}  // namespace yoketurn
