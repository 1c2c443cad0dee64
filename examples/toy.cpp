// Toy data nodes and a toy discovery for the router of examples/config.json, and, if wanted, clients that ask
// it and one node that stalls or swallows. Ends with the terminal's Ctrl-C or after a stated time.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>

#include "examples/standin.hpp"

namespace {

using namespace yoketurn::toy;

// Answers after a while, as many at once as there are; stalls when told to.
class Worker {
 public:
  Worker(boost::asio::io_context& context, DataNode& node, unsigned seed) : context_(context), chance_(seed) {
    node.on_part = [this](const DataNode::Part& part, Session& from) { work(part, from.shared_from_this()); };
    node.on_load = [this] { return trouble == "stall" ? "" : fmt::format("inflight={},queue=0", in_hand_); };
  }
  std::string trouble;  // stall: held back until it is over; swallow: never answered; slow: ten times as long

 private:
  void work(const DataNode::Part& part, std::shared_ptr<Session> from) {
    ++in_hand_;
    if (trouble == "swallow") return;
    after(std::exponential_distribution<>(1 / 0.008)(chance_) * (trouble == "slow" ? 10 : 1) + 0.002,
          [this, part, from] { finish(part, from); });
  }
  void finish(const DataNode::Part& part, const std::shared_ptr<Session>& from) {
    if (trouble == "stall") return after(0.1, [this, part, from] { finish(part, from); });
    --in_hand_;
    if (from->open())
      DataNode::answer(*from, part, "done", 1000 + part.shard, fmt::format("{}@{}", part.text, part.shard));
  }
  void after(double seconds, std::function<void()> then) {
    const auto timer = std::make_shared<boost::asio::steady_timer>(context_);
    timer->expires_after(std::chrono::microseconds(static_cast<long>(seconds * 1e6)));
    timer->async_wait([timer, then = std::move(then)](const auto& error) {
      if (!error) then();
    });
  }

  boost::asio::io_context& context_;
  std::mt19937 chance_;
  int in_hand_ = 0;
};

// Asks the router so often, each time over the connection that is free; counts what comes back.
class Asker {
 public:
  Asker(boost::asio::io_context& context, double rate) : context_(context), timer_(context), rate_(rate) {
    next();
  }
  int asked = 0, good = 0;
  std::vector<double> latencies;  // seconds, of the good ones, from the intended start

 private:
  struct Line : std::enable_shared_from_this<Line> {
    explicit Line(boost::asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    std::string request;
    std::chrono::steady_clock::time_point began = std::chrono::steady_clock::now();
    char answer[4096];
  };
  void next() {
    timer_.expires_after(std::chrono::microseconds(static_cast<long>(1e6 / rate_)));
    timer_.async_wait([this](const auto& error) {
      if (error) return;
      ask();
      next();
    });
  }
  void ask() {
    const auto line = std::make_shared<Line>(context_);
    const auto number = ++asked;
    const std::string body = fmt::format(
        R"({{"targets":[{{"partition":{},"share":0.5}},{{"partition":{},"share":0.5}}],"query":"q{}"}})",
        number % 8, (number + 3) % 8, number);
    line->request = fmt::format(
        "POST /look HTTP/1.1\r\nHost: h\r\nX-Txn: q{}\r\nX-Remaining: 2000m\r\nConnection: "
        "close\r\nContent-Length: {}\r\n\r\n{}",
        number, body.size(), body);
    line->socket.async_connect({boost::asio::ip::address_v4::loopback(), 18081}, [this,
                                                                                  line](const auto& error) {
      if (error) return;
      boost::asio::async_write(
          line->socket, boost::asio::buffer(line->request), [this, line](const auto& failed, auto) {
            if (failed) return;
            line->socket.async_read_some(
                boost::asio::buffer(line->answer), [this, line](const auto& broken, auto count) {
                  if (broken || !std::string_view(line->answer, count).starts_with("HTTP/1.1 200")) return;
                  ++good;
                  latencies.push_back(
                      std::chrono::duration<double>(std::chrono::steady_clock::now() - line->began).count());
                });
          });
    });
  }

  boost::asio::io_context& context_;
  boost::asio::steady_timer timer_;
  double rate_;
};

int run(int argc, char** argv) {
  constexpr unsigned short kDiscovery = 18500;
  constexpr unsigned short kNodes = 18601;  // and the ones after it
  constexpr int kMany = 4;
  double rate = 0, after = 8, length = 5, ends = 0;
  std::string trouble;
  CLI::App app("Toy data nodes and a toy discovery on loopback.");
  app.add_option("--ask", rate, "Queries a second to the router of the example; none by itself");
  app.add_option("--trouble", trouble, "What node s-2 does for a while: stall, swallow or slow");
  app.add_option("--after", after, "Seconds until then");
  app.add_option("--length", length, "Seconds it lasts");
  app.add_option("--ends", ends, "Seconds until all ends");
  CLI11_PARSE(app, argc, argv);

  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<std::string> entries;
  for (int i = 0; i < kMany; ++i) {
    nodes.push_back(std::make_unique<DataNode>(context, static_cast<unsigned short>(kNodes + i)));
    workers.push_back(std::make_unique<Worker>(context, *nodes.back(), static_cast<unsigned>(i)));
    entries.push_back(Discovery::entry(fmt::format("s-{}", i), nodes.back()->at(), i));
  }
  Discovery discovery(context, kDiscovery);
  discovery.whole = Discovery::list(1, true, entries);
  std::printf("%d toy data nodes and a toy discovery on 127.0.0.1:%d\n", kMany, kDiscovery);
  std::fflush(stdout);

  std::unique_ptr<Asker> asker;
  if (rate > 0) asker = std::make_unique<Asker>(context, rate);
  boost::asio::steady_timer begin(context), over(context), end(context);
  const auto seconds = [](double s) { return std::chrono::milliseconds(static_cast<long>(s * 1e3)); };
  if (!trouble.empty()) {
    begin.expires_after(seconds(after));
    begin.async_wait([&](const auto&) { workers[2]->trouble = trouble; });
    over.expires_after(seconds(after + length));
    over.async_wait([&](const auto&) { workers[2]->trouble.clear(); });
  }
  if (ends > 0) {
    end.expires_after(seconds(ends));
    end.async_wait([&](const auto&) { context.stop(); });
  }
  context.run();
  if (!asker) return 0;
  auto& took = asker->latencies;
  std::sort(took.begin(), took.end());
  const auto at = [&](double share) {
    return took.empty() ? 0
                        : took[static_cast<std::size_t>(share * static_cast<double>(took.size() - 1))] * 1e3;
  };
  std::printf("asked %d, answered %d, p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms\n", asker->asked, asker->good,
              at(0.5), at(0.99), at(0.999));
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "yoketurn_toy: can't listen at its ports 18500 and 18601 to 18604: %s\n",
                 error.what());
    return 1;
  }
}
