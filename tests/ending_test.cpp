// What is owed when something ends: a client's connection, a router's service, a watch. The router is whole,
// on loopback; whoever it deals with is played by the test, which decides what lies in which socket at each
// step.
#include <doctest/doctest.h>

#include <thread>

#include "town.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

using HeldParts = std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>>;

// Every part is kept by its node until the test answers it.
void hold_parts(Town& town, HeldParts& held) {
  town.each_node([&held](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
}

void answer_all(HeldParts& held) {
  for (auto& [part, from] : std::exchange(held, {})) DataNode::answer(*from, part, "done", 1, "v");
}

void wait(Town& town, double seconds) {
  town.until([] { return false; }, seconds);
}

// A router with a client whose query is held by its node, and one that rests and shows when connections are
// ended.
struct HeldQuery {
  explicit HeldQuery(const std::string& requests) {
    hold_parts(town, held);
    resting.say("GET /_health HTTP/1.1\r\n\r\n");
    REQUIRE(resting.answer() == 200);
    client.say(requests);
    REQUIRE(town.until([&] { return held.size() == 1; }));
  }
  Town town;
  HeldParts held;
  Client client{town}, resting{town};
};

void serve_one(Town& town) {
  Client client(town);
  client.say(ask("look", {1, 2}, "one"));
  REQUIRE(client.answer() == 200);
}

}  // namespace

TEST_SUITE_BEGIN("router");

// Its end can't be read behind what it has sent ahead: the hedged request went out long after it had gone.
TEST_CASE("a client that has sent more ahead than is read, and goes, is noticed in a tenth of a second") {
  Town town;
  for (int i = 0; i < 12; ++i) {  // a tenth of these may be hedged
    Client served(town);
    served.say(ask("look", {i % 8}, "w" + std::to_string(i)));
    REQUIRE(served.answer() == 200);
  }
  const auto before = town.parts();
  HeldParts held;
  hold_parts(town, held);
  Client client(town);
  client.say(ask("look", {1}) + std::string(40'000, 'x'));
  REQUIRE(town.until([&] { return held.size() == 1; }));
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
  wait(town, 1);  // the hedge delay is some 0.1 s after so few answers
  CHECK(town.parts() == before + 1);
}

TEST_CASE("a resting connection with a request unread in its socket does not make room for another") {
  Town town(3, 64);
  std::vector<std::unique_ptr<Client>> resting;
  for (int i = 0; i < 16; ++i) {  // the next one has one closed for it
    resting.push_back(std::make_unique<Client>(town));
    resting.back()->say(ask("look", {1}, "r" + std::to_string(i)));
    REQUIRE(resting.back()->answer() == 200);
  }
  Client fresh(town);                         // the router accepts this one first,
  resting[0]->say(ask("look", {2}, "late"));  // and this lies unread in the socket of the oldest
  CHECK(resting[0]->answer() == 200);
  CHECK(town.logged("client_room"));
  CHECK(!resting[0]->closed);
}

TEST_CASE("at the bound of connections a new one is taken once another has its answer") {
  Town town(3, 64);
  HeldParts held;
  hold_parts(town, held);
  std::vector<std::unique_ptr<Client>> busy;
  while (town.until([&] { return held.size() == busy.size(); }, 0.5)) {
    REQUIRE(busy.size() < 64);
    busy.push_back(std::make_unique<Client>(town));
    busy.back()->say(ask("change", {1}, "b" + std::to_string(busy.size())));
  }
  const auto bound = busy.size() - 1;  // the last one waits in the kernel
  REQUIRE(busy.back()->got.empty());
  REQUIRE(bound > 16);
  auto [part, from] = held[0];
  DataNode::answer(*from, part, "done", 1, "v");
  CHECK(busy.back()->answer() != 0);  // one rests now, it makes room
  Client waiting(
      town);  // and the router ends while one waits: what it closes then sets no timer that is gone
  wait(town, 0.1);
}

// A plain close resets the connection when a request crosses it, and takes along what the client has not
// read.
TEST_CASE(
    "a resting connection that is ended is read until its client ends it, and nothing of that is served") {
  Town town;
  Client client(town), other(town);
  client.say(ask("look", {1}));
  REQUIRE(client.answer() == 200);
  town.router->drain();
  REQUIRE(client.ended());  // its end has been read, it goes on all the same
  const auto parts = town.parts();
  boost::system::error_code error;
  for (int i = 0; i < 3 && !error; ++i) {  // the second fails where the first one was answered by a reset
    boost::asio::write(client.socket, boost::asio::buffer(ask("look", {2}, "crossing")), error);
    wait(town, 0.02);
  }
  CHECK(!error);
  CHECK(town.parts() == parts);
}

TEST_CASE(
    "requests that were read ahead get an answer each before the connection ends, and are not sent on") {
  HeldQuery rig(ask("look", {1}, "a") + ask("look", {2}, "b") + ask("change", {3}, "c"));
  auto& [town, held, ahead, resting] = rig;
  town.router->drain();
  REQUIRE(resting.ended());  // from here on answers are the last of their connections
  answer_all(held);
  CHECK(ahead.answer() == 200);
  CHECK(ahead.answer() == 503);
  CHECK(ahead.last.find("Connection: close") == std::string::npos);
  CHECK(ahead.answer() == 503);
  CHECK(ahead.last.find("Connection: close") != std::string::npos);
  CHECK(ahead.ended());
  for (const auto& node : town.nodes)
    for (const auto& part : node->parts) CHECK(part.id.starts_with("a."));
}

TEST_CASE("connections that the kernel took before the router stops to accept are served") {
  Town town;
  town.router->drain();
  std::unique_ptr<Client> last;
  // One that stands in the queue of the kernel in the very turn in which the router stops to accept.
  const auto began = now();
  auto posted = false;
  boost::asio::post(town.context, [&] {
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(began + 0.72 - now(), 0.0)));
    last = std::make_unique<Client>(town);
    last->say(ask("look", {1, 2}));
    posted = true;
  });
  REQUIRE(town.until([&] { return posted; }));
  CHECK(last->answer() == 200);
}

TEST_CASE("a second SIGTERM, and a SIGHUP behind it, change nothing of how a router ends") {
  HeldQuery rig(ask("look", {1}));
  auto& [town, held, client, resting] = rig;
  const auto told = now();
  town.router->drain();
  wait(town, 1);
  town.router->drain();
  town.router->reload();
  REQUIRE(resting.ended());
  CHECK(now() - told < 2.5);  // counted from the first
  CHECK(town.router->phase() == Router::Phase::draining);
  answer_all(held);
  CHECK(client.answer() == 200);
  CHECK(town.until([&] { return town.router->phase() == Router::Phase::stopped; }));
}

TEST_CASE("of two new configurations in one turn the last one's discovery is followed") {
  Town town;
  serve_one(town);
  toy::Discovery second(town.context), third(town.context);
  second.whole = town.list(5, true);
  third.whole = town.list(3, true);
  for (const auto* discovery : {&second, &third}) {
    town.configure(toy::config(kAnyPort, discovery->at(), 3, discovery->whole));
    town.router->reload();
  }
  REQUIRE(town.until([&] { return third.asked.size() == 1; }));
  wait(town, 0.5);
  CHECK(second.asked.empty());
  CHECK(town.logged("list version=3"));
  CHECK(!town.logged("list version=5"));
  serve_one(town);
}

TEST_CASE("a list is read whatever its lines and pieces") {
  Town town;
  const auto entry = toy::Discovery::entry("s-0", town.nodes[0]->at(), 0, "draining");
  const auto indented =
      fmt::format("{{\n  \"version\": 2,\n  \"full\": false,\n\n  \"servers\": [\n    {}\n  ]\n}}", entry);
  SUBCASE("over several lines") {
    town.discovery.tell(indented);
  }
  SUBCASE("a line at a time") {
    std::string line;
    for (const auto byte : indented + "\n") {
      if (byte != '\n') {
        line += byte;
        continue;
      }
      town.discovery.tell(std::exchange(line, {}));
      wait(town, 0.01);
    }
  }
  SUBCASE("two on one line") {
    town.discovery.tell(indented + R"({"version":3,"full":false,"servers":[]})");
    CHECK(town.until([&] { return town.logged("version=3"); }));
  }
  CHECK(town.until([&] { return town.logged("version=2"); }));
  CHECK(!town.logged("list_unusable"));
  CHECK(town.discovery.asked.size() == 1);
}

TEST_CASE("half a list that never ends keeps no watch alive, whatever lines come behind it") {
  Town town;
  town.discovery.tell(R"({"version":2,"full":false,"servers":[)");
  const auto began = now();
  while (town.discovery.asked.size() == 1 && now() < began + 5) {
    town.discovery.tell("");
    wait(town, 0.1);
  }
  CHECK(now() - began < 3.5);
}

// What a silent watch missed counts as told 6 s after its last word.
TEST_CASE("a list is in hand 6 s after a watch fell silent, though the next ones hang, end and dawdle") {
  Town town;
  const auto first = town.discovery.last_beat;
  REQUIRE(town.until([&] { return town.discovery.last_beat > first; }));
  town.discovery.silent = true;
  town.discovery.whole = town.list(2, true);
  std::shared_ptr<toy::Session> slow;
  double asked_slow = 0;
  town.discovery.on_watch = [&](toy::Session& session) {
    const auto number = town.discovery.asked.size();
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
      slow->say(std::string(toy::Discovery::kHead) + toy::Discovery::chunk(town.discovery.whole));
      slow.reset();
    }
    return town.logged("version=2");
  };
  REQUIRE(town.until(in_hand));
  CHECK(now() - town.discovery.last_beat < 6);
}

TEST_CASE("a watch that ends is opened again within a tenth of a second, one that keeps ending ever later") {
  Town town;
  const auto began = now();
  town.discovery.break_off();
  REQUIRE(town.until([&] { return town.discovery.asked.size() == 2; }));
  CHECK(now() - began < 0.1);
  town.discovery.on_watch = [](toy::Session& session) { return session.close(), true; };
  town.discovery.break_off();
  wait(town, 2);
  CHECK(town.discovery.asked.size() < 12);
  CHECK(town.discovery.asked.size() > 5);
}

TEST_SUITE_END();
