#include "discovery/node_ages.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace yoketurn;

namespace {

constexpr double kSlowStart = 10;
constexpr double kNow = 5000;                // on the monotonic clock
constexpr WallTime kWallNow{1'700'000'000};  // on the wall clock, unless it was stepped

WallTime wall_time_ago(double seconds) {
  return {kWallNow.unix_seconds - seconds};
}

WallTime wall_now_after_step(double seconds) {
  return {kWallNow.unix_seconds + seconds};
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE(
    "the last contact with discovery bounds the age of a node, whatever the wall clocks were stepped by") {
  struct Row {
    const char* description;
    double last_contact;  // with discovery, seconds ago
    double started;       // seconds ago, by the wall clock of the node
    double step;          // of this router's wall clock, in seconds
    double age;           // expected, in seconds
  };
  const Row rows[] = {
      {"correct clocks", 2, 3, 0, 3},
      {"the router's clock an hour ahead", 2, 3, 3600, 0},
      {"the router's clock an hour behind", 2, 3, -3600, 0},
      {"the node's clock an hour ahead", 2, -3597, 0, 0},
      {"the node's clock an hour behind", 2, 3603, 0, 0},
      {"a step of a second makes the age wrong by a second", 2, 3, 1, 4},
      {"reported at the end of a long outage", 60, 45, 0, 45},
      {"the router's clock an hour ahead, and a long outage", 60, 45, 3600, 0},
  };
  for (const auto& row : rows) {
    CAPTURE(row.description);
    NodeAges ages(kSlowStart);
    ages.record_discovery_contact(kNow - row.last_contact);
    CHECK(ages.started_at("a", wall_time_ago(row.started), kNow, wall_now_after_step(row.step)) ==
          doctest::Approx(kNow - row.age));
  }
}

TEST_CASE("at the router's start an age that may be the result of a clock step counts as a start now") {
  struct Row {
    double started, step, age;  // seconds, as above
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
    CHECK(ages.started_at("a", wall_time_ago(row.started), kNow, wall_now_after_step(row.step)) ==
          doctest::Approx(kNow - row.age));
  }
}

TEST_CASE(
    "the start of a process is kept after a clock step and while its node is not listed; a restart is "
    "detected") {
  NodeAges ages(kSlowStart);
  CHECK(ages.started_at("old", {}, kNow, kWallNow) == 0);
  ages.record_discovery_contact(kNow);
  const auto started_at = ages.started_at("a", wall_time_ago(2), kNow, kWallNow);
  CHECK(started_at == doctest::Approx(kNow - 2));
  CHECK(ages.started_at("a", wall_time_ago(2), kNow + 20, wall_now_after_step(-3580)) == started_at);
  ages.node_removed("a");
  CHECK(ages.started_at("a", wall_time_ago(2), kNow + 500, wall_now_after_step(4100)) == started_at);
  ages.record_discovery_contact(kNow + 500);
  CHECK(ages.started_at("a", wall_time_ago(-499), kNow + 501, wall_now_after_step(501)) ==
        doctest::Approx(kNow + 499));
}

TEST_CASE("the starts of a bounded number of removed nodes are remembered") {
  NodeAges ages(kSlowStart);
  ages.record_discovery_contact(kNow);
  const auto first = ages.started_at("0", wall_time_ago(2), kNow, kWallNow);
  ages.node_removed("0");
  for (std::size_t i = 1; i < NodeAges::kMaxRemovedNodes; ++i) {
    ages.started_at(std::to_string(i), wall_time_ago(2), kNow, kWallNow);
    ages.node_removed(std::to_string(i));
  }
  CHECK(ages.started_at("0", wall_time_ago(2), kNow + 100, wall_now_after_step(100)) == first);
  ages.node_removed("0");
  for (std::size_t i = 0; i <= 2 * NodeAges::kMaxRemovedNodes; ++i) {
    ages.started_at("more" + std::to_string(i), wall_time_ago(2), kNow, kWallNow);
    ages.node_removed("more" + std::to_string(i));
  }
  ages.record_discovery_contact(kNow + 100);
  CHECK(ages.started_at("0", wall_time_ago(2), kNow + 100, wall_now_after_step(100)) ==
        kNow + 100);  // forgotten: taken for a start now
}

TEST_SUITE_END();
