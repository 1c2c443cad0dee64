// Reads the platform's settings. They come as named values, from a line of text or from nested JSON, and
// become the typed settings of the decision module and of the router's connections.
#pragma once

#include <boost/json/fwd.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "routing_policy.hpp"

namespace yoketurn {

// Input that cannot be accepted: a setting, a JSON document or a message. what() names the field and its
// value.
struct InputError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Largest accepted count or index: above any that a deployment has, and well within an int.
inline constexpr double kMaxIndex = 1e6;

std::optional<double> parse_number(std::string_view text);  // nullopt unless all of it is one finite number
[[noreturn]] void throw_invalid_value(std::string_view name, std::string_view value);  // throws InputError

// Settings by path, such as classes.0.name. A list of plain values is one value, separated by commas; a list
// of objects has its length under PATH.count.
using SettingsMap = std::map<std::string, std::string, std::less<>>;
SettingsMap parse_settings_text(std::string_view text);  // path=value, separated by spaces
SettingsMap flatten_settings(const boost::json::object& nested);

// Throws InputError if a required setting is missing or invalid.
Settings read_settings(const SettingsMap& setup);

// What the connections of a router need to know in addition to the decision module's settings. Times are in
// seconds.
struct ConnectionLimits {
  int shard_count = 0;
  int max_in_progress = 0;  // queries and parts together
  int max_parts_per_connection = 1;
  int max_parts_per_call = 1;
  double connect_timeout = 0;
  double idle_timeout = 0;  // after which a node closes an idle connection
  bool probes_allowed = false;
  double max_client_wait = 0;  // longest time that a client of any vertical waits, its retries included
};
ConnectionLimits read_connection_limits(const SettingsMap& setup);  // throws InputError

// The names of a list of objects: LIST.0.name and so on, LIST.count of them; none if LIST.count is missing.
std::vector<std::string> read_names(const SettingsMap& setup, std::string_view list);
std::vector<std::string> split(std::string_view text, char separator);
const std::string& required_setting(const SettingsMap& setup, std::string_view path);  // throws InputError

// Indices by name, in the order given.
using NameIndex = std::map<std::string, int, std::less<>>;
NameIndex index_names(const std::vector<std::string>& names);
int find_index(const NameIndex& names, std::string_view name);  // kNone if the name is unknown

}  // namespace yoketurn
