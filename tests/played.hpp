// A day of the rig, played and checked for the six rules.
#pragma once

#include <doctest/doctest.h>

#include <filesystem>
#include <functional>
#include <string>

#include "days/checker.hpp"
#include "days/service.hpp"
#include "rig/fleet.hpp"

namespace yoketurn::rig {

struct Played {
  Day day;
  Result result;
  const Record& record() const { return result.record; }
};

// The rules are checked on every day. What a day that fails has left behind stays there.
inline Played played(const std::string& name, const std::function<void(Day&)>& alter = {}) {
  auto day = load_day(std::string(YOKETURN_DAYS) + "/" + name + ".info");
  if (alter) alter(day);
  const auto folder = std::filesystem::absolute("fleet-" + name + (day.plan ? "" : "-off"));
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  Fleet fleet(day, YOKETURN_PROGRAM, folder);
  Played p{day, fleet.play()};
  const auto breaches = check(p.record(), day, 0.25);
  for (std::size_t i = 0; i < breaches.size() && i < 5; ++i)
    FAIL_CHECK(name << " seed " << day.seed << ", rule " << breaches[i].rule << " at " << breaches[i].at
                    << ": " << breaches[i].what << "; record in " << folder.string());
  CHECK(share_of(p.record(), day, 0, 4).good() > 0.9);
  CHECK(p.result.most_pushed < 1);
  return p;
}

}  // namespace yoketurn::rig
