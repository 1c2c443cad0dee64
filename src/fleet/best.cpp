#include "fleet/best.hpp"

#include <glpk.h>

#include <memory>
#include <stdexcept>

namespace yoketurn::fleet {

// Columns: the share served of each load, then the flow of each shard to each of its holders. Rows: what a
// shard is asked flows to its holders; no node does more than it can.
double best_utility(const PlannedCluster& town, const SiteLossForecast& loss) {
  const std::unique_ptr<glp_prob, void (*)(glp_prob*)> problem(glp_create_prob(), glp_delete_prob);
  glp_term_out(GLP_OFF);
  auto* p = problem.get();
  glp_set_obj_dir(p, GLP_MAX);
  const auto holders = remaining_replicas(town, loss.lost_sites);
  const auto held =
      static_cast<double>(town.shard_count) - static_cast<double>(loss.unavailable_shards.size());
  if (held <= 0) return 0;
  const auto loads = static_cast<int>(town.loads.size());
  const auto nodes = static_cast<int>(town.nodes.size());
  int flows = 0;
  for (const auto& of : holders) flows += static_cast<int>(of.size());
  glp_add_cols(p, loads + flows);
  glp_add_rows(p, town.shard_count + nodes);
  std::vector<int> rows{0}, cols{0};
  std::vector<double> values{0};
  const auto set = [&](int row, int col, double value) {
    rows.push_back(row);
    cols.push_back(col);
    values.push_back(value);
  };
  for (int v = 0; v < loads; ++v) {
    const auto& load = town.loads[static_cast<std::size_t>(v)];
    const auto reach = 1 - loss.unreachable_share[static_cast<std::size_t>(v)];
    if (reach > 0)
      glp_set_col_bnds(p, v + 1, GLP_DB, 0, reach);
    else
      glp_set_col_bnds(p, v + 1, GLP_FX, 0, 0);
    glp_set_obj_coef(p, v + 1, load.queries_per_second * load.utility_per_query);
  }
  int col = loads;
  for (int s = 0; s < town.shard_count; ++s) {
    const auto& of = holders[static_cast<std::size_t>(s)];
    glp_set_row_bnds(p, s + 1, GLP_FX, 0, 0);
    for (const auto node : of) {
      glp_set_col_bnds(p, ++col, GLP_LO, 0, 0);
      set(s + 1, col, 1);
      set(town.shard_count + node + 1, col, 1);
    }
    if (of.empty()) continue;
    for (int v = 0; v < loads; ++v) {
      const auto& load = town.loads[static_cast<std::size_t>(v)];
      set(s + 1, v + 1, -load.queries_per_second * load.parts_per_query / held);
    }
  }
  for (int n = 0; n < nodes; ++n)
    glp_set_row_bnds(p, town.shard_count + n + 1, GLP_UP, 0,
                     town.nodes[static_cast<std::size_t>(n)].parts_per_second);
  glp_load_matrix(p, static_cast<int>(rows.size()) - 1, rows.data(), cols.data(), values.data());
  if (glp_simplex(p, nullptr) != 0 || glp_get_status(p) != GLP_OPT)
    throw std::runtime_error("the linear programme can't be solved");
  return glp_get_obj_val(p);
}

}  // namespace yoketurn::fleet
