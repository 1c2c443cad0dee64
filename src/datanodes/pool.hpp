// The connections to all data nodes, and the calls that are out on them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "datanodes/connection.hpp"
#include "logging/log.hpp"

namespace yoketurn {

class Pool : private NodeConnection::Owner {
 public:
  // Tells how a call has ended, once for each call; never from within one of the pool's own functions.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) = 0;
    virtual void connected(int node, double took) = 0;
    virtual void disconnected(int node, Closing closing) = 0;
    virtual void load_asked(int node) = 0;
    virtual void reported(int node, std::string_view report, double asked) = 0;
    virtual void no_room() = 0;  // for a connection
  };

  Pool(boost::asio::io_context& context, TimerQueue& due, const NodeConnection::Limits& limits,
       std::size_t most_connections, Log& log, Listener& listener);
  ~Pool();

  void locate(int node, const boost::asio::ip::tcp::endpoint& at, double born, bool up);
  void leave(int node);        // its connections are closed once no call is out on them
  bool holds(int node) const;  // a connection to it
  // Parts of one group that are given in one turn travel as one call. A part waits for its answer so long
  // (timeout), and if its frame has not begun to be written within `by` it never will be; seconds from now.
  void send(int node, int group, OutgoingPart part, double timeout, double by);
  void flush();
  void ask_loads();  // of each node with an open connection
  void give_up(const CallRef& ref, Outcome outcome);
  void drop_unsent(long long query);  // what has not begun to be written never will be
  std::size_t connections() const { return open_; }

 private:
  struct Node {
    boost::asio::ip::tcp::endpoint at;
    double born = 0;
    std::vector<std::shared_ptr<NodeConnection>> connections;
  };
  struct Out {
    std::weak_ptr<NodeConnection> connection;
    std::string id;
    TimerQueue::Key due = 0, by = 0;
  };

  void withdraw(const CallRef& ref);
  void ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) override;
  void opened(NodeConnection& connection, double took) override;
  void closed(NodeConnection& connection, Closing closing, std::string_view why) override;
  void reported(NodeConnection& connection, std::string_view report, double asked) override;
  std::shared_ptr<NodeConnection> connection_for(int node, std::span<const OutgoingPart> parts, double now);
  std::shared_ptr<NodeConnection> open(int node);
  void open_ahead(int node);
  bool make_room();

  boost::asio::io_context& context_;
  TimerQueue& due_;
  NodeConnection::Limits limits_;
  std::size_t most_connections_;
  Log& log_;
  Listener& listener_;
  std::vector<Node> nodes_;
  std::map<CallRef, Out> out_;
  std::map<std::pair<int, int>, std::vector<OutgoingPart>> turn_;  // by node and group
  std::size_t open_ = 0;
};

}  // namespace yoketurn
