#include <fmt/format.h>

#include <sstream>

#include "lab/commands.hpp"
#include "lab/plays.hpp"
#include "lab/statistics.hpp"

namespace yoketurn::lab {

namespace {

struct Wanted {
  std::string path, keep, a, b;
  std::vector<std::string> set, show{"utility", "in_time", "worst", "refused", "failed", "p99", "copies"};
  int seeds = 20, threads = 0;
  double from = 0, to = 0;
};

std::vector<Setting> read_settings(const std::string& text) {
  std::vector<Setting> result;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, ',');) result.push_back(read_setting(one));
  return result;
}

int compare(const Wanted& wanted) {
  auto base = load_experiment(wanted.path);
  base.from = wanted.from;
  base.to = wanted.to;
  for (const auto& one : wanted.set) base = base.with({read_setting(one)});
  std::vector<Experiment> experiments;
  for (const auto& side : {wanted.a, wanted.b})
    for (int seed = 1; seed <= wanted.seeds; ++seed)
      experiments.push_back(base.with(read_settings(side)).with({{"seed", std::to_string(seed)}}));
  for (const auto& one : experiments) one.day();
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
  command->add_option("day", wanted->path, "The day's file")->required();
  command->add_option("--a", wanted->a, "PATH=VALUE,... of the one")->required();
  command->add_option("--b", wanted->b, "PATH=VALUE,... of the other")->required();
  command->add_option("--set", wanted->set, "PATH=VALUE of both");
  command->add_option("--seeds", wanted->seeds, "Pairs of plays")->check(CLI::Range(2, 10000));
  command->add_option("--show", wanted->show, "Figures")->delimiter(',');
  command->add_option("--from", wanted->from, "Read the figures from this second on");
  command->add_option("--to", wanted->to, "Up to this second");
  command->add_option("--keep", wanted->keep,
                      "JSON lines of all plays; what stands there is not played again");
  command->add_option("--threads", wanted->threads, "0: one a core");
  command->footer(
      "Example: yoketurn-lab compare rig/days/site-lost.info --a plan=no --b plan=yes --from 5 --to 11");
  command->callback([&chosen, wanted] { chosen = [wanted] { return compare(*wanted); }; });
}

}  // namespace yoketurn::lab
