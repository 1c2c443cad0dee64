// Ends of connections: a client's connection, a router's shutdown, discovery's watch. Runs a complete router
// on loopback; the test plays its peers, and so controls which bytes are unread in which socket at each step.
#include <doctest/doctest.h>

#include <thread>

#include "clients/arrival_times.hpp"
#include "test_cluster.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

using PendingParts = std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>>;

// Makes every node keep the parts it receives until the test answers them.
void hold_all_parts(TestCluster& cluster, PendingParts& pending) {
  cluster.set_part_handler(
      [&pending](const auto& part, auto& from) { pending.emplace_back(part, from.shared_from_this()); });
}

// The same, but each node is heard on its connections, so that a connection takes more than one call.
void hold_all_parts_of_heard_nodes(TestCluster& cluster, PendingParts& pending) {
  cluster.set_part_handler([&pending](const auto& part, auto& from) {
    from.say(encode_frame('H', ""));
    pending.emplace_back(part, from.shared_from_this());
  });
}

void answer_all_parts(PendingParts& pending) {
  for (auto& [part, from] : std::exchange(pending, {})) DataNode::answer(*from, part, "done", 1, "v");
}

void run_for(TestCluster& cluster, double seconds) {
  cluster.wait_until([] { return false; }, seconds);
}

// A cluster with a client whose query is unanswered by its node, and an idle client that shows when the
// router closes idle connections.
struct PendingQueryFixture {
  explicit PendingQueryFixture(const std::string& requests) {
    hold_all_parts(cluster, pending);
    idle.send("GET /_health HTTP/1.1\r\n\r\n");
    REQUIRE(idle.answer() == 200);
    client.send(requests);
    REQUIRE(cluster.wait_until([&] { return pending.size() == 1; }));
  }
  TestCluster cluster;
  PendingParts pending;
  TestClient client{cluster}, idle{cluster};
};

void check_serves_query(TestCluster& cluster) {
  TestClient client(cluster);
  client.send(query_request("look", {1, 2}, "one"));
  REQUIRE(client.answer() == 200);
}

}  // namespace

TEST_SUITE_BEGIN("router");

// Guards against sending parts for a client that has disconnected: while the router's buffer is full of
// pipelined bytes it doesn't read on to the end of the connection, and a hedged copy was sent long after.
TEST_CASE(
    "a disconnect is noticed within 0.1 s although the client has pipelined more than the router reads") {
  TestCluster cluster;
  for (int i = 0; i < 12; ++i) {  // copies are limited to a tenth of the parts sent
    TestClient served(cluster);
    served.send(query_request("look", {i % 8}, "w" + std::to_string(i)));
    REQUIRE(served.answer() == 200);
  }
  const auto before = cluster.received_parts();
  PendingParts pending;
  hold_all_parts(cluster, pending);
  TestClient client(cluster);
  client.send(query_request("look", {1}) + std::string(40'000, 'x'));
  REQUIRE(cluster.wait_until([&] { return pending.size() == 1; }));
  SUBCASE("it closes") {
    client.socket.shutdown(tcp::socket::shutdown_send);
    const auto closed_at = now();
    CHECK(client.ended());  // the router closes too, although there are unread bytes
    CHECK(now() - closed_at < 0.1);
  }
  SUBCASE("it resets") {
    client.socket.set_option(boost::asio::socket_base::linger(true, 0));
    client.socket.close();
  }
  run_for(cluster, 1);  // the hedge delay is about 0.1 s after so few answers
  CHECK(cluster.received_parts() == before + 1);
}

// Guards against parts that are sent for a client that has left: nothing of the router runs between a request
// and its client's end, and it finds both together, as with clients that wait in the kernel at the limit of
// connections.
TEST_CASE("a request whose client has disconnected while it waited is not served") {
  TestCluster cluster;
  check_serves_query(cluster);
  TestClient idle(cluster);
  idle.send(query_request("look", {1, 2}, "idle"));
  REQUIRE(idle.answer() == 200);
  const auto parts = cluster.received_parts();
  {
    TestClient client(cluster);
    SUBCASE("in the kernel, not accepted yet; it closes") {
      client.send(query_request("look", {1}, "gone"));
      client.socket.close();
    }
    SUBCASE("in the kernel; it ends its sending side") {
      client.send(query_request("look", {1}, "gone"));
      client.socket.shutdown(tcp::socket::shutdown_send);
    }
    SUBCASE("in the kernel; it resets") {
      client.send(query_request("look", {1}, "gone"));
      client.socket.set_option(boost::asio::socket_base::linger(true, 0));
      client.socket.close();
    }
    SUBCASE("two pipelined requests") {
      client.send(query_request("look", {1}, "gone") + query_request("look", {2}, "gone too"));
      client.socket.close();
    }
    SUBCASE("on an idle connection") {
      idle.send(query_request("look", {1}, "gone"));
      idle.socket.close();
    }
    run_for(cluster, 0.3);
  }
  CHECK(cluster.received_parts() == parts);
  check_serves_query(cluster);  // and nobody else is harmed
}

TEST_CASE("an idle connection with an unread request in its socket is not closed to make room") {
  TestCluster cluster(3, 64);
  std::vector<std::unique_ptr<TestClient>> idle;
  for (int i = 0; i < 16; ++i) {  // from the next one on, idle ones are closed for it
    idle.push_back(std::make_unique<TestClient>(cluster));
    idle.back()->send(query_request("look", {1}, "r" + std::to_string(i)));
    REQUIRE(idle.back()->answer() == 200);
  }
  TestClient new_client(cluster);                     // the router accepts this connection first,
  idle[0]->send(query_request("look", {2}, "late"));  // while this is unread in the socket of the oldest
  CHECK(idle[0]->answer() == 200);
  CHECK(cluster.logged("client_room"));
  CHECK(!idle[0]->closed);
}

// Guards against requests without an answer: clients of a router that died came to another one together, and
// it reset those that it had just accepted, unread, to make room that was not needed.
TEST_CASE("clients that connect together with a request are all served while there are descriptors") {
  constexpr int kBusyClients = 40, kNewClients = 12, kSockets = 160;  // room is made from 40 connections on
  TestCluster cluster(3, kSockets);
  PendingParts pending;
  hold_all_parts_of_heard_nodes(cluster, pending);
  std::vector<std::unique_ptr<TestClient>> clients;
  const auto connect = [&](int count) {
    for (int i = 0; i < count; ++i) {
      clients.push_back(std::make_unique<TestClient>(cluster));
      clients.back()->send(query_request("look", {1}, "q" + std::to_string(clients.size())));
    }
  };
  connect(kBusyClients);
  REQUIRE(cluster.wait_until([&] { return pending.size() >= kBusyClients; }));
  connect(kNewClients);  // the router finds all of them at once
  REQUIRE(cluster.wait_until([&] { return pending.size() >= kBusyClients + kNewClients; }, 2));
  answer_all_parts(pending);
  for (const auto& client : clients) CHECK(client->answer() == 200);
}

TEST_CASE("at the limit of connections a new one is accepted once another one has its answer") {
  TestCluster cluster(3, 64);
  PendingParts pending;
  hold_all_parts_of_heard_nodes(cluster, pending);
  std::vector<std::unique_ptr<TestClient>> clients;
  while (cluster.wait_until([&] { return pending.size() == clients.size(); }, 0.5)) {
    REQUIRE(clients.size() < 64);
    clients.push_back(std::make_unique<TestClient>(cluster));
    clients.back()->send(query_request("change", {1}, "b" + std::to_string(clients.size())));
  }
  const auto accepted_count = clients.size() - 1;  // the last one waits in the kernel's queue
  REQUIRE(clients.back()->received.empty());
  REQUIRE(accepted_count > 16);
  auto [part, from] = pending[0];
  DataNode::answer(*from, part, "done", 1, "v");
  CHECK(clients.back()->answer() != 0);  // one connection is idle now and makes room
  TestClient waiting_client(cluster);    // ends with one waiting: closing must not use a destroyed timer
  run_for(cluster, 0.1);
}

// Guards against a plain close: a request that crosses it would reset the connection, and the client would
// lose what it has not read yet.
TEST_CASE(
    "an idle connection being closed is read until its client closes too, and nothing of it is served") {
  TestCluster cluster;
  TestClient client(cluster), second_client(cluster);
  client.send(query_request("look", {1}));
  REQUIRE(client.answer() == 200);
  cluster.router->drain();
  REQUIRE(client.ended());  // the client has seen the close, but sends on
  const auto parts = cluster.received_parts();
  boost::system::error_code error;
  for (int i = 0; i < 3 && !error; ++i) {  // the second write fails if the first one caused a reset
    boost::asio::write(client.socket, boost::asio::buffer(query_request("look", {2}, "crossing")), error);
    run_for(cluster, 0.02);
  }
  CHECK(!error);
  CHECK(cluster.received_parts() == parts);
}

// Guards against final answers seconds after a client's time: the time of a pipelined request began when it
// was parsed, after the answer to the one before it, and its parts were sent though nobody waited any more.
TEST_CASE("the time of pipelined requests is counted from their last byte") {
  constexpr int kRequests = 4;
  TestCluster cluster;
  PendingParts pending;
  hold_all_parts(cluster, pending);
  TestClient client(cluster);
  std::string requests;
  for (int i = 0; i < kRequests; ++i)
    requests += query_request("change", {1}, "p" + std::to_string(i), "500m");
  client.send(requests);
  const auto sent_at = now();
  for (int i = 0; i < kRequests; ++i) {
    CAPTURE(i);
    CHECK(client.answer() != 0);
    CHECK(now() - sent_at < 0.55);
  }
  for (const auto& [part, from] : pending) CHECK(part.id.starts_with("p0."));
}

TEST_CASE("a request counts as received when its last byte was") {
  ArrivalTimes times;
  times.add(10, 1);
  times.add(5, 1.01);  // with those before
  times.add(7, 1.5);
  CHECK(times.take(12) == 1);
  CHECK(times.take(4) == 1.5);
  CHECK(times.take(0) == 1.5);
  CHECK(times.take(6) == 1.5);
  CHECK(times.size() == 0);
  for (int i = 0; i < 1000; ++i) times.add(1, 2 + i * 1e-3);
  CHECK(times.size() <= 51);
}

TEST_CASE("pipelined requests get an answer each before the connection ends, but are not served") {
  PendingQueryFixture fixture(query_request("look", {1}, "a") + query_request("look", {2}, "b") +
                              query_request("change", {3}, "c"));
  auto& [cluster, pending, pipelining, idle] = fixture;
  cluster.router->drain();
  REQUIRE(idle.ended());  // from here on each connection is closed after its answer
  answer_all_parts(pending);
  CHECK(pipelining.answer() == 200);
  CHECK(pipelining.answer() == 503);
  CHECK(pipelining.last_head.find("Connection: close") == std::string::npos);
  CHECK(pipelining.answer() == 503);
  CHECK(pipelining.last_head.find("Connection: close") != std::string::npos);
  CHECK(pipelining.ended());
  for (const auto& node : cluster.nodes)
    for (const auto& part : node->parts) CHECK(part.id.starts_with("a."));
}

TEST_CASE("connections in the kernel's queue when the router stops accepting are served") {
  TestCluster cluster;
  cluster.router->drain();
  std::unique_ptr<TestClient> last;
  // Connects so that it is in the kernel's queue in the turn in which the router stops accepting.
  const auto began_at = now();
  auto connected = false;
  boost::asio::post(cluster.context, [&] {
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(began_at + 0.72 - now(), 0.0)));
    last = std::make_unique<TestClient>(cluster);
    last->send(query_request("look", {1, 2}));
    connected = true;
  });
  REQUIRE(cluster.wait_until([&] { return connected; }));
  CHECK(last->answer() == 200);
}

TEST_CASE("a second SIGTERM, and a SIGHUP after it, don't change the shutdown") {
  PendingQueryFixture fixture(query_request("look", {1}));
  auto& [cluster, pending, client, idle] = fixture;
  const auto drain_began = now();
  cluster.router->drain();
  run_for(cluster, 1);
  cluster.router->drain();
  cluster.router->reload();
  REQUIRE(idle.ended());
  CHECK(now() - drain_began < 2.5);  // counted from the first SIGTERM
  CHECK(cluster.router->phase() == Router::Phase::draining);
  answer_all_parts(pending);
  CHECK(client.answer() == 200);
  CHECK(cluster.wait_until([&] { return cluster.router->phase() == Router::Phase::stopped; }));
}

TEST_CASE("with two new configurations in one turn, the last one's discovery is followed") {
  TestCluster cluster;
  check_serves_query(cluster);
  toy::Discovery second(cluster.context), third(cluster.context);
  second.whole = cluster.list(5, true);
  third.whole = cluster.list(3, true);
  for (const auto* discovery : {&second, &third}) {
    cluster.write_config(toy::config(kAnyPort, discovery->at(), 3, discovery->whole));
    cluster.router->reload();
  }
  REQUIRE(cluster.wait_until([&] { return third.asked.size() == 1; }));
  run_for(cluster, 0.5);
  CHECK(second.asked.empty());
  CHECK(cluster.logged("list version=3"));
  CHECK(!cluster.logged("list version=5"));
  check_serves_query(cluster);
}

TEST_CASE("a list is read however it is split into lines and chunks") {
  TestCluster cluster;
  const auto entry = toy::Discovery::entry("s-0", cluster.nodes[0]->at(), 0, "draining");
  const auto indented =
      fmt::format("{{\n  \"version\": 2,\n  \"full\": false,\n\n  \"servers\": [\n    {}\n  ]\n}}", entry);
  SUBCASE("over several lines") {
    cluster.discovery.tell(indented);
  }
  SUBCASE("a line at a time") {
    std::string line;
    for (const auto byte : indented + "\n") {
      if (byte != '\n') {
        line += byte;
        continue;
      }
      cluster.discovery.tell(std::exchange(line, {}));
      run_for(cluster, 0.01);
    }
  }
  SUBCASE("two on one line") {
    cluster.discovery.tell(indented + R"({"version":3,"full":false,"servers":[]})");
    CHECK(cluster.wait_until([&] { return cluster.logged("version=3"); }));
  }
  CHECK(cluster.wait_until([&] { return cluster.logged("version=2"); }));
  CHECK(!cluster.logged("list_unusable"));
  CHECK(cluster.discovery.asked.size() == 1);
}

TEST_CASE("an unfinished list doesn't keep a watch alive, whatever lines follow it") {
  TestCluster cluster;
  cluster.discovery.tell(R"({"version":2,"full":false,"servers":[)");
  const auto began_at = now();
  while (cluster.discovery.asked.size() == 1 && now() < began_at + 5) {
    cluster.discovery.tell("");
    run_for(cluster, 0.1);
  }
  CHECK(now() - began_at < 3.5);
}

// Guards against a list that is never received: an agent that writes it entry by entry over some seconds was
// given up as silent each time and asked again from the beginning, and drained nodes went on getting parts.
TEST_CASE("a watch whose list arrives slowly, entry by entry, is kept until the list is complete") {
  TestCluster cluster;
  constexpr double kPieceIntervalSeconds = 0.45;
  constexpr int kPieces = 10;
  const auto whole = cluster.list(2, true);
  std::shared_ptr<toy::Session> slow;
  cluster.discovery.silent = true;
  cluster.discovery.on_watch = [&](toy::Session& session) {
    slow = session.shared_from_this();
    slow->say(toy::Discovery::kHead);
    return true;
  };
  cluster.discovery.break_off();
  REQUIRE(cluster.wait_until([&] { return slow != nullptr; }));
  const auto watches = cluster.discovery.asked.size();
  std::vector<std::string> entries;
  for (int i = 0; i < kPieces; ++i)
    entries.push_back(toy::Discovery::entry("s-" + std::to_string(i % 3), cluster.nodes[0]->at(), 0));
  slow->say(toy::Discovery::chunk(R"({"version":2,"full":true,"servers":[)"));
  for (int i = 0; i < kPieces; ++i) {
    slow->say(toy::Discovery::chunk((i > 0 ? "," : "") + entries[static_cast<std::size_t>(i)]));
    run_for(cluster, kPieceIntervalSeconds);
  }
  CHECK(cluster.discovery.asked.size() == watches);
  slow->say(toy::Discovery::chunk("]}"));
  CHECK(cluster.wait_until([&] { return cluster.logged("version=2"); }));
  CHECK(!cluster.logged("list_unusable"));
}

TEST_CASE(
    "a list that stops in the middle, or whose bytes drip without an entry, doesn't keep a watch alive") {
  TestCluster cluster;
  cluster.discovery.silent = true;
  std::string drip;
  std::vector<std::shared_ptr<toy::Session>> watches;
  cluster.discovery.on_watch = [&](toy::Session& session) {
    watches.push_back(session.shared_from_this());
    watches.back()->say(toy::Discovery::kHead);
    watches.back()->say(toy::Discovery::chunk(R"({"version":2,"full":true,"servers":[)" +
                                              toy::Discovery::entry("s-0", cluster.nodes[0]->at(), 0)));
    return true;
  };
  SUBCASE("it stops") {}
  SUBCASE("it drips") {
    drip = R"(,{"id":")" + std::string(100, 'x');
  }
  cluster.discovery.break_off();
  REQUIRE(cluster.wait_until([&] { return watches.size() == 1; }));
  const auto began_at = now();
  for (std::size_t i = 0; watches.size() == 1 && now() < began_at + 5; ++i) {
    if (i < drip.size()) watches[0]->say(fmt::format("1\r\n{}\r\n", drip[i]));
    run_for(cluster, 0.1);
  }
  CHECK(now() - began_at < 3.5);
}

// The protocol counts what a silent watch missed as delivered 6 s after its last message.
TEST_CASE(
    "a list arrives within 6 s after a watch fell silent, though the next watches hang, end or are slow") {
  TestCluster cluster;
  const auto first = cluster.discovery.last_beat;
  REQUIRE(cluster.wait_until([&] { return cluster.discovery.last_beat > first; }));
  cluster.discovery.silent = true;
  cluster.discovery.whole = cluster.list(2, true);
  std::shared_ptr<toy::Session> slow;
  double slow_since = 0;
  cluster.discovery.on_watch = [&](toy::Session& session) {
    const auto number = cluster.discovery.asked.size();
    if (number == 2) return true;  // hangs
    if (number == 3) return session.close(), true;
    if (number == 4) {
      slow = session.shared_from_this();
      slow_since = now();
      return true;
    }
    return false;
  };
  const auto list_received = [&] {
    if (slow && now() > slow_since + 1) {
      slow->say(std::string(toy::Discovery::kHead) + toy::Discovery::chunk(cluster.discovery.whole));
      slow.reset();
    }
    return cluster.logged("version=2");
  };
  REQUIRE(cluster.wait_until(list_received));
  CHECK(now() - cluster.discovery.last_beat < 6);
}

// Guards against a discovery that is never heard, as each call was given up before its answer began: removed
// nodes went on getting parts.
TEST_CASE("a list is received although discovery takes 3.5 s to begin its answer") {
  constexpr double kAnswerDelaySeconds = 3.5, kToldSeconds = 6;
  TestCluster cluster;
  const auto whole = cluster.list(2, true);
  std::vector<std::pair<double, std::weak_ptr<toy::Session>>> calls;
  cluster.discovery.on_watch = [&](toy::Session& session) {
    calls.emplace_back(now(), session.weak_from_this());
    return true;
  };
  cluster.discovery.break_off();
  const auto began_at = now();
  CHECK(cluster.wait_until([&] {
    for (auto& [called_at, call] : calls) {
      if (now() < called_at + kAnswerDelaySeconds) continue;
      if (const auto session = call.lock())
        session->say(std::string(toy::Discovery::kHead) + toy::Discovery::chunk(whole));
      call.reset();
    }
    return cluster.logged("version=2");
  }));
  CHECK(now() - began_at < kToldSeconds);
}

TEST_CASE(
    "two calls to a discovery that doesn't answer are open at most, and an invalid answer is given up") {
  TestCluster cluster;
  std::vector<std::shared_ptr<toy::Session>> calls;
  cluster.discovery.on_watch = [&](toy::Session& session) {
    calls.push_back(session.shared_from_this());
    return true;
  };
  cluster.discovery.break_off();
  REQUIRE(cluster.wait_until([&] {
    CHECK(cluster.discovery.open() <= 2);
    return calls.size() == 3;
  }));
  run_for(cluster, 0.05);
  CHECK(cluster.discovery.open() == 2);
  calls[1]->say(std::string(toy::Discovery::kHead) + toy::Discovery::chunk("nonsense"));
  REQUIRE(cluster.wait_until([&] { return calls.size() == 4; }));
  calls[3]->say(std::string(toy::Discovery::kHead) + toy::Discovery::chunk(cluster.list(2, true)));
  CHECK(cluster.wait_until([&] { return cluster.logged("version=2"); }));
}

TEST_CASE("a watch that ends is reopened within 0.1 s, one that keeps ending with growing delays") {
  TestCluster cluster;
  const auto began_at = now();
  cluster.discovery.break_off();
  REQUIRE(cluster.wait_until([&] { return cluster.discovery.asked.size() == 2; }));
  CHECK(now() - began_at < 0.1);
  cluster.discovery.on_watch = [](toy::Session& session) { return session.close(), true; };
  cluster.discovery.break_off();
  run_for(cluster, 2);
  CHECK(cluster.discovery.asked.size() < 12);
  CHECK(cluster.discovery.asked.size() > 5);
}

TEST_SUITE_END();
