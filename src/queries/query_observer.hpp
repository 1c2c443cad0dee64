// Observes each decision and each outcome together with its reason, without influence on either.
#pragma once

#include <span>

#include "routing_policy.hpp"

namespace yoketurn {

class QueryObserver {
 public:
  virtual ~QueryObserver() = default;
  // Called before the decision is carried out: the call of a send will have the index leaf.calls.size().
  virtual void on_decision(long long query, const Query& q, const Decision& decision,
                           std::span<const DecisionTraceEntry> trace, double now) = 0;
  virtual void on_outcome(long long query, const Query& q, int leaf, int call, double now) = 0;
};

}  // namespace yoketurn
