// The numbers by which a router refers to data nodes, whose ids are text. Nodes are continually replaced by
// others with new ids; without reuse of their numbers, tables and the work on them would grow without bound.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing_policy.hpp"

namespace yoketurn {

class NodeNumbers {
 public:
  static constexpr std::size_t kMaxNodes = 20'000;
  using NumberById = std::unordered_map<std::string, int>;

  int find(const std::string& id) const;  // kNone: the node has no number
  // The number of the node, a new one if it has none. kNone: kMaxNodes have numbers.
  int assign(const std::string& id);
  // The node is no longer listed; it keeps its number until that is released. Returns false if it was marked
  // already. The node must have a number.
  bool mark_removed(const std::string& id);
  void mark_listed(const std::string& id) { removed_.erase(id); }
  // Releases the numbers of removed nodes for which release(id, number) returns true, to be reused.
  template <class Release>
  void release_removed(Release release) {
    std::erase_if(removed_, [&](const auto& removed) {
      if (!release(removed.first, removed.second)) return false;
      free_.push_back(removed.second);
      numbers_.erase(removed.first);
      return true;
    });
  }

  const NumberById& all() const { return numbers_; }  // removed nodes included
  std::size_t size() const { return numbers_.size(); }

 private:
  NumberById numbers_;
  NumberById removed_;     // no longer listed
  std::vector<int> free_;  // released
};

}  // namespace yoketurn
