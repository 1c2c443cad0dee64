// Case 7: a data node hangs; clients whose requests it holds leave; the node goes on.
#include <random>
#include <set>

#include "settings.hpp"
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr int kHung = 4;
constexpr double kHangSeconds = 7.5;     // the site: 7.4 to 25 s, of up to 16% of the nodes
constexpr double kBetweenSeconds = 1.0 / 130;  // orders: a router gets up to 130 queries a second
constexpr double kWindowSeconds = 2;     // in which repeats are dropped
constexpr double kSlackSeconds = 0.05;   // of every time limit on sockets
constexpr double kAfterCloseSeconds = 0.1;

struct Attempt {
  std::string id;
  double arrived;
  std::string key;
};

}  // namespace

int main(int count, char** arguments) {
  Case the_case(count, arguments);
  auto& record = the_case.record;
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::map<std::string, std::vector<double>> effects;  // by key and shard: when a node let it take effect
  std::mt19937 random(1);

  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<DataNode*> all;
  const char* zones[] = {"rennes", "brest", "vannes"};
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>("s-" + std::to_string(100 + i), zones[i % 3], i));
    all.push_back(nodes.back().get());
    nodes.back()->on_part = [&, i](const Part& part, const DataNode::Session& from) {
      double work;
      {
        const std::lock_guard lock(mutex);
        const auto key = part.list.contains("k") ? part.list.at("k") : "";
        attempts.push_back({part.id, part.arrived, key});
        work = std::uniform_real_distribution<>(0.15, 0.2)(random);
        record.line("node %d: part %s arrived at %.4f d=%s", i, part.id.c_str(), record.since_start(part.arrived),
                    part.list.at("d").c_str());
      }
      // A part whose time is over is not begun; repeats of a key are dropped by every holder of the shard.
      timers().at(now() + work, [&, part, from, i] {
        if (now() > part.arrived + part.wait()) return;
        {
          const std::lock_guard lock(mutex);
          if (part.list.contains("k")) {
            auto& times = effects[part.list.at("k") + "/" + std::to_string(part.shard)];
            if (times.empty() || now() > times.back() + kWindowSeconds) {
              times.push_back(now());
              record.line("node %d: part %s takes effect (key %s, shard %d), for the %zu. time", i, part.id.c_str(),
                          part.list.at("k").c_str(), part.shard, times.size());
            }
          }
        }
        from->answer(part, "done", std::to_string(1000 + part.shard), value_of(part.text, part.shard));
      });
    };
  }
  Discovery discovery(all);
  ArmorCafe site;
  site.nodes = kNodes;
  site.window_ms = static_cast<long>(kWindowSeconds * 1e3);
  Router router(the_case.root, {"n0", "rennes", site.text(), known_list(all), discovery.port, the_case.temporary});
  if (!router.wait_ready()) cannot_run("the router is not ready");

  // Quiet traffic first: connections are open, latencies are known.
  int number = 0;
  for (int i = 0; i < 60; ++i) {
    Client client(router.port);
    const auto id = "warm" + std::to_string(++number);
    client.send(request("modif-commande", id, 4000, {(5 * i) % (2 * kNodes)}, "warm", id));
    client.read(now() + 5);
  }
  sleep_for(0.5);

  const auto hang_at = now();
  if (the_case.trouble) {
    nodes[kHung]->hangs = true;
    record.line("node %d hangs", kHung);
  }
  sleep_until(hang_at + 3);

  // A burst of orders for the shards of that node; each request within the 64 KiB that a body may hold.
  struct Order {
    std::string id, key;
    int shard = 0;
    std::unique_ptr<Client> client;
    Answer answer;
    double left = 0;
  };
  std::vector<Order> orders(24);
  const std::string text(60'000, 'x');
  const auto sent_at = now();
  for (std::size_t i = 0; i < orders.size(); ++i) {
    auto& order = orders[i];
    order.id = "order" + std::to_string(i);
    order.key = "key" + std::to_string(i);
    order.shard = kHung;  // held by the nodes of cells 4 to 7
    order.client = std::make_unique<Client>(router.port);
    order.client->send(request("modif-commande", order.id, 5000, {order.shard}, order.key + text, order.key));
    record.line("client: %s sent", order.id.c_str());
    sleep_for(kBetweenSeconds);
  }
  sleep_until(sent_at + 0.4);
  for (auto& order : orders) {
    order.answer = order.client->read(now() + 0.002);
    if (order.answer.status != 0) record.line("client: %s answered %d", order.id.c_str(), order.answer.status);
  }
  int left = 0;
  for (auto& order : orders) {
    if (order.answer.status != 0) continue;
    order.client->close();
    order.left = now();
    ++left;
    record.line("client: %s left", order.id.c_str());
  }
  // They ask again, as clients may within the window.
  sleep_until(sent_at + 0.6);
  std::vector<std::unique_ptr<Client>> again;
  for (auto& order : orders) {
    again.push_back(std::make_unique<Client>(router.port));
    if (order.left > 0)
      again.back()->send(request("modif-commande", "again-" + order.id, 3000, {order.shard}, order.key + text, order.key));
  }
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const auto& order = orders[i];
    if (order.left == 0) continue;
    const auto answer = again[i]->read(sent_at + 3.8);
    record.line("client: %s asked again, answered %d", order.id.c_str(), answer.status);
  }
  sleep_until(hang_at + kHangSeconds);
  if (the_case.trouble) {
    nodes[kHung]->hangs = false;
    record.line("node %d goes on", kHung);
  }
  sleep_for(2);
  router.kill(SIGKILL);

  const std::lock_guard lock(mutex);
  int late = 0;
  double latest = 0;
  std::set<std::string> late_keys;
  for (const auto& attempt : attempts)
    for (const auto& order : orders)
      if (attempt.id.starts_with(order.id + ".") && order.left > 0 &&
          attempt.arrived > order.left + kAfterCloseSeconds + kSlackSeconds) {
        ++late;
        late_keys.insert(attempt.key + "/" + std::to_string(order.shard));
        latest = std::max(latest, attempt.arrived - order.left);
        record.line("BREAK: attempt %s began %.3f s after its client had closed", attempt.id.c_str(),
                    attempt.arrived - order.left);
      }
  int twice = 0;
  for (const auto& [key, times] : effects) twice += times.size() > 1 && late_keys.contains(key);
  char words[200];
  std::snprintf(words, sizeof words,
                "%d clients left; %d attempts began more than 0.15 s after that, the latest %.2f s; %d of these orders took effect twice",
                left, late, latest, twice);
  the_case.end(late > 0, words);
}
