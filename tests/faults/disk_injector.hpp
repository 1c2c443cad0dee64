// Calls on files that fail as told. The test program is linked with --wrap for open and write, so that the
// code under test has no hook. Only files of one extension are concerned, in all threads.
#pragma once

#include <cstddef>
#include <string>

namespace yoketurn::faults {

enum class DiskCall { open, write };

class Disk {
 public:
  // Of files whose names end so. The calls go through again once it is destroyed.
  explicit Disk(const std::string& suffix);
  ~Disk();
  Disk(const Disk&) = delete;
  Disk& operator=(const Disk&) = delete;

  // Every such call fails with this errno until heal().
  void fail(DiskCall call, int error);
  // The disk takes so many more bytes; then writes are cut and fail with ENOSPC until heal().
  void fill_after(std::size_t bytes);
  // Every write takes this many bytes at most, and every other one is interrupted before it takes any.
  void cut_writes(std::size_t bytes);
  void heal();
  int injected() const;  // calls that did not go through whole
};

}  // namespace yoketurn::faults
