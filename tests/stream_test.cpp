// A seeded simulation of a cluster on the text protocol: three routers, twelve data nodes with faults, four
// verticals, drains and restarts. The checksum of the routers' replies over thousands of events shows whether
// a refactoring has changed any decision. YOKETURN_STREAM names a file that the replies are written to.
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
constexpr long long kFrameMicroseconds = 5000;

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

struct TestCluster {
  struct Attempt {
    int node = 0;
    bool done = false;
  };
  struct Part {
    long long query_index = 0;
    std::vector<Attempt> attempts;
  };
  struct Event {
    int router;
    std::string line;
  };

  double chance() { return std::uniform_real_distribution<>(0, 1)(random_engine); }
  void schedule(long long at, int router, std::string line) {
    scheduled_events.emplace(at, Event{router, std::move(line)});
  }

  // How long a node works on a part, in microseconds (below 0: it never answers), and the outcome.
  std::pair<long long, const char*> simulate_call(int node, int vertical) {
    auto duration =
        static_cast<long long>(4000 + 30000 * chance() * chance() + 1500 * calls_in_progress[node]);
    const auto phase = clock / 1'000'000;
    if (phase > 10 && phase < 20 && node == 3) duration *= 12;
    if (phase > 15 && phase < 25 && node == 5) return {-1, ""};
    if (phase > 25 && phase < 35 && node == 7 && vertical == 1) return {1000, "failure"};
    if (phase > 30 && phase < 36 && chance() < 0.06) return {-1, ""};
    if (phase > 40 && phase < 48) duration *= 4;
    if (calls_in_progress[node] > 40) return {500, "overloaded"};
    if (chance() < 0.003) return {2000, "broken"};
    return {duration, "success"};
  }

  void start_call(int router, long long part, long long timeout, int node) {
    auto& part_state = parts[{router, part}];
    const auto attempt_index = part_state.attempts.size();
    part_state.attempts.push_back({node, false});
    const auto [duration, end] = simulate_call(node, static_cast<int>(part_state.query_index % 4));
    ++calls_in_progress[node];
    const auto late = duration < 0 || duration > timeout;
    schedule(clock + (late ? timeout : duration), router,
             fmt::format("response router-{} {} {} {} {} 1 1 -", router, part, attempt_index, node,
                         late ? "timed_out" : end));
  }

  // Carries out a batch of the routers' replies.
  void process_replies(const std::string& replies) {
    std::istringstream lines(replies);
    for (std::string verb, name; lines >> verb;) {
      std::string rest;
      std::getline(lines, rest);
      std::istringstream words(rest);
      words >> name;
      if (verb == "end") continue;
      const auto router = name.back() - '0';
      long long first = 0, second = 0, third = 0;
      std::string token;
      if (verb == "notify_me") {
        words >> token >> first;
        schedule(clock + first, router, fmt::format("reminder router-{} {}", router, token));
        continue;
      }
      words >> first >> second >> third;
      if (verb == "place") start_call(router, first, second, static_cast<int>(third));
      if (verb == "withdraw")
        schedule(clock + kFrameMicroseconds, router,
                 fmt::format("response router-{} {} {} 0 withdrawn 1 1 -", router, first, second));
      if (verb == "keep_informed") schedule(clock + 20000, router, list(router, "total"));
    }
  }

  std::string list(int router, const char* kind) {
    auto text = fmt::format("inventory 0 {}\n", kNodes);
    const auto phase = clock / 1'000'000;
    for (int node = 0; node < kNodes; ++node) {
      const auto draining = node == 9 && phase > 20 && phase < 30;
      const auto started = node == 2 && phase >= 12 ? "12000000" : "-";
      text += fmt::format("node {} {} kind {} {} 1 {}\n", node, node % 2 ? "b" : "a", node % kCells,
                          draining ? 'D' : 'U', started);
    }
    return text + fmt::format("membership router-{} {} 0 1", router, kind);
  }

  void add_query(int router, std::string& input) {
    const auto vertical = static_cast<int>(next_query_index % 4);
    const auto query_index = next_query_index++;
    const auto part_count = 1 + static_cast<int>(chance() * 4);
    const auto marks = (chance() < 0.8 ? 1 : 0) + (chance() < 0.1 ? 2 : 0);
    const auto customer = chance() < 0.4 ? "c" : "-";
    const auto expires = clock + (chance() < 0.1 ? 200000 : 1500000);
    const auto query = query_index * 100;
    input += fmt::format("demand router-{} {} v{} {} - {} {} {} -1 1 {}\n", router, query, vertical, customer,
                         expires, part_count * 9000, query_index, marks);
    const auto from = static_cast<int>(chance() * kCells);
    for (int i = 0; i < part_count; ++i) {
      parts[{router, query + 1 + i}].query_index = query_index;
      input += fmt::format("demand router-{} {} v{} {} - {} {} {} {} {} {}\n", router, query + 1 + i,
                           vertical, customer, expires, 4000 + static_cast<int>(chance() * 20000),
                           query_index, (from + i) % kCells, 1.0 / part_count, marks);
    }
    if (chance() < 0.02) schedule(clock + 60000, router, fmt::format("gone router-{} {}", router, query));
  }

  std::string run_frame(const std::string& input) {
    std::istringstream lines(input);
    std::ostringstream out;
    host.run(lines, out, log);
    return out.str();
  }

  std::string run(long long seconds) {
    std::string all_replies;
    std::string input = fmt::format("frame {} 0\n", clock);
    for (int i = 0; i < kRouters; ++i)
      input += fmt::format("open_instance router-{} {} {}\n{}\n", i, 17 + i, setup(i), list(i, "warm_copy"));
    for (long long frame = 1; clock < seconds * 1'000'000; ++frame) {
      const auto replies = run_frame(input + "go\n");
      all_replies += replies;
      process_replies(replies);
      clock += kFrameMicroseconds;
      if (clock > 50'000'000 && clock < 50'400'000) clock = 50'400'000;  // all processes stand still
      input = fmt::format("frame {} {}\n", clock, frame);
      while (!scheduled_events.empty() && scheduled_events.begin()->first <= clock) {
        const auto event = scheduled_events.begin()->second;
        scheduled_events.erase(scheduled_events.begin());
        if (event.line.starts_with("response ")) {
          std::istringstream words(event.line);
          std::string word;
          long long part = 0, attempt_index = 0;
          words >> word >> word >> part >> attempt_index;
          auto& attempts = parts[{event.router, part}].attempts;
          if (static_cast<std::size_t>(attempt_index) >= attempts.size()) continue;
          auto& attempt = attempts[static_cast<std::size_t>(attempt_index)];
          if (std::exchange(attempt.done, true)) continue;
          --calls_in_progress[attempt.node];
          ++outcomes;
        }
        input += event.line + "\n";
      }
      for (int router = 0; router < kRouters; ++router)
        if (chance() < (clock > 42'000'000 && clock < 46'000'000 ? 0.5 : 0.15)) add_query(router, input);
      if (clock == 33'000'000)
        input += fmt::format("teardown router-1\nopen_instance router-1 99 {}\n{}\n", setup(1),
                             list(1, "warm_copy"));
      if (clock % 2'000'000 == 0)
        for (int router = 0; router < kRouters; ++router) input += list(router, "incr") + "\n";
    }
    return all_replies;
  }

  wire::InstanceHost host;
  std::ostringstream log;
  std::mt19937 random_engine{20};
  long long clock = 1'000'000, next_query_index = 0, outcomes = 0;
  std::multimap<long long, Event> scheduled_events;
  std::map<std::pair<int, long long>, Part> parts;
  std::map<int, int> calls_in_progress;
};

}  // namespace

TEST_SUITE_BEGIN("stream");

TEST_CASE("a recorded cluster run gets the same replies, byte for byte") {
  TestCluster cluster;
  const auto replies = cluster.run(60);
  if (const char* path = std::getenv("YOKETURN_STREAM")) std::ofstream(path) << replies;
  CHECK(cluster.log.str() == "");
  CHECK(cluster.outcomes > 10'000);
  boost::crc_32_type sum;
  sum.process_bytes(replies.data(), replies.size());
  CHECK(sum.checksum() == 2243886781u);
}

TEST_SUITE_END();
