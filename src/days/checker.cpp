#include "days/checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "days/numbered.hpp"

namespace yoketurn::days {

namespace {

// The budget is stated to the routers only where the day says so; copies are a tenth of the parts at most by
// the mechanism itself, over its window of 10 s, and few parts allow a few.
constexpr double kCopySpan = 10;
constexpr double kFreeCalls = 20, kMostFurther = 0.5;
constexpr double kAllowed = 0.05;  // by which every time limit is extended
constexpr double kAfter = 3;       // beyond its time a query is remembered for so long, and the window
constexpr double kNobody = 10;     // and one that nobody seems to have asked
constexpr std::size_t kMostFound = 1000;

}  // namespace

Checker::Checker(const Day& day, double slack, std::function<std::string(long long)> name)
    : day_(day), slack_(slack), name_(std::move(name)) {
  for (const auto& v : day.verticals)
    if (v.semantics == "keyed") window_ = std::max(window_, v.window);
}

std::string Checker::named(long long query) const {
  return name_ ? name_(query) : fmt::format("query {}", query);
}

void Checker::breach(int rule, double at, std::string what) {
  if (found_.size() < kMostFound)
    found_.push_back({rule, at, std::move(what)});
  else
    ++unnamed_;
}

// A request may have been written a moment before its note: what comes of it may come first.
Checker::Query& Checker::seen(long long number, double at) {
  const auto [found, fresh] = queries_.try_emplace(number);
  if (fresh) {
    found->second.seen = at;
    due_.emplace_back(at, number);
  }
  return found->second;
}

Checker::Part* Checker::part(const Passing& p) {
  const auto q = queries_.find(p.query);
  if (q == queries_.end()) return nullptr;
  for (auto& part : q->second.parts)
    if (part.shard == p.shard && part.step == p.number) return &part;
  return &q->second.parts.emplace_back(Part{p.shard, p.number, {}, 0, false});
}

void Checker::take(const Passing& p) {
  switch (p.kind) {
    case Kind::asked: {
      auto& q = seen(p.query, p.at);
      q.router = p.router;
      q.vertical = p.vertical;
      q.asked = p.at;
      q.allowed = p.value;
      q.parts_asked = static_cast<int>(p.shards.size());
      break;
    }
    case Kind::answered: {
      auto& q = seen(p.query, p.at);
      q.answered = p.at;
      q.status = p.number;
      q.readable = p.text != "unreadable" && p.text != "again";
      q.whole = p.whole;
      q.in.assign(p.shards.begin(), p.shards.end());
      if (++q.answers > 1) breach(1, p.at, named(p.query) + " has had a second answer");
      if (p.text == "unreadable") breach(5, p.at, named(p.query) + " has an answer that can't be read");
      break;
    }
    case Kind::unanswered:
      seen(p.query, p.at).left = p.text;
      break;
    case Kind::sent:
      sent(p);
      break;
    case Kind::full:
      if (auto* of = part(p))
        for (auto& sent : of->sent)
          if (sent.node == p.node && !sent.known_not_run) {
            sent.known_not_run = true;
            sent.turned_away = p.at;
            break;
          }
      break;
    case Kind::ran:
      if (auto* of = part(p)) ++of->ran;
      break;
    case Kind::served:
      if (auto* of = part(p)) of->served = true;
      break;
    case Kind::node:
      node(p);
      break;
    case Kind::told:
      if (const auto start = starts_.find(p.node); start != starts_.end() && start->second.at <= p.at)
        start->second.told.try_emplace(p.router, p.at);
      if (p.text == "ready")
        not_ready_.erase({p.router, p.node});
      else
        not_ready_.try_emplace({p.router, p.node}, p.at);
      break;
    case Kind::process:
      process(p);
      break;
    default:
      break;
  }
  // Those seen first are over first, but for how long their clients wait.
  while (!due_.empty() && p.at > due_.front().first + kNobody) {
    const auto number = due_.front().second;
    const auto& q = queries_.at(number);
    if (q.vertical >= 0 && p.at < q.asked + q.allowed + window_ + kAfter) break;
    settle(number, q);
    queries_.erase(number);
    due_.pop_front();
  }
}

// The rule is broken by those who knew: of what the node got before its fall over two thirds came from
// routers that had been told of its start.
void Checker::node(const Passing& p) {
  if (p.text == "started") starts_[p.node] = {p.at, {}, {}, 0};
  if (p.text != "fell") return;
  const auto start = starts_.find(p.node);
  if (start != starts_.end() && 3 * start->second.by_told <= 2 * start->second.sent.size()) return;
  breach(4, p.at,
         fmt::format("node {} was pushed over while cold, at {:.2f} of its capacity", p.node, p.value));
}

void Checker::process(const Passing& p) {
  auto& away = away_[p.router];
  if (p.text == "crashed")
    breach(0, p.at, fmt::format("router {} ended by itself with {}", p.router, p.number));
  if (p.text == "killed" || p.text == "told to end" || p.text == "stopped" || p.text == "crashed")
    away.push_back({p.at, std::numeric_limits<double>::infinity()});
  if ((p.text == "started" || p.text == "resumed") && !away.empty()) away.back().to = p.at;
  // A new process has been told nothing but what is told after its start.
  if (p.text == "started")
    std::erase_if(not_ready_, [&](const auto& one) { return one.first.first == p.router; });
}

void Checker::sent(const Passing& p) {
  auto& q = seen(p.query, p.at);
  if (q.answered >= 0 && p.at > q.answered + kAllowed + slack_)
    breach(1, p.at,
           fmt::format("{}.{} was sent {:.3f} s after the final answer", named(p.query), p.shard,
                       p.at - q.answered));
  if (const auto state = not_ready_.find({p.router, p.node});
      state != not_ready_.end() && p.at > state->second + day_.grace + kAllowed + slack_ &&
      !ends_its_turn(p.router, state->second, p.at))
    breach(3, p.at,
           fmt::format("{}.{} went to node {} {:.3f} s after router {} was told that it is not ready",
                       named(p.query), p.shard, p.node, p.at - state->second, p.router));
  if (const auto start = starts_.find(p.node); start != starts_.end()) {
    auto& its = start->second;
    const auto told = its.told.find(p.router);
    its.sent.emplace_back(p.at, told != its.told.end() && p.at > told->second + kAllowed);
    its.by_told += its.sent.back().second;
    while (its.sent.front().first < p.at - day_.fall_for) {
      its.by_told -= its.sent.front().second;
      its.sent.pop_front();
    }
  }
  auto& of = *part(p);
  const auto beside =
      std::any_of(of.sent.begin(), of.sent.end(), [](const Sent& earlier) { return !earlier.known_not_run; });
  of.sent.push_back({p.at, p.router, p.node});
  count(p.router, p.at, beside);
}

// Rule 6. No budget is stated to them: what is held against a router is that its calls multiply over a window
// of the mechanism's.
void Checker::count(int router, double at, bool beside) {
  auto& calls = calls_[router];
  calls.recent.emplace_back(at, beside);
  calls.further += beside;
  while (calls.recent.front().first < at - kCopySpan) {
    calls.further -= calls.recent.front().second;
    calls.recent.pop_front();
  }
  const auto all = static_cast<double>(calls.recent.size());
  if (calls.broken || calls.further <= kFreeCalls + kMostFurther * all) return;
  calls.broken = true;
  breach(6, at,
         fmt::format("router {} made {:.0f} further calls of {:.0f} in {:g} s", router, calls.further, all,
                     kCopySpan));
}

// A router that is stopped halfway through a turn ends this turn when it wakes, by what it knew before it.
bool Checker::ends_its_turn(int router, double told, double at) const {
  const auto found = away_.find(router);
  return found != away_.end() && std::any_of(found->second.begin(), found->second.end(), [&](const Away& a) {
           return std::isfinite(a.to) && a.from <= told && told <= a.to && at <= a.to + kAllowed;
         });
}

bool Checker::excused(const Query& q) const {
  const auto at = away_.find(q.router);
  return at != away_.end() && std::any_of(at->second.begin(), at->second.end(), [&](const Away& a) {
           return a.from <= q.asked + q.allowed + slack_ && a.to >= q.asked - slack_;
         });
}

void Checker::settle(long long number, const Query& q) {
  if (q.vertical < 0) {
    if (!q.parts.empty()) breach(1, q.seen, named(number) + " was sent though nobody asked it");
    return;
  }
  const auto& v = day_.verticals[static_cast<std::size_t>(q.vertical)];
  if (q.answers == 0 && !excused(q))
    breach(1, q.asked,
           fmt::format("{} has had no answer from router {} ({})", named(number), q.router,
                       q.left.empty() ? "nothing came" : q.left));
  // A router that stood still can't know how long the question had waited for it.
  if (q.answers > 0 && q.answered > q.asked + q.allowed + kAllowed + slack_ && !excused(q))
    breach(1, q.answered,
           fmt::format("{} was answered {:.3f} s after its time", named(number),
                       q.answered - q.asked - q.allowed));
  if (q.status == 200 && q.readable) {
    const std::set<int> distinct(q.in.begin(), q.in.end());
    if (distinct.size() != q.in.size()) breach(5, q.answered, named(number) + " counts a part twice");
    for (const auto shard : distinct)
      if (std::none_of(q.parts.begin(), q.parts.end(), [&](const Part& part) {
            return part.shard == shard && part.step == 1 && part.served;
          }))
        breach(5, q.answered,
               fmt::format("{} holds part {}, which no node has served", named(number), shard));
    if (static_cast<double>(distinct.size()) < v.least * q.parts_asked - 1e-9)
      breach(5, q.answered, named(number) + " was answered under the least share");
    if (q.whole && static_cast<int>(distinct.size()) != q.parts_asked)
      breach(5, q.answered, named(number) + " is marked whole and is not");
  }
  if (v.semantics != "safe") settle_parts(number, q);
}

// Rule 2.
void Checker::settle_parts(long long number, const Query& q) {
  const auto& v = day_.verticals[static_cast<std::size_t>(q.vertical)];
  bool may_have_run = false;
  for (const auto& part : q.parts) {
    for (std::size_t i = 0; i < part.sent.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        const auto& earlier = part.sent[j];
        if (earlier.known_not_run && earlier.turned_away <= part.sent[i].at + slack_) continue;
        if (v.semantics == "unsafe")
          breach(2, part.sent[i].at,
                 fmt::format("{}.{} was sent again though it may have run", named(number), part.shard));
        else if (part.sent[i].at > part.sent[0].at + v.window + kAllowed + slack_)
          breach(2, part.sent[i].at,
                 fmt::format("{}.{} was sent again after the window", named(number), part.shard));
      }
      may_have_run = may_have_run || !part.sent[i].known_not_run;
    }
    if (part.ran > 1)
      breach(2, q.asked, fmt::format("{}.{} had its effect {} times", named(number), part.shard, part.ran));
  }
  if ((q.status == 503 || q.status == 429) && may_have_run)
    breach(2, q.answered, named(number) + " was refused though a part may have run");
}

std::vector<Breach> Checker::finish() {
  for (const auto& [seen, number] : due_) settle(number, queries_.at(number));
  due_.clear();
  queries_.clear();
  std::stable_sort(found_.begin(), found_.end(),
                   [](const Breach& a, const Breach& b) { return a.at < b.at; });
  return found_;
}

std::vector<Breach> check(const Record& record, const Day& day, double slack) {
  Numbered numbered;
  Checker checker(day, slack, [&](long long query) { return numbered.name(query); });
  for (const auto& e : record) checker.take(numbered.of(e));
  return checker.finish();
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

}  // namespace yoketurn::days
