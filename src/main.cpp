// yoketurn: the router and the tools that check its files and read its time line.
#include "commands/commands.hpp"

namespace yoketurn::commands {
const BuildInfo kBuildInfo{YOKETURN_VERSION, YOKETURN_REVISION, YOKETURN_DECISIONS};
}

int main(int argc, char** argv) {
  using namespace yoketurn::commands;
  if (argc == 1) return run("", "");
  CLI::App app("A query router for services that read many shards for one request.", "yoketurn");
  app.set_version_flag("--version", "yoketurn " YOKETURN_VERSION);
  app.footer(
      "Without arguments it runs a router with the configuration that RELAY_CONFIG names.\n"
      "Exit codes: 0 success, 1 failure, 2 invalid command line.\n"
      "Example: RELAY_CONFIG=examples/config.json yoketurn");
  app.require_subcommand(1);
  SelectedCommand selected;
  add_run(app, selected);
  add_check(app, selected);
  add_timeline(app, selected);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  return selected();
}
