// The pending queries with their parts, calls, steps and timers. The only caller of the routing policy.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "queries/query_observer.hpp"
#include "queries/timer_queue.hpp"
#include "routing_policy.hpp"
#include "sites/sites.hpp"

namespace yoketurn {

// Carries out what was decided for the queries; implemented by whoever reads and writes the messages. The
// methods must not call Queries.
class QueryActions {
 public:
  virtual ~QueryActions() = default;
  virtual void send(long long query, const Send& send, int call) = 0;
  virtual void cancel(long long query, const Cancel& cancel) = 0;
  // After the first of two steps the parts of the second step are expected next, see Queries::awaits_parts().
  virtual void merge(long long query, bool complete) = 0;
  // retry_after: seconds that the client is asked to wait before it retries.
  virtual void reject(long long query, double retry_after, const Explanation& explanation) = 0;
  virtual void abort(long long query, const Explanation& explanation) = 0;
  virtual void release(long long query) = 0;  // it has ended and no call is pending: its id is free
  virtual void on_call_ended(int /*vertical*/, const Call&) {}  // the outcome is set in the call
  virtual void send_peer_reports(const std::vector<PeerReport>&) {}
};

// Holds the pending queries, asks the routing policy about each that has changed, and has its decisions
// carried out. Queries are identified by the caller's ids. The events of one round of the event loop are
// reported first; process_changes() ends the round.
class Queries {
 public:
  Queries(const Settings& settings, std::uint64_t seed, double now, TimerQueue& timers,
          QueryActions& actions);
  // With another policy than AdaptiveRoutingPolicy.
  Queries(std::unique_ptr<RoutingPolicy> policy, const Settings& settings, std::uint64_t seed,
          TimerQueue& timers, QueryActions& actions);

  // See RoutingPolicy::update_nodes().
  void update_nodes(std::span<const DiscoveredNode> nodes, bool complete, double now,
                    bool from_discovery = true) {
    policy_->update_nodes(nodes, complete, from_discovery);
    sites_.update_nodes(nodes, complete, now);
  }
  void remove_node(int node) {
    policy_->remove_node(node);
    sites_.remove_node(node);
  }
  void on_peer_report(PeerReport report, double now) { policy_->on_peer_report(report, now); }
  void on_node_list_failed(double now) { policy_->on_node_list_failed(now); }
  // Periodic work, every tick_interval(). Returns whether the node list has to be requested now.
  bool tick(double now);
  SiteHealthMonitor& sites() { return sites_; }
  double tick_interval() const { return policy_->tick_interval(); }
  NodeHealth node_health(int node, double now) const { return policy_->node_health(node, now); }
  long long dropped_trace_entries() const { return policy_->dropped_trace_entries(); }
  void set_observer(QueryObserver* observer) {  // nullptr: none
    observer_ = observer;
    policy_->enable_trace(observer != nullptr);
  }

  bool contains(long long query) const { return pending_queries_.contains(query); }
  void add_query(long long query, Query start, double now);
  // All parts of a step have to be added in the same round. Returns the index of the part; kNone: the query
  // has ended.
  int add_part(long long query, Leaf leaf, double now);
  // The first outcome of a call counts, later ones are ignored. score: of a successful answer; decides where
  // the second step goes.
  void on_outcome(long long query, int leaf, int call, Outcome outcome, double score, double now);
  // The answer has no room for the value of this part, whose outcome was reported before.
  void drop_value(long long query, int leaf);
  // Ends the query without an answer, as its client has disconnected.
  void abandon(long long query);
  // Runs the timers that are due, then asks the policy about all queries that have changed.
  void process_changes(double now);

  // The parts whose shards the second step goes to: those with the highest scores of the answered ones.
  std::vector<int> second_step_leaves(long long query) const;
  // Whether the parts of the second step have to be added.
  bool awaits_parts(long long query) const;

 private:
  struct PendingQuery {
    Query query;
    std::vector<double> scores;  // by part; 0: not answered yet
    int pending_calls = 0;       // calls without an outcome
    bool changed = false;        // it is in changed_queries_
  };

  void mark_changed(long long query, PendingQuery& pending);
  void carry_out(long long query, PendingQuery& pending, const Decision& decision, double now);
  void finish_step(long long query, PendingQuery& pending, const Decision& decision);
  void end_query(long long query, PendingQuery& pending);

  void apply_site_shares();

  std::unique_ptr<RoutingPolicy> policy_;
  SiteHealthMonitor sites_;
  TimerQueue& timers_;
  QueryActions& actions_;
  QueryObserver* observer_ = nullptr;
  std::vector<int> second_step_parts_;
  std::map<long long, std::unique_ptr<PendingQuery>> pending_queries_;
  std::vector<long long> changed_queries_;
};

}  // namespace yoketurn
