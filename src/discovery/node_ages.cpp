#include "discovery/node_ages.hpp"

namespace yoketurn {

double NodeAges::age(double by_wall_clock, double now) const {
  if (by_wall_clock < 0) return 0;
  if (last_word_ > 0)
    return by_wall_clock <= now - last_word_ + kMaxAnnouncementDelaySeconds ? by_wall_clock : 0;
  const auto may_be_a_step =
      by_wall_clock >= slow_start_ && by_wall_clock < kMaxClockStepSeconds + slow_start_;
  return may_be_a_step ? 0 : by_wall_clock;
}

double NodeAges::started_at(const std::string& id, WallTime started, double now, WallTime wall_now) {
  if (started == WallTime{}) return 0;
  const auto [at, is_new] = known_.try_emplace(id);
  auto& known = at->second;
  known.listed = true;
  if (is_new || known.started != started) {
    known.started = started;
    known.born = now - age(span(started, wall_now), now);
  }
  return known.born;
}

void NodeAges::node_removed(const std::string& id) {
  const auto at = known_.find(id);
  if (at == known_.end()) return;
  at->second.listed = false;
  left_.push_back(id);
  if (left_.size() <= kMaxRemovedNodes) return;
  if (const auto first = known_.find(left_.front()); first != known_.end() && !first->second.listed)
    known_.erase(first);
  left_.pop_front();
}

}  // namespace yoketurn
