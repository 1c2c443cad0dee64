#include "discovery/member_table.hpp"

#include <utility>

namespace yoketurn {

void MemberTable::apply(const MemberList& list) {
  if (list.full) {
    list_.members.clear();
    places_.clear();
  }
  list_.version = list.version;
  for (const auto& member : list.members) member.removed ? remove(member.id) : put(member);
}

void MemberTable::put(const Member& member) {
  const auto [at, is_new] = places_.try_emplace(member.id, list_.members.size());
  if (is_new) {
    list_.members.push_back(member);
  } else {
    list_.members[at->second] = member;
  }
}

void MemberTable::remove(const std::string& id) {
  const auto at = places_.find(id);
  if (at == places_.end()) return;
  const auto place = at->second;
  places_.erase(at);
  if (place + 1 != list_.members.size()) {
    list_.members[place] = std::move(list_.members.back());
    places_[list_.members[place].id] = place;
  }
  list_.members.pop_back();
}

}  // namespace yoketurn
