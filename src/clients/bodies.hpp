// Clients' queries and the answers to them, as text.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.hpp"

namespace yoketurn {

inline constexpr std::size_t kLargestBody = 64 * 1024;  // the protocol's, both ways

struct Target {
  int shard = 0;
  double share = 0;
  double work = 0;  // hint in seconds; 0: none
};

struct Ask {
  std::string id;
  int vertical = 0;
  double remaining = 0;
  bool client_retry = false;
  std::string key;  // of a deduplicated query
  std::string text;
  std::vector<Target> targets;
};

struct Result {
  int shard = 0;
  std::string_view value;
};

// What a request is refused with before it counts as a query.
struct BadRequest : std::runtime_error {
  BadRequest(int with, const std::string& why) : std::runtime_error(why), status(with) {}
  int status;
};

// What a request must fit.
struct Asked {
  NameIndex verticals;
  std::vector<Effect> effects;  // by vertical
  int shards = 0;
};

Ask read_ask(const boost::beast::http::request<boost::beast::http::string_body>& request, const Asked& asked);
std::string answer_body(bool whole, const std::vector<Result>& results);
std::string answer_head(int status, std::size_t length, bool keep_alive, double retry_after = 0);

}  // namespace yoketurn
