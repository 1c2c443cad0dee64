// The times of a shutdown.
#include "router/shutdown.hpp"

#include <doctest/doctest.h>

using yoketurn::Shutdown;

TEST_SUITE_BEGIN("network");

TEST_CASE("a shutdown's times: long waits are cut off by the platform, short ones end earlier") {
  struct Row {
    double longest_wait, killed_at;
  };
  for (const auto& row : {Row{10, 103.7}, Row{3, 103.7}, Row{1, 101.7}, Row{0.2, 100.9}}) {
    CAPTURE(row.longest_wait);
    Shutdown shutdown(row.longest_wait);
    shutdown.begin(100);
    CHECK(shutdown.accepts_until() == doctest::Approx(100.7));
    CHECK(shutdown.killed_at() == doctest::Approx(row.killed_at));
    CHECK(shutdown.serves_until() > shutdown.accepts_until());
    CHECK(shutdown.serves_until() < shutdown.killed_at());
    CHECK(shutdown.answers_by() == doctest::Approx(row.killed_at - 0.2));
  }
}

TEST_SUITE_END();
