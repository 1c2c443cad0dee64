#include "audit/stragglers.hpp"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <cmath>
#include <iterator>
#include <set>

namespace yoketurn::audit {

namespace {

constexpr double kLately = 300;          // changes are looked at so far back
constexpr std::size_t kLearned = 40;     // lags from which on a rule goes by them
constexpr double kMultiple = 3;          // of the 99th percentile
constexpr double kRare = 1e-6;           // chance of a lag that is still one of the others
constexpr double kShortestLag = 1e-3;    // a lag of nothing has no logarithm
constexpr double kLeastDeviation = 0.3;  // of the logarithms: few lags are alike by chance

}  // namespace

std::string_view name(Rule rule) {
  static constexpr std::string_view kNames[] = {"fixed", "quantile", "likelihood"};
  return kNames[static_cast<std::size_t>(rule)];
}

std::string_view name(Condition condition) {
  static constexpr std::string_view kNames[] = {
      "fine", "behind", "straggler", "doubts", "starting", "unreachable", "site_out", "site_behind", "apart"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(Condition::last));
  return kNames[static_cast<std::size_t>(condition)];
}

void Lags::add(double lag) {
  lags_.push_back(std::max(lag, 0.0));
  if (lags_.size() > most_) lags_.pop_front();
}

double Lags::limit(Rule rule, double fixed, double least) const {
  if (rule == Rule::fixed || lags_.size() < kLearned) return fixed;
  if (rule == Rule::quantile) {
    auto sorted = std::vector<double>(lags_.begin(), lags_.end());
    const auto at =
        sorted.begin() + static_cast<std::ptrdiff_t>(0.99 * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return std::max(least, kMultiple * *at);
  }
  double mean = 0, square = 0;
  for (const auto lag : lags_) {
    const auto value = std::log(std::max(lag, kShortestLag));
    mean += value;
    square += value * value;
  }
  const auto many = static_cast<double>(lags_.size());
  mean /= many;
  const auto deviation = std::max(std::sqrt(std::max(square / many - mean * mean, 0.0)), kLeastDeviation);
  const boost::math::normal_distribution<> normal(mean, deviation);
  return std::max(least, std::exp(boost::math::quantile(boost::math::complement(normal, kRare))));
}

// The order in which the fleet came to its versions. A version that it came back to (a program rolled back, a
// list that is again what it was) stands by the last time that a router went from the one straight to the
// other.
void Stragglers::order(const std::vector<Current>& routers, VersionedInput subject) {
  places_.clear();
  for (const auto& router : routers) {
    const auto& all = router.lately;
    for (std::size_t i = 0; i < all.size(); ++i) {
      const auto key = all[i].key(subject);
      auto& place = places_[key];
      if (place.first == 0 || all[i].from < place.first) place.first = all[i].from;
      if (i == 0) continue;
      const auto before = all[i - 1].key(subject);
      if (before == key) continue;
      auto& left = places_[before].left_to[key];
      left = std::max(left, all[i].from);
    }
  }
}

bool Stragglers::newer(const Key& one, const Key& than) const {
  if (one == than) return false;
  const auto a = places_.find(one), b = places_.find(than);
  if (a == places_.end() || b == places_.end()) return false;
  const auto moved = [](const Place& from, const Key& to) {
    const auto at = from.left_to.find(to);
    return at == from.left_to.end() ? 0.0 : at->second;
  };
  const auto there = moved(b->second, one), back = moved(a->second, than);
  if (there > 0 || back > 0) return there > back;
  return a->second.first > b->second.first;
}

std::vector<Finding> Stragglers::look(const Account& account, double now) {
  std::map<std::string, Finding> found;
  std::map<std::string, int> of_site, out_of_site;
  seen_ = 0;
  for (const auto& [name, router] : account.routers()) {
    auto& finding = found[name];
    finding = {name, router.site, Condition::fine, VersionedInput::list, 0, 0, 0, 0, 0, 0};
    ++of_site[router.site];
    const auto reachable = router.last && router.reached + limits_.fresh >= now;
    if (!reachable) {
      finding.condition = Condition::unreachable;
      finding.since = router.reached;
      ++out_of_site[router.site];
      continue;
    }
    ++seen_;
    const auto began = router.last->stand.process_started_at - router.last->offset;
    if (now < began + limits_.starting || !router.last->stand.serving) {
      finding.condition = Condition::starting;
      finding.since = began;
    } else if (!router.last->stand.suspicions.empty()) {
      finding.condition = Condition::doubts;
      finding.since = router.last->stand.suspicions.front().since - router.last->offset;
    }
  }
  for (auto& [name, finding] : found)
    if (finding.condition == Condition::unreachable && of_site[finding.site] > 1 &&
        out_of_site[finding.site] == of_site[finding.site])
      finding.condition = Condition::site_out;

  for (std::size_t s = 0; s < kVersionedInputCount; ++s) {
    const auto subject = static_cast<VersionedInput>(s);
    std::vector<Current> current;
    for (const auto& [name, finding] : found) {
      if (finding.condition == Condition::unreachable || finding.condition == Condition::site_out) continue;
      if (const auto acting = account.now_acting(name, subject))
        current.push_back(
            {name, acting->key(subject), *acting, account.acting(name, subject, now - kLately)});
    }
    order(current, subject);
    std::map<Key, std::pair<double, double>> judged;  // share that is newer, since when
    std::map<Key, int> holders;
    for (const auto& one : current) ++holders[one.key];
    for (const auto& one : current) {
      if (judged.contains(one.key)) continue;
      std::vector<double> passed;
      for (const auto& other : current)
        if (other.acting.hash != one.acting.hash && newer(other.key, one.key)) {
          // When it first went beyond that: now's version may be a later one still.
          auto first = other.acting.from;
          for (auto a = other.lately.rbegin(); a != other.lately.rend(); ++a) {
            if (!newer(a->key(subject), one.key)) break;
            first = std::min(first, a->from);
          }
          passed.push_back(first);
        }
      std::sort(passed.begin(), passed.end());
      const auto needed = std::max<std::size_t>(
          static_cast<std::size_t>(std::ceil(limits_.share * static_cast<double>(seen_))), 1);
      judged[one.key] = {seen_ > 0 ? static_cast<double>(passed.size()) / seen_ : 0,
                         passed.size() >= needed ? passed[needed - 1] : 0};
    }
    auto& lags = lags_[s];
    const auto learned = lags.limit(limits_.rule, limits_.fixed, 0);
    const auto limit =
        std::max(limits_.least, limits_.rule == Rule::fixed ? learned : limits_.scale * learned);
    for (const auto& one : current) {
      auto& finding = found[one.router];
      const auto& [share, since] = judged[one.key];
      auto& was = behind_[{one.router, subject}];
      if (was.second > 0 && was.first != one.key) {
        // It has moved on: how long it took is what is usual, unless it was brought up by force.
        if (one.acting.from - was.second < 4 * limits_.fixed) lags.add(one.acting.from - was.second);
        was = {};
      }
      if (since <= 0) {
        was = {};
        const auto alone = holders[one.key] == 1 && static_cast<int>(current.size()) > 2;
        const auto theirs = std::any_of(current.begin(), current.end(), [&](const Current& other) {
          return other.router != one.router && other.acting.hash == one.acting.hash;
        });
        if (alone && !theirs && finding.condition == Condition::fine &&
            now > one.acting.from + limits_.fixed) {
          finding.condition = Condition::apart;
          finding.subject = subject;
          finding.since = one.acting.from;
          finding.count = one.acting.count;
          finding.hash = one.acting.hash;
        }
        continue;
      }
      // What is older than what is looked at is known from before.
      if (was.second <= 0 || was.first != one.key) was = {one.key, since};
      const auto behind = std::min(was.second, since);
      if (finding.condition == Condition::starting) continue;
      const auto late = now - behind > limit + one.acting.bound;
      // The worst of its subjects is told.
      if (finding.condition == Condition::straggler || (finding.condition == Condition::behind && !late))
        continue;
      finding.condition = late ? Condition::straggler : Condition::behind;
      finding.subject = subject;
      finding.count = one.acting.count;
      finding.hash = one.acting.hash;
      finding.since = behind;
      finding.limit = limit;
      finding.newer = share;
      finding.bound = one.acting.bound;
    }
  }
  // All of a site that can be reached, and on the same thing: it is the site.
  std::map<std::string, std::set<std::tuple<VersionedInput, std::uint64_t>>> on;
  std::map<std::string, int> stragglers, reached;
  for (const auto& [name, f] : found) {
    if (f.condition == Condition::unreachable || f.condition == Condition::site_out) continue;
    ++reached[f.site];
    if (f.condition != Condition::straggler) continue;
    ++stragglers[f.site];
    on[f.site].insert({f.subject, f.hash});
  }
  std::vector<Finding> result;
  for (auto& [name, f] : found) {
    if (f.condition == Condition::straggler && reached[f.site] > 1 && stragglers[f.site] == reached[f.site] &&
        on[f.site].size() == 1)
      f.condition = Condition::site_behind;
    result.push_back(f);
  }
  return result;
}

}  // namespace yoketurn::audit
