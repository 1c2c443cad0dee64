// A seeded town on the text wire: three routers, twelve nodes with faults, three verticals, drains and
// restarts. What the routers reply over thousands of events is held to a checksum, so that a change of
// structure which changes no decision can be told from one that does. YOKETURN_STREAM names a file for the
// replies.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <boost/crc.hpp>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "wire/host.hpp"

using namespace yoketurn;

namespace {

constexpr int kRouters = 3, kNodes = 12, kCells = 6;
constexpr long long kStep = 5000;  // us

std::string setup(int router) {
  std::string text =
      "balancers=3 bounds.cancel=true bounds.max_attempts=3 bounds.may_duplicate=true "
      "bounds.retry_after=true "
      "bounds.max_retry_after_us=500000 classes.count=4 contract.cold_us=9000000 contract.fall_multiple=2 "
      "contract.overload_for_us=1000000 contract.start_capacity=0.3 contract.ratio_span_us=10000000 "
      "contract.min_extra=5 contract.budget_share=0.2 customers.count=1 customers.0.name=c "
      "customers.0.quota_rps=20 over_share_worth=0.3 discovery=ask domain.parts_a_call=2 domain.places=6 "
      "domain.span=3 domain.min_share=1,1,1,0.6 domain.whole_at=1,1,1,1 domain.partial_earns=1,1,1,0.7 "
      "domain.second_step=0,0,2,0 resolution_us=5000 worth_by=work zones=a,b zone=";
  text += router % 2 == 0 ? "a" : "b";
  const char* semantics[] = {"safe", "keyed", "safe", "unsafe"};
  for (int i = 0; i < 4; ++i)
    text += fmt::format(
        " classes.{0}.aim_us={1} classes.{0}.credit={2} classes.{0}.late_worth={3} classes.{0}.name=v{0} "
        "classes.{0}.semantics={4} classes.{0}.window_us=1500000",
        i, 300000 + 200000 * i, 1 + i, i == 3 ? 0 : 0.5, semantics[i]);
  return text;
}

struct Town {
  struct Attempt {
    int node = 0;
    bool done = false;
  };
  struct Part {
    long long ask = 0;
    std::vector<Attempt> attempts;
  };
  struct Event {
    int router;
    std::string line;
  };

  double chance() { return std::uniform_real_distribution<>(0, 1)(engine); }
  void plan(long long at, int router, std::string line) { due.emplace(at, Event{router, std::move(line)}); }

  // How long a node works on a part, in us; below 0: it never answers. And what comes of it.
  std::pair<long long, const char*> serve(int node, int vertical) {
    auto took = static_cast<long long>(4000 + 30000 * chance() * chance() + 1500 * busy[node]);
    const auto phase = clock / 1'000'000;
    if (phase > 10 && phase < 20 && node == 3) took *= 12;
    if (phase > 15 && phase < 25 && node == 5) return {-1, ""};
    if (phase > 25 && phase < 35 && node == 7 && vertical == 1) return {1000, "failure"};
    if (phase > 30 && phase < 36 && chance() < 0.06) return {-1, ""};
    if (phase > 40 && phase < 48) took *= 4;
    if (busy[node] > 40) return {500, "overloaded"};
    if (chance() < 0.003) return {2000, "broken"};
    return {took, "success"};
  }

  void place(int router, long long part, long long timeout, int node) {
    auto& known = parts[{router, part}];
    const auto number = known.attempts.size();
    known.attempts.push_back({node, false});
    const auto [took, end] = serve(node, static_cast<int>(known.ask % 4));
    ++busy[node];
    const auto late = took < 0 || took > timeout;
    plan(clock + (late ? timeout : took), router,
         fmt::format("response router-{} {} {} {} {} 1 1 -", router, part, number, node,
                     late ? "timed_out" : end));
  }

  // Reads a batch of replies.
  void obey(const std::string& replies) {
    std::istringstream in(replies);
    for (std::string verb, name; in >> verb;) {
      std::string rest;
      std::getline(in, rest);
      std::istringstream words(rest);
      words >> name;
      if (verb == "end") continue;
      const auto router = name.back() - '0';
      long long first = 0, second = 0, third = 0;
      std::string token;
      if (verb == "notify_me") {
        words >> token >> first;
        plan(clock + first, router, fmt::format("reminder router-{} {}", router, token));
        continue;
      }
      words >> first >> second >> third;
      if (verb == "place") place(router, first, second, static_cast<int>(third));
      if (verb == "withdraw")
        plan(clock + kStep, router,
             fmt::format("response router-{} {} {} 0 withdrawn 1 1 -", router, first, second));
      if (verb == "keep_informed") plan(clock + 20000, router, list(router, "total"));
    }
  }

  std::string list(int router, const char* kind) {
    auto text = fmt::format("inventory 0 {}\n", kNodes);
    const auto phase = clock / 1'000'000;
    for (int node = 0; node < kNodes; ++node) {
      const auto drained = node == 9 && phase > 20 && phase < 30;
      const auto born = node == 2 && phase >= 12 ? "12000000" : "-";
      text += fmt::format("node {} {} kind {} {} 1 {}\n", node, node % 2 ? "b" : "a", node % kCells,
                          drained ? 'D' : 'U', born);
    }
    return text + fmt::format("membership router-{} {} 0 1", router, kind);
  }

  void arrive(int router, std::string& in) {
    const auto vertical = static_cast<int>(last % 4);
    const auto ask = last++;
    const auto many = 1 + static_cast<int>(chance() * 4);
    const auto marks = (chance() < 0.8 ? 1 : 0) + (chance() < 0.1 ? 2 : 0);
    const auto customer = chance() < 0.4 ? "c" : "-";
    const auto expires = clock + (chance() < 0.1 ? 200000 : 1500000);
    const auto query = ask * 100;
    in += fmt::format("demand router-{} {} v{} {} - {} {} {} -1 1 {}\n", router, query, vertical, customer,
                      expires, many * 9000, ask, marks);
    const auto from = static_cast<int>(chance() * kCells);
    for (int i = 0; i < many; ++i) {
      parts[{router, query + 1 + i}].ask = ask;
      in += fmt::format("demand router-{} {} v{} {} - {} {} {} {} {} {}\n", router, query + 1 + i, vertical,
                        customer, expires, 4000 + static_cast<int>(chance() * 20000), ask,
                        (from + i) % kCells, 1.0 / many, marks);
    }
    if (chance() < 0.02) plan(clock + 60000, router, fmt::format("gone router-{} {}", router, query));
  }

  std::string turn(const std::string& in) {
    std::istringstream input(in);
    std::ostringstream out;
    host.run(input, out, log);
    return out.str();
  }

  std::string run(long long seconds) {
    std::string all;
    std::string in = fmt::format("frame {} 0\n", clock);
    for (int i = 0; i < kRouters; ++i)
      in += fmt::format("open_instance router-{} {} {}\n{}\n", i, 17 + i, setup(i), list(i, "warm_copy"));
    for (long long frame = 1; clock < seconds * 1'000'000; ++frame) {
      const auto replies = turn(in + "go\n");
      all += replies;
      obey(replies);
      clock += kStep;
      if (clock > 50'000'000 && clock < 50'400'000) clock = 50'400'000;  // all stood still
      in = fmt::format("frame {} {}\n", clock, frame);
      while (!due.empty() && due.begin()->first <= clock) {
        const auto event = due.begin()->second;
        due.erase(due.begin());
        if (event.line.starts_with("response ")) {
          std::istringstream words(event.line);
          std::string word;
          long long part = 0, number = 0;
          words >> word >> word >> part >> number;
          auto& attempts = parts[{event.router, part}].attempts;
          if (static_cast<std::size_t>(number) >= attempts.size()) continue;
          auto& attempt = attempts[static_cast<std::size_t>(number)];
          if (std::exchange(attempt.done, true)) continue;
          --busy[attempt.node];
          ++outcomes;
        }
        in += event.line + "\n";
      }
      for (int router = 0; router < kRouters; ++router)
        if (chance() < (clock > 42'000'000 && clock < 46'000'000 ? 0.5 : 0.15)) arrive(router, in);
      if (clock == 33'000'000)
        in += fmt::format("teardown router-1\nopen_instance router-1 99 {}\n{}\n", setup(1),
                          list(1, "warm_copy"));
      if (clock % 2'000'000 == 0)
        for (int router = 0; router < kRouters; ++router) in += list(router, "incr") + "\n";
    }
    return all;
  }

  wire::InstanceHost host;
  std::ostringstream log;
  std::mt19937 engine{20};
  long long clock = 1'000'000, last = 0, outcomes = 0;
  std::multimap<long long, Event> due;
  std::map<std::pair<int, long long>, Part> parts;
  std::map<int, int> busy;
};

}  // namespace

TEST_SUITE_BEGIN("stream");

TEST_CASE("a recorded town gets the same replies, byte for byte") {
  Town town;
  const auto replies = town.run(60);
  if (const char* path = std::getenv("YOKETURN_STREAM")) std::ofstream(path) << replies;
  CHECK(town.log.str() == "");
  CHECK(town.outcomes > 10'000);
  boost::crc_32_type sum;
  sum.process_bytes(replies.data(), replies.size());
  CHECK(sum.checksum() == 2243886781u);
}

TEST_SUITE_END();
