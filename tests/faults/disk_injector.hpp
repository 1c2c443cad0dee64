// Injects faults into calls on files. The test program is linked with --wrap for open and write, so that the
// code under test needs no hook. Affects only files with a given suffix, in all threads.
#pragma once

#include <cstddef>
#include <string>

namespace yoketurn::faults {

enum class DiskCall { open, write };

class FaultyDisk {
 public:
  // Affects files whose names end in `suffix`, until it is destroyed.
  explicit FaultyDisk(const std::string& suffix);
  ~FaultyDisk();
  FaultyDisk(const FaultyDisk&) = delete;
  FaultyDisk& operator=(const FaultyDisk&) = delete;

  // Every such call fails with this errno until clear_faults().
  void fail(DiskCall call, int error);
  // The disk has this much free space left; after that writes are cut short or fail with ENOSPC, until
  // clear_faults().
  void fill_after(std::size_t bytes);
  // Every write takes at most this many bytes, and every other one fails with EINTR.
  void limit_writes(std::size_t bytes);
  void clear_faults();
  int injected() const;  // number of calls that failed or were cut short
};

}  // namespace yoketurn::faults
