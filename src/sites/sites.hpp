// Health of whole sites (zones of the node list): detects that a site is lost or that this router is cut off,
// notices the recovery, and limits the share of traffic that a recovering or evacuated site gets. No I/O; the
// caller reports which calls were sent, how they ended, and the time.
//
// The nodes of a site are observed together. Each node has one current state: answering, or failing (its
// connection was refused or broke, or a part has waited there longer than nearly all parts do). Only a change
// of that state counts as an observation. A site's evidence is Page's cumulative sum (E. S. Page, Continuous
// inspection schemes, Biometrika 41, 1954) of the log likelihood ratio of these observations between a lost
// site and a site that behaves as usual. The usual failure share is learned and is at least what the other
// sites show at the same time, so that a slow fleet is not taken for a lost site. Times are in seconds,
// shares from 0 to 1.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "routing_policy.hpp"

namespace yoketurn {

enum class SiteHealth : std::uint8_t {
  healthy,
  suspected,  // half of the evidence for a loss is there; traffic is not changed
  lost,
  cut_off,    // all sites but the router's own are lost, so its own site is isolated; handled as lost
  returning,  // a lost site that answers again and gets a growing share of its load
  evacuated   // emptied by an operator's order
};

// A change of a site's health, with the figures it rests on.
struct SiteHealthChange {
  int site = kNone;
  SiteHealth previous = SiteHealth::healthy, current = SiteHealth::healthy;
  double changed_at = 0;
  double previous_seconds = 0;  // how long the previous state lasted
  int node_count = 0;           // nodes of the site that are listed as up
  int failing_nodes = 0;
  int refused_nodes = 0;  // of the failing nodes: those whose connection was refused or broke
  double evidence = 0;    // log likelihood ratio
  double baseline_failure_share = 0;
  double load_share = 1;              // share of its usual load that the site may get now
  bool in_slow_start = false;         // returning: its latency is that of nodes in slow start
  bool evacuation_held_back = false;  // an evacuation waits because another site is lost
};

// An operator's order to empty a site.
struct Evacuation {
  int site = kNone;
  double starts_at = 0;
  double ramp_seconds = 0;         // time in which the site is emptied, and in which it is filled again
  double ends_at = 0;              // from when on the site is filled again
  bool already_in_effect = false;  // it began before this process did, so the site is empty already
  bool operator==(const Evacuation&) const = default;
};

// Seconds from the first answer of a lost site until it gets its full load again, if nothing fails meanwhile.
double recovery_seconds(const Settings& settings, bool slow_start);

class SiteHealthMonitor {
 public:
  SiteHealthMonitor(const Settings& settings, std::uint64_t seed);

  // While disabled all sites count as healthy and no change is reported.
  void set_enabled(bool enabled);
  // complete: the list replaces the previous one; nodes that it does not name are no longer up.
  void update_nodes(std::span<const DiscoveredNode> hosts, bool complete, double now);
  void remove_node(int node);
  void on_call_sent(int node, double now);
  void on_call_ended(int node, double sent_at, Outcome outcome, double now);
  // nullopt: there is no order; a site that was evacuated is filled again.
  void set_evacuation(const std::optional<Evacuation>& evacuation);
  void tick(double now);

  // Indexed by site; empty: traffic is not restricted anywhere.
  std::span<const SiteShare> shares() const { return shares_; }
  bool take_shares_changed();  // whether shares() may have changed since the last call
  std::vector<SiteHealthChange> take_changes();
  SiteHealth health(int site) const;
  std::size_t site_count() const { return sites_.size(); }

 private:
  struct Node {
    int site = kNone;
    bool up = false;
    double started_at = 0;
    int pending_calls = 0;
    double waiting_since = 0;  // since when calls wait without any answer; 0: no call is pending
    // Total time that calls given up since the last answer have waited.
    double unanswered_wait = 0;
    bool failing = false;
    bool connection_refused = false;    // failing because its connection was refused or broke
    int evidence_round = 0;             // the site's round in which the node was last failing
    double last_answered_sent_at = -1;  // send time of the latest part it has answered
  };
  struct Site {
    SiteHealth health = SiteHealth::healthy;
    double health_since = 0;
    double lost_at = 0;
    int node_count = 0;
    int evidence_round = 1;  // incremented when the evidence starts again from zero
    int failing_nodes = 0, refused_nodes = 0;
    double failing_sent_from = 0;  // send time of the oldest part that the failing nodes left unanswered
    double evidence = 0;
    double baseline_failure_share = 0;                 // smoothed
    double recent_successes = 0, recent_failures = 0;  // observations, decaying
    double load_share = 1, last_step_at = 0;           // while it returns
    int successes_since_step = 0, failures_since_step = 0;
    double recovery_latency = 0;  // smoothed latency of its answers since it returns; 0: none yet
    double probe_interval = 0, next_probe_at = 0;
    double recovered_at = 0;     // when it last became healthy after a loss
    double evacuated_share = 0;  // share of its load that the order takes away
    bool evacuation_held_back = false;
  };

  Site& site_at(int site) { return sites_[static_cast<std::size_t>(site)]; }
  Node* find_tracked_node(int node);
  void record_observation(Node& node, bool failing, bool connection_refused, double sent_at, double latency,
                          double now);
  int nodes_answering_since(int site, double sent_at) const;
  bool other_sites_answer(int site, double sent_at) const;
  double silence_timeout() const;
  double overdue_sent_from(double waiting_since, double now) const;
  double baseline_failure_share(const Site& site) const;
  void evaluate(int site, double now);
  void set_health(int site, SiteHealth health, double now);
  bool in_slow_start(const Site& site) const;
  double max_load_share(const Site& site, double now) const;
  void raise_load_share(int site, double now);
  void apply_evacuation(double now);
  void update_shares(double now);

  int own_site_;  // kNone: the router belongs to no site
  double start_capacity_, slow_start_seconds_, overload_multiple_;
  std::ranlux24_base random_;
  bool enabled_ = true;
  std::vector<Node> nodes_;
  std::vector<Site> sites_;
  std::vector<SiteShare> shares_;
  std::vector<SiteHealthChange> changes_;
  std::optional<Evacuation> evacuation_;
  double mean_latency_ = 0, latency_deviation_ = 0;  // smoothed, of answers from sites that are not lost
  int latency_samples_ = 0;                          // counted up to kMinLatencySamples
  double last_tick_ = -1;                            // -1: there was none
  double resumed_at_ = 0;                            // when the router last resumed after a stall
  bool shares_changed_ = false;
};

}  // namespace yoketurn
