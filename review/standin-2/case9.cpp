// Case 9: connections to data nodes come up late; clients leave meanwhile.
#include <random>
#include <set>
#include <utility>

#include "settings.hpp"
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr int kOrders = 48;
constexpr double kLateSeconds = 0.8;    // at most 1.5 s, of a third of the connections
constexpr double kLeaveSeconds = 0.3;   // after the request
constexpr double kSlackSeconds = 0.05;  // of every time limit on sockets
constexpr double kAfterCloseSeconds = 0.1;

}  // namespace

int main(int count, char** arguments) {
  Case the_case(count, arguments);
  auto& record = the_case.record;
  std::mutex mutex;
  std::mt19937 random(1);
  std::vector<std::pair<std::string, double>> attempts;
  std::set<std::string> run;  // parts that have taken effect

  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<DataNode*> all;
  const char* zones[] = {"lannion", "perros"};
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>("s-" + std::to_string(100 + i), zones[i % 2], i));
    all.push_back(nodes.back().get());
    // Of three connections that a node accepts one is late; the nodes begin to count at different numbers.
    nodes.back()->handshake = [&, i](int number) {
      const auto late = the_case.trouble && (number + i) % 3 == 0;
      record.line("node %d: connection %d%s", i, number, late ? ", its handshake is late" : "");
      return late ? kLateSeconds : 0.002;
    };
    nodes.back()->on_part = [&, i](const Part& part, const DataNode::Session& from) {
      const std::lock_guard lock(mutex);
      attempts.emplace_back(part.id, part.arrived);
      record.line("node %d: part %s arrived, d=%s", i, part.id.c_str(), part.list.at("d").c_str());
      timers().at(now() + std::uniform_real_distribution<>(0.075, 0.1)(random), [&, part, from, i] {
        {
          const std::lock_guard inner(mutex);
          run.insert(part.id);
          record.line("node %d: part %s has run", i, part.id.c_str());
        }
        from->answer(part, "done", std::to_string(1000 + part.shard), value_of(part.text, part.shard));
      });
    };
  }
  Discovery discovery(all);
  Router router(the_case.root,
                {"n0", "lannion", tregor_lots(kNodes), known_list(all), discovery.port, the_case.temporary});
  if (!router.wait_ready()) cannot_run("the router is not ready");

  // Orders in a row, right after the router is ready: its connections are new.
  struct Order {
    std::string id;
    std::unique_ptr<Client> client;
    double sent = 0, left = 0;
    Answer answer;
  };
  std::vector<Order> orders(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    auto& order = orders[static_cast<std::size_t>(i)];
    order.id = "order" + std::to_string(i);
    order.client = std::make_unique<Client>(router.port);
    order.client->send(request("lot-reserve", order.id, 2400, {i % kNodes}, order.id));
    order.sent = now();
    sleep_for(0.002);
  }
  // Every other client whose request is still out leaves; the others stay.
  bool leaves = true;
  for (auto& order : orders) {
    sleep_until(order.sent + kLeaveSeconds);
    order.answer = order.client->read(now() + 0.001);
    if (order.answer.status != 0) {
      record.line("client: %s answered %d", order.id.c_str(), order.answer.status);
      continue;
    }
    if (std::exchange(leaves, !leaves)) {
      order.client->close();
      order.left = now();
      record.line("client: %s left", order.id.c_str());
    }
  }
  for (auto& order : orders) {
    if (order.answer.status != 0 || order.left > 0) continue;
    order.answer = order.client->read(order.sent + 3);
    record.line("client: %s answered %d", order.id.c_str(), order.answer.status);
  }
  sleep_for(0.5);
  router.kill(SIGKILL);

  const std::lock_guard lock(mutex);
  int left = 0, late = 0, ran = 0;
  double latest = 0;
  for (const auto& order : orders) {
    if (order.left == 0) continue;
    ++left;
    for (const auto& [id, at] : attempts) {
      if (!id.starts_with(order.id + ".") || at <= order.left + kAfterCloseSeconds + kSlackSeconds) continue;
      ++late;
      ran += run.contains(id);
      latest = std::max(latest, at - order.left);
      record.line("BREAK: attempt %s began %.3f s after its client had closed", id.c_str(), at - order.left);
    }
  }
  char words[240];
  std::snprintf(words, sizeof words,
                "%d clients left; %d attempts began over 0.15 s after that, the latest %.2f s, %d of them ran", left, late,
                latest, ran);
  the_case.end(late > 0, words);
}
