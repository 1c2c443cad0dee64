// One client's connection: requests in, one at a time, and answers out.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "buffers/ring.hpp"
#include "clients/bodies.hpp"
#include "queries/due.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  class Owner {
   public:
    virtual ~Owner() = default;
    virtual void asked(ClientConnection& connection, const Request& request) = 0;
    virtual void left(ClientConnection& connection) = 0;  // the client, with a request in hand
    virtual void closed(ClientConnection& connection) = 0;
    virtual void seen(ClientConnection& connection, What what, double a, double b) = 0;
    virtual bool keeps() const = 0;  // whether connections stay open after an answer
  };

  ClientConnection(boost::asio::ip::tcp::socket socket, TimerQueue& due, Owner& owner, int id);

  void start();
  void answer(int status, std::string_view body, double retry_after = 0);
  void close(Shut why);
  // Ends a connection that is idle. False: a request may lie unread in its socket, it has to be read instead.
  bool close_idle(Shut why);
  // Answers half a request with an error, the last of its connection.
  void refuse_half(Shut why, int status, std::string_view text);
  bool unread() const;  // whether bytes lie in its socket
  // Between two requests: nothing of a request has been read.
  bool idle() const { return state_ == State::reading && !begun_; }
  bool half_read() const { return state_ == State::reading && begun_; }
  bool served() const { return served_; }  // has had an answer
  double since() const { return since_; }  // when it came to wait for a request, or for the rest of one
  int id() const { return id_; }
  std::uint32_t address() const { return address_; }  // IPv4, as a number
  Shut shut() const { return shut_; }                 // why it was closed
  double opened() const { return opened_; }
  int answers() const { return answers_; }

 private:
  enum class State { reading, asked, answering, lingering, closed };

  void read();
  void read_some();
  void take();
  void take_request();
  void close_at(double at);
  void late();
  void watch_departure();
  bool departed();
  void linger(double time);
  void fail(int status, std::string_view why);
  void write();
  void await_writable();
  void written();
  void lost();

  boost::asio::ip::tcp::socket socket_;
  TimerQueue& due_;
  Owner& owner_;
  int id_;
  TimerQueue::Key due_key_;
  State state_ = State::reading;
  bool begun_ = false;
  bool keep_alive_ = true;
  bool served_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool refuses_rest_ = false;  // requests that were sent ahead of the last answer are not served any more
  bool continued_ = false;     // a client that asked whether to send its body has been told to
  double since_ = 0;
  double opened_ = 0;
  double asked_at_ = 0;
  int answers_ = 0;
  std::uint32_t address_ = 0;
  Shut shut_ = Shut::by_client;
  int status_ = 0;
  std::size_t drained_ = 0;  // read and thrown away after the last answer
  Ring in_, out_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
};

}  // namespace yoketurn
