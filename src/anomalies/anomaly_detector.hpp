// Detects when a node's behaviour departs from its baseline, and when it is back to it. Operators know such
// anomalies as departures: that is their name in settings, logs and the timeline. The detector only reports;
// it controls nothing. Plain values in and out, no I/O: the same calls give the same reports. Times are in
// seconds on the router's own clock.
#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "anomalies/change_detectors.hpp"
#include "routing_policy.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

struct AnomalyLimits {
  double slow_ratio = 2.5;  // of latency to its baseline
  double stall_ratio = 6;   // of a silence to the baseline latency
  double min_silence_seconds = 0.3;
  double failure_share = 0.2;
  double state_changes_per_minute = 4;
  double max_report_age_seconds = 3;
  double false_alarms_per_node_day = 0.5;
  double fleet_share = 0.5;  // share of the active nodes from which an anomaly is one of the whole fleet
  int max_open = 4096;
  double slow_start_seconds = 0;  // as the settings state it; 0: unknown
};

inline constexpr int kWholeFleet = -2;

// An anomaly that has begun or ended.
struct AnomalyEvent {
  int node = kNone;      // kWholeFleet: most nodes together
  int vertical = kNone;  // kNone: all of them
  Departure kind = Departure::slow;
  bool ended = false;
  double started_at = 0;  // estimate
  double detected_at = 0;
  double evidence = 0, baseline = 0;  // depend on the kind: a latency, a share, a count or seconds
};

class AnomalyDetector {
 public:
  AnomalyDetector(const AnomalyLimits& limits, int verticals, double now);

  // A node that is known already starts without a baseline if its process is another one.
  void add_node(int node, double started_at, double now);
  // Ends the node's anomalies.
  void remove_node(int node, double now);
  void set_node_up(int node, bool up, double now);
  void on_call_sent(int node, int vertical, double now);
  void on_call_ended(int node, int vertical, Outcome outcome, double sent_at, double now);
  void on_connection_error(int node, double now);
  void on_load_request(int node, double now);  // a request for the node's load report
  void on_load_response(int node, double now);
  // A connection that pending load requests may have used was closed.
  void on_load_connection_closed(int node, double now);
  // A load report. measured_at: as far as is known; changed: its figures differ from the last report's.
  void on_load_report(int node, double measured_at, bool changed, double now);
  // The router itself did not run for so long.
  void on_router_stall(double seconds, double now);

  // The events since the last call, oldest first; at most kMaxEventsPerTick, further ones are only counted.
  std::vector<AnomalyEvent> tick(double now);
  const std::vector<AnomalyEvent>& open() const { return open_; }
  long long dropped_events() const { return dropped_events_; }
  static constexpr std::size_t kMaxEventsPerTick = 256;

 private:
  // How a node handles the parts of one vertical.
  struct VerticalState {
    Baseline log_latency;
    Cusum slow_test;
    double slow_slack = 0;  // that slow_test was made with; 0: it has not been made
    Sprt failure_test, total_failure_test;
    bool failure_tests_set = false;
    double recent_log_latency = 0;  // quickly smoothed; 0: none yet
    double last_answer_at = 0;
    double silence_evidence = 0;  // of parts that ended without an answer
    int unanswered_calls = 0;     // that silence_evidence consists of
    double first_unanswered_sent_at = 0;
    double baseline_lost_share = 0;  // usual share of parts whose answer is lost
    int clearly_lost_calls = 0;      // unanswered calls of clear evidence since the last answer
    int consecutive_successes = 0;
    int consecutive_on_time = 0;  // answers in a row at about the baseline latency
    double failure_share = 0;     // smoothed
  };
  struct PendingCall {
    double sent_at;  // identifies the call
    int vertical;
    double waiting_since;  // from which its age counts: later than sent_at after a stall of the router
  };
  struct Node {
    bool tracked = false, up = false;
    std::uint32_t open_kinds = 0;  // bit set of the kinds that may be open; rebuilt each tick
    double started_at = 0, tracked_since = 0;
    std::vector<VerticalState> verticals;
    std::vector<PendingCall> pending_calls;
    double last_answer_at = 0;    // of any vertical
    double silence_evidence = 0;  // of parts that ended without an answer since then
    double silent_since = 0;
    int unanswered_calls = 0;
    std::vector<double> pending_load_requests;  // send times, at most kMaxPendingLoadRequests
    Baseline load_log_latency = Baseline();     // of load responses
    double closed_load_evidence = 0;  // of load requests whose connection was closed since the last answer
    double last_load_response_at = 0;
    std::deque<double> state_changes, connection_errors;  // recent times
    double report_measured_at = 0, report_received_at = 0, report_changed_at = 0;
    int answers_since_report_change = 0;  // to this router
    // Range of this router's pending calls there when reports came, since the report last changed.
    std::size_t min_pending_calls = 0, max_pending_calls = 0;
    double calls_per_second = 0;  // smoothed
    double last_sent_at = 0;
  };

  Node& node_at(int node);
  double delay_evidence(const Baseline& baseline, double lost_share, double age) const;
  double delay_evidence(const VerticalState& vertical, double age) const {
    return delay_evidence(vertical.log_latency, vertical.baseline_lost_share, age);
  }
  double alarm_threshold(const Node& node) const;
  double load_silence_evidence(const Node& node, double now) const;
  void learn_latency(Node& node, VerticalState& vertical, double latency, double now);
  void open_anomaly(int node, int vertical, Departure kind, double started_at, double evidence,
                    double baseline, double now);
  void close_anomaly(int node, int vertical, Departure kind, double evidence, double now);
  bool may_be_open(int node, Departure kind) const;
  void update_open_kinds();
  bool is_open(int node, int vertical, Departure kind) const;
  bool any_open(int node, Departure kind) const;
  void check_node(int node, double now);
  void check_silence(int node_id, Node& node, double now);
  void check_reports(int node_id, Node& node, double now);
  void check_fleet(double now);
  void emit(const AnomalyEvent& event);

  AnomalyLimits limits_;
  std::size_t vertical_count_;
  std::vector<Node> nodes_;
  std::vector<AnomalyEvent> open_, events_;
  std::vector<AnomalyEvent> pending_;  // not reported yet, as they may turn out to be one of the whole fleet
  long long dropped_events_ = 0;
  // Calls sent before this time teach nothing, as the router stalled meanwhile.
  double ignored_before_ = 0;
  double fleet_log_latency_ = 0;  // median of the nodes' recent latencies; 0: too few nodes
  double fleet_shift_ = 0;        // median log ratio of the nodes' recent latencies to their baselines
};

}  // namespace yoketurn
