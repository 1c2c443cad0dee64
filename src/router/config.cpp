#include "router/config.hpp"

#include <fmt/format.h>

#include <charconv>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

#include "settings/fields.hpp"
#include "settings/shape.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

namespace {

constexpr long long kFewestSockets = 64;

boost::asio::ip::tcp::endpoint endpoint(const boost::json::object& object, std::string_view name) {
  const auto text = text_field(object, name);
  const auto at = read_endpoint(text);
  if (!at) complain(name, text);
  return *at;
}

}  // namespace

Config read_config(std::string_view source) {
  const auto object = parse_object(source, "the configuration");
  Config config;
  config.name = text_field(object, "name");
  config.listen = endpoint(object, "listen");
  config.discovery = endpoint(object, "discovery");
  const auto seed = text_field(object, "seed");
  const auto [end, wrong] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (wrong != std::errc{} || end != seed.data() + seed.size()) complain("seed", seed);
  config.sockets = static_cast<std::size_t>(number_field<long long>(
      object_field(object, "limits"), "sockets", kFewestSockets, std::numeric_limits<int>::max()));
  if (const auto& limits = object_field(object, "limits"); limits.contains("memory_mb"))
    config.memory = static_cast<std::size_t>(number_field<double>(limits, "memory_mb", 1, 1e7) * 1024 * 1024);
  config.known = read_list(object_field(object, "known"));
  config.setup = pairs(object_field(object, "settings"));
  check_shape(config.setup);
  config.settings = settings(config.setup);
  config.peers_left_out = std::exchange(config.settings.may_send_peer_reports, false);
  config.bounds = bounds(config.setup);
  std::string shared = fmt::format("{}/{}", config.sockets, config.memory);
  for (const auto& [path, value] : config.setup)
    if (path != "zone") shared += fmt::format(";{}={}", path, value);
  config.hash = id_of(shared);
  config.verticals = names(config.setup, "classes");
  config.zones = split(required(config.setup, "zones"), ',');
  return config;
}

Config load_config(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw Malformed("configuration: " + path + " can't be read");
  auto config = read_config(content.str());
  config.path = path;
  return config;
}

void load_operators_into(Config& config, const std::string& path) {
  config.operators = load_operators(path, config.memory);
  config.operators_path = path;
}

}  // namespace yoketurn
