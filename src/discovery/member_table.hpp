// The list of data nodes as it stands: whole lists replace it, changes are applied to it. A change costs the
// same whatever the number of nodes.
#pragma once

#include <cstddef>
#include <string>
#include <unordered_map>

#include "discovery/list.hpp"

namespace yoketurn {

class MemberTable {
 public:
  void apply(const MemberList& list);
  // No entry is gone, and none stands twice; in no particular order.
  const MemberList& list() const { return list_; }

 private:
  void put(const Member& member);
  void remove(const std::string& id);

  MemberList list_;
  std::unordered_map<std::string, std::size_t> places_;  // in list_.members, by id
};

}  // namespace yoketurn
