// Case 10: hundreds of bad clients stop in the middle of a request, at the least memory limit.
#include <random>

#include "settings.hpp"
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr int kBadClients = 480;
constexpr std::size_t kBodyBytes = 65'000;  // within the 64 KiB that a body may hold
constexpr long kMemoryMb = 32;

long kilobytes(int pid, const std::string& field) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(field + ":")) return std::atol(line.c_str() + field.size() + 1);
  return 0;
}

}  // namespace

int main(int count, char** arguments) {
  Case the_case(count, arguments);
  auto& record = the_case.record;
  std::mutex mutex;
  std::mt19937 random(1);

  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<DataNode*> all;
  const char* zones[] = {"rennes", "brest", "vannes"};
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>("s-" + std::to_string(100 + i), zones[i % 3], i));
    all.push_back(nodes.back().get());
    nodes.back()->on_part = [&](const Part& part, const DataNode::Session& from) {
      const std::lock_guard lock(mutex);
      timers().at(now() + std::uniform_real_distribution<>(0.15, 0.2)(random), [part, from] {
        from->answer(part, "done", std::to_string(1000 + part.shard), value_of(part.text, part.shard));
      });
    };
  }
  Discovery discovery(all);
  ArmorCafe site;
  site.nodes = kNodes;
  RouterOptions options{"n0", "rennes", site.text(), known_list(all), discovery.port, the_case.temporary};
  options.memory_mb = kMemoryMb;
  Router router(the_case.root, options);
  if (!router.wait_ready()) cannot_run("the router is not ready");

  // The usual clients: six queries a second.
  std::atomic<bool> over{false};
  std::atomic<int> served{0}, lost{0}, others{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 6; ++c)
    clients.emplace_back([&, c] {
      std::mt19937 chance(static_cast<unsigned>(100 + c));
      for (int i = 0; !over; ++i) {
        const auto id = "c" + std::to_string(c) + "-" + std::to_string(i);
        Client client(router.port);
        const auto first = static_cast<int>(chance() % (2 * kNodes));
        client.send(request("recherche", id, 6000,
                            {first, (first + 1) % (2 * kNodes), (first + 2) % (2 * kNodes), (first + 3) % (2 * kNodes)}, id));
        const auto answer = client.read(now() + 7);
        record.line("client: %s answered %d", id.c_str(), answer.status);
        ++(answer.status == 200 ? served : answer.status == 0 ? lost : others);
        sleep_for(std::uniform_real_distribution<>(0.5, 1.1)(chance));
      }
    });

  // The platform: over the limit the router is killed. Only memory of its own counts here, not its program file.
  std::atomic<long> peak{0};
  std::atomic<bool> killed{false};
  std::thread platform([&] {
    while (!over) {
      const auto used = kilobytes(router.pid(), "RssAnon");
      peak = std::max(peak.load(), used);
      if (used > kMemoryMb * 1024 && !killed) {
        record.line("platform: the router holds %ld kB, over its %ld MB: killed", used, kMemoryMb);
        killed = true;
        ::kill(router.pid(), SIGKILL);
      }
      sleep_for(0.005);
    }
  });

  sleep_for(4);
  std::vector<int> bad;
  if (the_case.trouble) {
    const auto body = std::string(kBodyBytes, 'q');
    const auto whole = request("recherche", "bad", 6000, {1, 2, 3, 4}, body.substr(0, kBodyBytes - 200));
    for (int i = 0; i < kBadClients; ++i)
      if (const int fd = connect_to(router.port); fd >= 0) bad.push_back(fd);
    record.line("%zu bad clients have connected", bad.size());
    for (const auto fd : bad) {
      ::fcntl(fd, F_SETFL, O_NONBLOCK);
      [[maybe_unused]] const auto sent = ::send(fd, whole.data(), whole.size() - 20, MSG_NOSIGNAL);
    }
    // What didn't fit at once.
    record.line("each has sent most of a request of %zu bytes and stays", whole.size());
  }
  sleep_for(6);
  int told = 0;
  for (const auto fd : bad) {
    char bytes[64];
    const auto got = ::recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    told += got >= 0 || errno == ECONNRESET;
  }
  record.line("%d of %zu bad clients got an error or a close", told, bad.size());
  over = true;
  platform.join();
  for (auto& client : clients) client.join();
  if (!killed) router.kill(SIGKILL);
  char words[240];
  std::snprintf(words, sizeof words, "the router held up to %ld kB of its own, the limit is %ld kB%s; usual clients: %d served, %d not, %d without answer",
                peak.load(), kMemoryMb * 1024, killed ? ": it was killed" : "", served.load(), others.load(), lost.load());
  the_case.end(killed, words);
}
