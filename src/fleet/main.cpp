// yoketurn-fleet: for those who look after many routers. A file a sub-command.
#include <CLI/CLI.hpp>

#include "fleet/commands.hpp"

int main(int argc, char** argv) {
  using namespace yoketurn::fleet;
  CLI::App app("For those who look after many yoketurn routers.", "yoketurn-fleet");
  app.set_version_flag("--version", "yoketurn-fleet " YOKETURN_VERSION);
  app.footer("Exit codes: 0 done, 1 trouble, 2 misuse of the command line.");
  app.require_subcommand(1);
  std::function<int()> chosen;
  add_sites(app, chosen);
  add_audit(app, chosen);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  return chosen();
}
