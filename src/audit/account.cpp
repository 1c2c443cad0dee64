#include "audit/account.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>

namespace yoketurn::audit {

namespace {

constexpr double kSame = 1e-4;  // by which two beginnings of one process may differ as they are told
constexpr double kSettling =
    2.0;  // two contents of one count for so long are a fork, not a change on its way

}  // namespace

std::string_view name(ForkKind kind) {
  static constexpr std::string_view kNames[] = {"two_contents", "two_processes", "went_back"};
  return kNames[static_cast<std::size_t>(kind)];
}

RouterAccount& Account::of(const std::string& router) {
  auto& account = routers_[router];
  account.name = router;
  return account;
}

void Account::expect(const std::string& router, const std::string& site) {
  of(router).site = site;
}

void Account::take(const Seen& seen) {
  auto& router = of(seen.stand.router);
  if (!seen.stand.site.empty()) router.site = seen.stand.site;
  if (seen.at > router.reached) {
    router.reached = seen.at;
    if (router.missed <= seen.at) router.missed = 0;
  }
  const auto order = [](const Seen& s) {
    return std::tuple(s.at, s.stand.unix_time, s.stand.process_started_at);
  };
  if (!router.last || order(seen) > order(*router.last)) router.last = seen;
  const auto near = router.lives.lower_bound(seen.stand.process_started_at - kSame);
  const auto known = near != router.lives.end() && near->first <= seen.stand.process_started_at + kSame;
  auto& life = known ? near->second : router.lives[seen.stand.process_started_at];
  if (!known) life.began = seen.stand.process_started_at;
  // The tightest of all exchanges bounds the clocks best.
  if (std::pair(seen.bound, seen.offset) < std::pair(life.bound, life.offset)) {
    life.bound = seen.bound;
    life.offset = seen.offset;
  }
  life.first_seen = life.first_seen > 0 ? std::min(life.first_seen, seen.at) : seen.at;
  life.last_seen = std::max(life.last_seen, seen.at);
  life.gap_until = std::max(life.gap_until, seen.stand.dropped_until);
}

// An interval that goes on is told again and again: the one that has come furthest stands.
void Account::take(const std::string& name, double began, const ReportedInterval& told) {
  auto& router = of(name);
  const auto near = router.lives.lower_bound(began - kSame);
  const auto found = near != router.lives.end() && near->first <= began + kSame;
  auto& life = found ? near->second : router.lives[began];
  if (!found) life.began = began;
  if (told.verticals.size() > life.verticals.size()) life.verticals = told.verticals;
  auto& held = life.intervals[told.interval.number];
  const auto further = [](const Interval& i) {
    std::uint64_t acts = 0;
    for (const auto sum : i.total_actions()) acts += sum;
    return std::tuple(i.ended_at > 0, acts, i.nodes.size());
  };
  if (held.started_at == 0 || further(told.interval) > further(held)) held = told.interval;
}

void Account::missed(const std::string& name, double at) {
  auto& router = of(name);
  if (router.missed == 0 && at > router.reached) router.missed = at;
}

void Account::forget_before(double at) {
  for (auto& [name, router] : routers_) {
    for (auto& [began, life] : router.lives)
      std::erase_if(life.intervals, [&](const auto& one) {
        const auto& [number, interval] = one;
        if (interval.ended_at <= 0 || interval.ended_at - life.offset >= at) return false;
        life.gap_until = std::max(life.gap_until, interval.ended_at);
        return true;
      });
    std::erase_if(router.lives, [&](const auto& one) {
      const auto& life = one.second;
      return life.intervals.empty() && life.last_seen < at &&
             (!router.last || std::abs(router.last->stand.process_started_at - life.began) > kSame);
    });
  }
}

std::vector<Acting> Account::acting(const std::string& name, VersionedInput subject, double since) const {
  std::vector<Acting> all;
  const auto at = routers_.find(name);
  if (at == routers_.end()) return all;
  for (const auto& [began, life] : at->second.lives) {
    // From the latest on back, as little is wanted of many.
    auto first = life.intervals.end();
    while (first != life.intervals.begin()) {
      const auto& before = std::prev(first)->second;
      if (before.ended_at > 0 && before.ended_at - life.offset < since) break;
      --first;
    }
    for (; first != life.intervals.end(); ++first) {
      const auto& interval = first->second;
      const auto& held = interval.versions[static_cast<std::size_t>(subject)];
      if (held.epoch == 0) continue;  // nothing was known yet
      Acting next{held.count,
                  held.epoch,
                  held.hash,
                  interval.started_at - life.offset,
                  interval.ended_at > 0 ? interval.ended_at - life.offset : 0,
                  life.bound,
                  began};
      if (!all.empty() && all.back().life == began && all.back().key(subject) == next.key(subject))
        all.back().to = next.to;
      else
        all.push_back(next);
    }
  }
  // Of a router known by its log alone the interval that goes on is not told, but its beginning is.
  if (const auto now = now_acting(name, subject);
      now && (all.empty() || now->life > all.back().life + kSame ||
              (std::abs(all.back().life - now->life) <= kSame && all.back().to > 0 &&
               all.back().key(subject) != now->key(subject))))
    all.push_back(*now);
  // A process that has another one after it acts no more.
  for (std::size_t i = 0; i + 1 < all.size(); ++i)
    if (const auto life = at->second.lives.find(all[i].life);
        all[i].to == 0 && all[i].life != all.back().life && life != at->second.lives.end())
      all[i].to = life->second.last_seen;
  return all;
}

std::optional<Acting> Account::now_acting(const std::string& name, VersionedInput subject) const {
  const auto at = routers_.find(name);
  if (at == routers_.end() || !at->second.last) return std::nullopt;
  const auto& seen = *at->second.last;
  const auto& version = seen.stand.versions[static_cast<std::size_t>(subject)];
  if (version.epoch == 0) return std::nullopt;
  return Acting{version.count,
                version.epoch,
                version.hash,
                version.applied_at - seen.offset,
                0,
                seen.bound,
                seen.stand.process_started_at};
}

std::vector<std::pair<double, double>> Account::holes(const std::string& name) const {
  std::vector<std::pair<double, double>> found;
  const auto at = routers_.find(name);
  if (at == routers_.end()) return found;
  for (const auto& [began, life] : at->second.lives) {
    auto known_until = life.began - life.offset;
    if (life.gap_until > 0) {
      found.push_back({known_until, life.gap_until - life.offset});
      known_until = life.gap_until - life.offset;
    }
    if (life.gap_until <= 0 && !life.intervals.empty() && life.intervals.begin()->first > 0)
      found.push_back({known_until, life.intervals.begin()->second.started_at - life.offset});
    const Interval* before = nullptr;
    for (const auto& [number, interval] : life.intervals) {
      if (before != nullptr && number != before->number + 1)
        found.push_back({before->ended_at - life.offset, interval.started_at - life.offset});
      before = &interval;
    }
    // What came after the last word that was heard.
    if (before != nullptr && before->ended_at <= 0 && life.last_seen > 0 &&
        (std::next(at->second.lives.find(began)) != at->second.lives.end() || at->second.missed > 0))
      found.push_back({life.last_seen, 0});
  }
  return found;
}

double Spread::quantile(double share) const {
  if (acted.empty()) return 0;
  const auto i = static_cast<std::size_t>(std::ceil(share * static_cast<double>(acted.size())));
  return acted[std::clamp<std::size_t>(i, 1, acted.size()) - 1].first - first;
}

std::vector<Spread> Account::spreads(VersionedInput subject) const {
  std::map<std::pair<long long, std::uint64_t>, Spread> by_key;
  std::map<std::string, std::vector<Acting>> of_router;
  for (const auto& [name, router] : routers_) {
    auto& all = of_router[name] = acting(name, subject);
    std::set<std::pair<long long, std::uint64_t>> counted;
    for (const auto& a : all) {
      const auto key = a.key(subject);
      auto& spread = by_key[key];
      spread.subject = subject;
      spread.count = a.count;
      spread.hash = a.hash;
      spread.bound = std::max(spread.bound, a.bound);
      if (counted.insert(key).second) spread.acted.push_back({a.from, name});
    }
  }
  std::vector<Spread> result;
  for (auto& [key, spread] : by_key) {
    std::sort(spread.acted.begin(), spread.acted.end());
    spread.first = spread.acted.front().first;
    result.push_back(std::move(spread));
  }
  std::sort(result.begin(), result.end(), [](const Spread& a, const Spread& b) {
    return std::tie(a.first, a.count, a.hash) < std::tie(b.first, b.count, b.hash);
  });
  for (auto& spread : result) {
    std::set<std::string> did;
    for (const auto& [at, router] : spread.acted) did.insert(router);
    for (const auto& [name, all] : of_router) {
      if (did.contains(name)) continue;
      if (all.empty()) {
        spread.unknown.push_back(name);
        continue;
      }
      const auto later = std::any_of(all.begin(), all.end(), [&](auto& a) { return a.from > spread.first; });
      const auto earlier = all.front().from <= spread.first;
      (later && earlier ? spread.skipped : !later ? spread.behind : spread.unknown).push_back(name);
    }
  }
  return result;
}

// Counts are compared only where both were told after the last time that a count began anew: those of two
// epochs have nothing to do with each other.
std::vector<Fork> Account::forks(double since) const {
  std::vector<Fork> found;
  std::vector<double> restarts;  // of the count, by any router's word
  for (const auto& [name, router] : routers_) {
    const Life* before = nullptr;
    for (const auto& [began, life] : router.lives) {
      if (before != nullptr && life.first_seen < before->last_seen && before->first_seen < life.last_seen)
        found.push_back({ForkKind::two_processes, name, name, 0, 0, 0, life.first_seen});
      before = &life;
    }
    const auto all = acting(name, VersionedInput::list, since);
    for (std::size_t i = 1; i < all.size(); ++i)
      if (all[i].count < all[i - 1].count) {
        restarts.push_back(all[i].from);
        found.push_back(
            {ForkKind::went_back, name, name, all[i].count, all[i - 1].hash, all[i].hash, all[i].from});
      }
  }
  std::sort(restarts.begin(), restarts.end());
  // The same restart reaches the routers one after the other; what was told while it did is of no known
  // epoch.
  struct VersionsLine {
    const std::string* router;
    Acting acting;
    int restarts;
  };
  std::map<long long, std::vector<VersionsLine>> by_count;
  for (const auto& [name, router] : routers_)
    for (const auto& a : acting(name, VersionedInput::list, since)) {
      const auto passed =
          std::upper_bound(restarts.begin(), restarts.end(), a.from + kSame) - restarts.begin();
      by_count[a.count].push_back({&name, a, static_cast<int>(passed)});
    }
  for (const auto& [count, told] : by_count) {
    const auto alike = [&, hash = told.front().acting.hash](const VersionsLine& t) {
      return t.acting.hash == hash;
    };
    if (std::all_of(told.begin(), told.end(), alike)) continue;
    std::set<std::pair<std::string, std::uint64_t>> said;
    for (std::size_t i = 0; i < told.size(); ++i)
      for (std::size_t j = i + 1; j < told.size(); ++j) {
        const auto &x = told[i], &y = told[j];
        if (x.acting.hash == y.acting.hash || *x.router == *y.router || x.restarts != y.restarts) continue;
        const auto end = [](const Acting& a) { return a.to > 0 ? a.to : 1e18; };
        const auto from = std::max(x.acting.from, y.acting.from);
        const auto to = std::min(end(x.acting), end(y.acting));
        if (to - from < kSettling + x.acting.bound + y.acting.bound) continue;
        if (!said.insert({*x.router, y.acting.hash}).second) continue;
        found.push_back(
            {ForkKind::two_contents, *x.router, *y.router, count, x.acting.hash, y.acting.hash, from});
      }
  }
  return found;
}

std::vector<NodeSender> Account::senders(const std::string& node) const {
  std::vector<NodeSender> found;
  for (const auto& [name, router] : routers_)
    for (const auto& [began, life] : router.lives)
      for (const auto& [number, interval] : life.intervals)
        for (const auto& acts : interval.nodes) {
          if (acts.name != node) continue;
          const auto& list = interval.versions[static_cast<std::size_t>(VersionedInput::list)];
          NodeSender next{name,
                          list.count,
                          list.hash,
                          acts.sent,
                          acts.unsent,
                          acts.first_sent_at - life.offset,
                          acts.last_sent_at - life.offset,
                          life.bound};
          auto* last = found.empty() ? nullptr : &found.back();
          if (last != nullptr && last->router == name && last->count == next.count &&
              last->hash == next.hash) {
            last->sent += next.sent;
            last->unsent += next.unsent;
            if (next.sent > 0) last->last = next.last;
          } else {
            found.push_back(next);
          }
        }
  return found;
}

}  // namespace yoketurn::audit
