// What a router is told at its start, and again whenever its configuration is replaced.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "discovery/list.hpp"
#include "operators/operators.hpp"
#include "settings/settings.hpp"

namespace yoketurn {

struct Config {
  std::string path;        // empty: it came from no file
  std::uint64_t hash = 0;  // of settings and limits: what all routers of a fleet should have alike
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;
  std::size_t memory = 0;  // bytes; 0: not told
  MemberList known;
  SettingsMap setup;  // the settings as they are told, from which these two are read
  Settings settings;
  bool peers_left_out = false;  // the protocol has no way to other routers: nothing is told though it may be
  ConnectionLimits bounds;
  std::vector<std::string> verticals, zones;
  std::string operators_path;  // empty: there is no operators' file
  OperatorSettings operators = default_operator_settings();
};

Config read_config(std::string_view text);                          // throws InputError
Config load_config(const std::string& path);                        // throws InputError
void load_operators_into(Config& config, const std::string& path);  // throws InfoFileError

}  // namespace yoketurn
