// Connections to data nodes in the moments in which something is owed: each test plays the node on a socket
// of its own, so that the order of what arrives, is written, reset and closed is the same every time.
#include <doctest/doctest.h>
#include <sys/ioctl.h>
#include <sys/resource.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <limits>
#include <map>
#include <thread>

#include "datanodes/frames.hpp"
#include "datanodes/pool.hpp"
#include "examples/standin.hpp"
#include "queries/clock.hpp"

using namespace yoketurn;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAnyTime = std::numeric_limits<double>::infinity();
constexpr std::size_t kManyParts = 2000;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

struct Outcomes : Pool::Listener {
  void call_ended(const CallRef& ref, Outcome outcome, double, std::string_view) override {
    CHECK(by_query.emplace(ref.query, outcome).second);  // a call ends once
  }
  void connected(int, double) override { ++connections; }
  void disconnected(int, Closing) override {}
  void load_asked(int) override {}
  void reported(int, std::string_view, double) override {}
  void no_room() override {}
  std::map<long long, Outcome> by_query;
  int connections = 0;
};

// A pool that knows one node, and the node's side of its first connection. Nothing of the pool runs but in
// run_for and until.
struct PoolWithNode {
  explicit PoolWithNode(double idle_timeout = 15) : limits{kManyParts, 1, 1, idle_timeout} {
    pool.locate(0, acceptor.local_endpoint(), 0, false);
  }
  void send(long long query, std::string text, double timeout = 3, double by = kAnyTime) {
    const auto id = "q" + std::to_string(query) + ".0";
    pool.send(0, 0, {{query, 0, 0}, id, 0, "", std::make_shared<const std::string>(std::move(text))}, timeout,
              by);
    pool.flush();
  }
  void run_for(std::chrono::milliseconds time) {
    for (const auto end = std::chrono::steady_clock::now() + time; std::chrono::steady_clock::now() < end;) {
      context.restart();
      context.run_for(std::chrono::milliseconds(1));
      due.run_due(now());
    }
  }
  template <class Holds>
  bool until(Holds holds) {
    for (const auto began = now(); !holds();) {
      if (now() > began + 5) return false;
      run_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  // The pool's connection is up, and the node's side of it accepted.
  tcp::socket connect() {
    send(0, "first");
    REQUIRE(until([&] { return outcomes.connections == 1; }));
    auto socket = acceptor.accept();
    CHECK(next_frame(socket).starts_with("q0.0 0 d="));
    return socket;
  }
  // The rest of the next frame, whatever its letter.
  static std::string next_frame(tcp::socket& socket) {
    std::array<unsigned char, 5> head{};
    asio::read(socket, asio::buffer(head));
    const auto length =
        std::size_t{head[0]} << 24 | std::size_t{head[1]} << 16 | std::size_t{head[2]} << 8 | head[3];
    std::string rest(length - 1, ' ');
    asio::read(socket, asio::buffer(rest));
    return rest;
  }
  static void reset(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }
  bool ended(long long query) const { return outcomes.by_query.contains(query); }

  asio::io_context context;
  tcp::acceptor acceptor{context, kLoopback};
  TimerQueue due;
  Outcomes outcomes;
  Log log{stderr, {false, spdlog::level::off, 16}};
  NodeConnection::Limits limits;
  Pool pool{context, due, limits, 10, log, outcomes};
};

void answer(tcp::socket& node, std::string_view id) {
  asio::write(node, asio::buffer(frame('R', std::string(id) + " done 1 -\nvalue")));
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE(
    "a node is told the time that is left when its frame is written, not when the part was handed over") {
  PoolWithNode router;
  router.send(1, "text", 0.9);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // the connection is up, nobody has looked
  REQUIRE(router.until([&] { return router.outcomes.connections == 1; }));
  auto node = router.acceptor.accept();
  const auto told = PoolWithNode::next_frame(node);
  REQUIRE(told.starts_with("q1.0 0 d="));
  CHECK(std::stoi(told.substr(9)) <= 600);
  CHECK(std::stoi(told.substr(9)) > 100);
}

TEST_CASE("a part whose time is over when its connection is found up is not sent") {
  PoolWithNode router;
  router.send(1, "late", 0.05);
  router.send(2, "window over", 3, 0.05);
  router.send(3, "in time");
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  REQUIRE(router.until([&] { return router.ended(1) && router.ended(2); }));
  CHECK(router.outcomes.by_query[1] == Outcome::unsent);
  CHECK(router.outcomes.by_query[2] == Outcome::unsent);
  auto node = router.acceptor.accept();
  CHECK(PoolWithNode::next_frame(node).starts_with("q3.0"));
}

TEST_CASE("a call whose frame the kernel has taken may have run, whatever is read first") {
  PoolWithNode router;
  auto node = router.connect();
  router.send(1, "text");  // in the kernel; no handler has run since
  SUBCASE("a reset") {
    PoolWithNode::reset(node);
  }
  SUBCASE("an end") {
    node.close();
  }
  SUBCASE("what can't be read") {
    asio::write(node, asio::buffer(std::string(64, '\xff')));
  }
  REQUIRE(router.until([&] { return router.ended(0) && router.ended(1); }));
  for (const auto query : {0, 1}) {
    CAPTURE(query);
    const auto outcome = router.outcomes.by_query[query];
    CHECK((outcome == Outcome::disconnected || outcome == Outcome::malformed));
  }
}

// The answer lies in the socket when a write finds the connection reset. Without it the part would go again,
// and one with an effect could not: its query failed though it had run.
TEST_CASE("answers that came before a reset are read before the write that finds it ends the connection") {
  PoolWithNode router;
  auto node = router.connect();
  answer(node, "q0.0");
  PoolWithNode::reset(node);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  router.send(1, "text");
  REQUIRE(router.until([&] { return router.ended(0) && router.ended(1); }));
  CHECK(router.outcomes.by_query[0] == Outcome::success);
  CHECK(router.outcomes.by_query[1] == Outcome::unreachable);  // not a byte of it was taken
}

TEST_CASE("parts that wait for a full socket are taken back when their clients leave, to the last one") {
  PoolWithNode router;
  auto node = router.connect();
  const std::string text(16 * 1024, 'x');
  constexpr int kQueries = 800;  // 13 MB, more than any socket buffer takes
  for (int query = 1; query <= kQueries; ++query) router.send(query, text);
  for (int query = 1; query <= kQueries; ++query) router.pool.drop_unsent(query);
  const auto unsent = router.outcomes.by_query.size();
  REQUIRE(unsent > 0);
  for (const auto& [query, outcome] : router.outcomes.by_query) CHECK(outcome == Outcome::unsent);
  // All that the kernel holds now is read, with nothing of the pool running; then what still comes.
  std::size_t held = 0, later = 0;
  std::vector<char> bytes(1 << 20);
  node.non_blocking(true);
  const auto read_all = [&](std::size_t& sum) {
    for (int quiet = 0; quiet < 20;) {
      boost::system::error_code error;
      const auto count = node.read_some(asio::buffer(bytes), error);
      sum += count;
      if (count > 0) {
        quiet = 0;
      } else {
        ++quiet;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
    }
  };
  read_all(held);
  router.run_for(std::chrono::milliseconds(50));
  read_all(later);
  CHECK(later < text.size() + 100);  // the rest of one frame that had begun, at most
  const auto whole = (held + later) / text.size();
  CHECK(whole + unsent == kQueries);
}

TEST_CASE("a connection whose only call is cut off by a full socket is closed when it is given up") {
  PoolWithNode router;
  auto node = router.connect();
  answer(node, "q0.0");
  REQUIRE(router.until([&] { return router.ended(0); }));
  const std::string text(60 * 1024, 'x');
  int sent = 0;
  for (; sent < 300; ++sent) router.send(1000 + sent, text);
  // Every call that the kernel has taken whole is answered; the cut one is what is left.
  for (int i = 0; i < 300; ++i) router.pool.drop_unsent(1000 + i);
  const auto unsent = static_cast<int>(router.outcomes.by_query.size()) - 1;
  REQUIRE(unsent > 0);
  const auto cut = 1000 + sent - unsent - 1;
  for (int i = 1000; i < cut; ++i) answer(node, "q" + std::to_string(i) + ".0");
  REQUIRE(router.until([&] { return router.ended(cut - 1); }));
  router.pool.drop_unsent(cut);
  REQUIRE(router.until([&] { return router.ended(cut); }));
  CHECK(router.outcomes.by_query[cut] == Outcome::unreachable);
  CHECK(router.pool.connections() == 0);
}

TEST_CASE("what waits for a connection to a node that begins to drain, or goes, is taken back at once") {
  PoolWithNode router;
  router.send(1, "text");
  router.send(2, "text");
  SUBCASE("draining") {
    router.pool.locate(0, router.acceptor.local_endpoint(), 0, false);
  }
  SUBCASE("gone") {
    router.pool.leave(0);
  }
  CHECK(router.outcomes.by_query[1] == Outcome::unsent);
  CHECK(router.outcomes.by_query[2] == Outcome::unsent);
  router.run_for(std::chrono::milliseconds(50));
  CHECK(router.pool.connections() == 0);
  auto node = router.acceptor.accept();
  node.non_blocking(true);
  char byte = 0;
  boost::system::error_code error;
  CHECK(node.read_some(asio::buffer(&byte, 1), error) == 0);
}

TEST_CASE(
    "a part that finds no descriptor for its connection has not been sent, and says nothing of its node") {
  PoolWithNode router;
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const auto next = ::dup(0);  // the lowest free number
  ::close(next);
  rlimit none{static_cast<rlim_t>(next), before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  router.send(1, "text");
  const auto ended = router.until([&] { return router.ended(1); });
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  REQUIRE(ended);
  CHECK(router.outcomes.by_query[1] == Outcome::unsent);
}

TEST_SUITE_END();
