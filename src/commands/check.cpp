#include <fmt/format.h>

#include <fstream>
#include <memory>
#include <sstream>

#include "commands/commands.hpp"
#include "operators/operators.hpp"
#include "router/config.hpp"

namespace yoketurn::commands {

namespace {

int check(const std::string& file, const std::string& config, bool reference) {
  if (reference) {
    fmt::print("{}", reference_page());
    return 0;
  }
  if (file.empty() && config.empty()) {
    fmt::print(stderr, "yoketurn check: which file? See yoketurn check --help\n");
    return kMisuse;
  }
  std::size_t memory = 0;
  try {
    if (!config.empty()) memory = load_config(config).memory;
    if (!file.empty()) load_operator_settings(file, memory);
    fmt::print("{}: good\n", file.empty() ? config : file);
    return 0;
  } catch (const InfoFileError& bad) {
    for (const auto& problem : bad.problems) fmt::print("{}\n", format_problem(problem, file));
  } catch (const std::exception& error) {
    fmt::print("{}: {}\n", config, error.what());
  }
  return kTrouble;
}

}  // namespace

void add_check(CLI::App& app, Chosen& chosen) {
  auto* command = app.add_subcommand(
      "check", "Check an operators' file, a configuration or both, and tell what is wrong.");
  const auto file = std::make_shared<std::string>();
  const auto config = std::make_shared<std::string>();
  const auto reference = std::make_shared<bool>(false);
  command->add_option("file", *file, "The operators' file");
  command->add_option("--config", *config,
                      "A platform's configuration: checked too, and for the memory the router may use");
  command->add_flag("--reference", *reference, "Print the reference page of all entries instead");
  command->footer("Example: yoketurn check deploy/operators.info --config examples/config.json");
  command->callback([=, &chosen] { chosen = [=] { return check(*file, *config, *reference); }; });
}

}  // namespace yoketurn::commands
