#include "sites/plan.hpp"

#include <algorithm>
#include <cmath>

#include "sites/sites.hpp"

namespace yoketurn {

namespace {

constexpr int kBalancingRounds = 400;
constexpr double kFirstBalancingRate = 0.2;  // by which load moves away from the fuller replicas in round 0
constexpr double kMaxRejectedShare = 0.99;

// The share of queries of `parts` distinct shards out of `shard_count` that need one of `needed` given
// shards.
double share_needing_any(int parts, int needed, int shard_count) {
  double without = 1;
  for (int i = 0; i < parts; ++i)
    without *= std::max(0.0, static_cast<double>(shard_count - needed - i) / std::max(shard_count - i, 1));
  return 1 - without;
}

// The load of each node once the routing policy's scores have evened out the replicas of each shard.
std::vector<double> balanced_load(const PlannedCluster& cluster,
                                  const std::vector<std::vector<int>>& replicas, double parts_per_shard) {
  std::vector<std::vector<double>> weights;
  for (const auto& nodes : replicas) weights.emplace_back(nodes.size(), 1.0);
  std::vector<double> load;
  for (int round = 0; round < kBalancingRounds; ++round) {
    load.assign(cluster.nodes.size(), 0);
    for (std::size_t s = 0; s < replicas.size(); ++s) {
      double sum = 0;
      for (const auto w : weights[s]) sum += w;
      for (std::size_t i = 0; i < replicas[s].size(); ++i)
        load[static_cast<std::size_t>(replicas[s][i])] += parts_per_shard * weights[s][i] / sum;
    }
    for (std::size_t s = 0; s < replicas.size(); ++s)
      for (std::size_t i = 0; i < replicas[s].size(); ++i) {
        const auto node = static_cast<std::size_t>(replicas[s][i]);
        weights[s][i] *= std::exp(-kFirstBalancingRate * load[node] /
                                  std::max(cluster.nodes[node].parts_per_second, 1e-9) / (1 + round / 100));
        weights[s][i] = std::max(weights[s][i], 1e-12);
      }
  }
  return load;
}

double max_utilization(const PlannedCluster& cluster, const std::vector<double>& load) {
  double max = 0;
  for (std::size_t n = 0; n < load.size(); ++n)
    if (load[n] > 0) max = std::max(max, load[n] / std::max(cluster.nodes[n].parts_per_second, 1e-9));
  return max;
}

}  // namespace

std::vector<std::vector<int>> remaining_replicas(const PlannedCluster& cluster,
                                                 const std::vector<int>& lost_sites) {
  std::vector<std::vector<int>> result(static_cast<std::size_t>(cluster.shard_count));
  for (int s = 0; s < cluster.shard_count; ++s)
    for (std::size_t n = 0; n < cluster.nodes.size(); ++n) {
      const auto& node = cluster.nodes[n];
      if (std::find(lost_sites.begin(), lost_sites.end(), node.site) != lost_sites.end()) continue;
      const auto cells_after_first =
          (node.cell - s % cluster.cell_count + cluster.cell_count) % cluster.cell_count;
      if (cells_after_first < std::min(cluster.cells_per_shard, cluster.cell_count))
        result[static_cast<std::size_t>(s)].push_back(static_cast<int>(n));
    }
  return result;
}

SiteLossForecast forecast_site_loss(const PlannedCluster& cluster, const std::vector<int>& lost_sites) {
  SiteLossForecast forecast;
  forecast.lost_sites = lost_sites;
  const auto replicas = remaining_replicas(cluster, lost_sites);
  for (int s = 0; s < cluster.shard_count; ++s)
    if (replicas[static_cast<std::size_t>(s)].empty()) forecast.unavailable_shards.push_back(s);
  const auto available = cluster.shard_count - static_cast<int>(forecast.unavailable_shards.size());
  double parts = 0, utility_per_part_sum = 0, queries = 0;
  for (const auto& load : cluster.loads) {
    forecast.unreachable_share.push_back(share_needing_any(
        load.parts_per_query, static_cast<int>(forecast.unavailable_shards.size()), cluster.shard_count));
    const auto reachable = load.queries_per_second * (1 - forecast.unreachable_share.back());
    parts += reachable * load.parts_per_query;
    utility_per_part_sum += reachable * load.utility_per_query / load.parts_per_query;
    queries += reachable;
    forecast.offered_utility += load.queries_per_second * load.utility_per_query;
  }
  const auto node_load = balanced_load(cluster, replicas, available > 0 ? parts / available : 0);
  forecast.max_node_utilization = max_utilization(cluster, node_load);
  for (const auto& nodes : replicas) {
    double load = 0, capacity = 0;
    for (const auto n : nodes) {
      load += node_load[static_cast<std::size_t>(n)];
      capacity += cluster.nodes[static_cast<std::size_t>(n)].parts_per_second;
    }
    forecast.shard_utilization.push_back(nodes.empty() ? 0 : load / std::max(capacity, 1e-9));
  }
  // The routing policy rejects at random, with a probability inversely proportional to a query's utility per
  // part. One factor applies to all verticals; bisection finds the one at which the fullest node is at its
  // capacity.
  const auto mean_utility_per_part = queries > 0 ? utility_per_part_sum / queries : 1;
  const auto rejected = [&](const PlannedLoad& load, double factor) {
    return std::min(
        factor * mean_utility_per_part / std::max(load.utility_per_query / load.parts_per_query, 1e-9),
        kMaxRejectedShare);
  };
  const auto utilization_left = [&](double factor) {
    double sum = 0;
    for (std::size_t v = 0; v < cluster.loads.size(); ++v)
      sum += cluster.loads[v].queries_per_second * (1 - forecast.unreachable_share[v]) *
             (1 - rejected(cluster.loads[v], factor)) * cluster.loads[v].parts_per_query;
    return parts > 0 ? forecast.max_node_utilization * sum / parts : 0;
  };
  double low = 0, high = 1e3;
  if (forecast.max_node_utilization <= 1) high = 0;
  for (int i = 0; i < 60 && high > 0; ++i)
    (utilization_left((low + high) / 2) > 1 ? low : high) = (low + high) / 2;
  for (std::size_t v = 0; v < cluster.loads.size(); ++v) {
    forecast.rejected_share.push_back(rejected(cluster.loads[v], high));
    forecast.served_utility += cluster.loads[v].queries_per_second * cluster.loads[v].utility_per_query *
                               (1 - forecast.unreachable_share[v]) * (1 - forecast.rejected_share.back());
  }
  forecast.warm_recovery_seconds = recovery_seconds(cluster.settings, false);
  forecast.cold_recovery_seconds = recovery_seconds(cluster.settings, true);
  return forecast;
}

}  // namespace yoketurn
