// The three questions: where a part goes and when it gets a copy, what follows an outcome, how long to wait.
// Interface: brain.hpp; the caller holds queries and timers. docs/design.md gives the reasons.
#include "routing_policy.hpp"

#include "estimates/decision_trace.hpp"
#include "policy/admission.hpp"
#include "policy/relative_work.hpp"

namespace yoketurn {
using namespace policy;
namespace {
constexpr double kTickIntervalSeconds = 0.1;  // of the periodic work
constexpr double kMinRecheckSeconds = 0.01;   // after which a part that found no place is looked at again
// Until a part goes again to a node that it has been to: what fails at once would spend all its calls there.
constexpr double kMinRetryDelaySeconds = 0.05;
constexpr double kMaxCopyShare = 0.1;         // copies to parts sent, at most
constexpr double kCapacityDecaySeconds = 60;  // what nodes could do is forgotten with this time constant
constexpr double kStandstillSeconds = 0.25;   // without any call of the module: the router itself stood still
constexpr double kMaxLoadForWorkEstimate =
    0.4;  // strain below which the time of quick answers tells of their work
constexpr double kOtherZonePenalty =
    0.001;  // by which a node elsewhere, at the same score, comes after one near by
constexpr double kListRetrySeconds = 2;     // after a failed call for the list, on average
constexpr double kListTimeoutSeconds = 10;  // and after one that has not been answered

void cancel_pending(Decision& answer, const Leaf& leaf, int index, Reason reason, double now) {
  for (std::size_t i = 0; i < leaf.calls.size(); ++i)
    if (leaf.calls[i].pending())
      answer.cancels.push_back({index, static_cast<int>(i), explain(reason, now - leaf.calls[i].sent_at)});
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
  WindowCounter parts_answered{kLatencyWindowSeconds};  // parts
  WindowCounter requests_received, extra_calls;         // over the span of the budget
  double last_tick_at, request_list_at;
  double last_called_at;  // when the module was last called
  double standstill = 0;  // for how long the router stood still before this round
  DecisionTrace trace;

  State(const Settings& s, std::uint64_t seed, double now);
  VerticalState& vertical_state(const Query& q) { return verticals.state_of(q); }
  Node& node_at(int node) { return nodes.at(node); }
  bool is_repeatable(const Query& q) const { return verticals.settings_of(q).effect == Effect::repeatable; }
  bool may_copy(const Query& q) const { return settings.may_copy && is_repeatable(q); }
  void detect_standstill(double now);
  Explanation why_not_sendable(const Query& q, const Leaf& leaf, Node& node, double now);
  double resend_until(const Query& q, const Leaf& leaf);
  int choose_node(const Query& q, int index, bool beside, double now, double& best, Explanation& because);
  bool is_copy_due(const Query& q, const Leaf& leaf, double now);
  bool is_presumed_lost(const Query& q, const Leaf& leaf, double now);
  void send_if_due(const Query& q, int index, Decision& answer, double now);
  Send record_send(const Query& q, int leaf, int node, Explanation why, double now);
  Decision evaluate_end(const Query& q, double now);
  Decision reject_or_abort(const Query& q, Explanation why);
  void record_outcome(const Query& q, const Leaf& leaf, const Call& call, double now);
};

AdaptiveRoutingPolicy::State::State(const Settings& s, std::uint64_t seed, double now)
    : nodes(s),
      verticals(s),
      admission(s, now),
      relative_work(slo_times(s)),
      settings(s),
      random(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      requests_received(s.retry_budget_window -
                        verticals.end_margin),  // a little short, and the further calls a little long:
      extra_calls(s.retry_budget_window + verticals.end_margin),  // so that the budget holds in any window
      last_tick_at(now),
      request_list_at(now),
      last_called_at(now) {}

// What a router that stood still reads at once must not pass for slow nodes, nor old queries for new ones.
void AdaptiveRoutingPolicy::State::detect_standstill(double now) {
  if (now <= last_called_at) return;
  standstill = now - last_called_at > kStandstillSeconds ? now - last_called_at - kTickIntervalSeconds : 0;
  last_called_at = now;
}

// The one guard that every send passes: why a part may not be sent to a node.
Explanation AdaptiveRoutingPolicy::State::why_not_sendable(const Query& q, const Leaf& leaf, Node& node,
                                                           double now) {
  if (q.ended || leaf.answered || now >= verticals.final_deadline(q))
    return explain(Reason::deadline_passed);  // rule 1
  if (leaf.attempts() >= settings.max_calls) return explain(Reason::max_calls_reached, settings.max_calls);
  if (now >= resend_until(q, leaf)) return explain(Reason::may_have_run);  // rule 2
  if (!node.up) return explain(Reason::unavailable);                       // rule 3
  if (nodes.slow_start.applies_to(node, now) &&
      !nodes.slow_start.allows(node, relative_work.estimate(q.vertical), now, random))  // rule 4
    return explain(Reason::slow_start, node.recent_work.recent(now),
                   nodes.slow_start.router_limit(node, now));
  if (leaf.attempts() > 0 && settings.retry_budget_window > 0) {  // rule 6
    const auto most = settings.retry_budget_min + settings.retry_budget_ratio * requests_received.recent(now);
    if (extra_calls.recent(now) + 1 > most)
      return explain(Reason::retry_budget_spent, extra_calls.recent(now), most);
  }
  return {};
}

// Rule 2: until when a part may be sent, or sent again.
double AdaptiveRoutingPolicy::State::resend_until(const Query& q, const Leaf& leaf) {
  const auto& v = verticals.settings_of(q);
  if (v.effect == Effect::repeatable) return kNever;
  const auto first = std::find_if(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
  if (first == leaf.calls.end()) return kNever;
  return v.effect == Effect::deduplicated
             ? first->sent_at + v.dedup_window - verticals.end_margin - kMaxSendStallSeconds
             : 0;
}

// The node for a part, or why there is none.
int AdaptiveRoutingPolicy::State::choose_node(const Query& q, int index, bool beside, double now,
                                              double& best, Explanation& because) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(index)];
  int chosen = kNone;
  double next = kNever;
  best = kNever;
  because = explain(Reason::no_node_left);
  const auto noted = trace.entries.size();
  const auto tried = [&](int node) {
    return std::any_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& c) { return c.node == node; });
  };
  for (const bool again : {false, true}) {
    if (again && (beside || chosen != kNone)) break;
    // All calls of a part could else be spent within ms at the one node that is left and turns them away.
    const auto paused_until =
        leaf.calls.empty()
            ? kNever
            : leaf.calls.back().sent_at + std::max(vertical_state(q).hedge_delay, kMinRetryDelaySeconds);
    if (again && now < paused_until) {
      if (!leaf.calls.empty() && because.reason == Reason::no_node_left)
        because = explain(Reason::retry_delayed, paused_until - now);
      break;
    }
    nodes.any_replica(leaf, [&](int i) {
      auto& node = node_at(i);
      const auto other = tried(i) != again;
      if (other && again) return false;
      const auto bar = other ? explain(Reason::already_tried) : why_not_sendable(q, leaf, node, now);
      const auto of_node = other || bar.reason == Reason::unavailable || bar.reason == Reason::slow_start;
      if (of_node) trace.add(index, i, bar);
      if (!of_node && bar.reason != Reason::none) because = bar;
      if (bar.reason != Reason::none) return false;
      const auto by_site = nodes.site_score_factor(node, leaf.calls.empty() && is_repeatable(q), random);
      if (by_site <= 0)
        return trace.add(index, i, explain(Reason::site_avoided, now - nodes.site_share(node)->lost_at)),
               false;
      const auto shunned = nodes.is_avoided(node, now);
      if (shunned)
        trace.add(index, i,
                  explain(Reason::suspect, nodes.latency_estimate(node, now),
                          std::max(node.next_probe_at - now, 0.0),
                          static_cast<double>(node.pending_sent_at.size())));
      // A further call at a node under suspicion would most likely be spent in vain and keep it full.
      if (!leaf.calls.empty() && shunned) return false;
      const auto value = by_site * nodes.score(node, now) *
                         (node.zone == nodes.zone ? 1 : 1 + kOtherZonePenalty) *
                         (1 + 1e-6 * static_cast<double>(random() % 1000));
      const auto better = value < best;
      next = better ? best : std::min(next, value);
      const auto loser = better ? chosen : i;
      if (loser != kNone && !(shunned && loser == i))
        trace.add(index, loser, explain(Reason::worse_score, next));
      if (better) {
        best = value;
        chosen = i;
      }
      return false;
    });
  }
  if (chosen != kNone) because = explain(Reason::none, best, next, vertical_state(q).hedge_delay);
  trace.set_chosen(noted, chosen, best);
  return chosen;
}

bool AdaptiveRoutingPolicy::State::is_copy_due(const Query& q, const Leaf& leaf, double now) {
  return may_copy(q) && leaf.calls.size() == 1 && leaf.calls[0].pending() &&
         now >= verticals.copy_at(q, leaf) - 1e-6 && now < verticals.slo_deadline(q);
}

// A part is sent again where each call that is out went to a site before its loss, or is too old to be slow
// at a node that has done later ones or is suspect and silent; by age alone heavy parts would go again.
bool AdaptiveRoutingPolicy::State::is_presumed_lost(const Query& q, const Leaf& leaf, double now) {
  return settings.may_cancel && settings.may_copy &&
         std::all_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& call) {
           const auto& node = node_at(call.node);
           return !call.pending() ||
                  (nodes.is_site_lost(node) && call.sent_at <= nodes.site_share(node)->lost_at) ||
                  ((nodes.is_overtaken(node, call.sent_at, now) ||
                    (node.suspect && node.last_answer_at < call.sent_at)) &&
                   now >= call.sent_at + vertical_state(q).lost_after + verticals.excess_work(leaf));
         });
}

// Where a part that is not in goes now, if anywhere.
void AdaptiveRoutingPolicy::State::send_if_due(const Query& q, int index, Decision& answer, double now) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(index)];
  const auto out = leaf.any_pending();
  const auto sent = parts_sent.recent(now);
  const auto due = is_copy_due(q, leaf, now);
  const auto copy = due && copies_sent.recent(now) + 1 <= kMaxCopyShare * sent;
  const auto again = out && !copy && is_presumed_lost(q, leaf, now);
  if (out && !copy && !again)
    return trace.add(index, kNone,
                     due ? explain(Reason::copy_budget_spent, copies_sent.recent(now), sent)
                         : explain(Reason::within_hedge_delay, now - leaf.calls.back().sent_at,
                                   vertical_state(q).hedge_delay));
  Explanation because;
  double best = 0;
  const auto node = choose_node(q, index, out, now, best, because);
  if (node == kNone) return trace.add(index, kNone, because);
  // A copy helps where the other replica should answer within the delay that made this one late; when all are
  // slow it adds to the load. A lost part goes where it should take less than it has waited.
  const auto left = again && nodes.is_site_lost(node_at(leaf.calls.back().node));
  const auto bound = left ? kNever : again ? now - leaf.calls.back().sent_at : vertical_state(q).hedge_delay;
  if (out && best > bound) return trace.add(index, kNone, explain(Reason::no_faster_node, best, bound));
  if (again) cancel_pending(answer, leaf, index, Reason::presumed_lost, now);
  because.reason = copy                 ? Reason::copy
                   : again              ? Reason::resent_lost
                   : leaf.calls.empty() ? Reason::first_call
                                        : Reason::resent_failed;
  answer.sends.push_back(record_send(q, index, node, because, now));
}

Send AdaptiveRoutingPolicy::State::record_send(const Query& q, int leaf_index, int node_index,
                                               Explanation because, double now) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
  auto& node = node_at(node_index);
  nodes.mark_active(node_index);
  if (!nodes.joins_open_batch(node, now)) node.open_batch = next_batch++;
  node.open_batch_at = now;
  ++node.pending_batches[node.open_batch];
  node.pending_sent_at.insert(now);
  vertical_state(q).pending_parts.insert({now, verticals.usual_step_time(q), node_index});
  relative_work.record_sent(q.vertical, now);
  nodes.slow_start.record_sent(node, relative_work.estimate(q.vertical), now);
  if (nodes.is_site_lost(node)) nodes.sites[static_cast<std::size_t>(node.zone)].probe_allowed = false;
  nodes.report_to_peers(node_index, 0);
  if (leaf.attempts() == 0) {
    parts_sent.add(now);
    if (leaf.work_hint > 0) verticals.mean_part_work.add(leaf.work_hint);
  }
  if (because.reason == Reason::copy) copies_sent.add(now);
  if (leaf.attempts() > 0) extra_calls.add(now);
  return {leaf_index,      node_index,
          node.open_batch, verticals.call_timeout(q, now),
          because,         resend_until(q, leaf) - now};
}

Decision AdaptiveRoutingPolicy::State::reject_or_abort(const Query& q, Explanation because) {
  Decision answer;
  // Rule 2: a rejection says that a retry is harmless.
  const auto harmless =
      verticals.settings_of(q).effect == Effect::repeatable ||
      std::all_of(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) {
        return std::none_of(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
      });
  answer.query_end = harmless ? QueryEnd::reject : QueryEnd::abort;
  answer.retry_after = settings.max_retry_after;
  answer.explanation = because;
  return answer;
}

// Whether the query ends now, and how.
Decision AdaptiveRoutingPolicy::State::evaluate_end(const Query& q, double now) {
  const auto& v = verticals.settings_of(q);
  double in[2] = {0, 0};        // weight that is in, by step
  double possible[2] = {0, 0};  // and that may still come
  bool second_in = true;
  for (const auto& leaf : q.leaves) {
    const auto step = leaf.step - 1;
    if (leaf.answered) in[step] += leaf.weight;
    second_in = second_in && (leaf.answered || leaf.step == 1);
    const auto more =
        leaf.calls.empty() || (leaf.attempts() < settings.max_calls && now < resend_until(q, leaf));
    if (leaf.answered || leaf.any_pending() || more) possible[step] += leaf.weight;
  }
  if (q.parts_expected > 0) possible[q.step - 1] = 1;
  Decision answer;
  const auto now_in = in[q.step - 1], now_possible = possible[q.step - 1];
  const auto whole =
      q.step == 1 ? now_in >= v.complete_share - kWeightRounding : second_in && q.parts_expected == 0;
  const auto enough = q.parts_expected == 0 && now_in >= v.min_merge_share - kWeightRounding &&
                      (q.step == 1 || v.min_merge_share < v.complete_share || second_in);
  if (whole) {
    answer.query_end =
        q.step == 1 || q.first_step_complete ? QueryEnd::merge_complete : QueryEnd::merge_partial;
    answer.explanation = explain(Reason::complete, now_in);
    return answer;
  }
  const auto need = q.step == 1 ? v.complete_share : 1;
  const auto settled = now_possible <= now_in + kWeightRounding;  // nothing more can come
  const auto late = now >= verticals.slo_deadline(q);
  const auto over = now >= verticals.final_deadline(q);
  if (enough && (settled || over || (late && v.partial_utility * now_in > v.late_utility))) {
    answer.query_end = QueryEnd::merge_partial;
    answer.explanation = explain(Reason::partial, now_in);
    return answer;
  }
  const auto least = v.min_merge_share < v.complete_share ? v.min_merge_share : need;
  if (now_possible < least - kWeightRounding)
    return reject_or_abort(q, explain(Reason::share_unreachable, now_in, now_possible));
  if (over || (late && v.late_utility <= 0))
    return reject_or_abort(q, explain(Reason::deadline_passed, now_in));
  return answer;
}

// What an outcome tells of the node and of the latencies.
void AdaptiveRoutingPolicy::State::record_outcome(const Query& q, const Leaf& leaf, const Call& call,
                                                  double now) {
  auto& v = vertical_state(q);
  auto& node = node_at(call.node);
  nodes.mark_active(call.node);
  const auto usual_step = verticals.usual_step_time(q);
  const auto age = std::max(now - call.sent_at - standstill, 0.0);
  const auto took = std::max(age - verticals.excess_work(leaf), age / 4);
  if (const auto sent = node.pending_sent_at.find(call.sent_at); sent != node.pending_sent_at.end())
    node.pending_sent_at.erase(sent);
  if (const auto sent = v.pending_parts.find({call.sent_at, usual_step, call.node});
      sent != v.pending_parts.end())
    v.pending_parts.erase(sent);
  if (const auto group = node.pending_batches.find(call.batch);
      group != node.pending_batches.end() && --group->second <= 0)
    node.pending_batches.erase(group);
  if (call.outcome == Outcome::unsent) return;
  // A connection takes along all that is out on it when it breaks or brings a spoilt answer: that counts
  // once, or sound nodes are left out, and the others, with more on each connection, break the more.
  const auto spoilt = call.outcome == Outcome::malformed;
  if ((spoilt || call.outcome == Outcome::disconnected) && std::exchange(node.connection_lost_at, now) == now)
    return;
  const auto good = call.outcome == Outcome::success;
  const auto bound = call.outcome == Outcome::cancelled || call.outcome == Outcome::timed_out;
  if (!bound) node.last_answer_at = now;
  if (bound && nodes.is_answer_lost(node, call.sent_at, now)) return;
  if (good) node.latest_answered_sent_at = std::max(node.latest_answered_sent_at, call.sent_at);
  // A full node is strain though it answers at once: a fleet that turns most parts away would look idle.
  if (call.outcome == Outcome::overloaded) v.load_samples.add(now, {1, true});
  // What a suspect node holds back tells of that node, not of the others.
  if (good || (bound && !node.suspect && !nodes.is_site_lost(node))) {
    v.part_latencies.add(now, {took, bound});
    if (node.zone != kNone)
      nodes.paths[static_cast<std::size_t>(node.zone)].latencies.add(now, {took, bound});
    v.load_samples.add(now, {age / usual_step, bound});
  }
  if (good) {
    nodes.mean_latency.add(took);
    parts_answered.add(now);
    node.consecutive_failures = 0;
  } else {
    ++node.consecutive_failures;
  }
  if (spoilt) return nodes.update_suspicion(node, now);
  const auto held = nodes.decayed_latency(node, nodes.expected_latency(node, now), now);
  // A quick failure counts as the time it costs, not the time it took: else the node would look fast and draw
  // all traffic. A cancelled or overdue call took at least its age.
  const auto value = good ? took : bound ? std::max(took, held) : std::max(v.settings.slo_time, held);
  if (!nodes.is_site_lost(node)) nodes.mean_cost.add(value);
  nodes.report_to_peers(call.node, value);
  nodes.record_latency(node, value, good, now);
}

AdaptiveRoutingPolicy::AdaptiveRoutingPolicy(const Settings& settings, std::uint64_t seed, double now)
    : state_(std::make_unique<State>(settings, seed, now)) {}
AdaptiveRoutingPolicy::~AdaptiveRoutingPolicy() = default;

Decision AdaptiveRoutingPolicy::route(Query& q, double now) {
  auto& s = *state_;
  s.detect_standstill(now);
  s.trace.entries.clear();
  if (!q.admitted) s.admission.adjust_received_at(q, s.vertical_state(q), s.standstill, now);
  auto answer = s.evaluate_end(q, now);
  if (answer.query_end == QueryEnd::merge_complete || answer.query_end == QueryEnd::merge_partial ||
      (answer.query_end != QueryEnd::none && q.admitted)) {
    const auto bound = answer.query_end == QueryEnd::reject || answer.query_end == QueryEnd::abort;
    if (bound || q.step == 2 || s.verticals.step_count(q) == 1)
      s.vertical_state(q).query_durations.add(now, {now - q.received_at, bound});
  }
  if (answer.query_end != QueryEnd::none || q.parts_expected > 0) return answer;
  if (!q.admitted) {
    const auto refused = q.forced_rejection != Reason::none
                             ? explain(q.forced_rejection)
                             : s.admission.decide_refusal(q, s.verticals, s.nodes, s.random, now);
    if (refused.reason != Reason::none) return s.reject_or_abort(q, refused);
  }
  if (!q.admitted)
    for (const auto& leaf : q.leaves)
      if (leaf.work_hint > 0) s.relative_work.record_hint(q.vertical, leaf.work_hint);
  q.admitted = true;
  for (std::size_t i = 0; i < q.leaves.size(); ++i)
    if (!q.leaves[i].answered) s.send_if_due(q, static_cast<int>(i), answer, now);
  return answer;
}
Decision AdaptiveRoutingPolicy::on_call_ended(Query& q, int leaf_index, int call_index, double now) {
  auto& s = *state_;
  s.detect_standstill(now);
  s.trace.entries.clear();
  auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
  const auto& call = leaf.calls[static_cast<std::size_t>(call_index)];
  s.record_outcome(q, leaf, call, now);
  Decision answer;
  if (call.outcome != Outcome::success || leaf.answered) return answer;
  leaf.answered = true;
  if (s.settings.may_cancel) cancel_pending(answer, leaf, leaf_index, Reason::race_lost, now);
  return answer;
}
double AdaptiveRoutingPolicy::time_to_next_check(const Query& q, double now) const {
  auto& s = *state_;
  auto due = s.verticals.final_deadline(q);
  if (now < s.verticals.slo_deadline(q)) due = std::min(due, s.verticals.slo_deadline(q));
  for (const auto& leaf : q.leaves) {
    if (leaf.answered) continue;
    const auto copy = leaf.calls.size() == 1 && s.may_copy(q) ? s.verticals.copy_at(q, leaf) : now;
    due = std::min(due, copy > now ? copy
                                   : now + std::clamp(s.vertical_state(q).hedge_delay, kMinRecheckSeconds,
                                                      kTickIntervalSeconds));
  }
  return std::max(due - now, 1e-3);
}
void AdaptiveRoutingPolicy::on_requests_received(int requests, double now) {
  state_->requests_received.add(now, requests);
}
// Only what discovery says ends the asking: taken for it, the list known last led to drained nodes.
void AdaptiveRoutingPolicy::update_nodes(std::span<const DiscoveredNode> hosts, bool complete, bool told) {
  state_->nodes.update_nodes(hosts, complete);
  if (told) state_->request_list_at = kNever;
}
void AdaptiveRoutingPolicy::remove_node(int node) {
  state_->nodes.remove_node(node);
}
void AdaptiveRoutingPolicy::on_node_list_failed(double now) {
  // Many routers that were turned away together must not come back together.
  state_->request_list_at =
      now + kListRetrySeconds * std::uniform_real_distribution<>(0.5, 1.5)(state_->random);
}
bool AdaptiveRoutingPolicy::tick(double now) {
  auto& s = *state_;
  s.detect_standstill(now);
  if (s.standstill > 0) return false;
  s.verticals.update_estimates(now, s.last_tick_at, s.nodes);
  // Under strain answers tell of the wait at the nodes, not of their work.
  if (s.verticals.load_estimate < kMaxLoadForWorkEstimate)
    for (std::size_t i = 0; i < s.verticals.all.size(); ++i)
      if (const auto quick = s.verticals.all[i].quick_latency; quick > 0)
        s.relative_work.record_quick_latency(static_cast<int>(i), quick);
  s.nodes.compare_paths(now, s.last_tick_at);
  s.last_tick_at = now;
  s.nodes.tick(now);
  // Where routers refuse, nodes answer less than they could: cold nodes stood idle beside full ones.
  const auto rate =
      s.nodes.nodes_up > 0 ? s.parts_answered.recent(now) / kLatencyWindowSeconds / s.nodes.nodes_up : 0;
  s.nodes.slow_start.node_answer_rate = std::max(
      rate, s.nodes.slow_start.node_answer_rate * std::exp(-kTickIntervalSeconds / kCapacityDecaySeconds));
  const auto ask = s.settings.must_request_node_list && now >= s.request_list_at;
  if (ask) s.request_list_at = now + kListTimeoutSeconds;
  return ask;
}
double AdaptiveRoutingPolicy::tick_interval() const {
  return kTickIntervalSeconds;
}
std::vector<PeerReport> AdaptiveRoutingPolicy::take_peer_reports() {
  return std::exchange(state_->nodes.peer_reports, {});
}
void AdaptiveRoutingPolicy::on_peer_report(PeerReport word, double now) {
  state_->nodes.on_peer_report(word, now);
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
