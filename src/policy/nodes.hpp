// What is believed of nodes and of the ways to them: latencies, suspicion, what waits there, who holds what.
#pragma once

#include <cmath>
#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <span>

#include "brain.hpp"
#include "estimates/samples.hpp"

namespace yoketurn::policy {

constexpr double kStrainWindow = 2.5;    // refusals look back so far
constexpr double kStartWeight = 10;      // samples that a start value counts as
constexpr double kAverageWeight = 0.02;  // of a new sample in an average

struct Node {
  int zone = kNone;
  int cell = 0;
  bool up = false;
  double born = 0;
  double latency = 0;   // smoothed; 0: unheard
  double heard = 0;     // when it last changed
  double answered = 0;  // when it last answered anything
  double served = 0;    // when the latest of the parts it has done was sent
  bool suspect = false;
  double pause = 0;     // between its trials
  double trial_at = 0;  // the next one
  double broke = 0;     // when a connection to it was last of no further use
  int row_seen = 0;
  int bad_row = 0;                // bad outcomes since the last success
  std::map<int, int> groups;      // calls that wait there, by group, with their parts
  std::multiset<double> waiting;  // when the parts that wait there were sent
  int open_group = kNone;         // the call that parts sent at open_at may join
  double open_at = -1;
  WindowCounter sent;            // work, in mean parts, over the time in which a cold node may be pushed over
  double credit = 0;             // parts that it may be sent now, while it is cold and they are spaced out
  double credited = 0;           // when that was last looked at
  std::multiset<double> others;  // when others sent the parts that they have waiting there, as they tell
  double told = 0;               // the latency they find there, smoothed; 0: nothing told
  double told_at = 0;
};

// The nodes of one zone, as this router reaches them.
struct Way {
  SampleWindow latencies{kStrainWindow};
  double delay = 0;  // by which its quick answers come later than those of the nearest zone
};

// Nodes that started a short while ago: how much of their capacity they have, and rule 4. Work is counted in
// parts of mean work.
struct Cold {
  double time, start, rate, fall_time;
  int routers;
  double node_rate = 0;  // parts a second that a node answers this router, on average

  explicit Cold(const Settings& s);
  bool is(const Node& node, double now) const { return node.born > 0 && now < node.born + time; }
  double capacity(const Node& node, double now) const;
  double bound(const Node& node, double now) const;  // what all routers may send it in fall_time on average
  double most(const Node& node, double now) const;   // and this one
  double cost(const Node& node, double work, double now) const;  // of that, for one part
  bool allows(Node& node, double work, double now, std::ranlux24_base& chance) const;
  void sent(Node& node, double work, double now) const;

 private:
  void save(Node& node, double most_saved, double now) const;
};

struct Nodes {
  explicit Nodes(const Settings& s);

  Cold cold;
  int zone, parts_a_call, cells, span;
  bool may_tell;
  std::vector<PeerReport> words;  // to be told
  int listed_up = 0;              // nodes that are up by the last list
  std::vector<SiteShare> sites;   // by zone; empty: all are sound
  std::vector<Node> all;
  std::vector<Way> ways;
  std::vector<std::vector<int>> by_cell;
  SmoothedMean average{kAverageWeight};  // latency of a part, over all nodes
  SmoothedMean cost{kAverageWeight};     // the same with failures, each as the time it costs
  double median = 0;                     // that of the last moments, with what is out
  double astray = kNever;                // the age from which a part that others have overtaken is lost
  double up = 0;                         // how many, as of the last tick
  std::vector<bool> active;  // nodes that tick() has to look at: with parts out, suspicion or news

  Node& at(int node) { return all[static_cast<std::size_t>(node)]; }
  Node unheard() const;
  void list(std::span<const DiscoveredNode> hosts, bool complete);
  void forget(int node);
  double usual(const Node& node, double now) const;
  double drifted(const Node& node, double usual, double now) const;
  double latency(const Node& node, double now) const;
  // An answer that is lost says nothing of its node, which has done parts sent later: taken for a part that
  // waits it makes all look slow in turn. Lighter parts pass a heavy one too: its own latency bounds that.
  bool overtaken(const Node& node, double sent, double now) const;
  bool stray(const Node& node, double sent, double now) const {
    return overtaken(node, sent, now) && now - sent > astray;
  }
  std::size_t calls_at(const Node& node, double now) const;
  double others_at(const Node& node, double now) const;
  bool joins(const Node& node, double now) const;
  void tell(int node, double took) { may_tell ? words.push_back({node, took}) : void(); }
  void hear(PeerReport word, double now);
  // A node under suspicion gets one part at a time, after a pause, unless there is nowhere better to go.
  bool shunned(const Node& node, double now) const {
    return node.suspect && (!node.waiting.empty() || now < node.trial_at);
  }
  // What its site may get; nullptr: nothing is known against it.
  const SiteShare* site(const Node& node) const {
    const auto zone_at = static_cast<std::size_t>(node.zone);
    return zone_at < sites.size() && node.born <= sites[zone_at].lost_at ? &sites[zone_at] : nullptr;
  }
  bool lost(const Node& node) const { return site(node) != nullptr && site(node)->lost; }
  bool within_reach(const Node& node, double now) const {
    return node.up && !shunned(node, now) && (!lost(node) || site(node)->probe_allowed);
  }
  // What that does to its score: 0 where it is passed over, 1 where nothing.
  double by_site(const Node& node, bool may_try, std::ranlux24_base& chance) const;
  void believe(std::span<const SiteShare> told);
  void watch(Node& node, double now);
  void tick(double now);
  void touch(int node) { active[static_cast<std::size_t>(node)] = true; }
  double score(const Node& node, double now) const;
  void compare_ways(double now, double since);
  void learn(Node& node, double value, bool good, double now);  // a sample of its latency
  template <class Visit>
  void each_active(Visit visit) {
    for (std::size_t i = 0; i < active.size(); ++i)
      if (active[i]) visit(i, all[i]);
  }
  // Whether the test holds for a node that holds the part's shard; it is put to each until it does.
  template <class Test>
  bool any_holder(const Leaf& leaf, Test test) const {
    for (int j = 0; j < span; ++j)
      for (const auto i : by_cell[static_cast<std::size_t>((leaf.shard + j) % cells)])
        if (test(i)) return true;
    return false;
  }
};
}  // namespace yoketurn::policy
