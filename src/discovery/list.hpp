// The lists of data nodes that discovery sends, and their parsing from JSON.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "time/wall_time.hpp"

namespace yoketurn {

// One entry of a list. Its state is ready (up), draining (neither flag is set) or gone (removed).
struct Member {
  std::string id;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string zone;
  int cell = 0;
  bool up = false;
  bool removed = false;
  WallTime started_at;  // of the node's process; 0: long ago
};

struct MemberList {
  long long version = 0;
  bool full = false;  // true: all members; false: only those that have changed
  std::vector<Member> members;
};

// Throws Malformed if a required field is missing or invalid. Unknown fields are ignored.
MemberList parse_member_list(const boost::json::object& object);
MemberList parse_member_list(std::string_view text);

// Parses "address:port"; the address is numeric. nullopt: it is malformed.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace yoketurn
