#include "fleet/tell.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <map>
#include <set>

#include "audit/stragglers.hpp"
#include "fleet/follow.hpp"
#include "timeline/record.hpp"
#include "timeline/segments.hpp"

namespace yoketurn::fleet {

namespace {

using audit::Account;

std::string quoted(std::string_view text) {
  return boost::json::serialize(boost::json::value(boost::json::string_view(text.data(), text.size())));
}

std::string list_of(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& name : names) all += (all.empty() ? "" : " ") + name;
  return all.empty() ? "-" : all;
}

std::string json_list(const std::vector<std::string>& names) {
  std::string all;
  for (const auto& name : names) all += (all.empty() ? "" : ",") + quoted(name);
  return "[" + all + "]";
}

std::string when(double unix) {
  return unix > 0 ? iso(unix) : "-";
}

double latest(const Account& account) {
  double at = 0;
  for (const auto& [name, router] : account.routers()) at = std::max({at, router.reached, router.missed});
  return at;
}

// Two times that the clocks leave in doubt have no order.
std::string after(double at, double first, double bound) {
  const auto late = at - first;
  return late > 0 && late < 2 * bound ? fmt::format("+{:.4f} s (order unknown)", late)
                                      : fmt::format("+{:.4f} s", late);
}

void say_holes(const Account& account, const std::string& router, bool as_json) {
  for (const auto& [from, to] : account.holes(router))
    if (as_json)
      fmt::print(R"({{"hole":{},"from":{:.6f},"to":{:.6f}}})"
                 "\n",
                 quoted(router), from, to);
    else
      fmt::print("{}  HOLE from {} to {}: nothing is known of it\n", router, when(from),
                 to > 0 ? when(to) : "now");
}

}  // namespace

void tell_now(const Store& store, bool as_json) {
  const auto account = store.load(false);
  const auto now = latest(account);
  audit::Stragglers stragglers({});
  const auto findings = stragglers.look(account, now);
  if (!as_json)
    fmt::print("{:<18} {:<10} {:<12} {:<10} {:>12} {:<17} {:>9}  doubts\n", "router", "site", "state",
               "taking", "list", "content", "since");
  for (const auto& f : findings) {
    const auto& router = account.routers().at(f.router);
    const auto acting = account.now_acting(f.router, VersionedInput::list);
    std::string doubts;
    Participation taking = Participation::in;
    if (router.last) {
      taking = router.last->stand.participation;
      for (const auto& d : router.last->stand.suspicions) doubts += (doubts.empty() ? "" : ", ") + d.kind;
    }
    if (as_json)
      fmt::print(
          R"({{"router":{},"site":{},"state":"{}","taking":"{}","count":{},"epoch":{},"hash":"{}","acted":{:.6f},)"
          R"("bound":{:.6f},"reached":{:.6f},"doubts":{}}})"
          "\n",
          quoted(f.router), quoted(f.site), audit::name(f.condition), name(taking),
          acting ? acting->count : 0, acting ? acting->epoch : 0, hex(acting ? acting->hash : 0),
          acting ? acting->from : 0, acting ? acting->bound : 0, router.reached, quoted(doubts));
    else
      fmt::print("{:<18} {:<10} {:<12} {:<10} {:>12} {:<17} {:>8.1f}s  {}\n", f.router, f.site,
                 audit::name(f.condition), name(taking),
                 acting ? fmt::format("{}.{}", acting->epoch, acting->count) : "unknown",
                 hex(acting ? acting->hash : 0), acting ? now - acting->from : 0,
                 doubts.empty() ? "-" : doubts);
  }
}

void tell_version(const Store& store, const std::string& version, bool as_json) {
  const auto account = store.load(false);
  auto found = 0;
  for (const auto& s : account.spreads(VersionedInput::list)) {
    if (fmt::format("{}", s.count) != version && hex(s.hash) != version) continue;
    ++found;
    if (as_json) {
      std::string acted;
      for (const auto& [at, router] : s.acted)
        acted +=
            fmt::format(R"({}{{"router":{},"at":{:.6f}}})", acted.empty() ? "" : ",", quoted(router), at);
      fmt::print(
          R"({{"count":{},"hash":"{}","first":{:.6f},"bound":{:.6f},"median":{:.6f},"p99":{:.6f},"last":{:.6f},)"
          R"("acted":[{}],"skipped":{},"behind":{},"unknown":{}}})"
          "\n",
          s.count, hex(s.hash), s.first, s.bound, s.quantile(0.5), s.quantile(0.99), s.quantile(1), acted,
          json_list(s.skipped), json_list(s.behind), json_list(s.unknown));
      continue;
    }
    fmt::print("list {}, content {}: first acted on {}, clocks within {:.4f} s\n", s.count, hex(s.hash),
               when(s.first), s.bound);
    fmt::print("  {} routers; median +{:.4f} s, p99 +{:.4f} s, last +{:.4f} s\n", s.acted.size(),
               s.quantile(0.5), s.quantile(0.99), s.quantile(1));
    for (const auto& [at, router] : s.acted) fmt::print("  {:<18} {}\n", router, after(at, s.first, s.bound));
    fmt::print("  skipped it: {}\n  still before it: {}\n  not known: {}\n", list_of(s.skipped),
               list_of(s.behind), list_of(s.unknown));
  }
  if (found == 0) throw std::runtime_error("no router acted on list " + version + ", as far as is kept");
}

void tell_router(const Store& store, const std::string& name_of, bool as_json) {
  const auto account = store.load(true);
  const auto at = account.routers().find(name_of);
  if (at == account.routers().end()) throw std::runtime_error("nothing is kept of router " + name_of);
  struct Line {
    double at;
    std::string text;
  };
  std::vector<Line> lines;
  for (const auto& [began, life] : at->second.lives) {
    lines.push_back(
        {began - life.offset, fmt::format("a process begins; clocks within {:.4f} s", life.bound)});
    for (const auto& [number, i] : life.intervals) {
      const auto& by = i.versions[static_cast<std::size_t>(i.changed_input)];
      const auto sums = i.total_actions();
      std::string acts;
      for (std::size_t k = 0; k < kRouterActionCount; ++k)
        if (sums[k] > 0) acts += fmt::format(" {} {}", name(static_cast<RouterAction>(k)), sums[k]);
      lines.push_back(
          {i.started_at - life.offset,
           fmt::format("interval {}: acts on {} {}.{} {} for {}:{}", number, name(i.changed_input), by.epoch,
                       by.count, hex(by.hash),
                       i.ended_at > 0 ? fmt::format("{:.3f} s", i.ended_at - i.started_at) : "so far",
                       acts.empty() ? " nothing done" : acts)});
    }
  }
  for (const auto& note : store.notes())
    if (note.router == name_of) lines.push_back({note.at, fmt::format("{}: {}", note.kind, note.text)});
  for (const auto& given : store.orders())
    if (given.order.router == name_of)
      lines.push_back(
          {given.at, fmt::format("ORDER {}.{} {} until {}: {}", given.order.term, given.order.number,
                                 name(given.order.step), when(given.order.expires_at), given.order.reason)});
  std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.at < b.at; });
  for (const auto& line : lines)
    if (as_json)
      fmt::print(R"({{"at":{:.6f},"router":{},"what":{}}})"
                 "\n",
                 line.at, quoted(name_of), quoted(line.text));
    else
      fmt::print("{}  {}\n", when(line.at), line.text);
  say_holes(account, name_of, as_json);
}

void tell_senders(const Store& store, const std::string& node, bool as_json) {
  const auto account = store.load(true);
  const auto senders = account.senders(node);
  if (senders.empty() && !as_json) fmt::print("nobody sent to {}, as far as is kept\n", node);
  // What a router went on sending by an older list once most of the others had another one.
  const auto spreads = account.spreads(VersionedInput::list);
  const auto overtaken = [&](const audit::NodeSender& s) {
    double at = 0;
    for (const auto& spread : spreads) {
      if (spread.first <= s.first && spread.count == s.count) continue;
      if (spread.first < s.first || spread.acted.size() * 2 < account.routers().size()) continue;
      const auto most = spread.first + spread.quantile(0.5);
      if (spread.count != s.count && (at == 0 || most < at)) at = most;
    }
    return at;
  };
  if (!as_json && !senders.empty())
    fmt::print("{:<18} {:>8} {:<17} {:>7} {:>7}  {:<24} {:<24} after most had a newer list\n", "router",
               "list", "content", "sent", "unsent", "first", "last");
  for (const auto& s : senders) {
    const auto knew = overtaken(s);
    const auto late = knew > 0 ? s.last - knew : 0;
    const auto shown = knew <= 0 || late <= -s.bound ? std::string("-")
                       : late < s.bound              ? std::string("order unknown")
                                                     : fmt::format("{:.3f} s", late);
    if (as_json)
      fmt::print(R"({{"router":{},"count":{},"hash":"{}","sent":{},"unsent":{},"first":{:.6f},"last":{:.6f},)"
                 R"("bound":{:.6f},"late":{:.6f}}})"
                 "\n",
                 quoted(s.router), s.count, hex(s.hash), s.sent, s.unsent, s.first, s.last, s.bound,
                 std::max(late, 0.0));
    else
      fmt::print("{:<18} {:>8} {:<17} {:>7} {:>7}  {:<24} {:<24} {}\n", s.router, s.count, hex(s.hash),
                 s.sent, s.unsent, when(s.first), when(s.last), shown);
  }
  for (const auto& [router, known] : account.routers()) say_holes(account, router, as_json);
}

void tell_stragglers(const Store& store, bool as_json) {
  struct Line {
    double at;
    std::string router, kind, text;
  };
  std::vector<Line> lines;
  static const std::set<std::string> kTold{"straggler", "site_behind", "site_out", "apart",
                                           "fine",      "held_back",   "overtaken"};
  std::set<std::string> once;  // a router that was always fine is no news
  for (const auto& note : store.notes()) {
    if (!kTold.contains(note.kind)) continue;
    if (note.kind == "fine" && !once.contains(note.router)) continue;
    once.insert(note.router);
    lines.push_back({note.at, note.router, note.kind, note.text});
  }
  for (const auto& given : store.orders())
    lines.push_back({given.at, given.order.router, fmt::format("ordered {}", name(given.order.step)),
                     fmt::format("{}.{} until {}: {}", given.order.term, given.order.number,
                                 when(given.order.expires_at), given.order.reason)});
  std::stable_sort(lines.begin(), lines.end(), [](const Line& a, const Line& b) { return a.at < b.at; });
  for (const auto& l : lines)
    if (as_json)
      fmt::print(R"({{"at":{:.6f},"router":{},"what":{},"text":{}}})"
                 "\n",
                 l.at, quoted(l.router), quoted(l.kind), quoted(l.text));
    else
      fmt::print("{}  {:<18} {:<20} {}\n", when(l.at), l.router, l.kind, l.text);
  if (lines.empty() && !as_json) fmt::print("nobody was behind for long, as far as is kept\n");
}

void tell_forks(const Store& store, bool as_json) {
  const auto account = store.load(false);
  const auto forks = account.forks();
  for (const auto& f : forks)
    if (as_json)
      fmt::print(
          R"({{"kind":"{}","one":{},"other":{},"count":{},"hash_one":"{}","hash_other":"{}","at":{:.6f}}})"
          "\n",
          audit::name(f.kind), quoted(f.one), quoted(f.other), f.count, hex(f.hash_one), hex(f.hash_other),
          f.at);
    else
      fmt::print("{}  {:<14} {} {}  list {}  {} {}\n", when(f.at), audit::name(f.kind), f.one,
                 f.one == f.other ? "" : "and " + f.other, f.count, hex(f.hash_one), hex(f.hash_other));
  if (forks.empty() && !as_json) fmt::print("none, as far as is kept\n");
}

// From the segments of each router that has some.
void tell_query(const Roll& roll, const std::string& query) {
  auto found = false, any = false;
  for (const auto& entry : roll.routers) {
    if (entry.segments.empty()) continue;
    any = true;
    const auto read = read_segments(entry.segments);
    for (const auto& told : read.told) fmt::print(stderr, "{}\n", told);
    std::vector<Record> records;
    auto here = false;
    for (std::size_t i = 0; i < read.events.size(); ++i) {
      const auto& e = read.events[i];
      const auto name_of = [&](std::uint32_t id) {
        const auto at = read.names.find(id);
        return at != read.names.end() ? at->second
               : id == kDoor          ? "door"
               : id == kLoop          ? "loop"
                                      : fmt::format("#{}", id);
      };
      Record r{read.unix_of(i), name_of(e.line), "", e};
      if ((e.what == What::sent || e.what == What::passed) && e.other != kNoLine) r.other = name_of(e.other);
      here = here || (e.what == What::taken && e.id() == id_of(query));
      records.push_back(std::move(r));
    }
    if (!here) continue;
    found = true;
    fmt::print("router {}:\n", entry.name);
    yoketurn::tell_query(records, query, [](const std::string& line) { fmt::print("{}\n", line); });
  }
  if (!any) throw std::runtime_error("no router of the roll has segments");
  if (!found) throw std::runtime_error("no query " + query + " in the segments that are kept");
}

// Above: how many acted on each of the latest lists, by the time since the first did. Below: a band a router,
// its colour that of the list it acted on.
void plot_versions(const Store& store, const std::string& path) {
  if (path.find_first_of("'\n\\") != std::string::npos)
    throw std::runtime_error("a path with quotes can't be drawn to");
  const auto account = store.load(false);
  auto spreads = account.spreads(VersionedInput::list);
  if (spreads.empty()) throw std::runtime_error("no list is kept");
  constexpr std::size_t kCurves = 8;
  constexpr const char* kColours[] = {"#4e79a7", "#f28e2b", "#59a14f", "#e15759",
                                      "#76b7b2", "#b07aa1", "#9c755f", "#bab0ac"};
  std::map<std::string, std::size_t> colour;
  const auto start = spreads.front().first;
  const auto end = latest(account);
  for (std::size_t i = 0; i < spreads.size(); ++i)
    colour[fmt::format("{} {:016x}", spreads[i].count, spreads[i].hash)] = i % std::size(kColours);
  std::string script = fmt::format(
      "set terminal svg size 1000,700 dynamic\nset output '{}'\nset multiplot layout 2,1\nset key outside "
      "right noenhanced\n"
      "set title 'routers that act on a list, by the time since the first of them'\nset xlabel 's'\n"
      "set yrange [0:{}]\nplot ",
      path, account.routers().size() + 1);
  std::string data;
  const auto first = spreads.size() > kCurves ? spreads.size() - kCurves : 0;
  for (auto i = first; i < spreads.size(); ++i) {
    const auto& s = spreads[i];
    script += fmt::format("{}'-' with steps lw 2 lc rgb '{}' title 'list {}'", i > first ? ", " : "",
                          kColours[i % std::size(kColours)], s.count);
    data += "0 0\n";
    for (std::size_t n = 0; n < s.acted.size(); ++n)
      data += fmt::format("{:.4f} {}\n", s.acted[n].first - s.first, n + 1);
    data += "e\n";
  }
  script += "\n" + data;
  std::string boxes, tics;
  std::size_t row = 0;
  for (const auto& [name, router] : account.routers()) {
    for (const auto& a : account.acting(name, VersionedInput::list))
      boxes += fmt::format(
          "set object rectangle from {:.3f},{:.2f} to {:.3f},{:.2f} fc rgb '{}' fs solid noborder\n",
          a.from - start, static_cast<double>(row) - 0.4, (a.to > 0 ? a.to : end) - start,
          static_cast<double>(row) + 0.4, kColours[colour[fmt::format("{} {:016x}", a.count, a.hash)]]);
    for (const auto& [from, to] : account.holes(name))
      boxes += fmt::format(
          "set object rectangle from {:.3f},{:.2f} to {:.3f},{:.2f} fc rgb 'white' fs solid border lc rgb "
          "'red'\n",
          std::max(from - start, 0.0), static_cast<double>(row) - 0.4, (to > 0 ? to : end) - start,
          static_cast<double>(row) + 0.4);
    tics += fmt::format("{}'{}' {}", tics.empty() ? "" : ", ",
                        name.find('\'') == std::string::npos ? name : "?", row);
    ++row;
  }
  script += fmt::format(
      "unset key\nset title 'the list each router acted on (red: not seen)'\nset xlabel 's since {}'\nset "
      "yrange [-0.6:{}]\n"
      "set xrange [0:{:.2f}]\n{}set ytics ({}) noenhanced font ',8'\n{}plot -1 notitle lc rgb 'white'\nunset "
      "multiplot\n",
      iso(start), static_cast<double>(row) - 0.4, std::max(end - start, 1.0), "", row <= 60 ? tics : "",
      boxes);
  auto* pipe = ::popen("gnuplot", "w");
  if (pipe == nullptr) throw std::runtime_error("gnuplot can't be started");
  std::fwrite(script.data(), 1, script.size(), pipe);
  if (::pclose(pipe) != 0) throw std::runtime_error("gnuplot has failed; is it installed?");
  fmt::print("{}\n", path);
}

}  // namespace yoketurn::fleet
