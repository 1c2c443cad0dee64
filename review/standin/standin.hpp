// Stand-ins for data nodes, the discovery agent, clients and the platform, as the protocol and deployment pages
// describe them. Blocking sockets on 127.0.0.1, a thread a connection; standard library and POSIX only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace standin {

inline const auto kStart = std::chrono::steady_clock::now();
// Seconds since the start of the test, on the monotonic clock.
inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - kStart).count();
}
inline void sleep_until(double at) {
  const auto left = at - now();
  if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}
inline void sleep_for(double seconds) { sleep_until(now() + seconds); }

// What was sent, answered and run, one line each with the time since the start.
class Record {
 public:
  explicit Record(const char* path) : file_(std::fopen(path, "w")) {
    if (file_ == nullptr) throw std::runtime_error(std::string("can't write ") + path);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}
inline std::uint16_t port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}
// max_segment, receive_buffer: of the connections that are accepted, in bytes; 0: loopback's own.
inline int listen_at(std::uint16_t port = 0, int max_segment = 0, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receive_buffer > 0) ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  if (max_segment > 0) ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &max_segment, sizeof max_segment);
  auto address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0)
    throw std::runtime_error("can't listen on loopback");
  return fd;
}
// A free port: bound once and released.
inline std::uint16_t free_port() {
  const int fd = listen_at();
  const auto port = port_of(fd);
  ::close(fd);
  return port;
}
inline int connect_to(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool write_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto count = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      if (count < 0 && errno == EINTR) continue;
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}
// Appends what arrives within `seconds`. 1: something came; 0: the time is over; -1: end or reset.
inline int read_more(int fd, std::string& buffer, double seconds) {
  pollfd state{fd, POLLIN, 0};
  const auto until = now() + seconds;
  for (;;) {
    const auto left = until - now();
    const int ready = ::poll(&state, 1, left > 0 ? static_cast<int>(left * 1e3) + 1 : 0);
    if (ready < 0 && errno == EINTR) continue;
    if (ready == 0) return 0;
    break;
  }
  char bytes[65536];
  const auto count = ::recv(fd, bytes, sizeof bytes, 0);
  if (count <= 0) return -1;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return 1;
}

// --- data nodes

struct Part {
  std::string id;
  int shard = 0;
  std::string list;  // d=240,k=...
  std::string text;
  double read_at = 0;  // when the last byte of its frame was read
  std::uint64_t frame_end = 0;  // bytes of the connection up to the end of its frame
};

// The bytes in the queues of the kernel for a connection on loopback: sent and not read (receive), not yet taken over by the
// other side (send). Rows of /proc/net/tcp.
struct KernelQueues {
  std::uint64_t send = 0, receive = 0;
  bool known = false;
};
inline KernelQueues kernel_queues(std::uint16_t local, std::uint16_t remote) {
  std::ifstream file("/proc/net/tcp");
  std::string line;
  while (std::getline(file, line)) {
    unsigned from_address = 0, from = 0, to_address = 0, to = 0, state = 0, send = 0, receive = 0;
    if (std::sscanf(line.c_str(), " %*d: %x:%x %x:%x %x %x:%x", &from_address, &from, &to_address, &to, &state, &send, &receive) == 7 &&
        from == local && to == remote)
      return {send, receive, true};
  }
  return {};
}

class NodeSession {
 public:
  explicit NodeSession(int fd) : fd_(fd) {}
  ~NodeSession() { ::close(fd_); }
  bool answer(const std::string& id, const char* end, long long score, std::string_view value) {
    return frame('R', id + " " + end + " " + std::to_string(score) + " -\n" + std::string(value));
  }
  bool frame(char type, std::string_view rest) {
    const std::lock_guard lock(mutex_);
    const auto length = static_cast<std::uint32_t>(rest.size() + 1);
    std::string bytes;
    for (int shift = 24; shift >= 0; shift -= 8) bytes += static_cast<char>((length >> shift) & 0xff);
    bytes += type;
    bytes += rest;
    return write_all(fd_, bytes);
  }
  int fd() const { return fd_; }
  std::atomic<std::uint64_t> read_bytes = 0;
  // Bytes of this connection that the router's process has handed to the kernel so far, read by the node or not. Without the
  // kernel's rows nothing can be said: as if all had been handed over.
  std::uint64_t handed_over() const {
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    ::getpeername(fd_, reinterpret_cast<sockaddr*>(&peer), &size);
    const auto own = port_of(fd_), other = ntohs(peer.sin_port);
    const auto here = kernel_queues(own, other), there = kernel_queues(other, own);
    return here.known && there.known ? read_bytes + here.receive + there.send : UINT64_MAX;
  }
  // Resets the connection at once, under whatever is out on it.
  void reset() {
    reset_ = true;
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    ::connect(fd_, &none, sizeof none);
  }
  bool is_reset() const { return reset_; }

 private:
  int fd_;
  std::atomic<bool> reset_ = false;
  std::mutex mutex_;
};

class DataNode {
 public:
  std::function<void(const Part&, std::shared_ptr<NodeSession>)> on_part;
  std::function<void(const std::string& id)> on_cancel;

  // While it is silent its connections stay open, and nothing is read from them.
  std::atomic<bool> silent = false;

  explicit DataNode(int max_segment = 0, int receive_buffer = 0)
      : listener_(listen_at(0, max_segment, receive_buffer)), port_(port_of(listener_)) {}
  void start() {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto session = std::make_shared<NodeSession>(fd);
        {
          const std::lock_guard lock(sessions_mutex_);
          sessions_.push_back(session);
        }
        std::thread([this, session] { serve(session); }).detach();
      }
    }).detach();
  }
  std::vector<std::shared_ptr<NodeSession>> sessions() {
    const std::lock_guard lock(sessions_mutex_);
    std::vector<std::shared_ptr<NodeSession>> open;
    for (const auto& each : sessions_)
      if (const auto session = each.lock()) open.push_back(session);
    return open;
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void serve(std::shared_ptr<NodeSession> session) {
    std::string buffer;
    for (;;) {
      while (buffer.size() >= 5) {
        std::size_t length = 0;
        for (int i = 0; i < 4; ++i) length = length << 8 | static_cast<unsigned char>(buffer[static_cast<std::size_t>(i)]);
        if (buffer.size() < 4 + length) break;
        const char type = buffer[4];
        const auto rest = buffer.substr(5, length - 1);
        buffer.erase(0, 4 + length);
        if (type == 'S') {
          for (auto& part : parts_of(rest)) {
            part.frame_end = session->read_bytes - buffer.size();
            on_part(part, session);
          }
        } else if (type == 'C') {
          if (on_cancel) on_cancel(rest);
        } else if (type == 'H') {
          session->frame('H', "done");
        } else if (type == 'M') {
          session->frame('M', "-");
        } else {
          session->frame('F', "unknown letter");
          return;
        }
      }
      while (silent) sleep_for(0.001);
      if (session->is_reset()) return;
      const auto before = buffer.size();
      if (read_more(session->fd(), buffer, 0.005) < 0) return;
      session->read_bytes += buffer.size() - before;
    }
  }
  static std::vector<Part> parts_of(const std::string& rest) {
    std::vector<Part> parts;
    std::size_t at = 0;
    while (at < rest.size()) {
      const auto end = rest.find('\n', at);
      if (end == std::string::npos) break;
      char id[600], list[5000];
      int shard = 0;
      std::size_t length = 0;
      if (std::sscanf(rest.substr(at, end - at).c_str(), "%599s %d %4999s %zu", id, &shard, list, &length) != 4) break;
      parts.push_back({id, shard, list, rest.substr(end + 1, length), now(), 0});
      at = end + 1 + length;
    }
    return parts;
  }
  int listener_;
  std::uint16_t port_;
  std::mutex sessions_mutex_;
  std::vector<std::weak_ptr<NodeSession>> sessions_;
};

// --- the discovery agent

inline std::string entry(const std::string& id, const std::string& address, int cell, const char* state = "ready",
                         const std::string& zone = "a") {
  return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone +
         "\",\"kind\":\"m2\",\"cell\":" + std::to_string(cell) + ",\"state\":\"" + state +
         "\",\"weight\":1.0,\"started_ms\":0}";
}
inline std::string list_of(long long version, bool full, const std::vector<std::string>& entries) {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") + ",\"servers\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) text += (i ? "," : "") + entries[i];
  return text + "]}";
}
inline std::string chunk(std::string_view bytes) {
  char head[32];
  std::snprintf(head, sizeof head, "%zx\r\n", bytes.size());
  return head + std::string(bytes) + "\r\n";
}
inline constexpr std::string_view kWatchHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

// Accepts the watches. `serve` gets the connection once its request has been read and keeps it as long as it likes.
class Agent {
 public:
  std::function<void(int fd, const std::string& request)> serve;
  Agent() : listener_(listen_at()), port_(port_of(listener_)) {}
  void start() {
    std::thread([this] {
      for (;;) {
        const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] {
          std::string request;
          while (request.find("\r\n\r\n") == std::string::npos)
            if (read_more(fd, request, 3600) < 0) break;
          if (request.find("\r\n\r\n") != std::string::npos) serve(fd, request);
          ::close(fd);
        }).detach();
      }
    }).detach();
  }
  std::uint16_t port() const { return port_; }

 private:
  int listener_;
  std::uint16_t port_;
};

// Whether the peer has closed or reset the connection (nothing more is expected from it).
inline bool peer_gone(int fd) {
  char byte;
  const auto count = ::recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}
// The empty line every 2 s, until the router closes.
inline void heartbeats(int fd) {
  for (;;) {
    for (int i = 0; i < 20; ++i) {
      sleep_for(0.1);
      if (peer_gone(fd)) return;
    }
    if (!write_all(fd, chunk("\n"))) return;
  }
}

// --- clients

struct Answer {
  int status = 0;  // 0: none came
  std::string body;
  double at = 0;  // of the last byte
  bool closes = false;  // it says Connection: close
};
// Reads one answer with a length. `buffer` keeps what belongs to the next.
inline Answer read_answer(int fd, std::string& buffer, double until) {
  Answer answer;
  for (;;) {
    const auto end = buffer.find("\r\n\r\n");
    if (end != std::string::npos) {
      std::size_t length = 0;
      const auto field = buffer.find("Content-Length: ");
      if (field != std::string::npos && field < end) length = std::strtoul(buffer.c_str() + field + 16, nullptr, 10);
      if (buffer.size() >= end + 4 + length) {
        answer.status = std::atoi(buffer.c_str() + 9);
        answer.body = buffer.substr(end + 4, length);
        answer.at = now();
        const auto closes = buffer.find("Connection: close");
        answer.closes = closes != std::string::npos && closes < end;
        buffer.erase(0, end + 4 + length);
        return answer;
      }
    }
    const auto left = until - now();
    if (left <= 0 || read_more(fd, buffer, left) < 0) return answer;
  }
}
inline std::string post(const std::string& path, const std::string& txn, int remaining_ms, const std::string& body,
                        const std::string& more_heads = "") {
  return "POST /" + path + " HTTP/1.1\r\nHost: service.internal\r\nX-Txn: " + txn +
         "\r\nX-Remaining: " + std::to_string(remaining_ms) + "m\r\n" + more_heads +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- the platform

// One query router, started by the deploy file's `run` through /bin/sh from the repository's root.
class RouterProcess {
 public:
  RouterProcess(std::string root, std::string run, std::string folder, std::string name)
      : root_(std::move(root)), run_(std::move(run)), config_(folder + "/" + name + ".json"), log_(folder + "/" + name + ".log"),
        folder_(std::move(folder)), name_(std::move(name)), listen_(free_port()) {}
  ~RouterProcess() { kill(SIGKILL); }
  std::uint16_t port() const { return listen_; }
  const std::string& log() const { return log_; }
  const std::string& name() const { return name_; }
  // Writes the configuration whole, by a rename.
  void configure(std::uint16_t discovery, const std::string& known, const std::string& settings, int sockets = 512,
                 int memory_mb = 128) {
    discovery_ = discovery;
    std::ofstream(config_ + ".new") << "{\"name\":\"" << name_ << "\",\"listen\":\"127.0.0.1:" << listen_
                                    << "\",\"discovery\":\"127.0.0.1:" << discovery
                                    << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << memory_mb
                                    << ",\"sockets\":" << sockets << "},\n\"known\":" << known << ",\n\"settings\":" << settings << "}\n";
    std::rename((config_ + ".new").c_str(), config_.c_str());
  }
  void start() {
    const auto parent = ::getpid();
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(125);
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::setenv("RELAY_NAME", name_.c_str(), 1);
      ::setenv("RELAY_LISTEN", ("127.0.0.1:" + std::to_string(listen_)).c_str(), 1);
      ::setenv("RELAY_DISCOVERY", ("127.0.0.1:" + std::to_string(discovery_)).c_str(), 1);
      ::setenv("RELAY_CONFIG", config_.c_str(), 1);
      ::setenv("TMPDIR", folder_.c_str(), 1);
      if (::chdir(root_.c_str()) != 0) ::_exit(126);
      ::execl("/bin/sh", "sh", "-c", run_.c_str(), nullptr);
      ::_exit(127);
    }
  }
  // GET /_health until it answers 200.
  bool ready(double seconds) {
    const auto until = now() + seconds;
    while (now() < until) {
      const int fd = connect_to(listen_);
      if (fd >= 0) {
        std::string buffer;
        write_all(fd, "GET /_health HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
        const auto answer = read_answer(fd, buffer, now() + 1);
        ::close(fd);
        if (answer.status == 200) return true;
      }
      sleep_for(0.05);
    }
    return false;
  }
  pid_t pid() const { return pid_; }
  bool running() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    pid_ = 0;
    status_ = status;
    return false;
  }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    ::waitpid(pid_, &status_, 0);
    pid_ = 0;
  }

 private:
  std::string root_, run_, config_, log_, folder_, name_;
  std::uint16_t listen_, discovery_ = 0;
  pid_t pid_ = 0;
  int status_ = 0;
};

// --- a deployment of the size and the settings of armor-cafe: 12 data nodes in a ring, 24 shards, each at 4 nodes

inline constexpr int kNodes = 12;
inline constexpr int kShards = 24;
inline constexpr int kSpan = 4;
inline const char* const kArmorCafe = R"({
  "balancers": 3, "resolution_us": 5000, "zone": "rennes", "zones": ["rennes", "brest", "vannes"], "worth_by": "work",
  "discovery": "push", "customers": [], "over_share_worth": 0.1,
  "bounds": {"cancel": true, "max_attempts": 3, "may_duplicate": true, "retry_after": true, "max_retry_after_us": 500000,
    "max_open": 400, "streams_per_conn": 100, "connect_timeout_us": 250000, "conn_idle_us": 15000000, "probes": true,
    "peer_messages": false},
  "classes": [
    {"name": "bilan-mensuel", "semantics": "safe", "aim_us": 5000000, "deadline_us": 10000000, "credit": 3.0, "late_worth": 0.0, "window_us": 5000000},
    {"name": "recherche", "semantics": "safe", "aim_us": 2500000, "deadline_us": 7500000, "credit": 1.0, "late_worth": 0.3, "window_us": 5000000},
    {"name": "modif-commande", "semantics": "keyed", "aim_us": 2000000, "deadline_us": 5000000, "credit": 2.0, "late_worth": 0.1, "window_us": 5000000}],
  "contract": {"answer_slack_us": 50000, "cold_us": 13000000, "fall_multiple": 2.5, "overload_for_us": 1000000,
    "start_capacity": 0.28, "drain_grace_us": 1000000},
  "domain": {"places": 12, "span": 4, "slices": 24, "parts_a_call": 1, "min_share": [1.0, 1.0, 1.0],
    "whole_at": [1.0, 1.0, 1.0], "partial_earns": [0.9, 0.9, 0.9], "second_step": [5, 0, 0]}
})";
inline const char* zone_of(int node) {
  static const char* const zones[] = {"rennes", "brest", "vannes"};
  return zones[node % 3];
}
// A query's body: `parts` shards in a row from `first` on, of equal shares.
inline std::string query_body(int first, int parts, const std::string& text) {
  std::string body = "{\"targets\":[";
  for (int i = 0; i < parts; ++i) {
    char target[80];
    std::snprintf(target, sizeof target, "%s{\"partition\":%d,\"share\":%.6f}", i ? "," : "", (first + i) % kShards, 1.0 / parts);
    body += target;
  }
  return body + "],\"query\":\"" + text + "\"}";
}

// What run.sh passes: TROUBLE, the folder for record.txt, the repository's root, `run` of the deploy file, a
// temporary folder.
struct Arguments {
  bool trouble;
  std::string record, root, run, folder;
};
inline Arguments arguments(int argc, char** argv) {
  if (argc != 5) throw std::runtime_error("usage: RECORD ROOT RUN FOLDER");
  ::signal(SIGPIPE, SIG_IGN);
  // Ends with the script that started it, and after 110 s in any case; the routers end with this process.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() == 1) throw std::runtime_error("the script has ended");
  ::signal(SIGALRM, [](int) { ::_exit(2); });
  ::alarm(110);
  const char* trouble = std::getenv("TROUBLE");
  return {trouble == nullptr || std::string_view(trouble) != "0", argv[1], argv[2], argv[3], argv[4]};
}

}  // namespace standin
