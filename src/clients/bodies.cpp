#include "clients/bodies.hpp"

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

constexpr std::size_t kLongestWord = 256;  // of an id or a key
constexpr double kLongestWait = 24 * 3600;
constexpr double kRounding = 1e-3;  // of the shares' sum

// A word that can stand in a node's line: it must not end it, nor one of its fields.
std::string word(std::string_view text, const char* what) {
  const auto fits = [](char c) { return c > ' ' && c < 0x7f && c != ','; };
  if (text.empty() || text.size() > kLongestWord || !std::all_of(text.begin(), text.end(), fits))
    throw BadRequest(400, std::string(what) + " is missing or makes no sense");
  return std::string(text);
}

std::string_view header(const http::request<http::string_body>& request, std::string_view name) {
  const auto value = request[boost::beast::string_view(name.data(), name.size())];
  return {value.data(), value.size()};
}

double remaining(std::string_view text) {
  double value = 0;
  const auto* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, value);
  const auto unit = std::string_view(end, static_cast<std::size_t>(last - end));
  const auto seconds = unit == "m" ? value / 1e3 : unit == "u" ? value / 1e6 : -1;
  if (error != std::errc{} || !(seconds >= 0 && seconds <= kLongestWait))
    throw BadRequest(400, "X-Remaining is missing or makes no sense");
  return seconds;
}

double number(const json::object& object, const char* name, double absent) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || value->is_null()) return absent;
  boost::system::error_code error;
  const auto result = value->to_number<double>(error);
  if (error || !std::isfinite(result) || result < 0)
    throw BadRequest(400, std::string(name) + " makes no sense");
  return result;
}

Target read_target(const json::value& value, int shards) {
  const auto* object = value.if_object();
  if (object == nullptr) throw BadRequest(400, "a target is no object");
  const auto shard = number(*object, "partition", -1);
  if (shard < 0 || shard >= shards || shard != std::floor(shard))
    throw BadRequest(400, "partition is missing or out of range");
  const auto share = number(*object, "share", -1);
  if (share <= 0 || share > 1) throw BadRequest(400, "share is missing or out of range");
  const auto work = number(*object, "est_us", 0) / 1e6;
  if (work > kLongestWait) throw BadRequest(400, "est_us makes no sense");
  return {static_cast<int>(shard), share, work};
}

}  // namespace

Ask read_ask(const http::request<http::string_body>& request, const Asked& asked) {
  const std::string_view target(request.target().data(), request.target().size());
  const auto path = target.substr(0, target.find('?'));
  if (path.size() < 2 || path.front() != '/') throw BadRequest(400, "no such path");
  const auto name = path.substr(1, path.find('/', 1) - 1);
  Ask ask;
  ask.vertical = find_index(asked.verticals, name);
  if (ask.vertical == kNone) throw BadRequest(404, "no such vertical");
  if (request.method() != http::verb::post) throw BadRequest(405, "a query is a POST");
  ask.id = word(header(request, "X-Txn"), "X-Txn");
  ask.remaining = remaining(header(request, "X-Remaining"));
  ask.client_retry = header(request, "X-Resent") == "1";
  if (asked.effects[static_cast<std::size_t>(ask.vertical)] == Effect::deduplicated)
    ask.key = word(header(request, "Idempotency-Key"), "Idempotency-Key");
  boost::system::error_code error;
  const auto body = json::parse(request.body(), error);
  const auto* object = error ? nullptr : body.if_object();
  if (object == nullptr) throw BadRequest(400, "the body is no JSON object");
  const auto* text = object->if_contains("query");
  if (text == nullptr || !text->is_string()) throw BadRequest(400, "query is missing or no text");
  ask.text = std::string(text->get_string());
  const auto* targets = object->if_contains("targets");
  if (targets == nullptr || !targets->is_array() || targets->get_array().empty())
    throw BadRequest(400, "targets are missing or no list");
  std::set<int> seen;
  double sum = 0;
  for (const auto& value : targets->get_array()) {
    ask.targets.push_back(read_target(value, asked.shards));
    if (!seen.insert(ask.targets.back().shard).second) throw BadRequest(400, "a partition is named twice");
    sum += ask.targets.back().share;
  }
  // Else an answer would be whole before all of it is in, or never.
  if (std::abs(sum - 1) > kRounding) throw BadRequest(400, "the shares do not add up to 1");
  for (auto& named : ask.targets) named.share /= sum;
  return ask;
}

std::string answer_body(bool whole, const std::vector<Result>& results) {
  json::array list;
  for (const auto& result : results)
    list.push_back(json::object{{"partition", result.shard},
                                {"value", json::string_view(result.value.data(), result.value.size())}});
  return json::serialize(json::object{{"whole", whole}, {"results", std::move(list)}});
}

std::string answer_head(int status, std::size_t length, bool keep_alive, double retry_after) {
  const auto reason = http::obsolete_reason(static_cast<http::status>(status));
  auto head = fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
                          status, std::string_view(reason.data(), reason.size()), length);
  if (retry_after > 0) head += fmt::format("Retry-After: {:.3f}\r\n", retry_after);
  if (!keep_alive) head += "Connection: close\r\n";
  return head + "\r\n";
}

}  // namespace yoketurn
