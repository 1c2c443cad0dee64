#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "lab/commands.hpp"
#include "lab/plays.hpp"
#include "lab/statistics.hpp"

namespace yoketurn::lab {

namespace {

struct Wanted : Reading {
  std::string csv;
  std::vector<std::string> vary;
  Wanted() {
    show = {"utility", "in_time", "worst", "refused", "failed"};
    seeds = 5;
  }
};

int sweep(const Wanted& wanted) {
  const auto base = wanted.base();
  std::vector<std::vector<Setting>> grid{{}};
  for (const auto& text : wanted.vary) {
    const auto axis = read_axis(text);
    std::vector<std::vector<Setting>> wider;
    for (const auto& point : grid)
      for (const auto& value : axis.values) {
        wider.push_back(point);
        wider.back().push_back({axis.path, value});
      }
    grid = std::move(wider);
  }
  std::vector<Experiment> experiments;
  for (const auto& point : grid)
    for (auto& one : wanted.seeded(base.with(point))) experiments.push_back(std::move(one));
  Plays plays(wanted.keep, wanted.threads, false);
  const auto results = plays.all(experiments);

  std::string head, table;
  for (const auto& axis : grid[0]) head += axis.path + ",";
  for (const auto& name : wanted.show) head += fmt::format("{0},{0}.least,{0}.most,", name);
  const auto seeds = static_cast<std::size_t>(wanted.seeds);
  for (std::size_t g = 0; g < grid.size(); ++g) {
    for (const auto& axis : grid[g]) table += axis.value + ",";
    for (const auto& name : wanted.show) {
      std::vector<double> values;
      for (std::size_t s = 0; s < seeds; ++s) values.push_back(figure(results[g * seeds + s], name));
      const auto [least, most] = std::minmax_element(values.begin(), values.end());
      const auto low = *least, high = *most;
      table += fmt::format("{:.5g},{:.5g},{:.5g},", median(values), low, high);
    }
    table.back() = '\n';
  }
  head.back() = '\n';
  fmt::print("{}{}", head, table);
  if (!wanted.csv.empty()) {
    std::ofstream file(wanted.csv);
    file << head << table;
    if (!file) throw std::runtime_error(wanted.csv + " can't be written");
  }
  fmt::print(stderr, "{} plays of {}, the others were kept\n", plays.played(), experiments.size());
  return 0;
}

}  // namespace

void add_sweep(CLI::App& app, Chosen& chosen) {
  auto* command = app.add_subcommand("sweep", "Play a day over a grid of its parameters and several seeds.");
  const auto wanted = std::make_shared<Wanted>();
  wanted->add_options(*command);
  command->add_option("--vary", wanted->vary, "PATH=A,B,C or PATH=FROM:TO:STEP; several make a grid")
      ->required();
  command->add_option("--csv", wanted->csv, "The table as a file: median, least and most of the seeds");
  command->footer(
      "Example: yoketurn-lab sweep rig/days/site-lost.info --vary sites.*.rate=50:90:10 --vary plan=yes,no");
  command->callback([&chosen, wanted] { chosen = [wanted] { return sweep(*wanted); }; });
}

}  // namespace yoketurn::lab
