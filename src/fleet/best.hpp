// The best that could be done at a loss: the most utility that the holders and capacities left can serve, as
// a linear programme (GLPK's simplex). A bound for the plan and for what was measured, not a policy.
#pragma once

#include "sites/plan.hpp"

namespace yoketurn::fleet {

// Utility a second; throws std::runtime_error where the programme can't be solved.
double best_utility(const PlannedCluster& town, const SiteLossForecast& loss);

}  // namespace yoketurn::fleet
