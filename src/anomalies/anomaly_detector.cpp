#include "anomalies/anomaly_detector.hpp"

#include <cstdlib>
#include <iterator>
#include <utility>

namespace yoketurn {

namespace {

constexpr double kMinBaselineSamples = 20;  // answers before there is a baseline
constexpr double kSecondsPerDay = 86400;
// Of log latency: a node with very regular latencies must not raise an alarm at a small change.
constexpr double kMinLogLatencyDeviation = 0.35;
// A slow node is slower by at least this: the router's own host adds jitter.
constexpr double kMinSlowdownSeconds = 0.01;
constexpr double kMaxSampleDeviations = 4;    // a single sample counts as at most this: tails are long
constexpr double kRecentLatencyWeight = 0.2;  // of a new sample in the recent latency
constexpr double kMinFailureShare = 0.01;     // lower bound of the baseline share of bad outcomes
constexpr double kTotalFailureShare = 0.9;    // of a node that fails nearly all calls: detected after a few
                                              // outcomes, as such a node gets few calls
constexpr double kMinLostShare = 0.0005;      // of parts that are answered far too late or never
constexpr double kAnswerEvidence = 0.69;      // that an answer takes back; ln 2, as a node may drop every
                                              // second part
constexpr double kClearlyLostEvidence = 2;    // of one part that counts as lost if the node still answers
constexpr double kLostShareWeight = 0.005;
constexpr int kMinUnansweredCalls = 2;       // that evidence must rest on
constexpr double kMinDropSeconds = 2.5;      // of silence with cancelled parts: dropped rather than stalled
constexpr int kRecoverySuccesses = 20;       // in a row after which a failing node has recovered
constexpr int kRecoveryAnswers = 5;          // on time in a row after which a slow node has recovered
constexpr double kFleetRecoverySeconds = 1;  // without evidence after which the fleet has recovered
constexpr double kStateChangeWindowSeconds = 60;
constexpr double kRecentSeconds = 10;  // window of connection errors and of active nodes
constexpr std::size_t kMinConnectionErrors = 3;
constexpr int kMinAnswersWhileFrozen = 30;              // to this router while the report did not change ...
constexpr std::size_t kMinPendingRangeWhileFrozen = 2;  // ... and its pending calls varied by so many
constexpr double kRecentAnswerSeconds = 0.5;            // an answer so recent shows that a node is back
// An anomaly is reported after this delay, as it may turn out to be one of the whole fleet; the longer delay
// applies to slowness while the latencies of most nodes shift.
constexpr double kReportDelaySeconds = 0.3;
constexpr double kLongReportDelaySeconds = 2;
constexpr std::size_t kMinFleetNodes = 4;  // below it no anomaly is one of the whole fleet
constexpr std::size_t kMaxPendingCalls = 4096;
constexpr std::size_t kMaxPendingLoadRequests = 4;
constexpr std::size_t kMaxRecentTimes = 64;

// Whether the outcome shows that the node's process answered.
bool answered_by_node(Outcome o) {
  return o == Outcome::success || o == Outcome::failure || o == Outcome::overloaded ||
         o == Outcome::malformed;
}
bool is_failure(Outcome o) {
  return o == Outcome::failure || o == Outcome::overloaded || o == Outcome::malformed ||
         o == Outcome::disconnected || o == Outcome::unreachable;
}

// Drops the times that are older than `span` seconds.
void drop_older(std::deque<double>& times, double now, double span) {
  while (!times.empty() && times.front() < now - span) times.pop_front();
  if (times.size() > kMaxRecentTimes) times.pop_front();
}

}  // namespace

AnomalyDetector::AnomalyDetector(const AnomalyLimits& limits, int verticals, double now)
    : limits_(limits),
      vertical_count_(static_cast<std::size_t>(std::max(verticals, 1))),
      ignored_before_(now) {}

AnomalyDetector::Node& AnomalyDetector::node_at(int node) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= nodes_.size()) nodes_.resize(i + 1);
  auto& found = nodes_[i];
  if (found.verticals.empty()) found.verticals.resize(vertical_count_);
  return found;
}

void AnomalyDetector::add_node(int node_id, double started_at, double now) {
  auto& node = node_at(node_id);
  if (node.tracked && node.started_at == started_at) return;
  if (node.tracked) remove_node(node_id, now);
  auto& added = node_at(node_id);
  added.tracked = true;
  added.started_at = started_at;
  added.tracked_since = now;
}

void AnomalyDetector::remove_node(int node_id, double now) {
  for (auto i = open_.size(); i-- > 0;) {
    const auto open = open_[i];
    if (open.node == node_id) close_anomaly(node_id, open.vertical, open.kind, 0, now);
  }
  std::erase_if(pending_, [&](const auto& event) { return event.node == node_id; });
  // Keeps the allocated memory of the list for the next node of this number.
  auto pending_calls = std::move(node_at(node_id).pending_calls);
  pending_calls.clear();
  node_at(node_id) = {};
  node_at(node_id).pending_calls = std::move(pending_calls);
}

void AnomalyDetector::set_node_up(int node_id, bool up, double now) {
  auto& node = node_at(node_id);
  if (node.up == up) return;
  if (node.tracked_since < now) node.state_changes.push_back(now);  // the first state is not a change
  node.up = up;
  drop_older(node.state_changes, now, kStateChangeWindowSeconds);
}

void AnomalyDetector::on_call_sent(int node_id, int vertical, double now) {
  auto& node = node_at(node_id);
  if (node.pending_calls.size() < kMaxPendingCalls) node.pending_calls.push_back({now, vertical, now});
  if (node.last_sent_at > 0) {
    const auto gap = std::max(now - node.last_sent_at, 1e-4);
    node.calls_per_second += (1 / gap - node.calls_per_second) * (1 - std::exp(-gap / 10));
  }
  node.last_sent_at = now;
}

// Evidence of a part that is unanswered at this age: the negative log of the probability that a part takes
// longer than this at the baseline. Latencies are taken as log-normal; as the true latency is this age or
// more, it is a survival probability. It is bounded below by the share of answers that are lost anyway.
double AnomalyDetector::delay_evidence(const Baseline& baseline, double lost_share, double age) const {
  if (baseline.count() < kMinBaselineSamples || age <= 0) return 0;
  const auto deviation = std::max(baseline.deviation(), kMinLogLatencyDeviation);
  const auto z = (std::log(age) - baseline.mean() - std::max(fleet_shift_, 0.0)) / deviation;
  if (z <= 0) return 0;
  const auto survival = std::erfc(z / std::sqrt(2.0)) / 2;
  return -std::log(std::max({survival, kMinLostShare, lost_share}));
}

// The evidence above which an alarm is raised: Wald's bound for the permitted number of false alarms a day at
// the node's rate of calls.
double AnomalyDetector::alarm_threshold(const Node& node) const {
  return std::log(std::max(node.calls_per_second, 0.01) * kSecondsPerDay / limits_.false_alarms_per_node_day);
}

void AnomalyDetector::learn_latency(Node& node, VerticalState& state, double latency, double now) {
  const auto value = std::log(std::max(latency, 1e-5));
  state.recent_log_latency +=
      state.recent_log_latency == 0 ? value : kRecentLatencyWeight * (value - state.recent_log_latency);
  if (state.log_latency.count() < kMinBaselineSamples) return state.log_latency.add(value);
  const auto deviation = std::max(state.log_latency.deviation(), kMinLogLatencyDeviation);
  // A shift that all nodes share belongs to the fleet, not to the node.
  const auto log_ratio = value - state.log_latency.mean() - std::max(fleet_shift_, 0.0);
  const auto slack = std::min(std::log(limits_.slow_ratio) / deviation / 2, kMaxSampleDeviations / 2);
  if (std::abs(slack - state.slow_slack) > 0.1 * slack) {
    const auto samples =
        std::max(node.calls_per_second, 0.1) * kSecondsPerDay / limits_.false_alarms_per_node_day;
    state.slow_test = Cusum(slack, Cusum::bound_for(slack, samples));
    state.slow_slack = slack;
  }
  state.slow_test.add(std::clamp(log_ratio / deviation, -kMaxSampleDeviations, kMaxSampleDeviations), now);
  state.consecutive_on_time =
      log_ratio < std::log(limits_.slow_ratio) / 2 ? state.consecutive_on_time + 1 : 0;
  // The baseline is not updated while the node seems slow: it would adapt to the slowness.
  if (state.slow_test.sum() < 2 * slack) state.log_latency.add(value);
}

void AnomalyDetector::on_call_ended(int node_id, int vertical, Outcome outcome, double sent_at, double now) {
  auto& node = node_at(node_id);
  const auto call =
      std::find_if(node.pending_calls.begin(), node.pending_calls.end(),
                   [&](const PendingCall& c) { return c.sent_at == sent_at && c.vertical == vertical; });
  if (call != node.pending_calls.end()) {
    *call = node.pending_calls.back();
    node.pending_calls.pop_back();
  }
  if (outcome == Outcome::unsent || vertical < 0 || static_cast<std::size_t>(vertical) >= vertical_count_)
    return;
  if (answered_by_node(outcome)) {
    node.last_answer_at = now;
    node.closed_load_evidence = 0;
    ++node.answers_since_report_change;
  }
  if (sent_at < ignored_before_) return;
  auto& state = node.verticals[static_cast<std::size_t>(vertical)];
  const auto age = now - sent_at;
  if (!state.failure_tests_set) {
    state.failure_test =
        Sprt(std::min(std::max(kMinFailureShare, 2 * state.failure_share), limits_.failure_share / 2),
             limits_.failure_share, limits_.false_alarms_per_node_day / kSecondsPerDay);
    state.total_failure_test =
        Sprt(kMinFailureShare, kTotalFailureShare, limits_.false_alarms_per_node_day / kSecondsPerDay);
    state.failure_tests_set = true;
  }
  if (answered_by_node(outcome)) {
    node.silence_evidence = 0;
    node.unanswered_calls = 0;
    state.silence_evidence = std::max(0.0, state.silence_evidence - kAnswerEvidence);
    if (state.silence_evidence <= 0) state.unanswered_calls = 0;
    // The node answers: what stayed unanswered meanwhile belongs to the answers it usually loses.
    state.baseline_lost_share +=
        kLostShareWeight * ((state.clearly_lost_calls > 0 ? 1 : 0) - state.baseline_lost_share);
    state.clearly_lost_calls = 0;
    state.last_answer_at = now;
  } else if (outcome == Outcome::timed_out || outcome == Outcome::cancelled) {
    // A cancelled call shows only that it would have taken at least its age.
    const auto evidence = delay_evidence(state, age);
    // For a part that was sent before the last answer, only the time since that answer counts as silence.
    if (const auto quiet = std::max(sent_at, node.last_answer_at); delay_evidence(state, now - quiet) > 0) {
      if (node.unanswered_calls++ == 0) node.silent_since = quiet;
      node.silence_evidence += delay_evidence(state, now - quiet);
    }
    if (state.unanswered_calls++ == 0) state.first_unanswered_sent_at = sent_at;
    state.silence_evidence += evidence;
    if (evidence > kClearlyLostEvidence) ++state.clearly_lost_calls;
  }
  if (outcome == Outcome::success || is_failure(outcome)) {
    state.failure_test.add(is_failure(outcome), now);
    state.total_failure_test.add(is_failure(outcome), now);
    state.consecutive_successes = is_failure(outcome) ? 0 : state.consecutive_successes + 1;
    state.failure_share += 0.01 * ((is_failure(outcome) ? 1 : 0) - state.failure_share);
  }
  if (outcome == Outcome::success) {
    learn_latency(node, state, age, now);
  }
}

void AnomalyDetector::on_connection_error(int node_id, double now) {
  auto& node = node_at(node_id);
  node.connection_errors.push_back(now);
  drop_older(node.connection_errors, now, kRecentSeconds);
}

void AnomalyDetector::on_load_request(int node_id, double now) {
  auto& node = node_at(node_id);
  if (node.pending_load_requests.size() < kMaxPendingLoadRequests) node.pending_load_requests.push_back(now);
}

void AnomalyDetector::on_load_response(int node_id, double now) {
  auto& node = node_at(node_id);
  if (!node.pending_load_requests.empty() && node.pending_load_requests.front() > ignored_before_)
    node.load_log_latency.add(std::log(std::max(now - node.pending_load_requests.front(), 1e-5)));
  node.pending_load_requests.clear();
  node.closed_load_evidence = 0;
  node.last_load_response_at = now;
}

void AnomalyDetector::on_load_connection_closed(int node_id, double now) {
  auto& node = node_at(node_id);
  node.closed_load_evidence = load_silence_evidence(node, now);
  node.pending_load_requests.clear();
}

// Evidence of load requests that are unanswered and were sent after the node's last answer of any kind.
double AnomalyDetector::load_silence_evidence(const Node& node, double now) const {
  auto sum = node.closed_load_evidence;
  for (const auto sent_at : node.pending_load_requests)
    if (sent_at > std::max(node.last_answer_at, ignored_before_))
      sum += delay_evidence(node.load_log_latency, 0, now - sent_at);
  return sum;
}

void AnomalyDetector::on_load_report(int node_id, double measured_at, bool changed, double now) {
  auto& node = node_at(node_id);
  node.report_received_at = now;
  node.report_measured_at = std::max(node.report_measured_at, measured_at);
  node.min_pending_calls = std::min(node.min_pending_calls, node.pending_calls.size());
  node.max_pending_calls = std::max(node.max_pending_calls, node.pending_calls.size());
  if (!changed && node.report_changed_at > 0) return;
  node.report_changed_at = now;
  node.answers_since_report_change = 0;
  node.min_pending_calls = node.max_pending_calls = node.pending_calls.size();
}

// Calls that were pending during the stall may have been answered meanwhile: their waiting times are shifted
// by the length of the stall, and the outcomes of calls sent before its end are not learned from. Nor do
// those that ended unanswered before it count: a silence would otherwise include the time of the stall.
void AnomalyDetector::on_router_stall(double seconds, double now) {
  ignored_before_ = now;
  for (auto& node : nodes_) {
    for (auto& call : node.pending_calls) call.waiting_since = std::min(call.waiting_since + seconds, now);
    node.silence_evidence = node.closed_load_evidence = 0;
    node.unanswered_calls = 0;
    for (auto& state : node.verticals) {
      state.silence_evidence = 0;
      state.unanswered_calls = 0;
    }
    if (node.report_measured_at > 0)
      node.report_measured_at = std::min(node.report_measured_at + seconds, now);
  }
}

// A quick check that avoids searching the lists, as most nodes have no open anomaly.
bool AnomalyDetector::may_be_open(int node, Departure kind) const {
  return node < 0 || (nodes_[static_cast<std::size_t>(node)].open_kinds >> static_cast<int>(kind) & 1U) != 0;
}

void AnomalyDetector::update_open_kinds() {
  for (auto& node : nodes_) node.open_kinds = 0;
  for (const auto* list : {&pending_, &open_})
    for (const auto& one : *list)
      if (one.node >= 0)
        nodes_[static_cast<std::size_t>(one.node)].open_kinds |= 1U << static_cast<int>(one.kind);
}

bool AnomalyDetector::is_open(int node, int vertical, Departure kind) const {
  if (!may_be_open(node, kind)) return false;
  const auto same = [&](const AnomalyEvent& o) {
    return o.node == node && o.vertical == vertical && o.kind == kind;
  };
  return std::any_of(open_.begin(), open_.end(), same) || std::any_of(pending_.begin(), pending_.end(), same);
}

bool AnomalyDetector::any_open(int node, Departure kind) const {
  if (!may_be_open(node, kind)) return false;
  const auto same = [&](const AnomalyEvent& o) { return o.node == node && o.kind == kind; };
  return std::any_of(open_.begin(), open_.end(), same) || std::any_of(pending_.begin(), pending_.end(), same);
}

void AnomalyDetector::open_anomaly(int node, int vertical, Departure kind, double started_at, double evidence,
                                   double baseline, double now) {
  if (is_open(node, vertical, kind) || is_open(kWholeFleet, kNone, kind)) return;
  if (open_.size() + pending_.size() >= static_cast<std::size_t>(limits_.max_open)) {
    ++dropped_events_;
    return;
  }
  pending_.push_back({node, vertical, kind, false, started_at, now, evidence, baseline});
  nodes_[static_cast<std::size_t>(node)].open_kinds |= 1U << static_cast<int>(kind);
}

void AnomalyDetector::close_anomaly(int node, int vertical, Departure kind, double evidence, double now) {
  if (!may_be_open(node, kind)) return;
  const auto same = [&](const AnomalyEvent& o) {
    return o.node == node && o.vertical == vertical && o.kind == kind;
  };
  if (const auto at = std::find_if(pending_.begin(), pending_.end(), same); at != pending_.end()) {
    const auto event = *at;  // it ended before it was reported: both events are sent now
    pending_.erase(at);
    emit(event);
    auto end_event = event;
    end_event.ended = true;
    end_event.detected_at = now;
    end_event.evidence = evidence;
    return emit(end_event);
  }
  const auto at = std::find_if(open_.begin(), open_.end(), same);
  if (at == open_.end()) return;
  auto event = *at;
  open_.erase(at);
  event.ended = true;
  event.detected_at = now;
  event.evidence = evidence;
  emit(event);
}

void AnomalyDetector::emit(const AnomalyEvent& event) {
  events_.size() < kMaxEventsPerTick ? events_.push_back(event) : void(++dropped_events_);
}

// Adds up the evidence of cancelled and of pending parts, each by its age. If no vertical is answered, the
// node is stalled or, once that lasts while load reports still arrive, drops requests (swallows). If one
// vertical is unanswered while others are answered, the node drops that vertical.
void AnomalyDetector::check_silence(int node_id, Node& node, double now) {
  const auto threshold = alarm_threshold(node);
  double total_evidence = node.silence_evidence,
         silent_since = node.unanswered_calls > 0 ? node.silent_since : now;
  int unanswered_parts = node.unanswered_calls;
  bool drops_vertical = false;
  for (std::size_t v = 0; v < node.verticals.size(); ++v) {
    auto& state = node.verticals[v];
    const auto vertical = static_cast<int>(v);
    double evidence = state.silence_evidence,
           first_sent_at = state.unanswered_calls > 0 ? state.first_unanswered_sent_at : now;
    int unanswered = state.unanswered_calls;
    for (const auto& call : node.pending_calls) {
      if (call.vertical != vertical) continue;
      const auto call_evidence = delay_evidence(state, now - call.waiting_since);
      if (call_evidence <= 0) continue;
      evidence += call_evidence;
      first_sent_at = std::min(first_sent_at, call.waiting_since);
      ++unanswered;
      const auto silent_from = std::max(call.waiting_since, node.last_answer_at);
      if (delay_evidence(state, now - silent_from) <= 0) continue;
      total_evidence += delay_evidence(state, now - silent_from);
      silent_since = std::min(silent_since, silent_from);
      ++unanswered_parts;
    }
    const auto others_answered = node.last_answer_at > state.last_answer_at + limits_.min_silence_seconds;
    const auto baseline_latency = std::exp(state.log_latency.mean());
    if (evidence > threshold && unanswered >= kMinUnansweredCalls &&
        now - first_sent_at >= limits_.min_silence_seconds && others_answered &&
        state.last_answer_at <= first_sent_at)
      open_anomaly(node_id, vertical, Departure::swallows, first_sent_at, unanswered, baseline_latency, now);
    if (is_open(node_id, vertical, Departure::swallows)) {
      if (evidence <= 0 || state.last_answer_at > now - kRecentAnswerSeconds)
        close_anomaly(node_id, vertical, Departure::swallows, unanswered, now);
      else
        drops_vertical = true;
    }
  }
  // A node that the router avoids may have a single pending part, whose answer may as well have been lost.
  // Load requests without a response tell the two cases apart.
  if (const auto load_evidence = load_silence_evidence(node, now);
      load_evidence > 0 && unanswered_parts > 0) {
    total_evidence += load_evidence;
    ++unanswered_parts;
  }
  const auto silent = total_evidence > threshold && unanswered_parts >= kMinUnansweredCalls &&
                      now - silent_since >= limits_.min_silence_seconds;
  const auto since = silent ? silent_since : now;
  const auto load_reported =
      std::max(node.report_received_at, node.last_load_response_at) > since + limits_.min_silence_seconds;
  if (silent && !drops_vertical &&
      (load_reported || (now - since > kMinDropSeconds && node.unanswered_calls >= kMinUnansweredCalls))) {
    close_anomaly(node_id, kNone, Departure::stall, total_evidence, now);
    open_anomaly(node_id, kNone, Departure::swallows, since, unanswered_parts, 0, now);
  } else if (silent && !drops_vertical && !is_open(node_id, kNone, Departure::swallows)) {
    open_anomaly(node_id, kNone, Departure::stall, since, now - since, 0, now);
  }
  if (node.silence_evidence <= 0 && node.last_answer_at > now - kRecentAnswerSeconds) {
    close_anomaly(node_id, kNone, Departure::stall, 0, now);
    close_anomaly(node_id, kNone, Departure::swallows, 0, now);
  }
}

void AnomalyDetector::check_node(int node_id, double now) {
  auto& node = nodes_[static_cast<std::size_t>(node_id)];
  if (!node.tracked) return;
  check_silence(node_id, node, now);
  for (std::size_t v = 0; v < node.verticals.size(); ++v) {
    auto& state = node.verticals[v];
    const auto vertical = static_cast<int>(v);
    const auto baseline_latency = std::exp(state.log_latency.mean());
    const auto latency = state.recent_log_latency != 0 ? std::exp(state.recent_log_latency) : 0;
    if (state.slow_slack > 0 && state.slow_test.exceeded() && state.consecutive_on_time < kRecoveryAnswers &&
        state.recent_log_latency >
            state.log_latency.mean() + fleet_shift_ + std::log(limits_.slow_ratio) / 2 &&
        latency > baseline_latency + kMinSlowdownSeconds)
      open_anomaly(node_id, vertical, Departure::slow, state.slow_test.started_at(), latency,
                   baseline_latency, now);
    if (is_open(node_id, vertical, Departure::slow) && state.consecutive_on_time >= kRecoveryAnswers) {
      state.slow_test.clear();
      close_anomaly(node_id, vertical, Departure::slow, latency, now);
    }
    if (state.failure_test.exceeded() || state.total_failure_test.exceeded())
      open_anomaly(node_id, vertical, Departure::fails, state.failure_test.started_at(), state.failure_share,
                   kMinFailureShare, now);
    if (is_open(node_id, vertical, Departure::fails) && state.consecutive_successes >= kRecoverySuccesses) {
      state.failure_test.clear();
      state.total_failure_test.clear();
      close_anomaly(node_id, vertical, Departure::fails, state.failure_share, now);
    }
  }
  drop_older(node.state_changes, now, kStateChangeWindowSeconds);
  const auto change_count = static_cast<double>(node.state_changes.size());
  if (change_count >= limits_.state_changes_per_minute)
    open_anomaly(node_id, kNone, Departure::flaps, node.state_changes.front(), change_count, 0, now);
  if (change_count < limits_.state_changes_per_minute / 2)
    close_anomaly(node_id, kNone, Departure::flaps, change_count, now);
  drop_older(node.connection_errors, now, kRecentSeconds);
  if (node.connection_errors.size() >= kMinConnectionErrors)
    open_anomaly(node_id, kNone, Departure::connection, node.connection_errors.front(),
                 static_cast<double>(node.connection_errors.size()), 0, now);
  if (node.connection_errors.empty()) close_anomaly(node_id, kNone, Departure::connection, 0, now);

  check_reports(node_id, node, now);
  // Still slower than the other nodes after the slow start should have ended.
  if (node.started_at > 0 && limits_.slow_start_seconds > 0 &&
      now > node.started_at + limits_.slow_start_seconds) {
    const auto log_ratio = node.verticals[0].recent_log_latency - fleet_log_latency_;
    if (fleet_log_latency_ != 0 && node.verticals[0].recent_log_latency != 0) {
      if (log_ratio > std::log(limits_.slow_ratio) && now < node.started_at + 3 * limits_.slow_start_seconds)
        open_anomaly(node_id, kNone, Departure::cold, node.started_at + limits_.slow_start_seconds,
                     std::exp(node.verticals[0].recent_log_latency), std::exp(fleet_log_latency_), now);
      if (log_ratio < std::log(limits_.slow_ratio) / 2)
        close_anomaly(node_id, kNone, Departure::cold, std::exp(node.verticals[0].recent_log_latency), now);
    }
  }
}

void AnomalyDetector::check_reports(int node_id, Node& node, double now) {
  if (node.report_measured_at <= 0) return;
  const auto age = now - node.report_measured_at;
  if (age > limits_.max_report_age_seconds)
    open_anomaly(node_id, kNone, Departure::late_report, node.report_measured_at, age,
                 limits_.max_report_age_seconds, now);
  if (age < limits_.max_report_age_seconds) close_anomaly(node_id, kNone, Departure::late_report, age, now);
  // The same figures are reported again and again while the number of this router's own pending calls varies.
  const auto frozen = node.report_received_at > node.report_changed_at + limits_.max_report_age_seconds &&
                      node.answers_since_report_change >= kMinAnswersWhileFrozen &&
                      node.max_pending_calls >= node.min_pending_calls + kMinPendingRangeWhileFrozen;
  if (frozen)
    open_anomaly(node_id, kNone, Departure::frozen_report, node.report_changed_at,
                 node.answers_since_report_change, 0, now);
  if (node.report_changed_at >= node.report_received_at)
    close_anomaly(node_id, kNone, Departure::frozen_report, 0, now);
}

// Finds anomalies of the whole fleet: a median latency shift of all nodes, or the same kind of anomaly at
// most active nodes, which then counts as one event.
void AnomalyDetector::check_fleet(double now) {
  std::vector<double> shifts, recent_latencies;
  std::size_t active = 0;
  for (const auto& node : nodes_) {
    if (!node.tracked || now - node.last_sent_at > kRecentSeconds) continue;
    ++active;
    if (node.verticals[0].recent_log_latency != 0)
      recent_latencies.push_back(node.verticals[0].recent_log_latency);
    for (const auto& state : node.verticals)
      if (state.log_latency.count() >= kMinBaselineSamples && state.recent_log_latency != 0 &&
          now - state.last_answer_at < kRecentSeconds)
        shifts.push_back(state.recent_log_latency - state.log_latency.mean());
  }
  const auto median = [](std::vector<double>& values) {
    if (values.size() < kMinFleetNodes) return 0.0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
  };
  fleet_shift_ = median(shifts);
  fleet_log_latency_ = median(recent_latencies);
  const auto fleet_open = [&](Departure kind) {
    return std::find_if(open_.begin(), open_.end(),
                        [&](const auto& o) { return o.node == kWholeFleet && o.kind == kind; });
  };
  if (const auto at = fleet_open(Departure::slow);
      fleet_shift_ > std::log(limits_.slow_ratio) && at == open_.end()) {
    std::erase_if(pending_, [](const auto& pending) { return pending.kind == Departure::slow; });
    const AnomalyEvent event{kWholeFleet, kNone, Departure::slow, false, now, now, std::exp(fleet_shift_), 1};
    open_.push_back(event);
    emit(event);
  } else if (at != open_.end() && fleet_shift_ < std::log(limits_.slow_ratio) / 2) {
    close_anomaly(kWholeFleet, kNone, Departure::slow, std::exp(fleet_shift_), now);
  }
  // The other kinds: if most active nodes show the same kind within a short time, it is one event.
  for (int k = 0; k < static_cast<int>(Departure::last); ++k) {
    const auto kind = static_cast<Departure>(k);
    if (kind == Departure::slow) continue;
    std::vector<int> affected_nodes;
    for (const auto* list : {&pending_, &open_})
      for (const auto& one : *list)
        if (one.kind == kind && one.node != kWholeFleet) affected_nodes.push_back(one.node);
    std::sort(affected_nodes.begin(), affected_nodes.end());
    affected_nodes.erase(std::unique(affected_nodes.begin(), affected_nodes.end()), affected_nodes.end());
    const auto is_fleet_wide =
        static_cast<double>(affected_nodes.size()) >= limits_.fleet_share * static_cast<double>(active) &&
        active >= kMinFleetNodes;
    const auto at = fleet_open(kind);
    if (is_fleet_wide && at == open_.end()) {
      AnomalyEvent event{
          kWholeFleet, kNone, kind, false, now, now, static_cast<double>(affected_nodes.size()), 0};
      for (const auto& pending : pending_)
        if (pending.kind == kind) event.started_at = std::min(event.started_at, pending.started_at);
      std::erase_if(pending_, [&](const auto& pending) { return pending.kind == kind; });
      open_.push_back(event);
      emit(event);
    } else if (at != open_.end() && affected_nodes.empty() && now > at->detected_at + kFleetRecoverySeconds) {
      // The anomalies of single nodes were dropped when the fleet's began, so the nodes are checked anew.
      const auto silent_nodes = std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
        return node.tracked && !node.pending_calls.empty() && kind != Departure::flaps &&
               now - std::min_element(
                         node.pending_calls.begin(), node.pending_calls.end(),
                         [](auto& x, auto& y) {
                           return x.sent_at < y.sent_at;
                         })->sent_at >
                   2 * limits_.min_silence_seconds &&
               node.last_answer_at < now - 2 * limits_.min_silence_seconds;
      });
      if (static_cast<double>(silent_nodes) <
          limits_.fleet_share * static_cast<double>(std::max<std::size_t>(active, 1)))
        close_anomaly(kWholeFleet, kNone, kind, static_cast<double>(silent_nodes), now);
    }
  }
}

std::vector<AnomalyEvent> AnomalyDetector::tick(double now) {
  update_open_kinds();
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].tracked) check_node(static_cast<int>(i), now);
  check_fleet(now);
  std::erase_if(pending_, [&](const AnomalyEvent& pending) {
    // While the latencies of most nodes shift it may turn out to be the fleet that is slow; estimating that
    // takes a few parts per node.
    const auto shifting = pending.kind == Departure::slow && fleet_shift_ > std::log(limits_.slow_ratio) / 3;
    if (now - pending.detected_at < (shifting ? kLongReportDelaySeconds : kReportDelaySeconds) &&
        nodes_.size() >= kMinFleetNodes)
      return false;
    open_.push_back(pending);
    emit(pending);
    return true;
  });
  return std::exchange(events_, {});
}

}  // namespace yoketurn
