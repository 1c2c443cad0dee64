// Deadlines that are given in wall-clock time, under steps of the wall clock.
#include "time/wall_deadline.hpp"

#include <doctest/doctest.h>

#include "versions/service.hpp"

using namespace yoketurn;

namespace {
constexpr double kSteps[] = {-3600, -1, 0, 1, 3600};
}

TEST_SUITE_BEGIN("versions");

TEST_CASE(
    "a deadline in wall time is kept when the wall clock is stepped, and changes when a new one is given") {
  for (const auto step : kSteps) {
    CAPTURE(step);
    WallDeadline deadline;
    CHECK(deadline.to_monotonic(WallTime{1010}, WallTime{1000}, 50) == 60);
    CHECK(deadline.to_monotonic(WallTime{1010}, WallTime{1004 + step}, 54) == 60);
    CHECK(deadline.to_monotonic(WallTime{1030 + step}, WallTime{1004 + step}, 54) == 80);
  }
}

TEST_CASE("an order holds for its remaining time when it was taken, whatever the wall clock does") {
  for (const auto step : kSteps) {
    CAPTURE(step);
    ParticipationController controller({}, "r-1", 1);
    const ParticipationController::RouterState no_restriction;
    const Order first{1, 1, "r-1", OrderStep::step_aside, "", 1010, ""};
    REQUIRE(controller.apply_order(first, no_restriction, WallTime{1000}, 0) == OrderVerdict::taken);
    // The wall clock is stepped now. The same file may be read again; the next one is written by the stepped
    // clock.
    CHECK(controller.apply_order(first, no_restriction, WallTime{1005 + step}, 5) == OrderVerdict::known);
    controller.tick(no_restriction, 9.9);
    CHECK(controller.participation() == Participation::aside);
    controller.tick(no_restriction, 10);
    CHECK(controller.participation() == Participation::in);
    const Order second{1, 2, "r-1", OrderStep::step_aside, "", 1030 + step, ""};
    REQUIRE(controller.apply_order(second, no_restriction, WallTime{1010 + step}, 10) == OrderVerdict::taken);
    controller.tick(no_restriction, 29.9);
    CHECK(controller.participation() == Participation::aside);
    controller.tick(no_restriction, 30);
    CHECK(controller.participation() == Participation::in);
  }
}

TEST_SUITE_END();
