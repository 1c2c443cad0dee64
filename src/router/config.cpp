#include "router/config.hpp"

#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <sstream>

namespace yoketurn {

namespace json = boost::json;

namespace {

const json::value& field(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) throw Malformed("configuration: no " + std::string(name));
  return *value;
}

const json::object& part(const json::object& object, std::string_view name) {
  const auto* result = field(object, name).if_object();
  if (result == nullptr) throw Malformed("configuration: " + std::string(name) + " is no object");
  return *result;
}

std::string text(const json::object& object, std::string_view name) {
  const auto* result = field(object, name).if_string();
  if (result == nullptr) throw Malformed("configuration: " + std::string(name) + " is no text");
  return std::string(*result);
}

boost::asio::ip::tcp::endpoint endpoint(const json::object& object, std::string_view name) {
  const auto at = read_endpoint(text(object, name));
  if (!at) throw Malformed("configuration: " + std::string(name) + " is no address");
  return *at;
}

}  // namespace

Config read_config(std::string_view source) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(source.data(), source.size()), error);
  const auto* object = error ? nullptr : value.if_object();
  if (object == nullptr) throw Malformed("configuration: no JSON object");
  Config config;
  config.name = text(*object, "name");
  config.listen = endpoint(*object, "listen");
  config.discovery = endpoint(*object, "discovery");
  const auto seed = text(*object, "seed");
  const auto [end, wrong] = std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, 16);
  if (wrong != std::errc{} || end != seed.data() + seed.size())
    throw Malformed("configuration: seed is no hexadecimal number");
  const auto sockets = field(part(*object, "limits"), "sockets").to_number<std::int64_t>(error);
  if (error || sockets < 64) throw Malformed("configuration: limits.sockets is under 64 or no number");
  config.sockets = static_cast<std::size_t>(sockets);
  config.known = read_list(field(*object, "known"));
  const auto setup = pairs(part(*object, "settings"));
  config.settings = settings(setup);
  config.bounds = bounds(setup);
  config.verticals = names(setup, "classes");
  config.zones = split(required(setup, "zones"), ',');
  return config;
}

Config load_config(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw Malformed("configuration: " + path + " can't be read");
  return read_config(content.str());
}

}  // namespace yoketurn
