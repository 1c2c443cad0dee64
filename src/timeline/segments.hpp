// Events on disk: segments, written by a thread of their own behind a lock-free queue, read after a kill at
// any byte. The format stands in docs/timeline.md. Sizes are bytes, times seconds.
//
// Waits go by the monotonic clock. The age of a file goes by the wall clock, as files outlive the process: a
// clock that is stepped forward makes them older by so much. Names keep the order in which files were begun
// whatever the wall clock does.
#pragma once

#include <readerwriterqueue/readerwritercircularbuffer.h>

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "timeline/timeline.hpp"

namespace yoketurn {

inline constexpr std::uint32_t kSegmentVersion = 1;

struct SegmentLimits {
  std::string folder;
  std::size_t size = 16 << 20, total = 256 << 20;
  double age = 7 * 86400;
  int queue = 16384;
};

// The writer. What the disk does not take, or not in time, is counted and stands in the segment as a gap.
class Segments {
 public:
  Segments(const SegmentLimits& limits, std::string router, double unix_at_zero);
  ~Segments();  // writes what is there

  void event(const Event& event);         // from the loop; never waits
  void line(const Timeline::Line& line);  // the same
  long long lost() const { return lost_; }
  int failures() const { return failures_.load(); }  // of the disk
  std::string trouble() const;                       // the last one

 private:
  struct Item {
    Event event;
    bool named = false;
    char name[64] = {};
  };
  void write();
  bool open();
  std::string next_path() const;
  bool write_all(const char* bytes, std::size_t size);
  bool append(char type, const std::vector<char>& payload);
  bool append_names();
  bool append_events(const std::vector<Event>& events);
  void put(std::vector<Event>& events);
  void clean();
  void close_file();
  void fail(int error);

  SegmentLimits limits_;
  std::string router_;
  double unix_at_zero_;
  moodycamel::BlockingReaderWriterCircularBuffer<Item> queue_;
  long long lost_ = 0, told_lost_ = 0;
  std::atomic<bool> ends_{false};
  std::atomic<int> failures_{0};
  std::atomic<int> error_{0};
  // The writer's own.
  int file_ = -1;
  std::size_t written_ = 0;
  std::chrono::steady_clock::time_point retry_at_{};  // after a failure; none: long ago
  double last_at_ = 0;                                // of the last event
  std::size_t unwritten_ = 0;  // events that the disk did not take since the last gap told
  std::map<std::uint32_t, std::string> names_;
  std::thread thread_;
};

struct SegmentsRead {
  std::string router;
  std::vector<Event> events;
  std::map<std::uint32_t, std::string> names;
  std::vector<std::pair<std::size_t, double>> clocks;  // from which event on the common clock is so far ahead
  std::vector<std::string> told;                       // files that are torn, broken or of another version
  double unix_of(std::size_t event) const;
};

// All segments of a folder, oldest first; what can't be read is told, never guessed.
SegmentsRead read_segments(const std::string& folder);
// One, onto what has been read. Whether it was whole.
bool read_segment(const std::string& path, SegmentsRead& into);

}  // namespace yoketurn
