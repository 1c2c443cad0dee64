// Complete writes to a file descriptor: short and interrupted writes are continued.
#pragma once

#include <unistd.h>

#include <cerrno>
#include <cstddef>

namespace yoketurn {

// Writes all `size` bytes. On failure returns false with errno set; a part of the bytes may have been
// written.
inline bool write_fully(int descriptor, const char* bytes, std::size_t size) {
  while (size > 0) {
    const auto count = ::write(descriptor, bytes, size);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return false;
    if (count == 0) {
      errno = ENOSPC;
      return false;
    }
    bytes += count;
    size -= static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace yoketurn
