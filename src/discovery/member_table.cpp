#include "discovery/member_table.hpp"

#include <utility>

namespace yoketurn {

void MemberTable::apply(const MemberList& list) {
  if (list.full) {
    list_.members.clear();
    index_by_id_.clear();
  }
  list_.version = list.version;
  for (const auto& member : list.members) member.removed ? remove(member.id) : insert_or_replace(member);
}

void MemberTable::insert_or_replace(const Member& member) {
  const auto [entry, is_new] = index_by_id_.try_emplace(member.id, list_.members.size());
  if (is_new) {
    list_.members.push_back(member);
  } else {
    list_.members[entry->second] = member;
  }
}

// The last member takes the place of the removed one.
void MemberTable::remove(const std::string& id) {
  const auto entry = index_by_id_.find(id);
  if (entry == index_by_id_.end()) return;
  const auto index = entry->second;
  index_by_id_.erase(entry);
  if (index + 1 != list_.members.size()) {
    list_.members[index] = std::move(list_.members.back());
    index_by_id_[list_.members[index].id] = index;
  }
  list_.members.pop_back();
}

}  // namespace yoketurn
