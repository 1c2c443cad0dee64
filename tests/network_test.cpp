#include <doctest/doctest.h>

#include <thread>

#include "buffers/ring.hpp"
#include "clients/bodies.hpp"
#include "datanodes/frames.hpp"
#include "datanodes/pool.hpp"
#include "discovery/list.hpp"
#include "examples/standin.hpp"
#include "logging/log.hpp"
#include "queries/clock.hpp"
#include "router/config.hpp"

using namespace yoketurn;

namespace {

std::string read_all(Ring& ring) {
  std::string text(ring.size(), ' ');
  ring.peek(0, text.data(), text.size());
  ring.consume(text.size());
  return text;
}

std::string valid_config() {
  const auto at = toy::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 1);
  return toy::config(at, at, 3, toy::Discovery::list(4, true, {toy::Discovery::entry("s-1", at, 0)}));
}

}  // namespace

TEST_SUITE_BEGIN("network");

TEST_CASE("the ring keeps order at every place of its wrap, and its bound") {
  for (std::size_t start = 0; start < 8; ++start) {
    Ring ring(8);
    CHECK(ring.put(std::string(start, '.')));
    CHECK(ring.put("a"));
    ring.consume(start);  // what is left begins at every place of the ring in turn
    CHECK(ring.put("bcdefgh"));
    CHECK(!ring.put("i"));
    CHECK(ring.free() == 0);
    const auto spans = ring.data();
    CHECK(spans[0].size() + spans[1].size() == 8);
    CHECK(read_all(ring) == "abcdefgh");
    ring.release();
    CHECK(ring.put("again"));
    CHECK(read_all(ring) == "again");
  }
}

namespace {

struct Ends : Pool::Listener {
  void call_ended(const CallRef& ref, Outcome outcome, double, std::string_view) override {
    ended.emplace_back(ref.leaf, outcome);
  }
  void connected(int, double) override {}
  void disconnected(int, Closing) override {}
  void load_asked(int) override {}
  void reported(int, std::string_view, double) override {}
  void no_room() override {}
  std::vector<std::pair<int, Outcome>> ended;
};

// A pool with one node, on its own clock and loop.
struct Sending {
  Sending(boost::asio::io_context& loop, const toy::tcp::endpoint& node) : context(loop) {
    pool.locate(0, node, 0, false);
  }
  void send(int leaf, double timeout, double by) {
    const auto id = "a." + std::to_string(leaf);
    pool.send(0, 0, {{1, leaf, 0}, id, leaf, "", std::make_shared<const std::string>("q")}, timeout, by);
  }
  void until_ended(std::size_t many) {
    for (const auto began = now(); ends.ended.size() < many && now() < began + 5;) {
      context.restart();
      context.run_for(std::chrono::milliseconds(5));
      due.run_due(now());
    }
    REQUIRE(ends.ended.size() == many);
  }
  boost::asio::io_context& context;
  TimerQueue due;
  Ends ends;
  Log log{stderr, {false, spdlog::level::off, 16}};
  Pool pool{context, due, {10, 1, 1, 15}, 10, log, ends};
};

constexpr auto kAnyTime = std::numeric_limits<double>::infinity();

}  // namespace

// A deduplicated part that was given to a connection still coming up left with it, after its window: nodes
// take it for another effect then.
TEST_CASE("what may leave only for so long never leaves later, however late its connection comes up") {
  boost::asio::io_context context;
  toy::tcp::acceptor deaf(context);
  const toy::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
  deaf.open(any.protocol());
  deaf.bind(any);
  deaf.listen(0);  // what it has not accepted fills it: further connections stay pending
  std::vector<toy::tcp::socket> filling;
  for (int i = 0; i < 4; ++i) {
    filling.emplace_back(context);
    filling.back().async_connect(deaf.local_endpoint(), [](const auto&) {});
  }
  context.run_for(std::chrono::milliseconds(50));
  Sending sending(context, deaf.local_endpoint());
  sending.send(0, 0.9, 0.05);
  sending.send(1, 0.3, kAnyTime);
  sending.pool.flush();
  sending.until_ended(2);
  CHECK(sending.ends.ended[0] == std::pair(0, Outcome::unsent));
  CHECK(sending.ends.ended[1] == std::pair(1, Outcome::unreachable));
  CHECK(sending.due.size() <= 1);  // that of the connection
}

// A router that stood still finds its connections up before it looks at the clock.
TEST_CASE("what may leave only for so long does not leave on a connection found up after a standstill") {
  boost::asio::io_context context;
  toy::DataNode node(context);
  Sending sending(context, node.at());
  sending.send(0, 0.9, 0.05);
  sending.send(1, 0.05, kAnyTime);
  sending.send(2, 3, kAnyTime);
  sending.pool.flush();
  std::this_thread::sleep_for(std::chrono::milliseconds(150));
  sending.until_ended(3);
  CHECK(sending.ends.ended[0] == std::pair(0, Outcome::unsent));
  CHECK(sending.ends.ended[1] == std::pair(1, Outcome::unsent));
  CHECK(sending.ends.ended[2] == std::pair(2, Outcome::success));
  REQUIRE(node.parts.size() == 1);
  CHECK(node.parts[0].shard == 2);
}

TEST_CASE("frames are whole wherever they are cut, and unusable ones are told") {
  const auto both = frame('R', "a.1 done 7 -\nv") + frame('F', "");
  for (std::size_t cut = 0; cut <= both.size(); ++cut) {
    Ring ring(kLargestFrame);
    std::string seen;
    Frame got;
    for (const auto& piece : {both.substr(0, cut), both.substr(cut)}) {
      ring.put(piece);
      while (take_frame(ring, got) == FrameState::whole) seen += got.letter + got.rest + "|";
    }
    CHECK(seen == "Ra.1 done 7 -\nv|F|");
  }
  for (const auto& head : {std::string("\0\0\0\0", 4), std::string("\x7f\0\0\1", 4)}) {
    Ring ring(kLargestFrame);
    Frame got;
    ring.put(head);
    CHECK(take_frame(ring, got) == FrameState::broken);
  }
}

TEST_CASE("a call's frame holds each part's line and text") {
  const PartText parts[] = {{"9b.3", 3, "d=240,k=5c", "c41e77d0"}, {"9b.4", 4, "d=240", "x\ny"}};
  const auto rest = std::string("9b.3 3 d=240,k=5c 8\nc41e77d09b.4 4 d=240 3\nx\ny");
  CHECK(call_frame(parts) == std::string("\0\0\0\x2fS", 5) + rest);
}

TEST_CASE("answers of nodes") {
  struct Row {
    const char* rest;
    bool usable;
    Outcome outcome;
    double score;
    const char* value;
  };
  const Row rows[] = {
      {"9b.3 done 1840277719 inflight=7\nvalue", true, Outcome::success, 1840277719, "value"},
      {"9b.3 done - -\n", true, Outcome::success, 0, ""},
      {"9b.3 failed 0 -\n", true, Outcome::failure, 0, ""},
      {"9b.3 full 0 -\n", true, Outcome::overloaded, 0, ""},
      {"9b.3 splendid 0 -\n", false, Outcome::failure, 0, ""},
      {"9b.3 done x -\n", false, Outcome::failure, 0, ""},
      {"9b.3 done inf -\n", false, Outcome::failure, 0, ""},
      {"9b.3 done 1 -\nval\x01ue", false, Outcome::failure, 0, ""},
      {"9b.3 done", false, Outcome::failure, 0, ""},
      {"\n", false, Outcome::failure, 0, ""},
  };
  for (const auto& row : rows) {
    CAPTURE(row.rest);
    const auto answer = read_answer(row.rest);
    REQUIRE(answer.has_value() == row.usable);
    if (!answer) continue;
    CHECK(answer->id == "9b.3");
    CHECK(answer->outcome == row.outcome);
    CHECK(answer->score == row.score);
    CHECK(answer->value == row.value);
  }
}

TEST_CASE("lists that make no sense are told, and what is unknown in one is left out of account") {
  const auto at = toy::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 8081);
  const auto good = toy::Discovery::list(41, false, {toy::Discovery::entry("s-1", at, 3, "draining")});
  const auto list = read_list(good);
  CHECK(list.version == 41);
  CHECK(!list.full);
  REQUIRE(list.members.size() == 1);
  CHECK(list.members[0].at == at);
  CHECK(list.members[0].cell == 3);
  CHECK(!list.members[0].up);
  CHECK(!list.members[0].gone);
  const std::pair<const char*, const char*> wrong[] = {
      {"draining", "asleep"},
      {"127.0.0.1:8081", "nowhere"},
      {"127.0.0.1:8081", "127.0.0.1:99999"},
      {"\"cell\":3", "\"cell\":-3"},
      {"\"cell\":3", "\"cel\":3"},
      {"\"id\":\"s-1\"", "\"id\":7"},
      {"41", "\"x\""},
      {"false", "1"},
      {"[{", "[7,{"},
      {"{\"version\"", "{{\"version\""},
  };
  for (const auto& [from, to] : wrong) {
    CAPTURE(to);
    auto bad = good;
    bad.replace(bad.find(from), std::string(from).size(), to);
    CHECK_THROWS_AS(read_list(bad), Malformed);
  }
}

TEST_CASE("settings as nested JSON read as the wire's pairs do") {
  const auto config = read_config(valid_config());
  CHECK(config.seed == 0x8c1f30d27a5be964);
  CHECK(config.known.version == 4);
  REQUIRE(config.settings.verticals.size() == 3);
  CHECK(config.settings.verticals[1].effect == Effect::deduplicated);
  CHECK(config.settings.verticals[1].dedup_window == 2);
  CHECK(config.settings.verticals[2].second_step_parts == 2);
  CHECK(config.settings.zone == 0);
  CHECK(config.settings.customers.empty());
  CHECK(config.settings.max_retry_after == 0.5);
  CHECK(config.bounds.idle_timeout == 15);
  CHECK(config.bounds.max_open == 200);
  const auto wire = pairs("a=1 classes.count=1 classes.0.name=look");
  CHECK(names(wire, "classes") == std::vector<std::string>{"look"});
}

TEST_CASE("a configuration that is missing or broken is told") {
  CHECK_THROWS_AS(load_config("/nonexistent/config.json"), Malformed);
  const std::pair<const char*, const char*> wrong[] = {
      {"{", "["},
      {"\"seed\":\"8c", "\"seed\":\"zz"},
      {"\"listen\":\"127.0.0.1:1\"", "\"listen\":\"127.0.0.1\""},
      {"\"sockets\":1024", "\"sockets\":3"},
      {"\"streams_per_conn\":100", "\"streams_per_conn\":0"},
      {"\"slices\":8", "\"slices\":\"many\""},
      {"\"known\":{\"version\":4", "\"known\":{\"version\":[]"},
      {"\"settings\"", "\"setting\""},
  };
  for (const auto& [from, to] : wrong) {
    CAPTURE(to);
    auto bad = valid_config();
    bad.replace(bad.find(from), std::string(from).size(), to);
    CHECK_THROWS_AS(read_config(bad), Malformed);
  }
}

TEST_CASE("values are passed on as the nodes gave them") {
  const auto body = answer_body(false, {{3, "5be2\"\\\n"}, {9, ""}});
  CHECK(body ==
        R"({"whole":false,"results":[{"partition":3,"value":"5be2\"\\\n"},{"partition":9,"value":""}]})");
}

TEST_CASE("a log line stays one line of bounded length, and a flood of them is summed up") {
  char* text = nullptr;
  std::size_t size = 0;
  std::FILE* file = open_memstream(&text, &size);
  Log log(file);
  log.line("odd", "why=\"{}\"", "a\nb" + std::string(100000, 'x'));
  for (int i = 0; i < 1000; ++i) log.line("flood", "n={}", i);
  log.sum_up(10);
  std::fclose(file);
  const std::string said(text, size);
  std::free(text);
  CHECK(said.find(" odd why=\"a bxxx") != std::string::npos);
  CHECK(said.find('\n') < 1100);
  CHECK(std::count(said.begin(), said.end(), '\n') == 22);
  CHECK(said.find("flood held_back=980") != std::string::npos);
}
