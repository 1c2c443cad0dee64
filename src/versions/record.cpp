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

double number(const json::object& o, std::string_view field, double absent = 0) {
  const auto* v = o.if_contains(field);
  boost::system::error_code wrong;
  const auto value = v == nullptr ? absent : v->to_number<double>(wrong);
  return wrong ? absent : value;
}
template <class Whole>
Whole whole(const json::object& o, std::string_view field) {
  const auto* v = o.if_contains(field);
  boost::system::error_code wrong;
  const auto value = v == nullptr ? Whole{} : v->to_number<Whole>(wrong);
  return wrong ? Whole{} : value;
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

Stand read_stand(const json::object& o) {
  Stand s;
  s.router = text(o, "router");
  s.site = text(o, "site");
  s.unix = number(o, "unix");
  s.began = number(o, "began");
  s.serving = flag(o, "serving");
  for (std::size_t i = 0; i < static_cast<std::size_t>(Taking::last); ++i)
    if (name(static_cast<Taking>(i)) == text(o, "taking")) s.taking = static_cast<Taking>(i);
  s.taking_since = number(o, "taking_since");
  s.taking_why = text(o, "taking_why");
  s.term = whole<long long>(o, "term");
  s.number = whole<long long>(o, "number");
  s.verdict = text(o, "verdict");
  s.site_lost = flag(o, "site_lost");
  s.oldest = whole<std::uint64_t>(o, "oldest");
  s.open = whole<std::uint64_t>(o, "open");
  s.gap_until = number(o, "gap_until");
  for (std::size_t i = 0; i < kSubjects; ++i) {
    const auto* v = o.if_contains(name(static_cast<Subject>(i)));
    if (v == nullptr || !v->is_object()) continue;
    const auto& told = v->get_object();
    s.by[i] = {whole<long long>(told, "count"),
               whole<int>(told, "epoch"),
               hash_of(told, "hash"),
               text(told, "source"),
               number(told, "told"),
               number(told, "acted")};
  }
  if (const auto* all = o.if_contains("doubts"); all != nullptr && all->is_array())
    for (const auto& one : all->get_array())
      if (one.is_object())
        s.doubts.push_back({text(one.get_object(), "kind"), number(one.get_object(), "since"),
                            number(one.get_object(), "evidence"), text(one.get_object(), "node")});
  return s;
}

ToldInterval read_interval(const json::object& o) {
  ToldInterval told;
  auto& i = told.interval;
  i.number = whole<std::uint64_t>(o, "interval");
  i.from = number(o, "from");
  i.to = number(o, "to");
  for (std::size_t k = 0; k < kSubjects; ++k) {
    const auto subject = name(static_cast<Subject>(k));
    if (subject == text(o, "changed")) i.changed = static_cast<Subject>(k);
    if (const auto* v = o.if_contains(subject); v != nullptr && v->is_object())
      i.by[k] = {whole<long long>(v->get_object(), "count"), whole<int>(v->get_object(), "epoch"),
                 hash_of(v->get_object(), "hash")};
  }
  if (const auto* v = o.if_contains("acts"); v != nullptr && v->is_object())
    for (const auto& [vertical, counts] : v->get_object()) {
      told.verticals.emplace_back(vertical);
      auto& acts = i.acts.emplace_back();
      if (!counts.is_object()) continue;
      for (std::size_t k = 0; k < kActs; ++k)
        acts[k] = whole<std::uint32_t>(counts.get_object(), name(static_cast<Act>(k)));
    }
  if (const auto* v = o.if_contains("nodes"); v != nullptr && v->is_object())
    for (const auto& [node, figures] : v->get_object()) {
      if (!figures.is_object()) continue;
      const auto& f = figures.get_object();
      i.nodes.push_back({kNone, std::string(node), whole<std::uint32_t>(f, "sent"),
                         whole<std::uint32_t>(f, "unsent"), number(f, "first"), number(f, "last")});
    }
  return told;
}

}  // namespace

std::string hex(std::uint64_t hash) {
  return fmt::format("{:016x}", hash);
}

std::string to_json(const Stand& s) {
  auto line = fmt::format(
      R"({{"router":{},"site":{},"unix":{:.6f},"began":{:.6f},"serving":{},"taking":"{}","taking_since":{:.6f},)"
      R"("taking_why":{},"term":{},"number":{},"verdict":{},"site_lost":{},"oldest":{},"open":{},"gap_until":{:.6f})",
      quoted(s.router), quoted(s.site), s.unix, s.began, s.serving, name(s.taking), s.taking_since,
      quoted(s.taking_why), s.term, s.number, quoted(s.verdict), s.site_lost, s.oldest, s.open, s.gap_until);
  for (std::size_t i = 0; i < kSubjects; ++i) {
    const auto& v = s.by[i];
    line += fmt::format(
        R"(,"{}":{{"count":{},"epoch":{},"hash":"{}","source":{},"told":{:.6f},"acted":{:.6f}}})",
        name(static_cast<Subject>(i)), v.count, v.epoch, hex(v.hash), quoted(v.source), v.told, v.acted);
  }
  line += R"(,"doubts":[)";
  for (std::size_t i = 0; i < s.doubts.size(); ++i) {
    const auto& d = s.doubts[i];
    line += fmt::format(R"({}{{"kind":{},"since":{:.6f},"evidence":{:.6g},"node":{}}})", i > 0 ? "," : "",
                        quoted(d.kind), d.since, d.evidence, quoted(d.node));
  }
  return line + "]}";
}

std::string to_json(const Interval& i, double unix_at_zero, const std::vector<std::string>& verticals) {
  auto line = fmt::format(R"({{"interval":{},"changed":"{}","from":{:.6f},"to":{:.6f})", i.number,
                          name(i.changed), i.from + unix_at_zero, i.to > 0 ? i.to + unix_at_zero : 0);
  for (std::size_t k = 0; k < kSubjects; ++k)
    line += fmt::format(R"(,"{}":{{"count":{},"epoch":{},"hash":"{}"}})", name(static_cast<Subject>(k)),
                        i.by[k].count, i.by[k].epoch, hex(i.by[k].hash));
  line += R"(,"acts":{)";
  for (std::size_t v = 0; v < i.acts.size() && v < verticals.size(); ++v) {
    line += fmt::format("{}{}:{{", v > 0 ? "," : "", quoted(verticals[v]));
    auto first = true;
    for (std::size_t k = 0; k < kActs; ++k)
      if (i.acts[v][k] > 0) {
        line += fmt::format(R"({}"{}":{})", first ? "" : ",", name(static_cast<Act>(k)), i.acts[v][k]);
        first = false;
      }
    line += "}";
  }
  line += R"(},"nodes":{)";
  for (std::size_t n = 0; n < i.nodes.size(); ++n) {
    const auto& a = i.nodes[n];
    line += fmt::format(R"({}{}:{{"sent":{},"unsent":{},"first":{:.6f},"last":{:.6f}}})", n > 0 ? "," : "",
                        quoted(a.name), a.sent, a.unsent, a.sent > 0 ? a.first + unix_at_zero : 0,
                        a.sent > 0 ? a.last + unix_at_zero : 0);
  }
  return line + "}}";
}

Told versions_from_json(std::string_view line) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(line.data(), line.size()), error);
  if (error || !value.is_object()) return {};
  const auto& o = value.get_object();
  if (o.contains("interval")) return read_interval(o);
  if (o.contains("router") && o.contains("taking")) return read_stand(o);
  return {};
}

}  // namespace yoketurn
