// Tests of the estimate of how much work a part of each vertical is.
#include "policy/relative_work.hpp"

#include <doctest/doctest.h>

using yoketurn::policy::RelativeWork;

namespace {

constexpr int kLight = 0, kHeavy = 1;

// Sends this many parts of each vertical, one per millisecond.
void send(RelativeWork& work, int light, int heavy) {
  double now = 0;
  for (int i = 0; i < light; ++i) work.record_sent(kLight, now += 1e-3);
  for (int i = 0; i < heavy; ++i) work.record_sent(kHeavy, now += 1e-3);
}

}  // namespace

TEST_SUITE_BEGIN("brain");

TEST_CASE("relative work: the mean over what was sent is 1") {
  RelativeWork work({1, 1});
  CHECK(work.estimate(kLight) == 1);
  CHECK(work.estimate(kHeavy) == 1);
  send(work, 95, 5);
  work.record_quick_latency(kLight, 0.01);
  work.record_quick_latency(kHeavy, 1);
  CHECK(work.estimate(kHeavy) == doctest::Approx(100 * work.estimate(kLight)));
  CHECK(0.95 * work.estimate(kLight) + 0.05 * work.estimate(kHeavy) == doctest::Approx(1).epsilon(0.01));
}

TEST_CASE("relative work: hints take precedence over latencies") {
  RelativeWork work({1, 1});
  send(work, 50, 50);
  work.record_quick_latency(kHeavy, 1);
  for (const auto each : {kLight, kHeavy}) work.record_hint(each, each == kHeavy ? 0.3 : 0.1);
  work.record_quick_latency(kLight, 60);
  CHECK(work.estimate(kHeavy) == doctest::Approx(3 * work.estimate(kLight)));
}

TEST_CASE("relative work: a vertical without samples goes by its SLO time, and is no lighter than the mean") {
  for (const double slo_time : {0.1, 20.0}) {
    CAPTURE(slo_time);
    RelativeWork work({1, slo_time});
    send(work, 95, 5);
    work.record_quick_latency(kLight, 0.01);
    CHECK(work.estimate(kHeavy) == doctest::Approx(slo_time > 1 ? slo_time : 1));
  }
}

TEST_CASE("relative work: old counts of parts sent decay") {
  RelativeWork work({1, 1});
  work.record_quick_latency(kLight, 0.01);
  work.record_quick_latency(kHeavy, 0.1);
  send(work, 0, 1000);
  CHECK(work.estimate(kHeavy) == doctest::Approx(1).epsilon(0.02));
  for (int i = 0; i < 1000; ++i) work.record_sent(kLight, 600 + i * 1e-3);
  CHECK(work.estimate(kLight) == doctest::Approx(1).epsilon(0.02));
  CHECK(work.estimate(kHeavy) == doctest::Approx(10).epsilon(0.02));
}

TEST_SUITE_END();
