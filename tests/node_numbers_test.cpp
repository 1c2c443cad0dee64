#include "discovery/node_numbers.hpp"

#include <doctest/doctest.h>

#include <set>
#include <string>

#include "datanodes/load_report.hpp"

using namespace yoketurn;

TEST_SUITE_BEGIN("network");

TEST_CASE("the numbers of removed nodes are reused once they are released, and listed nodes keep theirs") {
  NodeNumbers numbers;
  CHECK(numbers.find("s-0") == kNone);
  for (int i = 0; i < 4; ++i) CHECK(numbers.assign("s-" + std::to_string(i)) == i);
  CHECK(numbers.assign("s-2") == 2);
  CHECK(numbers.mark_removed("s-1"));
  CHECK(!numbers.mark_removed("s-1"));
  numbers.mark_removed("s-2");
  numbers.mark_removed("s-3");
  numbers.mark_listed("s-3");  // it has come back
  std::set<std::string> asked;
  numbers.release_removed([&](const std::string& id, int number) {
    asked.insert(id);
    return number != 2;  // it is still in use
  });
  CHECK(asked == std::set<std::string>{"s-1", "s-2"});
  CHECK(numbers.find("s-1") == kNone);
  CHECK(numbers.find("s-2") == 2);
  CHECK(numbers.size() == 3);
  CHECK(numbers.assign("s-4") == 1);
  CHECK(numbers.assign("s-5") == 4);
  CHECK(numbers.all().size() == 5);
}

TEST_CASE("no more nodes get numbers than there may be") {
  NodeNumbers numbers;
  for (std::size_t i = 0; i < NodeNumbers::kMaxNodes; ++i)
    REQUIRE(numbers.assign(std::to_string(i)) != kNone);
  CHECK(numbers.assign("one more") == kNone);
  CHECK(numbers.assign("0") == 0);
  numbers.mark_removed("7");
  numbers.release_removed([](const std::string&, int) { return true; });
  CHECK(numbers.assign("one more") == 7);
}

TEST_CASE("load reports are parsed, and those without a known figure are refused") {
  const auto report = parse_load_report("inflight=3,util=0.61,queue:2,at_ms=1500");
  REQUIRE(report);
  CHECK(report->in_flight == 3);
  CHECK(report->queue == 2);
  CHECK(report->unix_seconds == 1.5);
  for (const auto* malformed : {"", "-", "busy", "inflight", "inflight=x", "util=0.5", "inflight=3,,"})
    CHECK(!parse_load_report(malformed));
}
