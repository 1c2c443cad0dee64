// Connections to data nodes while calls are pending. Each test plays the node on a socket of its own, so that
// the order in which bytes arrive, are written, and the connection is reset or closed is the same in every
// run.
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

constexpr auto kNoSendTimeout = std::numeric_limits<double>::infinity();
constexpr std::size_t kMaxParts = 2000;

const tcp::endpoint kLoopback(asio::ip::address_v4::loopback(), 0);

struct Outcomes : ConnectionPool::Listener {
  void call_ended(const CallRef& ref, Outcome outcome, double, std::string_view) override {
    CHECK(by_query.emplace(ref.query, outcome).second);  // a call ends once
  }
  void connection_opened(int, double) override { ++connections; }
  void connection_closed(int, Closing) override {}
  void load_requested(int) override {}
  void load_reported(int, std::string_view, double) override {}
  void connection_limit_reached() override {}
  std::map<long long, Outcome> by_query;
  int connections = 0;
};

// A pool that knows one node, whose side of the connection is played by the test. The pool runs only in
// run_for and run_until.
struct PoolWithNode {
  explicit PoolWithNode(double idle_timeout = 15) : limits{kMaxParts, 1, 1, idle_timeout} {
    pool.set_node(0, acceptor.local_endpoint(), 0, false);
  }
  void send(long long query, std::string text, double timeout = 3, double send_timeout = kNoSendTimeout) {
    const auto id = "q" + std::to_string(query) + ".0";
    pool.send(0, 0, {{query, 0, 0}, id, 0, "", std::make_shared<const std::string>(std::move(text))}, timeout,
              send_timeout);
    pool.flush();
  }
  void run_for(std::chrono::milliseconds duration) {
    for (const auto end = std::chrono::steady_clock::now() + duration;
         std::chrono::steady_clock::now() < end;) {
      context.restart();
      context.run_for(std::chrono::milliseconds(1));
      timers.run_due(now());
    }
  }
  // Returns false if the condition does not hold within 5 s.
  template <class Condition>
  bool run_until(Condition condition) {
    for (const auto started_at = now(); !condition();) {
      if (now() > started_at + 5) return false;
      run_for(std::chrono::milliseconds(1));
    }
    return true;
  }
  // Establishes the connection by sending query 0; returns the node's side of it.
  tcp::socket connect() {
    send(0, "first");
    REQUIRE(run_until([&] { return outcomes.connections == 1; }));
    auto socket = acceptor.accept();
    CHECK(next_payload(socket).starts_with("q0.0 0 d="));
    return socket;
  }
  // Reads the next frame and returns its payload, whatever its type.
  static std::string next_payload(tcp::socket& socket) {
    std::array<unsigned char, 5> head{};
    asio::read(socket, asio::buffer(head));
    const auto length =
        std::size_t{head[0]} << 24 | std::size_t{head[1]} << 16 | std::size_t{head[2]} << 8 | head[3];
    std::string payload(length - 1, ' ');
    asio::read(socket, asio::buffer(payload));
    return payload;
  }
  static void reset(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }
  bool ended(long long query) const { return outcomes.by_query.contains(query); }

  asio::io_context context;
  tcp::acceptor acceptor{context, kLoopback};
  TimerQueue timers;
  Outcomes outcomes;
  Log log{stderr, {false, spdlog::level::off, 16}};
  NodeConnection::Limits limits;
  ConnectionPool pool{context, timers, limits, 10, log, outcomes};
};

void answer(tcp::socket& node, std::string_view id) {
  asio::write(node, asio::buffer(encode_frame('R', std::string(id) + " done 1 -\nvalue")));
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE(
    "a node is sent the time that is left when the frame is written, not when the part was passed to send") {
  PoolWithNode router;
  router.send(1, "text", 0.9);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(300));  // the connection is established, but the pool has not run
  REQUIRE(router.run_until([&] { return router.outcomes.connections == 1; }));
  auto node = router.acceptor.accept();
  const auto payload = PoolWithNode::next_payload(node);
  REQUIRE(payload.starts_with("q1.0 0 d="));
  CHECK(std::stoi(payload.substr(9)) <= 600);
  CHECK(std::stoi(payload.substr(9)) > 100);
}

TEST_CASE("a part that has expired when its connection is found established is not sent") {
  PoolWithNode router;
  router.send(1, "late", 0.05);
  router.send(2, "send timeout over", 3, 0.05);
  router.send(3, "in time");
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  REQUIRE(router.run_until([&] { return router.ended(1) && router.ended(2); }));
  CHECK(router.outcomes.by_query[1] == Outcome::unsent);
  CHECK(router.outcomes.by_query[2] == Outcome::unsent);
  auto node = router.acceptor.accept();
  CHECK(PoolWithNode::next_payload(node).starts_with("q3.0"));
}

TEST_CASE("a call whose frame the kernel has taken may have run, however the connection ends") {
  PoolWithNode router;
  auto node = router.connect();
  router.send(1, "text");  // taken by the kernel; no handler has run since
  SUBCASE("a reset") {
    PoolWithNode::reset(node);
  }
  SUBCASE("an orderly close") {
    node.close();
  }
  SUBCASE("a malformed frame") {
    asio::write(node, asio::buffer(std::string(64, '\xff')));
  }
  REQUIRE(router.run_until([&] { return router.ended(0) && router.ended(1); }));
  for (const auto query : {0, 1}) {
    CAPTURE(query);
    const auto outcome = router.outcomes.by_query[query];
    CHECK((outcome == Outcome::disconnected || outcome == Outcome::malformed));
  }
}

// The answer is in the socket when a write finds that the connection was reset. If it were not read, the part
// would be sent again; a part with a side effect can't be, so its query would fail though it has run.
TEST_CASE("answers that arrived before a reset are read when a write fails because of it") {
  PoolWithNode router;
  auto node = router.connect();
  answer(node, "q0.0");
  PoolWithNode::reset(node);
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  router.send(1, "text");
  REQUIRE(router.run_until([&] { return router.ended(0) && router.ended(1); }));
  CHECK(router.outcomes.by_query[0] == Outcome::success);
  CHECK(router.outcomes.by_query[1] == Outcome::unreachable);  // no byte of it was taken
}

TEST_CASE("all parts that wait for a full socket are withdrawn when their clients disconnect") {
  PoolWithNode router;
  auto node = router.connect();
  const std::string text(16 * 1024, 'x');
  constexpr int kQueries = 800;  // 13 MB, more than any socket buffer takes
  for (int query = 1; query <= kQueries; ++query) router.send(query, text);
  for (int query = 1; query <= kQueries; ++query) router.pool.cancel_unsent(query);
  const auto unsent = router.outcomes.by_query.size();
  REQUIRE(unsent > 0);
  for (const auto& [query, outcome] : router.outcomes.by_query) CHECK(outcome == Outcome::unsent);
  // First all that the kernel has taken so far is read, while the pool does not run; then what still arrives.
  std::size_t buffered_bytes = 0, later_bytes = 0;
  std::vector<char> bytes(1 << 20);
  node.non_blocking(true);
  const auto read_all = [&](std::size_t& total_bytes) {
    for (int empty_reads = 0; empty_reads < 20;) {
      boost::system::error_code error;
      const auto count = node.read_some(asio::buffer(bytes), error);
      total_bytes += count;
      if (count > 0) {
        empty_reads = 0;
      } else {
        ++empty_reads;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
      }
    }
  };
  read_all(buffered_bytes);
  router.run_for(std::chrono::milliseconds(50));
  read_all(later_bytes);
  CHECK(later_bytes < text.size() + 100);  // at most the rest of one partially written frame
  const auto complete_frames = (buffered_bytes + later_bytes) / text.size();
  CHECK(complete_frames + unsent == kQueries);
}

TEST_CASE(
    "a connection whose only call is partially written to a full socket is closed when the call is "
    "withdrawn") {
  PoolWithNode router;
  auto node = router.connect();
  answer(node, "q0.0");
  REQUIRE(router.run_until([&] { return router.ended(0); }));
  const std::string text(60 * 1024, 'x');
  int sent = 0;
  for (; sent < 300; ++sent) router.send(1000 + sent, text);
  // Every call that the kernel has taken completely is answered; the partially written one remains.
  for (int i = 0; i < 300; ++i) router.pool.cancel_unsent(1000 + i);
  const auto unsent = static_cast<int>(router.outcomes.by_query.size()) - 1;
  REQUIRE(unsent > 0);
  const auto partial_query = 1000 + sent - unsent - 1;
  for (int i = 1000; i < partial_query; ++i) answer(node, "q" + std::to_string(i) + ".0");
  REQUIRE(router.run_until([&] { return router.ended(partial_query - 1); }));
  router.pool.cancel_unsent(partial_query);
  REQUIRE(router.run_until([&] { return router.ended(partial_query); }));
  CHECK(router.outcomes.by_query[partial_query] == Outcome::unreachable);
  CHECK(router.pool.connection_count() == 0);
}

TEST_CASE("parts that wait for a connection are withdrawn at once when their node drains or is removed") {
  PoolWithNode router;
  router.send(1, "text");
  router.send(2, "text");
  SUBCASE("draining") {
    router.pool.set_node(0, router.acceptor.local_endpoint(), 0, false);
  }
  SUBCASE("removed") {
    router.pool.retire_connections(0);
  }
  CHECK(router.outcomes.by_query[1] == Outcome::unsent);
  CHECK(router.outcomes.by_query[2] == Outcome::unsent);
  router.run_for(std::chrono::milliseconds(50));
  CHECK(router.pool.connection_count() == 0);
  auto node = router.acceptor.accept();
  node.non_blocking(true);
  char byte = 0;
  boost::system::error_code error;
  CHECK(node.read_some(asio::buffer(&byte, 1), error) == 0);
}

TEST_CASE(
    "a part for whose connection there is no file descriptor ends as unsent, not as a fault of the node") {
  PoolWithNode router;
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const auto next_descriptor = ::dup(0);  // the lowest free one
  ::close(next_descriptor);
  rlimit no_more_descriptors{static_cast<rlim_t>(next_descriptor), before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &no_more_descriptors) == 0);
  router.send(1, "text");
  const auto ended = router.run_until([&] { return router.ended(1); });
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  REQUIRE(ended);
  CHECK(router.outcomes.by_query[1] == Outcome::unsent);
}

TEST_SUITE_END();
