// The one reader of settings: named values, from the wire's pairs or from JSON, become plain values.
#pragma once

#include <boost/json/fwd.hpp>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "brain.hpp"

namespace yoketurn {

struct InputError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr double kMaxIndex = 1e6;  // far above any count that is told, far below what an int holds

std::optional<double> parse_number(std::string_view text);  // finite, and nothing behind it
[[noreturn]] void throw_invalid_value(std::string_view what, std::string_view word);  // throws InputError

// Values by path, such as classes.0.name; a list of plain values is one value, set apart by commas.
using SettingsMap = std::map<std::string, std::string, std::less<>>;
SettingsMap parse_settings_text(std::string_view text);           // path=value, set apart by spaces
SettingsMap flatten_settings(const boost::json::object& nested);  // the same names and units, nested

Settings read_settings(
    const SettingsMap& setup);  // throws InputError on a missing or nonsensical required setting

// What the connections of a router need to know beside the module's settings.
struct ConnectionLimits {
  int shard_count = 0;
  int max_in_progress = 0;  // queries and parts in hand
  int max_parts_per_connection = 1;
  int max_parts_per_call = 1;
  double connect_timeout = 0;
  double idle_timeout = 0;     // a node closes a connection that was idle for so long
  double max_client_wait = 0;  // of a client, over all its tries
};
ConnectionLimits read_connection_limits(const SettingsMap& setup);

std::vector<std::string> read_names(const SettingsMap& setup,
                                    std::string_view list);  // of NAME.count, NAME.0.name ...
std::vector<std::string> split(std::string_view text, char by);
const std::string& required_setting(const SettingsMap& setup, std::string_view path);

// Names as small indices, in the order given.
using NameIndex = std::map<std::string, int, std::less<>>;
NameIndex index_names(const std::vector<std::string>& names);
int find_index(const NameIndex& names, std::string_view name);  // kNone: not there

}  // namespace yoketurn
