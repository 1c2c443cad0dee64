// The versions a router acts on, its doubts, what it makes of orders.
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

bool doubts(const Versions& v, Doubt kind) {
  const auto all = v.doubts();
  return std::any_of(all.begin(), all.end(), [&](const Doubted& d) { return d.kind == kind; });
}

Order order(long long term, long long number, Step step, double until) {
  return {term, number, "r-1", step, "why", until, "127.0.0.1:1"};
}

}  // namespace

TEST_SUITE_BEGIN("versions");

TEST_CASE("a count that starts again, or another source, begins an epoch") {
  Versions v({64, 1000}, 1, 0);
  const auto epoch = [&] { return v.version(Subject::list).epoch; };
  struct {
    long long count;
    std::uint64_t hash;
    const char* source;
    bool full, changes;
    int epoch;
  } cases[] = {
      {5, 1, "a", true, true, 1},  {6, 2, "a", false, true, 1},
      {6, 2, "a", true, false, 1}, {9, 3, "a", false, true, 1},  // counts may skip
      {1, 4, "a", true, true, 2},                                // it has started again
      {2, 5, "a", false, true, 2}, {7, 5, "b", true, true, 3},   // another source, whatever its count
  };
  double now = 1;
  for (const auto& c : cases) {
    CAPTURE(c.count);
    CHECK(v.list(c.count, c.hash, c.source, c.full, now, now) == c.changes);
    CHECK(epoch() == c.epoch);
    ++now;
  }
}

TEST_CASE("what is done belongs to the versions it was done by") {
  Versions v({64, 1000}, 2, 0);
  v.list(1, 11, "a", true, 1, 1);
  v.listed(3, "s-3", true);
  v.sent(0, Act::first, 3, 1.5);
  v.sent(1, Act::copy, 3, 1.7);
  v.list(2, 12, "a", false, 2, 2);
  v.sent(0, Act::resent, 3, 2.5);
  v.unsent(0, 3);
  v.answered(1, Act::rejected);
  REQUIRE(v.closed().size() == 2);
  const auto& first = v.closed().back();
  CHECK(first.by[0].count == 1);
  CHECK(first.acts[0][static_cast<std::size_t>(Act::first)] == 1);
  CHECK(first.acts[1][static_cast<std::size_t>(Act::copy)] == 1);
  REQUIRE(first.nodes.size() == 1);
  CHECK(first.nodes[0].name == "s-3");
  CHECK(first.nodes[0].sent == 2);
  CHECK(first.nodes[0].first == 1.5);
  CHECK(first.nodes[0].last == 1.7);
  const auto open = v.open();
  CHECK(open.by[0].count == 2);
  CHECK(open.sums()[static_cast<std::size_t>(Act::resent)] == 1);
  CHECK(open.sums()[static_cast<std::size_t>(Act::unsent)] == 1);
  CHECK(open.sums()[static_cast<std::size_t>(Act::rejected)] == 1);
  CHECK(open.nodes.at(0).sent == 1);
}

TEST_CASE("what finds no room is a stated gap") {
  Versions v({3, 1000}, 1, 0);
  for (int i = 1; i <= 10; ++i) v.list(i, static_cast<std::uint64_t>(i), "a", false, i, i);
  CHECK(v.closed().size() == 3);
  CHECK(v.gap_until() == 7);  // the interval that ended then is the last that is gone
  CHECK(v.oldest() == v.closed().front().number);
  // And of nodes, be it one interval with too many.
  Versions few({100, 4}, 1, 0);
  few.list(1, 1, "a", true, 1, 1);
  for (int n = 0; n < 6; ++n) few.sent(0, Act::first, n, 1.5);
  few.list(2, 2, "a", false, 2, 2);
  CHECK(few.closed().empty());
  CHECK(few.gap_until() == 2);
}

TEST_CASE("doubt: kinds, and what ends them") {
  Versions v({8, 100}, 1, 0);
  v.list(10, 1, "a", true, 1, 1);
  SUBCASE("a silent watch, until anything is heard") {
    v.watch_lost(4);
    REQUIRE(doubts(v, Doubt::silent));
    CHECK(v.doubted_since() == 1);  // from the last word on
    v.tick(6, {});
    CHECK(v.doubts()[0].evidence == doctest::Approx(5));
    v.heard(7);
    CHECK(v.doubted_since() == 0);
  }
  SUBCASE("a count that runs backwards, until the whole list comes") {
    v.passed_over(3, 5);
    CHECK(doubts(v, Doubt::gap));
    v.list(11, 2, "a", false, 6, 6);
    CHECK(doubts(v, Doubt::gap));
    v.list(4, 3, "a", true, 7, 7);
    CHECK(v.doubts().empty());
    CHECK(v.version(Subject::list).epoch == 2);
  }
  SUBCASE("one count, two contents") {
    v.list(10, 2, "a", false, 6, 6);
    CHECK(doubts(v, Doubt::contradicts));
  }
  SUBCASE("nodes that turn all away though they are listed ready") {
    for (int n = 0; n < 5; ++n) v.listed(n, "s-" + std::to_string(n), true);
    const auto turn_away = [&](int node, double from) {
      for (int i = 0; i < 6; ++i) v.ended(node, Outcome::overloaded, from + 0.5 * i);
    };
    turn_away(2, 10);
    v.tick(13, {});
    CHECK(doubts(v, Doubt::turned_away));
    CHECK(v.doubts()[0].node == 2);
    v.ended(2, Outcome::success, 13.5);
    v.tick(14, {});
    CHECK(!doubts(v, Doubt::turned_away));
    // Where most do, it is the load; at a site that is lost, it is the site.
    turn_away(2, 20);
    v.tick(23, {false, false, true});
    CHECK(!doubts(v, Doubt::turned_away));
    for (int n = 0; n < 3; ++n) turn_away(n, 20);
    v.tick(23, {});
    CHECK(!doubts(v, Doubt::turned_away));
    // What is told to be draining is no news.
    turn_away(4, 30);
    v.listed(4, "s-4", false);
    v.listed(0, "s-0", false);
    v.listed(1, "s-1", false);
    v.listed(2, "s-2", false);
    v.tick(33, {});
    CHECK(!doubts(v, Doubt::turned_away));
  }
  SUBCASE("a file that is kept, until one is taken; no other list would help") {
    v.kept(true, 5);
    CHECK(doubts(v, Doubt::kept));
    CHECK(v.doubted_since() == 0);
    v.kept(false, 6);
    CHECK(v.doubts().empty());
  }
  SUBCASE("refused connections are told apart") {
    for (int n = 0; n < 5; ++n) v.listed(n, "s", true);
    for (int i = 0; i < 6; ++i) v.ended(1, Outcome::unreachable, 10 + 0.5 * i);
    v.tick(13, {});
    CHECK(doubts(v, Doubt::refused));
    CHECK(!doubts(v, Doubt::turned_away));
  }
}

TEST_CASE("content: the order of members and their addresses do not matter, the rest does") {
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

TEST_CASE("told versions are read as they were told") {
  Stand s;
  s.router = "r\"1";
  s.site = "rennes";
  s.unix = 1700000000.25;
  s.began = 1699999999.5;
  s.serving = true;
  s.taking = Taking::aside;
  s.taking_why = "an order";
  s.term = 3;
  s.number = 9;
  s.verdict = "taken";
  s.by[0] = {57, 2, 0xfedcba9876543210ULL, "127.0.0.1:9", 1700000000, 1700000000};
  s.doubts.push_back({"silent", 1700000000, 3.5, ""});
  s.oldest = 4;
  s.open = 8;
  const auto told = versions_from_json(to_json(s));
  REQUIRE(std::holds_alternative<Stand>(told));
  const auto& read = std::get<Stand>(told);
  CHECK(to_json(read) == to_json(s));
  Versions v({8, 100}, 2, 100);
  v.list(57, 0xfedcba9876543210ULL, "a", true, 101, 101);
  v.listed(1, "s-1", true);
  v.sent(1, Act::copy, 1, 102);
  v.list(58, 3, "a", false, 103, 103);
  const auto again = versions_from_json(to_json(v.closed().back(), 1700000000, {"look", "report"}));
  REQUIRE(std::holds_alternative<ToldInterval>(again));
  const auto& interval = std::get<ToldInterval>(again);
  CHECK(interval.verticals == std::vector<std::string>{"look", "report"});
  CHECK(interval.interval.by[0].hash == 0xfedcba9876543210ULL);
  CHECK(interval.interval.from == doctest::Approx(1700000101));
  CHECK(interval.interval.acts[1][static_cast<std::size_t>(Act::copy)] == 1);
  CHECK(interval.interval.nodes.at(0).name == "s-1");
  for (const auto* broken : {"", "{", "[]", "{\"interval\":\"x\"", "{\"router\":1}"})
    CHECK(std::holds_alternative<std::monostate>(versions_from_json(broken)));
}

TEST_CASE("orders: what is taken, what is refused and why") {
  Service::State sound;
  struct {
    const char* what;
    Order order;
    Service::State state;
    Verdict verdict;
  } cases[] = {
      {"a lower term", order(1, 9, Step::ask_again, 110), sound, Verdict::lower_term},
      {"an old number", order(2, 4, Step::ask_again, 110), sound, Verdict::old_number},
      {"the same again", order(2, 5, Step::ask_again, 110), sound, Verdict::known},
      {"another router's", {2, 6, "r-2", Step::ask_again, "", 110, ""}, sound, Verdict::of_another},
      {"lapsed", order(2, 6, Step::ask_again, 100), sound, Verdict::lapsed},
      {"for too long", order(2, 6, Step::step_aside, 1100), sound, Verdict::too_long},
      {"while a site is lost", order(2, 6, Step::step_aside, 110), {true, false, 0}, Verdict::site_lost},
      {"while it ends", order(2, 6, Step::shut_out, 110), {false, true, 0}, Verdict::draining},
      {"asking is no harm then", order(2, 6, Step::ask_again, 110), {true, true, 0}, Verdict::taken},
      {"the next", order(2, 6, Step::step_aside, 110), sound, Verdict::taken},
      {"a higher term begins its numbers anew", order(3, 1, Step::ask_again, 110), sound, Verdict::taken},
  };
  for (const auto& c : cases) {
    CAPTURE(std::string(c.what));
    Service service({}, "r-1", 1);
    REQUIRE(service.order(order(2, 5, Step::ask_again, 110), sound, WallTime{100}, 0) == Verdict::taken);
    CHECK(service.order(c.order, c.state, WallTime{100}, 0) == c.verdict);
  }
}

TEST_CASE("an order holds until it lapses, another takes its place, or a site is lost") {
  Service service({}, "r-1", 1);
  const Service::State sound;
  REQUIRE(service.order(order(1, 1, Step::step_aside, 110), sound, WallTime{100}, 0) == Verdict::taken);
  CHECK(service.taking() == Taking::aside);
  CHECK(!service.healthy());
  CHECK(!service.bars(1));  // it serves what still comes
  service.tick(sound, 9);
  CHECK(service.taking() == Taking::aside);
  SUBCASE("lapses by itself") {
    service.tick(sound, 10);
    CHECK(service.taking() == Taking::in);
  }
  SUBCASE("a site is lost") {
    service.tick({true, false, 0}, 9);
    CHECK(service.taking() == Taking::in);
  }
  SUBCASE("shut out, and back by steps") {
    REQUIRE(service.order(order(1, 2, Step::shut_out, 120), sound, WallTime{109}, 9) == Verdict::taken);
    for (int i = 0; i < 20; ++i) CHECK(service.bars(9.1));
    REQUIRE(service.order(order(1, 3, Step::back, 120), sound, WallTime{111}, 11) == Verdict::taken);
    CHECK(service.taking() == Taking::returning);
    CHECK(service.healthy());
    const auto barred = [&](double at) {
      int many = 0;
      for (int i = 0; i < 1000; ++i) many += service.bars(at);
      return many;
    };
    CHECK(barred(11.5) > 650);
    CHECK(barred(11.5) < 850);
    CHECK(barred(12.5) > 400);
    CHECK(barred(12.5) < 600);
    service.tick(sound, 13.1);
    CHECK(service.taking() == Taking::in);
    CHECK(!service.bars(13.2));
  }
  SUBCASE("an old word does not bring it back") {
    REQUIRE(service.order(order(2, 1, Step::step_aside, 120), sound, WallTime{105}, 5) == Verdict::taken);
    CHECK(service.order(order(1, 9, Step::back, 120), sound, WallTime{106}, 6) == Verdict::lower_term);
    CHECK(service.taking() == Taking::aside);
  }
}

TEST_CASE("by itself: it asks again, ever more rarely, and few step aside") {
  int aside = 0, asked = 0;
  constexpr int kRouters = 1000;
  for (int i = 0; i < kRouters; ++i) {
    Service service({true, 0.1, 900}, "r-1", static_cast<std::uint64_t>(i));
    int own = 0;
    for (double now = 0; now < 40; now += 0.2)
      for (const auto step : service.tick({false, false, now < 1 ? 0.0 : 1.0}, now)) {
        CHECK(step == Step::ask_again);
        ++own;
      }
    CHECK(own >= 3);
    CHECK(own <= 7);
    asked += own;
    aside += service.taking() == Taking::aside;
    service.tick({}, 41);  // the doubt is over
    CHECK(service.taking() == Taking::in);
  }
  CHECK(aside > kRouters / 20);
  CHECK(aside < kRouters / 6);
  Service off({}, "r-1", 1);
  for (double now = 0; now < 40; now += 0.2) CHECK(off.tick({false, false, 1}, now).empty());
}

TEST_CASE("an order's file is taken whole or not at all") {
  const auto written = order(4, 2, Step::follow, 1764633600);
  const auto read = read_order(to_info(written));
  CHECK(read.term == 4);
  CHECK(read.number == 2);
  CHECK(read.router == "r-1");
  CHECK(read.step == Step::follow);
  CHECK(read.until == 1764633600);
  CHECK(read.agent == "127.0.0.1:1");
  auto odd = written;
  odd.why = "it said \"no\" { ; }";
  CHECK(read_order(to_info(odd)).why == odd.why);
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
      read_order(text);
      FAIL_CHECK("it was taken");
    } catch (const InfoFileError& bad) {
      CHECK(std::string(bad.what()).find(expected) != std::string::npos);
    }
  }
}

TEST_CASE("properties") {
  // Whatever changes and is done: each action stands in exactly one interval, or in the stated gap.
  CHECK(rc::check("intervals cover every action once", [] {
    Versions v({1000, 100000}, 2, 0);
    std::map<int, std::uint32_t> sent;
    std::uint64_t all = 0;
    double now = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const auto step : steps) {
      now += 0.01;
      if (step < 8) {
        v.list(step, static_cast<std::uint64_t>(step * 3), step % 2 ? "a" : "b", step == 7, now, now);
      } else if (step < 10) {
        v.file(Subject::operators, static_cast<std::uint64_t>(step), "f", now);
      } else {
        v.sent(step % 2, step < 20 ? Act::first : Act::copy, step % 5, now);
        ++sent[step % 5];
        ++all;
      }
    }
    std::map<int, std::uint32_t> counted;
    std::uint64_t acts = 0;
    double end = 0;
    auto intervals = std::vector<Interval>(v.closed().begin(), v.closed().end());
    intervals.push_back(v.open());
    for (const auto& i : intervals) {
      RC_ASSERT(i.from == end);  // without a gap between them
      end = i.to;
      const auto sums = i.sums();
      acts += sums[0] + sums[1];
      for (const auto& n : i.nodes) {
        counted[n.node] += n.sent;
        RC_ASSERT(n.first >= i.from);
        RC_ASSERT(i.to == 0 || n.last <= i.to);
      }
    }
    RC_ASSERT(acts == all);
    RC_ASSERT(counted == sent);
  }));
  // Whatever orders come in whatever order, repeated or late: no lower term is obeyed after a higher one, and
  // a router always comes back by itself.
  CHECK(rc::check("a sound router comes back", [] {
    Service service({}, "r-1", 3);
    long long highest = 0;
    double now = 0;
    const auto orders = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(1, 5), rc::gen::inRange(1, 9), rc::gen::inRange(0, 6), rc::gen::inRange(-5, 900)));
    for (const auto& [term, number, step, lasts] : orders) {
      now += 0.5;
      const auto verdict = service.order(order(term, number, static_cast<Step>(step), now + lasts),
                                         {step == 2, number == 8, 0}, WallTime{now}, now);
      if (verdict == Verdict::taken) {
        RC_ASSERT(term >= highest);
        highest = term;
      }
      service.tick({}, now);
    }
    service.tick({}, now + 901);
    service.tick({}, now + 905);
    RC_ASSERT(service.taking() == Taking::in);
    RC_ASSERT(!service.bars(now + 905));
  }));
}

TEST_SUITE_END();
