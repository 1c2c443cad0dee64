// The schedule of a shutdown.
#include "router/shutdown.hpp"

#include <doctest/doctest.h>

using yoketurn::Shutdown;

TEST_SUITE_BEGIN("network");

TEST_CASE(
    "a long client wait is capped by the platform's grace period, a short one ends the shutdown earlier") {
  struct Row {
    double max_client_wait, earliest_kill_at;
  };
  for (const auto& row : {Row{10, 103.7}, Row{3, 103.7}, Row{1, 101.7}, Row{0.2, 100.9}}) {
    CAPTURE(row.max_client_wait);
    Shutdown shutdown(row.max_client_wait);
    shutdown.begin(100);
    CHECK(shutdown.accepts_until() == doctest::Approx(100.7));
    CHECK(shutdown.earliest_kill_at() == doctest::Approx(row.earliest_kill_at));
    CHECK(shutdown.serves_until() > shutdown.accepts_until());
    CHECK(shutdown.serves_until() < shutdown.earliest_kill_at());
    CHECK(shutdown.answer_deadline() == doctest::Approx(row.earliest_kill_at - 0.2));
  }
}

TEST_SUITE_END();
