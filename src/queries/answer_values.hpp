// The values of the parts that make up the answer to a query, within the largest size of an answer.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "routing_policy.hpp"

namespace yoketurn {

// Holds as many values as an answer has room for. If a new one doesn't fit, the value whose part has the
// least weight makes room, of those that free enough; that may be the new one.
class AnswerValues {
 public:
  // max_bytes: of all values together, as they are written into an answer.
  explicit AnswerValues(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // `bytes`: what the value takes in the answer. `weight`: the part's share of the answer. Returns the part
  // whose value was dropped; kNone: all fit.
  int add(int leaf, double weight, std::size_t bytes, std::string value);

  std::size_t bytes() const { return bytes_; }
  // Calls visit(leaf, value) for each value, by leaf in ascending order.
  template <class Visitor>
  void for_each(const Visitor& visit) const {
    for (const auto& [leaf, entry] : entries_) visit(leaf, entry.value);
  }

 private:
  struct Entry {
    double weight = 0;
    std::size_t bytes = 0;
    std::string value;
  };

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::map<int, Entry> entries_;  // by leaf
};

}  // namespace yoketurn
