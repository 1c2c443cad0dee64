// The anomaly detector on seeded random streams of calls with injected faults.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "anomalies/anomaly_detector.hpp"
#include "bench/streams.hpp"

using namespace yoketurn;
using streams::Planted;
using streams::Spec;
using streams::Trouble;

namespace {

std::vector<AnomalyEvent> started(const std::vector<AnomalyEvent>& all) {
  std::vector<AnomalyEvent> result;
  for (const auto& event : all)
    if (!event.ended) result.push_back(event);
  return result;
}

std::string shown(const std::vector<AnomalyEvent>& all) {
  std::string text;
  for (const auto& n : all)
    text += fmt::format("[{} node {} vertical {} started {:.2f} detected {:.2f}{}] ",
                        why_name(What::departed, static_cast<std::uint8_t>(n.kind)), n.node, n.vertical,
                        n.started_at, n.detected_at, n.ended ? " ended" : "");
  return text;
}

}  // namespace

TEST_SUITE_BEGIN("departures");

TEST_CASE("each fault is reported soon, for the right node and by its kind, and its end is reported") {
  struct Row {
    Trouble trouble;
    double severity, length, within;
    Departure kind;
  };
  const Row rows[] = {
      {Trouble::slow, 4, 10, 5, Departure::slow},
      {Trouble::stall, 1, 3, 2, Departure::stall},
      {Trouble::swallow, 1, 10, 2, Departure::swallows},
      {Trouble::fail, 0.6, 10, 4, Departure::fails},
      {Trouble::late_report, 6, 10, 4, Departure::late_report},
      {Trouble::frozen_report, 1, 30, 25, Departure::frozen_report},
  };
  for (const auto& row : rows) {
    Spec spec;
    spec.rate = row.trouble == Trouble::frozen_report ? 60 : 10;
    spec.hedge = 8;
    spec.reports = row.trouble == Trouble::late_report || row.trouble == Trouble::frozen_report ? 0.5 : 0;
    spec.length = 70;
    spec.planted = {{row.trouble, row.severity, 30, 30 + row.length, kNone, {3}}};
    const auto events = streams::tell(spec);
    CAPTURE(shown(events));
    const auto first = std::find_if(events.begin(), events.end(), [&](const auto& n) {
      return n.kind == row.kind || (row.kind == Departure::swallows && n.kind == Departure::stall);
    });
    REQUIRE(first != events.end());
    CHECK(first->node == 3);
    CHECK(first->detected_at >= 30);
    CHECK(first->detected_at <= 30 + row.within);
    CHECK(first->started_at >= 28);
    for (const auto& event : events) CHECK(event.node == 3);
    CHECK(std::any_of(events.begin(), events.end(),
                      [&](const auto& n) { return n.kind == row.kind && !n.ended; }));
    CHECK(std::count_if(events.begin(), events.end(), [](const auto& n) { return n.ended; }) ==
          static_cast<long>(started(events).size()));
  }
}

TEST_CASE("a node that drops the requests of one vertical only") {
  Spec spec;
  spec.rate = 10;
  spec.planted = {{Trouble::swallow, 1, 30, 45, 1, {2}}};
  const auto events = streams::tell(spec);
  CAPTURE(shown(events));
  REQUIRE(!events.empty());
  CHECK(events[0].kind == Departure::swallows);
  CHECK(events[0].node == 2);
  CHECK(events[0].vertical == 1);
}

TEST_CASE("all nodes slow together are one event of the whole fleet") {
  Spec spec;
  spec.rate = 10;
  spec.hedge = 0;
  spec.planted = {{Trouble::slow, 5, 30, 45, kNone, {0, 1, 2, 3, 4, 5, 6, 7}}};
  const auto events = streams::tell(spec);
  CAPTURE(shown(events));
  REQUIRE(started(events).size() == 1);
  CHECK(started(events)[0].node == kWholeFleet);
  CHECK(started(events)[0].kind == Departure::slow);
  CHECK(events.size() == 2);
}

TEST_CASE("a stall of the router raises no alarm") {
  Spec spec;
  spec.rate = 20;
  spec.still_from = 30;
  spec.still_for = 3;
  const auto events = streams::tell(spec);
  CAPTURE(shown(events));
  CHECK(events.empty());
}

TEST_CASE("a call that was pending while the router stalled ends as any other") {
  AnomalyDetector detector({}, 1, 0);
  detector.add_node(0, 0, 0);
  double now = 0;
  for (int i = 0; i < 40; ++i, now += 0.1) {
    detector.on_call_sent(0, 0, now);
    detector.on_call_ended(0, 0, Outcome::success, now, now + 0.02);
  }
  const auto sent = now;
  for (int i = 0; i < 5; ++i) detector.on_call_sent(0, 0, sent + 0.001 * i);
  detector.on_router_stall(3, sent + 3);
  for (int i = 0; i < 5; ++i) detector.on_call_ended(0, 0, Outcome::success, sent + 0.001 * i, sent + 3);
  // No call is pending any more: silence from here on is no evidence.
  for (now = sent + 3; now < sent + 30; now += 0.1) CHECK(detector.tick(now).empty());
}

// Guards against a sound node that is reported for a silence in which the router itself did not run: one part
// unanswered before a stall of the router and one after it were taken for one long silence.
TEST_CASE("parts that are unanswered before and after a stall of the router are not one silence") {
  constexpr int kSoundCalls = 50;
  constexpr double kLatency = 0.005, kUnansweredSeconds = 0.03, kStallSeconds = 1.1;
  AnomalyDetector detector(AnomalyLimits{}, 1, 0);
  detector.add_node(0, 0, 0);
  detector.set_node_up(0, true, 0);
  double at = 0;
  const auto call = [&](Outcome outcome, double seconds) {
    detector.on_call_sent(0, 0, at);
    const auto sent_at = at;
    at += seconds;
    detector.on_call_ended(0, 0, outcome, sent_at, at);
  };
  for (int i = 0; i < kSoundCalls; ++i) call(Outcome::success, kLatency);
  call(Outcome::cancelled, kUnansweredSeconds);
  at += kStallSeconds;
  detector.on_router_stall(kStallSeconds, at);
  call(Outcome::cancelled, kUnansweredSeconds);
  detector.on_load_response(0, at);
  for (int tick = 0; tick < 10; ++tick) CHECK(shown(detector.tick(at + tick * 0.1)).empty());
  SUBCASE("a silence that goes on after it is reported") {
    call(Outcome::cancelled, kUnansweredSeconds);
    call(Outcome::cancelled, kUnansweredSeconds);
    std::vector<AnomalyEvent> events;
    for (int tick = 0; tick < 10 && events.empty(); ++tick) events = detector.tick(at += 0.1);
    REQUIRE(!events.empty());
    CHECK(events[0].node == 0);
  }
}

// Guards against a stalled node that is never reported because the router avoids it from the first silent
// part on, so that there is too little evidence.
TEST_CASE(
    "one silent part and no load report is a stall; one silent part of a node that reports its load is not") {
  for (const bool reports_load : {false, true}) {
    CAPTURE(reports_load);
    AnomalyDetector detector({}, 1, 0);
    detector.add_node(0, 0, 0);
    double now = 0;
    const auto ask = [&](bool answered) {
      detector.on_load_request(0, now);
      if (answered) detector.on_load_response(0, now + 0.002);
    };
    for (int i = 0; i < 200; ++i, now += 0.05) {
      detector.on_call_sent(0, 0, now);
      detector.on_call_ended(0, 0, Outcome::success, now, now + 0.02);
      if (i % 4 == 0) ask(true);
      CHECK(detector.tick(now).empty());
    }
    const auto sent = now;
    detector.on_call_sent(0, 0, sent);
    std::vector<AnomalyEvent> events;
    for (int i = 0; i < 40; ++i, now += 0.1) {
      if (i == 2) detector.on_call_ended(0, 0, Outcome::cancelled, sent, now);
      // The silent connection is closed, and the load is requested over another one.
      if (i == 3) ask(reports_load), detector.on_load_connection_closed(0, now);
      if (i == 5) ask(reports_load);
      for (const auto& event : detector.tick(now)) events.push_back(event);
    }
    CAPTURE(shown(events));
    CHECK(events.empty() == reports_load);
    if (events.empty()) continue;
    CHECK(events[0].kind == Departure::stall);
    CHECK(events[0].detected_at < sent + 2);
  }
}

TEST_CASE("a node with a part every 7 s beside others with 50 a second") {
  Spec spec;
  spec.rates = {1.0 / 7, 50, 50, 50, 50, 50};
  spec.nodes = 6;
  spec.length = 700;
  spec.planted = {{Trouble::swallow, 1, 500, 600, kNone, {0}}};
  const auto events = streams::tell(spec);
  CAPTURE(shown(events));
  REQUIRE(!events.empty());
  for (const auto& event : events) CHECK(event.node == 0);
  CHECK(events[0].detected_at > 500);
  CHECK(events[0].detected_at < 560);
}

TEST_CASE("quiet streams, answers lost now and then included, raise no alarm") {
  for (const auto lost : {0.0, 0.02}) {
    Spec spec;
    spec.length = 600;
    spec.lost = lost;
    const auto events = streams::tell(spec);
    CAPTURE(shown(events));
    CHECK(events.size() <= 2);
  }
}

TEST_CASE("removing a node ends its anomalies; the next node of its number starts without a baseline") {
  AnomalyDetector detector({}, 1, 0);
  detector.add_node(0, 0, 0);
  double now = 0;
  const auto serve = [&](int many, double took) {
    for (int i = 0; i < many; ++i) {
      detector.on_call_sent(0, 0, now);
      detector.on_call_ended(0, 0, Outcome::success, now, now + took);
      now += 0.1;
      detector.tick(now);
    }
  };
  serve(100, 0.02);
  for (int i = 0; i < 5; ++i) detector.on_call_sent(0, 0, now);
  std::vector<AnomalyEvent> events;
  for (int i = 0; i < 30; ++i) {
    now += 0.1;
    for (const auto& event : detector.tick(now)) events.push_back(event);
  }
  REQUIRE(!events.empty());
  REQUIRE(!detector.open().empty());
  detector.remove_node(0, now);
  events = detector.tick(now);
  REQUIRE(events.size() == 1);
  CHECK(events[0].ended);
  CHECK(detector.open().empty());
  detector.add_node(0, 0, now);
  serve(100, 0.4);  // slow from the start is this node's baseline
  CHECK(detector.open().empty());
}

TEST_CASE("a thousand nodes at once: events are bounded, and the dropped ones counted") {
  AnomalyLimits limits;
  limits.max_open = 64;
  limits.fleet_share = 1;  // no event of the whole fleet: each node by itself
  AnomalyDetector detector(limits, 1, 0);
  for (int node = 0; node < 1000; ++node) {
    detector.add_node(node, 0, 0);
    for (int i = 0; i < 12; ++i) detector.on_connection_error(node, 1 + 0.01 * i);
  }
  for (int node = 0; node < 10; ++node) detector.on_call_sent(node, 0, 1);
  std::size_t event_count = 0;
  for (double now = 1.2; now < 3; now += 0.1) {
    const auto tick_events = detector.tick(now);
    CHECK(tick_events.size() <= AnomalyDetector::kMaxEventsPerTick);
    event_count += tick_events.size();
  }
  CHECK(detector.open().size() <= 64);
  CHECK(event_count <= 64);
  CHECK(detector.dropped_events() > 0);
}

TEST_CASE("a node that changes its state again and again flaps") {
  AnomalyDetector detector({}, 1, 0);
  detector.add_node(0, 0, 0);
  std::vector<AnomalyEvent> events;
  for (int i = 1; i <= 100; ++i) {
    if (i <= 5) detector.set_node_up(0, i % 2 == 0, i);
    for (const auto& event : detector.tick(i)) events.push_back(event);
  }
  REQUIRE(events.size() == 2);
  CHECK(events[0].kind == Departure::flaps);
  CHECK(events[1].ended);
}

TEST_CASE("a node that is slow for longer than the stated slow start") {
  AnomalyLimits limits;
  limits.slow_start_seconds = 5;
  AnomalyDetector detector(limits, 1, 0);
  std::vector<AnomalyEvent> events;
  for (int node = 0; node < 8; ++node) detector.add_node(node, node == 2 ? 1 : 0, 1);
  for (double now = 1; now < 12; now += 0.1) {
    for (int node = 0; node < 8; ++node) {
      detector.on_call_sent(node, 0, now);
      detector.on_call_ended(node, 0, Outcome::success, now, now + (node == 2 && now < 10 ? 0.2 : 0.01));
    }
    for (const auto& event : detector.tick(now + 0.05)) events.push_back(event);
  }
  CAPTURE(shown(events));
  const auto cold =
      std::find_if(events.begin(), events.end(), [](const auto& n) { return n.kind == Departure::cold; });
  REQUIRE(cold != events.end());
  CHECK(cold->node == 2);
  CHECK(cold->started_at == 6);
}

TEST_CASE("the same calls give the same reports") {
  Spec spec;
  spec.planted = {{Trouble::swallow, 0.7, 20, 40, kNone, {1}}, {Trouble::slow, 3, 30, 50, kNone, {4}}};
  CHECK(shown(streams::tell(spec)) == shown(streams::tell(spec)));
}

TEST_SUITE_END();
