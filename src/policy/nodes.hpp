// What the policy knows of the nodes and of the network paths to their zones: latencies, suspicion, pending
// parts, and which nodes hold which shard.
#pragma once

#include <cmath>
#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <span>

#include "estimates/samples.hpp"
#include "routing_policy.hpp"

namespace yoketurn::policy {

constexpr double kLoadWindowSeconds = 2.5;  // of the samples by which queries are refused
constexpr double kPriorSamples = 10;        // samples that an initial value counts as
constexpr double kMeanSampleWeight = 0.02;  // of a new sample in a smoothed mean

struct Node {
  int zone = kNone;
  int cell = 0;
  bool up = false;
  double started_at = 0;               // start of its process; 0: long ago
  double smoothed_latency = 0;         // 0: no sample yet
  double latency_updated_at = 0;       // when smoothed_latency last changed
  double last_answer_at = 0;           // of any kind, also a failure
  double latest_answered_sent_at = 0;  // send time of the latest sent of the parts that it has answered
  bool suspect = false;
  double probe_interval = 0;  // between the probes of a suspect node
  double next_probe_at = 0;
  double connection_lost_at = 0;          // when a connection to it last broke or brought a malformed answer
  int failures_seen = 0;                  // consecutive_failures as of the last update_suspicion()
  int consecutive_failures = 0;           // since the last success
  std::map<int, int> pending_batches;     // by batch: parts pending in it
  std::multiset<double> pending_sent_at;  // send times of the pending parts
  int open_batch = kNone;                 // parts sent at open_batch_at may join this batch
  double open_batch_at = -1;
  WindowCounter recent_work;  // slow start: work sent in the last overload_time, in parts of mean work
  double tokens = 0;          // slow start: parts of mean work that it may be sent now
  double tokens_updated_at = 0;
  std::multiset<double> peer_sent_at;  // when other routers sent the parts they have pending there
  double peer_latency = 0;             // smoothed latency that other routers report; 0: no report yet
  double peer_latency_at = 0;
};

// The network path from this router to the nodes of one zone.
struct NetworkPath {
  SampleWindow latencies{kLoadWindowSeconds};
  double extra_delay = 0;  // by which its quick answers come later than those of the nearest zone
};

// Rule 4: limits what is sent to nodes whose process started a short while ago and that have only part of
// their capacity yet. Work is counted in parts of mean work.
struct SlowStart {
  double duration, start_capacity, overload_ratio, overload_time;
  int router_count;
  double node_answer_rate = 0;  // parts per second that a node answers this router, on average

  explicit SlowStart(const Settings& settings);
  bool applies_to(const Node& node, double now) const {
    return node.started_at > 0 && now < node.started_at + duration;
  }
  // Share of its capacity that a node has at least, by its start time and the slowest ramp.
  double capacity_share(const Node& node, double now) const;
  // Work that all routers together may send it in overload_time, on average.
  double total_limit(const Node& node, double now) const;
  // Work that this router may send it in overload_time.
  double router_limit(const Node& node, double now) const;
  // What a part of this work counts against router_limit(); kNever: it must not be sent there.
  double token_cost(const Node& node, double work, double now) const;
  bool allows(Node& node, double work, double now, std::ranlux24_base& random) const;
  void record_sent(Node& node, double work, double now) const;

 private:
  void refill_tokens(Node& node, double max_tokens, double now) const;
};

struct Nodes {
  explicit Nodes(const Settings& settings);

  SlowStart slow_start;
  int zone, max_parts_per_call, cell_count, cells_per_shard;
  bool may_send_peer_reports;
  std::vector<PeerReport> peer_reports;  // to be sent
  int listed_nodes_up = 0;               // nodes that are up by the last list
  std::vector<SiteShare> sites;          // by zone; empty: no limits
  std::vector<Node> all;                 // by node id
  std::vector<NetworkPath> paths;        // by zone
  std::vector<std::vector<int>> by_cell;
  SmoothedMean mean_latency{kMeanSampleWeight};  // of a part, over all nodes
  SmoothedMean mean_cost{kMeanSampleWeight};     // the same with failures, each as the time it costs
  double median_latency = 0;                     // in the load window, pending parts included
  double overtaken_lost_after = kNever;          // age from which an overtaken part counts as lost
  double nodes_up = 0;                           // as of the last tick
  std::vector<bool> active;  // nodes that tick() updates: suspect, with pending parts or with peer reports

  Node& at(int node) { return all[static_cast<std::size_t>(node)]; }
  Node new_node() const;
  void update_nodes(std::span<const DiscoveredNode> listed, bool complete);
  void remove_node(int node);
  // Latency to expect of a node without own samples.
  double expected_latency(const Node& node, double now) const;
  // The smoothed latency of a node, which decays towards `expected` while the node is silent.
  double decayed_latency(const Node& node, double expected, double now) const;
  double latency_estimate(const Node& node, double now) const;
  // Whether the node has answered parts that were sent later. Such a part's answer is probably lost and says
  // nothing about its node: counted as pending, lost answers would make all nodes look slow, one after the
  // other. Light parts overtake a heavy one too, so the part must also be old by the node's own latency.
  bool is_overtaken(const Node& node, double sent_at, double now) const;
  bool is_answer_lost(const Node& node, double sent_at, double now) const {
    return is_overtaken(node, sent_at, now) && now - sent_at > overtaken_lost_after;
  }
  std::size_t pending_calls(const Node& node, double now) const;
  double peer_pending_parts(const Node& node, double now) const;
  bool joins_open_batch(const Node& node, double now) const;
  void report_to_peers(int node, double latency) {
    may_send_peer_reports ? peer_reports.push_back({node, latency}) : void();
  }
  void on_peer_report(PeerReport report, double now);
  // A suspect node is sent one part at a time, at its probe times, unless there is no better node.
  bool is_avoided(const Node& node, double now) const {
    return node.suspect && (!node.pending_sent_at.empty() || now < node.next_probe_at);
  }
  // The share of the node's site; nullptr: it is not limited.
  const SiteShare* site_share(const Node& node) const {
    const auto zone_at = static_cast<std::size_t>(node.zone);
    return zone_at < sites.size() && node.started_at <= sites[zone_at].lost_at ? &sites[zone_at] : nullptr;
  }
  bool is_site_lost(const Node& node) const { return site_share(node) != nullptr && site_share(node)->lost; }
  bool is_reachable(const Node& node, double now) const {
    return node.up && !is_avoided(node, now) && (!is_site_lost(node) || site_share(node)->probe_allowed);
  }
  // Factor on the score for the node's site. 0: pass the node over; 1: no limit.
  double site_score_factor(const Node& node, bool may_probe, std::ranlux24_base& random) const;
  void set_site_shares(std::span<const SiteShare> shares);
  void update_suspicion(Node& node, double now);
  void tick(double now);
  void mark_active(int node) { active[static_cast<std::size_t>(node)] = true; }
  // Expected cost of sending a part there: the lower the better.
  double score(const Node& node, double now) const;
  // Updates the paths' extra delays. last_tick_at: time of the last update.
  void compare_paths(double now, double last_tick_at);
  void record_latency(Node& node, double latency, bool success, double now);
  template <class Visit>
  void for_each_active(Visit visit) {
    for (std::size_t i = 0; i < active.size(); ++i)
      if (active[i]) visit(i, all[i]);
  }
  // Calls the test with each node that holds the part's shard until it returns true; returns whether it did.
  template <class Test>
  bool any_replica(const Leaf& leaf, Test test) const {
    for (int j = 0; j < cells_per_shard; ++j)
      for (const auto i : by_cell[static_cast<std::size_t>((leaf.shard + j) % cell_count)])
        if (test(i)) return true;
    return false;
  }
};
}  // namespace yoketurn::policy
