#include "queries/queries.hpp"

#include <fmt/format.h>

#include <sstream>

#include "support.hpp"
#include "wire/host.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

// Queries with what they want done written down.
struct Desk : QueryActions {
  explicit Desk(const Settings& s = settings()) : queries(s, 7, now, due, *this) {
    std::vector<DiscoveredNode> hosts;
    for (int i = 0; i < 3; ++i) hosts.push_back({i, 0, i, true, 0});
    queries.update_nodes(hosts, true, now);
  }

  void take(int vertical, int parts, long long number = 1) {
    Query q;
    q.vertical = vertical;
    q.deadline = now + 4;
    queries.add_query(number, q, now);
    for (int i = 0; i < parts; ++i) queries.add_part(number, {i, 1.0 / parts, 0, 1, false, {}}, now);
    queries.process_changes(now);
  }
  // Other queries, so that a tenth of the parts sent is enough for a copy.
  void serve(int many) {
    for (int i = 2; i < 2 + many; ++i) {
      take(1, 1, i);
      queries.on_outcome(i, 0, 0, Outcome::success, 0, now);
      queries.process_changes(now);
    }
    sends.clear();
    said.clear();
  }
  void pass(double seconds) {
    for (const auto end = now + seconds; now < end - 1e-9;) {
      now = std::min(end, now + queries.tick_interval());
      queries.tick(now);
      queries.process_changes(now);
    }
  }

  void send(long long, const Send& send, int call) override { sends.push_back({send.leaf, call}); }
  void cancel(long long, const Cancel& cancel) override { cancels.push_back({cancel.leaf, cancel.call}); }
  void merge(long long, bool whole) override { said += whole ? "whole " : "part "; }
  void reject(long long, double, const Explanation&) override { said += "reject "; }
  void abort(long long, const Explanation&) override { said += "abort "; }
  void release(long long) override { said += "forget "; }

  double now = 1000;
  TimerQueue due;
  Queries queries;
  std::vector<std::pair<int, int>> sends, cancels;
  std::string said;
};

}  // namespace

TEST_SUITE_BEGIN("queries");

TEST_CASE("due times come in order, each once, and can be dropped or moved") {
  TimerQueue due;
  std::string ran;
  const auto note = [&](const char* what) { return [&ran, what](double) { ran += what; }; };
  due.schedule(3, 2, note("c"));
  due.schedule(1, 2, note("b"));
  due.schedule(2, 1, note("a"));
  due.schedule(4, 1, note("x"));
  due.cancel(4);
  due.schedule(5, 1, note("d"));
  due.schedule(5, 3, note("d"));
  due.run_due(2.5);
  CHECK(ran == "abc");
  CHECK(due.next_due() == 3);
  due.run_due(9);
  due.run_due(9);
  CHECK(ran == "abcd");
}

TEST_CASE("a second step goes to the shards whose answers that counted score highest") {
  auto s = settings();
  s.verticals[0].second_step_parts = 2;
  Desk desk(s);
  desk.serve(20);
  desk.take(0, 3);
  desk.queries.on_outcome(1, 0, 0, Outcome::success, 5, desk.now);
  desk.queries.on_outcome(1, 1, 0, Outcome::success, 9, desk.now);
  desk.pass(1);  // the last part is copied, and the copy loses
  REQUIRE(desk.sends.size() == 4);
  desk.queries.on_outcome(1, 2, 0, Outcome::success, 8, desk.now);
  CHECK(desk.cancels == std::vector<std::pair<int, int>>{{2, 1}});
  desk.queries.on_outcome(1, 2, 1, Outcome::cancelled, 0, desk.now);
  desk.queries.process_changes(desk.now);
  CHECK(desk.said == "whole ");
  REQUIRE(desk.queries.awaits_parts(1));
  CHECK(desk.queries.second_step_leaves(1) == std::vector<int>{1, 2});
  for (const int shard : {1, 2})
    CHECK(desk.queries.add_part(1, {shard, 0.5, 0, 2, false, {}}, desk.now) >= 3);
  desk.queries.process_changes(desk.now);
  CHECK(!desk.queries.awaits_parts(1));
  for (const int leaf : {3, 4}) desk.queries.on_outcome(1, leaf, 0, Outcome::success, 1, desk.now);
  desk.queries.process_changes(desk.now);
  CHECK(desk.said == "whole whole forget ");
}

TEST_CASE("an outcome counts once, and a query is kept until each of its calls has one") {
  Desk desk;
  desk.take(0, 1);
  desk.queries.abandon(1);
  desk.queries.process_changes(desk.now);
  CHECK(desk.said.empty());
  desk.queries.on_outcome(1, 0, 7, Outcome::success, 0, desk.now);  // no such call
  desk.queries.process_changes(desk.now);
  CHECK(desk.queries.contains(1));
  for (int i = 0; i < 2; ++i) desk.queries.on_outcome(1, 0, 0, Outcome::success, 0, desk.now);
  desk.queries.process_changes(desk.now);
  CHECK(desk.said == "forget ");
  CHECK(!desk.queries.contains(1));
}

TEST_CASE("a query that there is no room for is rejected by the module, whatever its effect") {
  for (const int vertical : {0, 1, 2}) {
    Desk desk;
    Query q;
    q.vertical = vertical;
    q.deadline = desk.now + 4;
    q.forced_rejection = Reason::too_many_pending;
    desk.queries.add_query(1, q, desk.now);
    desk.queries.add_part(1, {0, 1, 0, 1, false, {}}, desk.now);
    desk.queries.process_changes(desk.now);
    CHECK(desk.said == "reject forget ");
    CHECK(desk.sends.empty());
  }
}

// The same events through the bench's text and straight to the queries, with what each wants done in one
// form.
TEST_CASE("the wire and the sockets' side decide alike") {
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
  const char* failures[kFailures] = {"failure", "overloaded", "broken"};
  const char* verticals[] = {"look", "change", "book"};
  struct Recorder : QueryActions {
    void send(long long query, const Send& send, int call) override {
      said += fmt::format("place {} {} {}\n", query * 10 + send.leaf, wire::micros(send.timeout), send.node);
      out.push_back({query, send.leaf, send.node, call});
    }
    void cancel(long long query, const Cancel& cancel) override {
      said += fmt::format("withdraw {} {}\n", query * 10 + cancel.leaf, cancel.call);
    }
    void merge(long long query, bool whole) override {
      said += fmt::format("answer {} {:d}\n", query * 10 + 9, whole);
    }
    void reject(long long query, double away, const Explanation&) override {
      said += fmt::format("reject {} {}\n", query * 10 + 9, wire::micros(away));
    }
    void abort(long long query, const Explanation&) override {
      said += fmt::format("respond_error {}\n", query * 10 + 9);
    }
    void release(long long) override {}
    struct Out {
      long long query;
      int leaf, node, call;
    };
    std::string said;
    std::vector<Out> out;
  };

  Recorder recorder;
  TimerQueue due;
  Queries queries(settings(pairs(setup)), 77, 1, due, recorder);
  const DiscoveredNode hosts[] = {{0, 0, 0, true, 0}, {1, 0, 1, true, 0}, {2, 1, 2, true, 0}};
  queries.update_nodes(hosts, true, 1);
  std::string text = "frame 1000000 1\nopen_instance router-0 77 " + setup +
                     "\ninventory 0 3\nnode 0 a k 0 U 1 -\nnode 1 a k 1 U 1 -\nnode 2 b k 2 U 1 -\n"
                     "membership router-0 warm_copy 0 1\ngo\n";
  queries.process_changes(1);
  for (int turn = 1; turn <= 1200; ++turn) {
    const long long clock = 1000000 + 25000LL * turn;
    const auto at = static_cast<double>(clock) / 1e6;
    text += fmt::format("frame {} {}\n", clock, turn + 1);
    if (turn % 4 == 0) {
      text += "reminder router-0 tick\n";
      queries.tick(at);
    }
    if (turn % 3 == 0) {
      const auto vertical = turn / 3 % 3;
      const int parts = 1 + turn % 4;
      Query q;
      q.vertical = vertical;
      q.deadline = static_cast<double>(clock + 1500000) / 1e6;
      queries.add_query(turn, q, at);
      text += fmt::format("demand router-0 {} {} - - {} - {} -1 {} 0\n", turn * 10 + 9, verticals[vertical],
                          clock + 1500000, turn, parts);
      for (int i = 0; i < parts; ++i) {
        queries.add_part(turn, {i, 1.0 / parts, 0, 1, false, {}}, at);
        text += fmt::format("demand router-0 {} {} - - {} - {} {} {} 0\n", turn * 10 + i, verticals[vertical],
                            clock + 1500000, turn, i, 1.0 / parts);
      }
    }
    // Every second turn all calls are answered, but for those at the node whose turn it is to swallow them.
    for (const auto& call : turn % 2 == 0 ? std::exchange(recorder.out, {}) : std::vector<Recorder::Out>{}) {
      const auto verdict = turn % 130 == 0 ? failures[turn / 130 % kFailures] : "success";
      if (call.node == turn / 40 % 4) continue;
      text += fmt::format("response router-0 {} {} {} {} 1 1 -\n", call.query * 10 + call.leaf, call.call,
                          call.node, verdict);
      queries.on_outcome(call.query, call.leaf, call.call, wire::outcome(verdict), 0, at);
    }
    if (turn % 50 == 0) {
      text += fmt::format("gone router-0 {}\n", (turn - turn % 3) * 10 + 9);
      queries.abandon(turn - turn % 3);
    }
    text += "reminder router-0 due\ngo\n";
    queries.process_changes(at);
  }
  std::istringstream in(text);
  std::ostringstream out, log;
  wire::Host().run(in, out, log);
  std::string said, line;
  for (std::istringstream lines(out.str()); std::getline(lines, line);) {
    if (line.starts_with("end ") || line.starts_with("notify_me ")) continue;
    const auto name = line.find(" router-0");
    said += line.erase(name, std::string(" router-0").size()) + "\n";
  }
  CHECK(log.str().empty());
  for (const std::string what : {"place ", "withdraw ", "answer ", "reject ", "respond_error "}) {
    CAPTURE(what);
    CHECK(said.find(what) != std::string::npos);
  }
  CHECK(said == recorder.said);
}
