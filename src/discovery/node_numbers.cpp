#include "discovery/node_numbers.hpp"

namespace yoketurn {

int NodeNumbers::find(const std::string& id) const {
  const auto at = numbers_.find(id);
  return at == numbers_.end() ? kNone : at->second;
}

int NodeNumbers::assign(const std::string& id) {
  if (const auto number = find(id); number != kNone) return number;
  if (numbers_.size() >= kMaxNodes) return kNone;
  auto number = static_cast<int>(numbers_.size() + free_.size());
  if (!free_.empty()) {
    number = free_.back();
    free_.pop_back();
  }
  numbers_.emplace(id, number);
  return number;
}

bool NodeNumbers::mark_removed(const std::string& id) {
  return removed_.emplace(id, numbers_.at(id)).second;
}

}  // namespace yoketurn
