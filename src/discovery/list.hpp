// Discovery's lists of data nodes as they are read from JSON.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "time/wall_time.hpp"

namespace yoketurn {

struct Member {
  std::string id;
  boost::asio::ip::tcp::endpoint at;
  std::string zone;
  int cell = 0;
  bool up = false;
  bool gone = false;
  WallTime started;  // 0: long ago
};

struct MemberList {
  long long version = 0;
  bool full = false;
  std::vector<Member> members;
};

// Throws InputError on what makes no sense; what it does not know it leaves out of account.
MemberList read_list(const boost::json::object& object);
MemberList read_list(std::string_view text);

// host:port, as numbers.
std::optional<boost::asio::ip::tcp::endpoint> read_endpoint(std::string_view text);

}  // namespace yoketurn
