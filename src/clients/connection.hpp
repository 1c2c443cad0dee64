// One client's HTTP connection: reads requests one at a time and writes the answers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "buffers/ring_buffer.hpp"
#include "clients/arrival_times.hpp"
#include "clients/http_messages.hpp"
#include "clients/request_parser.hpp"
#include "limits/memory_budget.hpp"
#include "queries/timer_queue.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Request = RequestParser::Request;

  // Receives what happens on the connection. Times are in seconds.
  class Owner {
   public:
    virtual ~Owner() = default;
    // received_at: when its last byte was received; a pipelined request has waited since then.
    virtual void request_received(ClientConnection& connection, const Request& request,
                                  double received_at) = 0;
    // The client disconnected while its request is unanswered.
    virtual void client_disconnected(ClientConnection& connection) = 0;
    virtual void connection_closed(ClientConnection& connection) = 0;
    // An event for the timeline; the meaning of a and b is described at What.
    virtual void connection_event(ClientConnection& connection, What what, double a, double b) = 0;
    virtual bool keeps_connections_open() const = 0;  // after an answer
  };

  ClientConnection(boost::asio::ip::tcp::socket socket, TimerQueue& timers, MemoryBudget& memory,
                   Owner& owner, int id);

  void start();
  // Answers the request that is pending; does nothing if there is none. retry_after: seconds, 0: no such
  // header.
  void answer(int status, std::string_view body, double retry_after = 0);
  void close(Shut why);
  // Ends an idle connection. Returns false and does nothing if its socket has unread bytes: they may be a
  // request, which has to be read first.
  bool close_idle(Shut why);
  // Answers a partially read request with an error and closes the connection after it.
  void reject_partial_request(Shut why, int status, std::string_view text);
  // Releases the memory of requests that can still be refused, or of an answer whose client doesn't read it.
  // False: it holds neither.
  bool release_memory();
  bool has_unread_bytes() const;  // in its socket
  // Between two requests: nothing of the next one has been read.
  bool idle() const { return state_ == State::reading && !parser_; }
  bool has_partial_request() const { return state_ == State::reading && parser_; }
  // Whether it holds requests that were sent ahead of a pending answer, more than the head of one.
  bool has_requests_ahead() const;
  // Whether its client has taken nothing of an answer for a while.
  bool has_unread_answer() const;
  bool has_answered() const { return has_answered_; }  // at least one request
  // When it began to wait for the first byte of a request, or for the rest of one.
  double waiting_since() const { return waiting_since_; }
  // When the last bytes were received from the client or taken by it.
  double last_progress_at() const { return last_progress_at_; }
  const MemoryBudget::Share& memory() const { return memory_; }
  int id() const { return id_; }
  std::uint32_t address() const { return address_; }   // IPv4, as a number
  Shut close_reason() const { return close_reason_; }  // valid once it is closed
  double opened_at() const { return opened_at_; }
  int answer_count() const { return answer_count_; }

 private:
  enum class State { reading, answer_pending, answering, lingering, closed };

  void read();
  void read_some();
  void process_input();
  void discard_input();
  bool read_ahead();
  void refuse_requests_ahead(std::size_t keep_bytes);
  void account_input();
  void update_memory();
  std::size_t memory_in_use() const;
  void parse_request();
  boost::system::error_code parse_input();
  void pass_on_request();
  void set_timeout(double at);
  void on_timeout();
  void answer_requests_ahead();
  void linger(double seconds);
  void reject(int status, std::string_view why);
  void write();
  void await_writable();
  void on_written();
  void on_connection_lost();

  boost::asio::ip::tcp::socket socket_;
  TimerQueue& timers_;
  Owner& owner_;
  int id_;
  TimerQueue::Key timer_key_;
  State state_ = State::reading;
  bool keep_alive_ = true;
  bool has_answered_ = false;
  bool reading_ = false;
  bool writing_ = false;
  bool rejects_pipelined_ = false;  // requests sent before the last answer get a 503 from now on
  // Behind the request that is being answered: so many whole requests are refused, the one in parser_ is, or
  // the input can't be read as requests.
  int refused_ahead_ = 0;
  bool refuses_partial_ = false;
  bool unreadable_ahead_ = false;
  bool continue_sent_ = false;  // the interim answer 100 Continue was sent for this request
  double waiting_since_ = 0;
  double last_progress_at_ = 0;
  double opened_at_ = 0;
  double request_at_ = 0;
  double parsed_received_at_ = 0;  // when the last byte that was parsed was received
  int answer_count_ = 0;
  std::uint32_t address_ = 0;
  Shut close_reason_ = Shut::by_client;
  int status_ = 0;                 // of the answer being written
  std::size_t drained_bytes_ = 0;  // discarded after the last answer
  RingBuffer in_, out_;
  ArrivalTimes arrival_times_;  // of the bytes in in_
  std::optional<RequestParser> parser_;
  MemoryBudget::Share memory_;
};

}  // namespace yoketurn
