// Parses one HTTP request. Of its head only what the router uses is kept, so a request takes no more memory
// than it has bytes, however many fields they are.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

namespace yoketurn {

class RequestParser : public boost::beast::http::basic_parser<true> {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  // Limits in bytes. The head is limited by parse(), the body by the base class.
  RequestParser(std::size_t max_head_bytes, std::size_t max_body_bytes);

  // Parses the bytes, of at most this request. Returns how many were used; the error is need_more where the
  // request goes on behind them.
  std::size_t parse(boost::asio::const_buffer bytes, boost::system::error_code& error);
  // Whether the fields state the length of the body in exactly one way. Otherwise two readers that go by
  // different fields disagree where the next request begins, and part of a body could pass as a request of
  // its own (request smuggling).
  bool has_single_length() const { return length_fields_ + coding_fields_ <= 1 && !other_coding_; }
  void discard_body() { discards_body_ = true; }  // of a request that will be refused
  bool expects_continue() const { return expects_continue_; }
  std::size_t held_bytes() const { return head_bytes_ + request_.body().capacity(); }
  const Request& request() const { return request_; }
  Request release() { return std::move(request_); }

 private:
  using field = boost::beast::http::field;
  using string_view = boost::beast::string_view;
  using error_code = boost::system::error_code;

  void on_request_impl(boost::beast::http::verb method, string_view method_text, string_view target,
                       int version, error_code& error) override;
  void on_response_impl(int, string_view, int, error_code&) override {}
  void on_field_impl(field name, string_view name_text, string_view value, error_code& error) override;
  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code& error) override;
  std::size_t on_body_impl(string_view bytes, error_code& error) override;
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t left, string_view bytes, error_code& error) override;
  void on_finish_impl(error_code&) override {}

  Request request_;
  std::size_t max_head_bytes_;
  std::size_t max_body_bytes_;
  std::size_t head_bytes_ = 0;
  int length_fields_ = 0;
  int coding_fields_ = 0;
  bool other_coding_ = false;  // a transfer encoding other than chunked
  bool expects_continue_ = false;
  bool discards_body_ = false;
};

}  // namespace yoketurn
