// One connection to a data node: calls out, answers in. Many calls share it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "buffers/ring.hpp"
#include "datanodes/frames.hpp"
#include "queries/due.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

// Which call of which part of which query.
struct CallRef {
  long long query = 0;
  int leaf = 0;
  int call = 0;
  auto operator<=>(const CallRef&) const = default;
};

// One sub-request, until its frame is built. Times are seconds of the monotonic clock.
struct OutgoingPart {
  CallRef ref;
  std::string id;
  int shard = 0;
  std::string options;  // what its list holds behind the deadline, such as ",k=5c0f"
  std::shared_ptr<const std::string> text;
  double expires = 0;  // when its answer is of no use any more; the node is told what is left until then
  double send_by = 0;  // if its frame has not begun to be written by then, it never will be
};

class NodeConnection : public std::enable_shared_from_this<NodeConnection> {
 public:
  struct Limits {
    std::size_t parts = 1;  // at once
    std::size_t parts_a_call = 1;
    double connect_timeout = 0;
    double idle_timeout = 0;
  };

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) = 0;
    virtual void opened(NodeConnection& connection, double took) = 0;
    virtual void closed(NodeConnection& connection, Closing closing, std::string_view why) = 0;
    virtual void reported(NodeConnection& connection, std::string_view report, double asked) = 0;
  };

  NodeConnection(boost::asio::io_context& context, TimerQueue& due, const Limits& limits, Owner& owner,
                 int node);

  void open(const boost::asio::ip::tcp::endpoint& at);
  bool takes(std::span<const OutgoingPart> parts, double now) const;
  void send(std::vector<OutgoingPart> parts, double now);
  // The call is told of no more. Answers to it that still come are dropped.
  bool give_up(const std::string& id);  // whether the connection takes no new calls from now on
  // Takes back a part. True: no byte of its frame was written, and none will be. A frame that was cut off by
  // a full socket can't be taken back alone: the connection is closed once nothing else is out on it.
  bool unsend(const std::string& id);
  // Takes no new calls, is closed once none is out. Parts of which no byte was written end as `unsent`.
  void retire();
  // Ends it: a call of which the last byte was written has the one outcome, any other cannot have run.
  void close(Closing closing, std::string_view why, Outcome written = Outcome::disconnected,
             Outcome unwritten = Outcome::unreachable);
  bool ask_load(double now);  // for the node's load report; whether it could be asked

  int node() const { return node_; }
  bool idle() const { return out_.empty(); }
  double last_used() const { return last_used_; }

 private:
  enum class State { fresh, connecting, open, closed };
  struct Call {
    CallRef ref;
    double sent = 0;
    bool written = false;  // the kernel has taken the last byte of its frame
  };
  // The call whose frame the socket has taken a part of; the rest stands at the head of outgoing_.
  struct CutFrame {
    std::size_t bytes_left = 0;
    std::vector<std::string> ids;
  };

  void on_open(const boost::system::error_code& error);
  void await_readable();
  void read_available();
  bool read_some();  // whether there may be more to read
  void take_frames();
  void write();
  bool write_buffered();
  bool write_next_call();
  bool write_some(std::string_view bytes, std::size_t& written);
  void await_writable();
  void write_failed(const boost::system::error_code& error);
  void drop_expired(double now);
  std::string frame_of(std::span<const OutgoingPart> parts, double now) const;
  void mark_written(const std::string& id);
  void end_unsent(std::vector<OutgoingPart> parts);
  void end_waiting();
  bool take(const Frame& frame);
  void spoilt() { close(Closing::spoilt, "unusable frame", Outcome::malformed, Outcome::unsent); }
  void await_rest();
  void settle();  // after a call has ended: closes or waits idle
  void touch_due(double at);

  boost::asio::ip::tcp::socket socket_;
  TimerQueue& due_;
  Limits limits_;
  Owner& owner_;
  int node_;
  TimerQueue::Key due_key_;
  State state_ = State::fresh;
  bool retired_ = false;
  bool awaits_writable_ = false;
  bool lacks_memory_ = false;  // the last read found none for its bytes
  double last_used_ = 0;
  double last_heard_ = 0;
  double opened_at_ = 0;
  double load_asked_ = 0;  // 0: no report is due
  Ring in_, outgoing_;
  std::deque<std::vector<OutgoingPart>> waiting_;  // calls of which no byte was written
  CutFrame cut_frame_;
  std::unordered_set<std::string> unwanted_;  // parts of it that would be taken back if they could be
  std::unordered_map<std::string, Call> out_;
  std::unordered_set<std::string> given_up_;  // whose answers may still come
  std::string answered_;                      // the last one
  bool half_ = false;                         // a frame has begun to come
};

}  // namespace yoketurn
