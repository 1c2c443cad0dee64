#include "rig/machines.hpp"

#include <algorithm>
#include <charconv>

namespace yoketurn::rig {

namespace {

constexpr double kShortestDelay = 0.0003;  // below it no timer is set
constexpr std::size_t kMostHeld = 20'000;

std::string named(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto piece = list.substr(0, list.find(','));
    list.remove_prefix(std::min(piece.size() + 1, list.size()));
    if (piece.starts_with(name) && piece.size() > name.size() && piece[name.size()] == '=')
      return std::string(piece.substr(name.size() + 1));
  }
  return {};
}

}  // namespace

void after(boost::asio::io_context& context, double seconds, std::function<void()> then) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
  timer->async_wait([timer, then = std::move(then)](const auto& error) {
    if (!error) then();
  });
}

bool Effects::repeats(const std::string& key, int shard, double window, double sent) {
  if (key.empty()) return false;
  const auto [at, fresh] = done_.try_emplace({key, shard}, sent);
  if (fresh || sent > at->second + window) {
    at->second = sent;
    return false;
  }
  return true;
}

Machine::Machine(boost::asio::io_context& context, const Day& day, int number, Effects& effects,
                 std::function<double()> clock, Note note)
    : context_(context),
      day_(day),
      number_(number),
      effects_(effects),
      clock_(std::move(clock)),
      note_(std::move(note)),
      chance_(day.seed * 7919 + static_cast<unsigned>(number)) {}

double Machine::capacity(double now) const {
  if (born_ <= 0 || day_.cold <= 0) return 1;
  return std::min(1.0, day_.start + (1 - day_.start) * (now - born_) / day_.cold);
}

void Machine::start(double born) {
  ++life_;
  up_ = true;
  born_ = born;
  draining_ = false;
  queue_.clear();
  arrivals_.clear();
  busy_ = 0;
}

void Machine::die() {
  ++life_;
  up_ = false;
  queue_.clear();
  busy_ = 0;
}

// All that arrives counts, what is turned away too.
void Machine::push(double now) {
  if (born_ <= 0 || now >= born_ + day_.cold) return;
  arrivals_.push_back(now);
  while (arrivals_.front() < now - day_.fall_for) arrivals_.pop_front();
  const auto bound = bears(day_, capacity(now));
  most_pushed_ = std::max(most_pushed_, static_cast<double>(arrivals_.size()) / bound);
  if (static_cast<double>(arrivals_.size()) <= bound) return;
  note_({.at = now, .kind = Kind::node, .node = number_, .value = capacity(now), .text = "fell"});
  die();
}

void Machine::arrive(Work work) {
  const auto now = clock_();
  if (!up_) return;
  push(now);
  if (!up_) return;
  if (draining_ || static_cast<int>(queue_.size()) >= day_.queue) {
    note_({.at = now,
           .kind = Kind::full,
           .router = work.router,
           .node = number_,
           .id = work.query,
           .shard = work.shard,
           .number = work.step,
           .text = draining_ ? "draining" : ""});
    return work.done("full", 0);
  }
  queue_.push_back(std::move(work));
  next();
}

void Machine::give_up(const std::string& id) {
  std::erase_if(queue_, [&](const Work& work) { return work.id == id; });
}

void Machine::next() {
  while (!queue_.empty() && busy_ < std::max(1, static_cast<int>(day_.cores))) {
    auto work = std::move(queue_.front());
    queue_.pop_front();
    if (clock_() > work.until) {
      note_({.at = clock_(),
             .kind = Kind::full,
             .router = work.router,
             .node = number_,
             .id = work.query,
             .shard = work.shard,
             .number = work.step,
             .text = "over"});
      work.done("full", 0);
      continue;
    }
    begin(std::move(work));
  }
}

void Machine::begin(Work work) {
  const auto now = clock_();
  ++busy_;
  double window = 0;
  for (const auto& v : day_.verticals)
    if (v.semantics == "keyed") window = std::max(window, v.window);
  const auto keyed = work.key.starts_with("k");
  const auto repeats = keyed && effects_.repeats(work.key, work.shard, window, work.sent);
  note_({.at = now,
         .kind = repeats ? Kind::repeat : Kind::ran,
         .router = work.router,
         .node = number_,
         .id = work.query,
         .shard = work.shard,
         .number = work.step,
         .text = work.key});
  const auto time = day_.service * slow / capacity(now) * draw(day_, chance_);
  after(context_, repeats ? time / 4 : time, [this, life = life_, work = std::move(work)] {
    if (life != life_) return;
    --busy_;
    note_({.at = clock_(),
           .kind = Kind::served,
           .router = work.router,
           .node = number_,
           .id = work.query,
           .shard = work.shard,
           .number = work.step});
    work.done("done", 1000 + work.shard);
    next();
  });
}

Port::Port(boost::asio::io_context& context, int router, Machine& machine, int number, unsigned seed,
           std::function<double()> clock, Machine::Note note)
    : context_(context),
      router_(router),
      machine_(machine),
      number_(number),
      chance_(seed),
      clock_(std::move(clock)),
      note_(std::move(note)),
      door_(context) {
  door_.keeps = false;
  door_.on_begin = [this](toy::Session& session) {
    ++connections_;
    session.hold(!way_.from_node);
  };
  door_.on_load = [] { return std::string("-"); };
  door_.on_part = [this](const toy::DataNode::Part& part, toy::Session& from) {
    came(part, from.shared_from_this());
  };
  door_.on_give_up = [this](const std::string& id) {
    if (way_.to_node) machine_.give_up(id);
  };
}

void Port::set(const Way& way) {
  if (way == way_) return;
  const auto before = std::exchange(way_, way);
  door_.mute(!way.to_node || !way.from_node);
  if (way.refused != before.refused) {
    door_.refuse(way.refused);
    if (way.refused) reset();
  }
  door_.each([&](toy::Session& session) { session.hold(!way.from_node); });
  if (!way.to_node) return;
  for (auto& held : std::exchange(held_, {})) held();
}

void Port::reset() {
  door_.each([](toy::Session& session) { session.reset(); });
  held_.clear();
}

void Port::came(const toy::DataNode::Part& part, const std::shared_ptr<toy::Session>& from) {
  // query.shard, and .p2 for the second step
  const auto second = part.id.ends_with(".p2");
  const auto query = part.id.substr(0, part.id.rfind('.', part.id.size() - (second ? 4 : 1)));
  note_({.at = clock_(),
         .kind = Kind::sent,
         .router = router_,
         .node = number_,
         .id = query,
         .shard = part.shard,
         .number = second ? 2 : 1,
         .text = named(part.list, "k")});
  auto pass = [this, part, weak = std::weak_ptr(from), sent = clock_()] { deliver(part, weak, sent); };
  if (!way_.to_node) {
    if (held_.size() < kMostHeld) held_.push_back(std::move(pass));
  } else if (way_.delay > kShortestDelay) {
    after(context_, way_.delay, std::move(pass));
  } else {
    pass();
  }
}

void Port::deliver(const toy::DataNode::Part& part, const std::weak_ptr<toy::Session>& from, double sent) {
  const auto session = from.lock();
  if (!session || !session->open()) return;
  const auto second = part.id.ends_with(".p2");
  const auto query = part.id.substr(0, part.id.rfind('.', part.id.size() - (second ? 4 : 1)));
  int wait = 1000;
  const auto d = named(part.list, "d");
  std::from_chars(d.data(), d.data() + d.size(), wait);
  machine_.arrive({part.id, query, named(part.list, "k"), part.shard, second ? 2 : 1, router_,
                   clock_() + wait / 1e3, sent, [this, part, from](std::string_view end, int score) {
                     if (std::uniform_real_distribution<>(0, 1)(chance_) < way_.lost) return;
                     auto say = [from, part, end = std::string(end), score] {
                       if (const auto to = from.lock(); to && to->open())
                         toy::DataNode::answer(*to, part, end, score,
                                               fmt::format("{}@{}", part.text, part.shard));
                     };
                     way_.delay > kShortestDelay ? after(context_, way_.delay, std::move(say)) : say();
                   }});
}

}  // namespace yoketurn::rig
