// The one reader of settings: named values, from the wire's pairs or from JSON, become plain values.
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

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline constexpr double kLargestIndex = 1e6;  // far above any count that is told, far below what an int holds

std::optional<double> to_number(std::string_view text);                    // finite, and nothing behind it
[[noreturn]] void complain(std::string_view what, std::string_view word);  // throws Malformed

// Values by path, such as classes.0.name; a list of plain values is one value, set apart by commas.
using Pairs = std::map<std::string, std::string, std::less<>>;
Pairs pairs(std::string_view text);              // path=value, set apart by spaces
Pairs pairs(const boost::json::object& nested);  // the same names and units, nested

Settings settings(const Pairs& setup);  // throws Malformed on a missing or nonsensical required setting

// What the connections of a router need to know beside the module's settings.
struct Bounds {
  int shards = 0;
  int max_open = 0;  // queries and parts in hand
  int parts_a_connection = 1;
  int parts_a_call = 1;
  double connect_timeout = 0;
  double idle_timeout = 0;  // a node closes a connection that was idle for so long
  double longest_wait = 0;  // of a client, over all its tries
};
Bounds bounds(const Pairs& setup);

std::vector<std::string> names(const Pairs& setup, std::string_view list);  // of NAME.count, NAME.0.name ...
std::vector<std::string> split(std::string_view text, char by);
const std::string& required(const Pairs& setup, std::string_view path);

// Names as small indices, in the order given.
using Names = std::map<std::string, int, std::less<>>;
Names index(const std::vector<std::string>& names);
int look_up(const Names& names, std::string_view name);  // kNone: not there

}  // namespace yoketurn
