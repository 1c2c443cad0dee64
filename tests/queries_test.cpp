#include "queries/queries.hpp"

#include "support.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

// Queries with what they want done written down.
struct Desk : Actions {
  explicit Desk(const Settings& s = settings()) : queries(s, 7, now, due, *this) {
    std::vector<Host> hosts;
    for (int i = 0; i < 3; ++i) hosts.push_back({i, 0, i, true, 0});
    queries.list(hosts, true);
  }

  void take(int vertical, int parts, long long number = 1) {
    Query q;
    q.vertical = vertical;
    q.expires = now + 4;
    queries.take(number, q, now);
    for (int i = 0; i < parts; ++i) queries.take_part(number, {i, 1.0 / parts, 0, 1, false, {}}, now);
    queries.finish(now);
  }
  // Other queries, so that a tenth of the parts sent is enough for a copy.
  void serve(int many) {
    for (int i = 2; i < 2 + many; ++i) {
      take(1, 1, i);
      queries.outcome(i, 0, 0, Outcome::success, 0, now);
      queries.finish(now);
    }
    sends.clear();
    said.clear();
  }
  void pass(double seconds) {
    for (const auto end = now + seconds; now < end - 1e-9;) {
      now = std::min(end, now + queries.period());
      queries.tick(now);
      queries.finish(now);
    }
  }

  void send(long long, const Send& send, int call) override { sends.push_back({send.leaf, call}); }
  void cancel(long long, const Cancel& cancel) override { cancels.push_back({cancel.leaf, cancel.call}); }
  void merge(long long, bool whole) override { said += whole ? "whole " : "part "; }
  void reject(long long, double) override { said += "reject "; }
  void abort(long long) override { said += "abort "; }
  void forget(long long) override { said += "forget "; }

  double now = 1000;
  DueTimes due;
  Queries queries;
  std::vector<std::pair<int, int>> sends, cancels;
  std::string said;
};

}  // namespace

TEST_SUITE_BEGIN("queries");

TEST_CASE("due times come in order, each once, and can be dropped or moved") {
  DueTimes due;
  std::string ran;
  const auto note = [&](const char* what) { return [&ran, what](double) { ran += what; }; };
  due.set(3, 2, note("c"));
  due.set(1, 2, note("b"));
  due.set(2, 1, note("a"));
  due.set(4, 1, note("x"));
  due.drop(4);
  due.set(5, 1, note("d"));
  due.set(5, 3, note("d"));
  due.run(2.5);
  CHECK(ran == "abc");
  CHECK(due.next() == 3);
  due.run(9);
  due.run(9);
  CHECK(ran == "abcd");
}

TEST_CASE("a second step goes to the shards whose answers that counted score highest") {
  auto s = settings();
  s.verticals[0].second_step = 2;
  Desk desk(s);
  desk.serve(20);
  desk.take(0, 3);
  desk.queries.outcome(1, 0, 0, Outcome::success, 5, desk.now);
  desk.queries.outcome(1, 1, 0, Outcome::success, 9, desk.now);
  desk.pass(1);  // the last part is copied, and the copy loses
  REQUIRE(desk.sends.size() == 4);
  desk.queries.outcome(1, 2, 0, Outcome::success, 8, desk.now);
  CHECK(desk.cancels == std::vector<std::pair<int, int>>{{2, 1}});
  desk.queries.outcome(1, 2, 1, Outcome::cancelled, 0, desk.now);
  desk.queries.finish(desk.now);
  CHECK(desk.said == "whole ");
  REQUIRE(desk.queries.awaits_parts(1));
  CHECK(desk.queries.second_step(1) == std::vector<int>{1, 2});
  for (const int shard : {1, 2})
    CHECK(desk.queries.take_part(1, {shard, 0.5, 0, 2, false, {}}, desk.now) >= 3);
  desk.queries.finish(desk.now);
  CHECK(!desk.queries.awaits_parts(1));
  for (const int leaf : {3, 4}) desk.queries.outcome(1, leaf, 0, Outcome::success, 1, desk.now);
  desk.queries.finish(desk.now);
  CHECK(desk.said == "whole whole forget ");
}

TEST_CASE("an outcome counts once, and a query is kept until each of its calls has one") {
  Desk desk;
  desk.take(0, 1);
  desk.queries.gone(1);
  desk.queries.finish(desk.now);
  CHECK(desk.said.empty());
  desk.queries.outcome(1, 0, 7, Outcome::success, 0, desk.now);  // no such call
  desk.queries.finish(desk.now);
  CHECK(desk.queries.holds(1));
  for (int i = 0; i < 2; ++i) desk.queries.outcome(1, 0, 0, Outcome::success, 0, desk.now);
  desk.queries.finish(desk.now);
  CHECK(desk.said == "forget ");
  CHECK(!desk.queries.holds(1));
}

TEST_CASE("a query that there is no room for is rejected by the module, whatever its effect") {
  for (const int vertical : {0, 1, 2}) {
    Desk desk;
    Query q;
    q.vertical = vertical;
    q.expires = desk.now + 4;
    q.no_room = true;
    desk.queries.take(1, q, desk.now);
    desk.queries.take_part(1, {0, 1, 0, 1, false, {}}, desk.now);
    desk.queries.finish(desk.now);
    CHECK(desk.said == "reject forget ");
    CHECK(desk.sends.empty());
  }
}
