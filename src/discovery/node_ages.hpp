// When the processes of data nodes started, on this router's monotonic clock.
//
// Discovery reports the start of a node as a time of the wall clock. Wall clocks may be stepped by up to an
// hour, here or on the machine that reported the start, before this process began or while it runs. A node
// that is taken for older than it is would be overloaded in its slow start. So an implausible time counts as
// a start now:
// - A start that is learned while discovery is being followed lies between the last contact with discovery,
//   less the longest time until a start is announced, and now. An age by the wall clock counts only if it is
//   within that.
// - When this router itself starts, there is no such bound. An age shorter than the slow start counts; one
//   that may be the result of a step counts as a start now; a longer one means long ago.
// - A start in the future counts as a start now. A start of 0 means long ago, as the protocol defines it.
// What was learned of a process is kept, whatever either clock does later. Times and durations are in
// seconds.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "time/wall_time.hpp"

namespace yoketurn {

class NodeAges {
 public:
  // From the start of a node until discovery reports it.
  static constexpr double kMaxAnnouncementDelaySeconds = 10;
  static constexpr double kMaxClockStepSeconds = 3600;  // of a wall clock
  // Removed nodes whose starts are remembered, as they may come back without a restart.
  static constexpr std::size_t kMaxRemovedNodes = 1024;

  explicit NodeAges(double slow_start_seconds) : slow_start_seconds_(slow_start_seconds) {}

  // The start of a node's process on the monotonic clock, from its start on the wall clock; 0: long ago.
  // `now` and `wall_now` are the same moment on the two clocks.
  double started_at(const std::string& id, WallTime wall_started_at, double now, WallTime wall_now);
  // Anything was received from discovery, be it a heartbeat.
  void record_discovery_contact(double now) { last_discovery_contact_ = now; }
  // No node with this id is listed any more. Its start is kept for a while.
  void node_removed(const std::string& id);

 private:
  struct KnownNode {
    WallTime wall_started_at;
    double started_at = 0;
    bool listed = true;
  };
  // Returns the age by the wall clock if it is plausible, else 0: a start now.
  double plausible_age(double wall_clock_age, double now) const;

  double slow_start_seconds_;
  double last_discovery_contact_ = 0;  // 0: none yet
  std::unordered_map<std::string, KnownNode> known_;
  std::deque<std::string> removed_ids_;  // in the order of removal
};

}  // namespace yoketurn
