// Follows discovery over one HTTP connection that stays open. Its body is a sequence of JSON objects, full
// member lists or changes to them, with an empty line as a heartbeat in between. A watch that has fallen
// silent is opened again soon enough that what it missed arrives within the 6 s after which the protocol
// counts it as reported; see kSilenceTimeoutSeconds in watch.cpp.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>

#include "buffers/ring_buffer.hpp"
#include "discovery/list.hpp"
#include "logging/log.hpp"
#include "queries/timer_queue.hpp"

namespace yoketurn {

class DiscoveryWatch {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void list_received(const MemberList& list) = 0;
    virtual void watch_lost() = 0;  // the connection was closed; the next one is opened after a delay
    virtual void watch_data_received() = 0;  // a list, changes or a heartbeat
    // Changes with a version that is not above the current one; they are ignored.
    virtual void stale_list_received(const MemberList& list) = 0;
    virtual void list_unusable() = 0;  // a list could not be parsed; the full list is requested again
  };

  DiscoveryWatch(boost::asio::io_context& context, TimerQueue& timers,
                 const boost::asio::ip::tcp::endpoint& agent, Log& log, Listener& listener);
  ~DiscoveryWatch();

  // Starts to follow the agent, from the version after the known one. nullopt: with the full list.
  void start(std::optional<long long> known_version);
  // Closes the connection and follows another agent, starting with its full list.
  void switch_to(const boost::asio::ip::tcp::endpoint& agent);
  // Requests the full list from the same agent, on a new connection.
  void request_full_list() { switch_to(agent_); }
  bool has_unread_data() const;  // in a socket

 private:
  struct Connection;

  void open();
  void start_silence_timer(double timeout);
  void data_received();
  void list_progressed();
  void process_list(const boost::json::value& value);
  void accept_list(const MemberList& list);
  void reject_list(Connection& connection, std::string_view why);
  static void disconnect(std::shared_ptr<Connection>& connection);
  void use(Connection& connection);
  void connection_failed(Connection& connection, std::string_view why);
  void lose_connection(std::string_view why);
  void on_silence();
  void reopen_later(std::string_view why);

  boost::asio::io_context& context_;
  TimerQueue& timers_;
  boost::asio::ip::tcp::endpoint agent_;
  Log& log_;
  Listener& listener_;
  TimerQueue::Key timer_key_;         // silence timeout, or the delay until the connection is opened again
  std::optional<long long> version_;  // of the last list or changes; nullopt: the full list is requested
  std::shared_ptr<Connection> connection_;
  std::shared_ptr<Connection> unanswered_;  // the one before it, without any data so far
  bool awaits_full_list_ = false;  // after an unusable list, changes are ignored until a full list arrives
  int failures_ = 0;               // consecutive connections that failed early
  double opened_at_ = 0;
  bool received_data_ = false;  // on the current connection
};

}  // namespace yoketurn
