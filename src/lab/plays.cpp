#include "lab/plays.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <exception>
#include <fstream>
#include <map>
#include <mutex>
#include <thread>

namespace yoketurn::lab {

namespace {

namespace json = boost::json;

// A last line that was broken off is passed over: its play is done again.
std::map<std::string, Figures> kept(const std::string& path) {
  std::map<std::string, Figures> result;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    boost::system::error_code error;
    const auto value = json::parse(line, error);
    if (error || !value.is_object()) continue;
    const auto* key = value.as_object().if_contains("key");
    const auto* of = value.as_object().if_contains("figures");
    if (key == nullptr || of == nullptr || !of->is_object()) continue;
    Figures figures;
    for (const auto& [name, number] : of->as_object())
      figures.emplace_back(name, kept_digits(number.to_number<double>()));
    result[std::string(key->as_string())] = std::move(figures);
  }
  return result;
}

void show(std::size_t done, std::size_t of, double seconds) {
  const auto left = done > 0 ? seconds / static_cast<double>(done) * static_cast<double>(of - done) : 0;
  const auto filled = of > 0 ? 30 * done / of : 30;
  fmt::print(stderr, "\r[{:#<{}}{:.<{}}] {}/{} {:.0f} s left ", "", filled, "", 30 - filled, done, of, left);
  if (done == of) fmt::print(stderr, "\n");
}

}  // namespace

std::string to_json(const std::string& key, const Experiment& experiment, const Figures& figures) {
  json::object settings, numbers;
  for (const auto& one : experiment.settings) settings[one.path] = one.value;
  for (const auto& [name, value] : figures) numbers[name] = value;
  return json::serialize(json::object{{"key", key},
                                      {"day", experiment.name},
                                      {"settings", settings},
                                      {"from", experiment.from},
                                      {"to", experiment.to},
                                      {"figures", numbers}});
}

Plays::Plays(std::string keep, int threads, bool quiet)
    : keep_(std::move(keep)),
      threads_(threads > 0 ? threads : std::max(1, static_cast<int>(std::thread::hardware_concurrency()))),
      quiet_(quiet || ::isatty(2) == 0) {}

std::vector<Figures> Plays::all(const std::vector<Experiment>& experiments) {
  const auto before = keep_.empty() ? std::map<std::string, Figures>{} : kept(keep_);
  std::ofstream file;
  if (!keep_.empty()) {
    file.open(keep_, std::ios::app);
    if (!file) throw std::runtime_error(keep_ + " can't be written");
    if (!before.empty()) file << '\n';  // behind a line that was broken off
  }
  std::vector<Figures> results(experiments.size());
  std::vector<std::size_t> todo;
  for (std::size_t i = 0; i < experiments.size(); ++i) {
    const auto known = before.find(experiments[i].key());
    if (known != before.end())
      results[i] = known->second;
    else
      todo.push_back(i);
  }
  std::atomic<std::size_t> next = 0;
  std::size_t done = 0;
  std::mutex mutex;
  std::exception_ptr failed;
  const auto began = std::chrono::steady_clock::now();
  const auto work = [&] {
    for (;;) {
      const auto mine = next++;
      if (mine >= todo.size()) return;
      const auto i = todo[mine];
      try {
        auto figures = play(experiments[i]);
        const std::lock_guard lock(mutex);
        if (!keep_.empty()) file << to_json(experiments[i].key(), experiments[i], figures) << std::endl;
        results[i] = std::move(figures);
        ++done;
        if (!quiet_)
          show(done, todo.size(),
               std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
      } catch (...) {
        const std::lock_guard lock(mutex);
        if (!failed) failed = std::current_exception();
        next = todo.size();
        return;
      }
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::min(threads_, static_cast<int>(todo.size())); ++i) threads.emplace_back(work);
  for (auto& thread : threads) thread.join();
  if (failed) std::rethrow_exception(failed);
  played_ += static_cast<int>(todo.size());
  return results;
}

}  // namespace yoketurn::lab
