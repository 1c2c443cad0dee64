#include "discovery/node_ages.hpp"

namespace yoketurn {

double NodeAges::plausible_age(double wall_clock_age, double now) const {
  if (wall_clock_age < 0) return 0;
  if (last_discovery_contact_ > 0) {
    const auto max_age = now - last_discovery_contact_ + kMaxAnnouncementDelaySeconds;
    return wall_clock_age <= max_age ? wall_clock_age : 0;
  }
  const auto may_be_a_step =
      wall_clock_age >= slow_start_seconds_ && wall_clock_age < kMaxClockStepSeconds + slow_start_seconds_;
  return may_be_a_step ? 0 : wall_clock_age;
}

double NodeAges::started_at(const std::string& id, WallTime wall_started_at, double now, WallTime wall_now) {
  if (wall_started_at == WallTime{}) return 0;
  const auto [entry, is_new] = known_.try_emplace(id);
  auto& node = entry->second;
  node.listed = true;
  if (is_new || node.wall_started_at != wall_started_at) {
    node.wall_started_at = wall_started_at;
    node.started_at = now - plausible_age(seconds_between(wall_started_at, wall_now), now);
  }
  return node.started_at;
}

void NodeAges::node_removed(const std::string& id) {
  const auto entry = known_.find(id);
  if (entry == known_.end()) return;
  entry->second.listed = false;
  removed_ids_.push_back(id);
  if (removed_ids_.size() <= kMaxRemovedNodes) return;
  if (const auto oldest = known_.find(removed_ids_.front()); oldest != known_.end() && !oldest->second.listed)
    known_.erase(oldest);
  removed_ids_.pop_front();
}

}  // namespace yoketurn
