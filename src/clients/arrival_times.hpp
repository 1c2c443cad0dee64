// When the bytes of a connection were received, up to those that have been parsed. The time of a request is
// counted from its last byte, but a pipelined request is parsed only after the answer to the one before it.
#pragma once

#include <cstddef>
#include <deque>

namespace yoketurn {

class ArrivalTimes {
 public:
  // Bytes that are received within this many seconds count as received together, with the first of them; it
  // bounds the entries by the time that bytes wait.
  static constexpr double kResolutionSeconds = 0.02;

  // So many bytes were received at this time, in seconds of the monotonic clock.
  void add(std::size_t bytes, double at);
  // So many of the received bytes were parsed. Returns when the last of them was received.
  double take(std::size_t bytes);
  std::size_t size() const { return received_.size(); }

 private:
  struct Entry {
    std::size_t bytes = 0;
    double at = 0;
  };
  std::deque<Entry> received_;
  double last_taken_at_ = 0;
};

}  // namespace yoketurn
