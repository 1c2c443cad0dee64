#include "commands/commands.hpp"

namespace yoketurn::commands {
const Build kBuild{YOKETURN_VERSION, YOKETURN_REVISION, YOKETURN_DECISIONS};
}

int main(int argc, char** argv) {
  using namespace yoketurn::commands;
  if (argc == 1) return run("", "");
  CLI::App app("A query router for services that read many shards for one request.", "yoketurn");
  app.set_version_flag("--version", "yoketurn " YOKETURN_VERSION);
  app.footer(
      "Without arguments it runs as the platform starts it, with the configuration that RELAY_CONFIG names.\n"
      "Exit codes: 0 done, 1 trouble, 2 misuse of the command line.\n"
      "Example: RELAY_CONFIG=examples/config.json yoketurn");
  app.require_subcommand(1);
  Chosen chosen;
  add_run(app, chosen);
  add_check(app, chosen);
  add_timeline(app, chosen);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kMisuse;
  }
  return chosen();
}
