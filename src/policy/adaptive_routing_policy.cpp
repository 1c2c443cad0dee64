// Decides where a part is sent and when it is copied, what follows from the outcome of a call, and how long
// to wait. The interface is in routing_policy.hpp; the caller owns the queries and the timers. The reasons
// behind the design are in docs/design.md.
//
// The rules that every send and every end keep to:
//   1. Nothing is sent for a part that is answered or dropped, or for a query that has ended or whose
//   deadline has passed.
//   2. A part that may have run is not repeated beyond what its vertical's effect allows.
//   3. A node that drains or was removed is sent nothing.
//   4. A node in slow start is sent no more than the share of its capacity that it has already.
//   5. An answer is merged as complete only if it is, and as partial only from the smallest allowed share on.
//   6. Further calls of parts (copies and retries) stay within the retry budget.
#include "estimates/decision_trace.hpp"
#include "policy/admission.hpp"
#include "policy/relative_work.hpp"
#include "routing_policy.hpp"

namespace yoketurn {
using namespace policy;
namespace {
constexpr double kTickIntervalSeconds = 0.1;
constexpr double kMinRecheckSeconds = 0.01;  // until a part without a node is checked again
// Until a part is sent again to a node it has been sent to. A part that fails at once would otherwise use up
// all its calls there.
constexpr double kMinRetryDelaySeconds = 0.05;
constexpr double kMaxCopyShare = 0.1;         // copies per part sent
constexpr double kCapacityDecaySeconds = 60;  // time constant of the peak rate at which a node answers
constexpr double kStandstillSeconds = 0.25;   // without any call of the policy: the router itself stood still
// Load estimate below which the latency of quick answers is taken as their work.
constexpr double kMaxLoadForWorkEstimate = 0.4;
constexpr double kOtherZonePenalty = 0.001;  // on the score: prefers the own zone at equal scores
constexpr double kListRetrySeconds = 2;      // mean delay after a failed request for the node list
constexpr double kListTimeoutSeconds = 10;   // after an unanswered request for the node list

void cancel_pending(Decision& decision, const Leaf& leaf, int index, Reason reason, double now) {
  for (std::size_t i = 0; i < leaf.calls.size(); ++i)
    if (leaf.calls[i].pending())
      decision.cancels.push_back({index, static_cast<int>(i), explain(reason, now - leaf.calls[i].sent_at)});
}

std::vector<double> slo_times(const Settings& settings) {
  std::vector<double> all;
  for (const auto& vertical : settings.verticals) all.push_back(vertical.slo_time);
  return all;
}
}  // namespace

struct AdaptiveRoutingPolicy::State {
  Nodes nodes;
  Verticals verticals;
  Admission admission;
  RelativeWork relative_work;
  Settings settings;
  std::ranlux24_base random;
  int next_batch = 0;
  WindowCounter parts_sent{kLatencyWindowSeconds}, copies_sent{kLatencyWindowSeconds};
  WindowCounter parts_answered{kLatencyWindowSeconds};
  WindowCounter requests_received, extra_calls;  // over the window of the retry budget
  double last_tick_at;
  double request_list_at;  // when to request the node list next; kNever: it is there
  double last_called_at;   // when the policy was last called
  double standstill = 0;   // how long the router stood still before this round; 0: it didn't
  DecisionTrace trace;

  State(const Settings& policy_settings, std::uint64_t seed, double now);
  VerticalState& vertical_state(const Query& query) { return verticals.state_of(query); }
  Node& node_at(int node) { return nodes.at(node); }
  bool is_repeatable(const Query& query) const {
    return verticals.settings_of(query).effect == Effect::repeatable;
  }
  bool may_copy(const Query& query) const { return settings.may_copy && is_repeatable(query); }
  void detect_standstill(double now);
  Explanation why_not_sendable(const Query& query, const Leaf& leaf, Node& node, double now);
  double resend_until(const Query& query, const Leaf& leaf);
  int choose_node(const Query& query, int index, bool has_pending_call, double now, double& best,
                  Explanation& explanation);
  bool is_copy_due(const Query& query, const Leaf& leaf, double now);
  bool is_presumed_lost(const Query& query, const Leaf& leaf, double now);
  void send_if_due(const Query& query, int index, Decision& decision, double now);
  Send record_send(const Query& query, int leaf, int node, Explanation why, double now);
  Decision evaluate_end(const Query& query, double now);
  Decision abort(Explanation why);
  Decision reject_or_abort(const Query& query, Explanation why);
  void record_outcome(const Query& query, const Leaf& leaf, const Call& call, double now);
};

AdaptiveRoutingPolicy::State::State(const Settings& policy_settings, std::uint64_t seed, double now)
    : nodes(policy_settings),
      verticals(policy_settings),
      admission(policy_settings, now),
      relative_work(slo_times(policy_settings)),
      settings(policy_settings),
      random(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      // One window a little shorter and the other a little longer than the budget's, so that the budget holds
      // in any window.
      requests_received(policy_settings.retry_budget_window - verticals.end_margin),
      extra_calls(policy_settings.retry_budget_window + verticals.end_margin),
      last_tick_at(now),
      request_list_at(now),
      last_called_at(now) {}

// A router that stood still reads everything that came meanwhile at once. Without the correction by
// `standstill` it would take nodes for slow and old queries for new ones.
void AdaptiveRoutingPolicy::State::detect_standstill(double now) {
  if (now <= last_called_at) return;
  standstill = now - last_called_at > kStandstillSeconds ? now - last_called_at - kTickIntervalSeconds : 0;
  last_called_at = now;
}

// The check before every send. Returns why the part must not be sent to the node, Reason::none if it may be.
Explanation AdaptiveRoutingPolicy::State::why_not_sendable(const Query& query, const Leaf& leaf, Node& node,
                                                           double now) {
  if (query.ended || !leaf.awaits_answer() || now >= verticals.final_deadline(query))
    return explain(Reason::deadline_passed);  // rule 1
  if (leaf.attempts() >= settings.max_calls) return explain(Reason::max_calls_reached, settings.max_calls);
  if (now >= resend_until(query, leaf)) return explain(Reason::may_have_run);  // rule 2
  if (!node.up) return explain(Reason::unavailable);                           // rule 3
  if (nodes.slow_start.applies_to(node, now) &&
      !nodes.slow_start.allows(node, relative_work.estimate(query.vertical), now, random))  // rule 4
    return explain(Reason::slow_start, node.recent_work.recent(now),
                   nodes.slow_start.router_limit(node, now));
  if (leaf.attempts() > 0 && settings.retry_budget_window > 0) {  // rule 6
    const auto max_extra_calls =
        settings.retry_budget_min + settings.retry_budget_ratio * requests_received.recent(now);
    if (extra_calls.recent(now) + 1 > max_extra_calls)
      return explain(Reason::retry_budget_spent, extra_calls.recent(now), max_extra_calls);
  }
  return {};
}

// Rule 2: the time until which a part may be sent or sent again.
double AdaptiveRoutingPolicy::State::resend_until(const Query& query, const Leaf& leaf) {
  const auto& vertical = verticals.settings_of(query);
  if (vertical.effect == Effect::repeatable) return kNever;
  const auto first = std::find_if(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
  if (first == leaf.calls.end()) return kNever;
  return vertical.effect == Effect::deduplicated
             ? first->sent_at + vertical.dedup_window - verticals.end_margin - kMaxSendStallSeconds
             : 0;
}

// Chooses the node for a part. Returns kNone and the reason in `explanation` if there is none. `best` is the
// score of the chosen node. has_pending_call: only nodes that the part hasn't been sent to are considered;
// otherwise those it has been sent to come second.
int AdaptiveRoutingPolicy::State::choose_node(const Query& query, int index, bool has_pending_call,
                                              double now, double& best, Explanation& explanation) {
  const auto& leaf = query.leaves[static_cast<std::size_t>(index)];
  int chosen = kNone;
  double second_best = kNever;
  best = kNever;
  explanation = explain(Reason::no_node_left);
  const auto trace_start = trace.entries.size();
  const auto tried = [&](int node) {
    return std::any_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& c) { return c.node == node; });
  };
  for (const bool revisit : {false, true}) {
    if (revisit && (has_pending_call || chosen != kNone)) break;
    // Without the delay a part could use up all its calls within milliseconds at the only node that is left
    // and refuses them.
    const auto paused_until =
        leaf.calls.empty()
            ? kNever
            : leaf.calls.back().sent_at + std::max(vertical_state(query).hedge_delay, kMinRetryDelaySeconds);
    if (revisit && now < paused_until) {
      if (!leaf.calls.empty() && explanation.reason == Reason::no_node_left)
        explanation = explain(Reason::retry_delayed, paused_until - now);
      break;
    }
    nodes.any_replica(leaf, [&](int i) {
      auto& node = node_at(i);
      const auto in_other_pass = tried(i) != revisit;
      if (in_other_pass && revisit) return false;
      const auto blocked =
          in_other_pass ? explain(Reason::already_tried) : why_not_sendable(query, leaf, node, now);
      const auto concerns_node =
          in_other_pass || blocked.reason == Reason::unavailable || blocked.reason == Reason::slow_start;
      if (concerns_node) trace.add(index, i, blocked);
      if (!concerns_node && blocked.reason != Reason::none) explanation = blocked;
      if (blocked.reason != Reason::none) return false;
      const auto site_factor =
          nodes.site_score_factor(node, leaf.calls.empty() && is_repeatable(query), random);
      if (site_factor <= 0)
        return trace.add(index, i, explain(Reason::site_avoided, now - nodes.site_share(node)->lost_at)),
               false;
      const auto avoided = nodes.is_avoided(node, now);
      if (avoided)
        trace.add(index, i,
                  explain(Reason::suspect, nodes.latency_estimate(node, now),
                          std::max(node.next_probe_at - now, 0.0),
                          static_cast<double>(node.pending_sent_at.size())));
      // A further call at a suspect node would most likely be wasted and keep the node full.
      if (!leaf.calls.empty() && avoided) return false;
      const auto value = site_factor * nodes.score(node, now) *
                         (node.zone == nodes.zone ? 1 : 1 + kOtherZonePenalty) *
                         (1 + 1e-6 * static_cast<double>(random() % 1000));
      const auto better = value < best;
      second_best = better ? best : std::min(second_best, value);
      const auto passed_over = better ? chosen : i;
      if (passed_over != kNone && !(avoided && passed_over == i))
        trace.add(index, passed_over, explain(Reason::worse_score, second_best));
      if (better) {
        best = value;
        chosen = i;
      }
      return false;
    });
  }
  if (chosen != kNone)
    explanation = explain(Reason::none, best, second_best, vertical_state(query).hedge_delay);
  trace.set_chosen(trace_start, chosen, best);
  return chosen;
}

bool AdaptiveRoutingPolicy::State::is_copy_due(const Query& query, const Leaf& leaf, double now) {
  return may_copy(query) && leaf.calls.size() == 1 && leaf.calls[0].pending() &&
         now >= verticals.copy_at(query, leaf) - 1e-6 && now < verticals.slo_deadline(query);
}

// A part is sent again if each of its pending calls was sent to a site before the loss of the site, or is
// older than lost_after at a node that has answered later parts or is suspect and silent. By age alone heavy
// parts would be sent again.
bool AdaptiveRoutingPolicy::State::is_presumed_lost(const Query& query, const Leaf& leaf, double now) {
  return settings.may_cancel && settings.may_copy &&
         std::all_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& call) {
           const auto& node = node_at(call.node);
           return !call.pending() ||
                  (nodes.is_site_lost(node) && call.sent_at <= nodes.site_share(node)->lost_at) ||
                  ((nodes.is_overtaken(node, call.sent_at, now) ||
                    (node.suspect && node.last_answer_at < call.sent_at)) &&
                   now >= call.sent_at + vertical_state(query).lost_after + verticals.excess_work(leaf));
         });
}

// Sends an unanswered part if a first call, a copy or a retry is due and a node is available.
void AdaptiveRoutingPolicy::State::send_if_due(const Query& query, int index, Decision& decision,
                                               double now) {
  const auto& leaf = query.leaves[static_cast<std::size_t>(index)];
  const auto has_pending_call = leaf.any_pending();
  const auto sent = parts_sent.recent(now);
  const auto due = is_copy_due(query, leaf, now);
  const auto copy = due && copies_sent.recent(now) + 1 <= kMaxCopyShare * sent;
  const auto resend = has_pending_call && !copy && is_presumed_lost(query, leaf, now);
  if (has_pending_call && !copy && !resend)
    return trace.add(index, kNone,
                     due ? explain(Reason::copy_budget_spent, copies_sent.recent(now), sent)
                         : explain(Reason::within_hedge_delay, now - leaf.calls.back().sent_at,
                                   vertical_state(query).hedge_delay));
  Explanation explanation;
  double best = 0;
  const auto node = choose_node(query, index, has_pending_call, now, best, explanation);
  if (node == kNone) return trace.add(index, kNone, explanation);
  // A copy helps only if the other replica is expected to answer within the hedge delay; if all replicas are
  // slow it just adds load. A lost part is sent where it should take less time than it has waited so far.
  const auto site_lost = resend && nodes.is_site_lost(node_at(leaf.calls.back().node));
  const auto bound = site_lost ? kNever
                     : resend  ? now - leaf.calls.back().sent_at
                               : vertical_state(query).hedge_delay;
  if (has_pending_call && best > bound)
    return trace.add(index, kNone, explain(Reason::no_faster_node, best, bound));
  if (resend) cancel_pending(decision, leaf, index, Reason::presumed_lost, now);
  explanation.reason = copy                 ? Reason::copy
                       : resend             ? Reason::resent_lost
                       : leaf.calls.empty() ? Reason::first_call
                                            : Reason::resent_failed;
  decision.sends.push_back(record_send(query, index, node, explanation, now));
}

// Updates the counters and the state of the node for a send.
Send AdaptiveRoutingPolicy::State::record_send(const Query& query, int leaf_index, int node_index,
                                               Explanation explanation, double now) {
  const auto& leaf = query.leaves[static_cast<std::size_t>(leaf_index)];
  auto& node = node_at(node_index);
  nodes.mark_active(node_index);
  if (!nodes.joins_open_batch(node, now)) node.open_batch = next_batch++;
  node.open_batch_at = now;
  ++node.pending_batches[node.open_batch];
  node.pending_sent_at.insert(now);
  vertical_state(query).pending_parts.insert({now, verticals.usual_step_time(query), node_index});
  relative_work.record_sent(query.vertical, now);
  nodes.slow_start.record_sent(node, relative_work.estimate(query.vertical), now);
  if (nodes.is_site_lost(node)) nodes.sites[static_cast<std::size_t>(node.zone)].probe_allowed = false;
  nodes.report_to_peers(node_index, 0);
  if (leaf.attempts() == 0) {
    parts_sent.add(now);
    if (leaf.work_hint > 0) verticals.mean_part_work.add(leaf.work_hint);
  }
  if (explanation.reason == Reason::copy) copies_sent.add(now);
  if (leaf.attempts() > 0) extra_calls.add(now);
  return {leaf_index,      node_index,
          node.open_batch, verticals.call_timeout(query, now),
          explanation,     resend_until(query, leaf) - now};
}

Decision AdaptiveRoutingPolicy::State::abort(Explanation explanation) {
  Decision decision;
  decision.query_end = QueryEnd::abort;
  decision.retry_after = settings.max_retry_after;
  decision.explanation = explanation;
  return decision;
}

Decision AdaptiveRoutingPolicy::State::reject_or_abort(const Query& query, Explanation explanation) {
  auto decision = abort(explanation);
  // Rule 2: a rejection tells the client that a retry is harmless.
  const auto harmless =
      verticals.settings_of(query).effect == Effect::repeatable ||
      std::all_of(query.leaves.begin(), query.leaves.end(), [](const Leaf& leaf) {
        return std::none_of(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
      });
  if (harmless) decision.query_end = QueryEnd::reject;
  return decision;
}

// Whether the query ends now, and how (rule 5).
Decision AdaptiveRoutingPolicy::State::evaluate_end(const Query& query, double now) {
  const auto& vertical = verticals.settings_of(query);
  double answered_weight[2] = {0, 0};  // by step
  double possible_weight[2] = {0, 0};  // by step: answered or may still be answered
  double dropped_weight[2] = {0, 0};   // by step
  bool second_step_answered = true;
  for (const auto& leaf : query.leaves) {
    const auto step = leaf.step - 1;
    if (leaf.answered) answered_weight[step] += leaf.weight;
    second_step_answered = second_step_answered && (leaf.answered || leaf.step == 1);
    if (leaf.dropped) {
      dropped_weight[step] += leaf.weight;
      continue;
    }
    const auto can_be_sent =
        leaf.calls.empty() || (leaf.attempts() < settings.max_calls && now < resend_until(query, leaf));
    if (leaf.answered || leaf.any_pending() || can_be_sent) possible_weight[step] += leaf.weight;
  }
  if (query.parts_expected > 0) possible_weight[query.step - 1] = 1;
  Decision decision;
  const auto answered_share = answered_weight[query.step - 1],
             possible_share = possible_weight[query.step - 1];
  const auto complete = query.step == 1 ? answered_share >= vertical.complete_share - kWeightRounding
                                        : second_step_answered && query.parts_expected == 0;
  const auto mergeable =
      query.parts_expected == 0 && answered_share >= vertical.min_merge_share - kWeightRounding &&
      (query.step == 1 || vertical.min_merge_share < vertical.complete_share || second_step_answered);
  if (complete) {
    decision.query_end =
        query.step == 1 || query.first_step_complete ? QueryEnd::merge_complete : QueryEnd::merge_partial;
    decision.explanation = explain(Reason::complete, answered_share);
    return decision;
  }
  const auto step_share = query.step == 1 ? vertical.complete_share : 1;
  const auto nothing_more_possible = possible_share <= answered_share + kWeightRounding;
  const auto past_slo = now >= verticals.slo_deadline(query);
  const auto past_deadline = now >= verticals.final_deadline(query);
  if (mergeable && (nothing_more_possible || past_deadline ||
                    (past_slo && vertical.partial_utility * answered_share > vertical.late_utility))) {
    decision.query_end = QueryEnd::merge_partial;
    decision.explanation = explain(Reason::partial, answered_share);
    return decision;
  }
  const auto required_share =
      vertical.min_merge_share < vertical.complete_share ? vertical.min_merge_share : step_share;
  const auto missing_share = required_share - possible_share;
  if (missing_share > kWeightRounding && missing_share <= dropped_weight[query.step - 1] + kWeightRounding)
    return abort(explain(Reason::answer_too_large, answered_share, possible_share));
  if (missing_share > kWeightRounding)
    return reject_or_abort(query, explain(Reason::share_unreachable, answered_share, possible_share));
  if (past_deadline || (past_slo && vertical.late_utility <= 0))
    return reject_or_abort(query, explain(Reason::deadline_passed, answered_share));
  return decision;
}

// Updates the node, its path and its vertical from the outcome of a call.
void AdaptiveRoutingPolicy::State::record_outcome(const Query& query, const Leaf& leaf, const Call& call,
                                                  double now) {
  auto& vertical = vertical_state(query);
  auto& node = node_at(call.node);
  nodes.mark_active(call.node);
  const auto step_time = verticals.usual_step_time(query);
  const auto age = std::max(now - call.sent_at - standstill, 0.0);
  const auto latency = std::max(age - verticals.excess_work(leaf), age / 4);
  if (const auto sent = node.pending_sent_at.find(call.sent_at); sent != node.pending_sent_at.end())
    node.pending_sent_at.erase(sent);
  if (const auto sent = vertical.pending_parts.find({call.sent_at, step_time, call.node});
      sent != vertical.pending_parts.end())
    vertical.pending_parts.erase(sent);
  if (const auto batch = node.pending_batches.find(call.batch);
      batch != node.pending_batches.end() && --batch->second <= 0)
    node.pending_batches.erase(batch);
  if (call.outcome == Outcome::unsent) return;
  // When a connection breaks or brings a malformed answer, all calls pending on it end. They count as one
  // failure: otherwise healthy nodes would become suspect, the others would get more calls per connection,
  // and even more calls would end with each connection.
  const auto malformed = call.outcome == Outcome::malformed;
  if ((malformed || call.outcome == Outcome::disconnected) &&
      std::exchange(node.connection_lost_at, now) == now)
    return;
  const auto success = call.outcome == Outcome::success;
  const auto censored = call.outcome == Outcome::cancelled || call.outcome == Outcome::timed_out;
  if (!censored) node.last_answer_at = now;
  if (censored && nodes.is_answer_lost(node, call.sent_at, now)) return;
  if (success) node.latest_answered_sent_at = std::max(node.latest_answered_sent_at, call.sent_at);
  // A refusal by a full node counts as load although it comes at once: otherwise a fleet that refuses most
  // parts would look idle.
  if (call.outcome == Outcome::overloaded) vertical.load_samples.add(now, {1, true});
  // Calls without an answer at a suspect node say something about that node only.
  if (success || (censored && !node.suspect && !nodes.is_site_lost(node))) {
    vertical.part_latencies.add(now, {latency, censored});
    if (node.zone != kNone)
      nodes.paths[static_cast<std::size_t>(node.zone)].latencies.add(now, {latency, censored});
    vertical.load_samples.add(now, {age / step_time, censored});
  }
  if (success) {
    nodes.mean_latency.add(latency);
    parts_answered.add(now);
    node.consecutive_failures = 0;
  } else {
    ++node.consecutive_failures;
  }
  if (malformed) return nodes.update_suspicion(node, now);
  const auto decayed = nodes.decayed_latency(node, nodes.expected_latency(node, now), now);
  // A failure counts as the time it costs the query, not the time it took: otherwise a node that fails
  // quickly would look fast and attract all traffic. A cancelled or timed out call took at least its age.
  const auto value = success    ? latency
                     : censored ? std::max(latency, decayed)
                                : std::max(vertical.settings.slo_time, decayed);
  if (!nodes.is_site_lost(node)) nodes.mean_cost.add(value);
  nodes.report_to_peers(call.node, value);
  nodes.record_latency(node, value, success, now);
}

AdaptiveRoutingPolicy::AdaptiveRoutingPolicy(const Settings& settings, std::uint64_t seed, double now)
    : state_(std::make_unique<State>(settings, seed, now)) {}
AdaptiveRoutingPolicy::~AdaptiveRoutingPolicy() = default;

Decision AdaptiveRoutingPolicy::route(Query& query, double now) {
  auto& state = *state_;
  state.detect_standstill(now);
  state.trace.entries.clear();
  if (!query.admitted)
    state.admission.adjust_received_at(query, state.vertical_state(query), state.standstill, now);
  auto decision = state.evaluate_end(query, now);
  if (decision.query_end == QueryEnd::merge_complete || decision.query_end == QueryEnd::merge_partial ||
      (decision.query_end != QueryEnd::none && query.admitted)) {
    const auto unanswered = decision.query_end == QueryEnd::reject || decision.query_end == QueryEnd::abort;
    if (unanswered || query.step == 2 || state.verticals.step_count(query) == 1)
      state.vertical_state(query).query_durations.add(now, {now - query.received_at, unanswered});
  }
  if (decision.query_end != QueryEnd::none || query.parts_expected > 0) return decision;
  if (!query.admitted) {
    const auto refusal =
        query.forced_rejection != Reason::none
            ? explain(query.forced_rejection)
            : state.admission.decide_refusal(query, state.verticals, state.nodes, state.random, now);
    if (refusal.reason != Reason::none) return state.reject_or_abort(query, refusal);
  }
  if (!query.admitted)
    for (const auto& leaf : query.leaves)
      if (leaf.work_hint > 0) state.relative_work.record_hint(query.vertical, leaf.work_hint);
  query.admitted = true;
  for (std::size_t i = 0; i < query.leaves.size(); ++i)
    if (query.leaves[i].awaits_answer()) state.send_if_due(query, static_cast<int>(i), decision, now);
  return decision;
}
Decision AdaptiveRoutingPolicy::on_call_ended(Query& query, int leaf_index, int call_index, double now) {
  auto& state = *state_;
  state.detect_standstill(now);
  state.trace.entries.clear();
  auto& leaf = query.leaves[static_cast<std::size_t>(leaf_index)];
  const auto& call = leaf.calls[static_cast<std::size_t>(call_index)];
  state.record_outcome(query, leaf, call, now);
  Decision decision;
  if (call.outcome != Outcome::success || !leaf.awaits_answer()) return decision;
  leaf.answered = true;
  if (state.settings.may_cancel) cancel_pending(decision, leaf, leaf_index, Reason::race_lost, now);
  return decision;
}
double AdaptiveRoutingPolicy::time_to_next_check(const Query& query, double now) const {
  auto& state = *state_;
  auto due = state.verticals.final_deadline(query);
  if (now < state.verticals.slo_deadline(query)) due = std::min(due, state.verticals.slo_deadline(query));
  for (const auto& leaf : query.leaves) {
    if (!leaf.awaits_answer()) continue;
    const auto copy =
        leaf.calls.size() == 1 && state.may_copy(query) ? state.verticals.copy_at(query, leaf) : now;
    due = std::min(due, copy > now ? copy
                                   : now + std::clamp(state.vertical_state(query).hedge_delay,
                                                      kMinRecheckSeconds, kTickIntervalSeconds));
  }
  return std::max(due - now, 1e-3);
}
void AdaptiveRoutingPolicy::on_requests_received(int requests, double now) {
  state_->requests_received.add(now, requests);
}
// Only a list from discovery ends the requests for it. When the list kept from before the start ended them
// too, parts were sent to drained nodes.
void AdaptiveRoutingPolicy::update_nodes(std::span<const DiscoveredNode> nodes, bool complete,
                                         bool from_discovery) {
  state_->nodes.update_nodes(nodes, complete);
  if (from_discovery) state_->request_list_at = kNever;
}
void AdaptiveRoutingPolicy::remove_node(int node) {
  state_->nodes.remove_node(node);
}
void AdaptiveRoutingPolicy::on_node_list_failed(double now) {
  // Random, so that routers whose requests failed at the same time don't retry at the same time.
  state_->request_list_at =
      now + kListRetrySeconds * std::uniform_real_distribution<>(0.5, 1.5)(state_->random);
}
bool AdaptiveRoutingPolicy::tick(double now) {
  auto& state = *state_;
  state.detect_standstill(now);
  if (state.standstill > 0) return false;
  state.verticals.update_estimates(now, state.last_tick_at, state.nodes);
  // Under load the latency of answers shows the queueing at the nodes, not the work of the parts.
  if (state.verticals.load_estimate < kMaxLoadForWorkEstimate)
    for (std::size_t i = 0; i < state.verticals.all.size(); ++i)
      if (const auto quick = state.verticals.all[i].quick_latency; quick > 0)
        state.relative_work.record_quick_latency(static_cast<int>(i), quick);
  state.nodes.compare_paths(now, state.last_tick_at);
  state.last_tick_at = now;
  state.nodes.tick(now);
  // The peak rate decays slowly: while routers refuse queries the nodes answer fewer parts than they could,
  // and by the current rate nodes in slow start would be idle beside full ones.
  const auto rate = state.nodes.nodes_up > 0
                        ? state.parts_answered.recent(now) / kLatencyWindowSeconds / state.nodes.nodes_up
                        : 0;
  state.nodes.slow_start.node_answer_rate =
      std::max(rate, state.nodes.slow_start.node_answer_rate *
                         std::exp(-kTickIntervalSeconds / kCapacityDecaySeconds));
  const auto request_list = state.settings.must_request_node_list && now >= state.request_list_at;
  if (request_list) state.request_list_at = now + kListTimeoutSeconds;
  return request_list;
}
double AdaptiveRoutingPolicy::tick_interval() const {
  return kTickIntervalSeconds;
}
std::vector<PeerReport> AdaptiveRoutingPolicy::take_peer_reports() {
  return std::exchange(state_->nodes.peer_reports, {});
}
void AdaptiveRoutingPolicy::on_peer_report(PeerReport report, double now) {
  state_->nodes.on_peer_report(report, now);
}
void AdaptiveRoutingPolicy::set_site_shares(std::span<const SiteShare> sites) {
  state_->nodes.set_site_shares(sites);
}
void AdaptiveRoutingPolicy::enable_trace(bool on) {
  state_->trace.enabled = on;
  state_->trace.entries.reserve(kMaxTraceEntries);
}
std::span<const DecisionTraceEntry> AdaptiveRoutingPolicy::trace() const {
  return state_->trace.entries;
}
long long AdaptiveRoutingPolicy::dropped_trace_entries() const {
  return state_->trace.dropped;
}
NodeHealth AdaptiveRoutingPolicy::node_health(int number, double now) const {
  const auto& nodes = state_->nodes;
  if (static_cast<std::size_t>(number) >= nodes.all.size()) return NodeHealth::unknown;
  const auto& node = nodes.all[static_cast<std::size_t>(number)];
  if (node.suspect)
    return nodes.is_avoided(node, now) && node.pending_sent_at.empty() ? NodeHealth::suspect
                                                                       : NodeHealth::probing;
  if (nodes.slow_start.applies_to(node, now)) return NodeHealth::slow_start;
  return node.smoothed_latency > 0 ? NodeHealth::healthy : NodeHealth::unknown;
}
}  // namespace yoketurn
