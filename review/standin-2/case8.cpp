// Case 8: a client sends many requests at once on one connection.
#include <random>

#include "settings.hpp"
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr int kRequests = 30;
constexpr long kRemainingMs = 3000;     // 60% of the class's 5 s
constexpr double kLateSeconds = 0.5;    // after its time, in which an answer only earns nothing
constexpr double kSlackSeconds = 0.05;  // of every time limit on sockets
constexpr double kToldSlackSeconds = 0.15;

struct Attempt {
  std::string id;
  double arrived, told;
};

}  // namespace

int main(int count, char** arguments) {
  Case the_case(count, arguments);
  auto& record = the_case.record;
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::mt19937 random(1);

  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<DataNode*> all;
  const char* zones[] = {"rennes", "brest", "vannes"};
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>("s-" + std::to_string(100 + i), zones[i % 3], i));
    all.push_back(nodes.back().get());
    nodes.back()->on_part = [&, i](const Part& part, const DataNode::Session& from) {
      const std::lock_guard lock(mutex);
      attempts.push_back({part.id, part.arrived, part.wait()});
      record.line("node %d: part %s arrived, d=%s", i, part.id.c_str(), part.list.at("d").c_str());
      const auto work = std::uniform_real_distribution<>(0.15, 0.2)(random);
      timers().at(now() + work, [part, from] {
        from->answer(part, "done", std::to_string(1000 + part.shard), value_of(part.text, part.shard));
      });
    };
  }
  Discovery discovery(all);
  ArmorCafe site;
  site.nodes = kNodes;
  Router router(the_case.root, {"n0", "rennes", site.text(), known_list(all), discovery.port, the_case.temporary});
  if (!router.wait_ready()) cannot_run("the router is not ready");

  // Quiet traffic first: connections are open, latencies are known.
  for (int i = 0; i < 40; ++i) {
    Client client(router.port);
    const auto id = "warm" + std::to_string(i);
    client.send(request("modif-commande", id, 4000, {(5 * i) % (2 * kNodes)}, id, id));
    if (client.read(now() + 5).status != 200) record.line("client: %s was not served", id.c_str());
  }

  struct Order {
    std::string id, bytes;
    double sent = 0;
    Answer answer;
  };
  std::vector<Order> orders(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    auto& order = orders[static_cast<std::size_t>(i)];
    order.id = "order" + std::to_string(i);
    order.bytes = request("modif-commande", order.id, kRemainingMs, {i % (2 * kNodes)}, order.id, order.id);
  }
  Client client(router.port);
  if (the_case.trouble) {
    for (auto& order : orders) {
      if (!client.send(order.bytes)) cannot_run("the router closed the connection");
      order.sent = now();
      record.line("client: %s sent, it waits %ld ms", order.id.c_str(), kRemainingMs);
    }
    for (auto& order : orders) order.answer = client.read(order.sent + 20);
  } else {
    for (auto& order : orders) {
      client.send(order.bytes);
      order.sent = now();
      record.line("client: %s sent, it waits %ld ms", order.id.c_str(), kRemainingMs);
      order.answer = client.read(order.sent + 20);
    }
  }
  for (const auto& order : orders)
    record.line("client: %s answered %d after %.3f s", order.id.c_str(), order.answer.status,
                order.answer.at - order.sent);
  sleep_for(0.5);
  router.kill(SIGKILL);

  const std::lock_guard lock(mutex);
  const auto time = static_cast<double>(kRemainingMs) / 1e3;
  int lost = 0, after_time = 0, told_more = 0;
  for (const auto& order : orders) {
    // A connection that the router ends in order is no break: the client sends the rest again elsewhere.
    if (order.answer.status == 0 && client.ended()) continue;
    if (order.answer.status == 0 || order.answer.at > order.sent + time + kLateSeconds + kSlackSeconds) {
      ++lost;
      record.line("BREAK: %s had its final answer (%d) %.3f s after it was sent", order.id.c_str(),
                  order.answer.status, order.answer.at - order.sent);
    }
    for (const auto& attempt : attempts) {
      if (!attempt.id.starts_with(order.id + ".")) continue;
      const auto left = order.sent + time - attempt.arrived;
      if (left < -kSlackSeconds) {
        ++after_time;
        record.line("BREAK: attempt %s began %.3f s after its client's time", attempt.id.c_str(), -left);
      }
      if (attempt.told > std::max(left, 0.0) + kToldSlackSeconds + kSlackSeconds) {
        ++told_more;
        record.line("BREAK: attempt %s told its node %.3f s, the client had %.3f s left", attempt.id.c_str(),
                    attempt.told, left);
      }
    }
  }
  char words[240];
  std::snprintf(words, sizeof words,
                "%d of %d requests had their final answer over 0.55 s after their time; %d attempts began after it; "
                "%d told their node more than was left",
                lost, kRequests, after_time, told_more);
  the_case.end(lost + after_time > 0, words);
}
