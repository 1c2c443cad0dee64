// The schedule of a shutdown, from SIGTERM to the SIGKILL that the platform sends after it. No I/O; times are
// seconds on the monotonic clock.
#pragma once

#include <algorithm>

namespace yoketurn {

class Shutdown {
 public:
  // max_client_wait: how long a client waits for an answer at most, in seconds.
  explicit Shutdown(double max_client_wait) : max_client_wait_(max_client_wait) {}

  // Call when SIGTERM arrives; all other times are relative to it.
  void begin(double now) { began_at_ = now; }

  // New connections are accepted until then, as clients that connect meanwhile don't know of the shutdown
  // yet.
  double accepts_until() const { return began_at_ + kAcceptSeconds; }
  // The earliest time at which the platform may send SIGKILL.
  double earliest_kill_at() const {
    return accepts_until() + std::min(max_client_wait_, kMaxTerminationGraceSeconds);
  }
  // Open connections are served as usual until then. Clients learn of the shutdown late, and where several
  // routers restart at once, all would otherwise have closed before the first of them is back.
  double serves_until() const { return (accepts_until() + earliest_kill_at()) / 2; }
  // Every answer has to be given by then.
  double answer_deadline() const { return earliest_kill_at() - kAnswerDeliverySeconds; }

 private:
  static constexpr double kAcceptSeconds = 0.7;  // new connections still arrive for so long after SIGTERM
  static constexpr double kMaxTerminationGraceSeconds = 3;  // after accepts_until(); the platform's limit
  static constexpr double kAnswerDeliverySeconds = 0.2;     // for clients to read their answers

  double max_client_wait_;
  double began_at_ = 0;
};

}  // namespace yoketurn
