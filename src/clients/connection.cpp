#include "clients/connection.hpp"

#include <boost/asio/post.hpp>

#include "buffers/read_into.hpp"
#include "buffers/socket_errors.hpp"
#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxHeaderBytes = 8 * 1024;
// Read from a client ahead of its answer; enough for one more request of any size, or some hundred small
// ones.
constexpr std::size_t kMaxInputBytes = kMaxBodyBytes + 2 * kMaxHeaderBytes;
// After the last answer of a connection its input is read and discarded, up to these limits: closing the
// socket with unread bytes would reset the connection, and the client might lose the answer.
constexpr std::size_t kMaxDrainBytes = 256 * 1024;
constexpr double kLingerSeconds = 1;
// The same for a connection closed while idle: a request that crosses the close arrives within a round trip.
// Kept short, as many clients send one request, leave their connection open and never close their side.
constexpr double kIdleLingerSeconds = 0.1;
constexpr double kWriteTimeoutSeconds = 10;  // without a byte of the answer accepted by the client
constexpr std::string_view kTooFarAhead = "too much was sent ahead of an answer";
constexpr double kUnreadAnswerSeconds = 0.25;  // after which an answer may be given up for lack of memory
constexpr double kUnreadRecheckSeconds =
    0.02;  // interval of checks on a timed out connection with unread bytes
constexpr double kPartialReadGraceSeconds = 0.2;  // how long a partial request with unread bytes is rechecked
// For a request to arrive, from its first byte on; the first one of a connection from the accept on.
constexpr double kRequestTimeoutSeconds = 2.25;

}  // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket, TimerQueue& timers, MemoryBudget& memory,
                                   Owner& owner, int id)
    : socket_(std::move(socket)),
      timers_(timers),
      owner_(owner),
      id_(id),
      timer_key_(timers.new_key()),
      waiting_since_(now()),
      last_progress_at_(waiting_since_),
      opened_at_(waiting_since_),
      in_(kMaxInputBytes),
      out_(kMaxBodyBytes + kMaxHeaderBytes),
      memory_(memory) {}

void ClientConnection::start() {
  boost::system::error_code ignored;
  const auto peer = socket_.remote_endpoint(ignored).address();
  if (!ignored && peer.is_v4()) address_ = peer.to_v4().to_uint();
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  set_timeout(waiting_since_ + kRequestTimeoutSeconds);
  read();
}

void ClientConnection::set_timeout(double at) {
  timers_.schedule(timer_key_, at, [weak = weak_from_this()](double) {
    if (const auto self = weak.lock()) self->on_timeout();
  });
}

// Closes a connection that stays silent or stops in the middle of a request, as it would hold its place
// forever. No query has been accepted on it at that point.
void ClientConnection::on_timeout() {
  const auto self = shared_from_this();
  if (has_partial_request()) {
    const auto at = now();
    if (has_unread_bytes() && at < waiting_since_ + kRequestTimeoutSeconds + kPartialReadGraceSeconds)
      return set_timeout(at + kUnreadRecheckSeconds);
    return reject_partial_request(Shut::half, 408, "the request did not arrive in time");
  }
  if (idle()) return close_idle(Shut::mute) ? void() : set_timeout(now() + kUnreadRecheckSeconds);
  close(state_ == State::lingering ? close_reason_ : Shut::unread);
}

bool ClientConnection::has_unread_bytes() const {
  boost::system::error_code error;
  return socket_.available(error) > 0 && !error;
}

// Closing a socket with unread bytes would reset the connection, and the client could lose an answer that it
// has not read yet.
bool ClientConnection::close_idle(Shut why) {
  if (has_unread_bytes()) return false;
  if (!has_answered_) {
    close(why);
    return true;
  }
  close_reason_ = why;
  linger(kIdleLingerSeconds);
  return true;
}

void ClientConnection::reject_partial_request(Shut why, int status, std::string_view text) {
  close_reason_ = why;
  reject(status, text);
}

// As every read follows a wait, a read that leaves bytes in the socket misses nothing. Many clients send one
// request and keep their connection open, so an idle connection holds no buffer.
void ClientConnection::read() {
  if (reading_ || state_ == State::closed) return;
  if (in_.free_space() == 0) return;  // it waits until its answer is taken
  reading_ = true;
  in_.release();
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& error) {
    self->reading_ = false;
    if (self->state_ == State::closed) return;
    if (error) return self->on_connection_lost();
    self->read_some();
  });
}

void ClientConnection::read_some() {
  if (state_ == State::closed) return;
  boost::system::error_code error;
  const auto count = read_into(in_, socket_, error);
  if (is_out_of_memory(error))
    return timers_.schedule_once(now() + kOutOfMemoryRetrySeconds, weak_from_this(), &ClientConnection::read);
  if (is_transient(error)) return read();
  if (error) return on_connection_lost();
  last_progress_at_ = now();
  arrival_times_.add(count, last_progress_at_);
  process_input();
  account_input();
  read();
}

std::size_t ClientConnection::memory_in_use() const {
  return in_.allocated() + out_.allocated() + (parser_ ? parser_->held_bytes() : 0);
}

// Of what a router holds, a request that has not arrived whole can be refused with the least loss.
void ClientConnection::account_input() {
  if (state_ == State::closed) return;
  in_.release();
  if (memory_.resize(memory_in_use())) return;
  release_memory();
  update_memory();
}

bool ClientConnection::release_memory() {
  if (has_partial_request()) {
    reject_partial_request(Shut::memory, 503, "no memory");
    return true;
  }
  if (has_unread_answer()) {
    close(Shut::memory);
    return true;
  }
  if (!has_requests_ahead()) return false;
  refuse_requests_ahead(0);
  in_.shrink();
  update_memory();
  return true;
}

bool ClientConnection::has_unread_answer() const {
  return state_ == State::answering && writing_ && out_.size() > 0 &&
         now() >= last_progress_at_ + kUnreadAnswerSeconds;
}

bool ClientConnection::has_requests_ahead() const {
  return (state_ == State::answer_pending || state_ == State::answering) && in_.size() > kMaxHeaderBytes;
}

void ClientConnection::update_memory() {
  memory_.set(state_ == State::closed ? 0 : memory_in_use());
}

void ClientConnection::discard_input() {
  arrival_times_.take(in_.size());
  in_.consume(in_.size());
}

void ClientConnection::process_input() {
  if (state_ == State::lingering) {
    drained_bytes_ += in_.size();
    discard_input();
    if (drained_bytes_ > kMaxDrainBytes) close(close_reason_);
    return;
  }
  while (state_ == State::reading && in_.size() > 0) {
    const auto before = in_.size();
    parse_request();
    if (in_.size() == before) break;
  }
  if (state_ == State::answer_pending && in_.free_space() == 0) refuse_requests_ahead(kMaxInputBytes / 2);
}

// Reads all that the client has sent behind a request, as far as there is room. Returns false if the end of
// the connection has come: the request is passed on for a client that is there.
bool ClientConnection::read_ahead() {
  boost::system::error_code error;
  while (in_.free_space() > 0) {
    const auto count = read_into(in_, socket_, error);
    if (error == asio::error::interrupted) continue;
    if (would_block(error) || is_out_of_memory(error)) break;
    if (error) {
      on_connection_lost();
      return false;
    }
    arrival_times_.add(count, now());
  }
  return true;
}

// The end of a connection stands behind all that the client has sent. While an answer is pending it has to be
// seen, so reading goes on: requests for which there is no room are refused, after that answer.
void ClientConnection::refuse_requests_ahead(std::size_t keep_bytes) {
  while (in_.size() > keep_bytes && !unreadable_ahead_) {
    const auto before = in_.size();
    if (!parser_) parser_.emplace(kMaxHeaderBytes, kMaxBodyBytes);
    parser_->discard_body();
    refuses_partial_ = true;
    if (parse_input() || (parser_->is_header_done() && !parser_->has_single_length())) {
      unreadable_ahead_ = true;
    } else if (parser_->is_done()) {
      ++refused_ahead_;
      parser_.reset();
      refuses_partial_ = false;
    } else if (in_.size() == before) {
      break;
    }
  }
  if (!unreadable_ahead_) return;
  parser_.reset();
  refuses_partial_ = false;
  discard_input();
}

// Parses the bytes of at most one request; the next one is parsed after the answer.
void ClientConnection::parse_request() {
  if (!parser_) {
    owner_.connection_event(*this, What::first_byte, now() - waiting_since_, 0);
    parser_.emplace(kMaxHeaderBytes, kMaxBodyBytes);
    if (has_answered_) {
      waiting_since_ = now();
      set_timeout(waiting_since_ + kRequestTimeoutSeconds);
    }
  }
  if (const auto error = parse_input()) {
    const auto status = error == http::error::body_limit     ? 413
                        : error == http::error::header_limit ? 431
                                                             : 400;
    return reject(status, error.message());
  }
  if (parser_->is_header_done() && !parser_->has_single_length())
    return reject(400, "the length is not plain");
  if (parser_->is_header_done() && !parser_->is_done() && !continue_sent_ && parser_->expects_continue()) {
    continue_sent_ = true;
    out_.append("HTTP/1.1 100 Continue\r\n\r\n");
    write();
  }
  if (parser_->is_done()) pass_on_request();
}

// Returns the error where the input can't be read as a request.
boost::system::error_code ClientConnection::parse_input() {
  boost::system::error_code error;
  const auto parsed = parser_->parse(in_.contiguous_data(), error);
  in_.consume(parsed);
  parsed_received_at_ = arrival_times_.take(parsed);
  return error == http::error::need_more ? boost::system::error_code() : error;
}

void ClientConnection::pass_on_request() {
  if (!read_ahead()) return;
  state_ = State::answer_pending;
  timers_.cancel(timer_key_);
  owner_.connection_event(*this, What::request, now() - waiting_since_, 0);
  request_at_ = now();
  keep_alive_ = parser_->keep_alive();
  const auto request = parser_->release();
  const auto refused = std::exchange(refuses_partial_, false) || in_.free_space() == 0;
  parser_.reset();
  if (rejects_pipelined_) return answer(503, "the router ends");
  if (refused) return answer(503, kTooFarAhead);
  owner_.request_received(*this, request, parsed_received_at_);
}

void ClientConnection::reject(int status, std::string_view why) {
  timers_.cancel(timer_key_);
  parser_.reset();
  refuses_partial_ = false;
  discard_input();
  in_.release();
  state_ = State::answer_pending;
  request_at_ = now();
  if (close_reason_ == Shut::by_client) close_reason_ = Shut::bad;
  keep_alive_ = false;
  answer(status, why);
}

void ClientConnection::answer(int status, std::string_view body, double retry_after) {
  if (state_ != State::answer_pending) return;
  if (body.size() > kMaxBodyBytes) return reject(500, "the answer is too large");
  state_ = State::answering;
  status_ = status;
  // Requests that were already read behind this one get an answer too, but none of them is served.
  const auto requests_behind = in_.size() > 0 || refused_ahead_ > 0 || refuses_partial_ || unreadable_ahead_;
  rejects_pipelined_ = keep_alive_ && !owner_.keeps_connections_open() && requests_behind;
  keep_alive_ = keep_alive_ && (owner_.keeps_connections_open() || rejects_pipelined_);
  out_.append(response_head(status, body.size(), keep_alive_, retry_after));
  out_.append(body);
  write();
  update_memory();
}

// on_written() is posted, never called from here: it may process the next pipelined request, and the caller
// that gives an answer must not be re-entered.
void ClientConnection::write() {
  if (writing_ || state_ == State::closed) return;
  boost::system::error_code error;
  while (out_.size() > 0 && !error) {
    const auto written = socket_.write_some(out_.data(), error);
    out_.consume(written);
    if (written > 0) last_progress_at_ = now();
  }
  out_.release();
  if (is_transient(error)) return await_writable();
  if (is_out_of_memory(error))
    return timers_.schedule_once(now() + kOutOfMemoryRetrySeconds, weak_from_this(),
                                 &ClientConnection::write);
  if (!error && state_ != State::answering) return;
  writing_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this(), failed = bool(error)] {
    self->writing_ = false;
    if (self->state_ == State::closed) return;
    failed ? self->on_connection_lost() : self->on_written();
  });
}

void ClientConnection::await_writable() {
  writing_ = true;
  set_timeout(now() + kWriteTimeoutSeconds);
  socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const auto& error) {
    self->writing_ = false;
    if (self->state_ == State::closed) return;
    if (error) return self->on_connection_lost();
    self->write();
  });
}

void ClientConnection::on_written() {
  if (!refuses_partial_) parser_.reset();
  update_memory();
  timers_.cancel(timer_key_);
  continue_sent_ = false;
  has_answered_ = true;
  ++answer_count_;
  waiting_since_ = now();
  owner_.connection_event(*this, What::answered, status_, waiting_since_ - request_at_);
  if (keep_alive_) {
    if (refused_ahead_ > 0 || unreadable_ahead_) return answer_requests_ahead();
    state_ = State::reading;
    if (parser_) set_timeout(waiting_since_ + kRequestTimeoutSeconds);
    process_input();
    account_input();
    return read();
  }
  if (close_reason_ == Shut::by_client) close_reason_ = Shut::answered;
  const auto makes_room = close_reason_ == Shut::room || close_reason_ == Shut::memory;
  linger(makes_room ? kIdleLingerSeconds : kLingerSeconds);
}

// One at a time, as the client takes them.
void ClientConnection::answer_requests_ahead() {
  state_ = State::answer_pending;
  request_at_ = waiting_since_;
  if (refused_ahead_ == 0) return reject(400, "the request can't be read");
  --refused_ahead_;
  answer(503, kTooFarAhead);
}

// Shuts down the sending side and discards further input until the client closes too or `seconds` are over. A
// plain close with unread input would reset the connection, and the client could lose the answer.
void ClientConnection::linger(double seconds) {
  state_ = State::lingering;
  parser_.reset();
  discard_input();
  boost::system::error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  set_timeout(now() + seconds);
  read();
}

void ClientConnection::on_connection_lost() {
  if (state_ == State::answer_pending) owner_.client_disconnected(*this);
  close(close_reason_);
}

void ClientConnection::close(Shut why) {
  if (state_ == State::closed) return;
  close_reason_ = why;
  state_ = State::closed;
  timers_.cancel(timer_key_);
  boost::system::error_code ignored;
  socket_.close(ignored);
  update_memory();
  owner_.connection_closed(*this);
}

}  // namespace yoketurn
