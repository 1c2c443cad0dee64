#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <exception>

#include "logging/log.hpp"
#include "router/router.hpp"

int main() {
  yoketurn::Log log(stdout);
  try {
    const char* path = std::getenv("RELAY_CONFIG");
    if (path == nullptr) throw yoketurn::Malformed("configuration: RELAY_CONFIG is not set");
    const auto config = yoketurn::load_config(path);
    boost::asio::io_context context(1);
    yoketurn::Router router(context, config, log);
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
    return 1;
  }
}
