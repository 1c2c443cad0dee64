// The current list of data nodes. Full lists replace it and changes are applied to it. The cost of a change
// doesn't depend on the number of nodes.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "discovery/list.hpp"

namespace yoketurn {

class MemberTable {
 public:
  void apply(const MemberList& list);
  // The members in no particular order: each once, none of them removed.
  const MemberList& list() const { return list_; }

 private:
  void insert_or_replace(const Member& member);
  void remove(const std::string& id);

  MemberList list_;
  std::unordered_map<std::string, std::size_t> index_by_id_;  // into list_.members
};

}  // namespace yoketurn
