#include "queries/queries.hpp"

#include <algorithm>

namespace yoketurn {

Queries::Queries(const Settings& settings, std::uint64_t seed, double now, TimerQueue& timers,
                 QueryActions& actions)
    : Queries(std::make_unique<AdaptiveRoutingPolicy>(settings, seed, now), settings, seed, timers, actions) {
}

Queries::Queries(std::unique_ptr<RoutingPolicy> policy, const Settings& settings, std::uint64_t seed,
                 TimerQueue& timers, QueryActions& actions)
    : policy_(std::move(policy)), sites_(settings, seed), timers_(timers), actions_(actions) {
  for (const auto& vertical : settings.verticals) second_step_parts_.push_back(vertical.second_step_parts);
}

// Called before each call of the policy, so that nothing more is sent to a site in the round that brings the
// evidence of its loss.
void Queries::apply_site_shares() {
  if (sites_.take_shares_changed()) policy_->set_site_shares(sites_.shares());
}

bool Queries::tick(double now) {
  sites_.tick(now);
  apply_site_shares();
  return policy_->tick(now);
}

void Queries::add_query(long long query, Query start, double now) {
  policy_->on_requests_received(1, now);
  auto pending = std::make_unique<PendingQuery>();
  pending->query = std::move(start);
  pending->query.received_at = now;
  pending->query.parts_expected = 1;  // until its parts are added in the same round
  mark_changed(query, *pending);
  pending_queries_[query] = std::move(pending);
}

int Queries::add_part(long long query, Leaf leaf, double now) {
  policy_->on_requests_received(1, now);
  const auto found = pending_queries_.find(query);
  if (found == pending_queries_.end() || found->second->query.ended) return kNone;
  auto& pending = *found->second;
  leaf.step = pending.query.step;
  pending.query.leaves.push_back(std::move(leaf));
  pending.scores.push_back(0);
  pending.query.parts_expected = 0;  // all parts of a step are added in one round
  mark_changed(query, pending);
  return static_cast<int>(pending.query.leaves.size()) - 1;
}

void Queries::on_outcome(long long query, int leaf, int call_index, Outcome outcome, double score,
                         double now) {
  const auto found = pending_queries_.find(query);
  if (found == pending_queries_.end()) return;
  auto& pending = *found->second;
  const auto index = static_cast<std::size_t>(leaf);
  auto& calls = pending.query.leaves[index].calls;
  if (call_index < 0 || static_cast<std::size_t>(call_index) >= calls.size()) return;
  auto& call = calls[static_cast<std::size_t>(call_index)];
  if (call.outcome != Outcome::pending) return;
  call.outcome = outcome;
  // The score is that of the answer that was used. If the outcome of the losing copy replaced it, a part of
  // the second step could go to a shard without one of the highest scores, where it fails at once.
  if (outcome == Outcome::success && !pending.query.leaves[index].answered) pending.scores[index] = score;
  --pending.pending_calls;
  actions_.on_call_ended(pending.query.vertical, call);
  sites_.on_call_ended(call.node, call.sent_at, outcome, now);
  apply_site_shares();
  if (observer_ != nullptr) observer_->on_outcome(query, pending.query, leaf, call_index, now);
  carry_out(query, pending, policy_->on_call_ended(pending.query, leaf, call_index, now), now);
  mark_changed(query, pending);
}

void Queries::drop_value(long long query, int leaf) {
  const auto found = pending_queries_.find(query);
  if (found == pending_queries_.end() || found->second->query.ended) return;
  auto& part = found->second->query.leaves[static_cast<std::size_t>(leaf)];
  part.answered = false;
  part.dropped = true;
  mark_changed(query, *found->second);
}

void Queries::abandon(long long query) {
  if (const auto found = pending_queries_.find(query); found != pending_queries_.end())
    end_query(query, *found->second);
}

void Queries::mark_changed(long long query, PendingQuery& pending) {
  if (pending.changed) return;
  pending.changed = true;
  changed_queries_.push_back(query);
}

void Queries::carry_out(long long query, PendingQuery& pending, const Decision& decision, double now) {
  if (observer_ != nullptr) observer_->on_decision(query, pending.query, decision, policy_->trace(), now);
  for (const auto& cancel : decision.cancels) actions_.cancel(query, cancel);
  for (const auto& send : decision.sends) {
    auto& calls = pending.query.leaves[static_cast<std::size_t>(send.leaf)].calls;
    calls.push_back({send.node, send.batch, now, Outcome::pending});
    ++pending.pending_calls;
    sites_.on_call_sent(send.node, now);
    actions_.send(query, send, static_cast<int>(calls.size()) - 1);
  }
  if (decision.query_end != QueryEnd::none) finish_step(query, pending, decision);
}

void Queries::finish_step(long long query, PendingQuery& pending, const Decision& decision) {
  auto& q = pending.query;
  if (decision.query_end == QueryEnd::reject) {
    actions_.reject(query, decision.retry_after, decision.explanation);
  } else if (decision.query_end == QueryEnd::abort) {
    actions_.abort(query, decision.explanation);
  } else {
    const auto second_step_parts = second_step_parts_[static_cast<std::size_t>(q.vertical)];
    const auto first_of_two = second_step_parts > 0 && q.step == 1;
    if (first_of_two) {
      const auto answered =
          std::count_if(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) { return leaf.answered; });
      q.step = 2;
      q.first_step_complete = decision.query_end == QueryEnd::merge_complete;
      q.parts_expected = std::min(second_step_parts, static_cast<int>(answered));
    }
    actions_.merge(query, decision.query_end == QueryEnd::merge_complete);
    if (first_of_two) return;
  }
  end_query(query, pending);
}

bool Queries::awaits_parts(long long query) const {
  const auto found = pending_queries_.find(query);
  return found != pending_queries_.end() && !found->second->query.ended && found->second->query.step == 2 &&
         found->second->query.parts_expected > 0;
}

std::vector<int> Queries::second_step_leaves(long long query) const {
  const auto& pending = *pending_queries_.at(query);
  std::vector<int> answered;
  for (std::size_t i = 0; i < pending.query.leaves.size(); ++i)
    if (pending.query.leaves[i].answered) answered.push_back(static_cast<int>(i));
  std::stable_sort(answered.begin(), answered.end(), [&](int a, int b) {
    return pending.scores[static_cast<std::size_t>(a)] > pending.scores[static_cast<std::size_t>(b)];
  });
  answered.resize(std::min(answered.size(), static_cast<std::size_t>(pending.query.parts_expected)));
  return answered;
}

void Queries::end_query(long long query, PendingQuery& pending) {
  pending.query.ended = true;
  timers_.cancel(query);
  mark_changed(query, pending);
}

void Queries::process_changes(double now) {
  timers_.run_due(now);
  for (std::size_t i = 0; i < changed_queries_.size(); ++i) {
    const auto query = changed_queries_[i];
    auto& pending = *pending_queries_.at(query);
    apply_site_shares();
    if (!pending.query.ended) carry_out(query, pending, policy_->route(pending.query, now), now);
    pending.changed = false;
    if (!pending.query.ended) {
      timers_.schedule(query, now + policy_->time_to_next_check(pending.query, now), [this, query](double) {
        if (const auto found = pending_queries_.find(query); found != pending_queries_.end())
          mark_changed(query, *found->second);
      });
    } else if (pending.pending_calls == 0) {
      pending_queries_.erase(query);
      actions_.release(query);
    }
  }
  changed_queries_.clear();
  if (const auto reports = policy_->take_peer_reports(); !reports.empty())
    actions_.send_peer_reports(reports);
}

}  // namespace yoketurn
