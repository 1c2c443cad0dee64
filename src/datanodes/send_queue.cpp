#include "datanodes/send_queue.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace yoketurn {
namespace {

std::uint64_t queued_bytes(int socket, unsigned long request) {
  int count = 0;
  if (::ioctl(socket, request, &count) != 0 || count < 0) return 0;
  return static_cast<std::uint64_t>(count);
}

}  // namespace

std::uint64_t unacknowledged_bytes(int socket) {
  return queued_bytes(socket, SIOCOUTQ);
}

std::uint64_t unsent_bytes(int socket) {
  return queued_bytes(socket, SIOCOUTQNSD);
}

// TCP_NOTSENT_LOWAT is the number of unsent bytes from which on a socket doesn't count as writable; 0 stands
// for the system's default. Some layers between program and kernel accept it without effect, so it is read
// back.
bool set_writable_when(int socket, WritableWhen when) {
  const int limit = when == WritableWhen::all_sent ? 1 : 0;
  int in_effect = 0;
  socklen_t size = sizeof in_effect;
  return ::setsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &limit, sizeof limit) == 0 &&
         ::getsockopt(socket, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &in_effect, &size) == 0 && in_effect == limit;
}

}  // namespace yoketurn
