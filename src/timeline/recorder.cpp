#include "timeline/recorder.hpp"

#include <cmath>

namespace yoketurn {

Recorder::Recorder(const Timeline::Budget& budget, const AnomalyLimits& limits, bool departures,
                   int verticals, double now, double unix_at_zero)
    : timeline_(budget, now, unix_at_zero), anomaly_detector_(limits, verticals, now), departs_(departures) {}

Recorder::Node& Recorder::at(int node) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= nodes_.size()) nodes_.resize(i + 1);
  return nodes_[i];
}

std::uint32_t Recorder::line_of(int node) const {
  return node >= 0 && static_cast<std::size_t>(node) < nodes_.size()
             ? nodes_[static_cast<std::size_t>(node)].line
             : kNoLine;
}

std::string Recorder::name_of(int node) const {
  if (node == kWholeFleet) return "fleet";
  return static_cast<std::size_t>(node) < nodes_.size() ? nodes_[static_cast<std::size_t>(node)].name : "?";
}

Event Recorder::event(What what, std::uint32_t line, std::uint8_t why, double now) const {
  Event e;
  e.at = now;
  e.line = line;
  e.what = what;
  e.why = why;
  return e;
}

void Recorder::on_decision(long long query, const Query& q, const Decision& answer,
                           std::span<const DecisionTraceEntry> judged, double now) {
  const auto of = [&](What what, std::uint32_t line, const Explanation& why, int leaf) {
    auto e = event(what, line, static_cast<std::uint8_t>(why.reason), now);
    e.vertical = static_cast<std::int16_t>(q.vertical);
    e.query = static_cast<std::uint32_t>(query);
    e.leaf = static_cast<std::uint16_t>(leaf);
    e.a = why.a;
    e.b = why.b;
    e.c = why.c;
    return e;
  };
  for (const auto& judge : judged) {
    if (judge.node == kNone) {
      if (judge.explanation.reason == Reason::within_hedge_delay)
        continue;  // looked at each tenth of a second: no choice
      timeline_.record(of(What::waits, kLoop, judge.explanation, judge.leaf));
      continue;
    }
    auto e = of(What::passed, line_of(judge.node), judge.explanation, judge.leaf);
    e.other = line_of(judge.chosen_node);
    timeline_.record(e);
  }
  for (const auto& cancel : answer.cancels) {
    const auto& call =
        q.leaves[static_cast<std::size_t>(cancel.leaf)].calls[static_cast<std::size_t>(cancel.call)];
    auto e = of(What::cancelled, line_of(call.node), cancel.explanation, cancel.leaf);
    e.call = static_cast<std::uint16_t>(cancel.call);
    timeline_.record(e);
  }
  for (const auto& send : answer.sends) {
    auto e = of(What::sent, line_of(send.node), send.explanation, send.leaf);
    e.call = static_cast<std::uint16_t>(q.leaves[static_cast<std::size_t>(send.leaf)].calls.size());
    e.other = kNoLine;
    for (const auto& judge : judged)
      if (judge.leaf == send.leaf && judge.explanation.reason == Reason::worse_score &&
          judge.explanation.a <= send.explanation.b)
        e.other = line_of(judge.node);
    timeline_.record(e);
    if (departs_ && line_of(send.node) != kNoLine) anomaly_detector_.on_call_sent(send.node, q.vertical, now);
  }
  if (answer.query_end == QueryEnd::none) return;
  auto e = of(What::ended, kLoop, answer.explanation, 0);
  e.call = static_cast<std::uint16_t>(answer.query_end);
  timeline_.record(e);
}

void Recorder::on_outcome(long long query, const Query& q, int leaf, int call, double now) {
  const auto& made = q.leaves[static_cast<std::size_t>(leaf)].calls[static_cast<std::size_t>(call)];
  auto e = event(What::outcome, line_of(made.node), static_cast<std::uint8_t>(made.outcome), now);
  e.vertical = static_cast<std::int16_t>(q.vertical);
  e.query = static_cast<std::uint32_t>(query);
  e.leaf = static_cast<std::uint16_t>(leaf);
  e.call = static_cast<std::uint16_t>(call);
  e.a = static_cast<float>(now - made.sent_at);
  timeline_.record(e);
  if (departs_ && e.line != kNoLine)
    anomaly_detector_.on_call_ended(made.node, q.vertical, made.outcome, made.sent_at, now);
}

void Recorder::listed(int number, const std::string& name, const std::string& address, bool up, double born,
                      long long version, double now) {
  auto& node = at(number);
  const auto fresh = node.line == kNoLine || node.name != name;
  if (fresh) {
    node = {};
    node.name = name;
    node.line = timeline_.open(name, address, now);
    timeline_.record(event(What::known, node.line, 0, now));
  } else if (node.born != born) {
    timeline_.record(event(What::known, node.line, 0, now));  // a new process
  }
  node.born = born;
  if (departs_ && node.line != kNoLine) {
    anomaly_detector_.add_node(number, born, now);
    anomaly_detector_.set_node_up(number, up, now);
  }
  if (node.told == (up ? 1 : 0)) return;
  node.told = up ? 1 : 0;
  auto e = event(up ? What::ready : What::draining, node.line, 0, now);
  e.a = static_cast<float>(version);
  timeline_.record(e);
}

void Recorder::left(int number, long long version, double now) {
  auto& node = at(number);
  node.told = 0;
  auto e = event(What::gone, node.line, 0, now);
  e.a = static_cast<float>(version);
  timeline_.record(e);
  if (departs_ && node.line != kNoLine) anomaly_detector_.set_node_up(number, false, now);
}

void Recorder::forgotten(int number, double now) {
  auto& node = at(number);
  if (departs_ && node.line != kNoLine) anomaly_detector_.remove_node(number, now);
  timeline_.close(node.line, now);
  node = {};
}

void Recorder::believed(int number, NodeHealth belief, double now) {
  auto& node = at(number);
  if (node.belief == belief) return;
  node.belief = belief;
  timeline_.record(event(What::belief, node.line, static_cast<std::uint8_t>(belief), now));
}

void Recorder::load_asked(int node, double now) {
  if (departs_ && line_of(node) != kNoLine) anomaly_detector_.on_load_request(node, now);
}

void Recorder::load_answered(int node, double now) {
  if (departs_ && line_of(node) != kNoLine) anomaly_detector_.on_load_response(node, now);
}

void Recorder::reported(int number, double in_flight, double queue, double measured, Report kind,
                        double now) {
  auto& node = at(number);
  auto e = event(What::report, node.line, static_cast<std::uint8_t>(kind), now);
  if (kind == Report::unreadable) return timeline_.record(e);
  const auto older = measured < node.measured - 1e-6;
  const auto changed = in_flight != node.in_flight || queue != node.queue;
  if (older) e.why = static_cast<std::uint8_t>(Report::older);
  if (!older && !changed) e.why = static_cast<std::uint8_t>(Report::repeated);
  e.a = static_cast<float>(in_flight);
  e.b = static_cast<float>(queue);
  e.c = static_cast<float>(now - measured);
  timeline_.record(e);
  if (older) return;
  node.in_flight = in_flight;
  node.queue = queue;
  node.measured = measured;
  if (departs_ && node.line != kNoLine) anomaly_detector_.on_load_report(number, measured, changed, now);
}

void Recorder::opened(int node, double took, double now) {
  auto e = event(What::opened, line_of(node), 0, now);
  e.a = static_cast<float>(took);
  timeline_.record(e);
}

void Recorder::closed(int node, Closing why, double now) {
  timeline_.record(event(What::closed, line_of(node), static_cast<std::uint8_t>(why), now));
  const auto trouble = why == Closing::refused || why == Closing::timed_out || why == Closing::broken ||
                       why == Closing::spoilt;
  if (!departs_ || line_of(node) == kNoLine) return;
  anomaly_detector_.on_load_connection_closed(node, now);
  if (trouble) anomaly_detector_.on_connection_error(node, now);
}

void Recorder::taken(long long query, std::string_view id, int vertical, double now) {
  auto e = event(What::taken, kLoop, 0, now);
  e.vertical = static_cast<std::int16_t>(vertical);
  e.query = static_cast<std::uint32_t>(query);
  e.set_id(id_of(id));
  timeline_.record(e);
}

void Recorder::door(What what, std::uint8_t why, int connection, std::uint32_t address, double a, double b,
                    double now) {
  auto e = event(what, kDoor, why, now);
  e.query = static_cast<std::uint32_t>(connection);
  e.other = address;
  e.a = static_cast<float>(a);
  e.b = static_cast<float>(b);
  timeline_.record(e);
}

void Recorder::site(const std::string& name, const SiteHealthChange& news) {
  const auto [line, fresh] = sites_.try_emplace(name, kNoLine);
  if (fresh) line->second = timeline_.open("site:" + name, "", news.changed_at);
  if (line->second == kNoLine) return;
  auto e = event(What::site, line->second, static_cast<std::uint8_t>(news.current), news.changed_at);
  e.a = static_cast<float>(news.evidence);
  e.b = static_cast<float>(news.load_share);
  e.c = static_cast<float>(news.failing_nodes);
  e.leaf = static_cast<std::uint16_t>(news.node_count);
  e.call = static_cast<std::uint16_t>(news.refused_nodes);
  e.query = news.evacuation_held_back ? 1 : 0;
  timeline_.record(e);
}

void Recorder::version(VersionedInput subject, const Version& version, std::uint64_t interval, double now) {
  auto e = event(What::version, kLoop, static_cast<std::uint8_t>(subject), now);
  e.set_wide(static_cast<double>(version.count));
  e.set_id(version.hash);
  e.c = static_cast<float>(version.epoch);
  e.query = static_cast<std::uint32_t>(interval);
  timeline_.record(e);
}

void Recorder::loop(What what, std::uint8_t why, double a, double b, double now) {
  auto e = event(what, kLoop, why, now);
  e.a = static_cast<float>(a);
  e.b = static_cast<float>(b);
  timeline_.record(e);
  if (departs_ && what == What::stood_still) anomaly_detector_.on_router_stall(a, now);
}

std::vector<AnomalyEvent> Recorder::tick(double now, double unix_at_zero) {
  timeline_.tick(now, unix_at_zero);
  if (!departs_) return {};
  auto news = anomaly_detector_.tick(now);
  for (const auto& one : news) {
    auto e =
        event(one.ended ? What::returned : What::departed,
              one.node == kWholeFleet ? kLoop : line_of(one.node), static_cast<std::uint8_t>(one.kind), now);
    e.vertical = static_cast<std::int16_t>(one.vertical);
    e.a = static_cast<float>(one.evidence);
    e.b = static_cast<float>(one.baseline);
    e.c = static_cast<float>(now - one.started_at);
    timeline_.record(e);
  }
  return news;
}

}  // namespace yoketurn
