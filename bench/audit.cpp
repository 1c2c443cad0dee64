// The audit's rules against each other, and what it costs: `yoketurn_bench_audit rules` tells for each rule
// and each setting of it how soon a planted straggler is noticed and how often a sound router is taken for
// one; `yoketurn_bench_audit cost` plays recorded streams of many routers into the account and the store.
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <map>
#include <random>
#include <set>
#include <string>

#include "audit/account.hpp"
#include "audit/stragglers.hpp"
#include "fleet/store.hpp"

namespace {

using namespace yoketurn;
using namespace yoketurn::audit;

double seconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// Routers that act on each change of one list some time after it, and say so when they are asked.
struct Stream {
  struct One {
    std::string name, site;
    std::uint64_t number = 0;
    long long count = 0;
    double since = 0;
    double deaf_until = 0;  // planted: it acts on no change until then
    std::multimap<double, long long> coming;
  };
  std::vector<One> routers;
  long long version = 1;

  explicit Stream(int many) {
    for (int i = 0; i < many; ++i)
      routers.push_back({"r-" + std::to_string(i), "s-" + std::to_string(i % 3), 0, 1, 0, 0, {}});
  }
  ReportedInterval told(const One& r, double to) const {
    ReportedInterval t;
    t.verticals = {"look"};
    auto& i = t.interval;
    i.number = r.number;
    i.started_at = r.since;
    i.ended_at = to;
    i.versions[0] = {r.count, 1, static_cast<std::uint64_t>(r.count) * 7919};
    i.actions.push_back({10, 1});
    for (int n = 0; n < 6; ++n)
      i.nodes.push_back({n, "node-" + std::to_string(n), 2, 0, r.since, r.since + 0.1});
    return t;
  }
  // What has come by now is acted on.
  void advance(double now, const std::function<void(const One&, const ReportedInterval&)>& closed) {
    for (auto& r : routers)
      while (!r.coming.empty() && r.coming.begin()->first <= now) {
        const auto [at, count] = *r.coming.begin();
        r.coming.erase(r.coming.begin());
        if (count <= r.count) continue;
        closed(r, told(r, at));
        ++r.number;
        r.count = count;
        r.since = at;
      }
  }
  Seen seen(const One& r, double now) const {
    VersionReport s;
    s.router = r.name;
    s.site = r.site;
    s.unix_time = now;
    s.serving = true;
    s.process_started_at = 1;
    s.versions[0] = {r.count, 1, static_cast<std::uint64_t>(r.count) * 7919, "a", r.since, r.since};
    return {s, now, 0, 0.001};
  }
};

struct Verdict {
  std::vector<double> noticed;
  int missed = 0, false_alarms = 0;
  double hours = 0;
};

// Twenty minutes: a change each 2 s on average; usual lags are log-normal round 0.25 s, one in fifty is of 1
// to 3 s; twice discovery is slow for half a minute, ten times as much. Twelve planted stragglers of 25 s
// each.
Verdict play(const StragglerLimits& limits, unsigned seed) {
  std::mt19937 chance(seed);
  const auto any = [&](double from, double to) { return std::uniform_real_distribution<>(from, to)(chance); };
  std::lognormal_distribution<> usual(std::log(0.25), 0.6);
  std::exponential_distribution<> changes(0.5);
  Stream stream(60);
  Account account;
  Stragglers stragglers(limits);
  Verdict verdict;
  constexpr double kEnd = 1200;
  std::vector<std::pair<double, int>> planted;  // from when which router
  for (int i = 0; i < 12; ++i) planted.push_back({150 + i * 85 + any(0, 40), static_cast<int>(any(0, 59.9))});
  std::map<int, double> deaf_since;  // the first change it did not act on
  std::set<int> noticed;
  std::set<std::string> alarmed;
  double next = changes(chance);
  std::size_t plant = 0;
  for (double now = 1; now < kEnd; now += 0.5) {
    while (plant < planted.size() && planted[plant].first <= now) {
      const auto who = planted[plant++].second;
      stream.routers[static_cast<std::size_t>(who)].deaf_until = now + 25;
      deaf_since[who] = 0;
      noticed.erase(who);
    }
    for (; next <= now; next += changes(chance)) {
      ++stream.version;
      const auto slow = (next > 400 && next < 430) || (next > 800 && next < 830);
      for (std::size_t i = 0; i < stream.routers.size(); ++i) {
        auto& r = stream.routers[i];
        if (next < r.deaf_until) {
          if (auto& since = deaf_since[static_cast<int>(i)]; since == 0) since = next;
          r.coming.emplace(r.deaf_until + 0.1, stream.version);
          continue;
        }
        const auto lag = any(0, 1) < 0.02 ? any(1, 3) : usual(chance) * (slow ? 10 : 1);
        r.coming.emplace(next + lag, stream.version);
      }
    }
    stream.advance(now, [&](const Stream::One& r, const ReportedInterval& t) { account.take(r.name, 1, t); });
    for (const auto& r : stream.routers) {
      account.take(stream.seen(r, now));
      account.take(r.name, 1, stream.told(r, 0));
    }
    for (const auto& f : stragglers.look(account, now)) {
      const auto who = std::stoi(f.router.substr(2));
      auto& r = stream.routers[static_cast<std::size_t>(who)];
      const auto late = f.condition == Condition::straggler || f.condition == Condition::site_behind;
      if (!late) {
        alarmed.erase(f.router);
        continue;
      }
      if (now < r.deaf_until + 1 && deaf_since.contains(who)) {
        if (deaf_since[who] > 0 && noticed.insert(who).second)
          verdict.noticed.push_back(now - deaf_since[who]);
      } else if (alarmed.insert(f.router).second) {
        ++verdict.false_alarms;
      }
    }
  }
  verdict.missed = static_cast<int>(planted.size()) - static_cast<int>(verdict.noticed.size());
  verdict.hours = kEnd / 3600;
  return verdict;
}

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void rules() {
  fmt::print("rule setting noticed_median noticed_p95 missed false_alarms_an_hour\n");
  const auto tell = [](Rule rule, double setting, const StragglerLimits& limits) {
    Verdict sum;
    for (unsigned seed = 1; seed <= 5; ++seed) {
      const auto one = play(limits, seed);
      sum.noticed.insert(sum.noticed.end(), one.noticed.begin(), one.noticed.end());
      sum.missed += one.missed;
      sum.false_alarms += one.false_alarms;
      sum.hours += one.hours;
    }
    fmt::print("{} {:g} {:.2f} {:.2f} {} {:.1f}\n", name(rule), setting, quantile(sum.noticed, 0.5),
               quantile(sum.noticed, 0.95), sum.missed, sum.false_alarms / sum.hours);
    std::fflush(stdout);
  };
  for (const double age : {0.5, 1.0, 2.0, 3.0, 5.0, 8.0})
    tell(Rule::fixed, age, {Rule::fixed, 0.5, age, 0.1, 1, 3, 5});
  for (const auto rule : {Rule::quantile, Rule::likelihood})
    for (const double scale : {0.25, 0.5, 1.0, 1.5, 2.0}) tell(rule, scale, {rule, 0.5, 3, 0.1, scale, 3, 5});
}

void cost(int routers, double span) {
  const std::string path = "bench-audit.db";
  for (const auto* tail : {"", "-wal", "-shm"}) std::filesystem::remove(path + tail);
  std::mt19937 chance(1);
  std::lognormal_distribution<> usual(std::log(0.1), 0.5);
  Stream stream(routers);
  fleet::Store store(path, fleet::Store::Use::write);
  Account account;
  Stragglers stragglers({});
  double merging = 0, keeping = 0, judging = 0;
  int rounds = 0;
  for (double now = 1; now < 1 + span; now += 0.5, ++rounds) {
    for (int i = 0; i < 5; ++i) {  // ten changes a second
      ++stream.version;
      for (auto& r : stream.routers) r.coming.emplace(now + 0.1 * i + usual(chance), stream.version);
    }
    auto began = seconds();
    std::vector<std::pair<const Stream::One*, ReportedInterval>> all;
    stream.advance(now, [&](const Stream::One& r, const ReportedInterval& t) { all.push_back({&r, t}); });
    for (const auto& r : stream.routers) all.push_back({&r, stream.told(r, 0)});
    began = seconds();
    for (const auto& [r, t] : all) account.take(r->name, 1, t);
    for (const auto& r : stream.routers) account.take(stream.seen(r, now));
    merging += seconds() - began;
    began = seconds();
    store.begin();
    for (const auto& [r, t] : all) store.put(r->name, 1, t);
    for (const auto& r : stream.routers) store.put(stream.seen(r, now));
    store.commit();
    keeping += seconds() - began;
    began = seconds();
    stragglers.look(account, now);
    if (rounds % 4 == 0) account.forks(now - 300);
    judging += seconds() - began;
  }
  rusage used{};
  ::getrusage(RUSAGE_SELF, &used);
  const auto began = seconds();
  const fleet::Store again(path, fleet::Store::Use::read);
  const auto loaded = again.load(false);
  const auto read = seconds() - began;
  const auto spreads = loaded.spreads(VersionedInput::list);
  const auto told = seconds() - began;
  fmt::print(
      "routers {} seconds {:g}: of a core merging {:.1f}%, keeping {:.1f}%, judging {:.1f}%; memory {:.0f} "
      "MiB; store {:.1f} "
      "MiB, {} intervals; audit version {:.2f} s (reading {:.2f}), {} versions\n",
      routers, span, 100 * merging / span, 100 * keeping / span, 100 * judging / span,
      static_cast<double>(used.ru_maxrss) / 1024,
      static_cast<double>(std::filesystem::file_size(path) + (std::filesystem::exists(path + "-wal")
                                                                  ? std::filesystem::file_size(path + "-wal")
                                                                  : 0)) /
          1048576,
      again.intervals(), told, read, spreads.size());
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "rules") {
    rules();
  } else if (what == "cost") {
    cost(argc > 2 ? std::stoi(argv[2]) : 300, argc > 3 ? std::stod(argv[3]) : 60);
  } else {
    fmt::print(stderr, "yoketurn_bench_audit rules | cost [ROUTERS [SECONDS]]\n");
    return 2;
  }
}
