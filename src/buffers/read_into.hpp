// Reads from a socket into a ring buffer.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/system/error_code.hpp>

#include "buffers/ring_buffer.hpp"

namespace yoketurn {

inline constexpr std::size_t kMaxReadBytes = 16 * 1024;  // with one system call

// Appends what the socket holds, as far as there is free space, up to max_bytes of at most kMaxReadBytes. The
// buffer's memory grows by what was read alone. Returns the number of bytes.
template <class Socket>
std::size_t read_into(RingBuffer& buffer, Socket& socket, boost::system::error_code& error,
                      std::size_t max_bytes = kMaxReadBytes) {
  std::array<char, kMaxReadBytes> bytes;
  const auto most = std::min(max_bytes, buffer.free_space());
  const auto count = socket.read_some(boost::asio::buffer(bytes, most), error);
  buffer.append({bytes.data(), count});
  return count;
}

}  // namespace yoketurn
