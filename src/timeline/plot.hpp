// A node's line drawn on one time axis, by gnuplot.
#pragma once

#include "timeline/record.hpp"

namespace yoketurn {

// Throws if gnuplot is missing or fails.
void plot_node(const std::vector<Record>& records, const std::string& node, const std::string& path);

}  // namespace yoketurn
