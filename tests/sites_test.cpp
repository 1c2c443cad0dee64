// What is believed of whole sites, on seeded streams of parts with losses planted.
#include "sites/sites.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <functional>
#include <limits>
#include <random>

#include "sites/plan.hpp"

using namespace yoketurn;

namespace {

enum class Fate { answers, refuses, silent, slow, full, outrun };

// A router's view of a town: parts go to nodes at random, as far as their site's share lets them.
struct Town {
  explicit Town(int sites = 3, int nodes = 8, int own = 0, unsigned seed = 5)
      : many(sites), per_site(nodes), chance(seed), view(settings(own), seed) {
    for (int n = 0; n < sites * nodes; ++n) hosts.push_back({n, n / nodes, 0, true, 0});
    fate.assign(hosts.size(), Fate::answers);
    view.list(hosts, true, now);
  }
  static Settings settings(int own) {
    Settings s;
    s.zone = own;
    s.start_capacity = 0.3;
    s.slow_start_time = 10;
    s.overload_multiple = 2;
    return s;
  }
  void site(int which, Fate what) {
    for (int n = 0; n < per_site; ++n) fate[static_cast<std::size_t>(which * per_site + n)] = what;
  }
  bool lost(int which) const {
    const auto shares = view.shares();
    return !shares.empty() && shares[static_cast<std::size_t>(which)].lost;
  }
  double share(int which) const {
    const auto shares = view.shares();
    return shares.empty() ? 1 : shares[static_cast<std::size_t>(which)].share;
  }
  // So many parts a second, each to a node of a site that may get it.
  void run(double seconds, double rate = 200) {
    for (const auto end = now + seconds; now < end;) {
      now += 1 / rate;
      while (!due.empty() && due.front().at <= now) finish();
      if (now >= ticked + 0.1) {
        ticked = now;
        view.tick(now);
        for (auto& news : view.news()) all_news.push_back(news);
      }
      const auto node = static_cast<int>(chance() % fate.size());
      const auto of = node / per_site;
      const auto shares = view.shares();
      if (!shares.empty()) {
        const auto& s = shares[static_cast<std::size_t>(of)];
        const auto born = hosts[static_cast<std::size_t>(node)].started_at;
        if (born <= s.lost_at && s.lost && !s.probe_allowed) continue;
        if (born <= s.lost_at && !s.lost && std::uniform_real_distribution<>(0, 1)(chance) >= s.share)
          continue;
      }
      send(node);
    }
  }
  void send(int node) {
    view.sent(node, now);
    ++sent_to[static_cast<std::size_t>(node / per_site)];
    const auto what = fate[static_cast<std::size_t>(node)];
    const auto took = 0.01 + std::exponential_distribution<>(1 / 0.01)(chance);
    const auto [after, outcome] = what == Fate::answers   ? std::pair{took * slow, Outcome::success}
                                  : what == Fate::refuses ? std::pair{0.001, Outcome::unreachable}
                                  : what == Fate::full    ? std::pair{0.002, Outcome::overloaded}
                                  : what == Fate::slow    ? std::pair{took * 8, Outcome::success}
                                  : what == Fate::outrun  ? std::pair{0.03, Outcome::cancelled}
                                                          : std::pair{1.0, Outcome::timed_out};
    const Due one{now + after, now, node, outcome};
    due.insert(std::upper_bound(due.begin(), due.end(), one, [](auto& a, auto& b) { return a.at < b.at; }),
               one);
  }
  void finish() {
    const auto one = due.front();
    due.pop_front();
    view.ended(one.node, one.sent, one.outcome, now);
  }
  int times(int which, SiteBelief belief) const {
    return static_cast<int>(std::count_if(all_news.begin(), all_news.end(), [&](const SiteNews& n) {
      return n.site == which && n.now == belief && n.before != belief;
    }));
  }
  double first(SiteBelief belief, double from = 0) const {
    for (const auto& n : all_news)
      if (n.now == belief && n.at >= from) return n.at;
    return std::numeric_limits<double>::infinity();
  }

  struct Due {
    double at, sent;
    int node;
    Outcome outcome;
  };
  int many, per_site;
  std::mt19937 chance;
  double now = 100, ticked = 100, slow = 1;
  std::vector<DiscoveredNode> hosts;
  std::vector<Fate> fate;
  std::deque<Due> due;
  std::vector<SiteNews> all_news;
  int sent_to[8] = {};
  Sites view;
};

}  // namespace

TEST_SUITE_BEGIN("sites");

TEST_CASE("a lost site is found by its nodes together, however it fails") {
  for (const auto what : {Fate::refuses, Fate::silent}) {
    Town town;
    town.run(5);
    CHECK(town.view.shares().empty());
    town.site(1, what);
    const auto began = town.now;
    town.run(2);
    CHECK(town.lost(1));
    CHECK_FALSE(town.lost(0));
    CHECK_FALSE(town.lost(2));
    CHECK(town.first(SiteBelief::lost) - began < 0.6);
    CHECK(town.times(1, SiteBelief::lost) == 1);
  }
}

struct Sound {
  const char* what;
  std::function<void(Town&)> act;
};

TEST_CASE("what is no loss of a site is taken for none") {
  const Sound cases[] = {
      {"one node makes no site", [](Town& t) { t.fate[8] = Fate::silent; }},
      {"two nodes make no site of eight", [](Town& t) { t.fate[8] = t.fate[9] = Fate::refuses; }},
      {"half of a site hangs",
       [](Town& t) {
         for (int n = 8; n < 12; ++n) t.fate[static_cast<std::size_t>(n)] = Fate::silent;
       }},
      {"a site that turns all away lives", [](Town& t) { t.site(1, Fate::full); }},
      {"the fleet is slow", [](Town& t) { t.slow = 15; }},
      {"all sites are silent: it is this router",
       [](Town& t) {
         for (int s = 0; s < 3; ++s) t.site(s, Fate::silent);
       }},
  };
  for (const auto& one : cases) {
    CAPTURE(std::string(one.what));
    Town town;
    town.run(10);
    one.act(town);
    town.run(20);
    for (int s = 0; s < 3; ++s)
      CHECK(town.times(s, SiteBelief::lost) + town.times(s, SiteBelief::cut_off) == 0);
  }
}

// A query of many parts asks all nodes at once: the good answers come first, the silence of the others after.
TEST_CASE("a site half of which hangs is not lost to a router that asks all of it at once") {
  Town town(3, 20);
  town.run(5);
  for (int n = 20; n < 30; ++n) town.fate[static_cast<std::size_t>(n)] = Fate::silent;
  for (int i = 0; i < 8; ++i) {
    for (int n = 0; n < 60; ++n) town.send(n);
    town.run(1, 20);
  }
  CHECK(town.times(1, SiteBelief::lost) == 0);
}

// A copy is back, and the part at the silent node cancelled, before its silence says anything by itself: what
// it had waited was forgotten, and the next call began from nothing.
TEST_CASE("calls that are given up for a quicker copy tell of silence together") {
  Town town;
  town.run(5);
  town.site(1, Fate::outrun);
  town.run(1);
  CHECK(town.lost(1));
  // As it returns a query asks all of it at once; a tick comes before the answers: no relapse by old silence.
  for (int i = 0; i < 24; ++i) town.send(8 + i % 8);
  town.run(0.1);
  town.site(1, Fate::answers);
  while (town.lost(1)) town.run(0.005);
  for (int n = 8; n < 16; ++n) town.send(n);
  town.view.tick(town.now + 0.001);
  town.run(10);
  CHECK(town.times(1, SiteBelief::lost) == 1);
  CHECK(town.view.belief(1) == SiteBelief::sound);
  // Of nodes that answer between, nothing is held against them.
  Town sound;
  sound.run(5);
  for (int round = 0; round < 40; ++round) {
    for (int n = 8; n < 16; ++n) sound.fate[static_cast<std::size_t>(n)] = Fate::outrun;
    for (int n = 8; n < 16; ++n) sound.send(n);
    for (int n = 8; n < 16; ++n) sound.fate[static_cast<std::size_t>(n)] = Fate::answers;
    sound.run(0.5);
  }
  CHECK(sound.times(1, SiteBelief::lost) == 0);
}

TEST_CASE("a router that stood still does not take its own silence for a site's") {
  Town town;
  town.run(5);
  for (int n = 8; n < 16; ++n) town.send(n);
  town.now += 20;
  town.run(5);
  CHECK(town.times(1, SiteBelief::lost) == 0);
}

TEST_CASE("sites of one node, one site alone, nodes of no site") {
  Town single(3, 1);
  single.run(5);
  single.site(1, Fate::refuses);
  single.run(5);
  CHECK(single.times(1, SiteBelief::lost) == 0);  // a node by itself is the module's affair
  Town two(3, 2);
  two.run(5);
  two.site(1, Fate::refuses);
  two.run(5);
  CHECK(two.times(1, SiteBelief::lost) == 1);  // both of its nodes
  Town alone(1, 8);
  alone.run(5);
  alone.site(0, Fate::refuses);
  alone.run(5);
  CHECK(alone.view.shares().empty());
  Settings s;
  Sites none(s, 1);
  const DiscoveredNode host{0, kNone, 0, true, 0};
  none.list({&host, 1}, true, 1);
  none.sent(0, 1);
  none.ended(0, 1, Outcome::unreachable, 1.1);
  none.tick(2);
  CHECK(none.shares().empty());
  CHECK(none.news().empty());
}

TEST_CASE("a router whose own site is cut off says so and keeps to it") {
  Town town;
  town.run(5);
  town.site(1, Fate::silent);
  town.site(2, Fate::silent);
  town.run(2);
  CHECK(town.lost(1));
  CHECK(town.lost(2));
  CHECK_FALSE(town.lost(0));
  CHECK(town.times(1, SiteBelief::cut_off) + town.times(2, SiteBelief::cut_off) == 1);
}

TEST_CASE("a lost site is tried as one site is: few parts, whatever its size") {
  Town town(3, 20);
  town.run(5);
  town.site(1, Fate::refuses);
  town.run(1);
  REQUIRE(town.lost(1));
  town.sent_to[1] = 0;
  town.run(10);
  CHECK(town.sent_to[1] >= 4);
  CHECK(town.sent_to[1] <= 20);
}

TEST_CASE("a return is paced: no share grows by more than a step, and none is given at once") {
  Town town;
  town.run(5);
  town.site(1, Fate::refuses);
  town.run(5);
  REQUIRE(town.lost(1));
  town.site(1, Fate::answers);
  double before = 0, returned = -1;
  for (int i = 0; i < 400 && town.view.belief(1) != SiteBelief::sound; ++i) {
    town.run(0.02);
    const auto share = town.share(1);
    CHECK(share <= std::max(2 * before, 0.25) + 1e-9);
    if (share > 0 && returned < 0) returned = town.now;
    before = share;
  }
  CHECK(town.view.belief(1) == SiteBelief::sound);
  CHECK(town.now - returned > 0.45);
  CHECK(town.now - returned < 4);
}

TEST_CASE("cold nodes that answer late get no more than the rule bears; warm ones are not held up") {
  Town cold, warm;
  for (auto* town : {&cold, &warm}) {
    town->run(5);
    town->site(1, Fate::silent);
    town->run(6);
    REQUIRE(town->lost(1));
  }
  cold.site(1, Fate::slow);
  warm.site(1, Fate::answers);
  cold.run(4.5);
  warm.run(4.5);
  CHECK(warm.share(1) == 1);
  CHECK(cold.share(1) < 0.65);  // half of 2 times the 0.3 to 0.61 of its capacity that it may have by then
}

TEST_CASE("a site that goes every few seconds is not believed back each time") {
  Town town;
  town.run(5);
  for (int i = 0; i < 12; ++i) {
    town.site(1, Fate::refuses);
    town.run(0.7);
    town.site(1, Fate::answers);
    town.run(0.7);
  }
  CHECK(town.times(1, SiteBelief::sound) <= 6);
  town.run(20);
  CHECK(town.view.belief(1) == SiteBelief::sound);  // and comes back for good
}

TEST_CASE("the list's word that nodes are ready is no sign of life; that they started since is") {
  Town town;
  town.run(5);
  town.site(1, Fate::refuses);
  town.run(1);
  REQUIRE(town.lost(1));
  town.view.list(town.hosts, true, town.now);
  CHECK(town.lost(1));
  for (int n = 8; n < 16; ++n) town.hosts[static_cast<std::size_t>(n)].started_at = town.now;
  town.view.list(town.hosts, true, town.now);
  CHECK(town.view.belief(1) == SiteBelief::returning);
  // The new processes are not judged by the old ones' loss.
  CHECK(town.hosts[8].started_at > town.view.shares()[1].lost_at);
}

TEST_CASE("an evacuation empties a site at its rate, is held back while another is lost, and ends") {
  Town town;
  town.run(5);
  town.view.evacuate(Evacuation{2, town.now, 4, town.now + 12});
  town.run(2);
  CHECK(town.share(2) == doctest::Approx(0.5).epsilon(0.1));
  CHECK(town.share(1) == 1);
  town.run(3);
  CHECK(town.share(2) == 0);
  CHECK_FALSE(town.lost(2));
  CHECK(town.view.belief(2) == SiteBelief::evacuated);
  town.site(1, Fate::refuses);
  town.run(3);
  REQUIRE(town.lost(1));
  CHECK(town.share(2) > 0.2);  // what is left must bear it
  CHECK(town.all_news.back().site <= 2);
  CHECK(std::any_of(town.all_news.begin(), town.all_news.end(),
                    [](auto& n) { return n.site == 2 && n.held_back; }));
  town.site(1, Fate::answers);
  town.run(12);
  CHECK(town.share(2) == 1);
  CHECK(town.view.belief(2) == SiteBelief::sound);
}

// A router that began while the order stood found the site idle, and sent it more than ever.
TEST_CASE("an evacuation that stood before the process began leaves the site empty from the first tick on") {
  Town town;
  town.view.evacuate(Evacuation{2, town.now, 4, town.now + 12, true});
  town.run(0.3);
  CHECK(town.share(2) == 0);
  CHECK(town.share(1) == 1);
  town.run(14);
  CHECK(town.share(2) == doctest::Approx(0.55).epsilon(0.2));  // and filled again at its rate
  town.run(4);
  CHECK(town.share(2) == 1);
}

TEST_CASE("switched off, nothing is believed, and a belief ends at once") {
  Town town;
  town.run(5);
  town.site(1, Fate::refuses);
  town.run(1);
  REQUIRE(town.lost(1));
  town.view.on(false);
  CHECK(town.view.shares().empty());
  town.run(3);
  CHECK(town.view.shares().empty());
  town.view.on(true);
  town.run(2);
  CHECK(town.lost(1));
}

TEST_CASE("properties: most nodes answer, so it is not lost; whatever happened, a sound site comes back") {
  const auto good = rc::check("sites", [] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    Town town(3, 10, *rc::gen::inRange(-1, 3), seed);
    town.run(3);
    // Up to four of ten are bad, in any way.
    for (int i = 0; i < 4; ++i)
      town.fate[10 + town.chance() % 10] =
          std::vector{Fate::refuses, Fate::silent, Fate::full}[town.chance() % 3];
    town.run(6);
    RC_ASSERT(town.times(1, SiteBelief::lost) + town.times(1, SiteBelief::cut_off) == 0);
    const auto steps = *rc::gen::inRange(1, 8);
    for (int i = 0; i < steps; ++i) {
      town.site(static_cast<int>(town.chance() % 3), std::vector{Fate::refuses, Fate::silent, Fate::answers,
                                                                 Fate::full, Fate::slow}[town.chance() % 5]);
      town.run(0.3 + 0.001 * static_cast<double>(town.chance() % 3000));
    }
    for (int s = 0; s < 3; ++s) town.site(s, Fate::answers);
    town.run(40);
    for (int s = 0; s < 3; ++s) RC_ASSERT(town.view.belief(s) == SiteBelief::sound);
    RC_ASSERT(town.view.shares().empty());
  });
  CHECK(good);
}

TEST_CASE("properties: the sum over all routers never gives a cold site more than the rule bears") {
  const auto good = rc::check("sum", [] {
    const auto many = *rc::gen::element(3, 30, 120);
    const auto seed = *rc::gen::arbitrary<unsigned>();
    std::vector<Town> routers;
    for (int i = 0; i < many; ++i) {
      routers.emplace_back(3, 6, 0, seed + static_cast<unsigned>(i));
      routers.back().run(2, 60);
      routers.back().site(1, Fate::silent);
      // Some have found out, some have not yet: any split of beliefs.
      routers.back().run(*rc::gen::inRange(0, 3) * 1.0 + 1.5, 60);
      routers.back().site(1, Fate::slow);
    }
    for (int step = 0; step < 12; ++step) {
      double sum = 0;
      int believers = 0;
      for (auto& router : routers) {
        router.run(0.25, 60);
        if (router.view.belief(1) != SiteBelief::returning) continue;
        ++believers;
        sum += router.share(1);
      }
      // A returning site's load, of those that pace it: at most half of what makes cold nodes fall.
      const auto capacity = 0.3 + 0.7 * (step + 1) * 0.25 / 10;
      if (believers > 0) RC_ASSERT(sum / believers <= std::max(0.25, 0.5 * 2 * capacity) + 0.02);
    }
  });
  CHECK(good);
}

namespace {
PlannedTown planned() {
  PlannedTown town;
  town.sites = 3;
  town.shards = 12;
  town.cells = 3;
  town.settings = Town::settings(0);
  for (int n = 0; n < 18; ++n) town.nodes.push_back({n / 6, n % 3, 50});
  town.loads = {{"recherche", 119, 3, 1}, {"bilan-mensuel", 20, 8, 12}, {"suivi", 60, 1, 1}};
  return town;
}
}  // namespace

TEST_CASE("the forecast: strain, what has no holder, and the cheap refused before the dear") {
  auto town = planned();
  const auto parts = 119 * 3 + 20 * 8 + 60 * 1.0;
  CHECK(plan_loss(town, {}).most_strain == doctest::Approx(parts / 900).epsilon(0.02));
  const auto one = plan_loss(town, {1});
  CHECK(one.most_strain == doctest::Approx(parts / 600).epsilon(0.02));
  CHECK(one.utility == doctest::Approx(one.whole));
  CHECK(one.unheld.empty());
  const auto two = plan_loss(town, {0, 1});
  CHECK(two.most_strain == doctest::Approx(parts / 300).epsilon(0.02));
  CHECK(two.refused[0] > two.refused[2]);
  CHECK(two.refused[2] > two.refused[1]);
  double left = 0;
  for (std::size_t v = 0; v < 3; ++v) left += town.loads[v].rate * town.loads[v].parts * (1 - two.refused[v]);
  CHECK(left == doctest::Approx(300).epsilon(0.03));
  // Site 2 alone holds the tranches of cell 2: what needs one of these four of twelve can't be served without
  // it.
  for (auto& node : town.nodes) node.cell = node.site == 2 ? 2 : node.cell % 2;
  const auto lone = plan_loss(town, {2});
  CHECK(lone.unheld == std::vector<int>{2, 5, 8, 11});
  CHECK(lone.out_of_reach[2] == doctest::Approx(4.0 / 12));
  CHECK(lone.out_of_reach[1] == doctest::Approx(1 - 1.0 / 495));  // one way of 495 to do without
  CHECK(lone.cold_return > lone.warm_return);
  // Capacity is what counts, not the number of nodes.
  for (auto& node : town.nodes) node.capacity = 0.001;
  CHECK(plan_loss(town, {0}).utility < 0.05 * plan_loss(town, {0}).whole);
}

TEST_SUITE_END();
