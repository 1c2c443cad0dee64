// The versions a router acts on, its suspicions that they are stale, and how it handles orders.
#include "versions/versions.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "operators/operators.hpp"
#include "router/version_reporter.hpp"
#include "versions/orders.hpp"
#include "versions/record.hpp"
#include "versions/service.hpp"

using namespace yoketurn;

namespace {

bool suspects(const VersionTracker& v, StalenessKind kind) {
  const auto all = v.suspicions();
  return std::any_of(all.begin(), all.end(), [&](const StalenessSuspicion& d) { return d.kind == kind; });
}

Order order(long long term, long long number, OrderStep step, double until) {
  return {term, number, "r-1", step, "why", until, "127.0.0.1:1"};
}

}  // namespace

TEST_SUITE_BEGIN("versions");

TEST_CASE("a count that starts again, or another source, starts a new epoch") {
  VersionTracker v({64, 1000}, 1, 0);
  const auto epoch = [&] { return v.version(VersionedInput::list).epoch; };
  struct {
    long long count;
    std::uint64_t hash;
    const char* source;
    bool full, changes;
    int epoch;
  } cases[] = {
      {5, 1, "a", true, true, 1},  {6, 2, "a", false, true, 1},
      {6, 2, "a", true, false, 1}, {9, 3, "a", false, true, 1},  // counts may skip
      {1, 4, "a", true, true, 2},                                // the count has started again
      {2, 5, "a", false, true, 2}, {7, 5, "b", true, true, 3},   // another source, whatever its count
  };
  double now = 1;
  for (const auto& c : cases) {
    CAPTURE(c.count);
    CHECK(v.apply_list(c.count, c.hash, c.source, c.full, now, now) == c.changes);
    CHECK(epoch() == c.epoch);
    ++now;
  }
}

TEST_CASE("actions are counted in the interval of the versions they were done by") {
  VersionTracker v({64, 1000}, 2, 0);
  v.apply_list(1, 11, "a", true, 1, 1);
  v.set_node(3, "s-3", true);
  v.record_sent(0, RouterAction::first, 3, 1.5);
  v.record_sent(1, RouterAction::copy, 3, 1.7);
  v.apply_list(2, 12, "a", false, 2, 2);
  v.record_sent(0, RouterAction::resent, 3, 2.5);
  v.record_unsent(0, 3);
  v.record_query_end(1, RouterAction::rejected);
  REQUIRE(v.closed_intervals().size() == 2);
  const auto& first = v.closed_intervals().back();
  CHECK(first.versions[0].count == 1);
  CHECK(first.actions[0][static_cast<std::size_t>(RouterAction::first)] == 1);
  CHECK(first.actions[1][static_cast<std::size_t>(RouterAction::copy)] == 1);
  REQUIRE(first.nodes.size() == 1);
  CHECK(first.nodes[0].name == "s-3");
  CHECK(first.nodes[0].sent == 2);
  CHECK(first.nodes[0].first_sent_at == 1.5);
  CHECK(first.nodes[0].last_sent_at == 1.7);
  const auto open = v.open_interval();
  CHECK(open.versions[0].count == 2);
  CHECK(open.total_actions()[static_cast<std::size_t>(RouterAction::resent)] == 1);
  CHECK(open.total_actions()[static_cast<std::size_t>(RouterAction::unsent)] == 1);
  CHECK(open.total_actions()[static_cast<std::size_t>(RouterAction::rejected)] == 1);
  CHECK(open.nodes.at(0).sent == 1);
}

TEST_CASE("intervals that exceed the limits are dropped, and until when is known") {
  VersionTracker v({3, 1000}, 1, 0);
  for (int i = 1; i <= 10; ++i) v.apply_list(i, static_cast<std::uint64_t>(i), "a", false, i, i);
  CHECK(v.closed_intervals().size() == 3);
  CHECK(v.dropped_until() == 7);  // the last dropped interval ended then
  CHECK(v.oldest_interval_number() == v.closed_intervals().front().number);
  // The limit of nodes applies too, even if one interval alone exceeds it.
  VersionTracker few({100, 4}, 1, 0);
  few.apply_list(1, 1, "a", true, 1, 1);
  for (int n = 0; n < 6; ++n) few.record_sent(0, RouterAction::first, n, 1.5);
  few.apply_list(2, 2, "a", false, 2, 2);
  CHECK(few.closed_intervals().empty());
  CHECK(few.dropped_until() == 2);
}

TEST_CASE("suspicions: their kinds, and what ends them") {
  VersionTracker v({8, 100}, 1, 0);
  v.apply_list(10, 1, "a", true, 1, 1);
  SUBCASE("a silent watch, until anything is heard") {
    v.on_watch_lost(4);
    REQUIRE(suspects(v, StalenessKind::silent));
    CHECK(v.suspected_since() == 1);  // since the last data from the watch
    v.tick(6, {});
    CHECK(v.suspicions()[0].evidence == doctest::Approx(5));
    v.on_watch_data(7);
    CHECK(v.suspected_since() == 0);
  }
  SUBCASE("a count that runs backwards, until a whole list arrives") {
    v.on_stale_list(3, 5);
    CHECK(suspects(v, StalenessKind::gap));
    v.apply_list(11, 2, "a", false, 6, 6);
    CHECK(suspects(v, StalenessKind::gap));
    v.apply_list(4, 3, "a", true, 7, 7);
    CHECK(v.suspicions().empty());
    CHECK(v.version(VersionedInput::list).epoch == 2);
  }
  SUBCASE("one count, two contents") {
    v.apply_list(10, 2, "a", false, 6, 6);
    CHECK(suspects(v, StalenessKind::contradicts));
  }
  SUBCASE("nodes that reject all calls though they are listed as ready") {
    for (int n = 0; n < 5; ++n) v.set_node(n, "s-" + std::to_string(n), true);
    const auto reject_calls = [&](int node, double from) {
      for (int i = 0; i < 6; ++i) v.on_call_ended(node, Outcome::overloaded, from + 0.5 * i);
    };
    reject_calls(2, 10);
    v.tick(13, {});
    CHECK(suspects(v, StalenessKind::turned_away));
    CHECK(v.suspicions()[0].node == 2);
    v.on_call_ended(2, Outcome::success, 13.5);
    v.tick(14, {});
    CHECK(!suspects(v, StalenessKind::turned_away));
    // At a lost site, and if most nodes reject calls because of the load, the list is not suspected.
    reject_calls(2, 20);
    v.tick(23, {false, false, true});
    CHECK(!suspects(v, StalenessKind::turned_away));
    for (int n = 0; n < 3; ++n) reject_calls(n, 20);
    v.tick(23, {});
    CHECK(!suspects(v, StalenessKind::turned_away));
    // The list says that these nodes drain, so their rejections are expected.
    reject_calls(4, 30);
    v.set_node(4, "s-4", false);
    v.set_node(0, "s-0", false);
    v.set_node(1, "s-1", false);
    v.set_node(2, "s-2", false);
    v.tick(33, {});
    CHECK(!suspects(v, StalenessKind::turned_away));
  }
  SUBCASE("a file with entries that can't be applied, until one can; another list would not help") {
    v.on_file_reloaded(true, 5);
    CHECK(suspects(v, StalenessKind::kept));
    CHECK(v.suspected_since() == 0);
    v.on_file_reloaded(false, 6);
    CHECK(v.suspicions().empty());
  }
  SUBCASE("refused connections are told apart") {
    for (int n = 0; n < 5; ++n) v.set_node(n, "s", true);
    for (int i = 0; i < 6; ++i) v.on_call_ended(1, Outcome::unreachable, 10 + 0.5 * i);
    v.tick(13, {});
    CHECK(suspects(v, StalenessKind::refused));
    CHECK(!suspects(v, StalenessKind::turned_away));
  }
}

TEST_CASE("content hash: the order of members and their addresses do not matter, the rest does") {
  Member a{"s-1", {}, "x", 1, true, false, 5}, b{"s-2", {}, "y", 2, true, false, 0};
  const std::vector<Member> both{a, b}, swapped{b, a};
  const auto hash = content_hash(std::span<const Member>(both));
  CHECK(content_hash(std::span<const Member>(swapped)) == hash);
  const auto altered = [&](auto change) {
    auto list = both;
    change(list[0]);
    return content_hash(std::span<const Member>(list));
  };
  CHECK(altered([](Member& m) { m.endpoint = *parse_endpoint("127.0.0.1:9"); }) == hash);
  CHECK(altered([](Member& m) { m.up = false; }) != hash);
  CHECK(altered([](Member& m) { m.id = "s-3"; }) != hash);
  CHECK(altered([](Member& m) { m.zone = "z"; }) != hash);
  CHECK(altered([](Member& m) { m.cell = 3; }) != hash);
  CHECK(altered([](Member& m) { m.started_at = {6}; }) != hash);
}

TEST_CASE("version lines are parsed as they were written") {
  VersionReport s;
  s.router = "r\"1";
  s.site = "rennes";
  s.unix_time = 1700000000.25;
  s.process_started_at = 1699999999.5;
  s.serving = true;
  s.participation = Participation::aside;
  s.participation_reason = "an order";
  s.order_term = 3;
  s.order_number = 9;
  s.order_verdict = "taken";
  s.versions[0] = {57, 2, 0xfedcba9876543210ULL, "127.0.0.1:9", 1700000000, 1700000000};
  s.suspicions.push_back({"silent", 1700000000, 3.5, ""});
  s.oldest_interval = 4;
  s.open_interval = 8;
  const auto line = parse_versions_line(to_json(s));
  REQUIRE(std::holds_alternative<VersionReport>(line));
  const auto& read = std::get<VersionReport>(line);
  CHECK(to_json(read) == to_json(s));
  VersionTracker v({8, 100}, 2, 100);
  v.apply_list(57, 0xfedcba9876543210ULL, "a", true, 101, 101);
  v.set_node(1, "s-1", true);
  v.record_sent(1, RouterAction::copy, 1, 102);
  v.apply_list(58, 3, "a", false, 103, 103);
  const auto interval_line =
      parse_versions_line(to_json(v.closed_intervals().back(), 1700000000, {"look", "report"}));
  REQUIRE(std::holds_alternative<ReportedInterval>(interval_line));
  const auto& interval = std::get<ReportedInterval>(interval_line);
  CHECK(interval.verticals == std::vector<std::string>{"look", "report"});
  CHECK(interval.interval.versions[0].hash == 0xfedcba9876543210ULL);
  CHECK(interval.interval.started_at == doctest::Approx(1700000101));
  CHECK(interval.interval.actions[1][static_cast<std::size_t>(RouterAction::copy)] == 1);
  CHECK(interval.interval.nodes.at(0).name == "s-1");
  for (const auto* broken : {"", "{", "[]", "{\"interval\":\"x\"", "{\"router\":1}"})
    CHECK(std::holds_alternative<std::monostate>(parse_versions_line(broken)));
}

TEST_CASE("orders: what is taken, what is refused and why") {
  ParticipationController::RouterState no_restriction;
  struct {
    const char* what;
    Order order;
    ParticipationController::RouterState state;
    OrderVerdict verdict;
  } cases[] = {
      {"a lower term", order(1, 9, OrderStep::ask_again, 110), no_restriction, OrderVerdict::lower_term},
      {"an old number", order(2, 4, OrderStep::ask_again, 110), no_restriction, OrderVerdict::old_number},
      {"the same again", order(2, 5, OrderStep::ask_again, 110), no_restriction, OrderVerdict::known},
      {"another router's",
       {2, 6, "r-2", OrderStep::ask_again, "", 110, ""},
       no_restriction,
       OrderVerdict::of_another},
      {"lapsed", order(2, 6, OrderStep::ask_again, 100), no_restriction, OrderVerdict::lapsed},
      {"for too long", order(2, 6, OrderStep::step_aside, 1100), no_restriction, OrderVerdict::too_long},
      {"while a site is lost",
       order(2, 6, OrderStep::step_aside, 110),
       {true, false, 0},
       OrderVerdict::site_lost},
      {"while it drains", order(2, 6, OrderStep::shut_out, 110), {false, true, 0}, OrderVerdict::draining},
      {"requesting the list is permitted then",
       order(2, 6, OrderStep::ask_again, 110),
       {true, true, 0},
       OrderVerdict::taken},
      {"the next", order(2, 6, OrderStep::step_aside, 110), no_restriction, OrderVerdict::taken},
      {"a higher term starts its numbers again", order(3, 1, OrderStep::ask_again, 110), no_restriction,
       OrderVerdict::taken},
  };
  for (const auto& c : cases) {
    CAPTURE(std::string(c.what));
    ParticipationController controller({}, "r-1", 1);
    REQUIRE(controller.apply_order(order(2, 5, OrderStep::ask_again, 110), no_restriction, WallTime{100},
                                   0) == OrderVerdict::taken);
    CHECK(controller.apply_order(c.order, c.state, WallTime{100}, 0) == c.verdict);
  }
}

TEST_CASE("an order holds until it lapses, another takes its place, or a site is lost") {
  ParticipationController controller({}, "r-1", 1);
  const ParticipationController::RouterState no_restriction;
  REQUIRE(controller.apply_order(order(1, 1, OrderStep::step_aside, 110), no_restriction, WallTime{100}, 0) ==
          OrderVerdict::taken);
  CHECK(controller.participation() == Participation::aside);
  CHECK(!controller.healthy());
  CHECK(!controller.rejects_new_query(1));  // it serves the queries that still arrive
  controller.tick(no_restriction, 9);
  CHECK(controller.participation() == Participation::aside);
  SUBCASE("lapses by itself") {
    controller.tick(no_restriction, 10);
    CHECK(controller.participation() == Participation::in);
  }
  SUBCASE("a site is lost") {
    controller.tick({true, false, 0}, 9);
    CHECK(controller.participation() == Participation::in);
  }
  SUBCASE("shut out, and back by steps") {
    REQUIRE(controller.apply_order(order(1, 2, OrderStep::shut_out, 120), no_restriction, WallTime{109}, 9) ==
            OrderVerdict::taken);
    for (int i = 0; i < 20; ++i) CHECK(controller.rejects_new_query(9.1));
    REQUIRE(controller.apply_order(order(1, 3, OrderStep::back, 120), no_restriction, WallTime{111}, 11) ==
            OrderVerdict::taken);
    CHECK(controller.participation() == Participation::returning);
    CHECK(controller.healthy());
    const auto rejected = [&](double at) {
      int count = 0;
      for (int i = 0; i < 1000; ++i) count += controller.rejects_new_query(at);
      return count;
    };
    CHECK(rejected(11.5) > 650);
    CHECK(rejected(11.5) < 850);
    CHECK(rejected(12.5) > 400);
    CHECK(rejected(12.5) < 600);
    controller.tick(no_restriction, 13.1);
    CHECK(controller.participation() == Participation::in);
    CHECK(!controller.rejects_new_query(13.2));
  }
  SUBCASE("an order of a lower term does not bring it back") {
    REQUIRE(controller.apply_order(order(2, 1, OrderStep::step_aside, 120), no_restriction, WallTime{105},
                                   5) == OrderVerdict::taken);
    CHECK(controller.apply_order(order(1, 9, OrderStep::back, 120), no_restriction, WallTime{106}, 6) ==
          OrderVerdict::lower_term);
    CHECK(controller.participation() == Participation::aside);
  }
}

TEST_CASE("without orders: the list is requested again at growing intervals, and few routers step aside") {
  int aside = 0, asked = 0;
  constexpr int kRouters = 1000;
  for (int i = 0; i < kRouters; ++i) {
    ParticipationController controller({true, 0.1, 900}, "r-1", static_cast<std::uint64_t>(i));
    int own = 0;
    for (double now = 0; now < 40; now += 0.2)
      for (const auto step : controller.tick({false, false, now < 1 ? 0.0 : 1.0}, now)) {
        CHECK(step == OrderStep::ask_again);
        ++own;
      }
    CHECK(own >= 3);
    CHECK(own <= 7);
    asked += own;
    aside += controller.participation() == Participation::aside;
    controller.tick({}, 41);  // the suspicion has ended
    CHECK(controller.participation() == Participation::in);
  }
  CHECK(aside > kRouters / 20);
  CHECK(aside < kRouters / 6);
  ParticipationController off({}, "r-1", 1);
  for (double now = 0; now < 40; now += 0.2) CHECK(off.tick({false, false, 1}, now).empty());
}

TEST_CASE("an order's file is accepted as a whole or not at all") {
  const auto written = order(4, 2, OrderStep::follow, 1764633600);
  const auto read = parse_order(to_info(written));
  CHECK(read.term == 4);
  CHECK(read.number == 2);
  CHECK(read.router == "r-1");
  CHECK(read.step == OrderStep::follow);
  CHECK(read.expires_at == 1764633600);
  CHECK(read.discovery_agent == "127.0.0.1:1");
  auto odd = written;
  odd.reason = "it said \"no\" { ; }";
  CHECK(parse_order(to_info(odd)).reason == odd.reason);
  const std::pair<const char*, const char*> cases[] = {
      {"order { term 1 number 1 router r step back }", "order.until"},
      {"order { term 1 number 1 router r step leave until 2026-12-02T00:00:00Z }", "order.step"},
      {"order { term x number 1 router r step back until 2026-12-02T00:00:00Z }", "order.term"},
      {"order { term 1 number 1 router r step follow until 2026-12-02T00:00:00Z }", "order.agent"},
      {"order { term 1 number 1 router r step back until 2026-12-02T00:00:00Z agent 10.0.0.1:5 }",
       "order.agent"},
      {"order { term 1 nummer 1 router r step back until 2026-12-02T00:00:00Z }", "order.number"},
      {"order { term 1 number 1 rou", ""},
  };
  for (const auto& [text, expected] : cases) {
    CAPTURE(std::string(text));
    try {
      parse_order(text);
      FAIL_CHECK("the invalid order was accepted");
    } catch (const InfoFileError& bad) {
      CHECK(std::string(bad.what()).find(expected) != std::string::npos);
    }
  }
}

TEST_CASE("properties") {
  // Whatever versions change and actions happen: each action is counted in exactly one interval.
  CHECK(rc::check("intervals cover every action once", [] {
    VersionTracker v({1000, 100000}, 2, 0);
    std::map<int, std::uint32_t> sent;
    std::uint64_t all = 0;
    double now = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const auto step : steps) {
      now += 0.01;
      if (step < 8) {
        v.apply_list(step, static_cast<std::uint64_t>(step * 3), step % 2 ? "a" : "b", step == 7, now, now);
      } else if (step < 10) {
        v.apply_file(VersionedInput::operators, static_cast<std::uint64_t>(step), "f", now);
      } else {
        v.record_sent(step % 2, step < 20 ? RouterAction::first : RouterAction::copy, step % 5, now);
        ++sent[step % 5];
        ++all;
      }
    }
    std::map<int, std::uint32_t> counted;
    std::uint64_t acts = 0;
    double end = 0;
    auto intervals = std::vector<Interval>(v.closed_intervals().begin(), v.closed_intervals().end());
    intervals.push_back(v.open_interval());
    for (const auto& i : intervals) {
      RC_ASSERT(i.started_at == end);  // without a time between them
      end = i.ended_at;
      const auto sums = i.total_actions();
      acts += sums[0] + sums[1];
      for (const auto& n : i.nodes) {
        counted[n.node] += n.sent;
        RC_ASSERT(n.first_sent_at >= i.started_at);
        RC_ASSERT(i.ended_at == 0 || n.last_sent_at <= i.ended_at);
      }
    }
    RC_ASSERT(acts == all);
    RC_ASSERT(counted == sent);
  }));
  // Whatever orders arrive in whatever sequence, repeated or late: no lower term is obeyed after a higher
  // one, and the router always takes queries again by itself.
  CHECK(rc::check("the router always comes back", [] {
    ParticipationController controller({}, "r-1", 3);
    long long highest = 0;
    double now = 0;
    const auto orders = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(1, 5), rc::gen::inRange(1, 9), rc::gen::inRange(0, 6), rc::gen::inRange(-5, 900)));
    for (const auto& [term, number, step, lasts] : orders) {
      now += 0.5;
      const auto verdict =
          controller.apply_order(order(term, number, static_cast<OrderStep>(step), now + lasts),
                                 {step == 2, number == 8, 0}, WallTime{now}, now);
      if (verdict == OrderVerdict::taken) {
        RC_ASSERT(term >= highest);
        highest = term;
      }
      controller.tick({}, now);
    }
    controller.tick({}, now + 901);
    controller.tick({}, now + 905);
    RC_ASSERT(controller.participation() == Participation::in);
    RC_ASSERT(!controller.rejects_new_query(now + 905));
  }));
}

TEST_SUITE_END();
