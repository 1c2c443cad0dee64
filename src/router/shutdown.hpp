// The times of a shutdown: from SIGTERM to the SIGKILL that the platform sends behind it. No I/O; seconds on
// the monotonic clock.
#pragma once

#include <algorithm>

namespace yoketurn {

class Shutdown {
 public:
  // longest_wait: the longest that a client waits for an answer.
  explicit Shutdown(double longest_wait) : longest_wait_(longest_wait) {}

  void begin(double now) { told_at_ = now; }

  // Until then new connections are still taken: clients that cross the signal don't know of it yet.
  double accepts_until() const { return told_at_ + kCrossing; }
  // The earliest SIGKILL.
  double killed_at() const { return accepts_until() + std::min(longest_wait_, kLongestEnd); }
  // Until then open connections are served like before: clients find out late, and where other routers
  // restart too, all would else have closed before the first of them is back.
  double serves_until() const { return (accepts_until() + killed_at()) / 2; }
  // By then every answer is given.
  double answers_by() const { return killed_at() - kSpare; }

 private:
  static constexpr double kCrossing = 0.7;  // after SIGTERM, within which new connections still come
  static constexpr double kLongestEnd = 3;  // the platform waits no longer than this after it
  static constexpr double kSpare = 0.2;     // for clients to read their answers

  double longest_wait_;
  double told_at_ = 0;
};

}  // namespace yoketurn
