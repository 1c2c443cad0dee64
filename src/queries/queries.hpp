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
class Actions {
 public:
  virtual ~Actions() = default;
  virtual void send(long long query, const Send& send, int call) = 0;
  virtual void cancel(long long query, const Cancel& cancel) = 0;
  virtual void merge(long long query, bool whole) = 0;  // of a first step: its second step is awaited then
  virtual void reject(long long query, double stay_away, const Why& why) = 0;
  virtual void abort(long long query, const Why& why) = 0;
  virtual void forget(long long query) = 0;       // ended, and no call is out any more
  virtual void ended(int, const Call&) {}         // of this vertical; its outcome stands in it
  virtual void tell(const std::vector<Word>&) {}  // where the other routers can be told
};

class Queries {
 public:
  Queries(const Settings& settings, std::uint64_t seed, double now, DueTimes& due, Actions& actions);
  // With others in the place of the module.
  Queries(std::unique_ptr<Decisions> decisions, const Settings& settings, std::uint64_t seed, DueTimes& due,
          Actions& actions);

  void list(std::span<const Host> hosts, bool complete, double now, bool told = true) {
    decisions_->list(hosts, complete, told);
    sites_.update_nodes(hosts, complete, now);
  }
  void forget_node(int node) {
    decisions_->forget(node);
    sites_.remove_node(node);
  }
  void hear(Word word, double now) { decisions_->hear(word, now); }
  void list_failed(double now) { decisions_->list_failed(now); }
  bool tick(double now);
  SiteHealthMonitor& sites() { return sites_; }
  double period() const { return decisions_->period(); }
  Belief belief(int node, double now) const { return decisions_->belief(node, now); }
  long long unjudged() const { return decisions_->unjudged(); }
  void witness(Witness* witness) {  // is told of everything from now on; nullptr: nobody is
    witness_ = witness;
    decisions_->explain(witness != nullptr);
  }

  bool holds(long long query) const { return held_.contains(query); }
  void take(long long query, Query start, double now);
  int take_part(long long query, Leaf leaf, double now);  // its place among the parts; kNone: not wanted
  void outcome(long long query, int leaf, int call, Outcome outcome, double score, double now);
  void gone(long long query);
  void finish(
      double now);  // asks the module for all that has changed; due times that have come are run first

  // The parts whose shards a second step goes to: the highest scores among those that are in.
  std::vector<int> second_step(long long query) const;
  bool awaits_parts(long long query) const;

 private:
  struct Held {
    Query query;
    std::vector<double> scores;  // of the parts that are in
    int pending = 0;             // calls without an outcome
    bool touched = false;
  };

  void touch(long long number, Held& held);
  void perform(long long number, Held& held, const Answer& answer, double now);
  void finish_step(long long number, Held& held, const Answer& answer);
  void end(long long number, Held& held);

  void believe();

  std::unique_ptr<Decisions> decisions_;
  SiteHealthMonitor sites_;
  DueTimes& due_;
  Actions& actions_;
  Witness* witness_ = nullptr;
  std::vector<int> second_steps_;
  std::map<long long, std::unique_ptr<Held>> held_;
  std::vector<long long> touched_;
};

}  // namespace yoketurn
