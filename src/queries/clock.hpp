// The one clock of a router: seconds that only ever go forward.
#pragma once

#include <chrono>

namespace yoketurn {

inline double now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// What the machines' common clock shows, on that of this router, when now() is 0.
inline double unix_time_at_zero() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count() - now();
}

}  // namespace yoketurn
