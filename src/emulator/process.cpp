#include "emulator/process.hpp"

#include <algorithm>
#include <cmath>

#include "days/terms.hpp"

namespace yoketurn::emulator {

namespace {
constexpr double kStarts = 0.15;  // from its start until it answers
constexpr double kLittle = 1e-9;  // by which a due time has come for sure
}  // namespace

Process::Process(Engine& engine, const Settings& settings, int number, std::uint64_t seed, bool plan,
                 const World& world)
    : engine_(engine), settings_(settings), number_(number), seed_(seed), plan_(plan), world_(world) {}

// --- the process

void Process::start() {
  ++life_;
  due_ = {};
  const auto seed = mixed(seed_ + life_);
  auto decisions = world_.decide(seed);
  if (!decisions) decisions = std::make_unique<AdaptiveRoutingPolicy>(settings_, seed, now());
  QueryActions& actions = *this;
  queries_ = std::make_unique<Queries>(std::move(decisions), settings_, seed, due_, actions);
  queries_->sites().set_enabled(plan_);
  ready_ = stopped_ = ending_ = false;
  armed_ = -1;
  if (const auto known = list(true); !known.empty()) queries_->update_nodes(known, true, now(), false);
  engine_.after(kStarts, [this, life = life_] {
    if (life != life_ || !alive()) return;
    take([this] {
      ready_ = true;
      if (const auto told = list(false); !told.empty()) queries_->update_nodes(told, true, now());
    });
  });
  // Processes that begin together do not tick together.
  engine_.after(queries_->tick_interval() * static_cast<double>(seed % 1000) / 1e3,
                [this, life = life_, chain = ++ticks_] {
                  if (life == life_) tick(chain);
                });
}

void Process::kill() {
  ++life_;
  queries_.reset();
  ready_ = stopped_ = ending_ = false;
  inbox_.clear();
  news_.clear();
  held_.clear();
  by_request_.clear();
  parts_ = 0;
}

void Process::term() {
  ending_ = true;
}

void Process::stop() {
  stopped_ = alive();
}

void Process::resume() {
  if (!stopped_) return;
  stopped_ = false;
  for (const auto& what : std::exchange(inbox_, {})) what();
  tick(++ticks_);
}

void Process::take(std::function<void()> what) {
  if (!alive()) return;
  if (stopped_) return inbox_.push_back(std::move(what));
  what();
  turn();
}

void Process::tick(int chain) {
  if (!alive() || stopped_ || chain != ticks_) return;
  queries_->tick(now());
  turn();
  engine_.after(queries_->tick_interval(), [this, life = life_, chain] {
    if (life == life_) tick(chain);
  });
}

// All that has come in is told to the queries, and what they want is done; what that brings at once, too.
void Process::turn() {
  queries_->process_changes(now());
  while (!news_.empty()) {
    for (const auto& news : std::exchange(news_, {}))
      queries_->on_outcome(news.query, news.leaf, news.call, news.outcome, 0, now());
    queries_->process_changes(now());
  }
  for (const auto& news : queries_->sites().take_changes()) world_.believes(*this, news);
  arm();
}

void Process::arm() {
  const auto next = due_.next_due();
  if (!std::isfinite(next) || (armed_ >= 0 && armed_ <= next + 1e-9)) return;
  armed_ = next;
  engine_.at(next - kZero + kLittle, [this, next, life = life_] {
    if (life != life_ || armed_ != next) return;
    armed_ = -1;
    if (!stopped_) turn();
  });
}

// --- what comes in

void Process::ask(const Request& request) {
  take([this, request] {
    const auto query = ++last_;
    auto& held = held_[query];
    held.request = request.id;
    held.shards = request.shards;
    held.in.resize(request.shards.size());
    by_request_[request.id] = query;
    parts_ += request.shards.size() + 1;
    Query q;
    q.vertical = request.vertical;
    q.deadline = now() + request.left;
    q.work_hint = request.work * static_cast<double>(request.shards.size());
    if (parts_ > days::kMostOpen) q.forced_rejection = Reason::too_many_pending;
    queries_->add_query(query, std::move(q), now());
    for (const auto shard : request.shards)
      queries_->add_part(
          query, {shard, 1.0 / static_cast<double>(request.shards.size()), request.work, 1, false, {}},
          now());
  });
}

void Process::gone(long long request) {
  take([this, request] {
    if (const auto at = by_request_.find(request); at != by_request_.end()) queries_->abandon(at->second);
  });
}

void Process::told(std::vector<DiscoveredNode> hosts, bool complete) {
  take([this, hosts = std::move(hosts), complete] {
    if (ready_) queries_->update_nodes(hosts, complete, now());
  });
}

// Takes a call off those that are out.
bool Process::drop(long long query, int leaf, int call, FlightRef& flight) {
  const auto held = held_.find(query);
  if (held == held_.end()) return false;
  auto& out = held->second.out;
  for (auto& part : out)
    if (part.leaf == leaf && part.call == call) {
      flight = part.flight;
      due_.cancel(part.due);
      if (part.by != 0) due_.cancel(part.by);
      part = out.back();
      out.pop_back();
      return true;
    }
  return false;
}

void Process::ended(long long query, int leaf, int call, Outcome outcome) {
  take([this, query, leaf, call, outcome] {
    FlightRef flight;
    if (!drop(query, leaf, call, flight)) return;
    auto& held = held_.at(query);
    if (outcome == Outcome::success) held.in[static_cast<std::size_t>(leaf)] = true;
    queries_->on_outcome(query, leaf, call, outcome, 0, now());
  });
}

// As the router's pool does: what has not left in its time never will.
void Process::withdraw(long long query, int leaf, int call) {
  const auto held = held_.find(query);
  if (held == held_.end()) return;
  const auto part = std::find_if(held->second.out.begin(), held->second.out.end(),
                                 [&](const Part& p) { return p.leaf == leaf && p.call == call; });
  if (part == held->second.out.end() || !world_.unsent(part->flight)) return;
  FlightRef flight;
  drop(query, leaf, call, flight);
  news_.push_back({query, leaf, call, Outcome::unsent});
}

void Process::timed_out(long long query, int leaf, int call) {
  FlightRef flight;
  if (!drop(query, leaf, call, flight)) return;
  const auto gone = world_.give_up(flight);
  news_.push_back({query, leaf, call, gone ? Outcome::timed_out : Outcome::unreachable});
}

// --- what the queries want

void Process::send(long long query, const Send& send, int call) {
  auto& held = held_.at(query);
  const auto flight = world_.send(*this, held.request, send, send.leaf, call);
  const auto due = due_.new_key();
  held.out.push_back({send.leaf, call, flight, due, 0});
  if (send.max_send_delay < send.timeout) {
    held.out.back().by = due_.new_key();
    due_.schedule(held.out.back().by, now() + send.max_send_delay,
                  [this, query, leaf = send.leaf, call](double) { withdraw(query, leaf, call); });
  }
  due_.schedule(due, now() + send.timeout,
                [this, query, leaf = send.leaf, call](double) { timed_out(query, leaf, call); });
}

void Process::cancel(long long query, const Cancel& cancel) {
  FlightRef flight;
  if (!drop(query, cancel.leaf, cancel.call, flight)) return;
  const auto gone = world_.give_up(flight);
  news_.push_back({query, cancel.leaf, cancel.call, gone ? Outcome::cancelled : Outcome::unsent});
}

void Process::answer(long long query, int status, double retry_after, const Explanation& why, bool whole) {
  auto& held = held_.at(query);
  if (std::exchange(held.answered, true)) return;
  std::vector<int> shards;
  if (status == 200)
    for (std::size_t i = 0; i < held.shards.size(); ++i)
      if (held.in[i]) shards.push_back(held.shards[i]);
  world_.answer(*this, held.request, status, retry_after, why, whole, shards);
  for (std::size_t i = held.out.size(); i-- > 0;) {
    const auto part = held.out[i];
    if (!world_.unsent(part.flight)) continue;
    due_.cancel(part.due);
    if (part.by != 0) due_.cancel(part.by);
    held.out[i] = held.out.back();
    held.out.pop_back();
    news_.push_back({query, part.leaf, part.call, Outcome::unsent});
  }
}

void Process::merge(long long query, bool whole) {
  answer(query, 200, 0, {}, whole);
}

void Process::reject(long long query, double stay_away, const Explanation& why) {
  answer(query, 503, stay_away, why, false);
}

void Process::abort(long long query, const Explanation& why) {
  answer(query, 500, 0, why, false);
}

void Process::release(long long query) {
  const auto at = held_.find(query);
  if (at == held_.end()) return;
  parts_ -= std::min(parts_, at->second.shards.size() + 1);
  by_request_.erase(at->second.request);
  held_.erase(at);
}

void Process::on_call_ended(int, const Call& call) {
  world_.settled(*this, call);
}

}  // namespace yoketurn::emulator
