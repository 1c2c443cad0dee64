// Toy data nodes and a toy discovery on loopback, with which a router can be tried without the real ones. The
// tests use them too, with what nodes answer replaced.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "buffers/ring_buffer.hpp"
#include "datanodes/frames.hpp"
#include "queries/clock.hpp"

namespace yoketurn::toy {

using boost::asio::ip::tcp;

// An accepted connection: hands over what comes in, writes what it is given in order.
class Session : public std::enable_shared_from_this<Session> {
 public:
  explicit Session(tcp::socket socket) : socket_(std::move(socket)) {}

  void start(std::function<void(Session&)> on_bytes) {
    on_bytes_ = std::move(on_bytes);
    read();
  }
  void say(std::string_view bytes) {
    to_write_ += bytes;
    write();
  }
  // What is said waits until the hold ends, as on a way that carries nothing.
  void hold(bool held) {
    held_ = held;
    write();
  }
  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  void reset() {  // as a machine does that knows nothing of the connection
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }
  bool open() const { return socket_.is_open(); }

  RingBuffer in{2 * kMaxFrameBytes};

 private:
  void read() {
    socket_.async_read_some(in.space(), [self = shared_from_this()](const auto& error, auto count) {
      if (error) return self->close();
      self->in.commit(count);
      self->on_bytes_(*self);
      self->read();
    });
  }
  void write() {
    if (held_ || !writing_.empty() || to_write_.empty()) return;
    writing_.swap(to_write_);
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](const auto& error, auto) {
                               self->writing_.clear();
                               if (!error) self->write();
                             });
  }

  tcp::socket socket_;
  std::function<void(Session&)> on_bytes_;
  std::string writing_, to_write_;
  bool held_ = false;
};

class Server {
 public:
  explicit Server(boost::asio::io_context& context, unsigned short port = 0)
      : acceptor_(context, {boost::asio::ip::address_v4::loopback(), port}), at_(acceptor_.local_endpoint()) {
    accept();
  }
  virtual ~Server() { stop(); }
  tcp::endpoint at() const { return at_; }
  void break_off() {  // ends all connections; new ones may come
    each([](Session& session) { session.close(); });
    sessions_.clear();
  }
  template <class Act>
  void each(Act act) {
    for (const auto& session : std::vector(sessions_))
      if (const auto held = session.lock()) act(*held);
  }
  // New connections never come up: the room for them is taken by one that is not accepted. Whether that one
  // comes up is not waited for: where another took the room a moment before, it would be for two minutes.
  void mute(bool muted) {
    if (muted == (stuck_ != nullptr)) return;
    boost::system::error_code ignored;
    if (!muted) {
      stuck_.reset();
      acceptor_.listen(boost::asio::socket_base::max_listen_connections, ignored);
      return accept();
    }
    acceptor_.cancel(ignored);
    acceptor_.listen(0, ignored);
    stuck_ = std::make_unique<tcp::socket>(acceptor_.get_executor());
    stuck_->async_connect(at_, [](const auto&) {});
  }
  // New connections are refused.
  void refuse(bool refused) {
    boost::system::error_code ignored;
    if (refused == !acceptor_.is_open()) return;
    if (refused) return void(acceptor_.close(ignored));
    acceptor_.open(at_.protocol());
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor_.bind(at_);
    acceptor_.listen();
    accept();
  }
  void stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    break_off();
  }
  int accepted() const { return accepted_; }
  int open() const {
    return static_cast<int>(std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
      const auto held = session.lock();
      return held && held->open();
    }));
  }

 protected:
  virtual void came(Session& session) = 0;
  virtual void began(Session&) {}
  std::vector<std::weak_ptr<Session>> sessions_;

 private:
  void accept() {
    if (stuck_) return;
    acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
      if (error) return;
      ++accepted_;
      std::erase_if(sessions_, [](const auto& one) { return one.expired(); });
      const auto session = std::make_shared<Session>(std::move(socket));
      sessions_.push_back(session);
      began(*session);
      session->start([this](Session& from) { came(from); });
      accept();
    });
  }
  tcp::acceptor acceptor_;
  tcp::endpoint at_;
  std::unique_ptr<tcp::socket> stuck_;  // takes the room for new connections
  int accepted_ = 0;
};

class DataNode : public Server {
 public:
  struct Part {
    std::string id;
    int shard = 0;
    std::string list;
    std::string text;
  };

  using Server::Server;
  ~DataNode() override { stop(); }

  // What a part gets; by default its value is what was asked and where.
  std::function<void(const Part& part, Session& from)> on_part = [](const Part& part, Session& from) {
    answer(from, part, "done", 1000 + part.shard, fmt::format("{}@{}", part.text, part.shard));
  };
  static void answer(Session& to, const Part& part, std::string_view end, int score, std::string_view value) {
    to.say(encode_frame('R', fmt::format("{} {} {} -\n{}", part.id, end, score, value)));
  }

  // What a question for the load gets; nothing where it is empty.
  std::function<std::string()> on_load = [] { return std::string("inflight=0,queue=0"); };

  std::function<void(const std::string& id)> on_give_up = [this](const std::string& id) {
    given_up.push_back(id);
  };
  bool keeps = true;  // the parts that came

  std::vector<Part> parts;
  std::vector<std::string> given_up;

 protected:
  void came(Session& session) override {
    for (Frame frame; decode_frame(session.in, frame) == FrameStatus::complete;) {
      if (frame.type == 'C') on_give_up(frame.payload);
      if (frame.type == 'H') session.say(yoketurn::encode_frame('H', "done"));
      if (frame.type == 'M')
        if (const auto report = on_load(); !report.empty()) session.say(yoketurn::encode_frame('M', report));
      if (frame.type != 'S') continue;
      for (std::string_view rest = frame.payload; !rest.empty();) {
        Part part;
        std::size_t length = 0;
        part.id = word(rest, ' ');
        part.shard = number<int>(word(rest, ' '));
        part.list = word(rest, ' ');
        length = number<std::size_t>(word(rest, '\n'));
        part.text = rest.substr(0, length);
        rest.remove_prefix(std::min(length, rest.size()));
        if (keeps) parts.push_back(part);
        on_part(part, session);
      }
    }
  }

 private:
  static std::string word(std::string_view& rest, char end) {
    const auto length = std::min(rest.find(end), rest.size());
    const std::string result(rest.substr(0, length));
    rest.remove_prefix(std::min(length + 1, rest.size()));
    return result;
  }
  template <class Number>
  static Number number(const std::string& text) {
    Number value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
  }
};

// An agent that answers a watch with what it has been given to tell.
class Discovery : public Server {
 public:
  explicit Discovery(boost::asio::io_context& context, unsigned short port = 0)
      : Server(context, port), heartbeat_(context) {
    beat();
  }
  ~Discovery() override { stop(); }

  static std::string entry(const std::string& id, const tcp::endpoint& at, int cell,
                           std::string_view state = "ready", std::string_view zone = "a",
                           long long started_ms = 0) {
    return fmt::format(
        R"({{"id":"{}","addr":"{}:{}","zone":"{}","kind":"m","cell":{},"state":"{}","weight":1.0,"started_ms":{}}})",
        id, at.address().to_string(), at.port(), zone, cell, state, started_ms);
  }
  static std::string list(int version, bool full, const std::vector<std::string>& entries) {
    return fmt::format(R"({{"version":{},"full":{},"servers":[{}]}})", version, full,
                       fmt::join(entries, ","));
  }

  // The head of an answer to a watch, and a list as a chunk of it.
  static constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  static std::string chunk(const std::string& line) {
    return fmt::format("{:x}\r\n{}\n\r\n", line.size() + 1, line);
  }
  void tell(const std::string& line) {
    for (const auto& watcher : watchers_)
      if (const auto held = watcher.lock()) held->say(chunk(line));
  }

  // What a watch is answered with; true: it has been dealt with, and gets nothing else.
  std::function<bool(Session&)> on_watch = [](Session&) { return false; };
  bool silent = false;             // sends no heartbeat
  double last_beat = 0;            // when the last one went out, on the steady clock
  std::string whole;               // the list each watch begins with
  std::vector<std::string> asked;  // the first lines of the requests

 protected:
  void came(Session& session) override {
    std::string head(session.in.size(), ' ');
    session.in.peek(0, head.data(), head.size());
    const auto end = head.find("\r\n\r\n");
    if (end == std::string::npos) return;
    session.in.consume(end + 4);
    asked.push_back(head.substr(0, head.find("\r\n")));
    if (on_watch(session)) return;
    watchers_.push_back(session.weak_from_this());
    session.say(std::string(kHead) + chunk(whole));
  }

 private:
  void beat() {
    if (!silent) {
      tell("");
      last_beat = now();
    }
    heartbeat_.expires_after(std::chrono::seconds(2));
    heartbeat_.async_wait([this](const auto& error) {
      if (!error) beat();
    });
  }

  std::vector<std::weak_ptr<Session>> watchers_;
  boost::asio::steady_timer heartbeat_;
};

// A configuration with one repeatable, one deduplicated, one two-step vertical; shards are held by all nodes.
inline std::string config(const tcp::endpoint& listen, const tcp::endpoint& discovery, int cells,
                          const std::string& known, int sockets = 1024, int max_open = 200) {
  const auto vertical = [](const char* name, const char* semantics) {
    return fmt::format(
        R"({{"name":"{}","semantics":"{}","aim_us":1000000,"deadline_us":4000000,"credit":1.0,)"
        R"("late_worth":0.5,"key_scope":"all","streaming":false,"window_us":2000000}})",
        name, semantics);
  };
  return fmt::format(
      R"({{"name":"n0","listen":"{}:{}","discovery":"{}:{}","seed":"8c1f30d27a5be964",)"
      R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{},"settings":{{)"
      R"("balancers":1,"resolution_us":1000,"zone":"a","zones":["a"],"worth_by":"request","discovery":"push",)"
      R"("bounds":{{"cancel":true,"max_attempts":3,"may_duplicate":true,"retry_after":true,)"
      R"("max_retry_after_us":500000,"max_open":{},"streams_per_conn":100,"connect_timeout_us":250000,)"
      R"("conn_idle_us":15000000}},"classes":[{},{},{}],"customers":[],)"
      R"("contract":{{"cold_us":9000000,"fall_multiple":2.0,"overload_for_us":1000000,"start_capacity":0.3}},)"
      R"("domain":{{"places":{},"span":{},"slices":8,"parts_a_call":1,"min_share":[1.0,1.0,1.0],)"
      R"("whole_at":[1.0,1.0,1.0],"partial_earns":[1.0,1.0,1.0],"second_step":[0,0,2]}}}}}})",
      listen.address().to_string(), listen.port(), discovery.address().to_string(), discovery.port(), sockets,
      known, max_open, vertical("look", "safe"), vertical("change", "keyed"), vertical("report", "safe"),
      cells, cells);
}

}  // namespace yoketurn::toy
