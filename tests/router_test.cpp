// The whole router in one process with toy nodes and a toy discovery, over loopback sockets.
#include "router/router.hpp"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

#include "town.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

// An answer whose length is off by so much.
std::string spoilt(const DataNode::Part& part, int by) {
  auto bytes = frame('R', part.id + " done 1 -\nq@1");
  bytes[3] = static_cast<char>(bytes[3] + by);
  return bytes;
}

const std::string kMerged =
    R"({"whole":true,"results":[{"partition":1,"value":"q@1"},{"partition":2,"value":"q@2"}]})";

// Enough parts that a tenth of them allows copies.
void serve(Town& town, int many = 12) {
  Client client(town);
  for (int i = 0; i < many; ++i) {
    client.say(ask("look", {i % 8}, "w" + std::to_string(i)));
    REQUIRE(client.answer() == 200);
  }
}

}  // namespace

TEST_SUITE_BEGIN("router");

TEST_CASE("a query is answered however its bytes arrive") {
  Town town;
  const auto whole = ask("look", {1, 2});
  const auto body = targets({1, 2});
  const auto chunked = fmt::format(
      "POST /look/deep?x=1 HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining: 4000000u\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\n{}\r\n{:x}\r\n{}\r\n0\r\n\r\n",
      body.substr(0, 5), body.size() - 5, body.substr(5));
  Client client(town);
  for (const auto& request : {whole, chunked, chunked + whole + whole}) {
    client.say(request);
    for (int i = request.size() > chunked.size() + 50 ? 3 : 1; i > 0; --i) {
      CHECK(client.answer() == 200);
      CHECK(client.body == kMerged);
    }
  }
  for (const auto byte : chunked) {
    client.say({&byte, 1});
    town.context.poll();
  }
  CHECK(client.answer() == 200);
  CHECK(client.body == kMerged);
  client.say("GET /_health HTTP/1.1\r\n\r\n");
  CHECK(client.answer() == 200);
  client.say(
      "POST /look HTTP/1.1\r\nExpect: 100-continue\r\nX-Txn: a\r\nX-Remaining: 4000m\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n");
  REQUIRE(town.until([&] { return client.got.starts_with("HTTP/1.1 100 Continue\r\n\r\n"); }));
  client.got.clear();
  client.say(body);
  CHECK(client.answer() == 200);
}

TEST_CASE("what the nodes are sent follows the protocol") {
  Town town;
  Client client(town);
  client.say(ask("change", {5}, "9b1f"));
  REQUIRE(client.answer() == 200);
  client.say(ask("report", {1, 2, 3}, "7c"));
  REQUIRE(client.answer() == 200);
  CHECK(client.body ==
        R"({"whole":true,"results":[{"partition":3,"value":"q@3"},{"partition":2,"value":"q@2"}]})");
  std::map<std::string, DataNode::Part> sent;
  for (const auto& node : town.nodes)
    for (const auto& part : node->parts) sent[part.id] = part;
  CHECK(sent.size() == 6);
  CHECK(sent["9b1f.5"].shard == 5);
  CHECK(sent["9b1f.5"].text == "q");
  CHECK(sent["9b1f.5"].list.starts_with("d="));
  CHECK(sent["9b1f.5"].list.ends_with(",k=k9"));
  CHECK(sent["7c.3.p2"].list.ends_with(",from=1+2+3,whole=1"));
  CHECK(sent["7c.1"].list.find("from") == std::string::npos);
}

TEST_CASE("bad requests get their status at once, no call, and the connection stays where framing holds") {
  struct Row {
    std::string from, to;
    int status;
    bool stays;
  };
  const auto good = ask("look", {1, 2});
  const Row rows[] = {
      {"POST", "GET", 405, true},
      {"/look", "/other", 404, true},
      {"/look", "look", 400, true},
      {"x-txn: t1", "x-txn: t 1", 400, true},
      {"x-txn: t1\r\n", "", 400, true},
      {"4000m", "4000", 400, true},
      {"4000m", "-4m", 400, true},
      {"4000m", "nanm", 400, true},
      {"4000m", "9e99m", 400, true},
      {"\"targets\"", "\"tarkets\"", 400, true},
      {"\"query\":\"q\"", "\"query\":7  ", 400, true},
      {"\"partition\":2", "\"partition\":1", 400, true},
      {"\"partition\":2", "\"partition\":8", 400, true},
      {"\"partition\":2", "\"partition\":.", 400, true},
      {"\"share\":0.5", "\"share\":1.5", 400, true},
      {"\"share\":0.5", "\"share\":0.4", 400, true},
      {"\"share\":0.5", "\"share\":1.0", 400, true},
      {"\"share\":0.5", "\"share\":0.0", 400, true},
      {"{\"targets\"", "[\"targets\"", 400, true},
      {"Content-Length: ", "Content-Length: 9999", 413, false},
      {"Content-Length: ", "Content-Length: x", 400, false},
      {"Host: h\r\n", "Content-Length: 7\r\n", 400, false},
      {"Host: h\r\n", "Transfer-Encoding: chunked\r\n", 400, false},
      {"\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + good, 400, false},
      {"Content-Length: ", "Transfer-Encoding: gzip\r\nX: ", 400, false},
      {"Content-Length: ", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\nX: ", 400, false},
      {"Content-Length: ", "Content-Length: -", 400, false},
      {"Host: h\r\n", "broken\r\n", 400, false},
      {"HTTP/1.1", "HTTP/9.1", 400, false},
      {"Host: h\r\n", "Host: " + std::string(9000, 'h') + "\r\n", 431, false},
  };
  Town town;
  for (const auto& row : rows) {
    CAPTURE(row.to.substr(0, 40));
    auto request = good;
    REQUIRE(request.find(row.from) != std::string::npos);
    request.replace(request.find(row.from), row.from.size(), row.to);
    Client client(town);
    client.say(request);
    CHECK(client.answer() == row.status);
    if (row.stays) {
      client.say("GET /_health HTTP/1.1\r\n\r\n");
      CHECK(client.answer() == 200);
    } else {
      CHECK(client.last.find("Connection: close") != std::string::npos);
      CHECK(client.ended());
    }
  }
  CHECK(town.parts() == 0);
  CHECK(town.logged("bad_request"));
}

TEST_CASE("a connection that brings no request in time is closed, one that has had an answer stays") {
  Town town;
  const auto whole = ask("look", {1, 2});
  const std::string halves[] = {"", "P", "POST /look HTTP/1.1\r\nX-A:", whole.substr(0, whole.size() - 1)};
  std::vector<std::unique_ptr<Client>> crowd;
  Client usual(town), dribbler(town);
  const auto start = now();
  for (const auto& half : halves) {
    crowd.push_back(std::make_unique<Client>(town));
    crowd.back()->say(half);
  }
  usual.say(whole);
  CHECK(usual.answer() == 200);
  for (std::size_t i = 0; !dribbler.closed && dribbler.got.empty() && i < whole.size(); ++i) {
    dribbler.say({&whole[i], 1});
    town.until([] { return false; }, 0.05);
  }
  CHECK(dribbler.answer() == 408);
  for (const auto& client : crowd) {
    if (client != crowd.front()) CHECK(client->answer() == 408);
    CHECK(client->ended());
  }
  CHECK(now() - start < 3);
  CHECK(town.parts() == 2);
  usual.say(whole);
  CHECK(usual.answer() == 200);
  CHECK(town.parts() == 4);
}

TEST_CASE("a body too large to keep is answered though the client sends on, and is not read to its end") {
  for (const auto* framing :
       {"Content-Length: 60000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3938700\r\n"}) {
    Town town;
    Client client(town);
    client.say(std::string("POST /look HTTP/1.1\r\nX-Txn: a\r\nX-Remaining: 4000m\r\n") + framing);
    const std::string body(60'000'000, ' ');
    std::size_t sent = 0;
    bool refused = false;
    boost::asio::async_write(client.socket, boost::asio::buffer(body), [&](const auto& error, auto count) {
      sent = count;
      refused = bool(error);
    });
    CHECK(client.ended());
    CHECK(town.until([&] { return refused; }));
    CHECK(sent < body.size());
  }
}

TEST_CASE("the id of an open query is refused, whosever it is, and the first one goes on") {
  Town town;
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> held;
  town.each_node([&](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
  Client first(town), second(town);
  first.say(ask("look", {1}));
  REQUIRE(town.until([&] { return held.size() == 1; }));
  second.say(ask("change", {1}));
  CHECK(second.answer() == 409);
  CHECK(held.size() == 1);
  DataNode::answer(*held[0].second, held[0].first, "done", 1, "v");
  CHECK(first.answer() == 200);
  second.say(ask("look", {1}));
  REQUIRE(town.until([&] { return held.size() == 2; }));
}

TEST_CASE("a copy wins, and the loser is given up") {
  Town town;
  serve(town);
  const DataNode* silent = nullptr;
  for (const auto& node : town.nodes)
    node->on_part = [&, usual = node->on_part, me = node.get()](const auto& part, auto& from) {
      if (silent == nullptr) silent = me;
      if (me != silent) usual(part, from);
    };
  Client client(town);
  client.say(ask("look", {1}));
  CHECK(client.answer() == 200);
  REQUIRE(silent != nullptr);
  CHECK(town.until([&] { return silent->given_up == std::vector<std::string>{"t1.1"}; }));
}

TEST_CASE("how a node fails a part, and what becomes of its query") {
  struct Row {
    const char* what;
    std::function<void(const DataNode::Part&, toy::Session&)> act;
    int change;  // the status of a deduplicated query of one part, the first node only failing
  };
  const Row rows[] = {
      {"says failed", [](auto& part, auto& from) { DataNode::answer(from, part, "failed", 0, ""); }, 200},
      {"says full", [](auto& part, auto& from) { DataNode::answer(from, part, "full", 0, ""); }, 200},
      {"dies", [](auto&, auto& from) { from.close(); }, 200},
      {"answers for another part",
       [](auto& part, auto& from) {
         auto other = part;
         other.id += ".p2";
         DataNode::answer(from, other, "done", 1, "wrong");
         DataNode::answer(from, part, "done", 1, "q@1");
       },
       200},
      {"sends an unknown frame", [](auto&, auto& from) { from.say(frame('X', "what")); }, 200},
      {"sends F", [](auto&, auto& from) { from.say(frame('F', "no")); }, 200},
      {"sends too large a frame", [](auto&, auto& from) { from.say(std::string("\x7f\xff\xff\xffR", 5)); },
       200},
      {"answers for another part and stays",
       [](auto& part, auto& from) {
         auto other = part;
         other.id += "7";
         DataNode::answer(from, other, "done", 1, "wrong");
       },
       200},
      {"cuts the value by its length", [](auto& part, auto& from) { from.say(spoilt(part, -2)); }, 200},
      {"cuts all of the value", [](auto& part, auto& from) { from.say(spoilt(part, -3)); }, 200},
      {"tells too long a length", [](auto& part, auto& from) { from.say(spoilt(part, 9)); }, 200},
      {"takes the head of the next frame for its value",
       [](auto& part, auto& from) { from.say(spoilt(part, 2) + frame('R', "x done 1 -\nv")); }, 200},
      {"sends a line without end", [](auto& part, auto& from) { from.say(frame('R', part.id + " done")); },
       200},
      {"sends an unknown end", [](auto& part, auto& from) { from.say(frame('R', part.id + " gone 1 -\nv")); },
       200},
      {"sends a few bytes of noise", [](auto&, auto& from) { from.say("no"); }, 200},
      {"sends a frame that stops halfway",
       [](auto& part, auto& from) { from.say(frame('R', part.id + " done 1 -\nq@1").substr(0, 9)); }, 200},
      {"sends half a frame and ends",
       [](auto& part, auto& from) {
         from.say(frame('R', part.id + " done 1 -\nq@1").substr(0, 9));
         from.close();
       },
       200},
  };
  for (const auto& row : rows) {
    CAPTURE(row.what);
    for (const char* vertical : {"look", "change"}) {
      CAPTURE(vertical);
      Town town;
      bool failed = false;
      for (const auto& node : town.nodes)
        node->on_part = [&, usual = node->on_part](const auto& part, auto& from) {
          if (std::exchange(failed, true)) return usual(part, from);
          row.act(part, from);
        };
      Client client(town);
      const auto start = now();
      client.say(ask(vertical, {1}));
      CHECK(client.answer() == row.change);
      CHECK(now() - start < 0.9);  // as soon as it is known, not when the call's time is over
      CHECK(client.body == R"({"whole":true,"results":[{"partition":1,"value":"q@1"}]})");
    }
  }
}

TEST_CASE("good answers with more behind them count, and so does what the connection brings afterwards") {
  const std::function<std::string(const std::string&, const std::string&)> more[] = {
      [](const auto& good, const auto&) { return good + good; },
      [](const auto& good, const auto&) { return good + good + good.substr(0, 7); },
      [](const auto&, const auto& id) { return frame('R', id + " done 1 inflight=?;,=x =\nq@1"); },
      [](const auto&, const auto& id) { return frame('R', id + " done 1\nq@1"); },
  };
  for (const auto& say : more) {
    Town town(1);
    for (int i = 0; i < 3; ++i) {
      town.nodes[0]->on_part = [&](const auto& part, auto& from) {
        from.say(say(frame('R', part.id + " done 1 -\nq@1"), part.id));
      };
      Client client(town);
      client.say(ask("look", {1}, "t" + std::to_string(i)));
      CHECK(client.answer() == 200);
      CHECK(client.body == R"({"whole":true,"results":[{"partition":1,"value":"q@1"}]})");
    }
    CHECK(town.parts() == 3);
  }
}

TEST_CASE("what is out beside a spoilt answer is told at once, and an answer cut anywhere is never served") {
  const auto length = frame('R', "t0.1 done 1 -\nq@1").size();
  for (std::size_t cut = 1; cut < length; ++cut) {
    CAPTURE(cut);
    Town town(1);
    int spoil = 2;  // the first part waits for good, the second one is cut
    town.nodes[0]->on_part = [&, usual = town.nodes[0]->on_part](const auto& part, auto& from) {
      if (spoil > 0 && --spoil == 0) from.say(frame('R', part.id + " done 1 -\nq@1").substr(0, cut));
      if (spoil == 0 && part.id.starts_with("n")) usual(part, from);
    };
    Client first(town), second(town);
    const auto start = now();
    first.say(ask("change", {1}, "t0"));
    REQUIRE(town.until([&] { return town.parts() == 1; }));
    second.say(ask("change", {1}, "t1"));
    REQUIRE(town.until([&] { return town.nodes[0]->open() == 0; }));
    CHECK(now() - start < 0.6);
    CHECK(first.got.empty());
    CHECK(second.got.empty());
  }
}

TEST_CASE("a query that no node answers ends before its client's time, and says what is harmless") {
  for (const auto& [vertical, status] : {std::pair("look", 503), std::pair("change", 500)}) {
    Town town;
    town.each_node([](const auto&, auto&) {});
    Client client(town);
    const auto start = now();
    client.say(ask(vertical, {1}, "t1", "600m"));
    CHECK(client.answer() == status);
    CHECK(now() - start < 0.65);
    CHECK((client.last.find("Retry-After: 0.5") != std::string::npos) == (status == 503));
    CHECK(town.logged(status == 503 ? " rejected query=t1" : " aborted query=t1"));
  }
}

TEST_CASE("a late answer to a call that was given up counts for no other, and the connection goes on") {
  Town town(1);
  serve(town, 2);
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> held;
  town.each_node([&](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
  {
    Client client(town);
    client.say(ask("look", {1}, "t5"));
    REQUIRE(town.until([&] { return held.size() == 1; }));
  }  // the client is gone
  Client client(town);
  client.say(ask("look", {1}, "t5"));  // the same part again, under the same name
  REQUIRE(town.until([&] { return held.size() == 2; }));
  CHECK(held[0].second != held[1].second);
  DataNode::answer(*held[0].second, held[0].first, "done", 1, "late");
  for (int i = 0; i < 20; ++i) town.context.run_one_for(std::chrono::milliseconds(5));
  CHECK(client.got.empty());
  DataNode::answer(*held[1].second, held[1].first, "done", 1, "right");
  CHECK(client.answer() == 200);
  CHECK(client.body.find("right") != std::string::npos);
}

TEST_CASE("a connection that stays silent takes no new calls after one was given up on it") {
  Town town(1);
  REQUIRE(town.until([&] { return town.nodes[0]->accepted() == 1; }));  // ahead of any part
  serve(town, 2);
  CHECK(town.nodes[0]->accepted() == 1);
  int silent = 1;
  town.nodes[0]->on_part = [&, usual = town.nodes[0]->on_part](const auto& part, auto& from) {
    if (silent-- <= 0) usual(part, from);
  };
  Client client(town);
  client.say(ask("look", {1}, "t1", "200m"));
  CHECK(client.answer() == 503);
  CHECK(town.until([&] { return town.nodes[0]->accepted() == 2; }));  // ahead of the next part
  const auto again = [&] {  // the module lets the node rest for a while
    client.say(ask("look", {1}, "t2"));
    return client.answer() == 200;
  };
  CHECK(town.until(again));
  CHECK(town.nodes[0]->accepted() == 2);
}

TEST_CASE("nodes come and go by the list, a lost watch is opened again, nonsense leaves the last good list") {
  Town town;
  Client client(town);
  const auto answers = [&](int status) {
    client.say(ask("look", {1, 2}));
    CHECK(client.answer() == status);
  };
  answers(200);
  town.discovery.break_off();
  REQUIRE(town.until([&] { return town.discovery.asked.size() == 2; }));
  CHECK(town.discovery.asked[1].find("since=1") != std::string::npos);
  answers(200);
  town.discovery.tell(R"({"version":9,"full":true,"servers":[{"id":7}]})");
  REQUIRE(town.until([&] { return town.discovery.asked.size() == 3; }));
  CHECK(town.discovery.asked[2].find("since") == std::string::npos);
  CHECK(town.logged("list_unusable"));
  answers(200);
  const auto old = town.parts();
  std::vector<std::string> gone;
  for (int i = 0; i < 3; ++i)
    gone.push_back(toy::Discovery::entry("s-" + std::to_string(i), town.nodes[0]->at(), i,
                                         i == 0 ? "gone" : "draining"));
  town.discovery.tell(toy::Discovery::list(10, false, gone));
  REQUIRE(town.until([&] { return town.logged("version=10"); }));
  answers(503);
  CHECK(town.parts() == old);
  town.discovery.tell(town.list(11, true));
  REQUIRE(town.until([&] { return town.logged("version=11"); }));
  answers(200);
  town.discovery.stop();  // the agent is away: the list stands
  REQUIRE(town.until([&] { return town.logged("Connection refused"); }));
  answers(200);
}

TEST_CASE("told to stop, it serves the connections it has until its time is nearly up, then ends") {
  Town town;
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> held;
  const auto answering = town.nodes[0]->on_part;
  const auto holding = [&](const auto& part, auto& from) {
    held.emplace_back(part, from.shared_from_this());
  };
  town.each_node(holding);
  Client early(town), kept(town), idle(town);
  early.say(ask("look", {1}));
  REQUIRE(town.until([&] { return held.size() == 1; }));
  town.router->drain();
  const auto told = now();
  kept.say("GET /_health HTTP/1.1\r\n\r\n");
  CHECK(kept.answer() == 503);
  Client late(town);
  late.say(ask("look", {2}, "t2"));
  REQUIRE(town.until([&] { return held.size() == 2; }));
  for (auto& [part, from] : held) DataNode::answer(*from, part, "done", 1, "v");
  CHECK(early.answer() == 200);
  CHECK(late.answer() == 200);
  town.each_node(answering);
  for (int i = 0; now() < told + 1.5; ++i) {
    kept.say(ask("look", {i % 8}, "k" + std::to_string(i)));
    REQUIRE(kept.answer() == 200);
    CHECK(kept.last.find("Connection: close") == std::string::npos);
    town.until([] { return false; }, 0.1);
  }
  town.each_node(holding);
  kept.say(ask("change", {3}, "t3", "4000m"));
  CHECK(idle.ended());
  CHECK(town.router->phase() == Router::Phase::draining);
  CHECK(kept.answer() == 500);  // no node answers it: it is told before SIGKILL can come
  CHECK(now() - told < 3.7);
  CHECK(now() - told > 3);
  CHECK(kept.last.find("Connection: close") != std::string::npos);
  CHECK(kept.ended());
  CHECK(town.until([&] { return town.router->phase() == Router::Phase::stopped; }));
}

TEST_CASE("a full table refuses by the module's rules and takes queries again once it has room") {
  Town town(3, 1024, 4);
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> held;
  town.each_node([&](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
  Client first(town), second(town);
  first.say(ask("look", {1, 2, 3}));
  REQUIRE(town.until([&] { return held.size() == 3; }));
  second.say(ask("change", {4}, "t2"));
  CHECK(second.answer() == 503);
  CHECK(held.size() == 3);
  for (auto& [part, from] : held) DataNode::answer(*from, part, "done", 1, "v");
  CHECK(first.answer() == 200);
  second.say(ask("change", {4}, "t3"));
  REQUIRE(town.until([&] { return held.size() == 4; }));
}

TEST_CASE("at the bound of connections the oldest that holds no request makes room") {
  Town town(3, 64);  // half of what is left of them for nodes: 24 clients
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(std::make_unique<Client>(town));
    crowd.back()->say(i % 2 == 0 ? "POST /look HTTP/1.1\r\n" : "GET /_health HTTP/1.1\r\n\r\n");
    if (i % 2 == 1) CHECK(crowd.back()->answer() == 200);
  }
  Client client(town);
  client.say(ask("look", {1, 2}));
  CHECK(client.answer() == 200);
  CHECK(town.logged("client_room"));
}

TEST_CASE("a crowd that only connects does not push out a client that is at work") {
  Town town(3, 64);
  Client usual(town);
  std::vector<std::unique_ptr<Client>> crowd;
  for (int round = 0; round < 8; ++round) {
    usual.say(ask("look", {1, 2}));
    REQUIRE(usual.answer() == 200);
    for (int i = 0; i < 10; ++i) crowd.push_back(std::make_unique<Client>(town));
    town.until([&] { return usual.closed; }, 0.3);
  }
  CHECK(!usual.closed);
}

TEST_CASE("a node that restarts or moves is reached by new connections") {
  Town town(1);
  serve(town, 2);
  auto entry = toy::Discovery::entry("s-0", town.nodes[0]->at(), 0);
  entry.replace(entry.find("started_ms\":0"), 13, "started_ms\":1700000000000");
  town.discovery.tell(toy::Discovery::list(2, false, {entry}));
  REQUIRE(town.until([&] { return town.logged("version=2"); }));
  serve(town, 1);
  CHECK(town.nodes[0]->accepted() == 2);
  DataNode other(town.context);
  town.discovery.tell(toy::Discovery::list(3, false, {toy::Discovery::entry("s-0", other.at(), 0)}));
  REQUIRE(town.until([&] { return town.logged("version=3"); }));
  serve(town, 1);
  CHECK(other.parts.size() == 1);
}

TEST_CASE("an idle connection is closed before the node would do it, one with a call out is not") {
  Town town(1, 1024, 200, 0.6);
  serve(town, 1);
  CHECK(town.nodes[0]->open() == 1);
  const auto start = now();
  REQUIRE(town.until([&] { return town.nodes[0]->open() == 0; }));
  CHECK(now() - start < 0.6);
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> held;
  town.each_node([&](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
  Client client(town);
  client.say(ask("change", {1}));
  CHECK(!town.until([&] { return town.nodes[0]->open() == 0 && !held.empty(); }, 0.8));
  DataNode::answer(*held.at(0).second, held[0].first, "done", 1, "v");
  CHECK(client.answer() == 200);
}

TEST_CASE("a watch that falls silent is opened again, and the list stands meanwhile") {
  Town town;
  town.discovery.silent = true;
  REQUIRE(town.until([&] { return town.discovery.asked.size() == 2; }));
  CHECK(town.logged("watch_lost why=\"silence\""));
  serve(town, 1);
}

// Stopped between two steps of its loop, the router went on with the second: by the clock its watch was
// silent, and it left it with a drain unread in it. For half a second it sent to the drained node.
TEST_CASE("a router that stood still reads what came meanwhile before it goes by the clock") {
  Town town;
  serve(town);
  auto posted = false;
  boost::asio::post(town.context, [&] {
    town.discovery.tell(
        toy::Discovery::list(2, false, {toy::Discovery::entry("s-0", town.nodes[0]->at(), 0, "draining")}));
    std::this_thread::sleep_for(std::chrono::milliseconds(3400));
    town.router->drain();  // its next step: all clients are served on
    posted = true;
  });
  REQUIRE(town.until([&] { return posted && town.logged("version=2"); }));
  CHECK(!town.logged("watch_lost"));
  CHECK(town.discovery.asked.size() == 1);
}

TEST_CASE("a standstill is told by the time between two turns, and is over once all is read") {
  struct Row {
    std::vector<std::pair<double, bool>> turns;  // when, and whether something lies there unread
    std::vector<bool> holds;
  };
  const Row rows[] = {
      {{{10, true}, {10.1, true}, {10.3, true}}, {false, false, false}},  // usual turns
      {{{10, false}, {13, false}, {13.001, false}, {13.002, false}}, {false, true, true, false}},
      {{{10, false}, {13, true}, {13.01, true}, {13.02, false}, {13.03, true}},
       {false, true, true, false, false}},
      {{{10, false}, {13, true}, {13.2, true}, {13.25, true}},
       {false, true, true, false}},  // never ends: bounded
      {{{10, false}, {13, false}, {14, false}, {14.1, false}},
       {false, true, true, false}},  // stopped once more
  };
  for (const auto& row : rows) {
    Standstill still(0.25);
    for (std::size_t i = 0; i < row.turns.size(); ++i) {
      CAPTURE(row.turns[i].first);
      CHECK(still.holds(row.turns[i].first, [&] { return row.turns[i].second; }) == row.holds[i]);
    }
  }
}

TEST_CASE("twenty-five thousand names of nodes pass, and the last ones are as good as the first") {
  Town town(3, 64);
  for (int version = 2; version <= 7; ++version) {
    std::vector<std::string> entries;
    for (int i = 0; i < 5000; ++i)
      entries.push_back(
          toy::Discovery::entry(fmt::format("s-{}-{}", version, i), town.nodes[0]->at(), i % 3));
    town.discovery.tell(toy::Discovery::list(version, true, entries));
    REQUIRE(town.until([&] { return town.logged(fmt::format("version={} ", version)); }));
    town.until([] { return false; }, 0.2);  // the next tick lets the former ones go
    Client client(
        town);  // a connection has 2.25 s for its request, and a slow machine reads such a list for longer
    client.say(ask("look", {1, 2, 3}, "t" + std::to_string(version)));
    CHECK(client.answer() == 200);
  }
  CHECK(!town.logged("node_unknown"));
  town.discovery.tell(town.list(8, true));
  REQUIRE(town.until([&] { return town.logged("version=8 "); }));
  for (int i = 0; i < 50 && town.nodes[2]->parts.empty(); ++i) serve(town);
  CHECK(!town.nodes[2]->parts.empty());
}

namespace {

std::string with(std::string text, const std::vector<std::pair<std::string, std::string>>& changes) {
  for (const auto& [from, to] : changes) {
    REQUIRE(text.find(from) != std::string::npos);
    text.replace(text.find(from), from.size(), to);
  }
  return text;
}

// Sets in place of a ring, a list that is asked for, no Retry-After, other routers that could be told.
const std::vector<std::pair<std::string, std::string>> kNewShape = {
    {"\"balancers\":1", "\"balancers\":2,\"weights\":\"off\""},
    {"\"discovery\":\"push\"", "\"discovery\":\"ask\""},
    {"\"retry_after\":true", "\"retry_after\":false,\"peer_messages\":true,\"probes\":true"},
    {"\"span\":3", "\"span\":1,\"per_call_work_us\":64000,\"warm_keys\":true"},
    {"\"domain\":", "\"load_report\":{\"source\":\"inline\",\"columns\":[\"cpu_share\"]},\"domain\":"}};

}  // namespace

TEST_CASE("one build serves either shape, by its settings alone") {
  for (const bool moved : {false, true}) {
    CAPTURE(moved);
    Town town(3, 1024, 200, 15, "",
              [&](std::string text) { return moved ? with(std::move(text), kNewShape) : text; });
    std::vector<std::set<int>> shards(3);
    for (std::size_t i = 0; i < 3; ++i)
      town.nodes[i]->on_part = [&, i](const auto& part, auto& from) {
        shards[i].insert(part.shard);
        DataNode::answer(from, part, "done", 1, "v");
      };
    Client client(town);
    for (int i = 0; i < 12; ++i) {
      client.say(ask("look", {i % 8, (i + 1) % 8}, "q" + std::to_string(i)));
      CHECK(client.answer() == 200);
    }
    for (std::size_t i = 0; moved && i < 3; ++i)
      for (const auto shard : shards[i]) CHECK(shard % 3 == static_cast<int>(i));
    CHECK(town.logged("left_out key=bounds.peer_messages") == moved);
  }
}

TEST_CASE(
    "a configuration that mixes shapes, or a bad value, is refused by its key; a reload keeps the old one") {
  struct Row {
    std::vector<std::pair<std::string, std::string>> changes;
    std::string why;
  };
  const Row rows[] = {
      {{{"\"push\"", "\"poll\""}}, "discovery is 'poll', expected one of push, ask"},
      {{{"\"push\"", "\"push\",\"weights\":\"some\""}}, "weights is 'some', expected one of off, nominal"},
      {{{"\"span\":3", "\"span\":4"}}, "domain.span is '4', expected at most domain.places, 3"},
      {{{"\"span\":3", "\"span\":-1"}}, "domain.span is '-1', expected a number of 0 or more"},
      {{{"\"parts_a_call\":1,", "\"per_call_work_us\":64000,"}},
       "domain.parts_a_call is '', expected a number"},
      {{{"\"span\":3", "\"span\":3,\"per_call_work_us\":\"inf\""}}, "domain.per_call_work_us is 'inf'"},
      {{{"\"span\":3", "\"span\":3,\"warm_keys\":\"yes\""}},
       "domain.warm_keys is 'yes', expected one of true"},
      {{{"\"cancel\":true", "\"cancel\":true,\"peer_messages\":true"}},
       "bounds.peer_messages is 'true', expected false, as balancers is 1"},
      {{{"\"cancel\":true", "\"cancel\":true,\"peer_messages\":\"maybe\""}},
       "bounds.peer_messages is 'maybe'"},
      {{{"\"domain\":", "\"load_report\":{\"source\":\"inline\",\"columns\":[]},\"domain\":"}},
       "load_report.columns is '', expected names, as load_report.source is inline"},
      {{{"\"domain\":", "\"load_report\":{\"source\":\"often\"},\"domain\":"}},
       "load_report.source is 'often'"},
      {{{"\"start_capacity\":0.3", "\"start_capacity\":0.3,\"budget_share\":0.1"}},
       "contract.budget_share is '"},
      {{{"\"whole_at\":[1.0,1.0,1.0]", "\"whole_at\":[0.5,1.0,1.0]"}}, "domain.min_share is '1"},
  };
  Town town;
  const auto good = toy::config(kAnyPort, town.discovery.at(), 3, town.discovery.whole);
  for (const auto& row : rows) {
    CAPTURE(row.why);
    const auto bad = with(good, row.changes);
    std::string said;
    try {
      read_config(bad);
    } catch (const InputError& error) {
      said = error.what();
    }
    CHECK(said.starts_with(row.why));
    town.configure(bad);
    std::raise(SIGHUP);
    CHECK(town.until([&] { return town.logged("reload_failed why=\"" + row.why); }));
  }
  town.each_node([](const auto& part, auto& from) { DataNode::answer(from, part, "done", 1, "v"); });
  Client client(town);
  client.say(ask("look", {1}));
  CHECK(client.answer() == 200);
}

TEST_CASE("SIGHUP: a new discovery is followed with queries in hand, a broken file changes nothing") {
  Town town;
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> held;
  town.each_node([&](const auto& part, auto& from) { held.emplace_back(part, from.shared_from_this()); });
  Client client(town);
  client.say(ask("look", {1}));
  REQUIRE(town.until([&] { return held.size() == 1; }));
  const auto config = [&](const toy::Discovery& at) {
    return toy::config(kAnyPort, at.at(), 3, town.discovery.whole);
  };
  const auto good = config(town.discovery);
  const std::pair<std::string, const char*> broken[] = {
      {good.substr(0, good.size() / 2), "why=\"the configuration is no"}, {"{}", "why=\"name is missing"}};
  for (const auto& [text, why] : broken) {
    town.configure(text);
    std::raise(SIGHUP);
    REQUIRE(town.until([&] { return town.logged(why); }));
  }
  town.discovery.tell(town.list(2, true));
  REQUIRE(town.until([&] { return town.logged("version=2"); }));
  // The new agent counts its versions from anew, and lacks two of the nodes.
  toy::Discovery first(town.context), second(town.context);
  const auto entry = toy::Discovery::entry("s-0", town.nodes[0]->at(), 0);
  first.whole = second.whole = toy::Discovery::list(1, true, {entry});
  town.configure(config(first));
  std::raise(SIGHUP);
  std::raise(SIGHUP);
  REQUIRE(town.until([&] { return first.asked.size() == 1; }));
  CHECK(first.asked[0].find("since") == std::string::npos);
  town.configure(config(second));
  std::raise(SIGHUP);
  REQUIRE(town.until([&] { return town.logged("entries=1 ready=1") && second.asked.size() == 1; }));
  CHECK(town.until([&] { return town.discovery.open() + first.open() == 0; }));
  CHECK(held.size() == 1);
  DataNode::answer(*held[0].second, held[0].first, "done", 1, "v");
  CHECK(client.answer() == 200);
  town.discovery.stop();
  const auto last = town.nodes[0]->parts.size();
  town.each_node([](const auto& part, auto& from) { DataNode::answer(from, part, "done", 1, "v"); });
  for (int i = 0; i < 6; ++i) {
    client.say(ask("look", {i}, "n" + std::to_string(i)));
    CHECK(client.answer() == 200);
  }
  CHECK(town.nodes[0]->parts.size() == last + 6);
  town.router->drain();
  std::raise(SIGHUP);
  CHECK(town.until([&] { return town.router->phase() == Router::Phase::stopped; }));
}
