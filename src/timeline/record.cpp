#include "timeline/record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <ctime>
#include <map>

namespace yoketurn {

namespace json = boost::json;

namespace {

constexpr double kAround = 5;  // seconds on both sides of a moment

std::string quoted(std::string_view text) {
  return json::serialize(json::value(json::string_view(text.data(), text.size())));
}

std::string figure(double value) {
  return std::isfinite(value) ? fmt::format("{:.6g}", value) : "null";
}

std::string ms(double seconds) {
  if (!std::isfinite(seconds)) return "none";
  return std::abs(seconds) < 1 ? fmt::format("{:.1f} ms", seconds * 1e3) : fmt::format("{:.2f} s", seconds);
}

std::string address(std::uint32_t ip) {
  return fmt::format("{}.{}.{}.{}", ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255);
}

bool has_part(What what) {
  return what == What::sent || what == What::passed || what == What::cancelled || what == What::outcome ||
         what == What::waits;
}

}  // namespace

std::string to_json(const Record& record) {
  const auto& e = record.event;
  auto text = fmt::format(R"({{"at":{:.6f},"unix":{:.6f},"line":{},"what":"{}")", e.at, record.unix,
                          quoted(record.line), name(e.what));
  if (const auto why = why_name(e.what, e.why); !why.empty()) text += fmt::format(R"(,"why":"{}")", why);
  if (e.vertical != kNone) text += fmt::format(R"(,"vertical":{})", e.vertical);
  if (e.query != 0 || has_part(e.what)) text += fmt::format(R"(,"query":{})", e.query);
  if (has_part(e.what) || e.what == What::ended)
    text += fmt::format(R"(,"leaf":{},"call":{})", e.leaf, e.call);
  if (e.what == What::taken || e.what == What::version) text += fmt::format(R"(,"id":"{:016x}")", e.id());
  if (e.what != What::taken) {
    if (!record.other.empty())
      text += fmt::format(R"(,"other":{})", quoted(record.other));
    else if (e.line == kDoor && e.other != 0)
      text += fmt::format(R"(,"address":"{}")", address(e.other));
    if (e.what == What::clock || e.what == What::version)
      text += fmt::format(R"(,"wide":{:.6f},"c":{})", e.wide(), figure(e.c));
    else
      text += fmt::format(R"(,"a":{},"b":{},"c":{})", figure(e.a), figure(e.b), figure(e.c));
  }
  return text + "}";
}

std::optional<Record> record_from_json(std::string_view line) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(line.data(), line.size()), error);
  if (error || !value.is_object()) return std::nullopt;
  const auto& o = value.get_object();
  const auto number = [&](const char* field, double absent) {
    const auto* v = o.if_contains(field);
    if (v == nullptr) return absent;
    if (v->is_null()) return std::numeric_limits<double>::infinity();
    boost::system::error_code wrong;
    const auto result = v->to_number<double>(wrong);
    return wrong ? absent : result;
  };
  const auto text = [&](const char* field) -> std::string {
    const auto* v = o.if_contains(field);
    return v != nullptr && v->is_string() ? std::string(v->get_string()) : "";
  };
  const auto what = what_named(text("what"));
  if (!what || !o.contains("unix")) return std::nullopt;
  Record r;
  r.unix = number("unix", 0);
  r.line = text("line");
  r.other = text("other");
  auto& e = r.event;
  e.what = *what;
  e.at = number("at", 0);
  e.line = r.line == "door" ? kDoor : r.line == "loop" ? kLoop : kLoop + 1;
  if (const auto why = why_named(*what, text("why"))) e.why = *why;
  e.vertical = static_cast<std::int16_t>(number("vertical", kNone));
  e.query = static_cast<std::uint32_t>(number("query", 0));
  e.leaf = static_cast<std::uint16_t>(number("leaf", 0));
  e.call = static_cast<std::uint16_t>(number("call", 0));
  e.a = static_cast<float>(number("a", 0));
  e.b = static_cast<float>(number("b", 0));
  e.c = static_cast<float>(number("c", 0));
  if (e.what == What::clock || e.what == What::version) e.set_wide(number("wide", 0));
  if (const auto id = text("id"); !id.empty()) {
    std::uint64_t hash = 0;
    std::from_chars(id.data(), id.data() + id.size(), hash, 16);
    e.set_id(hash);
  } else if (const auto from = text("address"); !from.empty()) {
    unsigned a = 0, b = 0, c = 0, d = 0;
    if (std::sscanf(from.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d) == 4)
      e.other = a << 24 | b << 16 | c << 8 | d;
  }
  return r;
}

std::string to_json(const Timeline& timeline, const Summary& s) {
  const auto* line = timeline.line(s.line);
  const auto from = timeline.unix_at(timeline.start() + s.start);
  auto text = fmt::format(
      R"({{"summary":{},"unix":{:.3f},"line":{},"sent":{},"copied":{},"resent":{},"passed":{},"troubles":{},)"
      R"("out":{},"reported":{},"p50":{},"p95":{},"slowest":{})",
      s.span, from, quoted(line != nullptr ? line->name : "?"), s.sent, s.copied, s.resent, s.passed,
      s.troubles, s.most_out, s.most_reported, figure(s.quantile(0.5)), figure(s.quantile(0.95)),
      figure(s.slowest));
  for (std::size_t i = 1; i < s.outcomes.size(); ++i)
    if (s.outcomes[i] > 0)
      text +=
          fmt::format(R"(,"{}":{})", why_name(What::outcome, static_cast<std::uint8_t>(i)), s.outcomes[i]);
  return text + "}";
}

std::string to_json(const Timeline::Line& line, const Timeline& timeline, double now) {
  const auto report = line.report_heard > 0 ? fmt::format(R"({{"in_flight":{},"queue":{},"age":{:.3f}}})",
                                                          figure(line.reported), figure(line.queued),
                                                          now - line.report_heard + line.report_age)
                                            : "null";
  return fmt::format(
      R"({{"node":{},"address":{},"since":"{}","until":{},"state":"{}","told":"{}","belief":"{}","sent":{},"out":{},)"
      R"("oldest":{:.3f},"report":{}}})",
      quoted(line.name), quoted(line.address), iso(timeline.unix_at(line.opened)),
      line.closed > 0 ? quoted(iso(timeline.unix_at(line.closed))) : "null", name(line.state),
      iso(timeline.unix_at(line.told)), why_name(What::belief, line.belief), line.sent, line.outs.size(),
      line.oldest(now), report);
}

Record record_of(const Timeline& timeline, const Event& event) {
  Record r;
  r.unix = timeline.unix_at(event.at);
  r.event = event;
  const auto* line = timeline.line(event.line);
  r.line = line != nullptr ? line->name : fmt::format("#{}", event.line);
  if ((event.what == What::sent || event.what == What::passed) && event.other != kNoLine)
    if (const auto* other = timeline.line(event.other)) r.other = other->name;
  return r;
}

std::string iso(double unix) {
  const auto whole = static_cast<std::time_t>(std::floor(unix));
  std::tm parts{};
  gmtime_r(&whole, &parts);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  return fmt::format("{}.{:03d}Z", text, static_cast<int>((unix - std::floor(unix)) * 1e3));
}

std::optional<double> from_iso(std::string_view text) {
  std::tm parts{};
  const std::string held(text);
  const char* rest = strptime(held.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest == nullptr) return std::nullopt;
  auto unix = static_cast<double>(timegm(&parts));
  if (*rest == '.') {
    double share = 0;
    const auto [end, error] = std::from_chars(rest, held.c_str() + held.size(), share);
    if (error != std::errc{}) return std::nullopt;
    unix += share;
    rest = end;
  }
  if (*rest == 'Z') ++rest;
  return *rest == 0 ? std::optional(unix) : std::nullopt;
}

std::optional<Span> span_of(std::string_view text, double now) {
  if (text.empty()) return Span{0, std::numeric_limits<double>::infinity()};
  if (text.starts_with("last ")) {
    double value = 0;
    const auto rest = text.substr(5);
    const auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), value);
    const std::string_view unit(end, static_cast<std::size_t>(rest.data() + rest.size() - end));
    const auto worth = unit == "s" ? 1 : unit == "m" ? 60 : unit == "h" ? 3600 : unit == "d" ? 86400 : 0;
    if (error != std::errc{} || worth == 0 || value <= 0) return std::nullopt;
    return Span{now - value * worth, now};
  }
  if (const auto dots = text.find(".."); dots != std::string_view::npos) {
    const auto from = from_iso(text.substr(0, dots)), to = from_iso(text.substr(dots + 2));
    if (!from || !to || *from > *to) return std::nullopt;
    return Span{*from, *to};
  }
  const auto at = from_iso(text);
  return at ? std::optional(Span{*at - kAround, *at + kAround}) : std::nullopt;
}

std::string sentence(const Record& r) {
  const auto& e = r.event;
  const auto why = why_name(e.what, e.why);
  const auto part = fmt::format("query {} part {}", e.query, e.leaf);
  const auto vertical = e.vertical == kNone ? std::string() : fmt::format(" of vertical {}", e.vertical);
  switch (e.what) {
    case What::known:
      return "its line begins: a new node or a new process";
    case What::ready:
    case What::draining:
    case What::gone:
      return fmt::format("told {} (list version {:.0f})", name(e.what), e.a);
    case What::belief:
      return fmt::format("believed {}", why);
    case What::report:
      return e.why == static_cast<std::uint8_t>(Report::unreadable)
                 ? "sent a load report that can't be read"
                 : fmt::format("reported in flight {:g}, queue {:g}, {} old ({})", e.a, e.b, ms(e.c), why);
    case What::sent:
      return fmt::format("chosen for {} call {} ({}): score {}{}{}, hedge delay {}", part, e.call, why,
                         ms(e.a), r.other.empty() ? "" : ", next " + r.other,
                         std::isfinite(e.b) ? " at " + ms(e.b) : "", ms(e.c));
    case What::passed: {
      const auto instead = r.other.empty() ? ", nobody instead" : " for " + r.other;
      switch (static_cast<Reason>(e.why)) {
        case Reason::worse_score:
          return fmt::format("passed over{}: score {} to {}", instead, ms(e.a), ms(e.b));
        case Reason::suspect:
          return fmt::format("passed over{}: suspect, left alone for {}, {:g} waiting", instead, ms(e.b),
                             e.c);
        case Reason::slow_start:
          return fmt::format("passed over{}: cold, sent {:g} of {:.2f}", instead, e.a, e.b);
        case Reason::already_tried:
          return fmt::format("passed over{}: the part has been there", instead);
        case Reason::site_avoided:
          return fmt::format("passed over{}: its site was lost {} before", instead, ms(e.a));
        default:
          return fmt::format("passed over{}: {}", instead, why);
      }
    }
    case What::cancelled:
      return fmt::format("call {} of {} cancelled after {}: {}", e.call, part, ms(e.a), why);
    case What::outcome:
      return fmt::format("call {} of {}: {} after {}", e.call, part, why, ms(e.a));
    case What::opened:
      return fmt::format("connection open after {}", ms(e.a));
    case What::closed:
      return fmt::format("connection closed: {}", why);
    case What::departed:
      return fmt::format("DEPARTED{}: {}, begun {} before; evidence {:.3g}, usually {:.3g}", vertical, why,
                         ms(e.c), e.a, e.b);
    case What::returned:
      return fmt::format("RETURNED{}: {}, after {}", vertical, why, ms(e.c));
    case What::accepted:
      return fmt::format("connection {} from {} accepted ({:g} of {:g} held)", e.query, address(e.other), e.a,
                         e.b);
    case What::first_byte:
      return fmt::format("connection {} from {}: first byte after {}", e.query, address(e.other), ms(e.a));
    case What::request:
      return fmt::format("connection {} from {}: request whole after {}", e.query, address(e.other), ms(e.a));
    case What::answered:
      return fmt::format("connection {} from {}: answered {:g} after {}", e.query, address(e.other), e.a,
                         ms(e.b));
    case What::shut:
      return fmt::format("connection {} from {} closed ({}), held {}, {:g} answers", e.query,
                         address(e.other), why, ms(e.a), e.b);
    case What::door_failed:
      return fmt::format("accepting failed with {:g} connections", e.a);
    case What::started:
      return "the time line begins";
    case What::taken:
      return fmt::format("query {} taken{}", e.query, vertical);
    case What::ended: {
      static constexpr const char* kEnds[] = {"none", "merged whole", "merged in part", "rejected",
                                              "aborted"};
      return fmt::format("query {} {}: {} ({:.3g}, {:.3g}, {:.3g})", e.query, kEnds[std::min<int>(e.call, 4)],
                         why, e.a, e.b, e.c);
    }
    case What::waits:
      return fmt::format("{} waits: {} ({:.3g}, {:.3g})", part, why, e.a, e.b);
    case What::stood_still:
      return fmt::format("the router itself stood still for {}", ms(e.a));
    case What::ran_late:
      return fmt::format("the loop ran {} late", ms(e.a));
    case What::at_bound:
      return fmt::format("{} at their bound: {:g} of {:g}", why, e.a, e.b);
    case What::clock:
      return fmt::format("the common clock stands at {} when the router's own is 0", iso(e.wide()));
    case What::gap:
      return fmt::format("GAP: {:g} events before this were dropped", e.a);
    case What::site:
      return fmt::format(
          "believed {}: {:g} of {} nodes bad ({} by their connections), evidence {:.3g}, gets {:.0f}%{}", why,
          e.c, e.leaf, e.call, e.a, 100 * e.b, e.query ? "; evacuation held back" : "");
    case What::version:
      return fmt::format("acts on {} {:.0f} (epoch {:g}, content {:016x}), interval {}", why, e.wide(), e.c,
                         e.id(), e.query);
    default:
      return std::string(name(e.what));
  }
}

void tell_story(const std::vector<Record>& records, const std::function<void(const std::string&)>& say) {
  for (std::size_t i = 0; i < records.size();) {
    const auto& first = records[i];
    const auto& e = first.event;
    auto last = i;
    // Runs of choices and outcomes are folded; a state, a belief or a departure stands alone.
    const auto folds = e.what == What::sent || e.what == What::passed || e.what == What::outcome ||
                       e.what == What::report || e.line == kDoor || e.what == What::taken ||
                       e.what == What::waits;
    double least = e.a, most = e.a;
    if (folds)
      for (auto j = i + 1; j < records.size(); ++j) {
        const auto& next = records[j];
        if (next.line != first.line || next.event.what != e.what || next.event.why != e.why) break;
        least = std::min<double>(least, next.event.a);
        most = std::max<double>(most, next.event.a);
        last = j;
      }
    const auto many = last - i + 1;
    auto line = fmt::format("{}  {:<16}  {}", iso(first.unix), first.line, sentence(first));
    if (many > 1)
      line = fmt::format("{}  {:<16}  {} times {} {} until {} ({:.4g} to {:.4g})", iso(first.unix),
                         first.line, many, name(e.what), why_name(e.what, e.why),
                         iso(records[last].unix).substr(11), least, most);
    say(line);
    i = last + 1;
  }
}

void tell_query(const std::vector<Record>& records, std::string_view query,
                const std::function<void(const std::string&)>& say) {
  const auto id = id_of(query);
  std::vector<std::uint32_t> numbers;
  for (const auto& r : records)
    if (r.event.what == What::taken && r.event.id() == id) numbers.push_back(r.event.query);
  if (numbers.empty()) return say(fmt::format("no query {} in what is kept", query));
  for (const auto number : numbers) {
    std::map<int, std::vector<const Record*>> parts;
    std::vector<const Record*> own;
    for (const auto& r : records) {
      if (r.event.query != number || r.line == "door") continue;
      (has_part(r.event.what) ? parts[r.event.leaf] : own).push_back(&r);
    }
    for (const auto* r : own)
      if (r->event.what == What::taken) say(fmt::format("{}  {}", iso(r->unix), sentence(*r)));
    for (const auto& [leaf, choices] : parts) {
      say(fmt::format("part {}:", leaf));
      for (const auto* r : choices) say(fmt::format("  {}  {:<16}  {}", iso(r->unix), r->line, sentence(*r)));
    }
    double over = 0;
    for (const auto* r : own) {
      if (r->event.what != What::ended) continue;
      say(fmt::format("{}  {}", iso(r->unix), sentence(*r)));
      over = r->unix;
    }
    std::map<std::uint8_t, const Record*> versions;
    for (const auto& r : records)
      if (r.event.what == What::version && (over == 0 || r.unix <= over)) versions[r.event.why] = &r;
    for (const auto& [subject, r] : versions) say(fmt::format("  {}  since {}", sentence(*r), iso(r->unix)));
  }
}

void tell_node(const std::vector<Record>& records, const std::string& node, double at,
               const std::function<void(const std::string&)>& say) {
  const Record* state = nullptr;
  const Record* belief = nullptr;
  const Record* report = nullptr;
  std::map<std::string, int> chosen, passed;
  std::vector<Record> around;
  for (const auto& r : records) {
    if (r.line != node) continue;
    const auto what = r.event.what;
    if (r.unix <= at) {
      if (what == What::ready || what == What::draining || what == What::gone) state = &r;
      if (what == What::belief) belief = &r;
      if (what == What::report) report = &r;
    }
    if (std::abs(r.unix - at) > kAround) continue;
    around.push_back(r);
    if (what == What::sent) ++chosen[std::string(why_name(what, r.event.why))];
    if (what == What::passed)
      ++passed[std::string(why_name(what, r.event.why)) + (r.other.empty() ? "" : " for " + r.other)];
  }
  say(fmt::format("{} at {}:", node, iso(at)));
  say(state != nullptr ? fmt::format("  state: {} since {}", sentence(*state), iso(state->unix))
                       : "  state: not in what is kept");
  if (belief != nullptr) say(fmt::format("  {} since {}", sentence(*belief), iso(belief->unix)));
  if (report != nullptr)
    say(fmt::format("  {}; by then {} old", sentence(*report), ms(at - report->unix + report->event.c)));
  for (const auto& [reason, many] : chosen) say(fmt::format("  chosen {} times: {}", many, reason));
  for (const auto& [reason, many] : passed) say(fmt::format("  passed over in {} seconds: {}", many, reason));
  tell_story(around, say);
}

}  // namespace yoketurn
