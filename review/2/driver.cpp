// Queries whose parts have long values: every answer of 200 must hold the value of each part as a data node gave it.
#include "../standin/standin.hpp"

using namespace standin;

namespace {

constexpr int kQueries = 40;
constexpr int kLotServers = 10;
constexpr int kStockShards = 20;               // two begin at each lot server; a `stock-sweep` needs them all
constexpr std::size_t kLongValue = 3400;       // 20 of them are 68,000 bytes, a little over 64 KiB
constexpr std::size_t kShortValue = 16;

// The settings of quimper-vert at its smallest size.
const char* const kQuimperVert = R"({
  "balancers": 3, "resolution_us": 5000, "zone": "ergue", "zones": ["ergue", "kerfeunteun", "penhars"], "worth_by": "request",
  "discovery": "push", "customers": [], "over_share_worth": 0.1,
  "bounds": {"cancel": true, "max_attempts": 3, "may_duplicate": true, "retry_after": true, "max_retry_after_us": 500000,
    "max_open": 400, "streams_per_conn": 100, "connect_timeout_us": 250000, "conn_idle_us": 15000000, "probes": true,
    "peer_messages": false},
  "classes": [
    {"name": "stock-sweep", "semantics": "safe", "aim_us": 2000000, "deadline_us": 4000000, "credit": 3.0, "late_worth": 0.0, "window_us": 5000000},
    {"name": "lot-lookup", "semantics": "safe", "aim_us": 2000000, "deadline_us": 4000000, "credit": 1.0, "late_worth": 0.1, "window_us": 5000000}],
  "contract": {"answer_slack_us": 50000, "cold_us": 16000000, "fall_multiple": 2.0, "overload_for_us": 3000000,
    "start_capacity": 0.22, "drain_grace_us": 1000000},
  "domain": {"places": 10, "span": 3, "slices": 20, "parts_a_call": 4, "min_share": [0.7, 1.0],
    "whole_at": [1.0, 1.0], "partial_earns": [0.9, 0.9], "second_step": [0, 0]}
})";

// The value made for one part of one query: its id, repeated up to the size.
std::string value_of(const std::string& part, std::size_t size) {
  std::string value;
  while (value.size() < size) value += part + "|";
  value.resize(size);
  return value;
}

const char* const kNotIn = "?";

// The text of the field "value" of the entry of this shard; kNotIn if the answer has no such entry.
std::string value_in(const std::string& body, int shard) {
  const auto entry = body.find("\"partition\":" + std::to_string(shard) + ",");
  if (entry == std::string::npos) return kNotIn;
  const auto begin = body.find("\"value\":\"", entry);
  if (begin == std::string::npos) return kNotIn;
  const auto from = begin + 9;
  return body.substr(from, body.find('"', from) - from);
}

int run(const Arguments& given) {
  Record record(given.record.c_str());
  const auto size = given.trouble ? kLongValue : kShortValue;
  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<std::string> entries;
  const char* const zones[] = {"ergue", "kerfeunteun", "penhars"};
  for (int i = 0; i < kLotServers; ++i) {
    nodes.push_back(std::make_unique<DataNode>());
    nodes.back()->on_part = [&record, size, i](const Part& part, std::shared_ptr<NodeSession> session) {
      record.line("node s-%d runs %s", i, part.id.c_str());
      std::thread([&record, size, i, part, session] {
        sleep_for(0.005);
        session->answer(part.id, "done", 1000 + part.shard, value_of(part.id, size));
        record.line("node s-%d answers %s done, value of %zu bytes", i, part.id.c_str(), size);
      }).detach();
    };
    nodes.back()->start();
    entries.push_back(entry("s-" + std::to_string(i), nodes.back()->address(), i, "ready", zones[i % 3]));
  }
  const auto list = list_of(1, true, entries);
  Agent agent;
  agent.serve = [&](int fd, const std::string&) {
    if (write_all(fd, kWatchHead) && write_all(fd, chunk(list + "\n"))) heartbeats(fd);
  };
  agent.start();
  RouterProcess router(given.root, given.run, given.folder, "n0");
  router.configure(agent.port(), list, kQuimperVert);
  router.start();
  if (!router.ready(20)) return record.line("the router is not ready"), 2;

  int served = 0, other = 0, wrong = 0, none = 0;
  const int fd = connect_to(router.port());
  if (fd < 0) return 2;
  std::string buffer;
  int client = fd;
  for (int i = 0; i < kQueries; ++i) {
    char txn[40];
    std::snprintf(txn, sizeof txn, "9b1f03aa5c7e%04x", i);
    const auto body = query_body(0, kStockShards, "c41e77d0");
    if (client < 0) client = connect_to(router.port());
    record.line("client sends %s, 20 parts", txn);
    write_all(client, post("stock-sweep", txn, 4000, body));
    const auto answer = read_answer(client, buffer, now() + 5);
    if (answer.status == 0) {
      record.line("client got no answer to %s", txn);
      ++none;
    } else if (answer.status != 200) {
      record.line("client got %d to %s", answer.status, txn);
      ++other;
    } else {
      ++served;
      bool right = true;
      const bool whole = answer.body.find("\"whole\":true") != std::string::npos;
      for (int shard = 0; shard < kStockShards; ++shard) {
        const auto got = value_in(answer.body, shard);
        const auto made = value_of(std::string(txn) + "." + std::to_string(shard), size);
        if (got == made) continue;
        if (got == kNotIn && !whole) continue;  // an answer in part may leave it out
        right = false;
        record.line("WRONG: 200 to %s, %.13s, has a value of %zu bytes for shard %d; the data node gave %zu bytes", txn,
                    answer.body.c_str(), got.size(), shard, made.size());
      }
      if (right) record.line("client got 200 to %s, all values right", txn);
      wrong += !right;
    }
    // The router closes after some errors: the next request goes on a new connection.
    if (answer.status != 200) {
      ::close(client);
      client = -1;
      buffer.clear();
    }
    sleep_for(0.02);
  }
  if (client >= 0) ::close(client);
  const bool alive = router.running();
  record.line("served %d, of them wrong %d; other answers %d; none %d; router %s", served, wrong, other, none,
              alive ? "runs" : "has ended");
  std::printf("served %d, of them wrong %d; other answers %d; none %d\n", served, wrong, other, none);
  if (!alive) return 2;
  if (!given.trouble && served == 0) return 2;
  return wrong > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  int result = 2;
  try {
    result = run(arguments(argc, argv));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  ::_exit(result);
}
