// Runs the whole router with real connections while system calls fail according to seeded plans, and checks
// that the rules of the protocol hold whatever fails.
//
// The router runs in a thread of its own, the only one with faults; data nodes, discovery and clients run in
// the test's thread. YOKETURN_FAULT_SEED=N runs only the plan with that seed, YOKETURN_FAULT_PLANS=N runs N
// plans in place of the default number.
#include <pthread.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

#include "examples/standin.hpp"
#include "queries/clock.hpp"
#include "router/router.hpp"
#include "tests/faults/injector.hpp"
#include "tests/main.hpp"

using namespace yoketurn;
using namespace yoketurn::faults;
using toy::tcp;

namespace {

constexpr int kDefaultPlans = 60;
constexpr int kNodes = 3, kClients = 6, kQueriesPerClient = 4;
constexpr double kQueryTimeoutSeconds = 0.6, kQueryWaitLimitSeconds = 2;
const tcp::endpoint kLoopback(boost::asio::ip::address_v4::loopback(), 0);

// The errors that the Linux man pages of these calls document and that a router can meet. EAGAIN on a socket
// that is ready is not among them: epoll is edge-triggered, so no event would follow.
const std::vector<Fault> kFaults = {{SystemCall::accept, ECONNABORTED}, {SystemCall::accept, EMFILE},
                                    {SystemCall::accept, ENFILE},       {SystemCall::accept, ENOBUFS},
                                    {SystemCall::accept, ENOMEM},       {SystemCall::accept, EPERM},
                                    {SystemCall::accept, EINTR},        {SystemCall::connect, EADDRNOTAVAIL},
                                    {SystemCall::connect, ENETUNREACH}, {SystemCall::connect, EHOSTUNREACH},
                                    {SystemCall::connect, ETIMEDOUT},   {SystemCall::connect, ECONNREFUSED},
                                    {SystemCall::connect, EAGAIN},      {SystemCall::connect, EINTR},
                                    {SystemCall::connect, EPERM},       {SystemCall::socket, EMFILE},
                                    {SystemCall::socket, ENFILE},       {SystemCall::socket, ENOBUFS},
                                    {SystemCall::socket, ENOMEM},       {SystemCall::receive, ECONNRESET},
                                    {SystemCall::receive, ETIMEDOUT},   {SystemCall::receive, EHOSTUNREACH},
                                    {SystemCall::receive, EINTR},       {SystemCall::receive, ENOMEM},
                                    {SystemCall::receive, ENOBUFS},     {SystemCall::receive, 0},
                                    {SystemCall::send, ECONNRESET},     {SystemCall::send, EPIPE},
                                    {SystemCall::send, ETIMEDOUT},      {SystemCall::send, EHOSTUNREACH},
                                    {SystemCall::send, EINTR},          {SystemCall::send, ENOBUFS},
                                    {SystemCall::send, ENOMEM},         {SystemCall::send, 0},
                                    {SystemCall::epoll_wait, EINTR},    {SystemCall::epoll_wait, 0}};

// Runs a router in a thread, with the plan's faults once the router has started, until stop().
class RouterThread {
 public:
  RouterThread(const std::string& config, FaultPlan& plan) {
    std::promise<tcp::endpoint> started;
    thread_ = std::thread([this, &started, &plan, config] {
      Router router(context_, load_config(config), log_);
      router.start();
      started.set_value(router.client_endpoint());
      set_fault_plan(&plan);
      while (!context_.stopped()) {
        try {
          context_.run();
        } catch (const std::exception& error) {
          exceptions_.push_back(error.what());
        }
      }
      set_fault_plan(nullptr);
      timespec used{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
      cpu_seconds_ = static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
    });
    at = started.get_future().get();
  }
  ~RouterThread() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    context_.stop();
    thread_.join();
  }
  // Ends the faults.
  void clear_faults() {
    boost::asio::post(context_, [] { set_fault_plan(nullptr); });
  }
  double cpu_seconds() const { return cpu_seconds_; }
  const std::vector<std::string>& exceptions() const { return exceptions_; }  // that reached the event loop

  tcp::endpoint at;

 private:
  boost::asio::io_context context_{1};
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> null_log_{std::fopen("/dev/null", "w"), std::fclose};
  Log log_{null_log_.get(), {false, spdlog::level::off, 16}};
  std::vector<std::string> exceptions_;
  double cpu_seconds_ = 0;
  std::thread thread_;
};

struct Query {
  std::string vertical, id;
  std::vector<int> shards;
};

// A client that sends its queries one after another, on a new connection if the last one has been closed.
class SequentialClient {
 public:
  SequentialClient(boost::asio::io_context& context, const tcp::endpoint& at, std::vector<Query> queries)
      : socket_(context), router_endpoint_(at), queries_(std::move(queries)) {
    send_next();
  }
  bool done() const { return next_ == queries_.size(); }

  std::vector<std::pair<Query, std::string>>
      answers;                    // head and body; empty: the connection ended without an answer
  double max_answer_seconds = 0;  // of all queries, also those without an answer

 private:
  void send_next() {
    if (done()) return;
    sent_at_ = now();
    boost::system::error_code error;
    if (!socket_.is_open()) {
      socket_.connect(router_endpoint_, error);
      read();
    }
    const auto& query = queries_[next_];
    std::vector<std::string> targets;
    for (const auto shard : query.shards)
      targets.push_back(fmt::format(R"({{"partition":{},"share":{}}})", shard,
                                    1.0 / static_cast<double>(query.shards.size())));
    const auto body = fmt::format(R"({{"targets":[{}],"query":"q"}})", fmt::join(targets, ","));
    boost::asio::write(
        socket_,
        boost::asio::buffer(
            fmt::format("POST /{} HTTP/1.1\r\nHost: h\r\nX-Txn: {}\r\nX-Remaining: {:.0f}m\r\n"
                        "Idempotency-Key: {}\r\nContent-Length: {}\r\n\r\n{}",
                        query.vertical, query.id, kQueryTimeoutSeconds * 1e3, query.id, body.size(), body)),
        error);
  }
  void read() {
    socket_.async_read_some(boost::asio::buffer(buffer_), [this](const auto& error, auto count) {
      received_.append(buffer_.data(), error ? 0 : count);
      if (error) {
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (!done()) finish(std::exchange(received_, {}));
        return;
      }
      const auto head = received_.find("\r\n\r\n");
      if (head != std::string::npos) {
        const auto length = std::stoul(received_.substr(received_.find("Content-Length: ") + 16));
        if (received_.size() >= head + 4 + length) finish(std::exchange(received_, {}));
      }
      if (socket_.is_open()) read();
    });
  }
  void finish(std::string answer) {
    if (done()) return;
    if (answer.find("\r\n\r\n") == std::string::npos) answer.clear();  // cut short by a reset
    max_answer_seconds = std::max(max_answer_seconds, now() - sent_at_);
    answers.emplace_back(queries_[next_++], std::move(answer));
    send_next();
  }

  tcp::socket socket_;
  tcp::endpoint router_endpoint_;
  std::vector<Query> queries_;
  std::size_t next_ = 0;
  double sent_at_ = 0;
  std::string received_;
  std::array<char, 4096> buffer_{};
};

// Data nodes, discovery and the configuration of a router; all run in the calling thread.
struct TestEnvironment {
  explicit TestEnvironment(const std::string& name)
      : path((std::filesystem::temp_directory_path() /
              fmt::format("yoketurn-faults-{}-{}.json", getpid(), name))
                 .string()) {
    std::vector<std::string> entries;
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<toy::DataNode>(context));
      entries.push_back(toy::Discovery::entry("s-" + std::to_string(i), nodes.back()->at(), i));
    }
    discovery.whole = toy::Discovery::list(1, true, entries);
    // Replaces the deduplicated vertical by a side-effecting one.
    auto text = toy::config(kLoopback, discovery.at(), kNodes, discovery.whole);
    const std::string from = R"("semantics":"keyed")";
    std::ofstream(path) << text.replace(text.find(from), from.size(), R"("semantics":"unsafe")");
  }
  ~TestEnvironment() { std::filesystem::remove(path); }
  // Runs the event loop until the condition holds, for `limit` seconds at most.
  template <class Condition>
  void wait_until(Condition condition, double limit) {
    for (const auto began = now(); !condition() && now() < began + limit;) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
  }

  std::string path;
  boost::asio::io_context context;
  std::vector<std::unique_ptr<toy::DataNode>> nodes;
  toy::Discovery discovery{context};
};

struct PlanResult {
  std::vector<std::string> violations;  // descriptions of the rules that were broken
  std::map<SystemCall, int> injected;
  std::map<std::string, int> statuses;
};

PlanResult run_plan(std::uint32_t seed) {
  std::mt19937 random(seed);
  const double probabilities[] = {0.01, 0.05, 0.2};
  const auto probability = probabilities[random() % 3];
  const auto spares_client_connections = random() % 2 == 0;
  FaultPlan plan(seed, kFaults, probability, spares_client_connections);

  TestEnvironment environment(std::to_string(seed));
  RouterThread router(environment.path, plan);

  std::vector<std::unique_ptr<SequentialClient>> clients;
  for (int client = 0; client < kClients; ++client) {
    std::vector<Query> queries;
    for (int i = 0; i < kQueriesPerClient; ++i) {
      const char* verticals[] = {"look", "change", "report"};
      Query query{verticals[random() % 3], fmt::format("c{}q{}", client, i), {}};
      const auto first = static_cast<int>(random() % 8);
      for (int shard = 0; shard <= static_cast<int>(random() % 3); ++shard)
        query.shards.push_back((first + shard) % 8);
      queries.push_back(std::move(query));
    }
    clients.push_back(std::make_unique<SequentialClient>(environment.context, router.at, std::move(queries)));
  }
  const auto began = now();
  const auto all_done = [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) { return client->done(); });
  };
  environment.wait_until(all_done, kQueriesPerClient * kQueryWaitLimitSeconds);
  const auto duration = now() - began;
  router.stop();

  PlanResult result;
  const auto add_violation = [&](std::string what) { result.violations.push_back(std::move(what)); };
  for (const auto& client : clients) {
    if (!client->done()) add_violation("rule 1: a query has no answer");
    if (client->max_answer_seconds > kQueryTimeoutSeconds + 0.5)
      add_violation(fmt::format("rule 1: answered after {:.2f} s", client->max_answer_seconds));
    for (const auto& [query, answer] : client->answers) {
      ++result.statuses[answer.empty() ? "none" : answer.substr(9, 3)];
      if (answer.empty() && spares_client_connections) add_violation("rule 1: no answer to " + query.id);
      if (answer.find(R"("whole":true)") == std::string::npos || query.vertical == "report") continue;
      for (const auto shard : query.shards)
        if (answer.find(fmt::format(R"({{"partition":{0},"value":"q@{0}"}})", shard)) == std::string::npos)
          add_violation("rule 5: answer says whole but lacks a part: " + query.id);
    }
  }
  std::map<std::string, int> runs;
  for (const auto& node : environment.nodes)
    for (const auto& part : node->parts) ++runs[part.id];
  for (const auto& client : clients)
    for (const auto& [query, answer] : client->answers) {
      if (query.vertical != "change") continue;
      for (const auto shard : query.shards)
        if (const auto count = runs[fmt::format("{}.{}", query.id, shard)]; count > 1)
          add_violation(fmt::format("rule 2: {}.{} ran {} times", query.id, shard, count));
    }
  if (router.cpu_seconds() > 0.2 + 0.3 * duration)
    add_violation(fmt::format("the event loop spins: {:.2f} s of CPU time in {:.2f} s", router.cpu_seconds(),
                              duration));
  for (const auto& what : router.exceptions()) add_violation("exception: " + what);
  for (const auto call : {SystemCall::accept, SystemCall::connect, SystemCall::epoll_wait,
                          SystemCall::receive, SystemCall::send, SystemCall::socket})
    result.injected[call] = plan.injected(call);
  return result;
}

int number_from_environment(const char* name, int default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::atoi(text);
}

}  // namespace

TEST_SUITE_BEGIN("faults");

TEST_CASE("whatever system calls fail, the rules hold") {
  const auto single_seed = number_from_environment("YOKETURN_FAULT_SEED", 0);
  const auto plans = single_seed > 0 ? 1 : number_from_environment("YOKETURN_FAULT_PLANS", kDefaultPlans);
  std::map<SystemCall, int> injected;
  std::map<std::string, int> statuses;
  for (int i = 1; i <= plans; ++i) {
    const auto seed = single_seed > 0 ? single_seed : i;
    const auto result = run_plan(static_cast<std::uint32_t>(seed));
    for (const auto& what : result.violations) FAIL_CHECK("YOKETURN_FAULT_SEED=" << seed << ": " << what);
    for (const auto& [call, count] : result.injected) injected[call] += count;
    for (const auto& [status, count] : result.statuses) statuses[status] += count;
  }
  for (const auto& [status, count] : statuses) MESSAGE(status << ": " << count);
  if (single_seed > 0) return;
  for (const auto& [call, count] : injected) {
    CAPTURE(static_cast<int>(call));
    CHECK(count > 0);  // the injector sees each of these calls
  }
  CHECK(statuses["200"] > plans);  // the router still serves
}

// A socket whose reads or writes fail for lack of memory stays ready: an immediate retry would spin.
TEST_CASE("a lasting lack of memory doesn't make the event loop spin, and queries are answered after it") {
  auto call = SystemCall::receive;
  SUBCASE("reading") {
    call = SystemCall::receive;
  }
  SUBCASE("writing") {
    call = SystemCall::send;
  }
  FaultPlan plan(1, {{call, ENOMEM}, {call, ENOBUFS}}, 1, false);
  TestEnvironment environment("lack");
  RouterThread router(environment.path, plan);
  SequentialClient client(environment.context, router.at, {{"look", "q", {1}}});
  environment.wait_until([&] { return client.done(); }, 0.4);
  CHECK(!client.done());
  router.clear_faults();
  environment.wait_until([&] { return client.done(); }, kQueryWaitLimitSeconds);
  REQUIRE(client.done());
  CHECK(client.answers[0].second.find("HTTP/1.1 200") == 0);
  router.stop();
  CHECK(plan.injected(call) > 5);
  CHECK(plan.injected(call) < 500);  // a retry every 10 ms on each of a few connections
  CHECK(router.cpu_seconds() < 0.1);
}

TEST_SUITE_END();
