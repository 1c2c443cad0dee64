// What was passed over for one answer and why, in a bounded list: an account of choices, which steers none.
#pragma once

#include <vector>

#include "brain.hpp"

namespace yoketurn::policy {

struct DecisionTrace {
  bool enabled = false;
  std::vector<DecisionTraceEntry> entries;
  long long dropped = 0;  // for want of room

  void add(int leaf, int node, Explanation why) {
    if (!enabled) return;
    entries.size() < kMaxTraceEntries ? entries.push_back({leaf, node, kNone, why}) : void(++dropped);
  }
  // All from there on were passed over for this node, at this score.
  void set_chosen(std::size_t from, int chosen, double best) {
    for (auto i = from; i < entries.size(); ++i) {
      entries[i].chosen_node = chosen;
      if (entries[i].explanation.reason == Reason::worse_score)
        entries[i].explanation.b = static_cast<float>(best);
    }
  }
};

}  // namespace yoketurn::policy
