// Deadlines that are told in wall-clock time, under steps of the wall clock.
#include "time/wall_deadline.hpp"

#include <doctest/doctest.h>

#include "versions/service.hpp"

using namespace yoketurn;

namespace {
constexpr double kSteps[] = {-3600, -1, 0, 1, 3600};
}

TEST_SUITE_BEGIN("versions");

TEST_CASE("a deadline in wall time stays where it is when the wall clock is stepped, and is told again") {
  for (const auto step : kSteps) {
    CAPTURE(step);
    WallDeadline deadline;
    CHECK(deadline.to_monotonic(WallTime{1010}, WallTime{1000}, 50) == 60);
    CHECK(deadline.to_monotonic(WallTime{1010}, WallTime{1004 + step}, 54) == 60);
    CHECK(deadline.to_monotonic(WallTime{1030 + step}, WallTime{1004 + step}, 54) == 80);
  }
}

TEST_CASE("an order holds as long as it had left when it was taken, whatever the wall clock does") {
  for (const auto step : kSteps) {
    CAPTURE(step);
    Service service({}, "r-1", 1);
    const Service::State sound;
    const Order first{1, 1, "r-1", Step::step_aside, "", 1010, ""};
    REQUIRE(service.order(first, sound, WallTime{1000}, 0) == Verdict::taken);
    // The step comes now. The same file may be read again, the next one is written by the stepped clock.
    CHECK(service.order(first, sound, WallTime{1005 + step}, 5) == Verdict::known);
    service.tick(sound, 9.9);
    CHECK(service.taking() == Taking::aside);
    service.tick(sound, 10);
    CHECK(service.taking() == Taking::in);
    const Order second{1, 2, "r-1", Step::step_aside, "", 1030 + step, ""};
    REQUIRE(service.order(second, sound, WallTime{1010 + step}, 10) == Verdict::taken);
    service.tick(sound, 29.9);
    CHECK(service.taking() == Taking::aside);
    service.tick(sound, 30);
    CHECK(service.taking() == Taking::in);
  }
}

TEST_SUITE_END();
