#include "sites/sites.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace yoketurn {

namespace {

constexpr double kFailureChanceIfLost = 0.98;      // that an observation of a lost site is a failure
constexpr double kMinBaselineFailureShare = 0.05;  // bounds of the usual share of failures
constexpr double kMaxBaselineFailureShare = 0.7;   // above it failures say next to nothing
constexpr double kLostEvidence = 8;             // log likelihood ratio of a loss: one false alarm in e^8 runs
constexpr double kSuspectedEvidence = 4;        // the same for a suspicion, or a relapse of a returning site
constexpr int kMinFailingNodes = 8;             // or most nodes of a smaller site
constexpr int kMinFailingNodesIfSilent = 3;     // for a relapse, or a site without any answer for ...
constexpr double kLongSilenceSeconds = 0.6;     // ... this time
constexpr int kMinAnsweringElsewhere = 2;       // nodes of other sites that must answer meanwhile
constexpr double kMinFailingShare = 0.8;        // of the nodes observed that must be failing
constexpr double kBaselineWeight = 0.02;        // of one observation in the smoothed baseline
constexpr double kObservationDecaySeconds = 1;  // time constant of recent observations
constexpr double kLatencyWeight = 0.05;         // of one answer in the smoothed latency
constexpr double kSilenceDeviations = 6;        // above the mean latency after which a part is overdue
constexpr double kMinSilenceTimeoutSeconds = 0.02;
constexpr double kSilenceCheckDelaySeconds = 0.2;  // two ticks, by which silence may be noticed late
constexpr int kMinLatencySamples = 30;             // before these silence is no evidence
constexpr double kStallSeconds = 0.3;              // a longer time between two ticks is a stall of the router
constexpr double kFirstProbeIntervalSeconds = 0.25;
constexpr double kProbeBackoffFactor = 1.5;
constexpr double kMaxProbeIntervalSeconds = 2;
constexpr double kRelapseBackoffFactor = 2;
constexpr double kMaxRelapseProbeIntervalSeconds = 4;
constexpr double kFirstLoadShare = 0.25;        // of its usual load that a returning site gets
constexpr double kStepSeconds = 0.25;           // least time between two doublings of that share
constexpr int kMinSuccessesPerStep = 2;         // answers that a doubling needs ...
constexpr double kQuietStepSeconds = 1.5;       // ... or so much time, if there were fewer
constexpr double kSlowStartLatencyRatio = 1.6;  // to the other sites' latency: nodes are in slow start
// Share of the load at which a node in slow start would be overloaded that a returning site may get.
constexpr double kSlowStartLoadMargin = 0.5;
constexpr double kRelapseWindowSeconds = 10;  // a loss so soon after a recovery is a relapse

}  // namespace

double recovery_seconds(const Settings& settings, bool slow_start) {
  const auto doubling_seconds = std::ceil(std::log2(1 / kFirstLoadShare)) * kStepSeconds;
  if (!slow_start || settings.slow_start_time <= 0 || settings.start_capacity >= 1) return doubling_seconds;
  const auto needed_capacity = 1 / std::max(kSlowStartLoadMargin * settings.overload_multiple, 1e-9);
  return std::max(doubling_seconds, settings.slow_start_time *
                                        (std::min(needed_capacity, 1.0) - settings.start_capacity) /
                                        (1 - settings.start_capacity));
}

SiteHealthMonitor::SiteHealthMonitor(const Settings& settings, std::uint64_t seed)
    : own_site_(settings.zone),
      start_capacity_(settings.start_capacity),
      slow_start_seconds_(settings.slow_start_time),
      overload_multiple_(settings.overload_multiple),
      random_(static_cast<std::uint_fast32_t>(seed * 31 + 7)) {}

void SiteHealthMonitor::set_enabled(bool enabled) {
  if (enabled == enabled_) return;
  enabled_ = enabled;
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto node_count = sites_[i].node_count;
    sites_[i] = {};
    sites_[i].node_count = node_count;
  }
  for (auto& node : nodes_) node.failing = node.connection_refused = false;
  shares_.clear();
  shares_changed_ = true;
}

void SiteHealthMonitor::update_nodes(std::span<const DiscoveredNode> hosts, bool complete, double now) {
  if (complete)
    for (auto& node : nodes_) node.up = false;
  for (const auto& host : hosts) {
    if (host.node < 0) continue;
    if (static_cast<std::size_t>(host.node) >= nodes_.size())
      nodes_.resize(static_cast<std::size_t>(host.node) + 1);
    auto& node = nodes_[static_cast<std::size_t>(host.node)];
    // A new process: observations of the old one do not count for it.
    if (host.started_at != node.started_at) node = {};
    node.site = host.zone;
    node.up = host.up;
    node.started_at = host.started_at;
    if (host.zone >= 0 && static_cast<std::size_t>(host.zone) >= sites_.size())
      sites_.resize(static_cast<std::size_t>(host.zone) + 1);
  }
  // Nodes of a lost site that discovery reports as started after the loss show that the site is back. That
  // they are listed as up shows nothing: they were listed so all along.
  if (enabled_)
    for (const auto& host : hosts) {
      const auto site = host.zone;
      if (site == kNone || !host.up) continue;
      const auto lost =
          site_at(site).health == SiteHealth::lost || site_at(site).health == SiteHealth::cut_off;
      if (lost && host.started_at > site_at(site).lost_at) set_health(site, SiteHealth::returning, now);
    }
  for (auto& site : sites_) site.node_count = 0;
  for (const auto& node : nodes_)
    if (node.up && node.site != kNone) ++site_at(node.site).node_count;
}

void SiteHealthMonitor::remove_node(int node) {
  if (static_cast<std::size_t>(node) < nodes_.size()) nodes_[static_cast<std::size_t>(node)] = {};
}

SiteHealthMonitor::Node* SiteHealthMonitor::find_tracked_node(int node) {
  if (!enabled_ || sites_.size() < 2 || static_cast<std::size_t>(node) >= nodes_.size()) return nullptr;
  auto& found = nodes_[static_cast<std::size_t>(node)];
  return found.site == kNone ? nullptr : &found;
}

void SiteHealthMonitor::on_call_sent(int node_id, double now) {
  auto* node = find_tracked_node(node_id);
  if (node == nullptr) return;
  if (node->pending_calls++ == 0) node->waiting_since = now - node->unanswered_wait;
  auto& site = site_at(node->site);
  if (site.health != SiteHealth::lost && site.health != SiteHealth::cut_off) return;
  if (node->started_at > site.lost_at) return;
  site.probe_interval = std::min(site.probe_interval * kProbeBackoffFactor,
                                 std::max(kMaxProbeIntervalSeconds, site.probe_interval));
  site.next_probe_at = now + site.probe_interval * std::uniform_real_distribution<>(0.5, 1.5)(random_);
  update_shares(now);
}

void SiteHealthMonitor::on_call_ended(int node_id, double sent_at, Outcome outcome, double now) {
  auto* node = find_tracked_node(node_id);
  if (node == nullptr) return;
  node->pending_calls = std::max(node->pending_calls - 1, 0);
  const auto waiting_since = node->waiting_since;
  if (node->pending_calls == 0) node->waiting_since = 0;
  const auto age = now - sent_at;
  switch (outcome) {
    case Outcome::success:
    case Outcome::failure:
    case Outcome::overloaded:
    case Outcome::malformed:
      node->unanswered_wait = 0;
      if (node->pending_calls > 0)
        node->waiting_since = now;  // the node lives: what is still pending waits from now
      return record_observation(*node, false, false, sent_at, outcome == Outcome::success ? age : 0, now);
    case Outcome::unreachable:
    case Outcome::disconnected:
      return record_observation(*node, true, true, sent_at, 0, now);
    case Outcome::timed_out:
    case Outcome::cancelled:
      // A call that was sent before the router stalled may have been answered without the router reading it.
      if (waiting_since <= 0 || sent_at < resumed_at_) return;
      // A hedged copy elsewhere usually answers long before the timeout of a silent node, so that no single
      // call proves the silence. The waits of cancelled calls are added up until the node answers (total time
      // on test: B. Epstein, M. Sobel, Life Testing, JASA 48, 1953).
      if (node->pending_calls == 0) node->unanswered_wait = now - waiting_since;
      if (now - waiting_since > silence_timeout())
        record_observation(*node, true, false, overdue_sent_from(waiting_since, now), 0, now);
      return;
    case Outcome::pending:
    case Outcome::unsent:
      return;
  }
}

// The share of failures that is no evidence of a loss: the larger of this site's usual share and the other
// sites' present one.
double SiteHealthMonitor::baseline_failure_share(const Site& site) const {
  double good = 0, bad = 0;
  for (const auto& other : sites_) {
    if (&other == &site || other.health == SiteHealth::lost || other.health == SiteHealth::cut_off) continue;
    good += other.recent_successes;
    bad += other.recent_failures;
  }
  const auto elsewhere = good + bad > 1 ? bad / (good + bad) : 0;
  return std::clamp(std::max(site.baseline_failure_share, elsewhere), kMinBaselineFailureShare,
                    kMaxBaselineFailureShare);
}

// How long a part may wait before the silence of its node counts as a failure; infinite while there are too
// few latency samples.
double SiteHealthMonitor::silence_timeout() const {
  return latency_samples_ >= kMinLatencySamples
             ? std::max(mean_latency_ + kSilenceDeviations * latency_deviation_, kMinSilenceTimeoutSeconds)
             : std::numeric_limits<double>::infinity();
}

// The send time from which on answers of other nodes are compared with the silence of this one: that of the
// part it left unanswered, but for a node that has hung for long no earlier than a part that is overdue just
// now.
double SiteHealthMonitor::overdue_sent_from(double waiting_since, double now) const {
  return std::max(waiting_since, now - 2 * silence_timeout() - kSilenceCheckDelaySeconds);
}

// Counts the nodes of a site that have answered a part sent at `sent_at` or later.
int SiteHealthMonitor::nodes_answering_since(int site, double sent_at) const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.site == site && node.up && node.last_answered_sent_at >= sent_at;
  }));
}

void SiteHealthMonitor::record_observation(Node& node, bool failing, bool connection_refused, double sent_at,
                                           double latency, double now) {
  auto& site = site_at(node.site);
  const auto was_failing = node.failing && node.evidence_round == site.evidence_round;
  if (failing && was_failing) return;  // only a change of the node's state is an observation
  (failing ? site.recent_failures : site.recent_successes) += 1;
  const auto baseline = baseline_failure_share(site);
  const auto lost = site.health == SiteHealth::lost || site.health == SiteHealth::cut_off;
  if (!lost)
    site.baseline_failure_share += kBaselineWeight * ((failing ? 1 : 0) - site.baseline_failure_share);
  if (was_failing) {
    --site.failing_nodes;
    if (node.connection_refused) --site.refused_nodes;
  }
  node.failing = failing;
  node.connection_refused = connection_refused;
  node.evidence_round = site.evidence_round;
  if (failing) {
    if (site.failing_nodes++ == 0) site.failing_sent_from = sent_at;
    site.failing_sent_from = std::min(site.failing_sent_from, sent_at);
    if (connection_refused) ++site.refused_nodes;
    ++site.failures_since_step;
    site.evidence += std::log(kFailureChanceIfLost / baseline);
  } else {
    node.last_answered_sent_at = std::max(node.last_answered_sent_at, sent_at);
    ++site.successes_since_step;
    site.evidence += std::log((1 - kFailureChanceIfLost) / (1 - baseline));
    if (latency > 0 && site.health == SiteHealth::returning)
      site.recovery_latency += (site.recovery_latency > 0 ? 0.2 : 1) * (latency - site.recovery_latency);
    else if (latency > 0 && !lost) {
      const auto difference = std::abs(latency - mean_latency_);
      if (mean_latency_ <= 0) mean_latency_ = latency_deviation_ = latency;
      latency_samples_ = std::min(latency_samples_ + 1, kMinLatencySamples);
      mean_latency_ += kLatencyWeight * (latency - mean_latency_);
      latency_deviation_ += kLatencyWeight * (difference - latency_deviation_);
    }
    // Any answer from a lost site shows that it is back.
    if (lost) {
      site.recovery_latency = latency;
      set_health(node.site, SiteHealth::returning, now);
    }
  }
  if (site.evidence <= 0) {
    site.evidence = 0;
    if (site.failing_nodes > 0) {
      ++site.evidence_round;
      site.failing_nodes = site.refused_nodes = 0;
    }
  }
  evaluate(node.site, now);
}

// Whether enough nodes of the other sites answer what was sent since then. If not, this router hears nothing
// or the whole fleet is slow, and the failures say nothing about one site.
bool SiteHealthMonitor::other_sites_answer(int site, double sent_at) const {
  int answering = 0, failing = 0;
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto& other = sites_[i];
    if (static_cast<int>(i) == site || other.health == SiteHealth::lost ||
        other.health == SiteHealth::cut_off)
      continue;
    answering += nodes_answering_since(static_cast<int>(i), sent_at);
    failing += other.failing_nodes;
  }
  return answering >= kMinAnsweringElsewhere && answering >= failing;
}

// Decides from the evidence whether a site is lost, suspected or healthy.
void SiteHealthMonitor::evaluate(int site_id, double now) {
  if (site_id == kNone || !enabled_) return;
  auto& site = site_at(site_id);
  if (site.health == SiteHealth::lost || site.health == SiteHealth::cut_off ||
      site.health == SiteHealth::evacuated)
    return;
  // Answers arrive at once and failures late. Failures are therefore weighed against the answers to parts
  // that were sent at the same time, whatever the order of arrival: a site half of whose nodes hang is not
  // lost. The routing policy avoids silent nodes, so that the last nodes of a lost site may get no call;
  // after kLongSilenceSeconds without any answer fewer failing nodes are enough.
  const auto returning = site.health == SiteHealth::returning;
  const auto answering = site.failing_nodes > 0 ? nodes_answering_since(site_id, site.failing_sent_from) : 0;
  const auto few_are_enough =
      returning || (answering == 0 && now > site.failing_sent_from + kLongSilenceSeconds);
  const auto min_failing = few_are_enough ? std::min(kMinFailingNodesIfSilent, site.node_count)
                                          : std::min(site.node_count / 2 + 1, kMinFailingNodes);
  const auto enough = site.failing_nodes >= std::max(2, min_failing) && site.evidence >= kSuspectedEvidence &&
                      site.failing_nodes >= kMinFailingShare * (site.failing_nodes + answering) &&
                      other_sites_answer(site_id, site.failing_sent_from);
  const auto all_failing = site.failing_nodes >= site.node_count;
  if (site.health == SiteHealth::returning) {
    if (enough && site.evidence >= kSuspectedEvidence) set_health(site_id, SiteHealth::lost, now);
  } else if (enough && (site.evidence >= kLostEvidence || all_failing)) {
    set_health(site_id, SiteHealth::lost, now);
  } else if (site.health == SiteHealth::healthy && enough && site.evidence >= kSuspectedEvidence) {
    set_health(site_id, SiteHealth::suspected, now);
  } else if (site.health == SiteHealth::suspected && site.evidence < kSuspectedEvidence / 2) {
    set_health(site_id, SiteHealth::healthy, now);
  }
}

void SiteHealthMonitor::set_health(int site_id, SiteHealth health, double now) {
  auto& site = site_at(site_id);
  if (health == SiteHealth::lost) {
    const auto all_others_lost = [&] {
      for (std::size_t i = 0; i < sites_.size(); ++i)
        if (static_cast<int>(i) != site_id && static_cast<int>(i) != own_site_ && sites_[i].node_count > 0 &&
            sites_[i].health != SiteHealth::lost && sites_[i].health != SiteHealth::cut_off)
          return false;
      return true;
    };
    if (site_id != own_site_ && own_site_ != kNone && sites_.size() > 2 && all_others_lost())
      health = SiteHealth::cut_off;
    site.lost_at = now;
    const auto relapsed = site.health == SiteHealth::returning ||
                          (site.recovered_at > 0 && now < site.recovered_at + kRelapseWindowSeconds);
    site.probe_interval =
        relapsed ? std::min(std::max(site.probe_interval, kFirstProbeIntervalSeconds) * kRelapseBackoffFactor,
                            kMaxRelapseProbeIntervalSeconds)
                 : kFirstProbeIntervalSeconds;
    site.next_probe_at = now + site.probe_interval * std::uniform_real_distribution<>(0.5, 1.5)(random_);
  }
  const auto previous = std::exchange(site.health, health);
  changes_.push_back({site_id, previous, health, now, site.health_since > 0 ? now - site.health_since : 0,
                      site.node_count, site.failing_nodes, site.refused_nodes, site.evidence,
                      baseline_failure_share(site), 1, false, site.evacuation_held_back});
  site.health_since = now;
  if (health == SiteHealth::returning) {
    // Observations and waits from the time of the loss say nothing about the time after it.
    for (auto& node : nodes_)
      if (node.site == site_id) node.unanswered_wait = 0;
    site.evidence = 0;
    ++site.evidence_round;
    site.failing_nodes = site.refused_nodes = 0;
    site.load_share = kFirstLoadShare;
    site.last_step_at = now;
    site.successes_since_step = site.failures_since_step = 0;
  }
  if (health == SiteHealth::healthy && previous == SiteHealth::returning) {
    site.recovered_at = now;
    site.load_share = 1;
  }
  update_shares(now);
  changes_.back().load_share = shares_.empty() ? 1 : shares_[static_cast<std::size_t>(site_id)].share;
  changes_.back().in_slow_start = health == SiteHealth::returning && in_slow_start(site);
}

bool SiteHealthMonitor::in_slow_start(const Site& site) const {
  return mean_latency_ > 0 && site.recovery_latency > kSlowStartLatencyRatio * mean_latency_;
}

// The largest share of its usual load that all routers together may send a returning site, so that no node of
// it is overloaded even if all have just been restarted and discovery has not said so. Assumes that the usual
// load of a node is no more than its full capacity.
double SiteHealthMonitor::max_load_share(const Site& site, double now) const {
  if (!in_slow_start(site) || slow_start_seconds_ <= 0) return 1;
  const auto capacity = std::min(
      1.0, start_capacity_ + (1 - start_capacity_) * (now - site.health_since) / slow_start_seconds_);
  return std::clamp(kSlowStartLoadMargin * overload_multiple_ * capacity, 0.05, 1.0);
}

void SiteHealthMonitor::raise_load_share(int site_id, double now) {
  auto& site = site_at(site_id);
  const auto max_share = max_load_share(site, now);
  site.load_share = std::min(site.load_share, std::max(max_share, kFirstLoadShare * max_share));
  // A router that hardly sends anything there would wait long for answers, and can't overload the site.
  if (now < site.last_step_at +
                (site.successes_since_step >= kMinSuccessesPerStep ? kStepSeconds : kQuietStepSeconds))
    return;
  // The share is not raised while more than a third of the observations are failures.
  if (site.failures_since_step <= site.successes_since_step / 2)
    site.load_share = std::min(2 * site.load_share, max_share);
  site.last_step_at = now;
  site.successes_since_step = site.failures_since_step = 0;
  if (site.load_share >= 1) set_health(site_id, SiteHealth::healthy, now);
}

void SiteHealthMonitor::set_evacuation(const std::optional<Evacuation>& evacuation) {
  evacuation_ = evacuation;
}

// Moves the evacuated share linearly in time, up while the order holds and down after it. The evacuation is
// held back while another site is lost, as the remaining sites must carry that site's load.
void SiteHealthMonitor::apply_evacuation(double now) {
  const auto other_lost = [&](int site_id) {
    for (std::size_t i = 0; i < sites_.size(); ++i)
      if (static_cast<int>(i) != site_id &&
          (sites_[i].health == SiteHealth::lost || sites_[i].health == SiteHealth::cut_off))
        return true;
    return false;
  };
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    auto& site = sites_[i];
    const auto site_id = static_cast<int>(i);
    const auto ordered = evacuation_ && evacuation_->site == site_id && now >= evacuation_->starts_at &&
                         now < evacuation_->ends_at;
    if (!ordered && site.evacuated_share <= 0) continue;
    const auto ramp_seconds = evacuation_ ? std::max(evacuation_->ramp_seconds, 1e-3) : 1;
    const auto held_back = ordered && other_lost(site_id);
    const auto step = (now - last_tick_) / ramp_seconds;
    const auto goal = ordered && !held_back ? 1.0 : 0.0;
    const auto before = site.evacuated_share;
    site.evacuated_share = goal > before ? std::min(before + step, goal) : std::max(before - step, goal);
    // A router that is restarted during an evacuation starts with an empty share. If it ramped down from the
    // full share again, it would find the emptied site idle and send it more than ever.
    if (goal > 0 && std::exchange(evacuation_->already_in_effect, false)) site.evacuated_share = 1;
    if (held_back != site.evacuation_held_back) {
      site.evacuation_held_back = held_back;
      changes_.push_back({site_id, site.health, site.health, now, now - site.health_since, site.node_count,
                          site.failing_nodes, site.refused_nodes, site.evidence, baseline_failure_share(site),
                          1 - site.evacuated_share, false, held_back});
    }
    if (site.evacuated_share >= 1 && before < 1 && site.health == SiteHealth::healthy)
      set_health(site_id, SiteHealth::evacuated, now);
    if (site.evacuated_share < 1 && site.health == SiteHealth::evacuated)
      set_health(site_id, SiteHealth::healthy, now);
  }
}

void SiteHealthMonitor::tick(double now) {
  if (!enabled_ || sites_.size() < 2) return;
  if (last_tick_ < 0) last_tick_ = now;
  const auto stalled = now - last_tick_ > kStallSeconds;
  if (stalled) resumed_at_ = now;
  const auto decay = std::exp(-(now - last_tick_) / kObservationDecaySeconds);
  for (auto& site : sites_) {
    site.recent_successes *= decay;
    site.recent_failures *= decay;
  }
  for (auto& node : nodes_) {
    if (stalled) node.unanswered_wait = 0;
    if (node.pending_calls == 0 || node.site == kNone || !node.up) continue;
    // After a stall, silence is counted from when the router could read answers again.
    if (stalled) node.waiting_since = now;
    if (now - node.waiting_since > silence_timeout())
      record_observation(node, true, false, overdue_sent_from(node.waiting_since, now), 0, now);
  }
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto site_id = static_cast<int>(i);
    evaluate(site_id, now);
    if (sites_[i].health == SiteHealth::returning) raise_load_share(site_id, now);
  }
  apply_evacuation(now);
  last_tick_ = now;
  update_shares(now);
}

void SiteHealthMonitor::update_shares(double now) {
  const auto unrestricted = std::all_of(sites_.begin(), sites_.end(), [](const Site& site) {
    return (site.health == SiteHealth::healthy || site.health == SiteHealth::suspected) &&
           site.evacuated_share <= 0;
  });
  if (unrestricted && shares_.empty()) return;
  std::vector<SiteShare> shares;
  if (!unrestricted)
    for (const auto& site : sites_) {
      const auto lost = site.health == SiteHealth::lost || site.health == SiteHealth::cut_off;
      const auto share = lost ? 0 : site.health == SiteHealth::returning ? site.load_share : 1;
      // An evacuation applies to newly started processes too; a loss applies only to those started before it.
      shares.push_back({lost, lost && now >= site.next_probe_at, share * (1 - site.evacuated_share),
                        site.evacuated_share > 0 ? std::numeric_limits<double>::max() : site.lost_at});
    }
  shares_ = std::move(shares);
  shares_changed_ = true;
}

bool SiteHealthMonitor::take_shares_changed() {
  return std::exchange(shares_changed_, false);
}

std::vector<SiteHealthChange> SiteHealthMonitor::take_changes() {
  return std::exchange(changes_, {});
}

SiteHealth SiteHealthMonitor::health(int site) const {
  return site >= 0 && static_cast<std::size_t>(site) < sites_.size()
             ? sites_[static_cast<std::size_t>(site)].health
             : SiteHealth::healthy;
}

}  // namespace yoketurn
