#include "tests/faults/injector.hpp"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>

namespace yoketurn::faults {

namespace {

thread_local FaultPlan* current_plan = nullptr;

// Whether the call fails; errno is set then. shortens: the call succeeds, but with fewer bytes or events.
bool fails(SystemCall call, int descriptor, bool& shortens) {
  shortens = false;
  const auto* const fault = current_plan != nullptr ? current_plan->next_fault(call, descriptor) : nullptr;
  if (fault == nullptr) return false;
  shortens = fault->error == 0;
  errno = fault->error;
  return !shortens;
}

}  // namespace

FaultPlan::FaultPlan(std::uint32_t seed, std::vector<Fault> faults, double probability,
                     bool spares_client_connections)
    : random_(seed),
      faults_(std::move(faults)),
      probability_(probability),
      spares_client_connections_(spares_client_connections) {}

const Fault* FaultPlan::next_fault(SystemCall call, int descriptor) {
  if (spares_client_connections_ && (call == SystemCall::accept || clients_.contains(descriptor)))
    return nullptr;
  if (std::uniform_real_distribution<>(0, 1)(random_) >= probability_) return nullptr;
  std::vector<const Fault*> matching;
  for (const auto& fault : faults_)
    if (fault.call == call) matching.push_back(&fault);
  if (matching.empty()) return nullptr;
  ++injected_[call];
  return matching[random_() % matching.size()];
}

std::size_t FaultPlan::shortened_size(std::size_t bytes) {
  return bytes <= 1 ? bytes : 1 + random_() % std::min<std::size_t>(bytes - 1, 16);
}

int FaultPlan::injected(SystemCall call) const {
  const auto found = injected_.find(call);
  return found == injected_.end() ? 0 : found->second;
}

void set_fault_plan(FaultPlan* plan) {
  current_plan = plan;
}

}  // namespace yoketurn::faults

using namespace yoketurn::faults;

extern "C" {

int __real_accept(int, sockaddr*, socklen_t*);
int __real_connect(int, const sockaddr*, socklen_t);
int __real_epoll_wait(int, epoll_event*, int, int);
int __real_socket(int, int, int);
ssize_t __real_recv(int, void*, size_t, int);
ssize_t __real_recvmsg(int, msghdr*, int);
ssize_t __real_send(int, const void*, size_t, int);
ssize_t __real_sendmsg(int, const msghdr*, int);

int __wrap_accept(int descriptor, sockaddr* address, socklen_t* length) {
  bool shortens = false;
  if (fails(SystemCall::accept, descriptor, shortens)) return -1;
  const auto accepted = __real_accept(descriptor, address, length);
  if (current_plan != nullptr && accepted >= 0) current_plan->client_accepted(accepted);
  return accepted;
}

int __wrap_connect(int descriptor, const sockaddr* address, socklen_t length) {
  bool shortens = false;
  return fails(SystemCall::connect, descriptor, shortens) ? -1 : __real_connect(descriptor, address, length);
}

int __wrap_epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout) {
  bool shortens = false;
  if (fails(SystemCall::epoll_wait, descriptor, shortens)) return -1;
  return __real_epoll_wait(descriptor, events, shortens ? 1 : max_events, timeout);
}

int __wrap_socket(int domain, int type, int protocol) {
  bool shortens = false;
  if (fails(SystemCall::socket, -1, shortens)) return -1;
  const auto opened = __real_socket(domain, type, protocol);
  if (current_plan != nullptr && opened >= 0) current_plan->socket_opened(opened);
  return opened;
}

ssize_t __wrap_recv(int descriptor, void* bytes, size_t size, int flags) {
  bool shortens = false;
  if (fails(SystemCall::receive, descriptor, shortens)) return -1;
  return __real_recv(descriptor, bytes, shortens ? current_plan->shortened_size(size) : size, flags);
}

ssize_t __wrap_recvmsg(int descriptor, msghdr* message, int flags) {
  bool shortens = false;
  if (fails(SystemCall::receive, descriptor, shortens)) return -1;
  if (!shortens || message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0)
    return __real_recvmsg(descriptor, message, flags);
  return __real_recv(descriptor, message->msg_iov[0].iov_base,
                     current_plan->shortened_size(message->msg_iov[0].iov_len), flags);
}

ssize_t __wrap_send(int descriptor, const void* bytes, size_t size, int flags) {
  bool shortens = false;
  if (fails(SystemCall::send, descriptor, shortens)) return -1;
  return __real_send(descriptor, bytes, shortens ? current_plan->shortened_size(size) : size, flags);
}

ssize_t __wrap_sendmsg(int descriptor, const msghdr* message, int flags) {
  bool shortens = false;
  if (fails(SystemCall::send, descriptor, shortens)) return -1;
  if (!shortens || message->msg_iovlen == 0) return __real_sendmsg(descriptor, message, flags);
  return __real_send(descriptor, message->msg_iov[0].iov_base,
                     current_plan->shortened_size(message->msg_iov[0].iov_len), flags);
}
}
