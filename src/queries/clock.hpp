// The clocks of a router process. now() is monotonic; all times in seconds are on this clock unless stated
// otherwise.
#pragma once

#include <chrono>

namespace yoketurn {

inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// The Unix time, by this machine's wall clock, at which now() is 0.
inline double unix_time_at_zero() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() - now();
}

}  // namespace yoketurn
