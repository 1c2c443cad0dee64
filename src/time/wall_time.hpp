// A point in time of the wall clock, which may be stepped at any moment. Use it only for timestamps exchanged
// with other hosts, for logs and for files; deadlines, windows, waits and ages use the monotonic now() of
// queries/clock.hpp. This type doesn't convert from or to monotonic times, so that the two can't be mixed up.
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

// Negative if `to` is earlier than `from`.
inline double seconds_between(WallTime from, WallTime to) {
  return to.unix_seconds - from.unix_seconds;
}

}  // namespace yoketurn
