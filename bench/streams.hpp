// Seeded streams of what a router sees of its nodes, with troubles planted: for the tests and the
// measurements of departures. Latencies are log-normal; a part that is late by the hedge delay is cancelled
// when its copy answers.
#pragma once

#include <cmath>
#include <functional>
#include <limits>
#include <queue>
#include <random>
#include <vector>

#include "anomalies/anomaly_detector.hpp"

namespace yoketurn::streams {

enum class Trouble { none, slow, stall, swallow, fail, late_report, frozen_report };

struct Planted {
  Trouble trouble = Trouble::none;
  double severity = 0;  // slow: times; swallow, fail: share of parts; reports: seconds
  double from = 0, to = 0;
  int vertical = kNone;  // kNone: all
  std::vector<int> nodes;
};

struct Spec {
  int nodes = 8;
  int verticals = 2;
  double rate = 5;            // parts a second and node
  std::vector<double> rates;  // by node, if they differ
  double median = 0.02, sigma = 0.5;
  double hedge = 2.5;  // times the median: roughly a p95; 0: no copies, parts time out
  double time_out = 2;
  double lost = 0;     // share of answers lost on any day
  double reports = 0;  // seconds between two load reports; 0: none
  bool shuns = false;  // the router sends a silent node one part a pause
  double length = 60;
  unsigned seed = 1;
  double still_from = 0, still_for = 0;  // the router stands still
  std::vector<Planted> planted;
};

// What happens to whoever listens, in order of time.
struct Sink {
  std::function<void(int node, int vertical, double now)> sent;
  std::function<void(int node, int vertical, Outcome outcome, double sent, double now)> ended;
  std::function<void(int node, double measured, bool changed, double now)> report;
  std::function<void(double seconds, double now)> stood_still;
  std::function<void(double now)> tick;
};

inline void run(const Spec& spec, const Sink& sink) {
  struct Due {
    double at;
    long long number;
    std::function<void(double)> act;
    bool operator<(const Due& other) const { return at != other.at ? at > other.at : number > other.number; }
  };
  std::priority_queue<Due> due;
  long long number = 0;
  std::mt19937 chance(spec.seed);
  const auto uniform = [&] { return std::uniform_real_distribution<>(0, 1)(chance); };
  const auto plan = [&](double at, std::function<void(double)> act) {
    due.push({at, ++number, std::move(act)});
  };
  const auto planted = [&](int node, int vertical, double at) -> const Planted* {
    for (const auto& p : spec.planted)
      if (at >= p.from && at < p.to && (p.vertical == kNone || p.vertical == vertical) &&
          std::find(p.nodes.begin(), p.nodes.end(), node) != p.nodes.end())
        return &p;
    return nullptr;
  };
  std::vector<int> silent(static_cast<std::size_t>(spec.nodes), 0);
  std::vector<double> trial(static_cast<std::size_t>(spec.nodes), 0),
      pause(static_cast<std::size_t>(spec.nodes), 1);
  std::vector<int> out(static_cast<std::size_t>(spec.nodes), 0);
  // A router that stands still reads everything late, all at once.
  const auto seen = [&](double at) {
    return at >= spec.still_from && at < spec.still_from + spec.still_for ? spec.still_from + spec.still_for
                                                                          : at;
  };
  std::function<void(int, double)> arrive = [&](int node, double now) {
    const auto i = static_cast<std::size_t>(node);
    const auto rate = i < spec.rates.size() ? spec.rates[i] : spec.rate;
    plan(now + std::exponential_distribution<>(rate)(chance), [&, node](double at) { arrive(node, at); });
    if (now <= 0 || seen(now) != now) return;
    if (spec.shuns && silent[i] >= 2) {
      if (now < trial[i]) return;
      trial[i] = now + pause[i];
      pause[i] = std::min(2 * pause[i], 16.0);
    }
    const auto vertical = static_cast<int>(uniform() * spec.verticals);
    sink.sent(node, vertical, now);
    ++out[i];
    auto latency = spec.median * std::exp(spec.sigma * std::normal_distribution<>()(chance));
    auto outcome = Outcome::success;
    const auto* p = planted(node, vertical, now);
    if (uniform() < spec.lost) latency = std::numeric_limits<double>::infinity();
    if (p != nullptr) {
      if (p->trouble == Trouble::slow) latency *= p->severity;
      if (p->trouble == Trouble::stall) latency = p->to - now + latency;
      if (p->trouble == Trouble::swallow && uniform() < p->severity)
        latency = std::numeric_limits<double>::infinity();
      if (p->trouble == Trouble::fail && uniform() < p->severity) outcome = Outcome::failure;
    } else if (const auto* later = planted(node, vertical, now + latency);
               later != nullptr && later->trouble == Trouble::stall) {
      latency = later->to - now;
    }
    const auto copy = spec.median * std::exp(spec.sigma * std::normal_distribution<>()(chance));
    const auto most = spec.hedge > 0 ? spec.hedge * spec.median + copy : spec.time_out;
    if (latency > most) outcome = spec.hedge > 0 ? Outcome::cancelled : Outcome::timed_out;
    plan(seen(now + std::min(latency, most)), [&, node, vertical, outcome, now](double at) {
      const auto j = static_cast<std::size_t>(node);
      --out[j];
      silent[j] = outcome == Outcome::success ? 0 : silent[j] + 1;
      if (outcome == Outcome::success) pause[j] = 1;
      sink.ended(node, vertical, outcome, now, at);
    });
  };
  for (int node = 0; node < spec.nodes; ++node) arrive(node, 0);
  std::vector<std::function<void(double)>> asks(static_cast<std::size_t>(spec.nodes));
  if (spec.reports > 0) {
    for (int node = 0; node < spec.nodes; ++node) {
      const auto last = std::make_shared<int>(-1);
      asks[static_cast<std::size_t>(node)] = [&, node, last](double now) {
        if (now >= spec.length) return;
        plan(now + spec.reports, asks[static_cast<std::size_t>(node)]);
        const auto* p = planted(node, kNone, now);
        const auto late = p != nullptr && p->trouble == Trouble::late_report;
        const auto frozen = p != nullptr && p->trouble == Trouble::frozen_report;
        const auto stalled = p != nullptr && p->trouble == Trouble::stall;
        if (stalled || !sink.report) return;
        const auto held = out[static_cast<std::size_t>(node)] + static_cast<int>(uniform() * 2);
        sink.report(node, late ? now - p->severity : now, !frozen && held != *last, now);
        if (!frozen) *last = held;
      };
      plan(0.5, asks[static_cast<std::size_t>(node)]);
    }
  }
  if (spec.still_for > 0)
    plan(spec.still_from + spec.still_for, [&](double now) { sink.stood_still(spec.still_for, now); });
  std::function<void(double)> tick = [&](double now) {
    if (now > spec.length) return;
    if (seen(now) == now) sink.tick(now);
    plan(now + 0.1, tick);
  };
  plan(0.1, tick);
  while (!due.empty() && due.top().at <= spec.length) {
    const auto next = due.top();
    due.pop();
    next.act(next.at);
  }
}

// All events that the anomaly detector reports for a stream.
inline std::vector<AnomalyEvent> tell(const Spec& spec, const AnomalyLimits& limits = {}) {
  AnomalyDetector detector(limits, spec.verticals, 0);
  std::vector<AnomalyEvent> told;
  for (int node = 0; node < spec.nodes; ++node) {
    detector.add_node(node, 0, 0);
    detector.set_node_up(node, true, 0);
  }
  Sink sink;
  sink.sent = [&](int node, int vertical, double now) { detector.on_call_sent(node, vertical, now); };
  sink.ended = [&](int node, int vertical, Outcome outcome, double sent, double now) {
    detector.on_call_ended(node, vertical, outcome, sent, now);
  };
  sink.report = [&](int node, double measured, bool changed, double now) {
    detector.on_load_report(node, measured, changed, now);
  };
  sink.stood_still = [&](double seconds, double now) { detector.on_router_stall(seconds, now); };
  sink.tick = [&](double now) {
    for (const auto& news : detector.tick(now)) told.push_back(news);
  };
  run(spec, sink);
  return told;
}

}  // namespace yoketurn::streams
