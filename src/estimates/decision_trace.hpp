// A bounded trace of one decision: the nodes that were passed over and the parts that wait, each with the
// reason. It has no influence on decisions.
#pragma once

#include <vector>

#include "routing_policy.hpp"

namespace yoketurn::policy {

struct DecisionTrace {
  bool enabled = false;
  std::vector<DecisionTraceEntry> entries;
  long long dropped = 0;  // entries there was no room for

  void add(int leaf, int node, Explanation explanation) {
    if (!enabled) return;
    entries.size() < kMaxTraceEntries ? entries.push_back({leaf, node, kNone, explanation}) : void(++dropped);
  }
  // Sets the node that was chosen, and its score, in all entries from this index on.
  void set_chosen(std::size_t from, int chosen, double best) {
    for (auto i = from; i < entries.size(); ++i) {
      entries[i].chosen_node = chosen;
      if (entries[i].explanation.reason == Reason::worse_score)
        entries[i].explanation.b = static_cast<float>(best);
    }
  }
};

}  // namespace yoketurn::policy
