// Accepts clients and holds their connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_map>

#include "clients/connection.hpp"
#include "logging/log.hpp"

namespace yoketurn {

class Listener : private ClientConnection::Owner {
 public:
  // What is asked, by connection; an answer may be given at once or later.
  class Asker {
   public:
    virtual ~Asker() = default;
    virtual void asked(int connection, const ClientConnection::Request& request) = 0;
    virtual void left(int connection) = 0;
    // What goes on at the door, as events of the time line.
    virtual void door(What what, std::uint8_t why, int connection, std::uint32_t address, double a,
                      double b) = 0;
  };

  // From room_from connections on, each new one has one that waits for a request closed for it.
  Listener(boost::asio::io_context& context, TimerQueue& due, std::size_t most_connections,
           std::size_t room_from, Log& log, Asker& asker);
  ~Listener();

  void open(const boost::asio::ip::tcp::endpoint& at);  // throws if it can't listen there
  boost::asio::ip::tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  void answer(int connection, int status, std::string_view body, double retry_after = 0);
  void wind_down();   // answers are the last of their connections from here on
  void close_idle();  // between two requests
  void stop();        // accepts what the kernel has taken, then no more
  // Whether an answer has not been written, or read by its client, or a request may lie unread.
  bool owes() const;
  std::size_t connections() const { return connections_.size(); }

 private:
  void asked(ClientConnection& connection, const ClientConnection::Request& request) override;
  void left(ClientConnection& connection) override;
  void closed(ClientConnection& connection) override;
  void seen(ClientConnection& connection, What what, double a, double b) override;
  bool keeps() const override { return !winding_down_; }

  void await_client();
  void accept();
  void accept_at(double at);
  void admit(boost::asio::ip::tcp::socket socket);
  void make_room();

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  TimerQueue& due_;
  TimerQueue::Key due_key_;
  std::size_t most_connections_;
  std::size_t room_from_;
  Log& log_;
  Asker& asker_;
  bool awaiting_ = false;
  bool at_bound_ = false;  // nothing is accepted until a connection ends or can make room
  bool winding_down_ = false;
  int last_id_ = 0;
  std::unordered_map<int, std::shared_ptr<ClientConnection>> connections_;
};

}  // namespace yoketurn
