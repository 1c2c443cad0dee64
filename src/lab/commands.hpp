// The sub-commands of the lab, and what several of them have in common.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace yoketurn::lab {

using Chosen = std::function<int()>;
void add_run(CLI::App& app, Chosen& chosen);
void add_sweep(CLI::App& app, Chosen& chosen);
void add_compare(CLI::App& app, Chosen& chosen);
void add_search(CLI::App& app, Chosen& chosen);
void add_plot(CLI::App& app, Chosen& chosen);

// Of those that play many days.
struct Plan {
  std::string path, keep;
  std::vector<std::string> set;
  int threads = 0;
  void add_options(CLI::App& command);
  Experiment base() const;
};

// Of those that read figures from several seeds of each.
struct Reading : Plan {
  std::vector<std::string> show;
  int seeds = 0, fewest_seeds = 1;
  double from = 0, to = 0;
  void add_options(CLI::App& command);
  Experiment base() const;
  std::vector<Experiment> seeded(const Experiment& one) const;  // throws where its day is wrong
};

}  // namespace yoketurn::lab
