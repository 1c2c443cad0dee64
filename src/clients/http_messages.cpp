#include "clients/http_messages.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <set>

namespace yoketurn {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxTokenBytes = 256;  // of an id or a key
constexpr double kMaxSeconds = 24 * 3600;    // of the remaining time and of a target's work
constexpr double kShareSumTolerance = 1e-3;
constexpr std::string_view kSmallControlEscapes =
    "\b\f\n\r\t";  // two characters each in JSON, others take six

// Checks a header that is copied into a field of the request line sent to nodes: it must not contain a
// separator of lines or fields.
std::string header_token(std::string_view text, const char* name) {
  const auto fits = [](char c) { return c > ' ' && c < 0x7f && c != ','; };
  if (text.empty() || text.size() > kMaxTokenBytes || !std::all_of(text.begin(), text.end(), fits))
    throw BadRequest(400, std::string(name) + " is missing or makes no sense");
  return std::string(text);
}

std::string_view header(const http::request<http::string_body>& request, std::string_view name) {
  const auto value = request[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

// Parses the time that is left, such as 250m (milliseconds) or 250000u (microseconds), into seconds.
double parse_remaining(std::string_view text) {
  double value = 0;
  const auto* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const auto unit = std::string_view(end, static_cast<std::size_t>(last - end));
  const auto seconds = unit == "m" ? value / 1e3 : unit == "u" ? value / 1e6 : -1;
  if (error != std::errc{} || !(seconds >= 0 && seconds <= kMaxSeconds))
    throw BadRequest(400, "X-Remaining is missing or makes no sense");
  return seconds;
}

double optional_number(const json::object& object, const char* name, double default_value) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return default_value;
  boost::system::error_code error;
  const auto result = value->to_number<double>(error);
  if (error || !std::isfinite(result) || result < 0)
    throw BadRequest(400, std::string(name) + " makes no sense");
  return result;
}

Target parse_target(const json::value& value, int shards) {
  const auto* object = value.if_object();
  if (object == nullptr) throw BadRequest(400, "a target is no object");
  const auto shard = optional_number(*object, "partition", -1);
  if (shard < 0 || shard >= shards || shard != std::floor(shard))
    throw BadRequest(400, "partition is missing or out of range");
  const auto share = optional_number(*object, "share", -1);
  if (share <= 0 || share > 1) throw BadRequest(400, "share is missing or out of range");
  const auto work = optional_number(*object, "est_us", 0) / 1e6;
  if (work > kMaxSeconds) throw BadRequest(400, "est_us makes no sense");
  return {static_cast<int>(shard), share, work};
}

// What a character takes in a JSON string.
std::size_t json_bytes(char c) {
  if (c == '"' || c == '\\' || kSmallControlEscapes.find(c) != std::string_view::npos) return 2;
  return static_cast<unsigned char>(c) < ' ' ? 6 : 1;
}

}  // namespace

QueryRequest parse_query_request(const http::request<http::string_body>& request, const QuerySchema& schema) {
  const std::string_view uri(request.target().data(), request.target().size());
  const auto path = uri.substr(0, uri.find('?'));
  if (path.size() < 2 || path.front() != '/') throw BadRequest(400, "no such path");
  const auto name = path.substr(1, path.find('/', 1) - 1);
  QueryRequest query;
  query.vertical = find_index(schema.verticals, name);
  if (query.vertical == kNone) throw BadRequest(404, "no such vertical");
  if (request.method() != http::verb::post) throw BadRequest(405, "a query is a POST");
  query.id = header_token(header(request, "X-Txn"), "X-Txn");
  query.remaining = parse_remaining(header(request, "X-Remaining"));
  query.client_retry = header(request, "X-Resent") == "1";
  if (schema.effects[static_cast<std::size_t>(query.vertical)] == Effect::deduplicated)
    query.key = header_token(header(request, "Idempotency-Key"), "Idempotency-Key");
  boost::system::error_code error;
  const auto body = json::parse(request.body(), error);
  const auto* object = error ? nullptr : body.if_object();
  if (object == nullptr) throw BadRequest(400, "the body is no JSON object");
  const auto* text = object->if_contains("query");
  if (text == nullptr || !text->is_string()) throw BadRequest(400, "query is missing or no text");
  query.text = std::string(text->get_string());
  const auto* targets = object->if_contains("targets");
  if (targets == nullptr || !targets->is_array() || targets->get_array().empty())
    throw BadRequest(400, "targets are missing or no list");
  std::set<int> shards;
  double sum = 0;
  for (const auto& value : targets->get_array()) {
    query.targets.push_back(parse_target(value, schema.shards));
    if (!shards.insert(query.targets.back().shard).second)
      throw BadRequest(400, "a partition is named twice");
    sum += query.targets.back().share;
  }
  // Otherwise an answer would count as whole before all parts are in, or never.
  if (std::abs(sum - 1) > kShareSumTolerance) throw BadRequest(400, "the shares do not add up to 1");
  for (auto& target : query.targets) target.share /= sum;
  return query;
}

std::size_t result_bytes(const PartResult& result) {
  constexpr std::string_view kWithoutFields = R"(,{"partition":,"value":""})";
  auto bytes = kWithoutFields.size() + fmt::formatted_size("{}", result.shard);
  for (const auto c : result.value) bytes += json_bytes(c);
  return bytes;
}

std::string response_body(bool whole, const std::vector<PartResult>& results) {
  json::array list;
  for (const auto& result : results)
    list.push_back(json::object{{"partition", result.shard},
                                {"value", json::string_view(result.value.data(), result.value.size())}});
  return json::serialize(json::object{{"whole", whole}, {"results", std::move(list)}});
}

std::string response_head(int status, std::size_t length, bool keep_alive, double retry_after) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  auto head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
                          status, std::string_view(reason.data(), reason.size()), length);
  if (retry_after > 0) head += fmt::format("Retry-After: {:.3f}\r\n", retry_after);
  if (!keep_alive) head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace yoketurn
