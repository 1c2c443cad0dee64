#include "wire/instance.hpp"

#include <algorithm>

namespace yoketurn::wire {
namespace {

std::map<std::string, int, std::less<>> index(const std::vector<std::string>& names) {
  std::map<std::string, int, std::less<>> result;
  for (const auto& name : names) result.emplace(name, static_cast<int>(result.size()));
  return result;
}

int look_up(const std::map<std::string, int, std::less<>>& names, std::string_view name) {
  const auto at = names.find(name);
  return at == names.end() ? kNone : at->second;
}

void append(std::string& line, long long value) {
  line += std::to_string(value);
}
void append(std::string& line, const char* text) {
  line += text;
}

}  // namespace

Instance::Instance(std::string name, std::uint64_t seed, const Pairs& setup, double now)
    : Instance(std::move(name), seed, setup, settings(setup), now) {}

Instance::Instance(std::string name, std::uint64_t seed, const Pairs& setup, const Settings& start,
                   double now)
    : name_(std::move(name)),
      brain_(start, seed, now),
      verticals_(index(names(setup, "classes"))),
      customers_(index(names(setup, "customers"))),
      zones_(index(split(required(setup, "zones"), ','))) {
  for (const auto& vertical : start.verticals) second_steps_.push_back(vertical.second_step);
}

template <class... Parts>
void Instance::say(const char* verb, Parts... parts) {
  said_ += verb;
  said_ += ' ';
  said_ += name_;
  ((said_ += ' ', append(said_, parts)), ...);
  said_ += '\n';
}

int Instance::node(long long id) {
  const auto [at, fresh] = nodes_.try_emplace(id, static_cast<int>(node_ids_.size()));
  if (fresh) node_ids_.push_back(id);
  return at->second;
}

void Instance::on_list(std::string_view kind, const std::vector<Entry>& entries, double now) {
  if (kind == "lost") return brain_.list_failed(now);
  if (kind != "incr" && kind != "total" && kind != "warm_copy")
    throw Malformed("kind: '" + std::string(kind) + "' makes no sense");
  std::vector<yoketurn::Host> hosts;
  for (const auto& entry : entries)
    hosts.push_back(
        {node(entry.node), look_up(zones_, entry.zone), entry.cell, entry.status == 'U', entry.born});
  brain_.list(hosts, kind != "incr");
}

void Instance::on_demand(Fields& fields, double now) {
  const auto id = fields.integer("xid");
  const auto vertical = look_up(verticals_, fields.word("service"));
  if (vertical == kNone) throw Malformed("service: no such vertical");
  const auto customer = look_up(customers_, fields.word("realm"));
  fields.word("object");
  const auto expires = fields.seconds("not_after_us", now);
  const auto work = fields.seconds("effort_us", 0);
  const auto ask = fields.integer("ask_no");
  const auto shard = fields.index("range_no");
  const auto measure = fields.number("measure", 0);
  const auto marks = fields.integer("marks");
  const auto hint = (marks & 1) != 0 && work > 0 ? work : 0;
  brain_.take(1, now);
  if (shard >= 0) {
    const auto at = queries_.find(ask);
    if (at != queries_.end()) take_part(*at->second, id, shard, measure, hint);
    return;
  }
  if (queries_.contains(ask)) throw Malformed("ask_no: that query is held already");
  auto held = std::make_unique<Held>();
  held->id = id;
  held->ask = ask;
  auto& q = held->query;
  q.vertical = vertical;
  q.customer = customer;
  q.taken = now;
  q.expires = expires;
  q.work = hint;
  q.client_retry = (marks & 2) != 0;
  q.awaited = 1;  // until its parts come, in the same batch
  asks_[id] = ask;
  touch(*held);
  queries_[ask] = std::move(held);
}

void Instance::take_part(Held& held, long long id, int shard, double weight, double work) {
  if (held.query.ended) return;
  leaves_[id] = {held.ask, static_cast<int>(held.ids.size())};
  held.ids.push_back(id);
  held.query.leaves.push_back({shard, weight, work, held.query.step, false, {}});
  held.query.awaited = 0;  // all parts of a step come in one batch, which is answered as a whole
  touch(held);
}

void Instance::on_response(Fields& fields, double now) {
  const auto id = fields.integer("xid");
  const auto number = fields.integer("n");
  fields.integer("node");
  const auto verdict = outcome(fields.word("verdict"));
  fields.integer("time_taken_us");
  fields.word("final");
  const auto at = leaves_.find(id);
  if (at == leaves_.end()) return;
  auto& held = *queries_.at(at->second.first);
  const auto leaf = at->second.second;
  auto& calls = held.query.leaves[static_cast<std::size_t>(leaf)].calls;
  if (number < 0 || number >= static_cast<long long>(calls.size())) return;
  auto& call = calls[static_cast<std::size_t>(number)];
  if (call.outcome != Outcome::pending) return;
  call.outcome = verdict;
  --held.pending;
  const auto answer = brain_.settle(held.query, leaf, static_cast<int>(number), now);
  perform(held, answer, now);
  touch(held);
}

void Instance::on_gone(Fields& fields) {
  const auto at = asks_.find(fields.integer("xid"));
  if (at == asks_.end()) return;
  end(*queries_.at(at->second));
}

void Instance::on_reminder(std::string_view token, double now) {
  if (token == "tick") {
    tick_set_ = false;
    if (brain_.tick(now)) say("keep_informed", 1);
  } else if (token == "due") {
    if (wake_at_ >= 0 && now >= wake_at_ - 1e-6) wake_at_ = -1;
  }
}

void Instance::touch(Held& held) {
  if (held.touched) return;
  held.touched = true;
  touched_.push_back(held.ask);
}

void Instance::schedule(Held& held, double due) {
  if (held.due >= 0) due_.erase({held.due, held.ask});
  held.due = due;
  if (due >= 0) due_.insert({due, held.ask});
}

void Instance::perform(Held& held, const Answer& answer, double now) {
  for (const auto& cancel : answer.cancels)
    say("withdraw", held.ids[static_cast<std::size_t>(cancel.leaf)], static_cast<long long>(cancel.call));
  for (const auto& send : answer.sends) {
    const auto leaf = static_cast<std::size_t>(send.leaf);
    say("place", held.ids[leaf], micros(send.timeout), node_ids_[static_cast<std::size_t>(send.node)]);
    held.query.leaves[leaf].calls.push_back({send.node, send.group, now, Outcome::pending});
    ++held.pending;
  }
  if (answer.end != End::none) finish_step(held, answer.end, answer.stay_away);
}

void Instance::finish_step(Held& held, End how, double stay_away) {
  auto& q = held.query;
  if (how == End::reject) {
    say("reject", held.id, micros(stay_away));
  } else if (how == End::abort) {
    say("respond_error", held.id);
  } else {
    say("answer", held.id, how == End::merge_whole ? 1 : 0);
    const auto second = second_steps_[static_cast<std::size_t>(q.vertical)];
    if (second > 0 && q.step == 1) {
      const auto in =
          std::count_if(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) { return leaf.in; });
      q.step = 2;
      q.first_whole = how == End::merge_whole;
      q.awaited = std::min(second, static_cast<int>(in));
      return;
    }
  }
  end(held);
}

void Instance::end(Held& held) {
  held.query.ended = true;
  schedule(held, -1);
  touch(held);
}

void Instance::set_timer(const char* token, double at, double now) {
  say("notify_me", token, std::max(micros(at - now), 1LL));
}

void Instance::finish(double now, std::string& reply) {
  while (!due_.empty() && due_.begin()->first <= now) {
    auto& held = *queries_.at(due_.begin()->second);
    schedule(held, -1);
    touch(held);
  }
  for (std::size_t i = 0; i < touched_.size(); ++i) {
    auto& held = *queries_.at(touched_[i]);
    if (!held.query.ended) perform(held, brain_.route(held.query, now), now);
    held.touched = false;
    if (!held.query.ended) {
      schedule(held, now + brain_.wait(held.query, now));
    } else if (held.pending == 0) {
      asks_.erase(held.id);
      for (const auto id : held.ids) leaves_.erase(id);
      queries_.erase(held.ask);
    }
  }
  touched_.clear();
  if (!tick_set_) set_timer("tick", now + brain_.period(), now);
  tick_set_ = true;
  if (!due_.empty() && (wake_at_ < 0 || due_.begin()->first < wake_at_ - 1e-6)) {
    wake_at_ = due_.begin()->first;
    set_timer("due", wake_at_, now);
  }
  reply += said_;
  said_.clear();
}

}  // namespace yoketurn::wire
