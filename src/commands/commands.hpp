// The subcommands of `yoketurn`, one source file each. Each returns the program's exit code.
#pragma once

#include <CLI/CLI.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace yoketurn::commands {

inline constexpr int kExitFailure = 1, kExitUsage = 2;  // 2: invalid command line

// Identifies this build in version reports. Defined in main.cpp from compile definitions.
struct BuildInfo {
  const char* version;
  const char* revision;
  std::uint64_t policy_hash;  // hash of the sources in src/policy
};
extern const BuildInfo kBuildInfo;

// Runs a router until it is stopped. `config_path` is the platform's configuration (empty: RELAY_CONFIG names
// it), `operators_path` the operators' file (empty: none).
int run(std::string config_path, const std::string& operators_path);

// Each add_ function declares a subcommand, which sets `selected` when it is parsed.
using SelectedCommand = std::function<int()>;
void add_run(CLI::App& app, SelectedCommand& selected);
void add_check(CLI::App& app, SelectedCommand& selected);
void add_timeline(CLI::App& app, SelectedCommand& selected);

}  // namespace yoketurn::commands
