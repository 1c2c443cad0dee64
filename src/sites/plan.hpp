// Forecast of what the loss of sites would mean: which shards have no replica left, how loaded the remaining
// nodes are, which share of each vertical the routing policy would reject, and how long the recovery takes.
// It is computed from mean rates, does no I/O and controls nothing. Rates are parts or queries per second,
// capacities parts per second, times seconds.
#pragma once

#include <string>
#include <vector>

#include "routing_policy.hpp"

namespace yoketurn {

struct PlannedNode {
  int site = kNone;
  int cell = 0;
  double parts_per_second = 0;  // capacity
};

// The load of one vertical.
struct PlannedLoad {
  std::string vertical;
  double queries_per_second = 0;
  int parts_per_query = 1;  // each goes to another shard, drawn evenly
  double utility_per_query = 1;
};

struct PlannedCluster {
  int site_count = 0, shard_count = 0, cell_count = 1;
  int cells_per_shard = 1;  // cells that hold a shard, from cell (shard mod cell_count) on
  std::vector<PlannedNode> nodes;
  std::vector<PlannedLoad> loads;
  Settings settings;  // for the slow start and the overload limit of nodes
};

struct SiteLossForecast {
  std::vector<int> lost_sites;
  std::vector<int> unavailable_shards;    // no replica is left
  std::vector<double> shard_utilization;  // by shard: load to capacity of the remaining replicas, before any
                                          // query is rejected
  double max_node_utilization = 0;  // load to capacity of the fullest node, before any query is rejected
  std::vector<double> unreachable_share;  // by load: share of its queries that need an unavailable shard
  std::vector<double> rejected_share;     // by load: share of its other queries that is rejected so that no
                                          // node exceeds its capacity
  double served_utility = 0, offered_utility = 0;               // per second
  double warm_recovery_seconds = 0, cold_recovery_seconds = 0;  // cold: the nodes are in slow start
};

// For each shard the indices of the nodes that hold it and are not at a lost site.
std::vector<std::vector<int>> remaining_replicas(const PlannedCluster& cluster,
                                                 const std::vector<int>& lost_sites);
SiteLossForecast forecast_site_loss(const PlannedCluster& cluster, const std::vector<int>& lost_sites);

}  // namespace yoketurn
