// The three questions: where a part goes and when it gets a copy, what follows an outcome, how long to wait.
// Interface: brain.hpp; the caller holds queries and timers. docs/design.md gives the reasons.
#include "brain.hpp"

#include "estimates/judgements.hpp"
#include "policy/admission.hpp"
#include "policy/relative_work.hpp"

namespace yoketurn {
using namespace policy;
namespace {
constexpr double kPeriod = 0.1;    // of the periodic work
constexpr double kSoonest = 0.01;  // after which a part that found no place is looked at again
// Until a part goes again to a node that it has been to: what fails at once would spend all its calls there.
constexpr double kLeastPause = 0.05;
constexpr double kCopyShare = 0.1;     // copies to parts sent, at most
constexpr double kCapacityDrift = 60;  // what nodes could do is forgotten with this time constant
constexpr double kStandstill = 0.25;   // without any call of the module: the router itself stood still
constexpr double kCalm = 0.4;          // strain below which the time of quick answers tells of their work
constexpr double kZoneTie = 0.001;    // by which a node elsewhere, at the same score, comes after one near by
constexpr double kListAgain = 2;      // after a failed call for the list, on average
constexpr double kListPatience = 10;  // and after one that has not been answered

void cancel_pending(Decision& answer, const Leaf& leaf, int index, Reason reason, double now) {
  for (std::size_t i = 0; i < leaf.calls.size(); ++i)
    if (leaf.calls[i].pending())
      answer.cancels.push_back({index, static_cast<int>(i), explain(reason, now - leaf.calls[i].sent_at)});
}

std::vector<double> aims(const Settings& settings) {
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
  Settings is;
  std::ranlux24_base chance;
  int next_group = 0;
  WindowCounter firsts{kWindow}, copies{kWindow};
  WindowCounter answered{kWindow};  // parts
  WindowCounter taken, extras;      // over the span of the budget
  double ticked, ask_after;
  double called;          // when the module was last called
  double standstill = 0;  // for how long the router stood still before this round
  DecisionTrace judged;

  State(const Settings& s, std::uint64_t seed, double now);
  VerticalState& of(const Query& q) { return verticals.of(q); }
  Node& at(int node) { return nodes.at(node); }
  bool repeatable(const Query& q) const { return verticals.told(q).effect == Effect::repeatable; }
  bool may_copy(const Query& q) const { return is.may_copy && repeatable(q); }
  void wake(double now);
  Explanation barred(const Query& q, const Leaf& leaf, Node& node, double now);
  double resend_until(const Query& q, const Leaf& leaf);
  int choose(const Query& q, int index, bool beside, double now, double& best, Explanation& because);
  bool copy_due(const Query& q, const Leaf& leaf, double now);
  bool lost(const Query& q, const Leaf& leaf, double now);
  void place(const Query& q, int index, Decision& answer, double now);
  Send commit(const Query& q, int leaf, int node, Explanation why, double now);
  Decision ending(const Query& q, double now);
  Decision give_up(const Query& q, Explanation why);
  void learn(const Query& q, const Leaf& leaf, const Call& call, double now);
};

AdaptiveRoutingPolicy::State::State(const Settings& s, std::uint64_t seed, double now)
    : nodes(s),
      verticals(s),
      admission(s, now),
      relative_work(aims(s)),
      is(s),
      chance(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      taken(s.retry_budget_window -
            verticals.margin),  // a little short, and the further calls a little long:
      extras(s.retry_budget_window + verticals.margin),  // so that the budget holds in any window
      ticked(now),
      ask_after(now),
      called(now) {}

// What a router that stood still reads at once must not pass for slow nodes, nor old queries for new ones.
void AdaptiveRoutingPolicy::State::wake(double now) {
  if (now <= called) return;
  standstill = now - called > kStandstill ? now - called - kPeriod : 0;
  called = now;
}

// The one guard that every send passes: why a part may not be sent to a node.
Explanation AdaptiveRoutingPolicy::State::barred(const Query& q, const Leaf& leaf, Node& node, double now) {
  if (q.ended || leaf.answered || now >= verticals.last_end(q))
    return explain(Reason::deadline_passed);  // rule 1
  if (leaf.attempts() >= is.max_calls) return explain(Reason::max_calls_reached, is.max_calls);
  if (now >= resend_until(q, leaf)) return explain(Reason::may_have_run);  // rule 2
  if (!node.up) return explain(Reason::unavailable);                       // rule 3
  if (nodes.cold.is(node, now) &&
      !nodes.cold.allows(node, relative_work.of(q.vertical), now, chance))  // rule 4
    return explain(Reason::slow_start, node.sent.recent(now), nodes.cold.most(node, now));
  if (leaf.attempts() > 0 && is.retry_budget_window > 0) {  // rule 6
    const auto most = is.retry_budget_min + is.retry_budget_ratio * taken.recent(now);
    if (extras.recent(now) + 1 > most) return explain(Reason::retry_budget_spent, extras.recent(now), most);
  }
  return {};
}

// Rule 2: until when a part may be sent, or sent again.
double AdaptiveRoutingPolicy::State::resend_until(const Query& q, const Leaf& leaf) {
  const auto& v = verticals.told(q);
  if (v.effect == Effect::repeatable) return kNever;
  const auto first = std::find_if(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
  if (first == leaf.calls.end()) return kNever;
  return v.effect == Effect::deduplicated
             ? first->sent_at + v.dedup_window - verticals.margin - kMaxSendStallSeconds
             : 0;
}

// The node for a part, or why there is none.
int AdaptiveRoutingPolicy::State::choose(const Query& q, int index, bool beside, double now, double& best,
                                         Explanation& because) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(index)];
  int chosen = kNone;
  double next = kNever;
  best = kNever;
  because = explain(Reason::no_node_left);
  const auto noted = judged.entries.size();
  const auto tried = [&](int node) {
    return std::any_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& c) { return c.node == node; });
  };
  for (const bool again : {false, true}) {
    if (again && (beside || chosen != kNone)) break;
    // All calls of a part could else be spent within ms at the one node that is left and turns them away.
    const auto paused_until =
        leaf.calls.empty() ? kNever : leaf.calls.back().sent_at + std::max(of(q).delay, kLeastPause);
    if (again && now < paused_until) {
      if (!leaf.calls.empty() && because.reason == Reason::no_node_left)
        because = explain(Reason::retry_delayed, paused_until - now);
      break;
    }
    nodes.any_holder(leaf, [&](int i) {
      auto& node = at(i);
      const auto other = tried(i) != again;
      if (other && again) return false;
      const auto bar = other ? explain(Reason::already_tried) : barred(q, leaf, node, now);
      const auto of_node = other || bar.reason == Reason::unavailable || bar.reason == Reason::slow_start;
      if (of_node) judged.add(index, i, bar);
      if (!of_node && bar.reason != Reason::none) because = bar;
      if (bar.reason != Reason::none) return false;
      const auto by_site = nodes.by_site(node, leaf.calls.empty() && repeatable(q), chance);
      if (by_site <= 0)
        return judged.add(index, i, explain(Reason::site_avoided, now - nodes.site(node)->lost_at)), false;
      const auto shunned = nodes.shunned(node, now);
      if (shunned)
        judged.add(index, i,
                   explain(Reason::suspect, nodes.latency(node, now), std::max(node.trial_at - now, 0.0),
                           static_cast<double>(node.waiting.size())));
      // A further call at a node under suspicion would most likely be spent in vain and keep it full.
      if (!leaf.calls.empty() && shunned) return false;
      const auto value = by_site * nodes.score(node, now) * (node.zone == nodes.zone ? 1 : 1 + kZoneTie) *
                         (1 + 1e-6 * static_cast<double>(chance() % 1000));
      const auto better = value < best;
      next = better ? best : std::min(next, value);
      const auto loser = better ? chosen : i;
      if (loser != kNone && !(shunned && loser == i))
        judged.add(index, loser, explain(Reason::worse_score, next));
      if (better) {
        best = value;
        chosen = i;
      }
      return false;
    });
  }
  if (chosen != kNone) because = explain(Reason::none, best, next, of(q).delay);
  judged.set_chosen(noted, chosen, best);
  return chosen;
}

bool AdaptiveRoutingPolicy::State::copy_due(const Query& q, const Leaf& leaf, double now) {
  return may_copy(q) && leaf.calls.size() == 1 && leaf.calls[0].pending() &&
         now >= verticals.copy_at(q, leaf) - 1e-6 && now < verticals.slo_end(q);
}

// A part is sent again where each call that is out went to a site before its loss, or is too old to be slow
// at a node that has done later ones or is suspect and silent; by age alone heavy parts would go again.
bool AdaptiveRoutingPolicy::State::lost(const Query& q, const Leaf& leaf, double now) {
  return is.may_cancel && is.may_copy &&
         std::all_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& call) {
           const auto& node = at(call.node);
           return !call.pending() || (nodes.lost(node) && call.sent_at <= nodes.site(node)->lost_at) ||
                  ((nodes.overtaken(node, call.sent_at, now) ||
                    (node.suspect && node.answered < call.sent_at)) &&
                   now >= call.sent_at + of(q).lost + verticals.excess(leaf));
         });
}

// Where a part that is not in goes now, if anywhere.
void AdaptiveRoutingPolicy::State::place(const Query& q, int index, Decision& answer, double now) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(index)];
  const auto out = leaf.any_pending();
  const auto sent = firsts.recent(now);
  const auto due = copy_due(q, leaf, now);
  const auto copy = due && copies.recent(now) + 1 <= kCopyShare * sent;
  const auto again = out && !copy && lost(q, leaf, now);
  if (out && !copy && !again)
    return judged.add(
        index, kNone,
        due ? explain(Reason::copy_budget_spent, copies.recent(now), sent)
            : explain(Reason::within_hedge_delay, now - leaf.calls.back().sent_at, of(q).delay));
  Explanation because;
  double best = 0;
  const auto node = choose(q, index, out, now, best, because);
  if (node == kNone) return judged.add(index, kNone, because);
  // A copy helps where the other replica should answer within the delay that made this one late; when all are
  // slow it adds to the load. A lost part goes where it should take less than it has waited.
  const auto left = again && nodes.lost(at(leaf.calls.back().node));
  const auto bound = left ? kNever : again ? now - leaf.calls.back().sent_at : of(q).delay;
  if (out && best > bound) return judged.add(index, kNone, explain(Reason::no_faster_node, best, bound));
  if (again) cancel_pending(answer, leaf, index, Reason::presumed_lost, now);
  because.reason = copy                 ? Reason::copy
                   : again              ? Reason::resent_lost
                   : leaf.calls.empty() ? Reason::first_call
                                        : Reason::resent_failed;
  answer.sends.push_back(commit(q, index, node, because, now));
}

Send AdaptiveRoutingPolicy::State::commit(const Query& q, int leaf_index, int node_index, Explanation because,
                                          double now) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
  auto& node = at(node_index);
  nodes.touch(node_index);
  if (!nodes.joins(node, now)) node.open_group = next_group++;
  node.open_at = now;
  ++node.groups[node.open_group];
  node.waiting.insert(now);
  of(q).waiting.insert({now, verticals.usual_step(q), node_index});
  relative_work.sent(q.vertical, now);
  nodes.cold.sent(node, relative_work.of(q.vertical), now);
  if (nodes.lost(node)) nodes.sites[static_cast<std::size_t>(node.zone)].probe_allowed = false;
  nodes.tell(node_index, 0);
  if (leaf.attempts() == 0) {
    firsts.add(now);
    if (leaf.work_hint > 0) verticals.part_work.add(leaf.work_hint);
  }
  if (because.reason == Reason::copy) copies.add(now);
  if (leaf.attempts() > 0) extras.add(now);
  return {leaf_index,      node_index,
          node.open_group, verticals.timeout(q, now),
          because,         resend_until(q, leaf) - now};
}

Decision AdaptiveRoutingPolicy::State::give_up(const Query& q, Explanation because) {
  Decision answer;
  // Rule 2: a rejection says that a retry is harmless.
  const auto harmless =
      verticals.told(q).effect == Effect::repeatable ||
      std::all_of(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) {
        return std::none_of(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
      });
  answer.query_end = harmless ? QueryEnd::reject : QueryEnd::abort;
  answer.retry_after = is.max_retry_after;
  answer.explanation = because;
  return answer;
}

// Whether the query ends now, and how.
Decision AdaptiveRoutingPolicy::State::ending(const Query& q, double now) {
  const auto& v = verticals.told(q);
  double in[2] = {0, 0};        // weight that is in, by step
  double possible[2] = {0, 0};  // and that may still come
  bool second_in = true;
  for (const auto& leaf : q.leaves) {
    const auto step = leaf.step - 1;
    if (leaf.answered) in[step] += leaf.weight;
    second_in = second_in && (leaf.answered || leaf.step == 1);
    const auto more = leaf.calls.empty() || (leaf.attempts() < is.max_calls && now < resend_until(q, leaf));
    if (leaf.answered || leaf.any_pending() || more) possible[step] += leaf.weight;
  }
  if (q.parts_expected > 0) possible[q.step - 1] = 1;
  Decision answer;
  const auto now_in = in[q.step - 1], now_possible = possible[q.step - 1];
  const auto whole =
      q.step == 1 ? now_in >= v.complete_share - kRounding : second_in && q.parts_expected == 0;
  const auto enough = q.parts_expected == 0 && now_in >= v.min_merge_share - kRounding &&
                      (q.step == 1 || v.min_merge_share < v.complete_share || second_in);
  if (whole) {
    answer.query_end =
        q.step == 1 || q.first_step_complete ? QueryEnd::merge_complete : QueryEnd::merge_partial;
    answer.explanation = explain(Reason::complete, now_in);
    return answer;
  }
  const auto need = q.step == 1 ? v.complete_share : 1;
  const auto settled = now_possible <= now_in + kRounding;  // nothing more can come
  const auto late = now >= verticals.slo_end(q);
  const auto over = now >= verticals.last_end(q);
  if (enough && (settled || over || (late && v.partial_utility * now_in > v.late_utility))) {
    answer.query_end = QueryEnd::merge_partial;
    answer.explanation = explain(Reason::partial, now_in);
    return answer;
  }
  const auto least = v.min_merge_share < v.complete_share ? v.min_merge_share : need;
  if (now_possible < least - kRounding)
    return give_up(q, explain(Reason::share_unreachable, now_in, now_possible));
  if (over || (late && v.late_utility <= 0)) return give_up(q, explain(Reason::deadline_passed, now_in));
  return answer;
}

// What an outcome tells of the node and of the latencies.
void AdaptiveRoutingPolicy::State::learn(const Query& q, const Leaf& leaf, const Call& call, double now) {
  auto& v = of(q);
  auto& node = at(call.node);
  nodes.touch(call.node);
  const auto usual_step = verticals.usual_step(q);
  const auto age = std::max(now - call.sent_at - standstill, 0.0);
  const auto took = std::max(age - verticals.excess(leaf), age / 4);
  if (const auto sent = node.waiting.find(call.sent_at); sent != node.waiting.end()) node.waiting.erase(sent);
  if (const auto sent = v.waiting.find({call.sent_at, usual_step, call.node}); sent != v.waiting.end())
    v.waiting.erase(sent);
  if (const auto group = node.groups.find(call.batch); group != node.groups.end() && --group->second <= 0)
    node.groups.erase(group);
  if (call.outcome == Outcome::unsent) return;
  // A connection takes along all that is out on it when it breaks or brings a spoilt answer: that counts
  // once, or sound nodes are left out, and the others, with more on each connection, break the more.
  const auto spoilt = call.outcome == Outcome::malformed;
  if ((spoilt || call.outcome == Outcome::disconnected) && std::exchange(node.broke, now) == now) return;
  const auto good = call.outcome == Outcome::success;
  const auto bound = call.outcome == Outcome::cancelled || call.outcome == Outcome::timed_out;
  if (!bound) node.answered = now;
  if (bound && nodes.stray(node, call.sent_at, now)) return;
  if (good) node.served = std::max(node.served, call.sent_at);
  // A full node is strain though it answers at once: a fleet that turns most parts away would look idle.
  if (call.outcome == Outcome::overloaded) v.strain.add(now, {1, true});
  // What a suspect node holds back tells of that node, not of the others.
  if (good || (bound && !node.suspect && !nodes.lost(node))) {
    v.latencies.add(now, {took, bound});
    if (node.zone != kNone) nodes.ways[static_cast<std::size_t>(node.zone)].latencies.add(now, {took, bound});
    v.strain.add(now, {age / usual_step, bound});
  }
  if (good) {
    nodes.average.add(took);
    answered.add(now);
    node.bad_row = 0;
  } else {
    ++node.bad_row;
  }
  if (spoilt) return nodes.watch(node, now);
  const auto held = nodes.drifted(node, nodes.usual(node, now), now);
  // A quick failure counts as the time it costs, not the time it took: else the node would look fast and draw
  // all traffic. A cancelled or overdue call took at least its age.
  const auto value = good ? took : bound ? std::max(took, held) : std::max(v.is.slo_time, held);
  if (!nodes.lost(node)) nodes.cost.add(value);
  nodes.tell(call.node, value);
  nodes.learn(node, value, good, now);
}

AdaptiveRoutingPolicy::AdaptiveRoutingPolicy(const Settings& settings, std::uint64_t seed, double now)
    : s_(std::make_unique<State>(settings, seed, now)) {}
AdaptiveRoutingPolicy::~AdaptiveRoutingPolicy() = default;

Decision AdaptiveRoutingPolicy::route(Query& q, double now) {
  auto& s = *s_;
  s.wake(now);
  s.judged.entries.clear();
  if (!q.admitted) s.admission.date(q, s.of(q), s.standstill, now);
  auto answer = s.ending(q, now);
  if (answer.query_end == QueryEnd::merge_complete || answer.query_end == QueryEnd::merge_partial ||
      (answer.query_end != QueryEnd::none && q.admitted)) {
    const auto bound = answer.query_end == QueryEnd::reject || answer.query_end == QueryEnd::abort;
    if (bound || q.step == 2 || s.verticals.steps(q) == 1)
      s.of(q).query_times.add(now, {now - q.received_at, bound});
  }
  if (answer.query_end != QueryEnd::none || q.parts_expected > 0) return answer;
  if (!q.admitted) {
    const auto refused = q.forced_rejection != Reason::none
                             ? explain(q.forced_rejection)
                             : s.admission.refuse(q, s.verticals, s.nodes, s.chance, now);
    if (refused.reason != Reason::none) return s.give_up(q, refused);
  }
  if (!q.admitted)
    for (const auto& leaf : q.leaves)
      if (leaf.work_hint > 0) s.relative_work.hinted(q.vertical, leaf.work_hint);
  q.admitted = true;
  for (std::size_t i = 0; i < q.leaves.size(); ++i)
    if (!q.leaves[i].answered) s.place(q, static_cast<int>(i), answer, now);
  return answer;
}
Decision AdaptiveRoutingPolicy::on_call_ended(Query& q, int leaf_index, int call_index, double now) {
  auto& s = *s_;
  s.wake(now);
  s.judged.entries.clear();
  auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
  const auto& call = leaf.calls[static_cast<std::size_t>(call_index)];
  s.learn(q, leaf, call, now);
  Decision answer;
  if (call.outcome != Outcome::success || leaf.answered) return answer;
  leaf.answered = true;
  if (s.is.may_cancel) cancel_pending(answer, leaf, leaf_index, Reason::race_lost, now);
  return answer;
}
double AdaptiveRoutingPolicy::time_to_next_check(const Query& q, double now) const {
  auto& s = *s_;
  auto due = s.verticals.last_end(q);
  if (now < s.verticals.slo_end(q)) due = std::min(due, s.verticals.slo_end(q));
  for (const auto& leaf : q.leaves) {
    if (leaf.answered) continue;
    const auto copy = leaf.calls.size() == 1 && s.may_copy(q) ? s.verticals.copy_at(q, leaf) : now;
    due = std::min(due, copy > now ? copy : now + std::clamp(s.of(q).delay, kSoonest, kPeriod));
  }
  return std::max(due - now, 1e-3);
}
void AdaptiveRoutingPolicy::on_requests_received(int requests, double now) {
  s_->taken.add(now, requests);
}
// Only what discovery says ends the asking: taken for it, the list known last led to drained nodes.
void AdaptiveRoutingPolicy::update_nodes(std::span<const DiscoveredNode> hosts, bool complete, bool told) {
  s_->nodes.list(hosts, complete);
  if (told) s_->ask_after = kNever;
}
void AdaptiveRoutingPolicy::remove_node(int node) {
  s_->nodes.forget(node);
}
void AdaptiveRoutingPolicy::on_node_list_failed(double now) {
  // Many routers that were turned away together must not come back together.
  s_->ask_after = now + kListAgain * std::uniform_real_distribution<>(0.5, 1.5)(s_->chance);
}
bool AdaptiveRoutingPolicy::tick(double now) {
  auto& s = *s_;
  s.wake(now);
  if (s.standstill > 0) return false;
  s.verticals.estimate(now, s.ticked, s.nodes);
  // Under strain answers tell of the wait at the nodes, not of their work.
  if (s.verticals.strain < kCalm)
    for (std::size_t i = 0; i < s.verticals.all.size(); ++i)
      if (const auto quick = s.verticals.all[i].quick; quick > 0)
        s.relative_work.answered(static_cast<int>(i), quick);
  s.nodes.compare_ways(now, s.ticked);
  s.ticked = now;
  s.nodes.tick(now);
  // Where routers refuse, nodes answer less than they could: cold nodes stood idle beside full ones.
  const auto rate = s.nodes.up > 0 ? s.answered.recent(now) / kWindow / s.nodes.up : 0;
  s.nodes.cold.node_rate = std::max(rate, s.nodes.cold.node_rate * std::exp(-kPeriod / kCapacityDrift));
  const auto ask = s.is.must_request_node_list && now >= s.ask_after;
  if (ask) s.ask_after = now + kListPatience;
  return ask;
}
double AdaptiveRoutingPolicy::tick_interval() const {
  return kPeriod;
}
std::vector<PeerReport> AdaptiveRoutingPolicy::take_peer_reports() {
  return std::exchange(s_->nodes.words, {});
}
void AdaptiveRoutingPolicy::on_peer_report(PeerReport word, double now) {
  s_->nodes.hear(word, now);
}
void AdaptiveRoutingPolicy::set_site_shares(std::span<const SiteShare> sites) {
  s_->nodes.believe(sites);
}
void AdaptiveRoutingPolicy::enable_trace(bool on) {
  s_->judged.enabled = on;
  s_->judged.entries.reserve(kMaxTraceEntries);
}
std::span<const DecisionTraceEntry> AdaptiveRoutingPolicy::trace() const {
  return s_->judged.entries;
}
long long AdaptiveRoutingPolicy::dropped_trace_entries() const {
  return s_->judged.dropped;
}
NodeHealth AdaptiveRoutingPolicy::node_health(int number, double now) const {
  const auto& nodes = s_->nodes;
  if (static_cast<std::size_t>(number) >= nodes.all.size()) return NodeHealth::unknown;
  const auto& node = nodes.all[static_cast<std::size_t>(number)];
  if (node.suspect)
    return nodes.shunned(node, now) && node.waiting.empty() ? NodeHealth::suspect : NodeHealth::probing;
  if (nodes.cold.is(node, now)) return NodeHealth::slow_start;
  return node.latency > 0 ? NodeHealth::healthy : NodeHealth::unknown;
}
}  // namespace yoketurn
