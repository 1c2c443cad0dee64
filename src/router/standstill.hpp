// Detects that this process stood still (stopped, starved of CPU, or swapped out) and holds back decisions
// until the input that arrived meanwhile has been read. A process can be stopped between two steps of its
// event loop and continue with the second one seconds later: all its timers are overdue then, and nothing has
// been read. Acting on the timers first would treat a discovery watch with unread drain notices as silent,
// and answers that lie unread in their sockets as late. Times are in seconds.
#pragma once

namespace yoketurn {

class StandstillDetector {
 public:
  // Wait between two checks for unread input, long enough for one round of the loop to read what is there.
  static constexpr double kReadRoundSeconds = 0.002;
  // Reading first never takes longer than this after a standstill.
  static constexpr double kMaxReadFirstSeconds = 0.25;

  // min_standstill: a longer time between two calls of must_read_first() counts as a standstill.
  explicit StandstillDetector(double min_standstill) : min_standstill_(min_standstill) {}

  // Call on every turn of the event loop. Returns true if nothing may be decided or sent until
  // kReadRoundSeconds have passed and it has been called again. has_unread_input() tells whether discovery's
  // connection has unread bytes; it is called only after a standstill.
  template <class HasUnreadInput>
  bool must_read_first(double now, const HasUnreadInput& has_unread_input) {
    if (last_turn_at_ > 0 && now - last_turn_at_ > min_standstill_) resumed_at_ = now;
    last_turn_at_ = now;
    if (resumed_at_ < 0) return false;
    if (now < resumed_at_ + kReadRoundSeconds ||
        (now < resumed_at_ + kMaxReadFirstSeconds && has_unread_input()))
      return true;
    resumed_at_ = -1;
    return false;
  }

 private:
  double min_standstill_;
  double last_turn_at_ = 0;  // 0: no turn yet
  double resumed_at_ = -1;   // when the process resumed; -1: all input has been read since
};

}  // namespace yoketurn
