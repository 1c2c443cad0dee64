// What a router is told at its start.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "discovery/list.hpp"
#include "settings/settings.hpp"

namespace yoketurn {

struct Config {
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;
  MemberList known;
  Settings settings;
  Bounds bounds;
  std::vector<std::string> verticals, zones;
};

Config read_config(std::string_view text);    // throws Malformed
Config load_config(const std::string& path);  // throws Malformed

}  // namespace yoketurn
