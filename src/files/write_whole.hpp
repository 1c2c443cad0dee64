// Writing to files: short and interrupted writes go on where they were.
#pragma once

#include <unistd.h>

#include <cerrno>
#include <cstddef>

namespace yoketurn {

// Writes all of these bytes. False: the disk took no more, errno says why, and a part may stand in the file.
inline bool write_whole(int descriptor, const char* bytes, std::size_t size) {
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
