#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>
#include <memory>

#include "commands/commands.hpp"
#include "logging/log.hpp"
#include "router/router.hpp"

namespace yoketurn::commands {

int run(std::string config_path, const std::string& operators_path) {
  Log log(stdout);
  try {
    if (const char* path = std::getenv("RELAY_CONFIG"); config_path.empty() && path != nullptr)
      config_path = path;
    if (config_path.empty()) throw InputError("configuration: RELAY_CONFIG is not set");
    auto config = load_config(config_path);
    if (!operators_path.empty()) load_operators_file(config, operators_path);
    boost::asio::io_context context(1);
    Router router(context, config, log);
    router.set_build(kBuildInfo.revision, kBuildInfo.policy_hash);
    router.start();
    // Unexpected exceptions from handlers are logged, and the loop goes on: nothing that arrives over a
    // socket may end the process.
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
    return kExitFailure;
  }
}

void add_run(CLI::App& app, SelectedCommand& selected) {
  auto* command = app.add_subcommand("run", "Run a router.");
  const auto config = std::make_shared<std::string>();
  const auto operators = std::make_shared<std::string>();
  command->add_option("--config", *config,
                      "The platform's configuration (default: the file that RELAY_CONFIG names)");
  command->add_option("--operators", *operators, "The operators' file");
  command->footer("Example: yoketurn run --config examples/config.json --operators deploy/operators.info");
  command->callback([&selected, config, operators] { selected = [=] { return run(*config, *operators); }; });
}

}  // namespace yoketurn::commands
