// Versions as they are told: JSON lines of GET /versions, and how the fleet's auditor reads them. Times in
// the lines are Unix time.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "versions/service.hpp"
#include "versions/versions.hpp"

namespace yoketurn {

// A router's own word of where it stands, at one moment.
struct Stand {
  std::string router, site;
  double unix = 0;   // the router's clock when it said so
  double began = 0;  // of its process: two that live under one name differ in it
  bool serving = false;
  Taking taking = Taking::in;
  double taking_since = 0;
  std::string taking_why;
  long long term = 0, number = 0;  // of the last order it took
  std::string verdict;             // on the last order it read
  std::array<Version, kSubjects> by{};
  struct Doubt {
    std::string kind;
    double since = 0, evidence = 0;
    std::string node;
  };
  std::vector<Doubt> doubts;
  bool site_lost = false;
  std::uint64_t oldest = 0, open = 0;  // numbers of its intervals
  double gap_until = 0;                // what ended by then is dropped; 0: nothing is
};

// What a reader is given to tell of.
struct VersionsView {
  std::function<std::string(double now)> stand;  // as a line
  const Versions* versions = nullptr;
  const std::vector<std::string>* verticals = nullptr;
  double unix_at_zero = 0;
};

std::string to_json(const Stand& stand);
std::string to_json(const Interval& interval, double unix_at_zero, const std::vector<std::string>& verticals);

struct ToldInterval {
  Interval interval;                   // times are Unix time
  std::vector<std::string> verticals;  // of its acts
};
using Told = std::variant<std::monostate, Stand, ToldInterval>;
Told versions_from_json(std::string_view line);  // monostate: it is something else, or can't be read

std::string hex(std::uint64_t hash);

}  // namespace yoketurn
