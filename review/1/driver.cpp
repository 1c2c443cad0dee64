// A keyed part runs at one data node, whose connection is reset under it. Its repeat goes to a node that has just fallen silent,
// for 4.5 s, and to which the socket is nearly full. The repeat must not reach that node after the window for repeats.
#include "../standin/standin.hpp"

using namespace standin;

namespace {

// On the stand-ins' own sockets: segments as on an Ethernet, and next to nothing that a cut-off machine's kernel still takes in.
constexpr int kMaxSegment = 1460;
constexpr int kReceiveBuffer = 8 * 1024;
constexpr std::size_t kText = 63 * 1024; // of a query; a body holds at most 64 KiB
constexpr double kWindowSeconds = 3;     // of the keyed class
constexpr double kSlackSeconds = 0.05;
constexpr double kSilentSeconds = 4.5;
constexpr double kUsualSeconds = 0.15;   // of a part
constexpr int kReset = 0, kSilent = 1;
// So many parts has the silent node got before, in one round each until the rule is broken: with how many of them the socket
// fills up in the midst of the next frame depends on the kernel.
constexpr int kFillers[] = {3, 3, 4, 3, 3, 4, 3, 3, 4};
bool drains(int node) { return node == 2 || node == 3; }

void replace(std::string& text, const std::string& from, const std::string& to) { text.replace(text.find(from), from.size(), to); }

// armor-cafe's settings, with another effect for two classes and a shorter window: `recherche` is keyed, `modif-commande` must not be
// repeated.
std::string settings() {
  std::string text = kArmorCafe;
  replace(text, R"("name": "recherche", "semantics": "safe")", R"("name": "recherche", "semantics": "keyed")");
  replace(text, R"("late_worth": 0.3, "window_us": 5000000)", R"("late_worth": 0.3, "window_us": 3000000)");
  replace(text, R"("name": "modif-commande", "semantics": "keyed")", R"("name": "modif-commande", "semantics": "unsafe")");
  return text;
}

int run(const Arguments& given) {
  Record record(given.record.c_str());
  std::mutex mutex;
  std::map<std::string, double> first_run, last_effect;  // by key and shard
  std::map<std::string, int> effects;
  std::map<NodeSession*, std::uint64_t> handed_over;  // by connection of the silent node, when it came back
  int late = 0;
  std::atomic<bool> trouble = false;
  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<std::string> entries;
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>(kMaxSegment, kReceiveBuffer));
    nodes.back()->on_cancel = [&record, i](const std::string& id) { record.line("s-%d reads C %s", i, id.c_str()); };
    nodes.back()->on_part = [&, i](const Part& part, std::shared_ptr<NodeSession> session) {
      const auto at = part.list.find(",k=");
      const auto key = at == std::string::npos ? "" : part.list.substr(at + 3) + "." + std::to_string(part.shard);
      std::string what = "runs";
      if (!key.empty()) {
        const std::lock_guard lock(mutex);
        if (const auto first = first_run.find(key); first == first_run.end()) {
          first_run[key] = part.read_at;
        } else if (part.read_at > first->second + kWindowSeconds + kSlackSeconds) {
          // Counted only if the router's process itself still had a part of the frame after the window.
          const auto before = handed_over.find(session.get());
          const bool by_router = before != handed_over.end() && part.frame_end > before->second;
          late += by_router;
          what = by_router ? "AFTER THE WINDOW, runs" : "after the window, but out of the router before, runs";
          if (before != handed_over.end())
            record.line("the frame of %s ends at byte %llu of its connection; when s-%d came back, the router had written %llu",
                        part.id.c_str(), static_cast<unsigned long long>(part.frame_end), i,
                        static_cast<unsigned long long>(before->second));
        }
        // Any holder drops a repeat within the window, as it knows the key.
        if (const auto last = last_effect.find(key);
            last != last_effect.end() && part.read_at <= last->second + kWindowSeconds) {
          what = "drops the repeat";
        } else {
          last_effect[key] = part.read_at;
          what += ", effect " + std::to_string(++effects[key]) + " of " + key;
        }
      }
      if (part.text.size() > 1000 || what != "runs")
        record.line("s-%d %s: %s %d %s, %zu bytes", i, what.c_str(), part.id.c_str(), part.shard, part.list.c_str(), part.text.size());
      if (drains(i)) return void(session->answer(part.id, "full", 0, ""));
      if (trouble && i == kReset && !key.empty()) {
        record.line("s-%d: the connection is reset under %s, its answer is lost", i, part.id.c_str());
        return session->reset();
      }
      std::thread([&, i, part, session] {
        sleep_for(kUsualSeconds);
        if (part.text.size() > 1000) record.line("s-%d answers %s done", i, part.id.c_str());
        session->answer(part.id, "done", 1000 + part.shard, part.id);
      }).detach();
    };
    nodes.back()->start();
    entries.push_back(entry("s-" + std::to_string(i), nodes.back()->address(), i, drains(i) ? "draining" : "ready", zone_of(i)));
  }
  const auto list = list_of(1, true, entries);
  Agent agent;
  agent.serve = [&](int fd, const std::string&) {
    if (write_all(fd, kWatchHead) && write_all(fd, chunk(list + "\n"))) heartbeats(fd);
  };
  agent.start();
  std::atomic<int> served = 0, other = 0, none = 0;
  const auto ask = [&](std::uint16_t port, const std::string& path, const std::string& txn, int remaining_ms, int parts, int shard, std::size_t size) {
    const bool keyed = path == "recherche";
    const int fd = connect_to(port);
    std::string buffer;
    if (size > 1000) record.line("client sends %s to /%s, %d parts from shard %d on, %d ms", txn.c_str(), path.c_str(), parts, shard, remaining_ms);
    write_all(fd, post(path, txn, remaining_ms, query_body(shard, parts, std::string(size, 'q')),
                       keyed ? "Idempotency-Key: key-" + txn + "\r\n" : ""));
    const auto answer = read_answer(fd, buffer, now() + remaining_ms / 1e3 + 1);
    if (size > 1000) record.line("client got %d to %s", answer.status, txn.c_str());
    answer.status == 200 ? ++served : answer.status ? ++other : ++none;
    ::close(fd);
  };
  bool alive = true;
  int rounds = 0;
  for (const int fillers : kFillers) {
    {
      const std::lock_guard lock(mutex);
      if (late > 0) break;
    }
    // A new router each time: one that has seen the silence keeps away from that node for a while.
    RouterProcess router(given.root, given.run, given.folder, "n" + std::to_string(rounds));
    router.configure(agent.port(), list, settings());
    router.start();
    if (!router.ready(20)) return record.line("the router is not ready"), 2;
    // Ordinary traffic, from which the router learns how long its nodes take.
    std::vector<std::thread> warm;
    for (int c = 0; c < 6; ++c)
      warm.emplace_back([&, c] {
        for (int i = 0; i < 25; ++i) ask(router.port(), "modif-commande", "w" + std::to_string(rounds) + "x" + std::to_string(c) + "x" + std::to_string(i), 5000, 1, (5 * i + 4 * c) % kShards, 8);
      });
    for (auto& client : warm) client.join();
    record.line("the router has served %d queries", served.load());
    const auto name = [&](const char* kind) { return kind + std::to_string(rounds); };
    const auto began = now();
    trouble = given.trouble;
    if (given.trouble) {
      record.line("s-%d falls silent", kSilent);
      nodes[kSilent]->silent = true;
      sleep_for(0.01);
    }
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * fillers; ++i) {  // at s-0 and s-1 by turns: the other holders of shard 0 drain
      clients.emplace_back([&, i] { ask(router.port(), "modif-commande", name("before") + "x" + std::to_string(i), 5000, 1, 0, kText); });
      sleep_for(0.002);
    }
    clients.emplace_back([&] { ask(router.port(), "recherche", name("keyed"), 7000, 4, 0, kText); });
    sleep_until(began + kSilentSeconds);
    if (given.trouble) {
      const std::lock_guard lock(mutex);
      for (const auto& session : nodes[kSilent]->sessions()) handed_over[session.get()] = session->handed_over();
      record.line("s-%d is back", kSilent);
    }
    nodes[kSilent]->silent = false;
    trouble = false;
    for (auto& client : clients) client.join();
    sleep_for(0.5);
    alive = router.running() && alive;
    ++rounds;
  }
  const std::lock_guard lock(mutex);
  int twice = 0;
  for (const auto& [key, count] : effects) twice += count > 1;
  record.line("%d rounds: keyed parts after their window %d, keys with two effects %d; served %d, other %d, none %d; router %s", rounds, late,
              twice, served.load(), other.load(), none.load(), alive ? "runs" : "has ended");
  std::printf("%d rounds: keyed parts after their window %d, keys with two effects %d; served %d, other %d, none %d\n", rounds, late, twice,
              served.load(), other.load(), none.load());
  if (!alive || served == 0) return 2;
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  int result = 2;
  try {
    result = run(arguments(argc, argv));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(nullptr);
  ::_exit(result);
}
