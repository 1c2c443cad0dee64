#include <fmt/format.h>

#include <chrono>
#include <fstream>

#include "emulator/town.hpp"
#include "lab/commands.hpp"

namespace yoketurn::lab {

namespace {

struct Wanted {
  std::string path, design = "module", record;
  int seed = -1;
  std::string plan;
};

int run(const Wanted& wanted) {
  auto day = days::load_day(wanted.path);
  if (wanted.seed >= 0) day.seed = static_cast<unsigned>(wanted.seed);
  if (!wanted.plan.empty()) day.plan = wanted.plan == "yes";
  const auto began = std::chrono::steady_clock::now();
  emulator::Town town(day, {emulator::design_named(wanted.design), !wanted.record.empty()});
  const auto played = town.play();
  const auto took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  fmt::print("{:>9}  {:>6} {:>8} {:>6} {:>8} {:>7}  utility\n", "seconds", "asked", "in time", "late",
             "refused", "failed");
  for (double from = 0; from < day.seconds; from += 2) {
    const auto s = played.share(from, from + 2, -1);
    fmt::print("{:>4.0f}-{:<4.0f}  {:>6} {:>7.1f}% {:>6} {:>8} {:>7}  {:.3f}", from, from + 2, s.asked,
               100 * s.good(), s.late, s.refused, s.failed, s.earned());
    for (std::size_t v = 0; v < day.verticals.size(); ++v)
      fmt::print("  {} {:.2f}", day.verticals[v].name,
                 played.share(from, from + 2, static_cast<int>(v)).earned());
    fmt::print("\n");
  }
  for (std::size_t i = 0; i < played.breaches.size() && i < 20; ++i)
    fmt::print("BROKEN rule {} at {:.3f}: {}\n", played.breaches[i].rule, played.breaches[i].at,
               played.breaches[i].what);
  fmt::print(
      "{}; {} queries, {} parts, {} connections, nearest to falling over {:.2f}; {} events in {:.2f} s\n",
      played.breaches.empty() ? "rules kept" : fmt::format("{} breaches", played.breaches.size()),
      played.queries, played.parts, played.connections, played.most_pushed, played.events, took);
  if (!wanted.record.empty()) {
    std::ofstream file(wanted.record);
    write(file, played.record);
    if (!file) throw std::runtime_error(wanted.record + " can't be written");
  }
  return played.breaches.empty() ? 0 : 1;
}

}  // namespace

void add_run(CLI::App& app, Chosen& chosen) {
  auto* command = app.add_subcommand("run", "Play a day and check it.");
  const auto wanted = std::make_shared<Wanted>();
  command->add_option("day", wanted->path, "The day's file, as the rig plays it")->required();
  command->add_option("--design", wanted->design, "module, or a plain design in its place");
  command->add_option("--seed", wanted->seed, "In place of the file's");
  command->add_option("--plan", wanted->plan, "yes or no, in place of the file's")
      ->check(CLI::IsMember({"yes", "no"}));
  command->add_option("--record", wanted->record,
                      "Write what passed, as yoketurn-rig check and plot read it");
  command->callback([&chosen, wanted] { chosen = [wanted] { return run(*wanted); }; });
}

}  // namespace yoketurn::lab
