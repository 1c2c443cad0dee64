// Who is told of each decision and each outcome, and why. It steers nothing.
#pragma once

#include <span>

#include "brain.hpp"

namespace yoketurn {

class QueryObserver {
 public:
  virtual ~QueryObserver() = default;
  // Before the answer is carried out; the number of a send's call is that of the calls the part has had.
  virtual void on_decision(long long query, const Query& q, const Decision& answer,
                           std::span<const DecisionTraceEntry> judged, double now) = 0;
  virtual void on_outcome(long long query, const Query& q, int leaf, int call, double now) = 0;
};

}  // namespace yoketurn
