#include "queries/queries.hpp"

#include <fmt/format.h>

#include <sstream>

#include "support.hpp"
#include "wire/host.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

// Queries with three nodes, which logs the actions that they ask for.
struct QueriesFixture : QueryActions {
  explicit QueriesFixture(const Settings& s = settings()) : queries(s, 7, now, timers, *this) {
    std::vector<DiscoveredNode> nodes;
    for (int i = 0; i < 3; ++i) nodes.push_back({i, 0, i, true, 0});
    queries.update_nodes(nodes, true, now);
  }

  void add_query_with_parts(int vertical, int parts, long long number = 1) {
    Query q;
    q.vertical = vertical;
    q.deadline = now + 4;
    queries.add_query(number, q, now);
    for (int i = 0; i < parts; ++i) queries.add_part(number, {i, 1.0 / parts, 0, 1, false, {}}, now);
    queries.process_changes(now);
  }
  // Answers other queries, so that the share of copies allows one.
  void answer_queries(int count) {
    for (int i = 2; i < 2 + count; ++i) {
      add_query_with_parts(1, 1, i);
      queries.on_outcome(i, 0, 0, Outcome::success, 0, now);
      queries.process_changes(now);
    }
    sends.clear();
    actions_log.clear();
  }
  void advance(double seconds) {
    for (const auto end = now + seconds; now < end - 1e-9;) {
      now = std::min(end, now + queries.tick_interval());
      queries.tick(now);
      queries.process_changes(now);
    }
  }

  void send(long long, const Send& send, int call) override { sends.push_back({send.leaf, call}); }
  void cancel(long long, const Cancel& cancel) override { cancels.push_back({cancel.leaf, cancel.call}); }
  void merge(long long, bool complete) override { actions_log += complete ? "complete " : "partial "; }
  void reject(long long, double, const Explanation&) override { actions_log += "reject "; }
  void abort(long long, const Explanation&) override { actions_log += "abort "; }
  void release(long long) override { actions_log += "release "; }

  double now = 1000;
  TimerQueue timers;
  Queries queries;
  std::vector<std::pair<int, int>> sends, cancels;
  std::string actions_log;
};

}  // namespace

TEST_SUITE_BEGIN("queries");

TEST_CASE("timers run in order, each once, and can be cancelled or rescheduled") {
  TimerQueue timers;
  std::string run_order;
  const auto append = [&](const char* action) {
    return [&run_order, action](double) { run_order += action; };
  };
  timers.schedule(3, 2, append("c"));
  timers.schedule(1, 2, append("b"));
  timers.schedule(2, 1, append("a"));
  timers.schedule(4, 1, append("x"));
  timers.cancel(4);
  timers.schedule(5, 1, append("d"));
  timers.schedule(5, 3, append("d"));
  timers.run_due(2.5);
  CHECK(run_order == "abc");
  CHECK(timers.next_due() == 3);
  timers.run_due(9);
  timers.run_due(9);
  CHECK(run_order == "abcd");
}

TEST_CASE("a second step goes to the shards whose used answers have the highest scores") {
  auto s = settings();
  s.verticals[0].second_step_parts = 2;
  QueriesFixture fixture(s);
  fixture.answer_queries(20);
  fixture.add_query_with_parts(0, 3);
  fixture.queries.on_outcome(1, 0, 0, Outcome::success, 5, fixture.now);
  fixture.queries.on_outcome(1, 1, 0, Outcome::success, 9, fixture.now);
  fixture.advance(1);  // the last part is copied, and the copy loses
  REQUIRE(fixture.sends.size() == 4);
  fixture.queries.on_outcome(1, 2, 0, Outcome::success, 8, fixture.now);
  CHECK(fixture.cancels == std::vector<std::pair<int, int>>{{2, 1}});
  fixture.queries.on_outcome(1, 2, 1, Outcome::cancelled, 0, fixture.now);
  fixture.queries.process_changes(fixture.now);
  CHECK(fixture.actions_log == "complete ");
  REQUIRE(fixture.queries.awaits_parts(1));
  CHECK(fixture.queries.second_step_leaves(1) == std::vector<int>{1, 2});
  for (const int shard : {1, 2})
    CHECK(fixture.queries.add_part(1, {shard, 0.5, 0, 2, false, {}}, fixture.now) >= 3);
  fixture.queries.process_changes(fixture.now);
  CHECK(!fixture.queries.awaits_parts(1));
  for (const int leaf : {3, 4}) fixture.queries.on_outcome(1, leaf, 0, Outcome::success, 1, fixture.now);
  fixture.queries.process_changes(fixture.now);
  CHECK(fixture.actions_log == "complete complete release ");
}

TEST_CASE("an outcome counts once, and a query is kept until each of its calls has one") {
  QueriesFixture fixture;
  fixture.add_query_with_parts(0, 1);
  fixture.queries.abandon(1);
  fixture.queries.process_changes(fixture.now);
  CHECK(fixture.actions_log.empty());
  fixture.queries.on_outcome(1, 0, 7, Outcome::success, 0, fixture.now);  // no such call
  fixture.queries.process_changes(fixture.now);
  CHECK(fixture.queries.contains(1));
  for (int i = 0; i < 2; ++i) fixture.queries.on_outcome(1, 0, 0, Outcome::success, 0, fixture.now);
  fixture.queries.process_changes(fixture.now);
  CHECK(fixture.actions_log == "release ");
  CHECK(!fixture.queries.contains(1));
}

TEST_CASE("a query with a forced rejection is rejected whatever its effect") {
  for (const int vertical : {0, 1, 2}) {
    QueriesFixture fixture;
    Query q;
    q.vertical = vertical;
    q.deadline = fixture.now + 4;
    q.forced_rejection = Reason::too_many_pending;
    fixture.queries.add_query(1, q, fixture.now);
    fixture.queries.add_part(1, {0, 1, 0, 1, false, {}}, fixture.now);
    fixture.queries.process_changes(fixture.now);
    CHECK(fixture.actions_log == "reject release ");
    CHECK(fixture.sends.empty());
  }
}

// Feeds the same events to a router instance in the text protocol of src/wire and directly to Queries, and
// compares the actions, written in the same form.
TEST_CASE("the wire protocol and direct calls lead to the same decisions") {
  const std::string setup =
      "balancers=2 bounds.cancel=true bounds.max_attempts=3 bounds.may_duplicate=true "
      "bounds.retry_after=true "
      "bounds.max_retry_after_us=500000 classes.count=3 classes.0.aim_us=1000000 classes.0.credit=1 "
      "classes.0.late_worth=0.5 classes.0.name=look classes.0.semantics=safe classes.1.aim_us=900000 "
      "classes.1.credit=2 classes.1.late_worth=0 classes.1.name=change classes.1.semantics=keyed "
      "classes.1.window_us=2000000 classes.2.aim_us=2000000 classes.2.credit=3 classes.2.late_worth=0.2 "
      "classes.2.name=book classes.2.semantics=unsafe contract.cold_us=9000000 contract.fall_multiple=2 "
      "contract.overload_for_us=1000000 contract.start_capacity=0.3 customers= discovery=push "
      "domain.min_share=1,1,1 domain.partial_earns=1,1,1 domain.parts_a_call=1 domain.places=3 "
      "domain.second_step=0,0,0 domain.span=3 domain.whole_at=1,1,1 resolution_us=5000 worth_by=request "
      "zone=a "
      "zones=a,b";
  constexpr int kFailures = 3;
  const char* failure_words[kFailures] = {"failure", "overloaded", "broken"};
  const char* verticals[] = {"look", "change", "book"};
  struct Recorder : QueryActions {
    void send(long long query, const Send& send, int call) override {
      actions_log += fmt::format("place {} {} {}\n", query * 10 + send.leaf,
                                 wire::to_microseconds(send.timeout), send.node);
      pending_calls.push_back({query, send.leaf, send.node, call});
    }
    void cancel(long long query, const Cancel& cancel) override {
      actions_log += fmt::format("withdraw {} {}\n", query * 10 + cancel.leaf, cancel.call);
    }
    void merge(long long query, bool complete) override {
      actions_log += fmt::format("answer {} {:d}\n", query * 10 + 9, complete);
    }
    void reject(long long query, double retry_after, const Explanation&) override {
      actions_log += fmt::format("reject {} {}\n", query * 10 + 9, wire::to_microseconds(retry_after));
    }
    void abort(long long query, const Explanation&) override {
      actions_log += fmt::format("respond_error {}\n", query * 10 + 9);
    }
    void release(long long) override {}
    struct PendingCall {
      long long query;
      int leaf, node, call;
    };
    std::string actions_log;
    std::vector<PendingCall> pending_calls;
  };

  Recorder recorder;
  TimerQueue timers;
  Queries queries(read_settings(parse_settings_text(setup)), 77, 1, timers, recorder);
  const DiscoveredNode nodes[] = {{0, 0, 0, true, 0}, {1, 0, 1, true, 0}, {2, 1, 2, true, 0}};
  queries.update_nodes(nodes, true, 1);
  std::string wire_input = "frame 1000000 1\nopen_instance router-0 77 " + setup +
                           "\ninventory 0 3\nnode 0 a k 0 U 1 -\nnode 1 a k 1 U 1 -\nnode 2 b k 2 U 1 -\n"
                           "membership router-0 warm_copy 0 1\ngo\n";
  queries.process_changes(1);
  for (int round = 1; round <= 1200; ++round) {
    const long long clock_us = 1000000 + 25000LL * round;
    const auto at = static_cast<double>(clock_us) / 1e6;
    wire_input += fmt::format("frame {} {}\n", clock_us, round + 1);
    if (round % 4 == 0) {
      wire_input += "reminder router-0 tick\n";
      queries.tick(at);
    }
    if (round % 3 == 0) {
      const auto vertical = round / 3 % 3;
      const int parts = 1 + round % 4;
      Query q;
      q.vertical = vertical;
      q.deadline = static_cast<double>(clock_us + 1500000) / 1e6;
      queries.add_query(round, q, at);
      wire_input += fmt::format("demand router-0 {} {} - - {} - {} -1 {} 0\n", round * 10 + 9,
                                verticals[vertical], clock_us + 1500000, round, parts);
      for (int i = 0; i < parts; ++i) {
        queries.add_part(round, {i, 1.0 / parts, 0, 1, false, {}}, at);
        wire_input += fmt::format("demand router-0 {} {} - - {} - {} {} {} 0\n", round * 10 + i,
                                  verticals[vertical], clock_us + 1500000, round, i, 1.0 / parts);
      }
    }
    // In every second round all calls are answered, except those at a node that answers nothing for 40
    // rounds.
    for (const auto& call :
         round % 2 == 0 ? std::exchange(recorder.pending_calls, {}) : std::vector<Recorder::PendingCall>{}) {
      const auto outcome_word = round % 130 == 0 ? failure_words[round / 130 % kFailures] : "success";
      if (call.node == round / 40 % 4) continue;
      wire_input += fmt::format("response router-0 {} {} {} {} 1 1 -\n", call.query * 10 + call.leaf,
                                call.call, call.node, outcome_word);
      queries.on_outcome(call.query, call.leaf, call.call, wire::parse_outcome(outcome_word), 0, at);
    }
    if (round % 50 == 0) {
      wire_input += fmt::format("gone router-0 {}\n", (round - round % 3) * 10 + 9);
      queries.abandon(round - round % 3);
    }
    wire_input += "reminder router-0 due\ngo\n";
    queries.process_changes(at);
  }
  std::istringstream in(wire_input);
  std::ostringstream output, log;
  wire::InstanceHost().run(in, output, log);
  std::string actions_log, line;
  for (std::istringstream lines(output.str()); std::getline(lines, line);) {
    if (line.starts_with("end ") || line.starts_with("notify_me ")) continue;
    const auto name = line.find(" router-0");
    actions_log += line.erase(name, std::string(" router-0").size()) + "\n";
  }
  CHECK(log.str().empty());
  for (const std::string action : {"place ", "withdraw ", "answer ", "reject ", "respond_error "}) {
    CAPTURE(action);
    CHECK(actions_log.find(action) != std::string::npos);
  }
  CHECK(actions_log == recorder.actions_log);
}
