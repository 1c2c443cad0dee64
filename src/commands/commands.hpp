// The sub-commands, one file each. Each returns the exit code: 0, 1 trouble; CLI11 makes misuse 2.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace yoketurn::commands {

inline constexpr int kTrouble = 1, kMisuse = 2;

// What the program says it is; stands beside main.
struct Build {
  const char* version;
  const char* revision;
  std::uint64_t decisions;  // hash of their sources
};
extern const Build kBuild;

// Runs the router as the platform starts it when both are empty: RELAY_CONFIG names the configuration.
int run(std::string config, const std::string& operators);

using Chosen = std::function<int()>;
void add_run(CLI::App& app, Chosen& chosen);
void add_check(CLI::App& app, Chosen& chosen);
void add_timeline(CLI::App& app, Chosen& chosen);

}  // namespace yoketurn::commands
