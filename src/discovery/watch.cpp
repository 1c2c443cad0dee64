#include "discovery/watch.hpp"

#include <fmt/format.h>

#include <boost/asio/write.hpp>

#include "queries/clock.hpp"
#include "settings/settings.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr double kHeartbeat = 2;               // the protocol's: an empty line comes so often
constexpr double kSilence = 1.5 * kHeartbeat;  // after which the watch is taken for broken
constexpr double kAgain = kHeartbeat / 4;      // until a lost watch is opened again
constexpr std::size_t kLongestLine = 4 << 20;  // some 20,000 entries
constexpr std::size_t kRing = 64 * 1024;

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
    socket.async_read_some(ring.space(), [self = shared_from_this()](const auto& error, auto count) {
      if (self->watch == nullptr) return;
      if (error) return self->fail(error.message());
      self->ring.commit(count);
      self->take();
    });
  }
  void take() {
    while (ring.size() > 0 && !parser.is_done()) {
      boost::system::error_code error;
      const auto used = parser.put(ring.data(), error);
      ring.consume(used);
      if (error && error != http::error::need_more) return fail(error.message());
      if (parser.is_header_done() && parser.get().result() != http::status::ok) return fail("refused");
      watch->on_lines(*this);
      if (watch == nullptr) return;
      if (used == 0) break;
    }
    if (parser.is_done()) return fail("ended");
    if (ring.free() == 0 || parser.get().body().size() > kLongestLine) return fail("line too long");
    read();
  }

  asio::ip::tcp::socket socket;
  Watch* watch;  // null: no longer wanted
  std::string request;
  Ring ring{kRing};
  http::response_parser<http::string_body> parser;
};

Watch::Watch(asio::io_context& context, DueTimes& due, const asio::ip::tcp::endpoint& agent, Log& log,
             Listener& listener)
    : context_(context),
      due_(due),
      agent_(agent),
      log_(log),
      listener_(listener),
      due_key_(due.fresh_key()) {}

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
  open();
}

bool Watch::unread() const {
  boost::system::error_code closed;
  return connection_ && connection_->socket.available(closed) > 0 && !closed;
}

void Watch::open() {
  connection_ = std::make_shared<Connection>(context_, *this);
  const auto since = version_ ? fmt::format("&since={}", *version_) : "";
  connection_->request = fmt::format("GET /catalog/members?follow=1{} HTTP/1.1\r\nHost: {}:{}\r\n\r\n", since,
                                     agent_.address().to_string(), agent_.port());
  connection_->open(agent_);
  await_heartbeat();
}

void Watch::await_heartbeat() {
  due_.set(due_key_, now() + kSilence, [this](double) { lost("silence"); });
}

void Watch::on_lines(Connection& connection) {
  auto& body = connection.parser.get().body();
  std::size_t begin = 0;
  for (auto end = body.find('\n'); end != std::string::npos; end = body.find('\n', begin)) {
    on_line(std::string_view(body).substr(begin, end - begin));
    begin = end + 1;
    if (connection.watch == nullptr) return;
  }
  if (begin == 0) return;
  body.erase(0, begin);
  await_heartbeat();
  listener_.watch_heard();
}

void Watch::on_line(std::string_view line) {
  while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
  if (line.empty()) return;
  try {
    const auto list = read_list(line);
    if (!list.full && version_ && list.version <= *version_) return listener_.passed_over(list);  // known
    if (!list.full && nonsense_) return;  // changes to a list that has a gap
    nonsense_ = false;
    version_ = list.version;
    listener_.listed(list);
  } catch (const Malformed& error) {
    log_.line("list_unusable", "why=\"{}\"", error.what());
    nonsense_ = true;
    version_.reset();
    listener_.unusable();
    lost("nonsense");
  }
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
  due_.set(due_key_, now() + kAgain, [this](double) { open(); });
}

}  // namespace yoketurn
