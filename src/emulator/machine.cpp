#include "emulator/machine.hpp"

#include <algorithm>
#include <utility>

namespace yoketurn::emulator {

Machine::Machine(Engine& engine, const days::Day& day, int number, const Told& told)
    : engine_(engine),
      day_(day),
      number_(number),
      told_(told),
      chance_(chance_of(day.seed, Stream::machine, static_cast<std::uint64_t>(number))),
      cores_(std::max(1, static_cast<int>(day.cores))) {}

double Machine::capacity(double now) const {
  if (born_ <= 0 || day_.cold <= 0) return 1;
  return std::min(1.0, day_.start + (1 - day_.start) * (now - born_) / day_.cold);
}

void Machine::start(double born) {
  die();
  up_ = true;
  born_ = born;
  draining_ = false;
  arrivals_.clear();
  arrived_work_ = 0;
}

void Machine::die() {
  ++life_;
  up_ = false;
  busy_ = 0;
  const auto lost = std::exchange(queue_, {});
  const auto begun = std::exchange(running_, {});
  for (const auto part : lost) told_.dropped(part);
  for (const auto part : begun) told_.dropped(part);
}

// All that arrives counts, what is turned away too.
void Machine::push(double work) {
  const auto now = engine_.now();
  if (born_ <= 0 || now >= born_ + day_.cold) return;
  arrivals_.push_back({now, work});
  arrived_work_ += work;
  while (arrivals_.front().at < now - day_.fall_for) {
    arrived_work_ -= arrivals_.front().work;
    arrivals_.pop_front();
  }
  const auto bound = bears(day_, capacity(now));
  most_pushed_ = std::max(most_pushed_, arrived_work_ / bound);
  if (arrived_work_ <= bound) return;
  told_.fell(number_, capacity(now));
  die();
}

void Machine::arrive(FlightRef part) {
  if (up_) push(told_.work(part));
  if (!up_) return told_.dropped(part);
  if (draining_) return told_.ended(part, End::draining);
  if (static_cast<int>(queue_.size()) >= day_.queue) return told_.ended(part, End::full);
  queue_.push_back(part);
  next();
}

void Machine::give_up(FlightRef part) {
  const auto at = std::find(queue_.begin(), queue_.end(), part);
  if (at == queue_.end()) return;
  queue_.erase(at);
  told_.dropped(part);
}

void Machine::next() {
  while (!queue_.empty() && busy_ < cores_) {
    const auto part = queue_.front();
    queue_.pop_front();
    if (engine_.now() > told_.until(part))
      told_.ended(part, End::over);
    else
      begin(part);
  }
}

void Machine::begin(FlightRef part) {
  ++busy_;
  const auto repeats = told_.begins(part);
  running_.push_back(part);
  const auto whole = day_.service * told_.work(part) * slow / capacity(engine_.now()) * draw(day_, chance_);
  const auto time = repeats ? whole / 4 : whole;
  worked_ += time;
  engine_.after(time, [this, part, life = life_] {
    if (life != life_) return;
    --busy_;
    std::erase(running_, part);
    told_.ended(part, End::done);
    next();
  });
}

}  // namespace yoketurn::emulator
