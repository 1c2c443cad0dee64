// The connections to all data nodes and the calls that are pending on them. All times are seconds of the
// monotonic clock (now() of queries/clock.hpp).
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "datanodes/connection.hpp"
#include "logging/log.hpp"

namespace yoketurn {

class ConnectionPool : private NodeConnection::Owner {
 public:
  // For the bytes of a written frame to reach the node's machine, and for its acknowledgement to arrive.
  static constexpr double kDeliverySeconds = 0.1;

  class Listener {
   public:
    virtual ~Listener() = default;
    // Called once for each call that was passed to send(). It may run inside of any function of the pool, so
    // it must not call the pool again.
    virtual void call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) = 0;
    virtual void connection_opened(int node, double connect_seconds) = 0;
    virtual void connection_closed(int node, Closing reason) = 0;
    virtual void load_requested(int node) = 0;
    virtual void load_reported(int node, std::string_view report, double requested_at) = 0;
    virtual void connection_limit_reached() = 0;  // no connection could be opened for a call
  };

  ConnectionPool(boost::asio::io_context& context, TimerQueue& timers, const NodeConnection::Limits& limits,
                 std::size_t max_connections, MemoryBudget& memory, Log& log, Listener& listener);
  ~ConnectionPool();

  // Sets the address and start time (0: long ago) of a node. Existing connections are retired if either
  // changes, or if the node is not `up`, which is to say, draining.
  void set_node(int node, const boost::asio::ip::tcp::endpoint& endpoint, double started_at, bool up);
  void retire_connections(int node);  // they take no new calls and close once none is pending
  bool has_connection(int node) const;
  // Queues a part until flush(). The parts of one group that are queued between two calls of flush() are sent
  // to the node as one call. The part ends with a timeout after `timeout` seconds. If its frame has not been
  // written completely within `send_timeout` seconds, it is never sent. If the node's machine has not
  // received all of a part kDeliverySeconds after its send timeout, its cancellation, the end of its query or
  // the retirement of its connection, the connection is closed: the part could be run at any time.
  void send(int node, int group, OutgoingPart part, double timeout, double send_timeout);
  void flush();
  void request_loads();  // one load report from each node with an open connection
  // Ends a call with this outcome and sends its node a cancellation; a call that was not sent is withdrawn.
  void cancel(const CallRef& ref, Outcome outcome);
  // Call when a query has ended or its client has disconnected: withdraws its calls whose frames were not
  // written completely. The others run on, unless their nodes have not received them yet or would read them
  // only after a handshake.
  void on_query_ended(long long query);
  std::size_t connection_count() const { return connection_count_; }

 private:
  struct Node {
    boost::asio::ip::tcp::endpoint endpoint;
    double started_at = 0;
    std::vector<std::shared_ptr<NodeConnection>> connections;
  };
  struct PendingCall {
    std::weak_ptr<NodeConnection> connection;
    std::string id;
    TimerQueue::Key timeout_timer = 0;
    TimerQueue::Key send_timer = 0;  // 0: none, as the send timeout is not shorter than the timeout
  };

  void withdraw(const CallRef& ref);
  void on_send_timeout(const CallRef& ref, double now);
  void take_back_if_unread(const std::shared_ptr<NodeConnection>& connection, std::uint64_t frame_end,
                           double now);
  void check_delivery_later(const std::shared_ptr<NodeConnection>& connection, std::uint64_t frame_end,
                            double now);
  void call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) override;
  void opened(NodeConnection& connection, double connect_seconds) override;
  void closed(NodeConnection& connection, Closing reason, std::string_view message) override;
  void load_reported(NodeConnection& connection, std::string_view report, double requested_at) override;
  std::shared_ptr<NodeConnection> connection_for(int node, std::span<const OutgoingPart> parts, double now);
  std::shared_ptr<NodeConnection> open(int node);
  void open_in_advance(int node);
  bool close_least_recently_used();  // of the idle connections; false: none is idle

  boost::asio::io_context& context_;
  TimerQueue& timers_;
  NodeConnection::Limits limits_;
  std::size_t max_connections_;
  MemoryBudget& memory_;
  Log& log_;
  Listener& listener_;
  std::vector<Node> nodes_;
  std::map<CallRef, PendingCall> pending_calls_;
  std::map<std::pair<int, int>, std::vector<OutgoingPart>> queued_parts_;  // by node and group, until flush()
  std::size_t connection_count_ = 0;
};

}  // namespace yoketurn
