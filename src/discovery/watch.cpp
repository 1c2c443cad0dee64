#include "discovery/watch.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/json/stream_parser.hpp>
#include <cctype>
#include <utility>

#include "buffers/socket_errors.hpp"
#include "queries/clock.hpp"
#include "settings/settings.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr double kHeartbeat = 2;  // the protocol's: an empty line comes so often
// What a silent watch missed counts as told 6 s after its last word. Until then it has to be found silent,
// and up to three new connections may be needed: one that hangs, one that ends at once, one that answers
// slowly.
constexpr double kSilence = kHeartbeat + 0.75;              // after which a watch is taken for broken
constexpr std::array<double, 3> kFirstWordWithin{1, 2, 3};  // for a new connection's first word, by failures
constexpr std::array<double, 5> kReopenAfter{0.01, 0.05, 0.1, 0.25,
                                             0.5};  // until the next one is opened, by failures
constexpr double kLasts = 1;                        // a connection that is open for so long was no failure
constexpr double kReadsFirst = 0.01;                // until silence is judged again where words lie unread
constexpr std::size_t kLongestList = 4 << 20;       // bytes; some 20,000 entries
constexpr std::size_t kRing = 64 * 1024;

template <std::size_t many>
double by_failures(const std::array<double, many>& values, int failures) {
  return values[std::min(static_cast<std::size_t>(std::max(failures, 0)), many - 1)];
}

}  // namespace

struct Watch::Connection : std::enable_shared_from_this<Watch::Connection> {
  Connection(asio::io_context& context, Watch& owner) : socket(context), watch(&owner) {
    parser.body_limit(boost::none);
    parser.eager(true);
  }

  void fail(std::string_view why) {
    if (watch != nullptr) watch->lost(why);
  }
  void open(const asio::ip::tcp::endpoint& at) {
    socket.async_connect(at, [self = shared_from_this()](const auto& error) {
      if (error) return self->fail(error.message());
      boost::system::error_code ignored;
      self->socket.non_blocking(true, ignored);
      self->ask();
    });
  }
  void ask() {
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
    const auto count = socket.read_some(ring.space(), error);
    if (watch != nullptr && is_lack_of_memory(error))
      return watch->due_.schedule_once(now() + kRetryAfterLack, weak_from_this(), &Connection::read);
    if (is_transient(error)) return read();
    if (error) return fail(error.message());
    ring.commit(count);
    take();
  }
  void take() {
    while (ring.size() > 0 && !parser.is_done()) {
      boost::system::error_code error;
      const auto used = parser.put(ring.data(), error);
      ring.consume(used);
      if (error && error != http::error::need_more) return fail(error.message());
      if (parser.is_header_done() && parser.get().result() != http::status::ok) return fail("refused");
      take_body();
      if (watch == nullptr) return;
      if (used == 0) break;
    }
    if (parser.is_done()) return fail("ended");
    if (ring.free() == 0 || list_size > kLongestList) return fail("list too long");
    read();
  }
  // A list may stand on several lines. Only what is whole tells that the watch lives: an empty line between
  // two lists, or the end of one.
  void take_body() {
    const auto body = std::exchange(parser.get().body(), {});
    std::string_view rest(body);
    while (!rest.empty() && watch != nullptr) {
      if (list_size == 0 && std::isspace(static_cast<unsigned char>(rest.front())) != 0) {
        if (rest.front() == '\n') watch->heard();
        rest.remove_prefix(1);
        continue;
      }
      boost::system::error_code error;
      const auto used = list.write_some(rest.data(), rest.size(), error);
      if (error) return watch->unusable(error.message());
      list_size += used;
      rest.remove_prefix(used);
      if (!list.done()) continue;
      list_size = 0;
      const auto value = list.release();
      list.reset();
      watch->take_list(value);
    }
  }

  asio::ip::tcp::socket socket;
  Watch* watch;  // null: no longer wanted
  std::string request;
  Ring ring{kRing};
  http::response_parser<http::string_body> parser;
  boost::json::stream_parser list;  // the one that has begun to come
  std::size_t list_size = 0;        // its bytes so far
};

Watch::Watch(asio::io_context& context, TimerQueue& due, const asio::ip::tcp::endpoint& agent, Log& log,
             Listener& listener)
    : context_(context), due_(due), agent_(agent), log_(log), listener_(listener), due_key_(due.new_key()) {}

Watch::~Watch() {
  if (connection_) connection_->watch = nullptr;
}

void Watch::start(std::optional<long long> known_version) {
  version_ = known_version;
  open();
}

// Another agent may count its versions otherwise: its whole list is asked for, which then takes the place of
// the one that is held.
void Watch::follow(const asio::ip::tcp::endpoint& agent) {
  drop();
  agent_ = agent;
  version_.reset();
  nonsense_ = false;
  failures_ = 0;
  open();
}

bool Watch::unread() const {
  boost::system::error_code closed;
  return connection_ && connection_->socket.available(closed) > 0 && !closed;
}

void Watch::open() {
  opened_at_ = now();
  heard_anything_ = false;
  connection_ = std::make_shared<Connection>(context_, *this);
  const auto since = version_ ? fmt::format("&since={}", *version_) : "";
  connection_->request = fmt::format("GET /catalog/members?follow=1{} HTTP/1.1\r\nHost: {}:{}\r\n\r\n", since,
                                     agent_.address().to_string(), agent_.port());
  connection_->open(agent_);
  await_word(by_failures(kFirstWordWithin, failures_));
}

void Watch::await_word(double patience) {
  due_.schedule(due_key_, now() + patience, [this](double) {
    if (unread()) return await_word(kReadsFirst);  // the router is behind, not discovery
    lost("silence");
  });
}

void Watch::heard() {
  heard_anything_ = true;
  await_word(kSilence);
  listener_.watch_heard();
}

void Watch::take_list(const boost::json::value& value) {
  try {
    if (!value.is_object()) throw Malformed("the list is no JSON object");
    const auto list = read_list(value.get_object());
    const auto* const from = connection_.get();
    take(list);
    if (connection_.get() == from) heard();  // it was not left for another
  } catch (const Malformed& error) {
    unusable(error.what());
  }
}

void Watch::take(const MemberList& list) {
  if (!list.full && version_ && list.version <= *version_) return listener_.passed_over(list);  // known
  if (!list.full && nonsense_) return;  // changes to a list that has a gap
  nonsense_ = false;
  version_ = list.version;
  listener_.listed(list);
}

void Watch::unusable(std::string_view why) {
  log_.line("list_unusable", "why=\"{}\"", why);
  nonsense_ = true;
  version_.reset();
  listener_.unusable();
  lost("nonsense");
}

void Watch::drop() {
  if (!connection_) return;
  connection_->watch = nullptr;
  boost::system::error_code ignored;
  connection_->socket.close(ignored);
  connection_.reset();
}

void Watch::lost(std::string_view why) {
  drop();
  log_.line("watch_lost", "why=\"{}\" version={}", why, version_.value_or(-1));
  listener_.watch_lost();
  if (heard_anything_ && now() > opened_at_ + kLasts) failures_ = 0;
  due_.schedule(due_key_, now() + by_failures(kReopenAfter, failures_++), [this](double) { open(); });
}

}  // namespace yoketurn
