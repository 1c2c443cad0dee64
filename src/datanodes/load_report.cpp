#include "datanodes/load_report.hpp"

#include "settings/settings.hpp"

namespace yoketurn {

std::optional<LoadReport> parse_load_report(std::string_view text) {
  LoadReport report;
  bool known = false;
  for (const auto& pair : split(text, ',')) {
    const auto at = pair.find_first_of("=:");
    if (at == std::string::npos) return std::nullopt;
    const auto name = std::string_view(pair).substr(0, at);
    const auto value = parse_number(std::string_view(pair).substr(at + 1));
    if (!value) return std::nullopt;
    if (name == "inflight") report.in_flight = *value;
    if (name == "queue") report.queue = *value;
    if (name == "at_ms") report.unix_seconds = *value / 1e3;
    known = known || name == "inflight" || name == "queue";
  }
  return known ? std::optional(report) : std::nullopt;
}

}  // namespace yoketurn
