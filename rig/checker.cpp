#include "rig/checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <sstream>

namespace yoketurn::rig {

namespace {

// The budget is stated to the routers only where the day says so; copies are a tenth of the parts at most by
// the mechanism itself, over its window of 10 s, and few parts allow a few.
constexpr double kCopySpan = 10;

std::vector<int> shards_of(const std::string& text) {
  std::vector<int> shards;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, '+');)
    if (!one.empty()) shards.push_back(std::atoi(one.c_str()));
  return shards;
}

struct Sent {
  double at;
  int router, node;
  bool known_not_run = false;  // it was turned away, and that was told
  double turned_away = 0;
};

struct PartSeen {
  std::vector<Sent> sent;
  int ran = 0;
  bool served = false;
};

struct QuerySeen {
  int router = -1, vertical = -1;
  double asked = 0, allowed = 0;
  std::vector<int> shards;
  int answers = 0, status = 0;
  double answered = -1;
  std::string text;
  bool left = false;
  std::string why_left;
  std::map<std::pair<int, int>, PartSeen> parts;  // by shard, step
};

// When a router did not run as it should: killed, told to end, stopped.
struct Away {
  double from, to;
};

std::string first_try(const std::string& id) {
  return id.substr(0, id.rfind('t'));
}

}  // namespace

std::vector<Breach> check(const Record& record, const Day& day, double slack) {
  std::vector<Breach> found;
  std::map<std::string, QuerySeen> queries;
  std::map<int, std::vector<Away>> away;
  const auto end = record.empty() ? 0 : record.back().at;
  struct Told {
    double since = -1;  // that it is not ready; -1: it is
  };
  std::map<std::pair<int, int>, Told> told;
  std::map<int, double> killed;

  for (const auto& e : record) {
    const auto breach = [&](int rule, const std::string& what) { found.push_back({rule, e.at, what}); };
    const auto router_part = [&]() -> PartSeen* {
      const auto q = queries.find(e.id);
      return q == queries.end() ? nullptr : &q->second.parts[{e.shard, e.number}];
    };
    switch (e.kind) {
      case Kind::asked: {
        auto& q = queries[e.id];
        q.router = e.router;
        q.vertical = e.vertical;
        q.asked = e.at;
        q.allowed = e.value;
        q.shards = shards_of(e.text);
        break;
      }
      case Kind::answered: {
        auto& q = queries[e.id];
        ++q.answers;
        q.answered = e.at;
        q.status = e.number;
        q.text = e.text;
        if (q.answers > 1) breach(1, e.id + " has had a second answer");
        if (e.text == "unreadable") breach(5, e.id + " has an answer that can't be read");
        break;
      }
      case Kind::unanswered: {
        auto& q = queries[e.id];
        q.left = true;
        q.why_left = e.text;
        break;
      }
      case Kind::sent: {
        const auto at = queries.find(e.id);
        if (at == queries.end()) {
          // The request may have been written a moment before its note: what comes from the router came
          // later.
          queries[e.id];
        }
        auto& q = queries[e.id];
        if (q.answered >= 0 && e.at > q.answered + 0.05 + slack)
          breach(1, fmt::format("{}.{} was sent {:.3f} s after the final answer", e.id, e.shard,
                                e.at - q.answered));
        q.parts[{e.shard, e.number}].sent.push_back({e.at, e.router, e.node});
        const auto state = told.find({e.router, e.node});
        if (state != told.end() && state->second.since >= 0 &&
            e.at > state->second.since + day.grace + 0.05 + slack)
          breach(3,
                 fmt::format("{}.{} went to node {} {:.3f} s after router {} was told that it is not ready",
                             e.id, e.shard, e.node, e.at - state->second.since, e.router));
        break;
      }
      case Kind::full:
        if (auto* part = router_part())
          for (auto& sent : part->sent)
            if (sent.node == e.node && !sent.known_not_run) {
              sent.known_not_run = true;
              sent.turned_away = e.at;
              break;
            }
        break;
      case Kind::ran:
        if (auto* part = router_part()) ++part->ran;
        break;
      case Kind::served:
        if (auto* part = router_part()) part->served = true;
        break;
      case Kind::node:
        if (e.text == "fell")
          breach(4, fmt::format("node {} was pushed over while cold, at {:.2f} of its capacity", e.node,
                                e.value));
        break;
      case Kind::told: {
        auto& state = told[{e.router, e.node}];
        if (e.text == "ready")
          state.since = -1;
        else if (state.since < 0)
          state.since = e.at;
        break;
      }
      case Kind::process:
        if (e.text == "crashed")
          breach(0, fmt::format("router {} ended by itself with {}", e.router, e.number));
        if (e.text == "killed" || e.text == "told to end" || e.text == "stopped" || e.text == "crashed")
          away[e.router].push_back({e.at, end + 1});
        if ((e.text == "started" || e.text == "resumed") && !away[e.router].empty())
          away[e.router].back().to = e.at;
        // A new process has been told nothing but what is told after its start.
        if (e.text == "started")
          for (auto& [who, state] : told)
            if (who.first == e.router) state.since = -1;
        break;
      default:
        break;
    }
  }

  for (const auto& [id, q] : queries) {
    if (q.vertical < 0) {
      if (!q.parts.empty())
        found.push_back({1, q.parts.begin()->second.sent.empty() ? 0 : q.parts.begin()->second.sent[0].at,
                         id + " was sent though nobody asked it"});
      continue;
    }
    const auto& v = day.verticals[static_cast<std::size_t>(q.vertical)];
    const auto breach = [&](int rule, double at, const std::string& what) {
      found.push_back({rule, at, what});
    };
    const auto excused = [&] {
      const auto at = away.find(q.router);
      return at != away.end() && std::any_of(at->second.begin(), at->second.end(), [&](const Away& a) {
               return a.from <= q.asked + q.allowed + slack && a.to >= q.asked - slack;
             });
    };
    if (q.answers == 0 && !excused())
      breach(1, q.asked,
             fmt::format("{} has had no answer from router {} ({})", id, q.router,
                         q.why_left.empty() ? "nothing came" : q.why_left));
    // A router that stood still can't know how long the question had waited for it.
    if (q.answers > 0 && q.answered > q.asked + q.allowed + 0.05 + slack && !excused())
      breach(1, q.answered,
             fmt::format("{} was answered {:.3f} s after its time", id, q.answered - q.asked - q.allowed));
    // Rule 5.
    if (q.status == 200 && q.text != "unreadable" && q.text != "again") {
      const auto space = q.text.find(' ');
      const auto in = shards_of(space == std::string::npos ? "" : q.text.substr(space + 1));
      const std::set<int> distinct(in.begin(), in.end());
      if (distinct.size() != in.size()) breach(5, q.answered, id + " counts a part twice");
      for (const auto shard : distinct) {
        const auto part = q.parts.find({shard, 1});
        if (part == q.parts.end() || !part->second.served)
          breach(5, q.answered, fmt::format("{} holds part {}, which no node has served", id, shard));
      }
      if (static_cast<double>(distinct.size()) < v.least * static_cast<double>(q.shards.size()) - 1e-9)
        breach(5, q.answered, id + " was answered under the least share");
      if (q.text.starts_with("whole=1") && distinct.size() != q.shards.size())
        breach(5, q.answered, id + " is marked whole and is not");
    }
    // Rule 2.
    if (v.semantics == "safe") continue;
    bool may_have_run = false;
    for (const auto& [where, part] : q.parts) {
      for (std::size_t i = 0; i < part.sent.size(); ++i) {
        const auto& first = part.sent[0];
        for (std::size_t j = 0; j < i; ++j) {
          const auto& earlier = part.sent[j];
          const auto harmless = earlier.known_not_run && earlier.turned_away <= part.sent[i].at + slack;
          if (harmless) continue;
          if (v.semantics == "unsafe")
            breach(2, part.sent[i].at,
                   fmt::format("{}.{} was sent again though it may have run", id, where.first));
          else if (part.sent[i].at > first.at + v.window + 0.05 + slack)
            breach(2, part.sent[i].at, fmt::format("{}.{} was sent again after the window", id, where.first));
        }
        may_have_run = may_have_run || !part.sent[i].known_not_run;
      }
      if (part.ran > 1)
        breach(2, q.asked, fmt::format("{}.{} had its effect {} times", id, where.first, part.ran));
    }
    if ((q.status == 503 || q.status == 429) && may_have_run)
      breach(2, q.answered, id + " was refused though a part may have run");
  }

  // Rule 6: copies and further calls of each router over any window of the mechanism's.
  std::map<int, std::vector<std::pair<double, bool>>> calls;
  for (const auto& [id, q] : queries)
    for (const auto& [where, part] : q.parts)
      for (std::size_t i = 0; i < part.sent.size(); ++i) {
        bool beside = false;  // an earlier one is still out for all that was told
        for (std::size_t j = 0; j < i; ++j) beside = beside || !part.sent[j].known_not_run;
        calls[part.sent[i].router].push_back({part.sent[i].at, i > 0 && beside});
      }
  for (auto& [router, list] : calls) {
    std::sort(list.begin(), list.end());
    std::size_t from = 0;
    double further = 0;
    for (std::size_t i = 0; i < list.size(); ++i) {
      further += list[i].second;
      while (list[from].first < list[i].first - kCopySpan) further -= list[from++].second;
      const auto all = static_cast<double>(i - from + 1);
      // No budget is stated to them: what is held against them is that calls never multiply.
      if (further > 20 + 0.5 * all) {
        found.push_back({6, list[i].first,
                         fmt::format("router {} made {:.0f} further calls of {:.0f} in {:g} s", router,
                                     further, all, kCopySpan)});
        break;
      }
    }
  }
  std::sort(found.begin(), found.end(), [](const Breach& a, const Breach& b) { return a.at < b.at; });
  return found;
}

Share share_of(const Record& record, const Day& day, double from, double to, int vertical) {
  struct Fate {
    double began = -1, aim = 0;
    int vertical = -1, status = 0;
    double answered = -1, parts_in = 0;
    bool partial = false;
  };
  std::map<std::string, Fate> fates;  // of a client's query over all its tries
  for (const auto& e : record) {
    if (e.kind != Kind::asked && e.kind != Kind::answered && e.kind != Kind::unanswered) continue;
    if (e.vertical < 0) continue;
    auto& fate = fates[first_try(e.id)];
    if (fate.began < 0) {
      fate.began = e.at;
      fate.vertical = e.vertical;
    }
    if (e.kind != Kind::answered || fate.status == 200) continue;
    fate.status = e.number;
    fate.answered = e.at;
    fate.partial = e.text.starts_with("whole=0");
  }
  Share share;
  for (const auto& [id, fate] : fates) {
    if (fate.began < from || fate.began >= to || (vertical >= 0 && fate.vertical != vertical)) continue;
    const auto& v = day.verticals[static_cast<std::size_t>(fate.vertical)];
    ++share.asked;
    share.most_utility += v.credit;
    if (fate.status == 200 && fate.answered <= fate.began + v.aim) {
      ++share.in_time;
      share.utility += v.credit * (fate.partial ? 0.5 : 1);
    } else if (fate.status == 200) {
      ++share.late;
      share.utility += 0.5 * v.credit * (fate.partial ? 0.5 : 1);
    } else if (fate.status == 503 || fate.status == 429) {
      ++share.refused;
    } else {
      ++share.failed;
    }
  }
  return share;
}

int sent_to_site(const Record& record, const Day& day, const std::string& site, double from, double to) {
  int low = 0, high = 0;
  for (const auto& s : day.sites) {
    high = low + s.nodes;
    if (s.name == site) break;
    low = high;
  }
  return static_cast<int>(std::count_if(record.begin(), record.end(), [&](const Event& e) {
    return e.kind == Kind::sent && e.at >= from && e.at < to && e.node >= low && e.node < high;
  }));
}

namespace {
bool says(const Event& e, int router, const std::string& site, const std::string& words) {
  return e.kind == Kind::site && (router < 0 || e.router == router) &&
         (site.empty() || e.text.find("name=" + site + " ") != std::string::npos) &&
         e.text.find(words) != std::string::npos;
}
}  // namespace

double first_said(const Record& record, int router, const std::string& site, const std::string& words,
                  double from) {
  for (const auto& e : record)
    if (e.at >= from && says(e, router, site, words)) return e.at;
  return -1;
}

int times_said(const Record& record, int router, const std::string& site, const std::string& words,
               double from, double to) {
  return static_cast<int>(std::count_if(record.begin(), record.end(), [&](const Event& e) {
    return e.at >= from && e.at < to && says(e, router, site, words);
  }));
}

std::string report(const Record& record, const Day& day) {
  std::string text = fmt::format("{:>9}  {:>6} {:>8} {:>6} {:>8} {:>7}  utility\n", "seconds", "asked",
                                 "in time", "late", "refused", "failed");
  for (double from = 0; from < day.seconds; from += 2) {
    const auto s = share_of(record, day, from, from + 2);
    text += fmt::format("{:>4.0f}-{:<4.0f}  {:>6} {:>7.1f}% {:>6} {:>8} {:>7}  {:.3f}", from, from + 2,
                        s.asked, 100 * s.good(), s.late, s.refused, s.failed, s.earned());
    for (std::size_t v = 0; v < day.verticals.size(); ++v)
      text += fmt::format("  {} {:.2f}", day.verticals[v].name,
                          share_of(record, day, from, from + 2, static_cast<int>(v)).earned());
    text += '\n';
  }
  for (const auto& e : record)
    if (e.kind == Kind::fault)
      text += fmt::format("{:8.3f}  {} {}\n", e.at, e.number ? "begins:" : "ends:  ", e.text);
  for (const auto& e : record)
    if (e.kind == Kind::site) text += fmt::format("{:8.3f}  router {:<3} {}\n", e.at, e.router, e.text);
  return text;
}

}  // namespace yoketurn::rig
