#include "clients/request_parser.hpp"

#include <algorithm>
#include <array>

namespace yoketurn {

namespace http = boost::beast::http;

namespace {

constexpr std::array<std::string_view, 4> kKeptFields{"X-Txn", "X-Remaining", "X-Resent", "Idempotency-Key"};
constexpr std::size_t kMinBodyCapacity = 1024;  // bytes

}  // namespace

RequestParser::RequestParser(std::size_t max_head_bytes, std::size_t max_body_bytes)
    : max_head_bytes_(max_head_bytes), max_body_bytes_(max_body_bytes) {
  header_limit(static_cast<std::uint32_t>(max_head_bytes));
  body_limit(max_body_bytes);
  eager(true);
}

// The base class limits the part of a head that it is given at once, not the whole of one that comes in
// pieces.
std::size_t RequestParser::parse(boost::asio::const_buffer bytes, boost::system::error_code& error) {
  const auto in_head = !is_header_done();
  const auto parsed = put(bytes, error);
  if (!in_head) return parsed;
  head_bytes_ = std::min(head_bytes_ + parsed, max_head_bytes_ + 1);
  if (!is_header_done() && head_bytes_ > max_head_bytes_) error = http::error::header_limit;
  return parsed;
}

void RequestParser::on_request_impl(http::verb method, string_view, string_view target, int version,
                                    error_code&) {
  if (method != http::verb::unknown) request_.method(method);
  request_.target(target);
  request_.version(static_cast<unsigned>(version));
}

// The first of several fields of a name counts.
void RequestParser::on_field_impl(field name, string_view name_text, string_view value, error_code&) {
  if (name == field::content_length) ++length_fields_;
  if (name == field::transfer_encoding) {
    ++coding_fields_;
    other_coding_ = other_coding_ || !boost::beast::iequals(value, "chunked");
  }
  if (name == field::expect && boost::beast::iequals(value, "100-continue")) expects_continue_ = true;
  const auto kept = std::any_of(kKeptFields.begin(), kKeptFields.end(), [&](std::string_view kept_name) {
    return boost::beast::iequals(name_text, string_view(kept_name.data(), kept_name.size()));
  });
  if (kept && request_.count(name_text) == 0) request_.insert(name_text, value);
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) {}

// The stated length takes no memory; only what has arrived does.
std::size_t RequestParser::on_body_impl(string_view bytes, error_code&) {
  if (discards_body_) return bytes.size();
  auto& body = request_.body();
  const auto size = body.size() + bytes.size();
  if (size > body.capacity())
    body.reserve(std::max(size, std::min(max_body_bytes_, std::max(2 * body.capacity(), kMinBodyCapacity))));
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, string_view bytes, error_code& error) {
  return on_body_impl(bytes, error);
}

}  // namespace yoketurn
