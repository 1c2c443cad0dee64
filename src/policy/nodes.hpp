// What is believed of nodes and of the ways to them: latencies, suspicion, what waits there, who holds what.
#pragma once

#include <cmath>
#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <span>

#include "routing_policy.hpp"
#include "estimates/samples.hpp"

namespace yoketurn::policy {

constexpr double kLoadWindowSeconds = 2.5;  // refusals look back so far
constexpr double kPriorSamples = 10;        // samples that a start value counts as
constexpr double kMeanSampleWeight = 0.02;  // of a new sample in an average

struct Node {
  int zone = kNone;
  int cell = 0;
  bool up = false;
  double started_at = 0;
  double smoothed_latency = 0;         // smoothed; 0: unheard
  double latency_updated_at = 0;       // when it last changed
  double last_answer_at = 0;           // when it last answered anything
  double latest_answered_sent_at = 0;  // when the latest of the parts it has done was sent
  bool suspect = false;
  double probe_interval = 0;      // between its trials
  double next_probe_at = 0;       // the next one
  double connection_lost_at = 0;  // when a connection to it was last of no further use
  int failures_seen = 0;
  int consecutive_failures = 0;           // bad outcomes since the last success
  std::map<int, int> pending_batches;     // calls that wait there, by group, with their parts
  std::multiset<double> pending_sent_at;  // when the parts that wait there were sent
  int open_batch = kNone;                 // the call that parts sent at open_at may join
  double open_batch_at = -1;
  WindowCounter recent_work;     // work, in mean parts, over the time in which a cold node may be pushed over
  double tokens = 0;             // parts that it may be sent now, while it is cold and they are spaced out
  double tokens_updated_at = 0;  // when that was last looked at
  std::multiset<double>
      peer_sent_at;         // when others sent the parts that they have waiting there, as they tell
  double peer_latency = 0;  // the latency they find there, smoothed; 0: nothing told
  double peer_latency_at = 0;
};

// The nodes of one zone, as this router reaches them.
struct NetworkPath {
  SampleWindow latencies{kLoadWindowSeconds};
  double extra_delay = 0;  // by which its quick answers come later than those of the nearest zone
};

// Nodes that started a short while ago: how much of their capacity they have, and rule 4. Work is counted in
// parts of mean work.
struct SlowStart {
  double duration, start_capacity, overload_ratio, overload_time;
  int router_count;
  double node_answer_rate = 0;  // parts a second that a node answers this router, on average

  explicit SlowStart(const Settings& s);
  bool applies_to(const Node& node, double now) const {
    return node.started_at > 0 && now < node.started_at + duration;
  }
  double capacity_share(const Node& node, double now) const;
  double total_limit(const Node& node,
                     double now) const;  // what all routers may send it in fall_time on average
  double router_limit(const Node& node, double now) const;             // and this one
  double token_cost(const Node& node, double work, double now) const;  // of that, for one part
  bool allows(Node& node, double work, double now, std::ranlux24_base& chance) const;
  void record_sent(Node& node, double work, double now) const;

 private:
  void refill_tokens(Node& node, double most_saved, double now) const;
};

struct Nodes {
  explicit Nodes(const Settings& s);

  SlowStart slow_start;
  int zone, max_parts_per_call, cell_count, cells_per_shard;
  bool may_send_peer_reports;
  std::vector<PeerReport> peer_reports;  // to be told
  int listed_nodes_up = 0;               // nodes that are up by the last list
  std::vector<SiteShare> sites;          // by zone; empty: all are sound
  std::vector<Node> all;
  std::vector<NetworkPath> paths;
  std::vector<std::vector<int>> by_cell;
  SmoothedMean mean_latency{kMeanSampleWeight};  // latency of a part, over all nodes
  SmoothedMean mean_cost{kMeanSampleWeight};     // the same with failures, each as the time it costs
  double median_latency = 0;                     // that of the last moments, with what is out
  double overtaken_lost_after = kNever;  // the age from which a part that others have overtaken is lost
  double nodes_up = 0;                   // how many, as of the last tick
  std::vector<bool> active;  // nodes that tick() has to look at: with parts out, suspicion or news

  Node& at(int node) { return all[static_cast<std::size_t>(node)]; }
  Node new_node() const;
  void update_nodes(std::span<const DiscoveredNode> hosts, bool complete);
  void remove_node(int node);
  double expected_latency(const Node& node, double now) const;
  double decayed_latency(const Node& node, double usual, double now) const;
  double latency_estimate(const Node& node, double now) const;
  // An answer that is lost says nothing of its node, which has done parts sent later: taken for a part that
  // waits it makes all look slow in turn. Lighter parts pass a heavy one too: its own latency bounds that.
  bool is_overtaken(const Node& node, double sent, double now) const;
  bool is_answer_lost(const Node& node, double sent, double now) const {
    return is_overtaken(node, sent, now) && now - sent > overtaken_lost_after;
  }
  std::size_t pending_calls(const Node& node, double now) const;
  double peer_pending_parts(const Node& node, double now) const;
  bool joins_open_batch(const Node& node, double now) const;
  void report_to_peers(int node, double took) {
    may_send_peer_reports ? peer_reports.push_back({node, took}) : void();
  }
  void on_peer_report(PeerReport word, double now);
  // A node under suspicion gets one part at a time, after a pause, unless there is nowhere better to go.
  bool is_avoided(const Node& node, double now) const {
    return node.suspect && (!node.pending_sent_at.empty() || now < node.next_probe_at);
  }
  // What its site may get; nullptr: nothing is known against it.
  const SiteShare* site_share(const Node& node) const {
    const auto zone_at = static_cast<std::size_t>(node.zone);
    return zone_at < sites.size() && node.started_at <= sites[zone_at].lost_at ? &sites[zone_at] : nullptr;
  }
  bool is_site_lost(const Node& node) const { return site_share(node) != nullptr && site_share(node)->lost; }
  bool is_reachable(const Node& node, double now) const {
    return node.up && !is_avoided(node, now) && (!is_site_lost(node) || site_share(node)->probe_allowed);
  }
  // What that does to its score: 0 where it is passed over, 1 where nothing.
  double site_score_factor(const Node& node, bool may_try, std::ranlux24_base& chance) const;
  void set_site_shares(std::span<const SiteShare> told);
  void update_suspicion(Node& node, double now);
  void tick(double now);
  void mark_active(int node) { active[static_cast<std::size_t>(node)] = true; }
  double score(const Node& node, double now) const;
  void compare_paths(double now, double since);
  void record_latency(Node& node, double value, bool good, double now);  // a sample of its latency
  template <class Visit>
  void for_each_active(Visit visit) {
    for (std::size_t i = 0; i < active.size(); ++i)
      if (active[i]) visit(i, all[i]);
  }
  // Whether the test holds for a node that holds the part's shard; it is put to each until it does.
  template <class Test>
  bool any_replica(const Leaf& leaf, Test test) const {
    for (int j = 0; j < cells_per_shard; ++j)
      for (const auto i : by_cell[static_cast<std::size_t>((leaf.shard + j) % cell_count)])
        if (test(i)) return true;
    return false;
  }
};
}  // namespace yoketurn::policy
