// The load report of a data node, the payload of its frame M.
#pragma once

#include <optional>
#include <string_view>

namespace yoketurn {

struct LoadReport {
  double in_flight = 0;     // parts being served
  double queue = 0;         // parts waiting
  double unix_seconds = 0;  // when it was measured; 0: not stated
};

// Parses name=value or name:value pairs, separated by commas; unknown names are passed over. nullopt: it is
// malformed, or has no known figure.
std::optional<LoadReport> parse_load_report(std::string_view text);

}  // namespace yoketurn
