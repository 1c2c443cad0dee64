#include "queries/queries.hpp"

#include <algorithm>

namespace yoketurn {

Queries::Queries(const Settings& settings, std::uint64_t seed, double now, TimerQueue& due,
                 QueryActions& actions)
    : Queries(std::make_unique<AdaptiveRoutingPolicy>(settings, seed, now), settings, seed, due, actions) {}

Queries::Queries(std::unique_ptr<RoutingPolicy> decisions, const Settings& settings, std::uint64_t seed,
                 TimerQueue& due, QueryActions& actions)
    : decisions_(std::move(decisions)), sites_(settings, seed), due_(due), actions_(actions) {
  for (const auto& vertical : settings.verticals) second_steps_.push_back(vertical.second_step_parts);
}

// What is believed of sites is told before the module is asked again: the same turn that brings the evidence
// sends nothing more there.
void Queries::believe() {
  if (sites_.take_shares_changed()) decisions_->set_site_shares(sites_.shares());
}

bool Queries::tick(double now) {
  sites_.tick(now);
  believe();
  return decisions_->tick(now);
}

void Queries::add_query(long long number, Query start, double now) {
  decisions_->on_requests_received(1, now);
  auto held = std::make_unique<Held>();
  held->query = std::move(start);
  held->query.received_at = now;
  held->query.parts_expected = 1;  // until its parts come, in the same turn
  touch(number, *held);
  held_[number] = std::move(held);
}

int Queries::add_part(long long number, Leaf leaf, double now) {
  decisions_->on_requests_received(1, now);
  const auto at = held_.find(number);
  if (at == held_.end() || at->second->query.ended) return kNone;
  auto& held = *at->second;
  leaf.step = held.query.step;
  held.query.leaves.push_back(std::move(leaf));
  held.scores.push_back(0);
  held.query.parts_expected = 0;  // all parts of a step come in one turn, which is answered as a whole
  touch(number, held);
  return static_cast<int>(held.query.leaves.size()) - 1;
}

void Queries::on_outcome(long long number, int leaf, int call_number, Outcome outcome, double score,
                         double now) {
  const auto at = held_.find(number);
  if (at == held_.end()) return;
  auto& held = *at->second;
  const auto index = static_cast<std::size_t>(leaf);
  auto& calls = held.query.leaves[index].calls;
  if (call_number < 0 || static_cast<std::size_t>(call_number) >= calls.size()) return;
  auto& call = calls[static_cast<std::size_t>(call_number)];
  if (call.outcome != Outcome::pending) return;
  call.outcome = outcome;
  // The score is that of the answer that counts: the outcome of a copy that lost would put a part of the
  // second step at a shard without the highest score, where it fails at once.
  if (outcome == Outcome::success && !held.query.leaves[index].answered) held.scores[index] = score;
  --held.pending;
  actions_.on_call_ended(held.query.vertical, call);
  sites_.on_call_ended(call.node, call.sent_at, outcome, now);
  believe();
  if (witness_ != nullptr) witness_->on_outcome(number, held.query, leaf, call_number, now);
  perform(number, held, decisions_->on_call_ended(held.query, leaf, call_number, now), now);
  touch(number, held);
}

void Queries::abandon(long long number) {
  if (const auto at = held_.find(number); at != held_.end()) end(number, *at->second);
}

void Queries::touch(long long number, Held& held) {
  if (held.touched) return;
  held.touched = true;
  touched_.push_back(number);
}

void Queries::perform(long long number, Held& held, const Decision& answer, double now) {
  if (witness_ != nullptr) witness_->on_decision(number, held.query, answer, decisions_->trace(), now);
  for (const auto& cancel : answer.cancels) actions_.cancel(number, cancel);
  for (const auto& send : answer.sends) {
    auto& calls = held.query.leaves[static_cast<std::size_t>(send.leaf)].calls;
    calls.push_back({send.node, send.batch, now, Outcome::pending});
    ++held.pending;
    sites_.on_call_sent(send.node, now);
    actions_.send(number, send, static_cast<int>(calls.size()) - 1);
  }
  if (answer.query_end != QueryEnd::none) finish_step(number, held, answer);
}

void Queries::finish_step(long long number, Held& held, const Decision& answer) {
  auto& q = held.query;
  if (answer.query_end == QueryEnd::reject) {
    actions_.reject(number, answer.retry_after, answer.explanation);
  } else if (answer.query_end == QueryEnd::abort) {
    actions_.abort(number, answer.explanation);
  } else {
    const auto second = second_steps_[static_cast<std::size_t>(q.vertical)];
    const auto first_of_two = second > 0 && q.step == 1;
    if (first_of_two) {
      const auto in =
          std::count_if(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) { return leaf.answered; });
      q.step = 2;
      q.first_step_complete = answer.query_end == QueryEnd::merge_complete;
      q.parts_expected = std::min(second, static_cast<int>(in));
    }
    actions_.merge(number, answer.query_end == QueryEnd::merge_complete);
    if (first_of_two) return;
  }
  end(number, held);
}

bool Queries::awaits_parts(long long number) const {
  const auto at = held_.find(number);
  return at != held_.end() && !at->second->query.ended && at->second->query.step == 2 &&
         at->second->query.parts_expected > 0;
}

std::vector<int> Queries::second_step_leaves(long long number) const {
  const auto& held = *held_.at(number);
  std::vector<int> in;
  for (std::size_t i = 0; i < held.query.leaves.size(); ++i)
    if (held.query.leaves[i].answered) in.push_back(static_cast<int>(i));
  std::stable_sort(in.begin(), in.end(), [&](int a, int b) {
    return held.scores[static_cast<std::size_t>(a)] > held.scores[static_cast<std::size_t>(b)];
  });
  in.resize(std::min(in.size(), static_cast<std::size_t>(held.query.parts_expected)));
  return in;
}

void Queries::end(long long number, Held& held) {
  held.query.ended = true;
  due_.cancel(number);
  touch(number, held);
}

void Queries::process_changes(double now) {
  due_.run_due(now);
  for (std::size_t i = 0; i < touched_.size(); ++i) {
    const auto number = touched_[i];
    auto& held = *held_.at(number);
    believe();
    if (!held.query.ended) perform(number, held, decisions_->route(held.query, now), now);
    held.touched = false;
    if (!held.query.ended) {
      due_.schedule(number, now + decisions_->time_to_next_check(held.query, now), [this, number](double) {
        if (const auto at = held_.find(number); at != held_.end()) touch(number, *at->second);
      });
    } else if (held.pending == 0) {
      held_.erase(number);
      actions_.release(number);
    }
  }
  touched_.clear();
  if (const auto words = decisions_->take_peer_reports(); !words.empty()) actions_.send_peer_reports(words);
}

}  // namespace yoketurn
