#include "discovery/node_ages.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace yoketurn;

namespace {

constexpr double kSlowStart = 10;
constexpr double kNow = 5000;                // of the monotonic clock
constexpr WallTime kWallNow{1'700'000'000};  // of the wall clock, unless it was stepped

WallTime ago(double seconds) {
  return {kWallNow.unix_seconds - seconds};
}

WallTime stepped(double by) {
  return {kWallNow.unix_seconds + by};
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE("a start that is learned from a watch bounds the age, whatever the wall clocks were stepped by") {
  struct Row {
    const char* what;
    double last_word;  // seconds ago
    double started;    // seconds ago, by a sound clock
    double step;       // of this router's wall clock
    double age;
  };
  const Row rows[] = {
      {"sound clocks", 2, 3, 0, 3},
      {"this clock an hour ahead", 2, 3, 3600, 0},
      {"this clock an hour behind", 2, 3, -3600, 0},
      {"that of the node an hour ahead", 2, -3597, 0, 0},
      {"that of the node an hour behind", 2, 3603, 0, 0},
      {"a step by a second leaves it by a second off", 2, 3, 1, 4},
      {"told at the end of a long outage", 60, 45, 0, 45},
      {"an hour ahead, and a long outage", 60, 45, 3600, 0},
  };
  for (const auto& row : rows) {
    CAPTURE(row.what);
    NodeAges ages(kSlowStart);
    ages.record_discovery_contact(kNow - row.last_word);
    CHECK(ages.started_at("a", ago(row.started), kNow, stepped(row.step)) == doctest::Approx(kNow - row.age));
  }
}

TEST_CASE("at the router's own start an age that a step could have made counts as a start now") {
  struct Row {
    double started, step, age;
  };
  const Row rows[] = {{3, 0, 3},
                      {3, 3600, 0},
                      {3, -3600, 0},
                      {30, 0, 0},
                      {3599, 0, 0},
                      {9.9, 0, 9.9},
                      {10, 0, 0},
                      {3700, 0, 3700},
                      {3700, -3600, 0},
                      {-20, 0, 0},
                      {100'000, 3600, 103'600}};
  for (const auto& row : rows) {
    CAPTURE(row.started);
    CAPTURE(row.step);
    NodeAges ages(kSlowStart);
    CHECK(ages.started_at("a", ago(row.started), kNow, stepped(row.step)) == doctest::Approx(kNow - row.age));
  }
}

TEST_CASE(
    "what was learned of a process stays after a step, and while its node is away; a new process is new") {
  NodeAges ages(kSlowStart);
  CHECK(ages.started_at("old", {}, kNow, kWallNow) == 0);
  ages.record_discovery_contact(kNow);
  const auto born = ages.started_at("a", ago(2), kNow, kWallNow);
  CHECK(born == doctest::Approx(kNow - 2));
  CHECK(ages.started_at("a", ago(2), kNow + 20, stepped(-3580)) == born);
  ages.node_removed("a");
  CHECK(ages.started_at("a", ago(2), kNow + 500, stepped(4100)) == born);
  ages.record_discovery_contact(kNow + 500);
  CHECK(ages.started_at("a", ago(-499), kNow + 501, stepped(501)) == doctest::Approx(kNow + 499));
}

TEST_CASE("of nodes that have left so many are remembered and no more") {
  NodeAges ages(kSlowStart);
  ages.record_discovery_contact(kNow);
  const auto first = ages.started_at("0", ago(2), kNow, kWallNow);
  ages.node_removed("0");
  for (std::size_t i = 1; i < NodeAges::kMaxRemovedNodes; ++i) {
    ages.started_at(std::to_string(i), ago(2), kNow, kWallNow);
    ages.node_removed(std::to_string(i));
  }
  CHECK(ages.started_at("0", ago(2), kNow + 100, stepped(100)) == first);
  ages.node_removed("0");
  for (std::size_t i = 0; i <= 2 * NodeAges::kMaxRemovedNodes; ++i) {
    ages.started_at("more" + std::to_string(i), ago(2), kNow, kWallNow);
    ages.node_removed("more" + std::to_string(i));
  }
  ages.record_discovery_contact(kNow + 100);
  CHECK(ages.started_at("0", ago(2), kNow + 100, stepped(100)) == kNow + 100);  // learned anew, as one of now
}

TEST_SUITE_END();
