// Plays days of many processes with faults between them, and checks their records.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>

#include "days/checker.hpp"
#include "days/plot.hpp"
#include "days/service.hpp"
#include "rig/fleet.hpp"

namespace {

using namespace yoketurn::rig;

int tell(const Record& record, const Day& day) {
  fmt::print("{}", report(record, day));
  const auto breaches = check(record, day);
  for (std::size_t i = 0; i < breaches.size() && i < 20; ++i)
    fmt::print("BROKEN rule {} at {:.3f}: {}\n", breaches[i].rule, breaches[i].at, breaches[i].what);
  fmt::print("{}\n", breaches.empty() ? "rules kept" : fmt::format("{} breaches", breaches.size()));
  return breaches.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "Plays a day of many routers with faults between them, and checks its record for the six rules.",
      "yoketurn-rig");
  app.footer(
      "Exit codes: 0 rules kept, 1 a rule broken or trouble, 2 misuse of the command line.\n"
      "Example: yoketurn-rig play rig/days/site-lost.info --router build/yoketurn --folder rig-play");
  app.require_subcommand(1);
  std::string path, router = "build/yoketurn", folder = "rig-play", plan;
  int seed = -1;
  auto* play = app.add_subcommand("play", "Play a day and check it.");
  play->add_option("day", path, "The day's file")->required();
  play->add_option("--router", router, "The router's program");
  play->add_option("--folder", folder, "Where configurations, logs and the record are left");
  play->add_option("--seed", seed, "In place of the file's");
  play->add_option("--plan", plan, "yes or no, in place of the file's")->check(CLI::IsMember({"yes", "no"}));
  auto* checks = app.add_subcommand("check", "Check a record that is there.");
  std::string record_path, svg;
  checks->add_option("day", path, "The day's file")->required();
  checks->add_option("record", record_path, "record.jsonl of a play")->required();
  auto* plots = app.add_subcommand("plot", "Draw a record that is there as SVG (needs gnuplot).");
  plots->add_option("day", path, "The day's file")->required();
  plots->add_option("record", record_path, "record.jsonl of a play")->required();
  plots->add_option("svg", svg, "What is written")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    auto day = load_day(path);
    if (seed >= 0) day.seed = static_cast<unsigned>(seed);
    if (!plan.empty()) day.plan = plan == "yes";
    if (checks->parsed() || plots->parsed()) {
      std::ifstream file(record_path);
      if (!file) throw std::runtime_error(record_path + " can't be read");
      const auto record = read_record(file);
      if (checks->parsed()) return tell(record, day);
      draw(record, day, svg);
      return 0;
    }
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
    Fleet fleet(day, std::filesystem::absolute(router), std::filesystem::absolute(folder));
    const auto result = fleet.play();
    const auto verdict = tell(result.record, day);
    fmt::print(
        "seed {}, plan {}; the rig was late by {:.0f} ms at most; nearest to falling over {:.2f}; {} "
        "connections to "
        "nodes; {:.3f} of the queries answered well; record: {}/record.jsonl\n",
        day.seed, day.plan ? "on" : "off", result.ran_late * 1e3, result.most_pushed, result.connections,
        share_of(result.record, day, 0, day.seconds).good(), folder);
    return verdict;
  } catch (const std::exception& error) {
    fmt::print(stderr, "yoketurn-rig: {}\n", error.what());
    return 1;
  }
}
