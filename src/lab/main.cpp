// Tries designs in the emulator: days of many routers, at sizes that sockets don't reach.
#include <fmt/format.h>

#include <exception>

#include "lab/commands.hpp"

int main(int argc, char** argv) {
  using namespace yoketurn::lab;
  CLI::App app(
      "Plays days of many routers in the emulator, with the real module or plain designs in its place.",
      "yoketurn-lab");
  app.set_version_flag("--version", "yoketurn-lab " YOKETURN_VERSION);
  app.footer(
      "Exit codes: 0 done, 1 a rule broken or trouble, 2 misuse of the command line.\n"
      "Example: yoketurn-lab run rig/days/site-lost.info");
  app.require_subcommand(1);
  Chosen chosen;
  add_run(app, chosen);
  add_sweep(app, chosen);
  add_compare(app, chosen);
  add_search(app, chosen);
  add_plot(app, chosen);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;
  }
  try {
    return chosen();
  } catch (const std::exception& error) {
    fmt::print(stderr, "yoketurn-lab: {}\n", error.what());
    return 1;
  }
}
