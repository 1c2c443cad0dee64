// Stand-ins for a review case: data nodes, discovery, clients, and the start of routers with the deploy file's
// command. Plain POSIX sockets and threads; loopback addresses and free ports only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace standin {

inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at) { sleep_for(at - now()); }

// The record of a run: one line an event, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now()) {
    if (!file_) std::exit(2);
  }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", now() - start_, text);
    std::fflush(file_);
  }
  double since_start(double at) const { return at - start_; }

 private:
  std::FILE* file_;
  double start_;
  std::mutex mutex_;
};

[[noreturn]] inline void cannot_run(const std::string& why) {
  std::cerr << "the case could not run: " << why << std::endl;
  std::_Exit(2);
}

// --- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}
inline int listen_on(int port, int* bound = nullptr, int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  auto address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, backlog) != 0)
    cannot_run("no port to listen on");
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  if (bound) *bound = ntohs(address.sin_port);
  return fd;
}
inline int free_port() {
  int port = 0;
  ::close(listen_on(0, &port));
  return port;
}
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const auto count = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (count <= 0) {
      if (count < 0 && errno == EINTR) continue;
      return false;
    }
    done += static_cast<std::size_t>(count);
  }
  return true;
}

// --- timers: one thread that runs what is due

class Timers {
 public:
  Timers() : thread_([this] { run(); }) { thread_.detach(); }
  void at(double when, std::function<void()> what) {
    const std::lock_guard lock(mutex_);
    due_.emplace(when, std::move(what));
    changed_.notify_one();
  }

 private:
  void run() {
    std::unique_lock lock(mutex_);
    for (;;) {
      if (due_.empty()) {
        changed_.wait(lock);
        continue;
      }
      const auto next = due_.begin()->first;
      if (const auto left = next - now(); left > 0) {
        changed_.wait_for(lock, std::chrono::duration<double>(left));
        continue;
      }
      auto what = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      lock.unlock();
      what();
      lock.lock();
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<double, std::function<void()>> due_;
  std::thread thread_;
};
inline Timers& timers() {
  static auto* all = new Timers;
  return *all;
}

// --- data nodes

struct Part {
  std::string id;
  int shard = 0;
  std::map<std::string, std::string> list;  // d, k, from, whole
  std::string text;
  double arrived = 0;  // when the last byte of its frame was in this machine's socket
  double wait() const {
    const auto at = list.find("d");
    return at == list.end() ? 0 : std::atof(at->second.c_str()) / 1e3;
  }
  std::string query() const { return id.substr(0, id.find('.')); }
};

class DataNode;

// One connection of a router. Frames are read by a thread of their own.
struct NodeSession {
  int fd = -1;
  std::mutex mutex;
  bool open = true;
  void frame(char letter, const std::string& rest) {
    std::string bytes;
    const auto length = rest.size() + 1;
    for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>((length >> shift) & 0xff);
    raw(bytes + letter + rest);
  }
  void raw(const std::string& bytes) {
    const std::lock_guard lock(mutex);
    if (open) write_all(fd, bytes);
  }
  void answer(const Part& part, const std::string& end, const std::string& score, const std::string& value) {
    frame('R', part.id + " " + end + " " + score + " -\n" + value);
  }
};

class DataNode {
 public:
  using Session = std::shared_ptr<NodeSession>;
  DataNode(std::string id, std::string zone, int cell) : id(std::move(id)), zone(std::move(zone)), cell(cell) {
    listener_ = listen_on(0, &port);
    std::thread([this] { accept_all(); }).detach();
  }
  std::string id, zone;
  int cell = 0, port = 0;
  std::string state = "ready";
  long long started_ms = 0;
  std::function<void(const Part&, const Session&)> on_part;          // called by the connection's thread
  std::atomic<bool> hangs{false};  // reads and answers nothing; its machine still takes what has room
  // Seconds that this connection's handshake takes: nothing on it has arrived before. By the connection's number.
  std::function<double(int)> handshake;

  std::string entry() const {
    char text[512];
    std::snprintf(text, sizeof text,
                  R"({"id":"%s","addr":"127.0.0.1:%d","zone":"%s","kind":"k","cell":%d,"state":"%s","weight":1.0,"started_ms":%lld})",
                  id.c_str(), port, zone.c_str(), cell, state.c_str(), started_ms);
    return text;
  }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      const auto session = std::make_shared<NodeSession>();
      session->fd = fd;
      const auto number = accepted_++;
      std::thread([this, session, number] { serve(session, handshake ? handshake(number) : 0); }).detach();
    }
  }
  // When each byte arrived at this machine is known to about a millisecond: while the node hangs, the bytes
  // that wait in its socket are counted.
  void serve(const Session& session, double handshake_seconds) {
    // A connection that its router has closed by the end of the handshake never comes up.
    for (const auto up = now() + handshake_seconds; now() < up; sleep_for(0.001)) {
    }
    pollfd closed{session->fd, POLLRDHUP, 0};
    const auto gone = handshake_seconds > 0 && ::poll(&closed, 1, 0) > 0 && (closed.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    std::string buffer;
    std::uint64_t taken = 0;                                  // bytes read
    std::uint64_t frames = 0;                                 // of them, up to the last frame's end
    std::vector<std::pair<std::uint64_t, double>> arrivals;   // bytes in all, when they were first seen here
    std::uint64_t seen = 0;
    const auto look = [&] {
      int waiting = 0;
      if (::ioctl(session->fd, FIONREAD, &waiting) != 0) return;
      const auto total = taken + static_cast<std::uint64_t>(waiting);
      if (total > seen) arrivals.emplace_back(seen = total, now());
    };
    while (!gone) {
      if (hangs) {
        look();
        sleep_for(0.001);
        continue;
      }
      pollfd state{session->fd, POLLIN, 0};
      if (::poll(&state, 1, 5) == 0) continue;
      look();
      if (hangs) continue;
      char bytes[65536];
      const auto count = ::recv(session->fd, bytes, sizeof bytes, 0);
      if (count <= 0) break;
      taken += static_cast<std::uint64_t>(count);
      if (taken > seen) arrivals.emplace_back(seen = taken, now());
      buffer.append(bytes, static_cast<std::size_t>(count));
      while (buffer.size() >= 4) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(buffer[static_cast<std::size_t>(i)]);
        if (buffer.size() < 4 + length) break;
        frames += 4 + length;
        double arrived = now();
        for (const auto& [total, at] : arrivals)
          if (total >= frames) {
            arrived = at;
            break;
          }
        handle(session, buffer.substr(4, length), arrived);
        buffer.erase(0, 4 + length);
      }
      while (arrivals.size() > 1 && arrivals.front().first <= frames) arrivals.erase(arrivals.begin());
    }
    const std::lock_guard lock(session->mutex);
    session->open = false;
    ::close(session->fd);
  }
  void handle(const Session& session, const std::string& frame, double arrived) {
    if (frame.empty()) return;
    const auto letter = frame[0];
    auto rest = frame.substr(1);
    if (letter == 'H') return session->frame('H', "done");
    if (letter == 'M') return session->frame('M', "-");
    if (letter != 'S') return;  // a cancel stops no work at these sites
    while (!rest.empty()) {
      const auto end = rest.find('\n');
      if (end == std::string::npos) return;
      std::istringstream line(rest.substr(0, end));
      Part part;
      std::string list;
      std::size_t length = 0;
      line >> part.id >> part.shard >> list >> length;
      std::istringstream pairs(list);
      for (std::string pair; std::getline(pairs, pair, ',');)
        part.list[pair.substr(0, pair.find('='))] = pair.substr(std::min(pair.find('=') + 1, pair.size()));
      part.text = rest.substr(end + 1, length);
      part.arrived = arrived;
      rest.erase(0, end + 1 + length);
      if (on_part) on_part(part, session);
    }
  }
  int listener_ = -1, accepted_ = 0;
};

// The value that a node makes of a part, so that a client can tell its own.
inline std::string value_of(const std::string& text, int shard) {
  return text.substr(0, 16) + "@" + std::to_string(shard);
}

// --- discovery: an agent that answers watches

class Discovery {
 public:
  explicit Discovery(std::vector<DataNode*> nodes) : nodes_(std::move(nodes)) {
    listener_ = listen_on(0, &port);
    std::thread([this] { accept_all(); }).detach();
  }
  int port = 0;
  std::atomic<double> first_answer_delay{0};  // seconds from a call to its first byte
  std::function<void(const std::string&)> on_event;

  std::string whole() {
    std::string text;
    for (auto* node : nodes_)
      if (node->state != "gone") text += (text.empty() ? "" : ",") + node->entry();
    return R"({"version":)" + std::to_string(version_) + R"(,"full":true,"servers":[)" + text + "]}\n";
  }
  // Tells the state of this node on all watches.
  void change(DataNode* node) {
    const std::lock_guard lock(mutex_);
    ++version_;
    changes_.emplace_back(version_, node->entry());
    const auto line = R"({"version":)" + std::to_string(version_) + R"(,"full":false,"servers":[)" + node->entry() + "]}\n";
    for (const auto& watch : watches_) write_all(watch->fd, chunk(line));
  }
  void end_watches() {
    const std::lock_guard lock(mutex_);
    for (const auto& watch : watches_) ::shutdown(watch->fd, SHUT_RDWR);
    watches_.clear();
  }

 private:
  struct Watch {
    int fd;
  };
  static std::string chunk(const std::string& text) {
    char head[32];
    std::snprintf(head, sizeof head, "%zx\r\n", text.size());
    return head + text + "\r\n";
  }
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string request;
    char bytes[4096];
    while (request.find("\r\n\r\n") == std::string::npos) {
      const auto count = ::recv(fd, bytes, sizeof bytes, 0);
      if (count <= 0) return void(::close(fd));
      request.append(bytes, static_cast<std::size_t>(count));
    }
    if (on_event) on_event("call " + request.substr(0, request.find("\r\n")));
    const auto due = now() + first_answer_delay;
    while (now() < due) {  // slow, but it sees that the caller has gone
      pollfd state{fd, POLLIN | POLLRDHUP, 0};
      if (::poll(&state, 1, 5) > 0) {
        if (on_event) on_event("the caller closed its call before the answer");
        return void(::close(fd));
      }
    }
    const auto watch = std::make_shared<Watch>(Watch{fd});
    {
      const std::lock_guard lock(mutex_);
      std::string first;
      const auto at = request.find("since=");
      const int since = at == std::string::npos ? -1 : std::atoi(request.c_str() + at + 6);
      if (since < 0 || since > version_) {
        first = whole();
      } else {
        std::string entries;
        for (const auto& [version, entry] : changes_)
          if (version > since) entries += (entries.empty() ? "" : ",") + entry;
        first = entries.empty() ? "\n"
                                : R"({"version":)" + std::to_string(version_) + R"(,"full":false,"servers":[)" + entries + "]}\n";
      }
      write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(first));
      if (on_event) on_event("answered: " + first.substr(0, 60));
      watches_.push_back(watch);
    }
    double beat = now() + 2;
    for (;;) {
      pollfd state{fd, POLLIN | POLLRDHUP, 0};
      if (::poll(&state, 1, 20) > 0) break;
      if (now() < beat) continue;
      beat += 2;
      const std::lock_guard lock(mutex_);
      if (!write_all(fd, chunk("\n"))) break;
    }
    const std::lock_guard lock(mutex_);
    std::erase(watches_, watch);
    ::close(fd);
  }
  std::vector<DataNode*> nodes_;
  int listener_ = -1;
  std::mutex mutex_;
  int version_ = 41;
  std::vector<std::pair<int, std::string>> changes_;
  std::vector<std::shared_ptr<Watch>> watches_;
};

// --- clients

struct Answer {
  int status = 0;  // 0: the connection ended without a whole answer
  std::string head, body;
  double at = 0;
  bool refused() const { return status == 429 || status == 503; }
};

inline std::string request(const std::string& vertical, const std::string& id, long remaining_ms,
                           const std::vector<int>& shards, const std::string& text, const std::string& key = "") {
  std::string targets;
  for (const auto shard : shards) {
    char entry[96];
    std::snprintf(entry, sizeof entry, R"(%s{"partition":%d,"share":%.6f})", targets.empty() ? "" : ",", shard,
                  1.0 / static_cast<double>(shards.size()));
    targets += entry;
  }
  const auto body = R"({"targets":[)" + targets + R"(],"query":")" + text + R"("})";
  return "POST /" + vertical + " HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + id +
         "\r\nX-Remaining: " + std::to_string(remaining_ms) + "m\r\n" +
         (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

class Client {
 public:
  explicit Client(int port) : fd_(connect_to(port)) {}
  ~Client() { close(); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  bool connected() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  bool send(const std::string& bytes) { return fd_ >= 0 && write_all(fd_, bytes); }
  // Reads one answer; status 0 if the connection ends or `until` passes first.
  Answer read(double until) {
    Answer answer;
    char bytes[65536];
    while (fd_ >= 0) {
      const auto end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        const auto head = buffer_.substr(0, end + 4);
        const auto at = head.find("Content-Length: ");
        const auto length = at == std::string::npos ? 0 : std::strtoul(head.c_str() + at + 16, nullptr, 10);
        if (buffer_.size() >= end + 4 + length) {
          answer.head = head;
          answer.status = std::atoi(head.c_str() + 9);
          answer.body = buffer_.substr(end + 4, length);
          answer.at = now();
          buffer_.erase(0, end + 4 + length);
          return answer;
        }
      }
      const auto left = until - now();
      pollfd state{fd_, POLLIN, 0};
      if (left <= 0 || ::poll(&state, 1, static_cast<int>(left * 1e3) + 1) == 0) break;
      const auto count = ::recv(fd_, bytes, sizeof bytes, 0);
      if (count <= 0) {
        ended_ = true;
        break;
      }
      buffer_.append(bytes, static_cast<std::size_t>(count));
    }
    answer.at = now();
    return answer;
  }
  bool ended() const { return ended_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
  bool ended_ = false;
  std::string buffer_;
};

// --- routers

// The command that the deploy file names for a router.
inline std::string run_command(const std::string& root) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with("run = \"")) return line.substr(7, line.rfind('"') - 7);
  cannot_run("the deploy file names no run command");
}

struct RouterOptions {
  std::string name = "n0", zone = "a", settings, known;
  int discovery = 0;
  std::string folder;  // a temporary one
};

class Router {
 public:
  Router(const std::string& root, RouterOptions options) : root_(root), options_(std::move(options)) {
    port = free_port();
    start();
  }
  ~Router() { kill(SIGKILL); }
  int port = 0;

  std::string config_path() const { return options_.folder + "/" + options_.name + ".json"; }
  std::string log_path() const { return options_.folder + "/" + options_.name + ".log"; }
  void write_config(int discovery) const {
    std::ofstream(config_path()) << R"({"name":")" << options_.name << R"(","listen":"127.0.0.1:)" << port
                                 << R"(","discovery":"127.0.0.1:)" << discovery << R"(","seed":"8c1f30d27a5b)"
                                 << (1000 + (::getpid() + port) % 9000) << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)"
                                 << options_.known << R"(,"settings":)" << options_.settings << "}\n";
  }
  void start() {
    write_config(options_.discovery);
    const auto command = run_command(root_);
    const auto listen = "127.0.0.1:" + std::to_string(port), agent = "127.0.0.1:" + std::to_string(options_.discovery);
    const auto log = log_path(), config = config_path();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it never outlives the case
      if (::chdir(root_.c_str()) != 0) ::_exit(127);
      const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::setenv("RELAY_NAME", options_.name.c_str(), 1);
      ::setenv("RELAY_LISTEN", listen.c_str(), 1);
      ::setenv("RELAY_DISCOVERY", agent.c_str(), 1);
      ::setenv("RELAY_CONFIG", config.c_str(), 1);
      ::setenv("TMPDIR", options_.folder.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  bool wait_ready(double seconds = 10) const {
    for (const auto until = now() + seconds; now() < until; sleep_for(0.02)) {
      Client client(port);
      if (client.send("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n") && client.read(now() + 1).status == 200) return true;
    }
    return false;
  }
  void kill(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    if (number == SIGKILL) {
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // Whether it has ended by itself.
  bool ended() {
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  int status = 0;

 private:
  std::string root_;
  RouterOptions options_;
  pid_t pid_ = -1;
};

// --- a case

struct Case {
  std::string root, folder, temporary;
  bool trouble = true;
  Record record;
  static std::string environment(const char* name, const char* otherwise) {
    const auto* value = std::getenv(name);
    return value ? value : otherwise;
  }
  explicit Case(int count, char** arguments)
      : root(count > 1 ? arguments[1] : "."),
        folder(count > 2 ? arguments[2] : "."),
        temporary(count > 3 ? arguments[3] : "/tmp"),
        trouble(environment("TROUBLE", "1") != "0"),
        record(folder + "/record.txt") {
    ::signal(SIGPIPE, SIG_IGN);
    record.line("start, disruption %s", trouble ? "on" : "off");
  }
  // Ends the program at once, threads included. The routers must have been ended before.
  [[noreturn]] void end(bool broken, const std::string& words) {
    record.line("%s: %s", broken ? "BROKEN" : "HELD", words.c_str());
    std::cout << (broken ? "BROKEN: " : "HELD: ") << words << std::endl;
    std::_Exit(broken ? 1 : 0);
  }
};

inline std::string known_list(const std::vector<DataNode*>& nodes, int version = 41) {
  std::string text;
  for (auto* node : nodes) text += (text.empty() ? "" : ",") + node->entry();
  return R"({"version":)" + std::to_string(version) + R"(,"full":true,"servers":[)" + text + "]}";
}

}  // namespace standin
