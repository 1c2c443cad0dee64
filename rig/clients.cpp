#include "rig/clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "rig/machines.hpp"

namespace yoketurn::rig {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr double kLook = 0.2;          // between two questions for a router's health
constexpr double kLookPatience = 0.3;  // for the answer
constexpr double kPatience = 0.3;      // beyond the time a client has stated, until it closes the connection
constexpr std::size_t kMostIdle = 16;  // connections kept to one router

// One question on a connection of its own.
struct Health : std::enable_shared_from_this<Health> {
  explicit Health(asio::io_context& context) : socket(context), timer(context) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string request = "GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  std::function<void(bool)> then;

  void ask(const tcp::endpoint& at) {
    timer.expires_after(std::chrono::milliseconds(static_cast<int>(kLookPatience * 1e3)));
    timer.async_wait([self = shared_from_this()](const auto& error) {
      if (!error) self->over(false);
    });
    socket.async_connect(at, [self = shared_from_this()](const auto& error) {
      if (error) return self->over(false);
      asio::async_write(self->socket, asio::buffer(self->request), [self](const auto& failed, auto) {
        if (failed) return self->over(false);
        http::async_read(self->socket, self->buffer, self->answer, [self](const auto& broken, auto) {
          self->over(!broken && self->answer.result_int() == 200);
        });
      });
    });
  }
  void over(bool good) {
    if (!then) return;
    timer.cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
    std::exchange(then, nullptr)(good);
  }
};

}  // namespace

Front::Front(asio::io_context& context, const Day& day, std::vector<tcp::endpoint> routers,
             std::vector<int> sites, std::function<double()> clock)
    : context_(context),
      day_(day),
      clock_(std::move(clock)),
      turns_(std::move(sites), static_cast<int>(day.sites.size())) {
  for (const auto& router : routers) routers_.push_back({router, 0});
  for (std::size_t i = 0; i < routers_.size(); ++i) look(i);
}

void Front::look(std::size_t router) {
  if (stopped_) return;
  const auto question = std::make_shared<Health>(context_);
  question->then = [this, router](bool good) {
    auto& seen = routers_[router];
    const auto now = clock_();
    if (good) seen.good = now;
    const auto number = static_cast<int>(router);
    turns_.set(number, good || (turns_.in(number) && now < seen.good + day_.notice));
    after(context_, kLook, [this, router] { look(router); });
  };
  question->ask(routers_[router].at);
}

struct Clients::Line : std::enable_shared_from_this<Line> {
  explicit Line(asio::io_context& context) : socket(context), timer(context) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string request;
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  std::function<void(const char* trouble)> then;  // nullptr: an answer is there
  std::function<void()> on_written;
  bool fresh = true;   // not yet connected
  bool again = false;  // kept from an earlier request
  tcp::endpoint at;

  void ask(const tcp::endpoint& to, double patience) {
    at = to;
    again = !fresh;
    timer.expires_after(std::chrono::microseconds(static_cast<long>(patience * 1e6)));
    timer.async_wait([self = shared_from_this()](const auto& error) {
      if (!error) self->over("late");
    });
    answer = {};
    if (!fresh) return write();
    connect();
  }
  void connect() {
    socket.async_connect(at, [self = shared_from_this()](const auto& error) {
      if (error) return self->over("refused");
      self->fresh = false;
      self->socket.set_option(tcp::no_delay(true));
      self->write();
    });
  }
  void write() {
    asio::async_write(socket, asio::buffer(request), [self = shared_from_this()](const auto& failed, auto) {
      if (failed) return self->over("broken");
      if (self->on_written) self->on_written();
      http::async_read(self->socket, self->buffer, self->answer,
                       [self](const auto& broken, auto) { self->over(broken ? "broken" : nullptr); });
    });
  }
  void over(const char* trouble) {
    if (!then) return;
    // A connection that was kept and closed meanwhile: the request goes once more on a new one.
    if (trouble != nullptr && trouble == std::string_view("broken") && std::exchange(again, false) &&
        buffer.size() == 0) {
      close();
      socket = tcp::socket(socket.get_executor());
      return connect();
    }
    timer.cancel();
    if (trouble != nullptr) close();
    std::exchange(then, nullptr)(trouble);
  }
  void close() {
    boost::system::error_code ignored;
    socket.close(ignored);
  }
};

Clients::Clients(asio::io_context& context, const Day& day, int site, Front& front,
                 std::function<double()> clock, std::function<void(Event)> note)
    : context_(context),
      day_(day),
      site_(site),
      front_(front),
      clock_(std::move(clock)),
      note_(std::move(note)),
      chance_(day.seed * 104729 + static_cast<unsigned>(site)),
      idle_(static_cast<std::size_t>(day.routers())) {
  due_ = clock_();
  next();
}

Clients::~Clients() = default;

void Clients::next() {
  const auto rate = day_.sites[static_cast<std::size_t>(site_)].rate * surge;
  if (stopped_ || rate <= 0) return;
  // From when the last one was due, not from when the rig got to it: a busy machine asked less of the
  // routers.
  due_ += std::exponential_distribution<>(rate)(chance_);
  after(context_, std::max(due_ - clock_(), 0.0), [this] {
    if (stopped_) return;
    std::vector<double> mix;
    for (const auto& v : day_.verticals) mix.push_back(v.mix);
    const auto vertical = std::discrete_distribution<>(mix.begin(), mix.end())(chance_);
    const auto first = std::uniform_int_distribution<>(0, day_.shards - 1)(chance_);
    attempt({++last_, vertical, first, clock_()}, 0);
    next();
  });
}

void Clients::attempt(const Ask& ask, int tried) {
  const auto& v = day_.verticals[static_cast<std::size_t>(ask.vertical)];
  const auto now = clock_();
  const auto left = ask.began + v.deadline - now;
  const auto id = fmt::format("s{}q{}t{}", site_, ask.number, tried);
  if (left <= 0.02) return;
  const auto router = front_.pick(site_);
  if (router < 0) {
    note_({.at = now,
           .kind = Kind::unanswered,
           .id = id,
           .vertical = ask.vertical,
           .number = tried,
           .text = "no router"});
    return ended(ask, tried, 0, 0);
  }
  auto& idle = idle_[static_cast<std::size_t>(router)];
  std::shared_ptr<Line> line;
  // A kept connection may end as its router is killed, and the request goes once more on a new one, maybe to
  // the next process: only what may be repeated takes one. A payment was made twice by the rig itself.
  if (!idle.empty() && v.semantics == "safe") {
    line = idle.back();
    idle.pop_back();
  } else {
    line = std::make_shared<Line>(context_);
  }
  std::string shards, targets;
  for (int i = 0; i < v.parts; ++i) {
    const auto shard = (ask.first + i) % day_.shards;
    shards += fmt::format("{}{}", i > 0 ? "+" : "", shard);
    const auto hint = day_.hints ? fmt::format(R"(,"est_us":{:.0f})", day_.service * 1e6) : "";
    targets +=
        fmt::format(R"({}{{"partition":{},"share":{:.6f}{}}})", i > 0 ? "," : "", shard, 1.0 / v.parts, hint);
  }
  const auto body = fmt::format(R"({{"targets":[{}],"query":"{}"}})", targets, id);
  const auto key =
      v.semantics == "keyed" ? fmt::format("Idempotency-Key: k{}-{}\r\n", site_, ask.number) : "";
  line->request = fmt::format(
      "POST /{} HTTP/1.1\r\nHost: rig\r\nX-Txn: {}\r\nX-Remaining: {:.0f}m\r\n{}Content-Length: {}\r\n\r\n{}",
      v.name, id, left * 1e3, key, body.size(), body);
  const auto allowed = left;
  line->on_written = [this, router, id, ask, tried, allowed, shards] {
    note_({.at = clock_(),
           .kind = Kind::asked,
           .router = router,
           .id = id,
           .vertical = ask.vertical,
           .number = tried,
           .value = allowed,
           .text = shards});
  };
  line->then = [this, router, id, ask, tried, line = line.get()](const char* trouble) {
    const auto at = clock_();
    int status = 0;
    double retry_after = 0;
    if (trouble != nullptr) {
      note_({.at = at,
             .kind = Kind::unanswered,
             .router = router,
             .id = id,
             .vertical = ask.vertical,
             .number = tried,
             .text = trouble});
    } else {
      status = static_cast<int>(line->answer.result_int());
      const auto header = line->answer.find(http::field::retry_after);
      if (header != line->answer.end())
        retry_after = std::strtod(std::string(header->value()).c_str(), nullptr);
      std::string text;
      if (status == 200) try {
          const auto o = boost::json::parse(line->answer.body()).as_object();
          text = fmt::format("whole={:d} ", o.at("whole").as_bool());
          bool first = true;
          for (const auto& result : o.at("results").as_array()) {
            text +=
                fmt::format("{}{}", first ? "" : "+", result.as_object().at("partition").to_number<int>());
            first = false;
          }
        } catch (const std::exception&) {
          text = "unreadable";
        }
      note_({.at = at,
             .kind = Kind::answered,
             .router = router,
             .id = id,
             .vertical = ask.vertical,
             .number = status,
             .value = retry_after,
             .text = text});
      // More behind the answer, on a connection on which nothing was asked, would be a second one.
      if (line->buffer.size() > 0)
        note_({.at = at,
               .kind = Kind::answered,
               .router = router,
               .id = id,
               .vertical = ask.vertical,
               .number = status,
               .text = "again"});
      auto& kept = idle_[static_cast<std::size_t>(router)];
      if (line->answer.keep_alive() && kept.size() < kMostIdle)
        kept.push_back(line->shared_from_this());
      else
        line->close();
    }
    line->on_written = nullptr;
    ended(ask, tried, status, retry_after);
  };
  line->ask(front_.at(router), left + kPatience);
}

// Clients try again what failed or was refused; an unsafe query only where that is harmless.
void Clients::ended(const Ask& ask, int tried, int status, double retry_after) {
  const auto& v = day_.verticals[static_cast<std::size_t>(ask.vertical)];
  const auto refused = status == 503 || status == 429;
  if (status == 200 || tried >= day_.retries || stopped_) return;
  if (v.semantics == "unsafe" && !refused) return;
  const auto wait = retry_after > 0
                        ? retry_after
                        : day_.backoff * std::uniform_real_distribution<>(0.5, 1.5)(chance_) * (1 << tried);
  after(context_, wait, [this, ask, tried] { attempt(ask, tried + 1); });
}

}  // namespace yoketurn::rig
