// The queries in hand: their parts, calls, steps and due times. The only caller of the module.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <vector>

#include "brain.hpp"
#include "queries/due.hpp"
#include "queries/witness.hpp"
#include "sites/sites.hpp"

namespace yoketurn {

// What is to be done for the queries; whoever reads and writes messages carries it out. It must not call the
// queries back from here.
class QueryActions {
 public:
  virtual ~QueryActions() = default;
  virtual void send(long long query, const Send& send, int call) = 0;
  virtual void cancel(long long query, const Cancel& cancel) = 0;
  virtual void merge(long long query, bool whole) = 0;  // of a first step: its second step is awaited then
  virtual void reject(long long query, double stay_away, const Explanation& why) = 0;
  virtual void abort(long long query, const Explanation& why) = 0;
  virtual void release(long long query) = 0;       // ended, and no call is out any more
  virtual void on_call_ended(int, const Call&) {}  // of this vertical; its outcome stands in it
  virtual void send_peer_reports(const std::vector<PeerReport>&) {}  // where the other routers can be told
};

class Queries {
 public:
  Queries(const Settings& settings, std::uint64_t seed, double now, TimerQueue& due, QueryActions& actions);
  // With others in the place of the module.
  Queries(std::unique_ptr<RoutingPolicy> decisions, const Settings& settings, std::uint64_t seed,
          TimerQueue& due, QueryActions& actions);

  void update_nodes(std::span<const DiscoveredNode> hosts, bool complete, double now, bool told = true) {
    decisions_->update_nodes(hosts, complete, told);
    sites_.update_nodes(hosts, complete, now);
  }
  void remove_node(int node) {
    decisions_->remove_node(node);
    sites_.remove_node(node);
  }
  void on_peer_report(PeerReport word, double now) { decisions_->on_peer_report(word, now); }
  void on_node_list_failed(double now) { decisions_->on_node_list_failed(now); }
  bool tick(double now);
  SiteHealthMonitor& sites() { return sites_; }
  double tick_interval() const { return decisions_->tick_interval(); }
  NodeHealth node_health(int node, double now) const { return decisions_->node_health(node, now); }
  long long dropped_trace_entries() const { return decisions_->dropped_trace_entries(); }
  void set_observer(QueryObserver* witness) {  // is told of everything from now on; nullptr: nobody is
    witness_ = witness;
    decisions_->enable_trace(witness != nullptr);
  }

  bool contains(long long query) const { return held_.contains(query); }
  void add_query(long long query, Query start, double now);
  int add_part(long long query, Leaf leaf, double now);  // its place among the parts; kNone: not wanted
  void on_outcome(long long query, int leaf, int call, Outcome outcome, double score, double now);
  void abandon(long long query);
  void process_changes(
      double now);  // asks the module for all that has changed; due times that have come are run first

  // The parts whose shards a second step goes to: the highest scores among those that are in.
  std::vector<int> second_step_leaves(long long query) const;
  bool awaits_parts(long long query) const;

 private:
  struct Held {
    Query query;
    std::vector<double> scores;  // of the parts that are in
    int pending = 0;             // calls without an outcome
    bool touched = false;
  };

  void touch(long long number, Held& held);
  void perform(long long number, Held& held, const Decision& answer, double now);
  void finish_step(long long number, Held& held, const Decision& answer);
  void end(long long number, Held& held);

  void believe();

  std::unique_ptr<RoutingPolicy> decisions_;
  SiteHealthMonitor sites_;
  TimerQueue& due_;
  QueryActions& actions_;
  QueryObserver* witness_ = nullptr;
  std::vector<int> second_steps_;
  std::map<long long, std::unique_ptr<Held>> held_;
  std::vector<long long> touched_;
};

}  // namespace yoketurn
