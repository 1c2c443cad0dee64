// A cluster on loopback for tests: a complete router, toy data nodes and a toy discovery service in one
// process, and a client.
#pragma once

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>

#include "examples/standin.hpp"
#include "queries/clock.hpp"
#include "router/router.hpp"

namespace yoketurn::test {

using toy::DataNode;
using toy::tcp;

inline const auto kAnyPort = tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0);

struct TestCluster {
  // max_sockets: the router's limit of descriptors. max_open: its limit of queries and parts in progress.
  // idle_timeout: seconds after which a node closes an idle connection. operators: text of the operators'
  // file, empty: none. alter_config: changes the text of the configuration before the router reads it.
  explicit TestCluster(int node_count = 3, int max_sockets = 1024, int max_open = 200,
                       double idle_timeout = 15, const std::string& operators = "",
                       const std::function<std::string(std::string)>& alter_config = {}) {
    for (int i = 0; i < node_count; ++i) nodes.push_back(std::make_unique<DataNode>(context));
    discovery.whole = list(1, true);
    auto settings = toy::config(kAnyPort, discovery.at(), node_count, discovery.whole, max_sockets, max_open);
    write_config(alter_config ? alter_config(std::move(settings)) : settings);
    auto config = load_config(path);
    config.connection_limits.idle_timeout = idle_timeout;
    if (!operators.empty()) {
      std::ofstream(operators_path) << operators;
      load_operators_file(config, operators_path);
    }
    router = std::make_unique<Router>(context, config, log);
    router->start();
    REQUIRE(wait_until([&] { return !discovery.asked.empty(); }));
  }
  ~TestCluster() {
    router.reset();
    std::fclose(log_file);
    std::free(log_text);
    std::filesystem::remove(path);
    std::filesystem::remove(operators_path);
  }
  void write_config(std::string_view config) const { std::ofstream(path) << config; }
  // Discovery's list of all nodes, as JSON.
  std::string list(int version, bool full) const {
    std::vector<std::string> entries;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      entries.push_back(toy::Discovery::entry("s-" + std::to_string(i), nodes[i]->at(), static_cast<int>(i)));
    return toy::Discovery::list(version, full, entries);
  }
  // Runs the event loop until the condition holds or the limit (in seconds) is over; returns whether it
  // holds.
  bool wait_until(const std::function<bool()>& condition, double limit = 10) {
    for (const auto end = now() + limit; !condition();) {
      if (now() > end) return false;
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  // Parts that all nodes have received.
  std::size_t received_parts() const {
    std::size_t sum = 0;
    for (const auto& node : nodes) sum += node->parts.size();
    return sum;
  }
  bool logged(std::string_view what) {
    std::fflush(log_file);
    return std::string_view(log_text, log_size).find(what) != std::string_view::npos;
  }
  // Makes all nodes pass the parts they receive to `handler`.
  template <class Handler>
  void set_part_handler(Handler handler) {
    for (const auto& node : nodes) node->on_part = handler;
  }

  const std::string path =
      (std::filesystem::temp_directory_path() / ("yoketurn-" + std::to_string(getpid()) + ".json")).string();
  const std::string operators_path = path + ".info";
  boost::asio::io_context context;
  std::vector<std::unique_ptr<DataNode>> nodes;
  toy::Discovery discovery{context};
  char* log_text = nullptr;
  std::size_t log_size = 0;
  std::FILE* log_file = open_memstream(&log_text, &log_size);
  Log log{log_file};
  std::unique_ptr<Router> router;
};

struct TestClient {
  explicit TestClient(TestCluster& to) : cluster(to), socket(to.context) {
    socket.connect(to.router->client_endpoint());
    read();
  }
  void send(std::string_view bytes) { boost::asio::write(socket, boost::asio::buffer(bytes)); }
  // Waits for the next answer and returns its status, 0 if none comes. Its head is then in `last_head`, its
  // body in `body`.
  int answer() {
    std::size_t head = 0, length = 0;
    const auto complete = [&] {
      head = received.find("\r\n\r\n");
      if (head == std::string::npos) return false;
      length = static_cast<std::size_t>(std::stoul(received.substr(received.find("Content-Length: ") + 16)));
      return received.size() >= head + 4 + length;
    };
    if (!cluster.wait_until(complete)) return 0;
    const auto status = std::stoi(received.substr(9));
    last_head = received.substr(0, head);
    body = received.substr(head + 4, length);
    received.erase(0, head + 4 + length);
    return status;
  }
  // Waits until the router has closed the connection.
  bool ended() {
    return cluster.wait_until([&] { return closed; });
  }

  TestCluster& cluster;
  tcp::socket socket;
  std::string received;  // and not yet returned by answer()
  std::string last_head, body;
  bool closed = false;

 private:
  void read() {
    socket.async_read_some(boost::asio::buffer(buffer), [this](const auto& error, auto count) {
      if (error == boost::asio::error::operation_aborted) return;
      if (error) {
        closed = true;
        return;
      }
      received.append(buffer, count);
      read();
    });
  }
  char buffer[4096];
};

inline std::string query_body(const std::vector<int>& shards) {
  std::vector<std::string> list;
  for (const auto shard : shards)
    list.push_back(
        fmt::format(R"({{"partition":{},"share":{}}})", shard, 1.0 / static_cast<double>(shards.size())));
  return fmt::format(R"({{"targets":[{}],"query":"q"}})", fmt::join(list, ","));
}

inline std::string query_request(std::string_view vertical, const std::vector<int>& shards,
                                 std::string_view id = "t1", std::string_view remaining = "4000m") {
  const auto body = query_body(shards);
  return fmt::format(
      "POST /{} HTTP/1.1\r\nHost: h\r\nx-txn: {}\r\nX-REMAINING: {}\r\nIdempotency-Key: k9\r\n"
      "Content-Length: {}\r\n\r\n{}",
      vertical, id, remaining, body.size(), body);
}

}  // namespace yoketurn::test
