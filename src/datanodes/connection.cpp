#include "datanodes/connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <iterator>

#include "buffers/socket_errors.hpp"
#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;

namespace {

constexpr double kLoadPatience = 2;           // until a node that sent no load report is asked again
constexpr std::size_t kMostReads = 16;        // of one connection before other work goes on
constexpr std::size_t kMostLastReads = 1024;  // of what lies in a socket that can't be written any more

}  // namespace

NodeConnection::NodeConnection(asio::io_context& context, TimerQueue& due, const Limits& limits, Owner& owner,
                               int node)
    : socket_(context),
      due_(due),
      limits_(limits),
      owner_(owner),
      node_(node),
      due_key_(due.new_key()),
      in_(kLargestFrame),
      outgoing_(kLargestFrame * limits.parts_a_call) {}

void NodeConnection::open(const asio::ip::tcp::endpoint& at) {
  state_ = State::connecting;
  last_used_ = opened_at_ = now();
  touch_due(last_used_ + limits_.connect_timeout);
  socket_.async_connect(at, [self = shared_from_this()](const auto& error) { self->on_open(error); });
}

void NodeConnection::on_open(const boost::system::error_code& error) {
  if (state_ != State::connecting) return;
  if (error)
    return close(Closing::refused, error.message(), Outcome::disconnected,
                 is_local_lack(error) ? Outcome::unsent : Outcome::unreachable);
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  state_ = State::open;
  last_used_ = last_heard_ = now();
  owner_.opened(*this, last_used_ - opened_at_);
  await_readable();
  write();
}

void NodeConnection::touch_due(double at) {
  due_.schedule(due_key_, at, [weak = weak_from_this()](double now) {
    const auto self = weak.lock();
    if (!self) return;
    boost::system::error_code ignored;
    if (self->state_ == State::connecting) {
      self->close(Closing::timed_out, "connect timeout");
    } else if (self->half_ && self->socket_.available(ignored) > 0) {
      self->touch_due(now + self->limits_.connect_timeout);  // the router is behind, not the node
    } else if (self->half_) {
      self->spoilt();
    } else if (self->idle()) {
      self->close(Closing::idle, "idle");
    }
  });
}

// A frame that stops halfway, or whose length is too long, would swallow the answers behind it. A whole one
// takes no longer than a connection does to come up.
void NodeConnection::await_rest() {
  const auto half = in_.size() > 0;
  if (half == half_) return;
  half_ = half;
  if (half) {
    touch_due(last_heard_ + limits_.connect_timeout);
  } else if (!idle()) {
    due_.cancel(due_key_);
  }
}

bool NodeConnection::takes(std::span<const OutgoingPart> parts, double now) const {
  if (state_ == State::closed || retired_) return false;
  // What is written to a connection that the node is about to close for being idle ends as a reset.
  if (idle() && state_ == State::open && now >= last_used_ + limits_.idle_timeout - limits_.connect_timeout)
    return false;
  if (out_.size() + given_up_.size() + parts.size() > limits_.parts) return false;
  // An answer names the part, not the call: an earlier call of the same part must not be on this connection.
  return std::none_of(parts.begin(), parts.end(), [&](const OutgoingPart& part) {
    return out_.contains(part.id) || given_up_.contains(part.id);
  });
}

void NodeConnection::send(std::vector<OutgoingPart> parts, double now) {
  for (const auto& part : parts) out_[part.id] = {part.ref, now, false};
  waiting_.push_back(std::move(parts));
  last_used_ = now;
  if (state_ == State::open) due_.cancel(due_key_);
  write();
}

// --- writing
//
// Whether a call can have run is decided by the bytes that the kernel has taken, so they are written without
// a completion handler: one that is still queued when a read reports the end of the connection would leave a
// call that has gone out looking as if it had not. Frames of calls are built when the socket has room for
// them and not before: what waits can be taken back, and the deadline in it is that of the moment.

void NodeConnection::write() {
  if (state_ != State::open || awaits_writable_) return;
  while (write_buffered() && write_next_call()) {
  }
  if (state_ == State::open) settle();
}

// True: nothing is left in outgoing_.
bool NodeConnection::write_buffered() {
  while (outgoing_.size() > 0) {
    const auto head = outgoing_.data()[0];
    std::size_t written = 0;
    if (!write_some({static_cast<const char*>(head.data()), head.size()}, written)) return false;
    outgoing_.consume(written);
    if (cut_frame_.bytes_left == 0) continue;
    cut_frame_.bytes_left -= std::min(cut_frame_.bytes_left, written);
    if (cut_frame_.bytes_left > 0) continue;
    for (const auto& id : std::exchange(cut_frame_.ids, {})) mark_written(id);
  }
  outgoing_.release();
  return true;
}

// True: the whole frame is written, and the next call may follow.
bool NodeConnection::write_next_call() {
  const auto at = now();
  drop_expired(at);
  if (waiting_.empty()) return false;
  const auto frame = frame_of(waiting_.front(), at);
  std::size_t written = 0;
  if (!write_some(frame, written)) return false;
  const auto call = std::move(waiting_.front());
  waiting_.pop_front();
  if (written == frame.size()) {
    for (const auto& part : call) mark_written(part.id);
    return true;
  }
  outgoing_.put(std::string_view(frame).substr(written));
  cut_frame_ = {frame.size() - written, {}};
  for (const auto& part : call) cut_frame_.ids.push_back(part.id);
  unwanted_.clear();
  return write_buffered();
}

// False: not a byte was taken; the write goes on later or the connection is closed.
bool NodeConnection::write_some(std::string_view bytes, std::size_t& written) {
  boost::system::error_code error;
  do {
    written = socket_.write_some(asio::buffer(bytes), error);
  } while (error == asio::error::interrupted);
  if (!error) return true;
  if (is_not_ready(error)) {
    await_writable();
  } else if (is_lack_of_memory(error)) {
    // This machine's lack, not the node's: the call waits, as it does for a full socket.
    due_.schedule_once(now() + kRetryAfterLack, weak_from_this(), &NodeConnection::write);
  } else {
    write_failed(error);
  }
  return false;
}

void NodeConnection::await_writable() {
  awaits_writable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const auto& error) {
    self->awaits_writable_ = false;
    if (self->state_ != State::open || error == asio::error::operation_aborted) return;
    self->write();
  });
}

// The node may have answered before its end of the connection was reset: those answers still lie in the
// socket.
void NodeConnection::write_failed(const boost::system::error_code& error) {
  for (std::size_t reads = 0; reads < kMostLastReads && read_some(); ++reads) {
  }
  close(Closing::broken, error.message());
}

// Of the calls that are next, until one has a part that is in time. A router that was held up finds a
// connection up, or a socket free again, before it looks at the clock.
void NodeConnection::drop_expired(double now) {
  const auto in_time = [now](const OutgoingPart& part) { return now < part.send_by; };
  while (!waiting_.empty()) {
    auto& call = waiting_.front();
    const auto first_late = std::stable_partition(call.begin(), call.end(), in_time);
    std::vector<OutgoingPart> late(std::make_move_iterator(first_late), std::make_move_iterator(call.end()));
    call.erase(first_late, call.end());
    const auto any_left = !call.empty();
    if (!any_left) waiting_.pop_front();
    end_unsent(std::move(late));
    if (any_left) return;
  }
}

void NodeConnection::end_unsent(std::vector<OutgoingPart> parts) {
  for (const auto& part : parts) out_.erase(part.id);
  for (const auto& part : parts) owner_.ended(part.ref, Outcome::unsent, 0, {});
}

std::string NodeConnection::frame_of(std::span<const OutgoingPart> parts, double now) const {
  std::vector<PartText> texts;
  for (const auto& part : parts) {
    const auto milliseconds = std::max(static_cast<long long>((part.expires - now) * 1e3), 1LL);
    texts.push_back({part.id, part.shard, fmt::format("d={}{}", milliseconds, part.options), *part.text});
  }
  return call_frame(texts);
}

void NodeConnection::mark_written(const std::string& id) {
  if (const auto call = out_.find(id); call != out_.end()) call->second.written = true;
}

// --- reading

void NodeConnection::await_readable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& error) {
    if (self->state_ != State::open) return;
    if (error) return self->close(Closing::broken, error.message());
    self->read_available();
  });
}

void NodeConnection::read_available() {
  lacks_memory_ = false;
  for (std::size_t reads = 0; reads < kMostReads && read_some(); ++reads) {
  }
  if (state_ != State::open) return;
  if (!lacks_memory_) return await_readable();
  due_.schedule_once(now() + kRetryAfterLack, weak_from_this(), &NodeConnection::read_available);
}

bool NodeConnection::read_some() {
  if (state_ != State::open) return false;
  boost::system::error_code error;
  const auto count = socket_.read_some(in_.space(), error);
  if (error == asio::error::interrupted) return true;
  if (is_not_ready(error) || is_lack_of_memory(error)) {
    lacks_memory_ = is_lack_of_memory(error);
    in_.release();  // a connection that rests has no buffer
    return false;
  }
  if (error) {
    close(Closing::broken, error.message());
    return false;
  }
  in_.commit(count);
  last_used_ = last_heard_ = now();
  take_frames();
  return state_ == State::open;
}

void NodeConnection::take_frames() {
  Frame frame;
  for (;;) {
    const auto state = take_frame(in_, frame);
    if (state == FrameState::incomplete) break;
    if (state == FrameState::broken || !take(frame)) return spoilt();
    if (state_ != State::open) return;
  }
  // Nothing is owed on it: what has come will only stand in the way of the next answer.
  if (in_.size() > 0 && idle() && load_asked_ <= 0) return spoilt();
  await_rest();
  in_.release();
}

bool NodeConnection::take(const Frame& frame) {
  if (frame.letter == 'H') return true;  // the answer to a probe, which is not sent
  if (frame.letter == 'M') {
    if (load_asked_ > 0) owner_.reported(*this, frame.rest, std::exchange(load_asked_, 0));
    return true;
  }
  if (frame.letter != 'R') return false;
  const auto answer = read_answer(frame.rest);
  if (!answer) return false;
  // Behind a length that is too short stands the rest of the value, where a frame should begin. Noise behind
  // a good answer looks the same: rather send that part again than serve half a value.
  if (!may_begin_frame(in_)) return false;
  const std::string id(answer->id);
  const auto at = out_.find(id);
  // A name that is not known says that the answer which was due is not to be had.
  if (at == out_.end()) return given_up_.erase(id) > 0 || id == answered_;
  const auto ref = at->second.ref;
  out_.erase(at);
  answered_ = id;
  owner_.ended(ref, answer->outcome, answer->score, answer->value);
  settle();
  return true;
}

bool NodeConnection::give_up(const std::string& id) {
  const auto call = out_.find(id);
  if (call == out_.end()) return false;
  // Where the other machine has vanished, or the way to it, its connections stay open and silent, and swallow
  // each new call for as long as the module waits, which then takes the node for silent too. A new connection
  // comes up or tells soon that it won't; to a node that is merely slow it costs a handshake.
  const auto silent = last_heard_ < call->second.sent;
  out_.erase(call);
  given_up_.insert(id);
  // An answer that is never to come would hold its place for good: with half of the places lost the
  // connection makes way for a new one.
  const auto leaves = !retired_ && (silent || 2 * given_up_.size() > limits_.parts);
  retired_ = retired_ || leaves;
  if (leaves) end_waiting();
  const auto frame = give_up_frame(id);
  if (state_ == State::open) outgoing_.put(frame);
  write();
  if (state_ == State::open) settle();
  return leaves;
}

bool NodeConnection::unsend(const std::string& id) {
  for (auto call = waiting_.begin(); call != waiting_.end(); ++call) {
    const auto part = std::find_if(call->begin(), call->end(), [&](const auto& p) { return p.id == id; });
    if (part == call->end()) continue;
    call->erase(part);
    if (call->empty()) waiting_.erase(call);
    out_.erase(id);
    settle();
    return true;
  }
  if (std::find(cut_frame_.ids.begin(), cut_frame_.ids.end(), id) == cut_frame_.ids.end()) return false;
  unwanted_.insert(id);
  const auto alone = std::all_of(out_.begin(), out_.end(),
                                 [this](const auto& call) { return unwanted_.contains(call.first); });
  if (alone) close(Closing::retired, "its only call was given up");
  return false;
}

bool NodeConnection::ask_load(double now) {
  if (state_ != State::open || retired_ || (load_asked_ > 0 && now < load_asked_ + kLoadPatience))
    return false;
  const auto frame = yoketurn::frame('M', "");
  if (!outgoing_.put(frame)) return false;
  load_asked_ = now;
  write();
  return true;
}

void NodeConnection::retire() {
  retired_ = true;
  end_waiting();
  settle();
}

void NodeConnection::end_waiting() {
  std::vector<OutgoingPart> unsent;
  for (auto& call : std::exchange(waiting_, {}))
    std::move(call.begin(), call.end(), std::back_inserter(unsent));
  end_unsent(std::move(unsent));
}

void NodeConnection::settle() {
  if (state_ != State::open || !idle() || half_) return;
  if (retired_) return close(Closing::retired, "retired");
  touch_due(last_used_ + limits_.idle_timeout - limits_.connect_timeout);
}

void NodeConnection::close(Closing closing, std::string_view why, Outcome written, Outcome unwritten) {
  if (state_ == State::closed) return;
  state_ = State::closed;
  due_.cancel(due_key_);
  boost::system::error_code ignored;
  socket_.close(ignored);
  waiting_.clear();
  const auto self = shared_from_this();
  for (const auto& [id, call] : std::exchange(out_, {}))
    owner_.ended(call.ref, call.written ? written : unwritten, 0, {});
  owner_.closed(*this, closing, why);
}

}  // namespace yoketurn
