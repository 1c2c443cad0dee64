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

std::map<std::string, int> cells(const MemberTable& table) {
  std::map<std::string, int> result;
  for (const auto& held : table.list().members) CHECK(result.emplace(held.id, held.cell).second);
  return result;
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE("a table of members holds what whole lists and changes have told, each node once") {
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
    REQUIRE(cells(table) == expected);
    CHECK(table.list().version == round);
  }
}

// The time that a list of many nodes takes, to the time for a sixteenth of them. It grew with the square:
// each entry was looked for among all.
TEST_CASE("what a change to a table of members costs does not grow with the number of nodes") {
  const auto seconds = [](int nodes) {
    MemberList list;
    list.full = true;
    for (int i = 0; i < nodes; ++i) list.members.push_back(member("node-" + std::to_string(i), i % 8));
    auto best = 1e9;
    for (int round = 0; round < 5; ++round) {
      MemberTable table;
      const auto began = std::chrono::steady_clock::now();
      table.apply(list);
      list.full = false;
      table.apply(list);
      list.full = true;
      best = std::min(best, std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
    }
    return best;
  };
  CHECK(seconds(16'000) < 80 * seconds(1'000));  // 16 times if it is linear, 256 times if it is square
}

TEST_SUITE_END();
