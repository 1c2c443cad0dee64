// Some hundreds of clients stop in the middle of a request and stay. The platform kills a query router that is over its
// memory_mb, as the deployment page says; the router must stay within it.
#include "../standin/standin.hpp"

#include <sys/resource.h>

using namespace standin;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kSockets = 1024;
constexpr int kBadClients = 500;
constexpr std::size_t kSentOfBody = 65000;  // of the 64 KiB that a body may hold
constexpr double kTroubleAt = 3;
constexpr double kLengthSeconds = 12;

double resident_mb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  long size = 0, resident = 0;
  if (!(file >> size >> resident)) return 0;
  return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

int run(const Arguments& given) {
  Record record(given.record.c_str());
  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<std::string> entries;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>());
    nodes.back()->on_part = [](const Part& part, std::shared_ptr<NodeSession> session) {
      std::thread([part, session] {
        sleep_for(0.03);
        session->answer(part.id, "done", 1000 + part.shard, part.id + "@" + part.text);
      }).detach();
    };
    nodes.back()->start();
    entries.push_back(entry("s-" + std::to_string(i), nodes.back()->address(), i, "ready", zone_of(i)));
  }
  const auto list = list_of(1, true, entries);
  Agent agent;
  agent.serve = [&](int fd, const std::string&) {
    if (write_all(fd, kWatchHead) && write_all(fd, chunk(list + "\n"))) heartbeats(fd);
  };
  agent.start();
  RouterProcess router(given.root, given.run, given.folder, "n0");
  router.configure(agent.port(), list, kArmorCafe, kSockets, kMemoryMb);
  router.start();
  if (!router.ready(20)) return record.line("the router is not ready"), 2;
  record.line("the router is ready, %.1f MB resident; memory_mb %d, sockets %d", resident_mb(router.pid()), kMemoryMb, kSockets);

  std::atomic<bool> over = false, done = false;
  double peak = 0;
  std::thread platform([&] {
    while (!done) {
      const auto resident = resident_mb(router.pid());
      peak = std::max(peak, resident);
      if (resident > kMemoryMb) {
        record.line("platform: %.1f MB resident, memory_mb is %d: killed", resident, kMemoryMb);
        over = true;
        router.signal(SIGKILL);
        return;
      }
      sleep_for(0.002);
    }
  });
  std::atomic<int> served = 0, other = 0, none = 0;
  const auto began = now();
  std::thread usual([&] {
    int client = -1;
    std::string buffer;
    for (int i = 0; now() < began + kLengthSeconds; ++i) {
      sleep_until(began + i * 0.1);
      if (client < 0) client = connect_to(router.port());
      char txn[40];
      std::snprintf(txn, sizeof txn, "9b1f03aa5c7e%04x", i);
      const bool sent = client >= 0 && write_all(client, post("recherche", txn, 5000, query_body(i % kShards, 4, "c41e77d0")));
      const auto answer = sent ? read_answer(client, buffer, now() + 6) : Answer{};
      record.line("usual client got %d to %s", answer.status, txn);
      answer.status == 200 ? ++served : answer.status ? ++other : ++none;
      if (answer.status == 200) continue;
      if (client >= 0) ::close(client);
      client = -1;
      buffer.clear();
      if (over) return;
    }
  });
  if (given.trouble) {
    sleep_until(began + kTroubleAt);
    const std::string request =
        "POST /recherche HTTP/1.1\r\nHost: service.internal\r\nX-Txn: 77aa03aa5c7e0000\r\nX-Remaining: 4000m\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        chunk("{\"query\":\"" + std::string(kSentOfBody - 10, 'x'));
    std::vector<int> bad;
    for (int i = 0; i < kBadClients && !over; ++i) {
      const int fd = connect_to(router.port());
      if (fd < 0) break;
      write_all(fd, request);
      bad.push_back(fd);
    }
    record.line("%zu bad clients have connected and sent %zu bytes of a body each, without its end", bad.size(), kSentOfBody);
    int ended = 0;
    for (const int fd : bad) {
      std::string got;
      while (read_more(fd, got, std::max(0.0, began + kTroubleAt + 4 - now())) > 0) {
      }
      ended += !got.empty() || peer_gone(fd);
      ::close(fd);
    }
    record.line("%d of them have got an error or a close", ended);
  }
  usual.join();
  done = true;
  platform.join();
  const bool alive = !over && router.running();
  record.line("at most %.1f MB resident; usual clients: served %d, other %d, none %d; router %s", peak, served.load(), other.load(),
              none.load(), over ? "was killed for its memory" : alive ? "runs" : "has ended");
  std::printf("at most %.1f MB resident of %d; usual clients: served %d, other %d, none %d; router %s\n", peak, kMemoryMb,
              served.load(), other.load(), none.load(), over ? "was killed for its memory" : alive ? "runs" : "has ended");
  if (over) return 1;
  return alive && served > 0 ? 0 : 2;
}

}  // namespace

int main(int argc, char** argv) {
  int result = 2;
  try {
    rlimit files{};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    result = run(arguments(argc, argv));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  ::_exit(result);
}
