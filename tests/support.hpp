// A module with its queries in hand, without wire or bench.
#pragma once

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "brain.hpp"

namespace yoketurn::test {

// Three nodes, each holding every shard; a repeatable, a deduplicated and a side-effecting vertical, SLO time
// 1 s.
inline Settings settings() {
  Settings s;
  for (const auto effect : {Effect::repeatable, Effect::deduplicated, Effect::side_effecting}) {
    Vertical v;
    v.slo_time = 1;
    v.late_utility = 0.5;
    v.effect = effect;
    v.dedup_window = 2;
    s.verticals.push_back(v);
  }
  s.zone = 0;
  s.timer_resolution = 0.005;
  s.max_calls = 3;
  s.may_copy = s.may_cancel = true;
  s.max_retry_after = 0.5;
  s.cell_count = s.cells_per_shard = 3;
  s.start_capacity = 0.25;
  s.slow_start_time = 10;
  s.overload_multiple = 2;
  s.overload_time = 1;
  return s;
}

class Rig {
 public:
  explicit Rig(const Settings& s = settings(), int nodes = 3) : brain(s, 7, now) {
    for (int i = 0; i < nodes; ++i) hosts.push_back({i, 0, i % s.cell_count, true, 0});
    brain.update_nodes(hosts, true);
  }

  Query query(int vertical, int parts, double time = 4) {
    Query q;
    q.vertical = vertical;
    q.received_at = now;
    q.deadline = now + time;
    for (int i = 0; i < parts; ++i) q.leaves.push_back({i, 1.0 / parts, 0, 1, false, {}});
    brain.on_requests_received(parts + 1, now);
    return q;
  }

  Decision route(Query& q) {
    auto answer = brain.route(q, now);
    for (const auto& send : answer.sends)
      leaf(q, send.leaf).calls.push_back({send.node, send.batch, now, Outcome::pending});
    if (answer.query_end != QueryEnd::none) q.ended = true;
    return answer;
  }

  Decision settle(Query& q, int index, Outcome outcome, int call = -1) {
    auto& calls = leaf(q, index).calls;
    const auto at = call < 0 ? calls.size() - 1 : static_cast<std::size_t>(call);
    calls[at].outcome = outcome;
    return brain.on_call_ended(q, index, static_cast<int>(at), now);
  }

  // Queries of one part, each answered after so long; returns the sends each node had.
  std::vector<int> serve(int many, double took, int vertical = 0) {
    std::vector<int> sent(hosts.size(), 0);
    for (int i = 0; i < many; ++i) {
      auto q = query(vertical, 1);
      const auto answer = route(q);
      if (answer.sends.empty()) continue;
      ++sent[static_cast<std::size_t>(answer.sends[0].node)];
      pass(took);
      settle(q, 0, Outcome::success);
    }
    return sent;
  }

  void pass(double seconds) {
    for (const auto end = now + seconds; now < end - 1e-9;) {
      now = std::min(end, now + brain.tick_interval());
      brain.tick(now);
    }
  }

  static Leaf& leaf(Query& q, int index) { return q.leaves[static_cast<std::size_t>(index)]; }

  double now = 1000;
  AdaptiveRoutingPolicy brain;
  std::vector<DiscoveredNode> hosts;
};

}  // namespace yoketurn::test
