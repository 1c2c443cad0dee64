// The time line of each data node, of the clients' door and of the loop, in memory of a fixed size: single
// events of the last minutes, then summaries a second and of ten seconds. What was dropped is a stated gap.
// Everything is taken at the start, but for a node's table of calls out, which has room for the most there
// were. No I/O; times are seconds on the router's own clock.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "timeline/event.hpp"

namespace yoketurn {

inline constexpr std::size_t kLatencyBins = 20;

// Upper bounds of the bins: from half a millisecond up, by a factor of 1.6. The last one has none.
double latency_bound(std::size_t bin);
std::size_t latency_bin(double latency);

// What a line did in one second or in ten. Counts stop at 65,535.
struct Summary {
  std::uint32_t line = kNoLine;
  std::uint32_t start = 0;  // whole seconds since the time line's start
  std::uint16_t span = 1;   // seconds
  std::uint16_t sent = 0, copied = 0, resent = 0, passed = 0, troubles = 0;  // troubles: of connections
  std::array<std::uint16_t, 10> outcomes{};                                  // by Outcome
  std::uint16_t most_out = 0, most_reported = 0;
  std::array<std::uint16_t, kLatencyBins> latencies{};  // of successes
  float fastest = 0, slowest = 0;                       // of these; 0: none

  void take(const Event& event, std::size_t out);
  void add(const Summary& other);
  bool empty() const;
  double quantile(double share) const;  // of the latencies: upper bound of its bin, at most the slowest
};

// A sequence that keeps its last so many members, by their number since the start.
template <class T>
class Kept {
 public:
  explicit Kept(std::size_t most) : most_(std::max<std::size_t>(most, 1)) { held_.reserve(most_); }
  void push(const T& value) {
    if (held_.size() < most_)
      held_.push_back(value);
    else
      held_[next_ % most_] = value;
    ++next_;
  }
  std::uint64_t begin() const { return next_ - held_.size(); }
  std::uint64_t end() const { return next_; }
  const T& operator[](std::uint64_t number) const { return held_[number % most_]; }
  std::size_t bytes() const { return most_ * sizeof(T); }

 private:
  std::size_t most_;
  std::vector<T> held_;
  std::uint64_t next_ = 0;
};

class Timeline {
 public:
  struct Budget {
    std::size_t memory = 4 << 20;
    double fine = 0.5;
    int lines = 512;
  };
  struct Out {
    double sent = 0;
    int vertical = 0;
  };
  struct Line {
    std::uint32_t id = kNoLine;
    std::string name, address;
    double opened = 0, closed = 0;         // closed: 0 while it is known
    std::uint64_t sent = 0, outcomes = 0;  // outcomes of these
    std::vector<Out> outs;                 // calls that are out
    What state = What::known;
    std::uint8_t belief = 0;
    double told = 0;  // when the state was
    float reported = 0, queued = 0, report_age = 0;
    double report_heard = 0;          // 0: never
    double oldest(double now) const;  // age of the oldest call that is out; 0: none
  };

  Timeline(const Budget& budget, double now, double unix_at_zero);

  // A new line. Where there is no room, the one that has been closed for longest makes it; kNoLine: none has.
  std::uint32_t open(std::string name, std::string address, double now);
  void close(std::uint32_t line, double now);
  void record(const Event& event);
  void tick(double now, double unix_at_zero);  // about once a second

  const Line* line(std::uint32_t id) const;  // nullptr: its place was needed
  const std::vector<Line>& lines() const { return lines_; }
  const Line* named(std::string_view name) const;  // the latest of that name
  const Kept<Event>& events() const { return events_; }
  const Kept<Summary>& seconds() const { return seconds_; }
  const Kept<Summary>& tens() const { return tens_; }
  double start() const { return start_; }
  double unix_at(double at) const { return at + unix_at_zero_; }
  std::size_t bytes() const;                            // that it may ever hold
  std::uint64_t nameless() const { return nameless_; }  // events of lines that had no room
  std::function<void(const Event&)> also;  // is given each event that is kept, and `named` each line
  std::function<void(const Line&)> also_line;

 private:
  struct Open {
    Summary second, ten;
    std::uint32_t folded = 0;  // reasons passed over for in this second, as bits
  };
  static std::size_t slot(std::uint32_t id) { return id & ((1U << kSlotBits) - 1); }
  static constexpr int kSlotBits = 17;
  Line* find(std::uint32_t id);
  void roll(std::size_t slot, std::uint32_t second);
  bool folds(Open& open, const Event& event) const;

  double start_;
  double unix_at_zero_;
  std::size_t most_lines_;
  std::vector<Line> lines_;
  std::vector<Open> open_;
  Kept<Event> events_;
  Kept<Summary> seconds_, tens_;
  std::uint64_t nameless_ = 0;
};

}  // namespace yoketurn
