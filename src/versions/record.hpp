// Reports of a router's versions: the JSON lines of GET /versions, and how the fleet's auditor parses them.
// Times in the lines are Unix time.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "versions/service.hpp"
#include "versions/versions.hpp"

namespace yoketurn {

// A router's report of its own state at one moment.
struct VersionReport {
  std::string router, site;
  double unix_time = 0;           // of the report, by the router's clock
  double process_started_at = 0;  // tells apart two processes under one name
  bool serving = false;
  Participation participation = Participation::in;
  double participation_since = 0;
  std::string participation_reason;
  long long order_term = 0, order_number = 0;  // of the last order taken
  std::string order_verdict;                   // on the last order read
  std::array<Version, kVersionedInputCount> versions{};
  struct Suspicion {
    std::string kind;
    double since = 0, evidence = 0;
    std::string node;
  };
  std::vector<Suspicion> suspicions;
  bool site_lost = false;
  std::uint64_t oldest_interval = 0, open_interval = 0;  // numbers
  double dropped_until = 0;  // intervals that ended by this time have been dropped; 0: none has
};

// What the endpoint reports from.
struct VersionsView {
  std::function<std::string(double now)> report;  // the router's VersionReport as a line
  const VersionTracker* tracker = nullptr;
  const std::vector<std::string>* verticals = nullptr;
  double unix_time_at_zero = 0;  // Unix time at 0 of the router's clock
};

std::string to_json(const VersionReport& report);
std::string to_json(const Interval& interval, double unix_time_at_zero,
                    const std::vector<std::string>& verticals);

struct ReportedInterval {
  Interval interval;                   // times are Unix time
  std::vector<std::string> verticals;  // of its actions
};
using VersionsLine = std::variant<std::monostate, VersionReport, ReportedInterval>;
// monostate: the line is something else or can't be parsed.
VersionsLine parse_versions_line(std::string_view line);

std::string hex(std::uint64_t hash);

}  // namespace yoketurn
