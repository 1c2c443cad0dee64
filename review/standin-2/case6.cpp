// Case 6: some answers of data nodes are cut off in their line.
#include <random>
#include <set>

#include "settings.hpp"
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int kNodes = 12;
constexpr double kSpoiltShare = 0.05;
constexpr double kSeconds = 60;
constexpr int kClients = 36;

std::string hex(std::mt19937_64& random, std::size_t digits) {
  std::string text;
  while (text.size() < digits) {
    char some[17];
    std::snprintf(some, sizeof some, "%016llx", static_cast<unsigned long long>(random()));
    text += some;
  }
  return text.substr(0, digits);
}

}  // namespace

int main(int count, char** arguments) {
  Case the_case(count, arguments);
  auto& record = the_case.record;
  std::mutex mutex;
  std::mt19937_64 random(std::strtoull(Case::environment("SEED", "1").c_str(), nullptr, 10));
  std::map<std::string, std::set<std::string>> made;  // by part: the values that nodes made for it
  std::map<std::string, std::string> made_for;        // by value: the part
  int spoilt = 0, answered = 0;

  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<DataNode*> all;
  std::vector<std::unique_ptr<std::atomic<int>>> in_flight;
  const char* zones[] = {"san-jose", "heredia", "cartago"};
  for (int i = 0; i < kNodes; ++i) {
    nodes.push_back(std::make_unique<DataNode>("s-" + std::to_string(100 + i), zones[i % 3], i));
    all.push_back(nodes.back().get());
    in_flight.push_back(std::make_unique<std::atomic<int>>(0));
    nodes.back()->on_part = [&, i](const Part& part, const DataNode::Session& from) {
      ++*in_flight[static_cast<std::size_t>(i)];
      double work;
      {
        const std::lock_guard lock(mutex);
        work = std::uniform_real_distribution<>(0.016, 0.021)(random);
      }
      timers().at(now() + work, [&, part, from, i] {
        std::string value, line, report;
        std::size_t kept = 0;
        {
          const std::lock_guard lock(mutex);
          value = hex(random, 16 + random() % 81);
          made[part.id].insert(value);
          made_for[value] = part.id;
          report = "inflight=" + std::to_string(in_flight[static_cast<std::size_t>(i)]->fetch_sub(1));
          line = part.id + " done " + std::to_string(1'000'000'000 + random() % 1'000'000'000) + " ";
          ++answered;
          if (the_case.trouble && std::uniform_real_distribution<>(0, 1)(random) < kSpoiltShare) {
            ++spoilt;
            kept = 1 + random() % report.size();
          }
        }
        if (kept == 0) return from->frame('R', line + report + "\n" + value);
        // The length says the whole answer, but it breaks off in its line, which has no end then.
        const auto length = 1 + line.size() + report.size() + 1 + value.size();
        std::string bytes;
        for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>((length >> shift) & 0xff);
        from->raw(bytes + "R" + line + report.substr(0, kept));
      });
    };
  }
  Discovery discovery(all);
  Router router(the_case.root, {"n0", "san-jose", historial_central(kNodes), known_list(all), discovery.port,
                                the_case.temporary});
  if (!router.wait_ready()) cannot_run("the router is not ready");

  std::atomic<int> asked{0}, served{0}, failed{0}, wrong{0};
  const auto until = now() + kSeconds;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c)
    clients.emplace_back([&, c] {
      std::mt19937_64 chance(static_cast<std::uint64_t>(1000 + c));
      auto client = std::make_unique<Client>(router.port);
      while (now() < until) {
        sleep_for(std::uniform_real_distribution<>(0.15, 0.35)(chance));
        const auto id = hex(chance, 16);
        std::vector<int> shards;
        const auto first = static_cast<int>(chance() % kNodes);
        const auto parts = 4 + static_cast<int>(chance() % 4);
        for (int k = 0; k < parts; ++k) shards.push_back((first + k) % kNodes);
        ++asked;
        if (!client->connected() || !client->send(request("consulta-cliente", id, 750, shards, hex(chance, 8)))) {
          client = std::make_unique<Client>(router.port);
          continue;
        }
        const auto answer = client->read(now() + 2);
        if (answer.status == 0) client = std::make_unique<Client>(router.port);
        if (answer.status != 200) {
          ++failed;
          continue;
        }
        ++served;
        for (std::size_t at = 0; (at = answer.body.find("{\"partition\":", at)) != std::string::npos;) {
          const auto shard = std::atoi(answer.body.c_str() + at + 13);
          const auto begin = answer.body.find("\"value\":\"", at) + 9;
          const auto end = answer.body.find('"', begin);
          const auto value = answer.body.substr(begin, end - begin);
          at = end;
          const auto part = id + "." + std::to_string(shard);
          const std::lock_guard lock(mutex);
          if (made[part].contains(value)) continue;
          ++wrong;
          record.line("BREAK: the answer to %s has for shard %d the value '%s'; it was made for %s", id.c_str(), shard,
                      value.c_str(), made_for.contains(value) ? made_for[value].c_str() : "no part (or is a piece)");
          for (const auto& own : made[part]) record.line("  made for %s: '%s'", part.c_str(), own.c_str());
        }
      }
    });
  for (auto& client : clients) client.join();
  if (router.ended()) record.line("the router has ended, status %d", router.status);
  router.kill(SIGKILL);
  const std::lock_guard lock(mutex);
  char words[240];
  std::snprintf(words, sizeof words,
                "%d values that no node made for their request were served; %d of %d answers were cut off; %d queries: "
                "%d served, %d not",
                wrong.load(), spoilt, answered, asked.load(), served.load(), failed.load());
  record.line("%s", words);
  the_case.end(wrong > 0, words);
}
