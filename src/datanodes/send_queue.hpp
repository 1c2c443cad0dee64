// What the kernel holds of the bytes written to a TCP socket. Linux only; where the kernel can't tell, it
// counts as holding nothing.
#pragma once

#include <cstdint>

namespace yoketurn {

// Bytes that the peer's machine has not acknowledged.
std::uint64_t unacknowledged_bytes(int socket);
// Of them, those that the kernel hasn't sent yet, as the peer takes no more.
std::uint64_t unsent_bytes(int socket);

// When poll() and epoll count a socket as writable.
enum class WritableWhen {
  room_in_send_buffer,  // the kernel's default
  all_sent,             // the kernel holds no unsent bytes
};
// Returns false if the kernel doesn't support it.
bool set_writable_when(int socket, WritableWhen when);

}  // namespace yoketurn
