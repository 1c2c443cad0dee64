// Ids of queries that ended without an answer to their clients after parts of them were sent: these parts may
// have run, or may run yet. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace yoketurn {

// Holds the latest ids, as hashes, up to a bound.
class UnansweredIds {
 public:
  explicit UnansweredIds(std::size_t max_ids) : max_ids_(max_ids) {}

  void add(std::uint64_t id) {
    if (!ids_.insert(id).second) return;
    by_age_.push_back(id);
    if (by_age_.size() <= max_ids_) return;
    ids_.erase(by_age_.front());
    by_age_.pop_front();
  }
  bool contains(std::uint64_t id) const { return ids_.contains(id); }
  std::size_t size() const { return ids_.size(); }

 private:
  std::size_t max_ids_;
  std::unordered_set<std::uint64_t> ids_;
  std::deque<std::uint64_t> by_age_;
};

}  // namespace yoketurn
