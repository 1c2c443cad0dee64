// The sub-commands of yoketurn-lab, one file each. Each returns the exit code: 0, 1 trouble or a broken rule.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace yoketurn::lab {

using Chosen = std::function<int()>;
void add_run(CLI::App& app, Chosen& chosen);
void add_sweep(CLI::App& app, Chosen& chosen);
void add_compare(CLI::App& app, Chosen& chosen);
void add_search(CLI::App& app, Chosen& chosen);
void add_plot(CLI::App& app, Chosen& chosen);

}  // namespace yoketurn::lab
