#include "datanodes/connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <iterator>

#include "buffers/read_into.hpp"
#include "buffers/socket_errors.hpp"
#include "datanodes/send_queue.hpp"
#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;

namespace {

constexpr double kLoadReportTimeoutSeconds = 2;  // a report that is still missing is then requested again
// For a node to be heard after a part on a new connection was given up; less than the protocol's slack.
constexpr double kHandshakeGraceSeconds = 0.04;
// Between two pieces of a received frame; after a longer one the rest is not expected to arrive.
constexpr double kMaxFrameGapSeconds = 0.02;
// From building a frame to its last byte: the time left that it tells the node is out of date by as much.
constexpr double kMaxFrameAgeSeconds = 0.1;
constexpr std::size_t kSmallReadBytes = 2 * 1024;  // where there is no memory for more
constexpr std::size_t kCancelledIdBytes = 64;      // of an entry of cancelled_ids_, beside the id
constexpr std::size_t kMaxReadsPerTurn = 16;  // of one connection, before the event loop goes on with others
constexpr std::size_t kMaxFinalReads = 1024;  // of what a socket still holds after a write to it has failed

double earliest_send_deadline(std::span<const OutgoingPart> parts) {
  const auto earliest = std::min_element(parts.begin(), parts.end(), [](const auto& a, const auto& b) {
    return a.send_deadline < b.send_deadline;
  });
  return earliest->send_deadline;
}

}  // namespace

NodeConnection::NodeConnection(asio::io_context& context, TimerQueue& timers, const Limits& limits,
                               MemoryBudget& memory, Owner& owner, int node)
    : socket_(context),
      timers_(timers),
      limits_(limits),
      owner_(owner),
      node_(node),
      timer_key_(timers.new_key()),
      receive_buffer_(kMaxFrameBytes),
      send_buffer_(kMaxFrameBytes * limits.max_parts_per_call),
      memory_(memory) {}

void NodeConnection::open(const asio::ip::tcp::endpoint& endpoint) {
  state_ = State::connecting;
  last_used_ = connect_started_at_ = now();
  set_timer(last_used_ + limits_.connect_timeout);
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const auto& error) { self->on_connected(error); });
}

void NodeConnection::on_connected(const boost::system::error_code& error) {
  if (state_ != State::connecting) return;
  if (error)
    return close(Closing::refused, error.message(), Outcome::disconnected,
                 is_local_resource_error(error) ? Outcome::unsent : Outcome::unreachable);
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  state_ = State::open;
  last_used_ = connected_at_ = now();
  owner_.opened(*this, connected_at_ - connect_started_at_);
  wait_readable();
  write_after_reads();
}

void NodeConnection::set_timer(double at) {
  timers_.schedule(timer_key_, at, [weak = weak_from_this()](double now) {
    const auto self = weak.lock();
    if (!self) return;
    if (self->state_ == State::connecting) {
      self->close(Closing::timed_out, "connect timeout");
    } else if (self->partially_received_ && self->has_unread_bytes()) {
      // The rest of the frame may be among the unread bytes.
      self->set_timer(now + self->limits_.connect_timeout);
    } else if (self->partially_received_) {
      self->close_malformed();
    } else if (self->idle()) {
      self->close(Closing::idle, "idle");
    }
  });
}

// A frame that the node never completes, or whose length field is too large, would swallow the answers that
// follow. The time allowed for the rest of a frame is that for a connection to be established.
void NodeConnection::update_partial_frame_timer() {
  const auto partially_received = receive_buffer_.size() > 0;
  if (partially_received == partially_received_) return;
  partially_received_ = partially_received;
  if (partially_received) {
    set_timer(last_received_ + limits_.connect_timeout);
  } else if (!idle()) {
    timers_.cancel(timer_key_);
  }
}

bool NodeConnection::can_send(std::span<const OutgoingPart> parts, double now) const {
  if (state_ == State::closed || retired_) return false;
  // The node is about to close the idle connection: what is written to it now would end with a reset.
  if (idle() && state_ == State::open && now >= last_used_ + limits_.idle_timeout - limits_.connect_timeout)
    return false;
  if (awaits_first_answer() && now >= first_call_written_at_ + limits_.connect_timeout) return false;
  if (is_reception_stalled(now)) return false;
  if (pending_calls_.size() + cancelled_ids_.size() + parts.size() > limits_.max_parts) return false;
  // An answer names the part, not the call, so two calls of one part can't share a connection.
  return std::none_of(parts.begin(), parts.end(), [&](const OutgoingPart& part) {
    return pending_calls_.contains(part.id) || cancelled_ids_.contains(part.id);
  });
}

// An answer that breaks off takes in those behind it, and ends the connection: a call that is sent now would
// be lost with it.
bool NodeConnection::is_reception_stalled(double now) const {
  return partially_received_ && now >= last_received_ + kMaxFrameGapSeconds && !has_unread_bytes();
}

void NodeConnection::send(std::vector<OutgoingPart> parts, double now) {
  for (const auto& part : parts) pending_calls_[part.id] = {part.ref, now, 0};
  queued_calls_.push_back(std::move(parts));
  last_used_ = now;
  if (state_ == State::open) timers_.cancel(timer_key_);
  write();
}

// --- writing
//
// Whether a call may have run is decided by the bytes that the kernel has taken. So writes are made directly,
// without a completion handler: if one were still queued when a read reports the end of the connection, a
// call that was sent would look unsent. The frame of a call is built only when the socket has room for it:
// until then the call can be withdrawn, and the time left that the node is sent is current.
//
// A node reads nothing before its handshake is over, and then all that was written meanwhile, a part before
// its cancellation. So only one call is written to a connection before the node is heard on it: to take it
// back ends no other call, and those that wait behind it can be withdrawn. The answer to a probe shows that
// the handshake is over long before the answer to the call may come.
//
// What the kernel has taken can't be taken back but by closing the connection, with the calls of others on
// it. So no call is written while the kernel holds bytes for a node that takes nothing: at most one frame
// waits there.
//
// A node runs a part once the last byte of its frame has arrived. So a frame of which a full socket has taken
// only the beginning can still be withdrawn: its rest is never written. No other frame can follow it then.

void NodeConnection::write() {
  if (state_ != State::open || waits_writable_ || frame_abandoned_) return;
  while (write_buffered() && write_next_call()) {
  }
  if (state_ == State::open) close_or_start_idle_timer();
}

// Returns true if send_buffer_ is empty.
bool NodeConnection::write_buffered() {
  while (send_buffer_.size() > 0) {
    if (partial_frame_.bytes_left > 0 && now() >= partial_frame_.complete_by) {
      abandon_partial_frame();
      return false;
    }
    const auto head = send_buffer_.data()[0];
    std::size_t written = 0;
    if (!write_some({static_cast<const char*>(head.data()), head.size()}, written)) return false;
    send_buffer_.consume(written);
    if (partial_frame_.bytes_left == 0) continue;
    const auto of_frame = std::min(partial_frame_.bytes_left, written);
    partial_frame_.bytes_left -= of_frame;
    if (partial_frame_.bytes_left == 0)
      mark_written(std::exchange(partial_frame_.parts, {}), written_bytes_ - (written - of_frame));
  }
  send_buffer_.release();
  memory_.set(memory_in_use());
  return true;
}

// Returns true if a whole frame was written, so that the next call may follow.
bool NodeConnection::write_next_call() {
  const auto at = now();
  drop_expired_parts(at);
  if (queued_calls_.empty()) return false;
  if (awaits_first_answer()) {
    probe_once();
    return false;
  }
  if (!kernel_has_sent_all()) return false;
  const auto frame = encode_call(queued_calls_.front(), at);
  std::size_t written = 0;
  if (!write_some(frame, written)) return false;
  if (!heard()) {
    first_call_written_at_ = at;
    timers_.schedule_once(at + limits_.connect_timeout, weak_from_this(),
                          &NodeConnection::end_queued_calls_if_unheard);
  }
  auto call = std::move(queued_calls_.front());
  queued_calls_.pop_front();
  if (written == frame.size()) {
    mark_written(call, written_bytes_);
    return true;
  }
  send_buffer_.append(std::string_view(frame).substr(written));
  const auto complete_by = std::min(earliest_send_deadline(call), at + kMaxFrameAgeSeconds);
  partial_frame_ = {frame.size() - written, complete_by, std::move(call)};
  if (!memory_.resize(memory_in_use())) {
    abandon_partial_frame();
    return false;
  }
  return write_buffered();
}

// Returns false if no byte was taken: the write is retried later, or the connection is closed.
bool NodeConnection::write_some(std::string_view bytes, std::size_t& written) {
  boost::system::error_code error;
  do {
    written = socket_.write_some(asio::buffer(bytes), error);
  } while (error == asio::error::interrupted);
  written_bytes_ += written;
  if (!error) return true;
  if (would_block(error)) {
    wait_writable();
  } else if (is_out_of_memory(error)) {
    // A shortage on this machine says nothing about the node: the call waits, as it does for a full socket.
    timers_.schedule_once(now() + kOutOfMemoryRetrySeconds, weak_from_this(), &NodeConnection::write);
  } else {
    write_failed(error);
  }
  return false;
}

void NodeConnection::wait_writable() {
  waits_writable_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](const auto& error) {
    self->waits_writable_ = false;
    if (self->socket_.is_open())
      set_writable_when(self->socket_.native_handle(), WritableWhen::room_in_send_buffer);
    if (error != asio::error::operation_aborted) self->write_after_reads();
  });
}

// Returns false if the kernel holds bytes that it couldn't send; the next call is written once it has.
bool NodeConnection::kernel_has_sent_all() {
  const auto handle = socket_.native_handle();
  if (unsent_bytes(handle) == 0 || !set_writable_when(handle, WritableWhen::all_sent)) return true;
  wait_writable();
  return false;
}

// Writes what has waited once the event loop has passed on what other sockets have brought: after a hold-up
// of the router a client may have left whose parts are waiting here.
void NodeConnection::write_after_reads() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->write(); });
}

// Reads the answers that the node sent before it reset the connection; they are still in the socket.
void NodeConnection::write_failed(const boost::system::error_code& error) {
  for (std::size_t reads = 0; reads < kMaxFinalReads && read_some(); ++reads) {
  }
  close(Closing::broken, error.message());
}

// Drops the expired parts at the head of the queue, up to the first call that has a part left. After a
// standstill of the router the connection may come up, or the socket become writable, before the timers of
// these parts run.
void NodeConnection::drop_expired_parts(double now) {
  const auto in_time = [now](const OutgoingPart& part) { return now < part.send_deadline; };
  while (!queued_calls_.empty()) {
    auto& call = queued_calls_.front();
    const auto first_late = std::stable_partition(call.begin(), call.end(), in_time);
    std::vector<OutgoingPart> late(std::make_move_iterator(first_late), std::make_move_iterator(call.end()));
    call.erase(first_late, call.end());
    const auto any_left = !call.empty();
    if (!any_left) queued_calls_.pop_front();
    end_as_unsent(std::move(late));
    if (any_left) return;
  }
}

bool NodeConnection::is_partially_written(const std::string& id) const {
  return std::any_of(partial_frame_.parts.begin(), partial_frame_.parts.end(),
                     [&](const OutgoingPart& part) { return part.id == id; });
}

// Leaves the partially written frame incomplete, so that the node can't run any of its parts. The connection
// still reads the answers to the calls that were written, and closes after the last one.
void NodeConnection::abandon_partial_frame() {
  frame_abandoned_ = retired_ = true;
  send_buffer_.consume(send_buffer_.size());
  send_buffer_.release();
  memory_.set(memory_in_use());
  end_as_unsent(std::exchange(partial_frame_, {}).parts);
  end_queued_calls();
}

// Parts that have ended already are passed over.
void NodeConnection::end_as_unsent(std::vector<OutgoingPart> parts) {
  std::erase_if(parts, [this](const auto& part) { return pending_calls_.erase(part.id) == 0; });
  for (const auto& part : parts) owner_.call_ended(part.ref, Outcome::unsent, 0, {});
}

std::string NodeConnection::encode_call(std::span<const OutgoingPart> parts, double now) const {
  std::vector<PartRequest> requests;
  for (const auto& part : parts) {
    const auto milliseconds_left = std::max(static_cast<long long>((part.expires_at - now) * 1e3), 1LL);
    requests.push_back(
        {part.id, part.shard, fmt::format("d={}{}", milliseconds_left, part.options), *part.text});
  }
  return encode_call_frame(requests);
}

void NodeConnection::mark_written(std::span<const OutgoingPart> parts, std::uint64_t frame_end) {
  for (const auto& part : parts)
    if (const auto call = pending_calls_.find(part.id); call != pending_calls_.end())
      call->second.frame_end = frame_end;
}

std::uint64_t NodeConnection::frame_end(const std::string& id) const {
  const auto call = pending_calls_.find(id);
  return call == pending_calls_.end() ? 0 : call->second.frame_end;
}

bool NodeConnection::is_undelivered(std::uint64_t frame_end) {
  return state_ == State::open && frame_end + unacknowledged_bytes(socket_.native_handle()) > written_bytes_;
}

// --- reading

// Whether the socket holds bytes that the event loop hasn't come to: the router is late, not the node.
bool NodeConnection::has_unread_bytes() const {
  boost::system::error_code ignored;
  return socket_.available(ignored) > 0;
}

void NodeConnection::wait_readable() {
  socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& error) {
    if (self->state_ != State::open) return;
    if (error) return self->close(Closing::broken, error.message());
    self->read_available();
  });
}

void NodeConnection::read_available() {
  read_lacked_memory_ = false;
  for (std::size_t reads = 0; reads < kMaxReadsPerTurn && read_some(); ++reads) {
  }
  if (state_ != State::open) return;
  if (!read_lacked_memory_) return wait_readable();
  timers_.schedule_once(now() + kOutOfMemoryRetrySeconds, weak_from_this(), &NodeConnection::read_available);
}

bool NodeConnection::read_some() {
  if (state_ != State::open) return false;
  const auto most = readable_bytes();
  if (most == 0) {
    read_lacked_memory_ = true;
    return false;
  }
  boost::system::error_code error;
  read_into(receive_buffer_, socket_, error, most);
  if (error == asio::error::interrupted) return true;
  if (would_block(error) || is_out_of_memory(error)) {
    read_lacked_memory_ = is_out_of_memory(error);
    receive_buffer_.release();  // no memory is kept for a connection without traffic
    memory_.set(memory_in_use());
    return false;
  }
  if (error) {
    close(Closing::broken, error.message());
    return false;
  }
  const auto first_heard = !heard();
  last_used_ = last_received_ = now();
  process_received_frames();
  memory_.set(state_ == State::closed ? 0 : memory_in_use());
  if (first_heard) write();
  return state_ == State::open;
}

void NodeConnection::process_received_frames() {
  Frame frame;
  for (;;) {
    const auto status = decode_frame(receive_buffer_, frame);
    if (status == FrameStatus::incomplete) break;
    if (status == FrameStatus::malformed || !process_frame(frame)) return close_malformed();
    if (state_ != State::open) return;
  }
  // No answer is pending: these bytes belong to none and would corrupt the next one.
  const auto expects_bytes = !idle() || load_requested_at_ > 0 || probe_pending_;
  if (receive_buffer_.size() > 0 && !expects_bytes) return close_malformed();
  update_partial_frame_timer();
  receive_buffer_.release();
}

// Where memory is short, small answers are still read, and the rest waits in the socket.
std::size_t NodeConnection::readable_bytes() {
  for (const auto bytes : {kMaxReadBytes, kSmallReadBytes})
    if (memory_.resize(memory_in_use() + bytes)) return bytes;
  return 0;
}

std::size_t NodeConnection::memory_in_use() const {
  return receive_buffer_.allocated() + send_buffer_.allocated() + cancelled_id_bytes_;
}

bool NodeConnection::process_frame(const Frame& frame) {
  if (frame.type != 'R' && !is_printable_ascii(frame.payload)) return false;  // it takes in the next frame
  if (frame.type == 'H') {
    probe_pending_ = false;
    return true;
  }
  if (frame.type == 'M') {
    if (load_requested_at_ > 0)
      owner_.load_reported(*this, frame.payload, std::exchange(load_requested_at_, 0));
    return true;
  }
  if (frame.type != 'R') return false;
  const auto answer = parse_part_answer(frame.payload);
  if (!answer) return false;
  // If the length field was too small, the rest of the value follows where the next frame should begin.
  // Invalid bytes after a correct answer look the same: it is better to send that part again than to return
  // half a value.
  if (!can_start_frame(receive_buffer_)) return false;
  const std::string id(answer->id);
  const auto pending = pending_calls_.find(id);
  // An answer to an unknown part means that the node garbled the id of one that is pending, whose answer will
  // never arrive.
  if (pending == pending_calls_.end()) {
    const auto cancelled = cancelled_ids_.erase(id) > 0;
    if (cancelled) cancelled_id_bytes_ -= kCancelledIdBytes + id.size();
    return cancelled || id == last_answered_id_;
  }
  const auto ref = pending->second.ref;
  pending_calls_.erase(pending);
  last_answered_id_ = id;
  owner_.call_ended(ref, answer->outcome, answer->score, answer->value);
  close_or_start_idle_timer();
  return true;
}

bool NodeConnection::cancel(const std::string& id) {
  const auto pending = pending_calls_.find(id);
  if (pending == pending_calls_.end()) return false;
  // If the node's machine or the network path to it has vanished, its connections stay open but silent. Each
  // new call on them would be lost until its timeout, and the routing policy would take the node itself for
  // silent. A new connection is established or fails soon; if the node is only slow, this costs one
  // handshake.
  const auto silent = std::max(last_received_, connected_at_) < pending->second.sent_at;
  pending_calls_.erase(pending);
  cancelled_ids_.insert(id);
  cancelled_id_bytes_ += kCancelledIdBytes + id.size();
  memory_.set(memory_in_use());
  // A cancelled part whose answer never arrives occupies a slot for good: once that holds for more than half
  // of the slots, a new connection replaces this one.
  const auto retires = !retired_ && (silent || 2 * cancelled_ids_.size() > limits_.max_parts);
  retired_ = retired_ || retires;
  if (retires) end_queued_calls();
  const auto frame = encode_cancel_frame(id);
  if (state_ == State::open && !frame_abandoned_) send_buffer_.append(frame);
  write();
  if (state_ == State::open) close_or_start_idle_timer();
  close_unless_heard_soon();
  return retires;
}

void NodeConnection::close_unless_heard_soon() {
  if (state_ != State::open || !awaits_first_answer()) return;
  probe_once();
  timers_.schedule_once(now() + kHandshakeGraceSeconds, weak_from_this(), &NodeConnection::close_if_unheard);
}

// Asks the node to say something: it answers as soon as its handshake is over.
void NodeConnection::probe_once() {
  if (probe_sent_ || !limits_.probes_allowed || frame_abandoned_) return;
  if (!send_buffer_.append(encode_probe_frame())) return;
  probe_sent_ = probe_pending_ = true;
  if (!waits_writable_) write_buffered();
}

void NodeConnection::close_if_unheard() {
  if (state_ != State::open || heard() || has_unread_bytes()) return;
  close(Closing::retired, "the node was not heard after its first call was given up", Outcome::cancelled,
        Outcome::unsent);
}

void NodeConnection::end_queued_calls_if_unheard() {
  if (state_ != State::open || heard() || has_unread_bytes()) return;
  end_queued_calls();
}

bool NodeConnection::withdraw(const std::string& id) {
  for (auto call = queued_calls_.begin(); call != queued_calls_.end(); ++call) {
    const auto part = std::find_if(call->begin(), call->end(), [&](const auto& p) { return p.id == id; });
    if (part == call->end()) continue;
    call->erase(part);
    if (call->empty()) queued_calls_.erase(call);
    pending_calls_.erase(id);
    close_or_start_idle_timer();
    return true;
  }
  if (!is_partially_written(id)) return false;
  pending_calls_.erase(id);
  abandon_partial_frame();
  close_or_start_idle_timer();
  return true;
}

bool NodeConnection::request_load(double now) {
  if (state_ != State::open || retired_ ||
      (load_requested_at_ > 0 && now < load_requested_at_ + kLoadReportTimeoutSeconds))
    return false;
  const auto frame = encode_frame('M', "");
  if (!send_buffer_.append(frame)) return false;
  load_requested_at_ = now;
  write();
  return true;
}

void NodeConnection::retire() {
  retired_ = true;
  end_queued_calls();
  if (partial_frame_.bytes_left > 0) abandon_partial_frame();
  close_or_start_idle_timer();
}

void NodeConnection::end_queued_calls() {
  std::vector<OutgoingPart> unsent;
  for (auto& call : std::exchange(queued_calls_, {}))
    std::move(call.begin(), call.end(), std::back_inserter(unsent));
  end_as_unsent(std::move(unsent));
}

void NodeConnection::close_or_start_idle_timer() {
  if (state_ != State::open || !idle() || partially_received_) return;
  if (retired_)
    return close(Closing::retired,
                 frame_abandoned_ ? "a part was withdrawn while its frame was partially written" : "retired");
  // Closed before the node does it: see can_send.
  set_timer(last_used_ + limits_.idle_timeout - limits_.connect_timeout);
}

void NodeConnection::close(Closing reason, std::string_view message, Outcome written, Outcome unwritten) {
  if (state_ == State::closed) return;
  state_ = State::closed;
  timers_.cancel(timer_key_);
  boost::system::error_code ignored;
  // An orderly close would still send what the kernel holds: parts that nobody waits for.
  if (unacknowledged_bytes(socket_.native_handle()) > 0)
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  queued_calls_.clear();
  memory_.set(0);
  const auto self = shared_from_this();
  for (const auto& [id, call] : std::exchange(pending_calls_, {}))
    owner_.call_ended(call.ref, call.written() ? written : unwritten, 0, {});
  owner_.closed(*this, reason, message);
}

}  // namespace yoketurn
