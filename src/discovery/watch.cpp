#include "discovery/watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/json/stream_parser.hpp>
#include <cctype>
#include <utility>

#include "buffers/socket_errors.hpp"
#include "discovery/list_progress.hpp"
#include "queries/clock.hpp"
#include "settings/settings.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr double kHeartbeatIntervalSeconds = 2;  // of the protocol: an empty line is sent that often
// By the protocol, what a silent watch missed counts as reported 6 s after the last data on it. Within this
// time the silence must be noticed, and up to three new connections may be needed: one that hangs, one that
// is closed at once and one that responds slowly.
constexpr double kSilenceTimeoutSeconds = kHeartbeatIntervalSeconds + 0.75;
// For the first data on a new connection and for the delay before the next one is opened: by the number of
// consecutive failures, the last value for all further ones.
constexpr std::array<double, 3> kFirstDataTimeoutSeconds{1, 2, 3};
constexpr std::array<double, 5> kReopenDelaySeconds{0.01, 0.05, 0.1, 0.25, 0.5};
constexpr double kStableConnectionSeconds = 1;  // a connection that lasted longer doesn't count as a failure
constexpr double kUnreadDataRecheckSeconds =
    0.01;  // if the silence timer runs while data is unread in the socket
constexpr std::size_t kMaxListBytes = 4 << 20;  // some 20,000 entries
constexpr double kMaxListSeconds = 60;  // from the first byte of a list to its last; 3,200 entries at 7 kB/s
constexpr std::size_t kWatchBufferBytes = 64 * 1024;

template <std::size_t size>
double by_failures(const std::array<double, size>& values, int failures) {
  return values[std::min(static_cast<std::size_t>(std::max(failures, 0)), size - 1)];
}

}  // namespace

// One HTTP connection to the agent. Its pending handlers keep it alive; `watch` is reset when the watch has
// given it up.
struct DiscoveryWatch::Connection : std::enable_shared_from_this<DiscoveryWatch::Connection> {
  Connection(asio::io_context& context, DiscoveryWatch& owner) : socket(context), watch(&owner) {
    parser.body_limit(boost::none);
    parser.eager(true);
  }

  void fail(std::string_view why) {
    if (watch != nullptr) watch->connection_failed(*this, why);
  }
  void open(const asio::ip::tcp::endpoint& endpoint) {
    socket.async_connect(endpoint, [self = shared_from_this()](const auto& error) {
      if (error) return self->fail(error.message());
      boost::system::error_code ignored;
      self->socket.non_blocking(true, ignored);
      self->send_request();
    });
  }
  void send_request() {
    asio::async_write(socket, asio::buffer(request), [self = shared_from_this()](const auto& error, auto) {
      if (error) return self->fail(error.message());
      self->read();
    });
  }
  void read() {
    socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const auto& error) {
      if (self->watch == nullptr) return;
      if (error) return self->fail(error.message());
      self->read_some();
    });
  }
  void read_some() {
    boost::system::error_code error;
    const auto count = socket.read_some(receive_buffer.space(), error);
    if (watch != nullptr && is_out_of_memory(error))
      return watch->timers_.schedule_once(now() + kOutOfMemoryRetrySeconds, weak_from_this(),
                                          &Connection::read);
    if (is_transient(error)) return read();
    if (error) return fail(error.message());
    receive_buffer.commit(count);
    process_received();
  }
  void process_received() {
    while (receive_buffer.size() > 0 && !parser.is_done()) {
      boost::system::error_code error;
      const auto used = parser.put(receive_buffer.data(), error);
      receive_buffer.consume(used);
      if (error && error != http::error::need_more) return fail(error.message());
      if (parser.is_header_done() && parser.get().result() != http::status::ok) return fail("refused");
      process_body();
      if (watch == nullptr) return;
      if (used == 0) break;
    }
    if (parser.is_done()) return fail("ended");
    if (receive_buffer.free_space() == 0 || list_bytes > kMaxListBytes) return fail("list too long");
    read();
  }
  // A list may span several lines. Only complete items show that the watch is alive: an empty line between
  // two lists, an entry of a list, or the end of a list.
  void process_body() {
    const auto body = std::exchange(parser.get().body(), {});
    std::string_view rest(body);
    while (!rest.empty() && watch != nullptr) {
      if (list_bytes == 0 && std::isspace(static_cast<unsigned char>(rest.front())) != 0) {
        if (rest.front() == '\n') {
          watch->use(*this);
          watch->data_received();
        }
        rest.remove_prefix(1);
        continue;
      }
      boost::system::error_code error;
      const auto used = list_parser.write_some(rest.data(), rest.size(), error);
      if (error) return watch->reject_list(*this, error.message());
      const auto taken = rest.substr(0, used);
      rest.remove_prefix(used);
      if (!list_parser.done()) {
        if (!follow_list(taken)) return;
        continue;
      }
      list_bytes = 0;
      list_progress = {};
      const auto value = list_parser.release();
      list_parser.reset();
      watch->use(*this);
      watch->process_list(value);
    }
  }

  // Takes bytes of a list that goes on behind them. Returns false if the connection was given up.
  bool follow_list(std::string_view bytes) {
    if (list_bytes == 0) list_began_at = now();
    list_bytes += bytes.size();
    if (now() > list_began_at + kMaxListSeconds) {
      fail("list too slow");
      return false;
    }
    if (list_progress.take(bytes)) {
      watch->use(*this);
      watch->list_progressed();
    }
    return true;
  }

  asio::ip::tcp::socket socket;
  DiscoveryWatch* watch;  // nullptr: the watch no longer uses this connection
  std::string request;
  RingBuffer receive_buffer{kWatchBufferBytes};
  http::response_parser<http::string_body> parser;
  boost::json::stream_parser list_parser;  // of the list that is being received
  std::size_t list_bytes = 0;              // received of this list so far; 0: between two lists
  double list_began_at = 0;                // when its first byte was received
  ListProgress list_progress;
};

DiscoveryWatch::DiscoveryWatch(asio::io_context& context, TimerQueue& timers,
                               const asio::ip::tcp::endpoint& agent, Log& log, Listener& listener)
    : context_(context),
      timers_(timers),
      agent_(agent),
      log_(log),
      listener_(listener),
      timer_key_(timers.new_key()) {}

DiscoveryWatch::~DiscoveryWatch() {
  disconnect(connection_);
  disconnect(unanswered_);
}

void DiscoveryWatch::start(std::optional<long long> known_version) {
  version_ = known_version;
  open();
}

// Another agent may number its versions differently, so its full list is requested and replaces the current
// one.
void DiscoveryWatch::switch_to(const asio::ip::tcp::endpoint& agent) {
  disconnect(connection_);
  disconnect(unanswered_);
  agent_ = agent;
  version_.reset();
  awaits_full_list_ = false;
  failures_ = 0;
  open();
}

bool DiscoveryWatch::has_unread_data() const {
  const auto has_unread = [](const auto& connection) {
    boost::system::error_code closed;
    return connection && connection->socket.available(closed) > 0 && !closed;
  };
  return has_unread(connection_) || has_unread(unanswered_);
}

void DiscoveryWatch::open() {
  opened_at_ = now();
  received_data_ = false;
  connection_ = std::make_shared<Connection>(context_, *this);
  const auto since = version_ ? fmt::format("&since={}", *version_) : "";
  connection_->request = fmt::format("GET /catalog/members?follow=1{} HTTP/1.1\r\nHost: {}:{}\r\n\r\n", since,
                                     agent_.address().to_string(), agent_.port());
  connection_->open(agent_);
  start_silence_timer(by_failures(kFirstDataTimeoutSeconds, failures_));
}

void DiscoveryWatch::start_silence_timer(double timeout) {
  timers_.schedule(timer_key_, now() + timeout, [this](double) {
    // Data has arrived in time: the router is late, not discovery.
    if (has_unread_data()) return start_silence_timer(kUnreadDataRecheckSeconds);
    on_silence();
  });
}

void DiscoveryWatch::data_received() {
  list_progressed();
  listener_.watch_data_received();
}

// The agent is alive, but what it reports counts only once its list is complete.
void DiscoveryWatch::list_progressed() {
  received_data_ = true;
  start_silence_timer(kSilenceTimeoutSeconds);
}

void DiscoveryWatch::process_list(const boost::json::value& value) {
  try {
    if (!value.is_object()) throw InputError("the member list is not a JSON object");
    const auto list = parse_member_list(value.get_object());
    const auto* const source = connection_.get();
    accept_list(list);
    // The listener may have switched to another connection.
    if (connection_.get() == source) data_received();
  } catch (const InputError& error) {
    reject_list(*connection_, error.what());
  }
}

void DiscoveryWatch::accept_list(const MemberList& list) {
  if (!list.full && version_ && list.version <= *version_) return listener_.stale_list_received(list);
  // After an unusable list changes are missing, so further changes can't be applied.
  if (!list.full && awaits_full_list_) return;
  awaits_full_list_ = false;
  version_ = list.version;
  listener_.list_received(list);
}

void DiscoveryWatch::reject_list(Connection& connection, std::string_view why) {
  use(connection);
  log_.line("list_unusable", "why=\"{}\"", why);
  awaits_full_list_ = true;
  version_.reset();
  listener_.list_unusable();
  lose_connection("nonsense");
}

void DiscoveryWatch::disconnect(std::shared_ptr<Connection>& connection) {
  if (!connection) return;
  connection->watch = nullptr;
  boost::system::error_code ignored;
  connection->socket.close(ignored);
  connection.reset();
}

// The connection has received data: the watch goes on with it, and gives up the one opened after it.
void DiscoveryWatch::use(Connection& connection) {
  if (unanswered_.get() != &connection) return;
  disconnect(connection_);
  connection_ = std::exchange(unanswered_, nullptr);
  opened_at_ = now();
}

void DiscoveryWatch::connection_failed(Connection& connection, std::string_view why) {
  if (unanswered_.get() == &connection) return disconnect(unanswered_);
  lose_connection(why);
}

void DiscoveryWatch::lose_connection(std::string_view why) {
  disconnect(connection_);
  reopen_later(why);
}

// Discovery may be slow to answer: a call without any data is kept until the next one has waited as long as
// it may, and whichever is answered first is used.
void DiscoveryWatch::on_silence() {
  if (received_data_) return lose_connection("silence");
  disconnect(unanswered_);
  unanswered_ = std::exchange(connection_, nullptr);
  reopen_later("silence");
}

void DiscoveryWatch::reopen_later(std::string_view why) {
  log_.line("watch_lost", "why=\"{}\" version={}", why, version_.value_or(-1));
  listener_.watch_lost();
  if (received_data_ && now() > opened_at_ + kStableConnectionSeconds) failures_ = 0;
  timers_.schedule(timer_key_, now() + by_failures(kReopenDelaySeconds, failures_++),
                   [this](double) { open(); });
}

}  // namespace yoketurn
