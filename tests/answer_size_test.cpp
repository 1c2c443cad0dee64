// Answers whose values together exceed the largest body: what is left out, and that the client is told so.
#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <map>
#include <random>

#include "clients/http_messages.hpp"
#include "queries/answer_values.hpp"
#include "support.hpp"
#include "test_cluster.hpp"

using namespace yoketurn;
using namespace yoketurn::test;

namespace {

// The shares of the classes look, change and report from which on a partial and a whole answer may be given.
std::function<std::string(std::string)> with_shares(const std::string& min_shares,
                                                    const std::string& whole_shares) {
  return [=](std::string config) {
    for (const auto& [name, shares] : {std::pair("min_share", min_shares), {"whole_at", whole_shares}}) {
      const auto field = fmt::format("\"{}\":", name);
      const auto begin = config.find(field) + field.size();
      config.replace(begin, config.find(']', begin) + 1 - begin, shares);
    }
    return config;
  };
}

struct TestClusterWithShares : TestCluster {
  TestClusterWithShares(const std::string& min_shares, const std::string& whole_shares)
      : TestCluster(3, 1024, 200, 15, "", with_shares(min_shares, whole_shares)) {}
};

// The value that a data node gives for a part, of this size.
std::string value_of(const DataNode::Part& part, std::size_t size) {
  std::string value;
  while (value.size() < size) value += part.id + "|";
  value.resize(size);
  return value;
}

void answer_with_values_of(TestCluster& cluster, std::size_t size) {
  cluster.set_part_handler([size](const auto& part, auto& from) {
    DataNode::answer(from, part, "done", 1, value_of(part, size));
  });
}

struct Answer {
  bool whole = false;
  std::map<int, std::string> values;  // by shard
};

Answer parse_answer(const std::string& body) {
  const auto object = boost::json::parse(body).as_object();
  Answer answer{object.at("whole").as_bool(), {}};
  for (const auto& result : object.at("results").as_array())
    answer.values.emplace(static_cast<int>(result.at("partition").as_int64()),
                          std::string(result.at("value").as_string()));
  return answer;
}

const std::vector<int> kAllShards = {0, 1, 2, 3, 4, 5, 6, 7};
constexpr std::size_t kTooLongForAll = 9000;  // eight of them exceed the largest body, seven don't

}  // namespace

TEST_SUITE_BEGIN("router");

// Guards against a 200 marked whole in which a part has an empty value, where its data node gave one.
TEST_CASE("an answer that has no room for a value leaves its part out and isn't marked whole") {
  TestClusterWithShares cluster("[0.5,1.0,1.0]", "[1.0,1.0,1.0]");
  answer_with_values_of(cluster, kTooLongForAll);
  TestClient client(cluster);
  for (const auto* id : {"a", "b"}) {  // the connection stays in use
    client.send(query_request("look", kAllShards, id));
    REQUIRE(client.answer() == 200);
    const auto answer = parse_answer(client.body);
    CHECK(!answer.whole);
    CHECK(answer.values.size() == 7);
    for (const auto& [shard, value] : answer.values)
      CHECK((value == value_of({fmt::format("{}.{}", id, shard), 0, "", ""}, kTooLongForAll)));
  }
  CHECK(cluster.received_parts() == 2 * kAllShards.size());  // what has no room isn't asked for again
  CHECK(cluster.logged("value_dropped"));
}

TEST_CASE("a query whose values don't fit into an answer of the least share fails, whatever its effect") {
  TestClusterWithShares cluster("[1.0,1.0,1.0]", "[1.0,1.0,1.0]");
  answer_with_values_of(cluster, kTooLongForAll);
  for (const auto* vertical : {"look", "change"}) {
    CAPTURE(vertical);
    TestClient client(cluster);
    client.send(query_request(vertical, kAllShards, vertical));
    CHECK(client.answer() == 500);
  }
  CHECK(cluster.received_parts() == 2 * kAllShards.size());
  CHECK(cluster.logged("why=too_large"));
}

TEST_CASE("values that fill the largest body to the last byte make a whole answer") {
  TestClusterWithShares cluster("[0.5,1.0,1.0]", "[1.0,1.0,1.0]");
  const auto empty_body = response_body(false, {{0, ""}, {1, ""}}).size();
  const auto room = kMaxBodyBytes - empty_body;
  std::size_t excess = 0;
  SUBCASE("just fits") {}
  SUBCASE("one byte over") {
    excess = 1;
  }
  cluster.set_part_handler([&](const auto& part, auto& from) {
    DataNode::answer(from, part, "done", 1,
                     value_of(part, part.shard == 0 ? room / 2 : room - room / 2 + excess));
  });
  TestClient client(cluster);
  client.send(query_request("look", {0, 1}));
  REQUIRE(client.answer() == 200);
  const auto answer = parse_answer(client.body);
  CHECK(answer.whole == (excess == 0));
  CHECK(answer.values.size() == (excess == 0 ? 2 : 1));
  if (excess == 0) CHECK(client.body.size() + 1 == kMaxBodyBytes);  // "true" is shorter than "false"
}

// Guards against values of the first step that take the room of the answer: they don't stand in it.
TEST_CASE("values of the first step don't take the room of those of the second, however late they come") {
  TestClusterWithShares cluster("[0.5,1.0,0.5]", "[1.0,1.0,0.5]");
  std::vector<std::pair<DataNode::Part, std::shared_ptr<toy::Session>>> second_step, late;
  cluster.set_part_handler([&](const auto& part, auto& from) {
    if (part.id.ends_with(".p2")) return void(second_step.emplace_back(part, from.shared_from_this()));
    if (part.shard >= 4) return void(late.emplace_back(part, from.shared_from_this()));
    DataNode::answer(from, part, "done", 1000 + part.shard, value_of(part, kTooLongForAll));
  });
  TestClient client(cluster);
  client.send(query_request("report", kAllShards));
  REQUIRE(cluster.wait_until([&] { return second_step.size() == 2 && late.size() >= 4; }));
  for (const auto& [part, from] : late)
    DataNode::answer(*from, part, "done", 1, value_of(part, 2 * kTooLongForAll));
  cluster.wait_until([] { return false; }, 0.1);
  for (const auto& [part, from] : second_step)
    DataNode::answer(*from, part, "done", 1, value_of(part, 3 * kTooLongForAll));
  REQUIRE(client.answer() == 200);
  const auto answer = parse_answer(client.body);
  REQUIRE(answer.values.size() == 2);
  for (const auto& [shard, value] : answer.values)
    CHECK((value == value_of({fmt::format("t1.{}.p2", shard), 0, "", ""}, 3 * kTooLongForAll)));
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("queries");

TEST_CASE("the values of an answer stay within its room, and the lightest that frees enough makes room") {
  std::ranlux24_base random(1);
  for (int round = 0; round < 200; ++round) {
    const std::size_t room = 100 + random() % 900;
    AnswerValues values(room);
    std::map<int, std::pair<double, std::size_t>> kept;  // weight and size by part
    for (int leaf = 0; leaf < 30; ++leaf) {
      const auto weight = static_cast<double>(1 + random() % 3);
      const std::size_t bytes = random() % 1200;
      kept[leaf] = {weight, bytes};
      std::size_t sum = 0;
      for (const auto& [ignored, entry] : kept) sum += entry.second;
      const auto dropped = values.add(leaf, weight, bytes, std::string(bytes, 'v'));
      CHECK((dropped == kNone) == (sum <= room));
      if (dropped != kNone) {
        REQUIRE(kept.contains(dropped));
        CHECK(kept[dropped].second >= sum - room);
        for (const auto& [ignored, entry] : kept)
          if (entry.second >= sum - room) CHECK(entry.first >= kept[dropped].first);
        kept.erase(dropped);
      }
      CHECK(values.bytes() <= room);
    }
    std::map<int, std::size_t> held;
    values.for_each([&](int leaf, std::string_view value) { held[leaf] = value.size(); });
    REQUIRE(held.size() == kept.size());
    for (const auto& [leaf, entry] : kept) CHECK(held.at(leaf) == entry.second);
  }
}

TEST_CASE("a dropped part is not sent again, and its query ends with what is left, or fails at once") {
  auto with_half = settings();
  for (auto& vertical : with_half.verticals) vertical.min_merge_share = 0.5;
  Rig rig(with_half);
  for (const auto vertical : {0, 1, 2}) {
    CAPTURE(vertical);
    auto query = rig.query(vertical, 4);
    REQUIRE(rig.route(query).sends.size() == 4);
    rig.pass(0.02);
    const auto drop = [&](int leaf) {
      rig.settle(query, leaf, Outcome::success);
      query.leaves[static_cast<std::size_t>(leaf)].answered = false;
      query.leaves[static_cast<std::size_t>(leaf)].dropped = true;
    };
    drop(0);
    auto decision = rig.route(query);
    CHECK(decision.sends.empty());
    CHECK(decision.query_end == QueryEnd::none);
    rig.settle(query, 1, Outcome::success);
    SUBCASE("the least share fits") {
      rig.settle(query, 2, Outcome::success);
      rig.settle(query, 3, Outcome::success);
      CHECK(rig.route(query).query_end == QueryEnd::merge_partial);
    }
    SUBCASE("it doesn't") {
      drop(2);
      drop(3);
      decision = rig.route(query);
      CHECK(decision.query_end == QueryEnd::abort);
      CHECK(decision.explanation.reason == Reason::answer_too_large);
    }
  }
}

TEST_CASE("a later answer to a dropped part, of its copy, doesn't make it count") {
  Rig rig;
  auto query = rig.query(0, 1);
  rig.route(query);
  query.leaves[0].dropped = true;
  query.leaves[0].calls.push_back({1, 1, rig.now, Outcome::pending});
  rig.settle(query, 0, Outcome::success);
  CHECK(!query.leaves[0].answered);
}

TEST_SUITE_END();

TEST_SUITE_BEGIN("network");

TEST_CASE("what a result takes in a response body is reckoned to the byte, whatever its value holds") {
  CHECK(kMaxResultBytes + response_body(false, {}).size() == kMaxBodyBytes + 1);
  std::ranlux24_base random(1);
  for (int round = 0; round < 300; ++round) {
    std::vector<std::string> values(1 + random() % 5);
    std::vector<PartResult> results;
    std::size_t bytes = 0;
    for (auto& value : values) {
      for (auto length = random() % 200; length > 0; --length) value += static_cast<char>(random() % 128);
      results.push_back({static_cast<int>(random() % 12'000), value});
      bytes += result_bytes(results.back());
    }
    CHECK(response_body(false, results).size() == response_body(false, {}).size() + bytes - 1);
  }
}

TEST_SUITE_END();
