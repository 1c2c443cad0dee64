// What is owed when something ends: a client's connection, a router's service, a watch. The router is whole,
// on loopback; whoever it deals with is played by the test, which decides what lies in which socket at each
// step.
#include <doctest/doctest.h>

#include <thread>

#include "test_cluster.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

using HeldParts = std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>>;

// Every part is kept by its node until the test answers it.
void hold_parts(TestCluster& cluster, HeldParts& held) {
  cluster.set_part_handler(
      [&held](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
}

void answer_all(HeldParts& held) {
  for (auto& [part, from] : std::exchange(held, {})) DataNode::answer(*from, part, "done", 1, "v");
}

void wait(TestCluster& cluster, double seconds) {
  cluster.wait_until([] { return false; }, seconds);
}

// A router with a client whose query is held by its node, and one that rests and shows when connections are
// ended.
struct HeldQuery {
  explicit HeldQuery(const std::string& requests) {
    hold_parts(cluster, held);
    resting.send("GET /_health HTTP/1.1\r\n\r\n");
    REQUIRE(resting.answer() == 200);
    client.send(requests);
    REQUIRE(cluster.wait_until([&] { return held.size() == 1; }));
  }
  TestCluster cluster;
  HeldParts held;
  TestClient client{cluster}, resting{cluster};
};

void serve_one(TestCluster& cluster) {
  TestClient client(cluster);
  client.send(query_request("look", {1, 2}, "one"));
  REQUIRE(client.answer() == 200);
}

}  // namespace

TEST_SUITE_BEGIN("router");

// Its end can't be read behind what it has sent ahead: the hedged request went out long after it had gone.
TEST_CASE("a client that has sent more ahead than is read, and goes, is noticed in a tenth of a second") {
  TestCluster cluster;
  for (int i = 0; i < 12; ++i) {  // a tenth of these may be hedged
    TestClient served(cluster);
    served.send(query_request("look", {i % 8}, "w" + std::to_string(i)));
    REQUIRE(served.answer() == 200);
  }
  const auto before = cluster.received_parts();
  HeldParts held;
  hold_parts(cluster, held);
  TestClient client(cluster);
  client.send(query_request("look", {1}) + std::string(40'000, 'x'));
  REQUIRE(cluster.wait_until([&] { return held.size() == 1; }));
  SUBCASE("it closes") {
    client.socket.shutdown(tcp::socket::shutdown_send);
    const auto gone = now();
    CHECK(client.ended());  // the router does the same, over what it has not read
    CHECK(now() - gone < 0.1);
  }
  SUBCASE("it resets") {
    client.socket.set_option(boost::asio::socket_base::linger(true, 0));
    client.socket.close();
  }
  wait(cluster, 1);  // the hedge delay is some 0.1 s after so few answers
  CHECK(cluster.received_parts() == before + 1);
}

TEST_CASE("a resting connection with a request unread in its socket does not make room for another") {
  TestCluster cluster(3, 64);
  std::vector<std::unique_ptr<TestClient>> resting;
  for (int i = 0; i < 16; ++i) {  // the next one has one closed for it
    resting.push_back(std::make_unique<TestClient>(cluster));
    resting.back()->send(query_request("look", {1}, "r" + std::to_string(i)));
    REQUIRE(resting.back()->answer() == 200);
  }
  TestClient fresh(cluster);                             // the router accepts this one first,
  resting[0]->send(query_request("look", {2}, "late"));  // and this lies unread in the socket of the oldest
  CHECK(resting[0]->answer() == 200);
  CHECK(cluster.logged("client_room"));
  CHECK(!resting[0]->closed);
}

TEST_CASE("at the bound of connections a new one is taken once another has its answer") {
  TestCluster cluster(3, 64);
  HeldParts held;
  hold_parts(cluster, held);
  std::vector<std::unique_ptr<TestClient>> busy;
  while (cluster.wait_until([&] { return held.size() == busy.size(); }, 0.5)) {
    REQUIRE(busy.size() < 64);
    busy.push_back(std::make_unique<TestClient>(cluster));
    busy.back()->send(query_request("change", {1}, "b" + std::to_string(busy.size())));
  }
  const auto bound = busy.size() - 1;  // the last one waits in the kernel
  REQUIRE(busy.back()->received.empty());
  REQUIRE(bound > 16);
  auto [part, from] = held[0];
  DataNode::answer(*from, part, "done", 1, "v");
  CHECK(busy.back()->answer() != 0);  // one rests now, it makes room
  TestClient waiting(
      cluster);  // and the router ends while one waits: what it closes then sets no timer that is gone
  wait(cluster, 0.1);
}

// A plain close resets the connection when a request crosses it, and takes along what the client has not
// read.
TEST_CASE(
    "a resting connection that is ended is read until its client ends it, and nothing of that is served") {
  TestCluster cluster;
  TestClient client(cluster), other(cluster);
  client.send(query_request("look", {1}));
  REQUIRE(client.answer() == 200);
  cluster.router->drain();
  REQUIRE(client.ended());  // its end has been read, it goes on all the same
  const auto parts = cluster.received_parts();
  boost::system::error_code error;
  for (int i = 0; i < 3 && !error; ++i) {  // the second fails where the first one was answered by a reset
    boost::asio::write(client.socket, boost::asio::buffer(query_request("look", {2}, "crossing")), error);
    wait(cluster, 0.02);
  }
  CHECK(!error);
  CHECK(cluster.received_parts() == parts);
}

TEST_CASE(
    "requests that were read ahead get an answer each before the connection ends, and are not sent on") {
  HeldQuery rig(query_request("look", {1}, "a") + query_request("look", {2}, "b") +
                query_request("change", {3}, "c"));
  auto& [cluster, held, ahead, resting] = rig;
  cluster.router->drain();
  REQUIRE(resting.ended());  // from here on answers are the last of their connections
  answer_all(held);
  CHECK(ahead.answer() == 200);
  CHECK(ahead.answer() == 503);
  CHECK(ahead.last_head.find("Connection: close") == std::string::npos);
  CHECK(ahead.answer() == 503);
  CHECK(ahead.last_head.find("Connection: close") != std::string::npos);
  CHECK(ahead.ended());
  for (const auto& node : cluster.nodes)
    for (const auto& part : node->parts) CHECK(part.id.starts_with("a."));
}

TEST_CASE("connections that the kernel took before the router stops to accept are served") {
  TestCluster cluster;
  cluster.router->drain();
  std::unique_ptr<TestClient> last;
  // One that stands in the queue of the kernel in the very turn in which the router stops to accept.
  const auto began = now();
  auto posted = false;
  boost::asio::post(cluster.context, [&] {
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(began + 0.72 - now(), 0.0)));
    last = std::make_unique<TestClient>(cluster);
    last->send(query_request("look", {1, 2}));
    posted = true;
  });
  REQUIRE(cluster.wait_until([&] { return posted; }));
  CHECK(last->answer() == 200);
}

TEST_CASE("a second SIGTERM, and a SIGHUP behind it, change nothing of how a router ends") {
  HeldQuery rig(query_request("look", {1}));
  auto& [cluster, held, client, resting] = rig;
  const auto told = now();
  cluster.router->drain();
  wait(cluster, 1);
  cluster.router->drain();
  cluster.router->reload();
  REQUIRE(resting.ended());
  CHECK(now() - told < 2.5);  // counted from the first
  CHECK(cluster.router->phase() == Router::Phase::draining);
  answer_all(held);
  CHECK(client.answer() == 200);
  CHECK(cluster.wait_until([&] { return cluster.router->phase() == Router::Phase::stopped; }));
}

TEST_CASE("of two new configurations in one turn the last one's discovery is followed") {
  TestCluster cluster;
  serve_one(cluster);
  toy::Discovery second(cluster.context), third(cluster.context);
  second.whole = cluster.list(5, true);
  third.whole = cluster.list(3, true);
  for (const auto* discovery : {&second, &third}) {
    cluster.write_config(toy::config(kAnyPort, discovery->at(), 3, discovery->whole));
    cluster.router->reload();
  }
  REQUIRE(cluster.wait_until([&] { return third.asked.size() == 1; }));
  wait(cluster, 0.5);
  CHECK(second.asked.empty());
  CHECK(cluster.logged("list version=3"));
  CHECK(!cluster.logged("list version=5"));
  serve_one(cluster);
}

TEST_CASE("a list is read whatever its lines and pieces") {
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
      wait(cluster, 0.01);
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

TEST_CASE("half a list that never ends keeps no watch alive, whatever lines come behind it") {
  TestCluster cluster;
  cluster.discovery.tell(R"({"version":2,"full":false,"servers":[)");
  const auto began = now();
  while (cluster.discovery.asked.size() == 1 && now() < began + 5) {
    cluster.discovery.tell("");
    wait(cluster, 0.1);
  }
  CHECK(now() - began < 3.5);
}

// What a silent watch missed counts as told 6 s after its last word.
TEST_CASE("a list is in hand 6 s after a watch fell silent, though the next ones hang, end and dawdle") {
  TestCluster cluster;
  const auto first = cluster.discovery.last_beat;
  REQUIRE(cluster.wait_until([&] { return cluster.discovery.last_beat > first; }));
  cluster.discovery.silent = true;
  cluster.discovery.whole = cluster.list(2, true);
  std::shared_ptr<toy::Session> slow;
  double asked_slow = 0;
  cluster.discovery.on_watch = [&](toy::Session& session) {
    const auto number = cluster.discovery.asked.size();
    if (number == 2) return true;  // hangs
    if (number == 3) return session.close(), true;
    if (number == 4) {
      slow = session.shared_from_this();
      asked_slow = now();
      return true;
    }
    return false;
  };
  const auto in_hand = [&] {
    if (slow && now() > asked_slow + 1) {
      slow->say(std::string(toy::Discovery::kHead) + toy::Discovery::chunk(cluster.discovery.whole));
      slow.reset();
    }
    return cluster.logged("version=2");
  };
  REQUIRE(cluster.wait_until(in_hand));
  CHECK(now() - cluster.discovery.last_beat < 6);
}

TEST_CASE("a watch that ends is opened again within a tenth of a second, one that keeps ending ever later") {
  TestCluster cluster;
  const auto began = now();
  cluster.discovery.break_off();
  REQUIRE(cluster.wait_until([&] { return cluster.discovery.asked.size() == 2; }));
  CHECK(now() - began < 0.1);
  cluster.discovery.on_watch = [](toy::Session& session) { return session.close(), true; };
  cluster.discovery.break_off();
  wait(cluster, 2);
  CHECK(cluster.discovery.asked.size() < 12);
  CHECK(cluster.discovery.asked.size() > 5);
}

TEST_SUITE_END();
