// Converts a deadline given as wall-clock time to the monotonic clock.
#pragma once

#include <optional>

#include "time/wall_time.hpp"

namespace yoketurn {

// Converts the deadline when it is first given. The result doesn't move when the wall clock is stepped later,
// even if the same deadline is given again; a different deadline is converted anew.
class WallDeadline {
 public:
  // The deadline in seconds on the monotonic clock. `now` and `wall_now` are the same instant on the two
  // clocks.
  double to_monotonic(WallTime until, WallTime wall_now, double now) {
    if (!converted_ || converted_->until != until)
      converted_ = Converted{until, now + seconds_between(wall_now, until)};
    return converted_->monotonic_seconds;
  }

 private:
  struct Converted {
    WallTime until;
    double monotonic_seconds;
  };
  std::optional<Converted> converted_;
};

}  // namespace yoketurn
