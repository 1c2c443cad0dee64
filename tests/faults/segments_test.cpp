// Segments of the time line on a disk that fails, is full, cuts writes, or whose writer's wall clock is
// stepped.
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
using faults::Disk;
using faults::DiskCall;

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

// Waits for the writer's thread; the limit only ends a test that fails.
bool until(const std::function<bool()>& holds) {
  for (int i = 0; i < 2000; ++i) {
    if (holds()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

struct Counts {
  int events = 0;
  double missing = 0;  // as the gaps tell
};

Counts counted(const SegmentsRead& read) {
  Counts counts;
  for (const auto& e : read.events) {
    counts.events += e.what == What::taken;
    if (e.what == What::gap) counts.missing += e.a;
  }
  return counts;
}

}  // namespace

TEST_SUITE_BEGIN("disk");

TEST_CASE("writes that are interrupted or take a few bytes go on where they were") {
  Folder folder;
  Disk disk(".ytseg");
  disk.cut_writes(7);
  {
    Segments segments(limits(folder), "r", 0);
    for (int i = 0; i < 1500; ++i) segments.event(event(i));
  }
  CHECK(disk.injected() > 1000);
  const auto read = read_segments(folder.path);
  CHECK(read.told.empty());
  CHECK(counted(read).events == 1500);
  CHECK(counted(read).missing == 0);
}

TEST_CASE("a disk that fails for a while: what it did not take is a stated gap, and writing resumes") {
  for (const auto& [call, error] :
       {std::pair{DiskCall::open, ENOSPC}, std::pair{DiskCall::open, EIO}, std::pair{DiskCall::write, ENOSPC},
        std::pair{DiskCall::write, EIO}, std::pair{DiskCall::write, EDQUOT}}) {
    CAPTURE(error);
    Folder folder;
    Disk disk(".ytseg");
    {
      Segments segments(limits(folder), "r", 0);
      if (call == DiskCall::write) {  // one file is begun while all is well
        segments.event(event(0));
        REQUIRE(until([&] { return counted(read_segments(folder.path)).events == 1; }));
      }
      disk.fail(call, error);
      for (int i = 0; i < 100; ++i) segments.event(event(1 + i));
      REQUIRE(until([&] { return segments.failures() >= 3; }));  // it tries again
      disk.heal();
      REQUIRE(until([&] { return counted(read_segments(folder.path)).missing > 0; }));
      segments.event(event(200));
    }
    const auto read = read_segments(folder.path);
    const auto counts = counted(read);
    CHECK(counts.missing == 100);
    CHECK(counts.events == (call == DiskCall::write ? 2 : 1));
    CHECK(read.told.empty());
    // What failed left no files behind.
    CHECK(folder.files() == (call == DiskCall::write ? 2 : 1));
  }
}

TEST_CASE("a disk that fills in the middle of a block: the tail is cut and told, the rest is a stated gap") {
  Folder folder;
  Disk disk(".ytseg");
  {
    Segments segments(limits(folder), "r", 0);
    segments.event(event(0));
    REQUIRE(until([&] { return counted(read_segments(folder.path)).events == 1; }));
    disk.fill_after(100);
    for (int i = 0; i < 50; ++i) segments.event(event(1 + i));
    REQUIRE(until([&] { return segments.failures() >= 1; }));
    disk.heal();
    REQUIRE(until([&] { return counted(read_segments(folder.path)).missing > 0; }));
  }
  const auto read = read_segments(folder.path);
  CHECK(counted(read).events == 1);
  CHECK(counted(read).missing == 50);
  CHECK(read.told.size() == 1);
}

TEST_CASE("where the wall clock was stepped back, the file that is written is still the last, and kept") {
  Folder folder;
  fs::create_directories(folder.path);
  // Begun an hour from now, as the clock has it today.
  const auto ahead = std::chrono::system_clock::now().time_since_epoch() + std::chrono::hours(1);
  const auto stamp = std::chrono::duration_cast<std::chrono::milliseconds>(ahead).count();
  const auto earlier = folder.path + "/" + std::to_string(stamp) + "-000001.ytseg";
  std::ofstream(earlier) << std::string(200'000, 'x');
  {
    auto small = limits(folder);
    small.size = 64 * 1024;
    small.total = 100 * 1024;
    Segments segments(small, "r", 0);
    segments.event(event(0));
  }
  CHECK_FALSE(fs::exists(earlier));  // it goes first, as the oldest
  CHECK(folder.files() == 1);
  CHECK(counted(read_segments(folder.path)).events == 1);
}

TEST_SUITE_END();
