// Accepts clients' connections and owns them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

#include "clients/connection.hpp"
#include "logging/log.hpp"

namespace yoketurn {

class ClientListener : private ClientConnection::Owner {
 public:
  // Handles the requests, by connection number; the answer may be given at once or later.
  class RequestHandler {
   public:
    virtual ~RequestHandler() = default;
    virtual void request_received(int connection, const ClientConnection::Request& request,
                                  double received_at) = 0;
    virtual void client_disconnected(int connection) = 0;  // while its request is unanswered
    // Events of the client ingress for the timeline; the figures are described at What.
    virtual void ingress_event(What what, std::uint8_t why, int connection, std::uint32_t address, double a,
                               double b) = 0;
  };

  // From make_room_from connections on, one connection that waits for a request is closed for each new one,
  // but none that has only just connected while there are less than max_connections.
  ClientListener(boost::asio::io_context& context, TimerQueue& timers, MemoryBudget& memory,
                 std::size_t max_connections, std::size_t make_room_from, Log& log, RequestHandler& handler);
  ~ClientListener();

  void open(const boost::asio::ip::tcp::endpoint& endpoint);  // throws if it can't listen there
  boost::asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void answer(int connection, int status, std::string_view body, double retry_after = 0);
  void close_after_answers();  // closes each connection after its next answer
  void close_idle();           // closes the connections that are between two requests
  void stop();                 // accepts the connections that wait in the kernel's queue, then no more
  // Whether a request is unanswered or may be unread, or an answer is not yet written or read by its client.
  bool has_unfinished_work() const;
  std::size_t connections() const { return connections_.size(); }
  // Releases the memory of the unfinished request that has been without a new byte for longest, which is
  // refused, or else that of requests ahead of an answer, or of an answer that is not read. False: only the
  // asking connection holds such.
  bool release_memory(const MemoryBudget::Share& asking);

 private:
  enum class Rank { idle_for_long, late_request, idle, just_connected };
  enum class Ranks { all, except_new };
  // made: a connection was closed or is being closed. unread: each that could be closed may have a request.
  enum class RoomResult { made, unread, none };

  void request_received(ClientConnection& connection, const ClientConnection::Request& request,
                        double received_at) override;
  void client_disconnected(ClientConnection& connection) override;
  void connection_closed(ClientConnection& connection) override;
  void connection_event(ClientConnection& connection, What what, double a, double b) override;
  bool keeps_connections_open() const override { return !closing_after_answers_; }

  void wait_for_client();
  void accept();
  void accept_later(double at);
  void admit(boost::asio::ip::tcp::socket socket);
  static Rank rank_of(const ClientConnection& connection, double now);
  RoomResult make_room(Ranks ranks);
  void log_if_ended_by_router(const ClientConnection& connection);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  TimerQueue& timers_;
  TimerQueue::Key timer_key_;
  MemoryBudget& memory_;
  std::size_t max_connections_;
  std::size_t make_room_from_;
  Log& log_;
  RequestHandler& handler_;
  bool accept_pending_ = false;
  bool at_limit_ = false;  // nothing is accepted until a connection ends or becomes idle
  bool closing_after_answers_ = false;
  int last_id_ = 0;
  std::unordered_map<int, std::shared_ptr<ClientConnection>> connections_;
};

}  // namespace yoketurn
