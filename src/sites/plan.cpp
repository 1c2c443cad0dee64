#include "sites/plan.hpp"

#include <algorithm>
#include <cmath>

#include "sites/sites.hpp"

namespace yoketurn {

namespace {

constexpr int kRounds = 400;    // of balancing
constexpr double kEager = 0.2;  // how fast load leaves the fuller holder, at first
constexpr double kMostRefused = 0.99;

// The share of queries of so many parts that need one of these of all shards.
double need_one(int parts, int of, int all) {
  double without = 1;
  for (int i = 0; i < parts; ++i)
    without *= std::max(0.0, static_cast<double>(all - of - i) / std::max(all - i, 1));
  return 1 - without;
}

// Load of each node when the design's score has evened out the holders of each shard.
std::vector<double> balanced(const PlannedTown& town, const std::vector<std::vector<int>>& holders,
                             double rate) {
  std::vector<std::vector<double>> weights;
  for (const auto& of : holders) weights.emplace_back(of.size(), 1.0);
  std::vector<double> load;
  for (int round = 0; round < kRounds; ++round) {
    load.assign(town.nodes.size(), 0);
    for (std::size_t s = 0; s < holders.size(); ++s) {
      double sum = 0;
      for (const auto w : weights[s]) sum += w;
      for (std::size_t i = 0; i < holders[s].size(); ++i)
        load[static_cast<std::size_t>(holders[s][i])] += rate * weights[s][i] / sum;
    }
    for (std::size_t s = 0; s < holders.size(); ++s)
      for (std::size_t i = 0; i < holders[s].size(); ++i) {
        const auto node = static_cast<std::size_t>(holders[s][i]);
        weights[s][i] *=
            std::exp(-kEager * load[node] / std::max(town.nodes[node].capacity, 1e-9) / (1 + round / 100));
        weights[s][i] = std::max(weights[s][i], 1e-12);
      }
  }
  return load;
}

double fullest(const PlannedTown& town, const std::vector<double>& load) {
  double most = 0;
  for (std::size_t n = 0; n < load.size(); ++n)
    if (load[n] > 0) most = std::max(most, load[n] / std::max(town.nodes[n].capacity, 1e-9));
  return most;
}

}  // namespace

std::vector<std::vector<int>> holders_left(const PlannedTown& town, const std::vector<int>& lost) {
  std::vector<std::vector<int>> result(static_cast<std::size_t>(town.shards));
  for (int s = 0; s < town.shards; ++s)
    for (std::size_t n = 0; n < town.nodes.size(); ++n) {
      const auto& node = town.nodes[n];
      if (std::find(lost.begin(), lost.end(), node.site) != lost.end()) continue;
      const auto behind = (node.cell - s % town.cells + town.cells) % town.cells;
      if (behind < std::min(town.span, town.cells))
        result[static_cast<std::size_t>(s)].push_back(static_cast<int>(n));
    }
  return result;
}

PlannedLoss plan_loss(const PlannedTown& town, const std::vector<int>& lost) {
  PlannedLoss plan;
  plan.lost = lost;
  const auto holders = holders_left(town, lost);
  for (int s = 0; s < town.shards; ++s)
    if (holders[static_cast<std::size_t>(s)].empty()) plan.unheld.push_back(s);
  const auto held = town.shards - static_cast<int>(plan.unheld.size());
  double parts = 0, density = 0, queries = 0;
  for (const auto& load : town.loads) {
    plan.out_of_reach.push_back(need_one(load.parts, static_cast<int>(plan.unheld.size()), town.shards));
    const auto reach = load.rate * (1 - plan.out_of_reach.back());
    parts += reach * load.parts;
    density += reach * load.utility / load.parts;
    queries += reach;
    plan.whole += load.rate * load.utility;
  }
  const auto load = balanced(town, holders, held > 0 ? parts / held : 0);
  plan.most_strain = fullest(town, load);
  for (const auto& of : holders) {
    double here = 0, can = 0;
    for (const auto n : of) {
      here += load[static_cast<std::size_t>(n)];
      can += town.nodes[static_cast<std::size_t>(n)].capacity;
    }
    plan.strain.push_back(of.empty() ? 0 : here / std::max(can, 1e-9));
  }
  // The module refuses by chance, the less utility for its work the likelier: all by one figure, which is
  // sought.
  const auto mean = queries > 0 ? density / queries : 1;
  const auto refused = [&](const PlannedLoad& one, double figure) {
    return std::min(figure * mean / std::max(one.utility / one.parts, 1e-9), kMostRefused);
  };
  const auto left = [&](double figure) {
    double sum = 0;
    for (std::size_t v = 0; v < town.loads.size(); ++v)
      sum += town.loads[v].rate * (1 - plan.out_of_reach[v]) * (1 - refused(town.loads[v], figure)) *
             town.loads[v].parts;
    return parts > 0 ? plan.most_strain * sum / parts : 0;
  };
  double low = 0, high = 1e3;
  if (plan.most_strain <= 1) high = 0;
  for (int i = 0; i < 60 && high > 0; ++i) (left((low + high) / 2) > 1 ? low : high) = (low + high) / 2;
  for (std::size_t v = 0; v < town.loads.size(); ++v) {
    plan.refused.push_back(refused(town.loads[v], high));
    plan.utility +=
        town.loads[v].rate * town.loads[v].utility * (1 - plan.out_of_reach[v]) * (1 - plan.refused.back());
  }
  plan.warm_return = return_time(town.settings, false);
  plan.cold_return = return_time(town.settings, true);
  return plan;
}

}  // namespace yoketurn
