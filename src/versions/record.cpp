#include "versions/record.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

namespace yoketurn {

namespace json = boost::json;

namespace {

std::string quoted(std::string_view text) {
  return json::serialize(json::value(json::string_view(text.data(), text.size())));
}

// The next five return a default if the field is absent or of another type.
double number(const json::object& o, std::string_view field, double absent = 0) {
  const auto* v = o.if_contains(field);
  boost::system::error_code error;
  const auto value = v == nullptr ? absent : v->to_number<double>(error);
  return error ? absent : value;
}
template <class Integer>
Integer integer(const json::object& o, std::string_view field) {
  const auto* v = o.if_contains(field);
  boost::system::error_code error;
  const auto value = v == nullptr ? Integer{} : v->to_number<Integer>(error);
  return error ? Integer{} : value;
}
std::string text(const json::object& o, std::string_view field) {
  const auto* v = o.if_contains(field);
  return v != nullptr && v->is_string() ? std::string(v->get_string()) : "";
}
bool flag(const json::object& o, std::string_view field) {
  const auto* v = o.if_contains(field);
  return v != nullptr && v->is_bool() && v->get_bool();
}
std::uint64_t hash_of(const json::object& o, std::string_view field) {
  const auto shown = text(o, field);
  std::uint64_t hash = 0;
  std::from_chars(shown.data(), shown.data() + shown.size(), hash, 16);
  return hash;
}

VersionReport parse_report(const json::object& o) {
  VersionReport report;
  report.router = text(o, "router");
  report.site = text(o, "site");
  report.unix_time = number(o, "unix");
  report.process_started_at = number(o, "began");
  report.serving = flag(o, "serving");
  for (std::size_t i = 0; i < static_cast<std::size_t>(Participation::last); ++i)
    if (name(static_cast<Participation>(i)) == text(o, "taking"))
      report.participation = static_cast<Participation>(i);
  report.participation_since = number(o, "taking_since");
  report.participation_reason = text(o, "taking_why");
  report.order_term = integer<long long>(o, "term");
  report.order_number = integer<long long>(o, "number");
  report.order_verdict = text(o, "verdict");
  report.site_lost = flag(o, "site_lost");
  report.oldest_interval = integer<std::uint64_t>(o, "oldest");
  report.open_interval = integer<std::uint64_t>(o, "open");
  report.dropped_until = number(o, "gap_until");
  for (std::size_t i = 0; i < kVersionedInputCount; ++i) {
    const auto* v = o.if_contains(name(static_cast<VersionedInput>(i)));
    if (v == nullptr || !v->is_object()) continue;
    const auto& version = v->get_object();
    report.versions[i] = {integer<long long>(version, "count"),
                          integer<int>(version, "epoch"),
                          hash_of(version, "hash"),
                          text(version, "source"),
                          number(version, "told"),
                          number(version, "acted")};
  }
  if (const auto* all = o.if_contains("doubts"); all != nullptr && all->is_array())
    for (const auto& one : all->get_array())
      if (one.is_object())
        report.suspicions.push_back({text(one.get_object(), "kind"), number(one.get_object(), "since"),
                                     number(one.get_object(), "evidence"), text(one.get_object(), "node")});
  return report;
}

ReportedInterval parse_interval(const json::object& o) {
  ReportedInterval reported;
  auto& interval = reported.interval;
  interval.number = integer<std::uint64_t>(o, "interval");
  interval.started_at = number(o, "from");
  interval.ended_at = number(o, "to");
  for (std::size_t k = 0; k < kVersionedInputCount; ++k) {
    const auto input = name(static_cast<VersionedInput>(k));
    if (input == text(o, "changed")) interval.changed_input = static_cast<VersionedInput>(k);
    if (const auto* v = o.if_contains(input); v != nullptr && v->is_object())
      interval.versions[k] = {integer<long long>(v->get_object(), "count"),
                              integer<int>(v->get_object(), "epoch"), hash_of(v->get_object(), "hash")};
  }
  if (const auto* v = o.if_contains("acts"); v != nullptr && v->is_object())
    for (const auto& [vertical, counts] : v->get_object()) {
      reported.verticals.emplace_back(vertical);
      auto& actions = interval.actions.emplace_back();
      if (!counts.is_object()) continue;
      for (std::size_t k = 0; k < kRouterActionCount; ++k)
        actions[k] = integer<std::uint32_t>(counts.get_object(), name(static_cast<RouterAction>(k)));
    }
  if (const auto* v = o.if_contains("nodes"); v != nullptr && v->is_object())
    for (const auto& [node, figures] : v->get_object()) {
      if (!figures.is_object()) continue;
      const auto& f = figures.get_object();
      interval.nodes.push_back({kNone, std::string(node), integer<std::uint32_t>(f, "sent"),
                                integer<std::uint32_t>(f, "unsent"), number(f, "first"), number(f, "last")});
    }
  return reported;
}

}  // namespace

std::string hex(std::uint64_t hash) {
  return fmt::format("{:016x}", hash);
}

std::string to_json(const VersionReport& report) {
  auto line = fmt::format(
      R"({{"router":{},"site":{},"unix":{:.6f},"began":{:.6f},"serving":{},"taking":"{}","taking_since":{:.6f},)"
      R"("taking_why":{},"term":{},"number":{},"verdict":{},"site_lost":{},"oldest":{},"open":{},"gap_until":{:.6f})",
      quoted(report.router), quoted(report.site), report.unix_time, report.process_started_at, report.serving,
      name(report.participation), report.participation_since, quoted(report.participation_reason),
      report.order_term, report.order_number, quoted(report.order_verdict), report.site_lost,
      report.oldest_interval, report.open_interval, report.dropped_until);
  for (std::size_t i = 0; i < kVersionedInputCount; ++i) {
    const auto& v = report.versions[i];
    line +=
        fmt::format(R"(,"{}":{{"count":{},"epoch":{},"hash":"{}","source":{},"told":{:.6f},"acted":{:.6f}}})",
                    name(static_cast<VersionedInput>(i)), v.count, v.epoch, hex(v.hash), quoted(v.source),
                    v.received_at, v.applied_at);
  }
  line += R"(,"doubts":[)";
  for (std::size_t i = 0; i < report.suspicions.size(); ++i) {
    const auto& d = report.suspicions[i];
    line += fmt::format(R"({}{{"kind":{},"since":{:.6f},"evidence":{:.6g},"node":{}}})", i > 0 ? "," : "",
                        quoted(d.kind), d.since, d.evidence, quoted(d.node));
  }
  return line + "]}";
}

std::string to_json(const Interval& interval, double unix_time_at_zero,
                    const std::vector<std::string>& verticals) {
  auto line = fmt::format(R"({{"interval":{},"changed":"{}","from":{:.6f},"to":{:.6f})", interval.number,
                          name(interval.changed_input), interval.started_at + unix_time_at_zero,
                          interval.ended_at > 0 ? interval.ended_at + unix_time_at_zero : 0);
  for (std::size_t k = 0; k < kVersionedInputCount; ++k)
    line +=
        fmt::format(R"(,"{}":{{"count":{},"epoch":{},"hash":"{}"}})", name(static_cast<VersionedInput>(k)),
                    interval.versions[k].count, interval.versions[k].epoch, hex(interval.versions[k].hash));
  line += R"(,"acts":{)";
  for (std::size_t v = 0; v < interval.actions.size() && v < verticals.size(); ++v) {
    line += fmt::format("{}{}:{{", v > 0 ? "," : "", quoted(verticals[v]));
    auto first = true;
    for (std::size_t k = 0; k < kRouterActionCount; ++k)
      if (interval.actions[v][k] > 0) {
        line += fmt::format(R"({}"{}":{})", first ? "" : ",", name(static_cast<RouterAction>(k)),
                            interval.actions[v][k]);
        first = false;
      }
    line += "}";
  }
  line += R"(},"nodes":{)";
  for (std::size_t n = 0; n < interval.nodes.size(); ++n) {
    const auto& calls = interval.nodes[n];
    line += fmt::format(R"({}{}:{{"sent":{},"unsent":{},"first":{:.6f},"last":{:.6f}}})", n > 0 ? "," : "",
                        quoted(calls.name), calls.sent, calls.unsent,
                        calls.sent > 0 ? calls.first_sent_at + unix_time_at_zero : 0,
                        calls.sent > 0 ? calls.last_sent_at + unix_time_at_zero : 0);
  }
  return line + "}}";
}

VersionsLine parse_versions_line(std::string_view line) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(line.data(), line.size()), error);
  if (error || !value.is_object()) return {};
  const auto& o = value.get_object();
  if (o.contains("interval")) return parse_interval(o);
  if (o.contains("router") && o.contains("taking")) return parse_report(o);
  return {};
}

}  // namespace yoketurn
