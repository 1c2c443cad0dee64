// Follows discovery: one connection that stays open and brings lists or changes to them as JSON objects, with
// an empty line as heartbeat between them. A watch that has fallen silent is opened anew soon enough that
// what it missed is here within the 6 s after which the protocol counts it as told; see kSilence in
// watch.cpp.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>

#include "buffers/ring.hpp"
#include "discovery/list.hpp"
#include "logging/log.hpp"
#include "queries/due.hpp"

namespace yoketurn {

class Watch {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void listed(const MemberList& list) = 0;
    virtual void watch_lost() = 0;
    virtual void watch_heard() = 0;                        // anything, be it a heartbeat
    virtual void passed_over(const MemberList& list) = 0;  // its count is not above the one held
    virtual void unusable() = 0;                           // a list that could not be read
  };

  Watch(boost::asio::io_context& context, TimerQueue& due, const boost::asio::ip::tcp::endpoint& agent,
        Log& log, Listener& listener);
  ~Watch();

  void start(std::optional<long long> known_version);
  void follow(const boost::asio::ip::tcp::endpoint& agent);  // in place of the one before, at once
  void ask_again() { follow(agent_); }                       // the whole list, on a new connection
  bool unread() const;                                       // whether words lie there that were not read yet

 private:
  struct Connection;

  void open();
  void await_word(double patience);
  void heard();
  void take_list(const boost::json::value& value);
  void take(const MemberList& list);
  void unusable(std::string_view why);
  void drop();
  void lost(std::string_view why);

  boost::asio::io_context& context_;
  TimerQueue& due_;
  boost::asio::ip::tcp::endpoint agent_;
  Log& log_;
  Listener& listener_;
  TimerQueue::Key due_key_;
  std::optional<long long> version_;
  std::shared_ptr<Connection> connection_;
  bool nonsense_ = false;  // the last list could not be used: the whole one is asked for again
  int failures_ = 0;       // connections in a row that did not last
  double opened_at_ = 0;
  bool heard_anything_ = false;  // on the connection that is open
};

}  // namespace yoketurn
