// Segments of the timeline on a disk that fails, is full or writes only partly, and with a stepped wall
// clock.
#include "timeline/segments.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include "tests/faults/disk_injector.hpp"

using namespace yoketurn;
using faults::DiskCall;
using faults::FaultyDisk;

namespace fs = std::filesystem;

namespace {

struct Folder {
  Folder() { fs::remove_all(path); }
  ~Folder() { fs::remove_all(path); }
  int files() const {
    std::error_code none;
    return static_cast<int>(std::distance(fs::directory_iterator(path, none), fs::directory_iterator()));
  }
  const std::string path =
      (fs::temp_directory_path() / ("yoketurn-disk-" + std::to_string(::getpid()))).string();
};

Event event(double at) {
  Event e;
  e.at = at;
  e.line = kLoop;
  e.what = What::taken;
  return e;
}

SegmentLimits limits(const Folder& folder) {
  return {folder.path, 1 << 20, 4 << 20, 1e6, 4096};
}

// Waits up to 20 s for the writer's thread; returns whether the condition holds.
bool wait_until(const std::function<bool()>& condition) {
  for (int i = 0; i < 2000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

struct Counts {
  int events = 0;
  double missing = 0;  // events, according to the recorded gaps
};

Counts count_events(const SegmentsRead& read) {
  Counts counts;
  for (const auto& e : read.events) {
    counts.events += e.what == What::taken;
    if (e.what == What::gap) counts.missing += e.a;
  }
  return counts;
}

}  // namespace

TEST_SUITE_BEGIN("disk");

TEST_CASE("writes that are interrupted or take a few bytes are continued") {
  Folder folder;
  FaultyDisk disk(".ytseg");
  disk.limit_writes(7);
  {
    Segments segments(limits(folder), "r", 0);
    for (int i = 0; i < 1500; ++i) segments.event(event(i));
  }
  CHECK(disk.injected() > 1000);
  const auto read = read_segments(folder.path);
  CHECK(read.told.empty());
  CHECK(count_events(read).events == 1500);
  CHECK(count_events(read).missing == 0);
}

TEST_CASE("a disk fails for a while: the events lost are recorded as a gap, and writing resumes") {
  for (const auto& [call, error] :
       {std::pair{DiskCall::open, ENOSPC}, std::pair{DiskCall::open, EIO}, std::pair{DiskCall::write, ENOSPC},
        std::pair{DiskCall::write, EIO}, std::pair{DiskCall::write, EDQUOT}}) {
    CAPTURE(error);
    Folder folder;
    FaultyDisk disk(".ytseg");
    {
      Segments segments(limits(folder), "r", 0);
      if (call == DiskCall::write) {  // one file is begun before the faults
        segments.event(event(0));
        REQUIRE(wait_until([&] { return count_events(read_segments(folder.path)).events == 1; }));
      }
      disk.fail(call, error);
      for (int i = 0; i < 100; ++i) segments.event(event(1 + i));
      REQUIRE(wait_until([&] { return segments.failures() >= 3; }));  // the writer retries
      disk.clear_faults();
      REQUIRE(wait_until([&] { return count_events(read_segments(folder.path)).missing > 0; }));
      segments.event(event(200));
    }
    const auto read = read_segments(folder.path);
    const auto counts = count_events(read);
    CHECK(counts.missing == 100);
    CHECK(counts.events == (call == DiskCall::write ? 2 : 1));
    CHECK(read.told.empty());
    // Failed attempts leave no files behind.
    CHECK(folder.files() == (call == DiskCall::write ? 2 : 1));
  }
}

TEST_CASE(
    "a disk fills up within a block: the cut block is reported, the lost events are recorded as a gap") {
  Folder folder;
  FaultyDisk disk(".ytseg");
  {
    Segments segments(limits(folder), "r", 0);
    segments.event(event(0));
    REQUIRE(wait_until([&] { return count_events(read_segments(folder.path)).events == 1; }));
    disk.fill_after(100);
    for (int i = 0; i < 50; ++i) segments.event(event(1 + i));
    REQUIRE(wait_until([&] { return segments.failures() >= 1; }));
    disk.clear_faults();
    REQUIRE(wait_until([&] { return count_events(read_segments(folder.path)).missing > 0; }));
  }
  const auto read = read_segments(folder.path);
  CHECK(count_events(read).events == 1);
  CHECK(count_events(read).missing == 50);
  CHECK(read.told.size() == 1);
}

TEST_CASE(
    "after the wall clock was stepped back the file being written is kept, and the oldest one deleted") {
  Folder folder;
  fs::create_directories(folder.path);
  // The name of this file says that it was begun an hour in the future.
  const auto in_an_hour = std::chrono::system_clock::now().time_since_epoch() + std::chrono::hours(1);
  const auto stamp = std::chrono::duration_cast<std::chrono::milliseconds>(in_an_hour).count();
  const auto future_file = folder.path + "/" + std::to_string(stamp) + "-000001.ytseg";
  std::ofstream(future_file) << std::string(200'000, 'x');
  {
    auto small_limits = limits(folder);
    small_limits.size = 64 * 1024;
    small_limits.total = 100 * 1024;
    Segments segments(small_limits, "r", 0);
    segments.event(event(0));
  }
  CHECK_FALSE(fs::exists(future_file));  // deleted first, as the oldest
  CHECK(folder.files() == 1);
  CHECK(count_events(read_segments(folder.path)).events == 1);
}

TEST_SUITE_END();
