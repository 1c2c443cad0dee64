#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <memory>

#include "commands/commands.hpp"
#include "logging/log.hpp"
#include "router/router.hpp"

namespace yoketurn::commands {

int run(std::string config_path, const std::string& operators) {
  Log log(stdout);
  try {
    if (const char* path = std::getenv("RELAY_CONFIG"); config_path.empty() && path != nullptr)
      config_path = path;
    if (config_path.empty()) throw InputError("configuration: RELAY_CONFIG is not set");
    auto config = load_config(config_path);
    if (!operators.empty()) load_operators_into(config, operators);
    boost::asio::io_context context(1);
    Router router(context, config, log);
    router.build(kBuild.revision, kBuild.decisions);
    router.start();
    // Nothing that comes over a socket ends the process: what nobody has foreseen is told, and the rest goes
    // on.
    while (!context.stopped()) {
      try {
        context.run();
      } catch (const std::exception& error) {
        log.line("fault", "why=\"{}\"", error.what());
      }
    }
    return 0;
  } catch (const std::exception& error) {
    log.line("start_failed", "why=\"{}\"", error.what());
    return kTrouble;
  }
}

void add_run(CLI::App& app, Chosen& chosen) {
  auto* command = app.add_subcommand("run", "Run a router.");
  const auto config = std::make_shared<std::string>();
  const auto operators = std::make_shared<std::string>();
  command->add_option("--config", *config, "The platform's configuration; otherwise RELAY_CONFIG names it");
  command->add_option("--operators", *operators, "The operators' file");
  command->footer("Example: yoketurn run --config examples/config.json --operators deploy/operators.info");
  command->callback([&chosen, config, operators] { chosen = [=] { return run(*config, *operators); }; });
}

}  // namespace yoketurn::commands
