// Site health under seeded random streams of calls with injected site failures, and the forecast of site
// losses.
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

// outpaced: the node is silent, and each call is cancelled soon as a hedged copy elsewhere has answered.
enum class Behavior { answers, refuses, silent, slow, overloaded, outpaced };

// One router's health monitor over simulated nodes. Calls go to random nodes, as far as the share of their
// site permits.
struct TestCluster {
  explicit TestCluster(int site_count = 3, int nodes = 8, int own = 0, unsigned seed = 5)
      : nodes_per_site(nodes), random(seed), monitor(settings(own), seed) {
    for (int n = 0; n < site_count * nodes; ++n) hosts.push_back({n, n / nodes, 0, true, 0});
    behavior.assign(hosts.size(), Behavior::answers);
    monitor.update_nodes(hosts, true, now);
  }
  static Settings settings(int own) {
    Settings s;
    s.zone = own;
    s.start_capacity = 0.3;
    s.slow_start_time = 10;
    s.overload_multiple = 2;
    return s;
  }
  void set_site_behavior(int site, Behavior what) {
    for (int n = 0; n < nodes_per_site; ++n)
      behavior[static_cast<std::size_t>(site * nodes_per_site + n)] = what;
  }
  bool lost(int site) const {
    const auto shares = monitor.shares();
    return !shares.empty() && shares[static_cast<std::size_t>(site)].lost;
  }
  double share(int site) const {
    const auto shares = monitor.shares();
    return shares.empty() ? 1 : shares[static_cast<std::size_t>(site)].share;
  }
  // Sends calls at this rate, in calls per second.
  void run(double seconds, double rate = 200) {
    for (const auto end = now + seconds; now < end;) {
      now += 1 / rate;
      while (!pending.empty() && pending.front().ends_at <= now) end_next_call();
      if (now >= last_tick + 0.1) {
        last_tick = now;
        monitor.tick(now);
        for (auto& change : monitor.take_changes()) changes.push_back(change);
      }
      const auto node = static_cast<int>(random() % behavior.size());
      const auto site = node / nodes_per_site;
      const auto shares = monitor.shares();
      if (!shares.empty()) {
        const auto& s = shares[static_cast<std::size_t>(site)];
        const auto started_at = hosts[static_cast<std::size_t>(node)].started_at;
        if (started_at <= s.lost_at && s.lost && !s.probe_allowed) continue;
        if (started_at <= s.lost_at && !s.lost && std::uniform_real_distribution<>(0, 1)(random) >= s.share)
          continue;
      }
      send(node);
    }
  }
  void send(int node) {
    monitor.on_call_sent(node, now);
    ++calls_to_site[static_cast<std::size_t>(node / nodes_per_site)];
    const auto node_behavior = behavior[static_cast<std::size_t>(node)];
    const auto latency = 0.01 + std::exponential_distribution<>(1 / 0.01)(random);
    const auto [after, outcome] =
        node_behavior == Behavior::answers      ? std::pair{latency * latency_factor, Outcome::success}
        : node_behavior == Behavior::refuses    ? std::pair{0.001, Outcome::unreachable}
        : node_behavior == Behavior::overloaded ? std::pair{0.002, Outcome::overloaded}
        : node_behavior == Behavior::slow       ? std::pair{latency * 8, Outcome::success}
        : node_behavior == Behavior::outpaced   ? std::pair{0.03, Outcome::cancelled}
                                                : std::pair{1.0, Outcome::timed_out};
    const PendingCall call{now + after, now, node, outcome};
    pending.insert(std::upper_bound(pending.begin(), pending.end(), call,
                                    [](auto& a, auto& b) { return a.ends_at < b.ends_at; }),
                   call);
  }
  void end_next_call() {
    const auto call = pending.front();
    pending.pop_front();
    monitor.on_call_ended(call.node, call.sent_at, call.outcome, now);
  }
  int change_count(int site, SiteHealth health) const {
    return static_cast<int>(std::count_if(changes.begin(), changes.end(), [&](const SiteHealthChange& n) {
      return n.site == site && n.current == health && n.previous != health;
    }));
  }
  double first_change(SiteHealth health, double from = 0) const {
    for (const auto& n : changes)
      if (n.current == health && n.changed_at >= from) return n.changed_at;
    return std::numeric_limits<double>::infinity();
  }

  struct PendingCall {
    double ends_at, sent_at;
    int node;
    Outcome outcome;
  };
  int nodes_per_site;
  std::mt19937 random;
  double now = 100, last_tick = 100, latency_factor = 1;
  std::vector<DiscoveredNode> hosts;
  std::vector<Behavior> behavior;
  std::deque<PendingCall> pending;
  std::vector<SiteHealthChange> changes;
  int calls_to_site[8] = {};
  SiteHealthMonitor monitor;
};

}  // namespace

TEST_SUITE_BEGIN("sites");

TEST_CASE("a lost site is detected from its nodes together, however it fails") {
  for (const auto what : {Behavior::refuses, Behavior::silent}) {
    TestCluster cluster;
    cluster.run(5);
    CHECK(cluster.monitor.shares().empty());
    cluster.set_site_behavior(1, what);
    const auto began = cluster.now;
    cluster.run(2);
    CHECK(cluster.lost(1));
    CHECK_FALSE(cluster.lost(0));
    CHECK_FALSE(cluster.lost(2));
    CHECK(cluster.first_change(SiteHealth::lost) - began < 0.6);
    CHECK(cluster.change_count(1, SiteHealth::lost) == 1);
  }
}

struct NoLossCase {
  const char* what;
  std::function<void(TestCluster&)> act;
};

TEST_CASE("what is no loss of a site is taken for none") {
  const NoLossCase cases[] = {
      {"one silent node is no lost site", [](TestCluster& t) { t.behavior[8] = Behavior::silent; }},
      {"two refusing nodes of eight are no lost site",
       [](TestCluster& t) { t.behavior[8] = t.behavior[9] = Behavior::refuses; }},
      {"half of a site hangs",
       [](TestCluster& t) {
         for (int n = 8; n < 12; ++n) t.behavior[static_cast<std::size_t>(n)] = Behavior::silent;
       }},
      {"a site that is overloaded answers",
       [](TestCluster& t) { t.set_site_behavior(1, Behavior::overloaded); }},
      {"the fleet is slow", [](TestCluster& t) { t.latency_factor = 15; }},
      {"all sites are silent: the fault is this router's",
       [](TestCluster& t) {
         for (int s = 0; s < 3; ++s) t.set_site_behavior(s, Behavior::silent);
       }},
  };
  for (const auto& one : cases) {
    CAPTURE(std::string(one.what));
    TestCluster cluster;
    cluster.run(10);
    one.act(cluster);
    cluster.run(20);
    for (int s = 0; s < 3; ++s)
      CHECK(cluster.change_count(s, SiteHealth::lost) + cluster.change_count(s, SiteHealth::cut_off) == 0);
  }
}

// Guards against a false loss when a query of many parts calls all nodes at once: the answers arrive first,
// and the other nodes are found silent only later.
TEST_CASE("a site half of which hangs is not lost to a router that asks all of it at once") {
  TestCluster cluster(3, 20);
  cluster.run(5);
  for (int n = 20; n < 30; ++n) cluster.behavior[static_cast<std::size_t>(n)] = Behavior::silent;
  for (int i = 0; i < 8; ++i) {
    for (int n = 0; n < 60; ++n) cluster.send(n);
    cluster.run(1, 20);
  }
  CHECK(cluster.change_count(1, SiteHealth::lost) == 0);
}

// Guards against a silent site that is never detected: hedged copies answer and the calls at the silent nodes
// are cancelled before any one of them is overdue, so the waits of cancelled calls must add up.
TEST_CASE("calls that are given up for a quicker copy tell of silence together") {
  TestCluster cluster;
  cluster.run(5);
  cluster.set_site_behavior(1, Behavior::outpaced);
  cluster.run(1);
  CHECK(cluster.lost(1));
  // When the site returns, a query calls all its nodes at once and a tick comes before the answers: waits
  // from the time of the loss must not cause a relapse.
  for (int i = 0; i < 24; ++i) cluster.send(8 + i % 8);
  cluster.run(0.1);
  cluster.set_site_behavior(1, Behavior::answers);
  while (cluster.lost(1)) cluster.run(0.005);
  for (int n = 8; n < 16; ++n) cluster.send(n);
  cluster.monitor.tick(cluster.now + 0.001);
  cluster.run(10);
  CHECK(cluster.change_count(1, SiteHealth::lost) == 1);
  CHECK(cluster.monitor.health(1) == SiteHealth::healthy);
  // Cancelled calls of nodes that answer in between are no evidence.
  TestCluster answering;
  answering.run(5);
  for (int round = 0; round < 40; ++round) {
    for (int n = 8; n < 16; ++n) answering.behavior[static_cast<std::size_t>(n)] = Behavior::outpaced;
    for (int n = 8; n < 16; ++n) answering.send(n);
    for (int n = 8; n < 16; ++n) answering.behavior[static_cast<std::size_t>(n)] = Behavior::answers;
    answering.run(0.5);
  }
  CHECK(answering.change_count(1, SiteHealth::lost) == 0);
}

TEST_CASE("a router that stalled does not take its own silence for a site's") {
  TestCluster cluster;
  cluster.run(5);
  for (int n = 8; n < 16; ++n) cluster.send(n);
  cluster.now += 20;
  cluster.run(5);
  CHECK(cluster.change_count(1, SiteHealth::lost) == 0);
}

TEST_CASE("sites of one node, one site alone, nodes of no site") {
  TestCluster single(3, 1);
  single.run(5);
  single.set_site_behavior(1, Behavior::refuses);
  single.run(5);
  CHECK(single.change_count(1, SiteHealth::lost) == 0);  // single nodes are the routing policy's task
  TestCluster two(3, 2);
  two.run(5);
  two.set_site_behavior(1, Behavior::refuses);
  two.run(5);
  CHECK(two.change_count(1, SiteHealth::lost) == 1);  // both of its nodes
  TestCluster alone(1, 8);
  alone.run(5);
  alone.set_site_behavior(0, Behavior::refuses);
  alone.run(5);
  CHECK(alone.monitor.shares().empty());
  Settings s;
  SiteHealthMonitor none(s, 1);
  const DiscoveredNode host{0, kNone, 0, true, 0};
  none.update_nodes({&host, 1}, true, 1);
  none.on_call_sent(0, 1);
  none.on_call_ended(0, 1, Outcome::unreachable, 1.1);
  none.tick(2);
  CHECK(none.shares().empty());
  CHECK(none.take_changes().empty());
}

TEST_CASE("a router whose own site is cut off reports so and keeps using it") {
  TestCluster cluster;
  cluster.run(5);
  cluster.set_site_behavior(1, Behavior::silent);
  cluster.set_site_behavior(2, Behavior::silent);
  cluster.run(2);
  CHECK(cluster.lost(1));
  CHECK(cluster.lost(2));
  CHECK_FALSE(cluster.lost(0));
  CHECK(cluster.change_count(1, SiteHealth::cut_off) + cluster.change_count(2, SiteHealth::cut_off) == 1);
}

TEST_CASE("a lost site gets few probes, whatever its size") {
  TestCluster cluster(3, 20);
  cluster.run(5);
  cluster.set_site_behavior(1, Behavior::refuses);
  cluster.run(1);
  REQUIRE(cluster.lost(1));
  cluster.calls_to_site[1] = 0;
  cluster.run(10);
  CHECK(cluster.calls_to_site[1] >= 4);
  CHECK(cluster.calls_to_site[1] <= 20);
}

TEST_CASE("a return is paced: no share grows by more than a step, and none is given at once") {
  TestCluster cluster;
  cluster.run(5);
  cluster.set_site_behavior(1, Behavior::refuses);
  cluster.run(5);
  REQUIRE(cluster.lost(1));
  cluster.set_site_behavior(1, Behavior::answers);
  double before = 0, returned = -1;
  for (int i = 0; i < 400 && cluster.monitor.health(1) != SiteHealth::healthy; ++i) {
    cluster.run(0.02);
    const auto share = cluster.share(1);
    CHECK(share <= std::max(2 * before, 0.25) + 1e-9);
    if (share > 0 && returned < 0) returned = cluster.now;
    before = share;
  }
  CHECK(cluster.monitor.health(1) == SiteHealth::healthy);
  CHECK(cluster.now - returned > 0.45);
  CHECK(cluster.now - returned < 4);
}

TEST_CASE("nodes in slow start get no more than their bounded share; warm nodes are not delayed") {
  TestCluster cold, warm;
  for (auto* cluster : {&cold, &warm}) {
    cluster->run(5);
    cluster->set_site_behavior(1, Behavior::silent);
    cluster->run(6);
    REQUIRE(cluster->lost(1));
  }
  cold.set_site_behavior(1, Behavior::slow);
  warm.set_site_behavior(1, Behavior::answers);
  cold.run(4.5);
  warm.run(4.5);
  CHECK(warm.share(1) == 1);
  CHECK(cold.share(1) < 0.65);  // half of 2 times the 0.3 to 0.61 of the capacity reached by then
}

TEST_CASE("a site that fails every few seconds does not count as recovered each time") {
  TestCluster cluster;
  cluster.run(5);
  for (int i = 0; i < 12; ++i) {
    cluster.set_site_behavior(1, Behavior::refuses);
    cluster.run(0.7);
    cluster.set_site_behavior(1, Behavior::answers);
    cluster.run(0.7);
  }
  CHECK(cluster.change_count(1, SiteHealth::healthy) <= 6);
  cluster.run(20);
  CHECK(cluster.monitor.health(1) == SiteHealth::healthy);  // and recovers in the end
}

TEST_CASE("the list's word that nodes are ready is no sign of life; that they started since is") {
  TestCluster cluster;
  cluster.run(5);
  cluster.set_site_behavior(1, Behavior::refuses);
  cluster.run(1);
  REQUIRE(cluster.lost(1));
  cluster.monitor.update_nodes(cluster.hosts, true, cluster.now);
  CHECK(cluster.lost(1));
  for (int n = 8; n < 16; ++n) cluster.hosts[static_cast<std::size_t>(n)].started_at = cluster.now;
  cluster.monitor.update_nodes(cluster.hosts, true, cluster.now);
  CHECK(cluster.monitor.health(1) == SiteHealth::returning);
  // The loss of the old processes does not apply to the new ones.
  CHECK(cluster.hosts[8].started_at > cluster.monitor.shares()[1].lost_at);
}

TEST_CASE("an evacuation empties a site at its rate, is held back while another is lost, and ends") {
  TestCluster cluster;
  cluster.run(5);
  cluster.monitor.set_evacuation(Evacuation{2, cluster.now, 4, cluster.now + 12});
  cluster.run(2);
  CHECK(cluster.share(2) == doctest::Approx(0.5).epsilon(0.1));
  CHECK(cluster.share(1) == 1);
  cluster.run(3);
  CHECK(cluster.share(2) == 0);
  CHECK_FALSE(cluster.lost(2));
  CHECK(cluster.monitor.health(2) == SiteHealth::evacuated);
  cluster.set_site_behavior(1, Behavior::refuses);
  cluster.run(3);
  REQUIRE(cluster.lost(1));
  CHECK(cluster.share(2) > 0.2);  // the remaining sites must carry the load
  CHECK(cluster.changes.back().site <= 2);
  CHECK(std::any_of(cluster.changes.begin(), cluster.changes.end(),
                    [](auto& n) { return n.site == 2 && n.evacuation_held_back; }));
  cluster.set_site_behavior(1, Behavior::answers);
  cluster.run(12);
  CHECK(cluster.share(2) == 1);
  CHECK(cluster.monitor.health(2) == SiteHealth::healthy);
}

// Guards against a router that is restarted during an evacuation: the emptied site looked idle to it, so it
// sent the site more load than before.
TEST_CASE("an evacuation in effect before the process started leaves the site empty from the first tick on") {
  TestCluster cluster;
  cluster.monitor.set_evacuation(Evacuation{2, cluster.now, 4, cluster.now + 12, true});
  cluster.run(0.3);
  CHECK(cluster.share(2) == 0);
  CHECK(cluster.share(1) == 1);
  cluster.run(14);
  CHECK(cluster.share(2) == doctest::Approx(0.55).epsilon(0.2));  // filled again at the ordered rate
  cluster.run(4);
  CHECK(cluster.share(2) == 1);
}

TEST_CASE("disabled, no site is lost, and a loss ends at once") {
  TestCluster cluster;
  cluster.run(5);
  cluster.set_site_behavior(1, Behavior::refuses);
  cluster.run(1);
  REQUIRE(cluster.lost(1));
  cluster.monitor.set_enabled(false);
  CHECK(cluster.monitor.shares().empty());
  cluster.run(3);
  CHECK(cluster.monitor.shares().empty());
  cluster.monitor.set_enabled(true);
  cluster.run(2);
  CHECK(cluster.lost(1));
}

TEST_CASE(
    "properties: a site most of whose nodes answer is not lost; after any faults a healthy site recovers") {
  const auto good = rc::check("sites", [] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    TestCluster cluster(3, 10, *rc::gen::inRange(-1, 3), seed);
    cluster.run(3);
    // Up to four nodes of ten fail, each in any way.
    for (int i = 0; i < 4; ++i)
      cluster.behavior[10 + cluster.random() % 10] =
          std::vector{Behavior::refuses, Behavior::silent, Behavior::overloaded}[cluster.random() % 3];
    cluster.run(6);
    RC_ASSERT(cluster.change_count(1, SiteHealth::lost) + cluster.change_count(1, SiteHealth::cut_off) == 0);
    const auto steps = *rc::gen::inRange(1, 8);
    for (int i = 0; i < steps; ++i) {
      cluster.set_site_behavior(static_cast<int>(cluster.random() % 3),
                                std::vector{Behavior::refuses, Behavior::silent, Behavior::answers,
                                            Behavior::overloaded, Behavior::slow}[cluster.random() % 5]);
      cluster.run(0.3 + 0.001 * static_cast<double>(cluster.random() % 3000));
    }
    for (int s = 0; s < 3; ++s) cluster.set_site_behavior(s, Behavior::answers);
    cluster.run(40);
    for (int s = 0; s < 3; ++s) RC_ASSERT(cluster.monitor.health(s) == SiteHealth::healthy);
    RC_ASSERT(cluster.monitor.shares().empty());
  });
  CHECK(good);
}

TEST_CASE("properties: all routers together never give a site in slow start more than its bounded share") {
  const auto good = rc::check("sum", [] {
    const auto router_count = *rc::gen::element(3, 30, 120);
    const auto seed = *rc::gen::arbitrary<unsigned>();
    std::vector<TestCluster> routers;
    for (int i = 0; i < router_count; ++i) {
      routers.emplace_back(3, 6, 0, seed + static_cast<unsigned>(i));
      routers.back().run(2, 60);
      routers.back().set_site_behavior(1, Behavior::silent);
      // Some routers have detected the loss and some have not.
      routers.back().run(*rc::gen::inRange(0, 3) * 1.0 + 1.5, 60);
      routers.back().set_site_behavior(1, Behavior::slow);
    }
    for (int step = 0; step < 12; ++step) {
      double sum = 0;
      int routers_returning = 0;
      for (auto& router : routers) {
        router.run(0.25, 60);
        if (router.monitor.health(1) != SiteHealth::returning) continue;
        ++routers_returning;
        sum += router.share(1);
      }
      // The mean share of the routers that let the site return: at most half of the load that overloads nodes
      // in slow start.
      const auto capacity = 0.3 + 0.7 * (step + 1) * 0.25 / 10;
      if (routers_returning > 0)
        RC_ASSERT(sum / routers_returning <= std::max(0.25, 0.5 * 2 * capacity) + 0.02);
    }
  });
  CHECK(good);
}

namespace {
PlannedCluster planned_cluster() {
  PlannedCluster cluster;
  cluster.site_count = 3;
  cluster.shard_count = 12;
  cluster.cell_count = 3;
  cluster.settings = TestCluster::settings(0);
  for (int n = 0; n < 18; ++n) cluster.nodes.push_back({n / 6, n % 3, 50});
  cluster.loads = {{"recherche", 119, 3, 1}, {"bilan-mensuel", 20, 8, 12}, {"suivi", 60, 1, 1}};
  return cluster;
}
}  // namespace

TEST_CASE("the forecast: utilization, shards without a replica, and low utility rejected before high") {
  auto cluster = planned_cluster();
  const auto parts = 119 * 3 + 20 * 8 + 60 * 1.0;
  CHECK(forecast_site_loss(cluster, {}).max_node_utilization == doctest::Approx(parts / 900).epsilon(0.02));
  const auto one = forecast_site_loss(cluster, {1});
  CHECK(one.max_node_utilization == doctest::Approx(parts / 600).epsilon(0.02));
  CHECK(one.served_utility == doctest::Approx(one.offered_utility));
  CHECK(one.unavailable_shards.empty());
  const auto two = forecast_site_loss(cluster, {0, 1});
  CHECK(two.max_node_utilization == doctest::Approx(parts / 300).epsilon(0.02));
  CHECK(two.rejected_share[0] > two.rejected_share[2]);
  CHECK(two.rejected_share[2] > two.rejected_share[1]);
  double left = 0;
  for (std::size_t v = 0; v < 3; ++v)
    left +=
        cluster.loads[v].queries_per_second * cluster.loads[v].parts_per_query * (1 - two.rejected_share[v]);
  CHECK(left == doctest::Approx(300).epsilon(0.03));
  // Only site 2 holds the shards of cell 2: a query that needs one of these four of twelve can't be served
  // without it.
  for (auto& node : cluster.nodes) node.cell = node.site == 2 ? 2 : node.cell % 2;
  const auto lone = forecast_site_loss(cluster, {2});
  CHECK(lone.unavailable_shards == std::vector<int>{2, 5, 8, 11});
  CHECK(lone.unreachable_share[2] == doctest::Approx(4.0 / 12));
  CHECK(lone.unreachable_share[1] ==
        doctest::Approx(1 - 1.0 / 495));  // one choice of 8 shards of 495 avoids them
  CHECK(lone.cold_recovery_seconds > lone.warm_recovery_seconds);
  // Capacity is what counts, not the number of nodes.
  for (auto& node : cluster.nodes) node.parts_per_second = 0.001;
  CHECK(forecast_site_loss(cluster, {0}).served_utility <
        0.05 * forecast_site_loss(cluster, {0}).offered_utility);
}

TEST_SUITE_END();
