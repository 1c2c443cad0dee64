#include "clients/connection.hpp"

#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kLargestHeader = 8 * 1024;
constexpr double kLinger = 1;  // for which what a client still sends is read, so that it sees the answer

}  // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket, DueTimes& due, Owner& owner, int id)
    : socket_(std::move(socket)),
      due_(due),
      owner_(owner),
      id_(id),
      due_key_(due.fresh_key()),
      since_(now()),
      in_(2 * kLargestHeader),
      out_(kLargestBody + kLargestHeader) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  read();
}

void ClientConnection::read() {
  if (reading_ || state_ == State::closed || in_.free() == 0) return;
  reading_ = true;
  socket_.async_read_some(in_.space(), [self = shared_from_this()](const auto& error, auto count) {
    self->reading_ = false;
    if (self->state_ == State::closed) return;
    if (error) return self->lost();
    self->in_.commit(count);
    self->take();
    self->read();
  });
}

// Reads what is there as far as one request goes; the next one waits for the answer.
void ClientConnection::take() {
  if (state_ == State::lingering) return in_.consume(in_.size());
  while (state_ == State::reading && in_.size() > 0) {
    if (!parser_) {
      parser_.emplace();
      parser_->header_limit(kLargestHeader);
      parser_->body_limit(kLargestBody);
      parser_->eager(true);
    }
    begun_ = true;
    boost::system::error_code error;
    const auto used = parser_->put(in_.data(), error);
    in_.consume(used);
    if (error && error != http::error::need_more) {
      const auto large = error == http::error::body_limit     ? 413
                         : error == http::error::header_limit ? 431
                                                              : 400;
      return fail(large, error.message());
    }
    // Two readers that take a request's length from different headers disagree on where the next one begins.
    if (parser_->is_header_done() && parser_->get().count(http::field::content_length) > 1)
      return fail(400, "two lengths");
    if (parser_->is_header_done() && !parser_->is_done() && !continued_ &&
        boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      continued_ = true;
      out_.put("HTTP/1.1 100 Continue\r\n\r\n");
      write();
    }
    if (!parser_->is_done()) {
      if (used > 0) continue;
      if (in_.free() == 0) fail(431, "header too large");
      return;
    }
    state_ = State::asked;
    keep_alive_ = parser_->keep_alive();
    owner_.asked(*this, parser_->get());
  }
}

void ClientConnection::fail(int status, std::string_view why) {
  state_ = State::asked;
  keep_alive_ = false;
  answer(status, why);
}

void ClientConnection::answer(int status, std::string_view body, double retry_after) {
  if (state_ != State::asked) return;
  if (body.size() > kLargestBody) return fail(500, "the answer is too large");
  state_ = State::answering;
  keep_alive_ = keep_alive_ && owner_.keeps();
  out_.put(answer_head(status, body.size(), keep_alive_, retry_after));
  out_.put(body);
  write();
}

void ClientConnection::write() {
  if (writing_) return;
  writing_ = true;
  socket_.async_write_some(out_.data(), [self = shared_from_this()](const auto& error, auto count) {
    self->writing_ = false;
    if (self->state_ == State::closed) return;
    if (error) return self->lost();
    self->out_.consume(count);
    if (self->out_.size() > 0) return self->write();
    if (self->state_ == State::answering) self->written();
  });
}

void ClientConnection::written() {
  out_.release();
  parser_.reset();
  begun_ = continued_ = false;
  served_ = true;
  since_ = now();
  if (keep_alive_) {
    state_ = State::reading;
    take();
    return read();
  }
  // A connection closed with something unread in it is reset, and the answer may be lost with it.
  state_ = State::lingering;
  in_.consume(in_.size());
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  due_.set(due_key_, since_ + kLinger, [weak = weak_from_this()](double) {
    if (const auto self = weak.lock()) self->close();
  });
  read();
}

void ClientConnection::lost() {
  if (state_ == State::asked) owner_.left(*this);
  close();
}

void ClientConnection::close() {
  if (state_ == State::closed) return;
  state_ = State::closed;
  due_.drop(due_key_);
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_.closed(*this);
}

}  // namespace yoketurn
