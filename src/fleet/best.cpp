#include "fleet/best.hpp"

#include <glpk.h>

#include <memory>
#include <stdexcept>

namespace yoketurn::fleet {

// Columns: the share served of each load, then the flow of each shard to each of its holders. Rows: what a
// shard is asked flows to its holders; no node does more than it can.
double best_utility(const PlannedTown& town, const PlannedLoss& loss) {
  const std::unique_ptr<glp_prob, void (*)(glp_prob*)> problem(glp_create_prob(), glp_delete_prob);
  glp_term_out(GLP_OFF);
  auto* p = problem.get();
  glp_set_obj_dir(p, GLP_MAX);
  const auto holders = holders_left(town, loss.lost);
  const auto held = static_cast<double>(town.shards) - static_cast<double>(loss.unheld.size());
  if (held <= 0) return 0;
  const auto loads = static_cast<int>(town.loads.size());
  const auto nodes = static_cast<int>(town.nodes.size());
  int flows = 0;
  for (const auto& of : holders) flows += static_cast<int>(of.size());
  glp_add_cols(p, loads + flows);
  glp_add_rows(p, town.shards + nodes);
  std::vector<int> rows{0}, cols{0};
  std::vector<double> values{0};
  const auto set = [&](int row, int col, double value) {
    rows.push_back(row);
    cols.push_back(col);
    values.push_back(value);
  };
  for (int v = 0; v < loads; ++v) {
    const auto& load = town.loads[static_cast<std::size_t>(v)];
    const auto reach = 1 - loss.out_of_reach[static_cast<std::size_t>(v)];
    if (reach > 0)
      glp_set_col_bnds(p, v + 1, GLP_DB, 0, reach);
    else
      glp_set_col_bnds(p, v + 1, GLP_FX, 0, 0);
    glp_set_obj_coef(p, v + 1, load.rate * load.utility);
  }
  int col = loads;
  for (int s = 0; s < town.shards; ++s) {
    const auto& of = holders[static_cast<std::size_t>(s)];
    glp_set_row_bnds(p, s + 1, GLP_FX, 0, 0);
    for (const auto node : of) {
      glp_set_col_bnds(p, ++col, GLP_LO, 0, 0);
      set(s + 1, col, 1);
      set(town.shards + node + 1, col, 1);
    }
    if (of.empty()) continue;
    for (int v = 0; v < loads; ++v) {
      const auto& load = town.loads[static_cast<std::size_t>(v)];
      set(s + 1, v + 1, -load.rate * load.parts / held);
    }
  }
  for (int n = 0; n < nodes; ++n)
    glp_set_row_bnds(p, town.shards + n + 1, GLP_UP, 0, town.nodes[static_cast<std::size_t>(n)].capacity);
  glp_load_matrix(p, static_cast<int>(rows.size()) - 1, rows.data(), cols.data(), values.data());
  if (glp_simplex(p, nullptr) != 0 || glp_get_status(p) != GLP_OPT)
    throw std::runtime_error("the linear programme can't be solved");
  return glp_get_obj_val(p);
}

}  // namespace yoketurn::fleet
