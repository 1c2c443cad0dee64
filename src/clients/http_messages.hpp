// Parses clients' HTTP requests into queries and formats the responses.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "settings/settings.hpp"

namespace yoketurn {

inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // of requests and responses; set by the protocol

// One shard that a query asks.
struct Target {
  int shard = 0;
  double share = 0;  // of the query's weight; the shares of a parsed query add up to 1
  double work = 0;   // the client's estimate of the node time in seconds; 0: none
};

struct QueryRequest {
  std::string id;
  int vertical = 0;
  double remaining = 0;       // seconds until the client stops waiting
  bool client_retry = false;  // the client has sent this query before
  std::string key;            // idempotency key of a deduplicated query
  std::string text;
  std::vector<Target> targets;
};

// The answer to one part.
struct PartResult {
  int shard = 0;
  std::string_view value;
};

// The request is refused with this status before it counts as a query.
struct BadRequest : std::runtime_error {
  BadRequest(int http_status, const std::string& why) : std::runtime_error(why), status(http_status) {}
  int status;
};

// What the verticals and shards in a request are checked against.
struct QuerySchema {
  NameIndex verticals;
  std::vector<Effect> effects;  // by vertical
  int shards = 0;
};

// Throws BadRequest.
QueryRequest parse_query_request(const boost::beast::http::request<boost::beast::http::string_body>& request,
                                 const QuerySchema& schema);
// What a result takes in a response body, with a comma in front.
std::size_t result_bytes(const PartResult& result);
// Of all results in a response body; the first one has no comma.
inline constexpr std::size_t kMaxResultBytes =
    kMaxBodyBytes + 1 - std::string_view(R"({"whole":false,"results":[]})").size();
// whole: the results cover all that the query asked for.
std::string response_body(bool whole, const std::vector<PartResult>& results);
// retry_after: seconds for the Retry-After header; 0: no such header.
std::string response_head(int status, std::size_t length, bool keep_alive, double retry_after = 0);

}  // namespace yoketurn
