// When the processes of data nodes started, on this router's monotonic clock.
//
// Discovery tells a start as a time of the wall clock, which may be stepped by up to an hour, here or on the
// machine that told it, before this process began or while it runs. A node that is taken for older than it is
// would be overloaded in its slow start, so what can't be right counts as a start at this moment:
// - A start that is learned while discovery is followed lies between the last word from there, less the
// longest
//   time that a start takes to be told, and now. Its age by the wall clock counts only where it is within
//   that.
// - At this router's own start nothing bounds it. An age that is shorter than the slow start counts; one that
//   could have come about by a step does not; a longer one is long ago.
// - A start in the future is one at this moment. A start of 0 is long ago, as the protocol has it.
// What was learned of a process stays, whatever either clock does later. Times and spans are seconds.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "time/wall_time.hpp"

namespace yoketurn {

class NodeAges {
 public:
  static constexpr double kMaxAnnouncementDelaySeconds = 10;  // from a node's start until discovery tells it
  static constexpr double kMaxClockStepSeconds = 3600;        // of a wall clock
  static constexpr std::size_t kMaxRemovedNodes = 1024;  // nodes that have left and may come back unchanged

  explicit NodeAges(double slow_start) : slow_start_(slow_start) {}

  // When the process of this node that started at this wall time did so on the monotonic clock; 0: long ago.
  double started_at(const std::string& id, WallTime started, double now, WallTime wall_now);
  void record_discovery_contact(double now) { last_word_ = now; }  // anything from discovery that is followed
  void node_removed(const std::string& id);                        // no node of this name is listed any more

 private:
  struct Known {
    WallTime started;
    double born = 0;
    bool listed = true;
  };
  double age(double by_wall_clock, double now) const;

  double slow_start_;
  double last_word_ = 0;  // 0: nothing was heard yet
  std::unordered_map<std::string, Known> known_;
  std::deque<std::string> left_;  // in the order in which they did
};

}  // namespace yoketurn
