#include "router/config.hpp"

#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

#include "settings/consistency.hpp"
#include "settings/json_fields.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

namespace {

constexpr long long kMinSockets = 64;

boost::asio::ip::tcp::endpoint endpoint_field(const boost::json::object& object, std::string_view name) {
  const auto text = string_field(object, name);
  const auto parsed = parse_endpoint(text);
  if (!parsed) throw_invalid_value(name, text);
  return *parsed;
}

}  // namespace

Config parse_config(std::string_view text) {
  const auto object = parse_json_object(text, "the configuration");
  Config config;
  config.name = string_field(object, "name");
  config.listen = endpoint_field(object, "listen");
  config.discovery = endpoint_field(object, "discovery");
  const auto seed = string_field(object, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size()) throw_invalid_value("seed", seed);
  config.max_sockets = static_cast<std::size_t>(number_field<long long>(
      object_field(object, "limits"), "sockets", kMinSockets, std::numeric_limits<int>::max()));
  if (const auto& limits = object_field(object, "limits"); limits.contains("memory_mb"))
    config.memory_bytes =
        static_cast<std::size_t>(number_field<double>(limits, "memory_mb", 1, 1e7) * 1024 * 1024);
  config.initial_members = parse_member_list(object_field(object, "known"));
  config.raw_settings = flatten_settings(object_field(object, "settings"));
  check_consistency(config.raw_settings);
  config.settings = read_settings(config.raw_settings);
  config.ignores_peer_messages = std::exchange(config.settings.may_send_peer_reports, false);
  config.connection_limits = read_connection_limits(config.raw_settings);
  std::string hashed = fmt::format("{}/{}", config.max_sockets, config.memory_bytes);
  for (const auto& [path, value] : config.raw_settings)
    if (path != "zone") hashed += fmt::format(";{}={}", path, value);
  config.hash = id_of(hashed);
  config.verticals = read_names(config.raw_settings, "classes");
  config.zones = split(required_setting(config.raw_settings, "zones"), ',');
  return config;
}

Config load_config(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw InputError("configuration: " + path + " can't be read");
  auto config = parse_config(content.str());
  config.path = path;
  return config;
}

void load_operators_file(Config& config, const std::string& path) {
  config.operator_settings = load_operator_settings(path, config.memory_bytes);
  config.operators_path = path;
}

}  // namespace yoketurn
