#include "queries/answer_values.hpp"

#include <algorithm>

namespace yoketurn {

int AnswerValues::add(int leaf, double weight, std::size_t bytes, std::string value) {
  entries_.insert_or_assign(leaf, Entry{weight, bytes, std::move(value)});
  bytes_ += bytes;
  if (bytes_ <= max_bytes_) return kNone;
  // The new value alone frees enough, so there is always one that does.
  const auto excess = bytes_ - max_bytes_;
  const auto costs_less = [excess](const auto& a, const auto& b) {
    const auto a_frees_enough = a.second.bytes >= excess;
    const auto b_frees_enough = b.second.bytes >= excess;
    if (a_frees_enough != b_frees_enough) return a_frees_enough;
    if (a.second.weight != b.second.weight) return a.second.weight < b.second.weight;
    return a.second.bytes > b.second.bytes;
  };
  const auto dropped = std::min_element(entries_.begin(), entries_.end(), costs_less);
  const auto dropped_leaf = dropped->first;
  bytes_ -= dropped->second.bytes;
  entries_.erase(dropped);
  return dropped_leaf;
}

}  // namespace yoketurn
