// The configuration of a router, read at its start and again on each reload.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>

#include "discovery/list.hpp"
#include "operators/operators.hpp"
#include "settings/settings.hpp"

namespace yoketurn {

struct Config {
  std::string path;  // empty: not read from a file
  // Of the settings and limits, but for the zone: equal on all routers of a fleet that are configured alike.
  std::uint64_t hash = 0;
  std::string name;
  boost::asio::ip::tcp::endpoint listen;
  boost::asio::ip::tcp::endpoint discovery;
  std::uint64_t seed = 0;
  std::size_t max_sockets = 0;   // file descriptors the router may use
  std::size_t memory_bytes = 0;  // the router may use; 0: not stated
  MemberList initial_members;    // in use until discovery sends a list
  SettingsMap
      raw_settings;  // as read from the file; `settings` and `connection_limits` are derived from them
  Settings settings;
  // The settings allow messages between routers, but the protocol has no path for them: none are sent.
  bool ignores_peer_messages = false;
  ConnectionLimits connection_limits;
  std::vector<std::string> verticals, zones;
  std::string operators_path;  // of the operators' file; empty: there is none
  OperatorSettings operator_settings = default_operator_settings();
};

Config parse_config(std::string_view text);                         // throws InputError
Config load_config(const std::string& path);                        // throws InputError
void load_operators_file(Config& config, const std::string& path);  // throws InfoFileError

}  // namespace yoketurn
