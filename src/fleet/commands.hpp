// The sub-commands of yoketurn-fleet. Each returns the exit code: 0, 1 trouble; CLI11 makes misuse 2.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace yoketurn::fleet {

void add_sites(CLI::App& app, std::function<int()>& chosen);
void add_audit(CLI::App& app, std::function<int()>& chosen);

}  // namespace yoketurn::fleet
