// One TCP connection to a data node. Many calls share it: parts are sent as frames, and answers, which name
// their part, arrive in any order. All times are seconds of the monotonic clock (now() of queries/clock.hpp).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "buffers/ring_buffer.hpp"
#include "datanodes/frames.hpp"
#include "limits/memory_budget.hpp"
#include "queries/timer_queue.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

// Identifies a call: the query, the index of the part in it and the index of the call of this part.
struct CallRef {
  long long query = 0;
  int leaf = 0;
  int call = 0;
  auto operator<=>(const CallRef&) const = default;
};

// A part that is to be sent to a node. Its frame is built when the socket can take it.
struct OutgoingPart {
  CallRef ref;
  std::string id;  // names the part on the wire
  int shard = 0;
  std::string options;  // appended to the deadline in the part's line, such as ",k=5c0f"
  std::shared_ptr<const std::string> text;
  double expires_at = 0;     // the answer is useless from then on; the node is sent the time left until then
  double send_deadline = 0;  // a part whose frame has not been written completely by then is never sent
};

class NodeConnection : public std::enable_shared_from_this<NodeConnection> {
 public:
  struct Limits {
    std::size_t max_parts = 1;  // without an answer, cancelled ones included
    std::size_t max_parts_per_call = 1;
    double connect_timeout = 0;  // seconds
    double idle_timeout = 0;     // seconds after which the node closes an idle connection
    bool probes_allowed = false;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    // Called once for each part that was passed to send(), unless it was cancelled or withdrawn.
    virtual void call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) = 0;
    virtual void opened(NodeConnection& connection, double connect_seconds) = 0;
    virtual void closed(NodeConnection& connection, Closing reason, std::string_view message) = 0;
    virtual void load_reported(NodeConnection& connection, std::string_view report, double requested_at) = 0;
  };

  // `node` is the index of the node; it is only returned by node().
  NodeConnection(boost::asio::io_context& context, TimerQueue& timers, const Limits& limits,
                 MemoryBudget& memory, Owner& owner, int node);

  void open(const boost::asio::ip::tcp::endpoint& endpoint);
  // Whether these parts can be sent on this connection.
  bool can_send(std::span<const OutgoingPart> parts, double now) const;
  // Sends the parts as one call, in one frame, as soon as the connection is up and the socket has room.
  // Until the node is heard only the first call is written, and a probe if others wait behind it, where
  // probes are allowed. They wait for that, for connect_timeout at most, and end as `unsent` then.
  void send(std::vector<OutgoingPart> parts, double now);
  // Sends the node a cancellation. The owner isn't notified of this call any more; an answer that still
  // arrives is dropped. Returns true if this made the connection retire: it takes no new calls from now on.
  bool cancel(const std::string& id);
  // Withdraws a part. Returns true if its frame was not written completely, and never will be: the node can't
  // run it, and the owner isn't notified of it any more.
  bool withdraw(const std::string& id);
  // Takes no new calls and closes as soon as none is pending. Parts whose frames were not written completely
  // end as `unsent`.
  void retire();
  // Closes the connection; what the node's machine has not received yet is never sent. Pending calls whose
  // frame was written completely end with the outcome `written`; all others can't have run and end with
  // `unwritten`.
  void close(Closing reason, std::string_view message, Outcome written = Outcome::disconnected,
             Outcome unwritten = Outcome::unreachable);
  // The position of the end of this part's frame in all bytes written; 0: it was not written completely.
  std::uint64_t frame_end(const std::string& id) const;
  std::uint64_t written_bytes() const { return written_bytes_; }
  // Whether the node's machine has not acknowledged all bytes up to this position: they may still arrive at
  // any time until the connection is closed.
  bool is_undelivered(std::uint64_t frame_end);
  // Requests a load report of the node. False: it can't be requested now, or an earlier request is still
  // pending.
  bool request_load(double now);

  int node() const { return node_; }
  bool idle() const { return pending_calls_.empty(); }
  double last_used() const { return last_used_; }
  // Whether the first call was written and the node has sent nothing yet: it may still be in its handshake.
  bool awaits_first_answer() const { return first_call_written_at_ > 0 && !heard(); }
  // Call when a written part is not wanted any more. A node in its handshake would read the part after it,
  // with the cancellation only behind it: if the node isn't heard soon the connection is closed. A node whose
  // handshake is over is heard, as it answers a probe, where probes are allowed. When the connection is
  // closed the call that was written ends as `cancelled`, those that wait as `unsent`.
  void close_unless_heard_soon();

 private:
  enum class State { created, connecting, open, closed };
  struct PendingCall {
    CallRef ref;
    double sent_at = 0;           // when it was passed to send()
    std::uint64_t frame_end = 0;  // see frame_end()

    bool written() const { return frame_end > 0; }
  };
  // The call whose frame the socket has taken only in part; the rest is at the head of send_buffer_.
  struct PartialFrame {
    std::size_t bytes_left = 0;
    double complete_by = 0;  // its rest is not written from then on
    std::vector<OutgoingPart> parts;
  };

  void on_connected(const boost::system::error_code& error);
  void wait_readable();
  void read_available();
  bool read_some();  // whether there may be more to read
  void process_received_frames();
  std::size_t memory_in_use() const;
  std::size_t readable_bytes();            // for which there is memory
  bool process_frame(const Frame& frame);  // false: the frame is malformed or unexpected
  void write();
  bool write_buffered();
  bool write_next_call();
  bool write_some(std::string_view bytes, std::size_t& written);
  void wait_writable();
  void write_after_reads();
  void write_failed(const boost::system::error_code& error);
  void drop_expired_parts(double now);
  std::string encode_call(std::span<const OutgoingPart> parts, double now) const;
  void mark_written(std::span<const OutgoingPart> parts, std::uint64_t frame_end);
  bool kernel_has_sent_all();
  bool heard() const { return last_received_ > 0; }
  bool has_unread_bytes() const;
  bool is_reception_stalled(double now) const;
  void probe_once();
  void close_if_unheard();
  void end_queued_calls_if_unheard();
  bool is_partially_written(const std::string& id) const;
  void abandon_partial_frame();
  void end_as_unsent(std::vector<OutgoingPart> parts);
  void end_queued_calls();
  void close_malformed() {
    close(Closing::spoilt, "malformed or unexpected frame", Outcome::malformed, Outcome::unsent);
  }
  void update_partial_frame_timer();
  void close_or_start_idle_timer();  // if no call is pending
  void set_timer(double at);

  boost::asio::ip::tcp::socket socket_;
  TimerQueue& timers_;
  Limits limits_;
  Owner& owner_;
  int node_;
  TimerQueue::Key timer_key_;  // connect timeout, idle timeout or timeout of a partially received frame
  State state_ = State::created;
  bool retired_ = false;
  bool frame_abandoned_ = false;  // a frame was left incomplete: nothing can be written behind it
  bool waits_writable_ = false;
  bool read_lacked_memory_ = false;  // the last read failed because there was no memory for it
  double last_used_ = 0;             // last send or receive
  double last_received_ = 0;         // 0: the node has sent nothing yet
  double connect_started_at_ = 0;
  double connected_at_ = 0;
  double first_call_written_at_ = 0;  // 0: none was
  bool probe_sent_ = false;
  bool probe_pending_ = false;    // sent and not answered
  double load_requested_at_ = 0;  // 0: no report is pending
  std::uint64_t written_bytes_ = 0;
  RingBuffer receive_buffer_, send_buffer_;
  std::deque<std::vector<OutgoingPart>> queued_calls_;  // no byte of them was written
  PartialFrame partial_frame_;
  std::unordered_map<std::string, PendingCall> pending_calls_;  // by the part's id
  std::unordered_set<std::string> cancelled_ids_;               // their answers may still arrive
  std::size_t cancelled_id_bytes_ = 0;
  std::string last_answered_id_;
  bool partially_received_ = false;  // receive_buffer_ has the beginning of a frame
  MemoryBudget::Share memory_;
};

}  // namespace yoketurn
