#include "lab/commands.hpp"

namespace yoketurn::lab {

void Plan::add_options(CLI::App& command) {
  command.add_option("day", path, "The day's file")->required();
  command.add_option("--set", set, "PATH=VALUE, in place of the file's");
  command.add_option("--keep", keep,
                     "JSON lines of all plays; what stands there by this program is not played again");
  command.add_option("--threads", threads, "0: one a core");
}

Experiment Plan::base() const {
  auto base = load_experiment(path);
  for (const auto& one : set) base = base.with({read_setting(one)});
  return base;
}

void Reading::add_options(CLI::App& command) {
  Plan::add_options(command);
  command.add_option("--seeds", seeds, "Plays of each variant, by seeds from 1 on")
      ->check(CLI::Range(fewest_seeds, 10000));
  command.add_option("--show", show, "Figures")->delimiter(',');
  command.add_option("--from", from, "Read the figures from this second on");
  command.add_option("--to", to, "Up to this second");
}

Experiment Reading::base() const {
  auto base = Plan::base();
  base.from = from;
  base.to = to;
  return base;
}

std::vector<Experiment> Reading::seeded(const Experiment& one) const {
  std::vector<Experiment> all;
  for (int seed = 1; seed <= seeds; ++seed) all.push_back(one.with({{"seed", std::to_string(seed)}}));
  all[0].day();  // what is wrong is told before anything is played
  return all;
}

}  // namespace yoketurn::lab
