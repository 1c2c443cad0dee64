// The file that names the routers an auditor looks after, and its own terms: INFO. What is wrong is told by
// entry.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "audit/overseer.hpp"
#include "audit/stragglers.hpp"

namespace yoketurn::fleet {

struct BadRoll : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct RollEntry {
  std::string name, site;
  std::optional<boost::asio::ip::tcp::endpoint> reader;  // its timeline.listen
  std::string log;       // its standard output as a file; empty: there is none
  std::string segments;  // its folder of segments; empty: there is none
  std::string agent;     // another one it may follow; empty: there is none
};

struct Roll {
  double every = 0.5;          // between two looks at a router
  double keep = 604800;        // what is older leaves the store
  long long rows = 2'000'000;  // intervals that the store holds at most
  std::string orders;          // folder in which orders are left; empty: none is given
  audit::StragglerLimits stragglers;
  audit::OverseerLimits overseer;
  std::vector<RollEntry> routers;
};

Roll read_roll(std::string_view text, std::string_view name);  // throws BadRoll
Roll load_roll(const std::string& path);

}  // namespace yoketurn::fleet
