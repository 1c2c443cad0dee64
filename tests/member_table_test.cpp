#include "discovery/member_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <random>

using namespace yoketurn;

namespace {

Member member(const std::string& id, int cell, bool removed = false) {
  Member result;
  result.id = id;
  result.cell = cell;
  result.removed = removed;
  return result;
}

std::map<std::string, int> cells_by_id(const MemberTable& table) {
  std::map<std::string, int> result;
  // No id may be listed twice.
  for (const auto& listed : table.list().members) CHECK(result.emplace(listed.id, listed.cell).second);
  return result;
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE("a member table reflects full lists and changes, with each node once") {
  std::mt19937 random(7);
  MemberTable table;
  std::map<std::string, int> expected;
  for (int round = 1; round <= 300; ++round) {
    MemberList list;
    list.version = round;
    list.full = random() % 10 == 0;
    if (list.full) expected.clear();
    for (int i = 0; i < 20; ++i) {
      const auto id = std::to_string(random() % 40);
      const auto cell = static_cast<int>(random() % 8);
      const auto removed = random() % 3 == 0;
      list.members.push_back(member(id, cell, removed));
      removed ? void(expected.erase(id)) : void(expected[id] = cell);
    }
    table.apply(list);
    REQUIRE(cells_by_id(table) == expected);
    CHECK(table.list().version == round);
  }
}

// Compares the time that a list takes with the time for a list of a sixteenth of its nodes. If each entry is
// looked up by a linear search, the time grows with the square of the number of nodes.
TEST_CASE("the cost of a change to a member table does not grow with the number of nodes") {
  const auto seconds = [](int nodes) {
    MemberList list;
    list.full = true;
    for (int i = 0; i < nodes; ++i) list.members.push_back(member("node-" + std::to_string(i), i % 8));
    auto best_seconds = 1e9;
    for (int round = 0; round < 5; ++round) {
      MemberTable table;
      const auto started_at = std::chrono::steady_clock::now();
      table.apply(list);
      list.full = false;
      table.apply(list);
      list.full = true;
      best_seconds = std::min(
          best_seconds, std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count());
    }
    return best_seconds;
  };
  CHECK(seconds(16'000) < 80 * seconds(1'000));  // linear: 16 times, quadratic: 256 times
}

TEST_SUITE_END();
