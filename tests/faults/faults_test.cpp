// The whole router under plans of failing system calls, with real connections: whatever fails, the rules
// hold.
//
// The router runs in a thread of its own, which alone follows the plan; nodes, discovery and clients are
// played by the test's thread. A plan is a seed: YOKETURN_FAULT_SEED=N plays that one alone,
// YOKETURN_FAULT_PLANS=N so many in place of the usual number.
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

constexpr int kUsualPlans = 60;
constexpr int kNodes = 3, kClients = 6, kQueriesOfEach = 4;
constexpr double kTimeOfQuery = 0.6, kPatience = 2;  // seconds
const tcp::endpoint kLoopback(boost::asio::ip::address_v4::loopback(), 0);

// What the Linux pages of these calls document and a router can meet. EAGAIN of a socket that is ready is not
// among them: no edge would ever tell that it is.
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

// Runs until it is stopped, in a thread that follows the plan once the router has started.
class RouterThread {
 public:
  RouterThread(const std::string& config, Plan& plan) {
    std::promise<tcp::endpoint> started;
    thread_ = std::thread([this, &started, &plan, config] {
      Router router(context_, load_config(config), log_);
      router.start();
      started.set_value(router.client_endpoint());
      follow(&plan);
      while (!context_.stopped()) {
        try {
          context_.run();
        } catch (const std::exception& error) {
          faults_.push_back(error.what());
        }
      }
      follow(nullptr);
      timespec used{};
      clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
      cpu_ = static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
    });
    at = started.get_future().get();
  }
  ~RouterThread() { stop(); }
  void stop() {
    if (!thread_.joinable()) return;
    context_.stop();
    thread_.join();
  }
  // No call fails from now on.
  void heal() {
    boost::asio::post(context_, [] { follow(nullptr); });
  }
  double cpu() const { return cpu_; }
  const std::vector<std::string>& faults() const { return faults_; }  // exceptions that reached the loop

  tcp::endpoint at;

 private:
  boost::asio::io_context context_{1};
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> nowhere_{std::fopen("/dev/null", "w"), std::fclose};
  Log log_{nowhere_.get(), {false, spdlog::level::off, 16}};
  std::vector<std::string> faults_;
  double cpu_ = 0;
  std::thread thread_;
};

struct Query {
  std::string vertical, id;
  std::vector<int> shards;
};

// A client that sends its queries one after another, each on a new connection if the last one has ended.
class Asker {
 public:
  Asker(boost::asio::io_context& context, const tcp::endpoint& at, std::vector<Query> queries)
      : socket_(context), at_(at), queries_(std::move(queries)) {
    ask();
  }
  bool done() const { return next_ == queries_.size(); }

  std::vector<std::pair<Query, std::string>>
      answers;         // head and body; empty: its connection ended without one
  double longest = 0;  // that one took to have its end

 private:
  void ask() {
    if (done()) return;
    asked_ = now();
    boost::system::error_code error;
    if (!socket_.is_open()) {
      socket_.connect(at_, error);
      read();
    }
    const auto& query = queries_[next_];
    std::vector<std::string> targets;
    for (const auto shard : query.shards)
      targets.push_back(fmt::format(R"({{"partition":{},"share":{}}})", shard,
                                    1.0 / static_cast<double>(query.shards.size())));
    const auto body = fmt::format(R"({{"targets":[{}],"query":"q"}})", fmt::join(targets, ","));
    boost::asio::write(socket_,
                       boost::asio::buffer(fmt::format(
                           "POST /{} HTTP/1.1\r\nHost: h\r\nX-Txn: {}\r\nX-Remaining: {:.0f}m\r\n"
                           "Idempotency-Key: {}\r\nContent-Length: {}\r\n\r\n{}",
                           query.vertical, query.id, kTimeOfQuery * 1e3, query.id, body.size(), body)),
                       error);
  }
  void read() {
    socket_.async_read_some(boost::asio::buffer(buffer_), [this](const auto& error, auto count) {
      got_.append(buffer_.data(), error ? 0 : count);
      if (error) {
        boost::system::error_code ignored;
        socket_.close(ignored);
        if (!done()) end(std::exchange(got_, {}));
        return;
      }
      const auto head = got_.find("\r\n\r\n");
      if (head != std::string::npos) {
        const auto length = std::stoul(got_.substr(got_.find("Content-Length: ") + 16));
        if (got_.size() >= head + 4 + length) end(std::exchange(got_, {}));
      }
      if (socket_.is_open()) read();
    });
  }
  void end(std::string answer) {
    if (done()) return;
    if (answer.find("\r\n\r\n") == std::string::npos) answer.clear();  // cut off by a reset
    longest = std::max(longest, now() - asked_);
    answers.emplace_back(queries_[next_++], std::move(answer));
    ask();
  }

  tcp::socket socket_;
  tcp::endpoint at_;
  std::vector<Query> queries_;
  std::size_t next_ = 0;
  double asked_ = 0;
  std::string got_;
  std::array<char, 4096> buffer_{};
};

// What a router needs around it, played by this thread.
struct Surroundings {
  explicit Surroundings(const std::string& name)
      : path((std::filesystem::temp_directory_path() /
              fmt::format("yoketurn-faults-{}-{}.json", getpid(), name))
                 .string()) {
    std::vector<std::string> entries;
    for (int i = 0; i < kNodes; ++i) {
      nodes.push_back(std::make_unique<toy::DataNode>(context));
      entries.push_back(toy::Discovery::entry("s-" + std::to_string(i), nodes.back()->at(), i));
    }
    discovery.whole = toy::Discovery::list(1, true, entries);
    // A side-effecting vertical in the place of the deduplicated one.
    auto text = toy::config(kLoopback, discovery.at(), kNodes, discovery.whole);
    const std::string from = R"("semantics":"keyed")";
    std::ofstream(path) << text.replace(text.find(from), from.size(), R"("semantics":"unsafe")");
  }
  ~Surroundings() { std::filesystem::remove(path); }
  // Lets things happen until it holds, for so many seconds at most.
  template <class Holds>
  void until(Holds holds, double limit) {
    for (const auto began = now(); !holds() && now() < began + limit;) {
      context.restart();
      context.run_one_for(std::chrono::milliseconds(20));
    }
  }

  std::string path;
  boost::asio::io_context context;
  std::vector<std::unique_ptr<toy::DataNode>> nodes;
  toy::Discovery discovery{context};
};

struct Played {
  std::vector<std::string> broken;  // rules, in words
  std::map<SystemCall, int> injected;
  std::map<std::string, int> statuses;
};

Played play(std::uint32_t seed) {
  std::mt19937 random(seed);
  const double shares[] = {0.01, 0.05, 0.2};
  const auto share = shares[random() % 3];
  const auto spares_clients = random() % 2 == 0;
  Plan plan(seed, kFaults, share, spares_clients);

  Surroundings around(std::to_string(seed));
  RouterThread router(around.path, plan);

  std::vector<std::unique_ptr<Asker>> clients;
  for (int client = 0; client < kClients; ++client) {
    std::vector<Query> queries;
    for (int i = 0; i < kQueriesOfEach; ++i) {
      const char* verticals[] = {"look", "change", "report"};
      Query query{verticals[random() % 3], fmt::format("c{}q{}", client, i), {}};
      const auto first = static_cast<int>(random() % 8);
      for (int shard = 0; shard <= static_cast<int>(random() % 3); ++shard)
        query.shards.push_back((first + shard) % 8);
      queries.push_back(std::move(query));
    }
    clients.push_back(std::make_unique<Asker>(around.context, router.at, std::move(queries)));
  }
  const auto began = now();
  const auto all_done = [&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& client) { return client->done(); });
  };
  around.until(all_done, kQueriesOfEach * kPatience);
  const auto took = now() - began;
  router.stop();

  Played played;
  const auto broken = [&](std::string what) { played.broken.push_back(std::move(what)); };
  for (const auto& client : clients) {
    if (!client->done()) broken("rule 1: a query has no end");
    if (client->longest > kTimeOfQuery + 0.5)
      broken(fmt::format("rule 1: an end after {:.2f} s", client->longest));
    for (const auto& [query, answer] : client->answers) {
      ++played.statuses[answer.empty() ? "none" : answer.substr(9, 3)];
      if (answer.empty() && spares_clients) broken("rule 1: no answer to " + query.id);
      if (answer.find(R"("whole":true)") == std::string::npos || query.vertical == "report") continue;
      for (const auto shard : query.shards)
        if (answer.find(fmt::format(R"({{"partition":{0},"value":"q@{0}"}})", shard)) == std::string::npos)
          broken("rule 5: not whole: " + query.id);
    }
  }
  std::map<std::string, int> runs;
  for (const auto& node : around.nodes)
    for (const auto& part : node->parts) ++runs[part.id];
  for (const auto& client : clients)
    for (const auto& [query, answer] : client->answers) {
      if (query.vertical != "change") continue;
      for (const auto shard : query.shards)
        if (const auto many = runs[fmt::format("{}.{}", query.id, shard)]; many > 1)
          broken(fmt::format("rule 2: {}.{} ran {} times", query.id, shard, many));
    }
  if (router.cpu() > 0.2 + 0.3 * took)
    broken(fmt::format("the loop spins: {:.2f} of {:.2f} s", router.cpu(), took));
  for (const auto& what : router.faults()) broken("an exception: " + what);
  for (const auto call : {SystemCall::accept, SystemCall::connect, SystemCall::epoll_wait,
                          SystemCall::receive, SystemCall::send, SystemCall::socket})
    played.injected[call] = plan.injected(call);
  return played;
}

int number_from_environment(const char* name, int absent) {
  const char* text = std::getenv(name);
  return text == nullptr ? absent : std::atoi(text);
}

}  // namespace

TEST_SUITE_BEGIN("faults");

TEST_CASE("whatever system calls fail, the rules hold") {
  const auto alone = number_from_environment("YOKETURN_FAULT_SEED", 0);
  const auto plans = alone > 0 ? 1 : number_from_environment("YOKETURN_FAULT_PLANS", kUsualPlans);
  std::map<SystemCall, int> injected;
  std::map<std::string, int> statuses;
  for (int i = 1; i <= plans; ++i) {
    const auto seed = alone > 0 ? alone : i;
    const auto played = play(static_cast<std::uint32_t>(seed));
    for (const auto& what : played.broken) FAIL_CHECK("YOKETURN_FAULT_SEED=" << seed << ": " << what);
    for (const auto& [call, many] : played.injected) injected[call] += many;
    for (const auto& [status, many] : played.statuses) statuses[status] += many;
  }
  for (const auto& [status, many] : statuses) MESSAGE(status << ": " << many);
  if (alone > 0) return;
  for (const auto& [call, many] : injected) {
    CAPTURE(static_cast<int>(call));
    CHECK(many > 0);  // the injector is reached by each of them
  }
  CHECK(statuses["200"] > plans);  // and the router goes on serving
}

// A socket that can be read or written and finds no memory for it is ready all the time.
TEST_CASE(
    "a lack of memory that lasts makes no loop spin, and what was asked meanwhile is answered after it") {
  auto call = SystemCall::receive;
  SUBCASE("reading") {
    call = SystemCall::receive;
  }
  SUBCASE("writing") {
    call = SystemCall::send;
  }
  Plan plan(1, {{call, ENOMEM}, {call, ENOBUFS}}, 1, false);
  Surroundings around("lack");
  RouterThread router(around.path, plan);
  Asker client(around.context, router.at, {{"look", "q", {1}}});
  around.until([&] { return client.done(); }, 0.4);
  CHECK(!client.done());
  router.heal();
  around.until([&] { return client.done(); }, kPatience);
  REQUIRE(client.done());
  CHECK(client.answers[0].second.find("HTTP/1.1 200") == 0);
  router.stop();
  CHECK(plan.injected(call) > 5);
  CHECK(plan.injected(call) < 500);  // every 10 ms on each of a few connections
  CHECK(router.cpu() < 0.1);
}

TEST_SUITE_END();
