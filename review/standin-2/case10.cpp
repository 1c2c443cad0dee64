// Case 10: discovery becomes slow; data nodes are taken off its list.
#include <random>

#include "settings.hpp"
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr int kRemoved[] = {0, 4, 8};    // a quarter of them
constexpr double kSlowSeconds = 3.5;     // from a call to the first byte of its answer
constexpr double kToldSeconds = 6;       // after discovery had the change
constexpr double kGraceSeconds = 1;      // of the site
constexpr double kSlackSeconds = 0.05;   // of every time limit on sockets
constexpr double kWatchedSeconds = 20;   // after the change

}  // namespace

int main(int count, char** arguments) {
  Case the_case(count, arguments);
  auto& record = the_case.record;
  std::mutex mutex;
  std::vector<std::pair<std::string, double>> attempts;  // at the removed nodes
  std::mt19937 random(1);
  std::atomic<bool> removed{false};

  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<DataNode*> all;
  const char* zones[] = {"rennes", "brest", "vannes"};
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>("s-" + std::to_string(100 + i), zones[i % 3], i));
    all.push_back(nodes.back().get());
    nodes.back()->on_part = [&, i](const Part& part, const DataNode::Session& from) {
      const std::lock_guard lock(mutex);
      if (std::find(std::begin(kRemoved), std::end(kRemoved), i) != std::end(kRemoved)) {
        attempts.emplace_back(part.id, part.arrived);
        record.line("node %d%s: part %s arrived", i, removed ? " (removed)" : "", part.id.c_str());
      }
      const auto work = std::uniform_real_distribution<>(0.15, 0.2)(random);
      timers().at(now() + work, [part, from] {
        from->answer(part, "done", std::to_string(1000 + part.shard), value_of(part.text, part.shard));
      });
    };
  }
  Discovery discovery(all);
  discovery.on_event = [&](const std::string& what) { record.line("discovery: %s", what.c_str()); };
  ArmorCafe site;
  site.nodes = kNodes;
  Router router(the_case.root, {"n0", "rennes", site.text(), known_list(all), discovery.port, the_case.temporary});
  if (!router.wait_ready()) cannot_run("the router is not ready");

  // Clients: six queries a second, the router's share of the site's 17.
  std::atomic<bool> over{false};
  std::atomic<int> served{0}, others{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c)
    clients.emplace_back([&, c] {
      std::mt19937 chance(static_cast<unsigned>(100 + c));
      for (int i = 0; !over; ++i) {
        const auto id = "c" + std::to_string(c) + "-" + std::to_string(i);
        std::vector<int> shards;
        const auto first = static_cast<int>(chance() % (2 * kNodes));
        for (int k = 0; k < 4; ++k) shards.push_back((first + k) % (2 * kNodes));
        Client client(router.port);
        client.send(request("recherche", id, 6000, shards, id));
        const auto answer = client.read(now() + 7);
        ++(answer.status == 200 ? served : others);
        sleep_for(std::uniform_real_distribution<>(0.5, 1.1)(chance));
      }
    });

  sleep_for(4);
  if (the_case.trouble) {
    discovery.first_answer_delay = kSlowSeconds;
    record.line("discovery answers calls after %.1f s from now on", kSlowSeconds);
  }
  discovery.end_watches();  // with the disruption and without it
  record.line("discovery ended its watches");
  sleep_for(2);
  for (const auto node : kRemoved) {
    nodes[static_cast<std::size_t>(node)]->state = "gone";
    discovery.change(nodes[static_cast<std::size_t>(node)].get());
    record.line("discovery has the change: node %d is gone; it still answers", node);
  }
  removed = true;
  const auto changed = now();
  sleep_until(changed + kWatchedSeconds);
  over = true;
  for (auto& client : clients) client.join();
  router.kill(SIGKILL);

  const std::lock_guard lock(mutex);
  int late = 0;
  double latest = 0;
  for (const auto& [id, at] : attempts)
    if (at > changed + kToldSeconds + kGraceSeconds + kSlackSeconds) {
      ++late;
      latest = std::max(latest, at - changed);
      record.line("BREAK: part %s was sent to a removed node %.2f s after discovery had the change", id.c_str(),
                  at - changed);
    }
  char words[240];
  std::snprintf(words, sizeof words,
                "%d parts were sent to removed nodes over 7.05 s after discovery had the change, the last after "
                "%.1f s; %d queries served, %d not",
                late, latest, served.load(), others.load());
  the_case.end(late > 0, words);
}
