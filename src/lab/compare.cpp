#include <fmt/format.h>

#include <sstream>

#include "lab/commands.hpp"
#include "lab/plays.hpp"
#include "lab/statistics.hpp"

namespace yoketurn::lab {

namespace {

struct Wanted : Reading {
  std::string a, b;
  Wanted() {
    show = {"utility", "in_time", "worst", "refused", "failed", "p99", "copies"};
    seeds = 20;
    fewest_seeds = 2;  // of one pair there is no interval
  }
};

std::vector<Setting> read_settings(const std::string& text) {
  std::vector<Setting> result;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, ',');) result.push_back(read_setting(one));
  return result;
}

int compare(const Wanted& wanted) {
  const auto base = wanted.base();
  std::vector<Experiment> experiments;
  for (const auto& side : {wanted.a, wanted.b})
    for (auto& one : wanted.seeded(base.with(read_settings(side)))) experiments.push_back(std::move(one));
  Plays plays(wanted.keep, wanted.threads, false);
  const auto results = plays.all(experiments);
  fmt::print("{:<20} {:>10} {:>10}   B - A, 95% of it\n", fmt::format("{} seeds", wanted.seeds), "A", "B");
  for (const auto& name : wanted.show) {
    std::vector<double> a, b;
    for (int i = 0; i < wanted.seeds; ++i) {
      a.push_back(figure(results[static_cast<std::size_t>(i)], name));
      b.push_back(figure(results[static_cast<std::size_t>(wanted.seeds + i)], name));
    }
    const auto off = difference(a, b);
    fmt::print("{:<20} {:>10.4f} {:>10.4f}   {:+.4f} ({:+.4f} to {:+.4f}){}\n", name, median(a), median(b),
               off.mean, off.low, off.high, off.seen() ? "" : "  no difference seen");
  }
  return 0;
}

}  // namespace

void add_compare(CLI::App& app, Chosen& chosen) {
  auto* command =
      app.add_subcommand("compare", "Play two variants of a day on the same seeds and say how they differ.");
  const auto wanted = std::make_shared<Wanted>();
  wanted->add_options(*command);
  command->add_option("--a", wanted->a, "PATH=VALUE,... of the one")->required();
  command->add_option("--b", wanted->b, "PATH=VALUE,... of the other")->required();
  command->footer(
      "Example: yoketurn-lab compare rig/days/site-lost.info --a plan=no --b plan=yes --from 5 --to 11");
  command->callback([&chosen, wanted] { chosen = [wanted] { return compare(*wanted); }; });
}

}  // namespace yoketurn::lab
