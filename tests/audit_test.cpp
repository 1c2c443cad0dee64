// The auditor's core: accounts that merge, who is behind, which orders are given; its store and its readers.
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

#include "audit/account.hpp"
#include "audit/overseer.hpp"
#include "audit/stragglers.hpp"
#include "fleet/follow.hpp"
#include "fleet/roll.hpp"
#include "fleet/store.hpp"

using namespace yoketurn;
using namespace yoketurn::audit;

namespace {

// A fleet whose routers act on lists as they are told, seen by an auditor now and then.
struct Town {
  Account account;
  struct One {
    std::string site;
    double began = 0;
    std::uint64_t number = 0;
    Interval open;
    Version list, operators, build;
  };
  std::map<std::string, One> routers;

  explicit Town(const std::vector<std::pair<std::string, std::string>>& names) {
    for (const auto& [name, site] : names) start(name, site, 100);
  }
  void start(const std::string& name, const std::string& site, double at) {
    auto& one = routers[name];
    const auto build = one.build.hash;
    one = {};
    one.site = site;
    one.began = at;
    one.open.started_at = at;
    one.build = {1, 1, build == 0 ? 77 : build, "p", at, at};
    one.operators = {1, 1, 5, "f", at, at};
    change(name, at, [](One&) {});
  }
  template <class RouterAction>
  void change(const std::string& name, double at, RouterAction act) {
    auto& one = routers[name];
    if (at > one.open.started_at) {
      one.open.ended_at = at;
      account.take(name, one.began, {one.open, {"look"}});
      ++one.number;
    }
    act(one);
    one.open = {};
    one.open.number = one.number;
    one.open.started_at = at;
    one.open.actions.resize(1);
    const auto held = [](const Version& v) { return Interval::AppliedVersion{v.count, v.epoch, v.hash}; };
    one.open.versions = {held(one.list), {1, 1, 1}, held(one.operators), held(one.build)};
  }
  void list(const std::string& name, long long count, std::uint64_t hash, double at) {
    change(name, at, [&](One& one) {
      const auto epoch = one.list.epoch == 0 || count < one.list.count ? one.list.epoch + 1 : one.list.epoch;
      one.list = {count, epoch, hash, "a", at, at};
    });
  }
  void all(long long count, std::uint64_t hash, double at, const std::set<std::string>& but = {}) {
    for (const auto& [name, one] : routers)
      if (!but.contains(name)) list(name, count, hash, at);
  }
  void see(double at, const std::set<std::string>& but = {}) {
    for (const auto& [name, one] : routers) {
      if (but.contains(name)) {
        account.missed(name, at);
        continue;
      }
      VersionReport s;
      s.router = name;
      s.site = one.site;
      s.unix_time = at;
      s.process_started_at = one.began;
      s.serving = true;
      s.versions = {one.list, Version{1, 1, 1, "", one.began, one.began}, one.operators, one.build};
      account.take({s, at, 0, 0.001});
      account.take(name, one.began, {one.open, {"look"}});
    }
  }
};

const std::vector<std::pair<std::string, std::string>> kSix{{"a-0", "a"}, {"a-1", "a"}, {"b-0", "b"},
                                                            {"b-1", "b"}, {"c-0", "c"}, {"c-1", "c"}};

Condition of(const std::vector<Finding>& all, const std::string& router) {
  for (const auto& f : all)
    if (f.router == router) return f.condition;
  return Condition::last;
}

int many(const std::vector<Finding>& all, Condition condition) {
  return static_cast<int>(
      std::count_if(all.begin(), all.end(), [&](const Finding& f) { return f.condition == condition; }));
}

std::string fresh_store(const char* name) {
  const auto folder = std::filesystem::temp_directory_path();
  const auto file = "audit-test-" + std::to_string(getpid()) + "-" + name + ".db";
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().filename().string().starts_with(file)) std::filesystem::remove(entry.path());
  return (folder / file).string();
}

Seen seen(const std::string& router, double at) {
  VersionReport s;
  s.router = router;
  s.process_started_at = 50;
  s.unix_time = at;
  s.versions[0] = {7, 1, 70, "a", at, at};
  return {s, at, 0, 0.001};
}

ReportedInterval interval(std::uint64_t number, double from, double to, std::uint32_t sent = 1) {
  ReportedInterval told;
  told.verticals = {"look"};
  told.interval.number = number;
  told.interval.started_at = from;
  told.interval.ended_at = to;
  told.interval.versions[0] = {static_cast<long long>(number), 1, number * 10};
  told.interval.actions.push_back({sent});
  return told;
}

}  // namespace

TEST_SUITE_BEGIN("audit");

TEST_CASE("who is behind, who only looks so") {
  const StragglerLimits limits{Rule::fixed, 0.5, 3, 1, 3, 5};
  Town town(kSix);
  Stragglers stragglers(limits);
  town.all(1, 10, 101);
  town.see(110);
  CHECK(many(stragglers.look(town.account, 110), Condition::fine) == 6);
  SUBCASE("one that keeps the old list") {
    town.all(2, 20, 111, {"b-0"});
    town.see(112);
    CHECK(of(stragglers.look(town.account, 112), "b-0") == Condition::behind);
    town.see(115);
    const auto found = stragglers.look(town.account, 115);
    CHECK(of(found, "b-0") == Condition::straggler);
    CHECK(many(found, Condition::fine) == 5);
    town.list("b-0", 2, 20, 116);
    town.see(117);
    CHECK(of(stragglers.look(town.account, 117), "b-0") == Condition::fine);
  }
  SUBCASE("further changes do not make its lag younger") {
    for (int i = 0; i < 8; ++i) {
      town.all(2 + i, static_cast<std::uint64_t>(20 + i), 111 + i * 0.5, {"b-0"});
      town.see(111.2 + i * 0.5);
      stragglers.look(town.account, 111.2 + i * 0.5);
    }
    CHECK(of(stragglers.look(town.account, 114.7), "b-0") == Condition::straggler);
  }
  SUBCASE("less than the share is ahead: nobody is behind") {
    town.list("a-0", 2, 20, 111);
    town.list("a-1", 2, 20, 111);
    town.see(120);
    CHECK(many(stragglers.look(town.account, 120), Condition::straggler) == 0);
  }
  SUBCASE("all are behind alike") {
    town.see(200);
    CHECK(many(stragglers.look(town.account, 200), Condition::fine) == 6);
  }
  SUBCASE("out of reach") {
    town.all(2, 20, 111, {"b-0"});
    town.see(120, {"b-0"});
    CHECK(of(stragglers.look(town.account, 120), "b-0") == Condition::unreachable);
  }
  SUBCASE("a site out of reach") {
    town.see(120, {"b-0", "b-1"});
    const auto found = stragglers.look(town.account, 120);
    CHECK(of(found, "b-0") == Condition::site_out);
    CHECK(of(found, "b-1") == Condition::site_out);
  }
  SUBCASE("a site behind") {
    town.all(2, 20, 111, {"b-0", "b-1"});
    town.see(120);
    const auto found = stragglers.look(town.account, 120);
    CHECK(of(found, "b-0") == Condition::site_behind);
    CHECK(of(found, "b-1") == Condition::site_behind);
  }
  SUBCASE("just begun") {
    town.all(2, 20, 111, {"b-0"});
    town.start("b-0", "b", 118);
    town.list("b-0", 1, 10, 118);
    town.see(120);
    CHECK(of(stragglers.look(town.account, 120), "b-0") == Condition::starting);
    town.see(126);
    CHECK(of(stragglers.look(town.account, 126), "b-0") == Condition::straggler);
  }
  SUBCASE("a count that starts anew is not older") {
    town.all(50, 20, 111);
    town.list("b-0", 1, 20, 112);  // the same content, counted by another agent
    town.see(120);
    CHECK(of(stragglers.look(town.account, 120), "b-0") == Condition::fine);
    // And what follows is ordered by when it came, not by its count.
    town.all(51, 30, 121, {"b-0"});
    town.list("b-0", 2, 30, 121);
    town.see(130);
    CHECK(many(stragglers.look(town.account, 130), Condition::straggler) == 0);
  }
  SUBCASE("who is left with a high old count, when all others count anew, is behind") {
    town.all(50, 20, 111);
    town.all(1, 30, 112, {"b-0"});
    town.all(2, 40, 113, {"b-0"});
    town.see(120);
    const auto found = stragglers.look(town.account, 120);
    CHECK(of(found, "b-0") == Condition::straggler);
    CHECK(many(found, Condition::fine) == 5);
  }
  SUBCASE("a list that is again what it was") {
    town.all(2, 20, 111);
    town.all(3, 10, 112, {"b-0"});  // back to the first content
    town.see(120);
    CHECK(of(stragglers.look(town.account, 120), "b-0") == Condition::straggler);
  }
  SUBCASE("a program rolled out to a third and back: who has been left with it is behind") {
    const auto program = [&](const std::string& name, std::uint64_t hash, double at) {
      town.change(name, at, [&](Town::One& one) { one.build = {1, 1, hash, "p", at, at}; });
    };
    for (const auto* name : {"a-0", "b-0"}) program(name, 88, 111);
    town.see(120);
    CHECK(many(stragglers.look(town.account, 120), Condition::straggler) == 0);
    program("a-0", 77, 121);
    town.see(130);
    const auto found = stragglers.look(town.account, 130);
    CHECK(of(found, "b-0") == Condition::straggler);
    CHECK(of(found, "a-0") == Condition::fine);
  }
  SUBCASE("what nobody else ever had") {
    town.list("b-0", 1, 99, 111);
    town.see(120);
    CHECK(of(stragglers.look(town.account, 120), "b-0") == Condition::apart);
  }
}

TEST_CASE("forks: what counts as one, and counts of two epochs do not") {
  const auto kinds = [](const Account& account, ForkKind kind) {
    const auto all = account.forks();
    return std::count_if(all.begin(), all.end(), [&](const Fork& f) { return f.kind == kind; });
  };
  Town town(kSix);
  town.all(5, 10, 101);
  SUBCASE("one version, two contents") {
    town.list("b-0", 6, 61, 110);
    town.all(6, 60, 110, {"b-0"});
    town.see(120);
    CHECK(kinds(town.account, ForkKind::two_contents) >= 1);
    CHECK(kinds(town.account, ForkKind::went_back) == 0);
  }
  SUBCASE("for a moment only: a change on its way") {
    town.list("b-0", 6, 61, 110);
    town.all(6, 60, 110, {"b-0"});
    town.list("b-0", 6, 60, 110.5);
    town.see(120);
    CHECK(kinds(town.account, ForkKind::two_contents) == 0);
  }
  SUBCASE("a count that begins anew passes old counts with other contents") {
    town.all(1, 70, 110, {"b-0"});
    town.all(5, 80, 112, {"b-0"});  // b-0 is still on the old fifth
    town.see(130);
    CHECK(kinds(town.account, ForkKind::went_back) == 5);
    CHECK(kinds(town.account, ForkKind::two_contents) == 0);
  }
  SUBCASE("two processes under one name") {
    town.see(110);
    auto other = seen("a-0", 111);
    other.stand.process_started_at = 90;
    town.account.take(other);
    town.see(112);
    other.at = 113;
    town.account.take(other);
    CHECK(kinds(town.account, ForkKind::two_processes) == 1);
  }
}

TEST_CASE("clocks that disagree: times are moved by what the exchanges bound") {
  Account account;
  auto ahead = seen("ahead", 110);  // its clock is 100 s ahead
  ahead.stand.unix_time = 210;
  ahead.stand.process_started_at = 150;
  ahead.offset = 100;
  account.take(ahead);
  auto told = interval(1, 205, 0);
  account.take("ahead", 150, told);
  account.take(seen("exact", 110));
  account.take("exact", 50, interval(1, 105.0005, 0));
  REQUIRE(account.acting("ahead", VersionedInput::list).size() >= 1);
  CHECK(account.acting("ahead", VersionedInput::list)[0].from == doctest::Approx(105));
  // A worse bound later does not move them; a better one does.
  ahead.bound = 0.5;
  ahead.offset = 100.4;
  ahead.at = 111;
  account.take(ahead);
  CHECK(account.acting("ahead", VersionedInput::list)[0].from == doctest::Approx(105));
  ahead.bound = 0.0001;
  ahead.offset = 100.002;
  ahead.at = 112;
  account.take(ahead);
  CHECK(account.acting("ahead", VersionedInput::list)[0].from == doctest::Approx(104.998));
  // The two acted closer together than the clocks tell apart: the spread says how far that is.
  const auto spreads = account.spreads(VersionedInput::list);
  const auto first =
      std::find_if(spreads.begin(), spreads.end(), [](const Spread& s) { return s.count == 1; });
  REQUIRE(first != spreads.end());
  CHECK(first->bound >= 0.001);
}

TEST_CASE("rules: how long is too long") {
  Lags lags;
  CHECK(lags.limit(Rule::quantile, 3, 0.1) == 3);  // nothing is learned yet
  std::mt19937 chance(7);
  std::lognormal_distribution<> usual(std::log(0.2), 0.5);
  for (int i = 0; i < 500; ++i) lags.add(usual(chance));
  CHECK(lags.limit(Rule::fixed, 3, 0.1) == 3);
  const auto quantile = lags.limit(Rule::quantile, 3, 0.1), likelihood = lags.limit(Rule::likelihood, 3, 0.1);
  CHECK(quantile > 1.2);
  CHECK(quantile < 3);
  CHECK(likelihood > 1.2);
  CHECK(likelihood < 4);
  CHECK(lags.limit(Rule::quantile, 3, 5) == 5);
}

TEST_CASE("orders: from the mildest on, and back") {
  std::vector<Member> fleet;
  for (const auto& [router, site] : kSix) {
    Member m;
    m.router = router;
    m.site = site;
    fleet.push_back(m);
  }
  const OverseerLimits limits{0.34, 0.5, 0.6, 3, 20, 1};
  Overseer overseer(limits, 4);
  auto& late = fleet[2];
  late.condition = Condition::straggler;
  late.since = 100;
  late.agent = "127.0.0.1:9";
  std::vector<OrderStep> given;
  double now = 110;
  for (; now < 130; now += 0.5)
    for (const auto& order : overseer.round(fleet, now)) {
      CHECK(order.router == "b-0");
      CHECK(order.term == 4);
      CHECK(order.expires_at > now);
      if (given.empty() || given.back() != order.step) given.push_back(order.step);
      if (order.step == OrderStep::step_aside) late.taking = Participation::aside;
      if (order.step == OrderStep::shut_out) late.taking = Participation::out;
    }
  CHECK(given == std::vector<OrderStep>{OrderStep::ask_again, OrderStep::follow, OrderStep::read_again,
                                        OrderStep::step_aside, OrderStep::shut_out});
  late.condition = Condition::fine;
  std::vector<Order> back;
  for (; now < 135 && back.empty(); now += 0.5) back = overseer.round(fleet, now);
  REQUIRE(back.size() == 1);
  CHECK(back[0].step == OrderStep::back);
  // Nothing more, once it is.
  late.taking = Participation::in;
  for (; now < 160; now += 0.5) CHECK(overseer.round(fleet, now).empty());
}

TEST_CASE("guards: who may not be taken out") {
  const OverseerLimits limits{0.34, 0.5, 0.6, 3, 20, 1};
  const auto fleet_of = [] {
    std::vector<Member> fleet;
    for (const auto& [router, site] : kSix) {
      Member m;
      m.router = router;
      m.site = site;
      fleet.push_back(m);
    }
    return fleet;
  };
  struct {
    const char* what;
    std::function<void(std::vector<Member>&, std::map<std::string, double>&)> make;
    Guard guard;
  } cases[] = {
      {"nothing binds", [](auto&, auto&) {}, Guard::none},
      {"the other one of its site is dead", [](auto& f, auto&) { f[3].reachable = false; },
       Guard::last_of_site},
      {"or restarts", [](auto& f, auto&) { f[3].serving = false; }, Guard::last_of_site},
      {"or is aside by itself", [](auto& f, auto&) { f[3].taking = Participation::aside; },
       Guard::last_of_site},
      {"or was told to go a moment ago", [](auto&, auto& out) { out["b-1"] = 120; }, Guard::last_of_site},
      {"that has lapsed", [](auto&, auto& out) { out["b-1"] = 100; }, Guard::none},
      {"one elsewhere is out: a third of six are two",
       [](auto& f, auto&) { f[0].taking = Participation::out; }, Guard::none},
      {"two are: a third would be the third",
       [](auto& f, auto&) { f[0].taking = f[4].taking = Participation::out; }, Guard::fleet},
      {"a site is out of reach", [](auto& f, auto&) { f[0].reachable = f[1].reachable = false; },
       Guard::site_lost},
      {"two say that a site is lost",
       [](auto& f, auto&) { f[0].sees_site_lost = f[4].sees_site_lost = true; }, Guard::site_lost},
      {"half of the fleet was not seen",
       [](auto& f, auto&) { f[0].reachable = f[4].reachable = f[5].reachable = false; }, Guard::sight},
  };
  for (const auto& c : cases) {
    CAPTURE(std::string(c.what));
    auto fleet = fleet_of();
    std::map<std::string, double> out;
    c.make(fleet, out);
    CHECK(Overseer::guard(fleet, "b-0", out, limits, 110) == c.guard);
  }
  auto fleet = fleet_of();
  for (auto& m : fleet) {
    m.condition = Condition::site_behind;
    m.since = 100;
  }
  Overseer overseer(limits, 1);
  for (double now = 110; now < 150; now += 0.5)
    for (const auto& order : overseer.round(fleet, now)) CHECK(order.step < OrderStep::step_aside);
  // One that hardly sees anybody orders nothing.
  for (int i = 0; i < 4; ++i) fleet[static_cast<std::size_t>(i)].reachable = false;
  Overseer blind(limits, 1);
  fleet[5].condition = Condition::straggler;
  for (double now = 110; now < 150; now += 0.5) CHECK(blind.round(fleet, now).empty());
}

TEST_CASE("the store keeps what it has confirmed, whenever its process is killed") {
  const auto path = fresh_store("kill");
  std::mt19937 chance(5);
  std::uint64_t confirmed = 0;
  const auto* wanted = std::getenv("YOKETURN_KILLS");  // by hand: 100
  for (int run = 0; run < (wanted != nullptr ? std::atoi(wanted) : 8); ++run) {
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    const auto child = ::fork();
    if (child == 0) {
      try {
        fleet::Store store(path, fleet::Store::Use::write);
        for (auto n = confirmed + 1;; ++n) {
          store.begin();
          store.put(seen("r", 100 + static_cast<double>(n)));
          store.put("r", 50, interval(n, 100 + static_cast<double>(n), 101 + static_cast<double>(n)));
          store.put(fleet::GivenOrder{
              {run + 1, static_cast<long long>(n), "r", OrderStep::ask_again, "", 1e9, ""}, 1});
          store.commit();
          if (::write(ends[1], &n, sizeof n) != sizeof n) _exit(1);
        }
      } catch (...) {
        _exit(2);
      }
    }
    ::close(ends[1]);
    ::usleep(20'000 + static_cast<unsigned>(chance() % 40'000));
    ::kill(child, SIGKILL);
    int status = 0;
    ::waitpid(child, &status, 0);
    CHECK(WIFSIGNALED(status));
    for (std::uint64_t n = 0; ::read(ends[0], &n, sizeof n) == sizeof n;) confirmed = n;
    ::close(ends[0]);
    fleet::Store store(path, fleet::Store::Use::write);
    CHECK(store.told().empty());
    const auto account = store.load(true);
    const auto& life = account.routers().at("r").lives.begin()->second;
    for (std::uint64_t n = 1; n <= confirmed; ++n) REQUIRE(life.intervals.contains(n));
    CHECK(static_cast<std::uint64_t>(store.orders().size()) >= confirmed);
  }
  CHECK(confirmed > 20);
}

TEST_CASE("the store: terms, bounds, a broken one, a newer one, a full disk") {
  const auto path = fresh_store("many");
  {
    fleet::Store store(path, fleet::Store::Use::write);
    CHECK(store.new_term(0) == 1);
    CHECK(store.new_term(7) == 8);
    fleet::Store again(path, fleet::Store::Use::write);
    CHECK(again.new_term(0) == 9);
    CHECK(store.term() == 9);  // the older one sees it
    store.begin();
    for (std::uint64_t n = 0; n < 100; ++n)
      store.put("r", 50, interval(n, 100 + static_cast<double>(n), 101 + static_cast<double>(n)));
    store.put("r", 50, interval(100, 200, 0));
    store.put("r", 50, interval(100, 200, 0, 5));  // it goes on
    store.commit();
    CHECK(store.intervals() == 101);
    store.prune(120, 1000);
    CHECK(store.intervals() < 90);
    store.prune(0, 10);
    CHECK(store.intervals() <= 11);
    const auto account = store.load(true);
    const auto& life = account.routers().at("r").lives.begin()->second;
    CHECK(life.intervals.contains(100));
    CHECK(life.intervals.at(100).actions[0][0] == 5);
    CHECK(!account.holes("r").empty());  // what has left is a stated hole
    // A disk that is full: told, and what was kept stays.
    store.bound_pages(1);
    store.begin();
    const auto fill = [&] {
      for (std::uint64_t n = 200; n < 3000; ++n) store.put("r", 50, interval(n, 1, 2));
      store.commit();
    };
    CHECK_THROWS_AS(fill(), fleet::StoreTrouble);
    store.rollback();
    CHECK(store.load(true).routers().at("r").lives.begin()->second.intervals.contains(100));
  }
  {
    std::ofstream(path, std::ios::in | std::ios::out)
        .write("this is no store any more, not at all it isn't", 40);
    std::filesystem::remove(path + "-wal");
    fleet::Store store(path, fleet::Store::Use::write);
    CHECK(store.told().find("broken") != std::string::npos);
    CHECK(store.intervals() == 0);
    CHECK(std::any_of(std::filesystem::directory_iterator(std::filesystem::temp_directory_path()),
                      std::filesystem::directory_iterator(),
                      [&](const auto& e) { return e.path().string().starts_with(path + ".broken-"); }));
  }
  const auto newer = fresh_store("newer");
  { fleet::Store store(newer, fleet::Store::Use::write); }
  {
    std::fstream file(newer, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(63);  // the last byte of user_version, in SQLite's header
    file.put(9);
  }
  CHECK_THROWS_WITH_AS(fleet::Store(newer, fleet::Store::Use::write), doctest::Contains("newer"),
                       fleet::StoreTrouble);
}

TEST_CASE("a roll's file: what is wrong is named") {
  const std::pair<const char*, const char*> cases[] = {
      {"", "routers: there is none"},
      {"routers { a { site x } }", "needs a reader or a log"},
      {"routers { a { reader x } }", "routers.a.reader"},
      {"routers { a { log /x } a { log /y } }", "second time"},
      {"routers { a { log /x colour red } }", "routers.a.colour: no such entry"},
      {"audit { every never }\nrouters { a { log /x } }", "audit.every: 'never'"},
      {"audit { rule best }\nrouters { a { log /x } }", "audit.rule: 'best'"},
      {"audits { }\nrouters { a { log /x } }", "audits: no such entry"},
      {"routers { a {", "roll:"},
  };
  for (const auto& [text, expected] : cases) {
    CAPTURE(std::string(text));
    CHECK_THROWS_WITH_AS(fleet::read_roll(text, "roll"), doctest::Contains(expected), fleet::BadRoll);
  }
  const auto roll =
      fleet::read_roll("audit { behind 2 rule likelihood }\nrouters { a { site x log /l } }", "roll");
  CHECK(roll.stragglers.fixed == 2);
  CHECK(roll.stragglers.rule == Rule::likelihood);
  CHECK(roll.routers.at(0).site == "x");
}

TEST_CASE("a router is followed by its log alone") {
  fleet::LogReader reader;
  const auto lines = {
      "100.5 phase name=starting router=r-1 listen=127.0.0.1:1",
      "100.6 version router=r-1 site=rennes began=100.400000 subject=list epoch=1 count=7 "
      "hash=00000000000000ff "
      "source=127.0.0.1:9 interval=1",
      "100.7 phase name=serving in_hand=0 clients=0",
      "nonsense",
      "",
  };
  for (const auto* line : lines) CHECK(reader.take(line).empty());
  CHECK(reader.stand.router == "r-1");
  CHECK(reader.stand.site == "rennes");
  CHECK(reader.stand.versions[0].count == 7);
  CHECK(reader.stand.versions[0].hash == 0xff);
  CHECK(reader.stand.serving);
  const auto told = reader.take(
      "120.0 acted router=r-1 began=100.400000 interval=1 list=1.7 list_hash=00000000000000ff "
      "configuration=0a "
      "operators=0b build=0c from=100.600000 lasted=19.400000 first=12 copy=1 resent=0 unsent=2 whole=9 "
      "part=0 "
      "rejected=3 aborted=0");
  REQUIRE(told.size() == 1);
  CHECK(told[0].interval.ended_at == doctest::Approx(120));
  CHECK(told[0].interval.versions[0].count == 7);
  CHECK(told[0].interval.versions[0].epoch == 1);
  CHECK(told[0].interval.versions[3].hash == 0xc);
  CHECK(told[0].interval.actions[0][static_cast<std::size_t>(RouterAction::rejected)] == 3);
}

TEST_CASE("properties") {
  // The same words in any order, some of them twice, make the same account.
  CHECK(rc::check("merged accounts do not depend on the order of arrival", [] {
    const auto seed = *rc::gen::inRange(0, 1'000'000);
    std::mt19937 chance(static_cast<unsigned>(seed));
    const auto any = [&](int most) { return std::uniform_int_distribution<>(0, most)(chance); };
    std::vector<std::function<void(Account&)>> words;
    for (int i = 0; i < 40; ++i) {
      const auto router = "r-" + std::to_string(any(3));
      if (any(2) == 0) {
        auto s = seen(router, 100 + any(50));
        s.stand.unix_time = s.at;
        s.bound = 0.001 * (1 + any(5));
        s.offset = 0.01 * any(5);
        s.stand.process_started_at = 50 + 10 * any(1);
        words.push_back([s](Account& a) { a.take(s); });
      } else {
        const auto number = static_cast<std::uint64_t>(any(6));
        const auto from = 100 + static_cast<double>(number) * 5;
        const auto closed = any(1) == 1;
        auto told =
            interval(number, from, closed ? from + 5 : 0, closed ? 9 : static_cast<std::uint32_t>(any(8)));
        words.push_back([router, told](Account& a) { a.take(router, 50, told); });
      }
    }
    Account straight, shuffled;
    for (const auto& word : words) word(straight);
    auto other = words;
    other.insert(other.end(), words.begin(), words.begin() + 10);
    std::shuffle(other.begin(), other.end(), chance);
    for (const auto& word : other) word(shuffled);
    RC_ASSERT(straight.routers().size() == shuffled.routers().size());
    for (const auto& [name, router] : straight.routers()) {
      const auto& twin = shuffled.routers().at(name);
      RC_ASSERT(router.reached == twin.reached);
      RC_ASSERT(router.lives.size() == twin.lives.size());
      for (const auto& [began, life] : router.lives) {
        const auto& same = twin.lives.at(began);
        RC_ASSERT(life.offset == same.offset);
        RC_ASSERT(life.bound == same.bound);
        RC_ASSERT(life.intervals.size() == same.intervals.size());
        for (const auto& [number, i] : life.intervals) {
          RC_ASSERT(i.ended_at == same.intervals.at(number).ended_at);
          RC_ASSERT(i.total_actions() == same.intervals.at(number).total_actions());
        }
      }
      const auto acting = straight.acting(name, VersionedInput::list),
                 acted = shuffled.acting(name, VersionedInput::list);
      RC_ASSERT(acting.size() == acted.size());
    }
  }));
  // Whatever becomes of the routers and however the auditor sees them: what is out never passes the shares,
  // no site is emptied, nobody goes while a site is out of reach.
  CHECK(rc::check("the guards hold under any sequence of events and orders", [] {
    const auto seed = *rc::gen::inRange(0, 1'000'000);
    std::mt19937 chance(static_cast<unsigned>(seed));
    const auto any = [&](int most) { return std::uniform_int_distribution<>(0, most)(chance); };
    const OverseerLimits limits{0.3, 0.5, 0.6, 0.5, 6, 1};
    std::vector<Member> fleet;
    for (int i = 0; i < 12; ++i) {
      Member m;
      m.router = "r-" + std::to_string(i);
      m.site = std::string(1, static_cast<char>('a' + i / 4));
      fleet.push_back(m);
    }
    std::map<std::string, double> obeyed;  // until when a router is out by order
    Overseer overseer(limits, 1);
    double now = 100;
    for (int round = 0; round < 150; ++round) {
      now += 0.25;
      auto& m = fleet[static_cast<std::size_t>(any(11))];
      switch (any(5)) {
        case 0:
          m.reachable = !m.reachable;
          break;
        case 1:
          m.serving = !m.serving;
          break;
        case 2:
          m.condition = m.condition == Condition::fine ? Condition::straggler : Condition::fine;
          break;
        case 3:
          m.sees_site_lost = any(6) == 0;
          break;
        case 4:  // the auditor dies, another takes its place
          if (any(9) == 0) {
            Overseer next(limits, overseer.term() + 1);
            for (const auto& [router, until] : obeyed) next.outstanding(router, OrderStep::step_aside, until);
            overseer = next;
          }
          break;
        default:
          break;
      }
      for (const auto& order : overseer.round(fleet, now)) {
        if (order.step != OrderStep::step_aside && order.step != OrderStep::shut_out) {
          if (order.step == OrderStep::back) obeyed.erase(order.router);
          continue;
        }
        obeyed[order.router] = order.expires_at;
        // What is out just after an order, whatever for.
        std::map<std::string, std::pair<int, int>> sites;
        int out = 0, lost_sites = 0, witnesses = 0;
        for (const auto& one : fleet) {
          const auto gone =
              !one.reachable || !one.serving || (obeyed.contains(one.router) && now < obeyed[one.router]);
          out += gone;
          ++sites[one.site].first;
          sites[one.site].second += gone;
          witnesses += one.reachable && one.sees_site_lost;
        }
        for (const auto& site : {"a", "b", "c"})
          lost_sites += std::all_of(fleet.begin(), fleet.end(),
                                    [&](const Member& x) { return x.site != site || !x.reachable; });
        RC_ASSERT(out <= limits.of_fleet * 12 + 1e-9);
        RC_ASSERT(lost_sites == 0);
        RC_ASSERT(witnesses < 2);
        const auto& [all, gone] = sites[std::find_if(fleet.begin(), fleet.end(), [&](auto& x) {
                                          return x.router == order.router;
                                        })->site];
        RC_ASSERT(gone < all);
        RC_ASSERT(gone <= limits.of_site * all + 1e-9);
      }
    }
  }));
}

TEST_SUITE_END();
