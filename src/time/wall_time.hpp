// A point in time of the wall clock, which may be stepped at any moment. It is read for what other machines
// tell by it, for logs and for files; deadlines, windows, waits and ages go by now() of queries/clock.hpp.
// The type keeps the two apart: neither converts into the other.
#pragma once

#include <chrono>

namespace yoketurn {

struct WallTime {
  double unix_seconds = 0;

  static WallTime now() {
    return {std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count()};
  }
  bool operator==(const WallTime&) const = default;
};

// Seconds from one to the other, negative where `to` is earlier.
inline double span(WallTime from, WallTime to) {
  return to.unix_seconds - from.unix_seconds;
}

}  // namespace yoketurn
