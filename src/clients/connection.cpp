#include "clients/connection.hpp"

#include <poll.h>

#include <boost/asio/post.hpp>

#include "buffers/socket_errors.hpp"
#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kLargestHeader = 8 * 1024;
constexpr std::size_t kLargestDrain = 256 * 1024;  // read after the last answer, so that the client sees it
constexpr double kLinger = 1;                      // for which that is done
// For which a resting connection is read that was ended: what crosses its end comes within a round trip. Of
// clients that ask once and stay many are ended, and none of them closes its side.
constexpr double kRestLinger = 0.1;
constexpr double kDepartureCheck = 0.04;  // between two looks whether a client has gone that can't be read
constexpr double kUnread = 10;            // without a byte of its answer taken, after which a client is gone
constexpr double kReadsFirst = 0.02;      // until a late connection with unread bytes is looked at again
constexpr double kLastReads = 0.2;        // for which that goes on with half a request
constexpr double kArrival = 2.25;  // for a request to arrive, the first one from the connection's start

// A request without one plain length hides where the next one begins: two readers that go by different
// headers would pass on, as a request of its own, what stands in the body of another.
bool framed(const http::request<http::string_body>& request) {
  const auto lengths = request.count(http::field::content_length);
  const auto codings = request.count(http::field::transfer_encoding);
  return lengths + codings <= 1 &&
         (codings == 0 || boost::beast::iequals(request[http::field::transfer_encoding], "chunked"));
}

}  // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket, TimerQueue& due, Owner& owner, int id)
    : socket_(std::move(socket)),
      due_(due),
      owner_(owner),
      id_(id),
      due_key_(due.new_key()),
      since_(now()),
      opened_(since_),
      in_(2 * kLargestHeader),
      out_(kLargestBody + kLargestHeader) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  const auto peer = socket_.remote_endpoint(ignored).address();
  if (!ignored && peer.is_v4()) address_ = peer.to_v4().to_uint();
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  close_at(since_ + kArrival);
  read();
}

void ClientConnection::close_at(double at) {
  due_.schedule(due_key_, at, [weak = weak_from_this()](double) {
    if (const auto self = weak.lock()) self->late();
  });
}

// A connection that says nothing, or half a request, would hold its place for good. What is closed for that
// was never taken.
void ClientConnection::late() {
  const auto self = shared_from_this();
  if (half_read()) {
    const auto at = now();
    if (unread() && at < since_ + kArrival + kLastReads) return close_at(at + kReadsFirst);
    return refuse_half(Shut::half, 408, "the request did not arrive in time");
  }
  if (idle()) return close_idle(Shut::mute) ? void() : close_at(now() + kReadsFirst);
  close(state_ == State::lingering ? shut_ : Shut::unread);
}

bool ClientConnection::unread() const {
  boost::system::error_code error;
  return socket_.available(error) > 0 && !error;
}

// A close over unread bytes would reset the connection, and with it an answer that the client has yet to
// read.
bool ClientConnection::close_idle(Shut why) {
  if (unread()) return false;
  if (!served_) {
    close(why);
    return true;
  }
  shut_ = why;
  linger(kRestLinger);
  return true;
}

void ClientConnection::refuse_half(Shut why, int status, std::string_view text) {
  shut_ = why;
  fail(status, text);
}

// While its buffer is full of what it has sent ahead nothing more is read, so that its end can't be read
// either: a client that sends much at once and goes would have its parts sent on long after.
void ClientConnection::watch_departure() {
  due_.schedule(due_key_, now() + kDepartureCheck, [weak = weak_from_this()](double) {
    const auto self = weak.lock();
    if (!self || self->state_ != State::asked) return;
    if (self->departed()) return self->lost();
    self->watch_departure();
  });
}

bool ClientConnection::departed() {
  pollfd state{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

// A connection between two requests has no buffer: many clients ask once and keep theirs for good. What is
// there is waited for and then read, so that a read that brings less than there is leaves nothing unnoticed.
void ClientConnection::read() {
  if (reading_ || state_ == State::closed) return;
  if (in_.free() == 0) return state_ == State::asked ? watch_departure() : void();
  reading_ = true;
  in_.release();
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& error) {
    self->reading_ = false;
    if (self->state_ == State::closed) return;
    if (error) return self->lost();
    self->read_some();
  });
}

void ClientConnection::read_some() {
  if (state_ == State::closed) return;
  boost::system::error_code error;
  const auto count = socket_.read_some(in_.space(), error);
  if (is_lack_of_memory(error))
    return due_.schedule_once(now() + kRetryAfterLack, weak_from_this(), &ClientConnection::read);
  if (is_transient(error)) return read();
  if (error) return lost();
  in_.commit(count);
  take();
  read();
}

void ClientConnection::take() {
  if (state_ == State::lingering) {
    drained_ += in_.size();
    in_.consume(in_.size());
    if (drained_ > kLargestDrain) close(shut_);
    return;
  }
  while (state_ == State::reading && in_.size() > 0) {
    const auto before = in_.size();
    take_request();
    if (in_.size() == before) break;
  }
}

// Reads what is there as far as one request goes; the next one waits for the answer.
void ClientConnection::take_request() {
  if (!begun_) {
    begun_ = true;
    owner_.seen(*this, What::first_byte, now() - since_, 0);
    parser_.emplace();
    parser_->header_limit(kLargestHeader);
    parser_->body_limit(kLargestBody);
    parser_->eager(true);
    if (served_) {
      since_ = now();
      close_at(since_ + kArrival);
    }
  }
  boost::system::error_code error;
  in_.consume(parser_->put(in_.data(), error));
  if (error && error != http::error::need_more) {
    const auto status = error == http::error::body_limit     ? 413
                        : error == http::error::header_limit ? 431
                                                             : 400;
    return fail(status, error.message());
  }
  if (parser_->is_header_done() && !framed(parser_->get())) return fail(400, "the length is not plain");
  if (parser_->is_header_done() && !parser_->is_done() && !continued_ &&
      boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    continued_ = true;
    out_.put("HTTP/1.1 100 Continue\r\n\r\n");
    write();
  }
  if (!parser_->is_done()) {
    if (in_.free() == 0) fail(431, "header too large");
    return;
  }
  state_ = State::asked;
  due_.cancel(due_key_);
  owner_.seen(*this, What::request, now() - since_, 0);
  asked_at_ = now();
  keep_alive_ = parser_->keep_alive();
  const auto request = parser_->release();
  parser_.reset();
  if (refuses_rest_) return answer(503, "the router ends");
  owner_.asked(*this, request);
}

void ClientConnection::fail(int status, std::string_view why) {
  due_.cancel(due_key_);
  state_ = State::asked;
  asked_at_ = now();
  if (shut_ == Shut::by_client) shut_ = Shut::bad;
  keep_alive_ = false;
  answer(status, why);
}

void ClientConnection::answer(int status, std::string_view body, double retry_after) {
  if (state_ != State::asked) return;
  if (body.size() > kLargestBody) return fail(500, "the answer is too large");
  state_ = State::answering;
  status_ = status;
  // What was read behind this request is owed an answer too, though none of it is sent on any more.
  refuses_rest_ = keep_alive_ && !owner_.keeps() && in_.size() > 0;
  keep_alive_ = keep_alive_ && (owner_.keeps() || refuses_rest_);
  out_.put(answer_head(status, body.size(), keep_alive_, retry_after));
  out_.put(body);
  write();
}

// What follows the last byte comes later, never from within: the next request may stand behind this one, and
// whoever gives an answer must not be asked something meanwhile.
void ClientConnection::write() {
  if (writing_ || state_ == State::closed) return;
  boost::system::error_code error;
  while (out_.size() > 0 && !error) out_.consume(socket_.write_some(out_.data(), error));
  if (is_transient(error)) return await_writable();
  if (is_lack_of_memory(error))
    return due_.schedule_once(now() + kRetryAfterLack, weak_from_this(), &ClientConnection::write);
  if (!error && state_ != State::answering) return;
  writing_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this(), failed = bool(error)] {
    self->writing_ = false;
    if (self->state_ == State::closed) return;
    failed ? self->lost() : self->written();
  });
}

void ClientConnection::await_writable() {
  writing_ = true;
  close_at(now() + kUnread);
  socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const auto& error) {
    self->writing_ = false;
    if (self->state_ == State::closed) return;
    if (error) return self->lost();
    self->write();
  });
}

void ClientConnection::written() {
  out_.release();
  parser_.reset();
  due_.cancel(due_key_);
  begun_ = continued_ = false;
  served_ = true;
  ++answers_;
  since_ = now();
  owner_.seen(*this, What::answered, status_, since_ - asked_at_);
  if (keep_alive_) {
    state_ = State::reading;
    take();
    return read();
  }
  if (shut_ == Shut::by_client) shut_ = Shut::answered;
  linger(shut_ == Shut::room ? kRestLinger : kLinger);
}

// A connection closed with something unread in it is reset, and the answer may be lost with it. So it ends
// for writing first, and what still comes is thrown away until the client ends it too.
void ClientConnection::linger(double time) {
  state_ = State::lingering;
  in_.consume(in_.size());
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  close_at(now() + time);
  read();
}

void ClientConnection::lost() {
  if (state_ == State::asked) owner_.left(*this);
  close(shut_);
}

void ClientConnection::close(Shut why) {
  if (state_ == State::closed) return;
  shut_ = why;
  state_ = State::closed;
  due_.cancel(due_key_);
  boost::system::error_code ignored;
  socket_.close(ignored);
  owner_.closed(*this);
}

}  // namespace yoketurn
