#include <fmt/format.h>

#include <fstream>
#include <memory>
#include <sstream>

#include "commands/commands.hpp"
#include "operators/operators.hpp"
#include "router/config.hpp"

namespace yoketurn::commands {

namespace {

int check(const std::string& operators_path, const std::string& config_path, bool print_reference) {
  if (print_reference) {
    fmt::print("{}", reference_page());
    return 0;
  }
  if (operators_path.empty() && config_path.empty()) {
    fmt::print(stderr, "yoketurn check: no file given; see yoketurn check --help\n");
    return kExitUsage;
  }
  std::size_t router_memory = 0;  // bytes; 0: unknown
  try {
    if (!config_path.empty()) router_memory = load_config(config_path).memory_bytes;
    if (!operators_path.empty()) load_operator_settings(operators_path, router_memory);
    fmt::print("{}: good\n", operators_path.empty() ? config_path : operators_path);
    return 0;
  } catch (const InfoFileError& error) {
    for (const auto& problem : error.problems) fmt::print("{}\n", format_problem(problem, operators_path));
  } catch (const std::exception& error) {
    fmt::print("{}: {}\n", config_path, error.what());
  }
  return kExitFailure;
}

}  // namespace

void add_check(CLI::App& app, SelectedCommand& selected) {
  auto* command =
      app.add_subcommand("check", "Check an operators' file, a configuration or both, and list all errors.");
  const auto file = std::make_shared<std::string>();
  const auto config = std::make_shared<std::string>();
  const auto reference = std::make_shared<bool>(false);
  command->add_option("file", *file, "The operators' file");
  command->add_option(
      "--config", *config,
      "The platform's configuration: checked too, and gives the memory that the router may use");
  command->add_flag("--reference", *reference,
                    "Print a reference page of all entries of the operators' file");
  command->footer("Example: yoketurn check deploy/operators.info --config examples/config.json");
  command->callback([=, &selected] { selected = [=] { return check(*file, *config, *reference); }; });
}

}  // namespace yoketurn::commands
