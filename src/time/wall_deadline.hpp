// A deadline that is told as wall-clock time and kept on the monotonic clock.
#pragma once

#include <optional>

#include "time/wall_time.hpp"

namespace yoketurn {

// What is left until the deadline is worked out when it is first told. It stays where it is, whatever steps
// the wall clock makes later, also where the same deadline is told again; another one is worked out anew.
class WallDeadline {
 public:
  // The moment on the monotonic clock, in seconds.
  double told(WallTime until, WallTime wall_now, double now) {
    if (!known_ || known_->until != until) known_ = Known{until, now + span(wall_now, until)};
    return known_->at;
  }

 private:
  struct Known {
    WallTime until;
    double at;
  };
  std::optional<Known> known_;
};

}  // namespace yoketurn
