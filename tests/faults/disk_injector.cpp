#include "tests/faults/disk_injector.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <limits>
#include <mutex>
#include <set>
#include <string_view>

extern "C" {
int __real_open(const char* path, int flags, ...);
ssize_t __real_write(int descriptor, const void* data, size_t size);
}

namespace yoketurn::faults {
namespace {

constexpr auto kUnlimited = std::numeric_limits<std::size_t>::max();

// The faults that are set; threads of the code under test read them.
struct State {
  std::mutex mutex;
  bool active = false;
  std::string suffix;
  std::set<int> files;
  int open_error = 0, write_error = 0;
  std::size_t free_bytes = kUnlimited, max_write = kUnlimited;
  bool last_interrupted = false;  // whether the last write failed with EINTR
  int injected = 0;
};

State& state() {
  static State instance;
  return instance;
}

int fail_call(State& s, int error) {
  ++s.injected;
  errno = error;
  return -1;
}

}  // namespace

FaultyDisk::FaultyDisk(const std::string& suffix) {
  const std::lock_guard lock(state().mutex);
  state().active = true;
  state().suffix = suffix;
  state().injected = 0;
}

FaultyDisk::~FaultyDisk() {
  clear_faults();
  const std::lock_guard lock(state().mutex);
  state().active = false;
  state().files.clear();
}

void FaultyDisk::fail(DiskCall call, int error) {
  const std::lock_guard lock(state().mutex);
  (call == DiskCall::open ? state().open_error : state().write_error) = error;
}

void FaultyDisk::fill_after(std::size_t bytes) {
  const std::lock_guard lock(state().mutex);
  state().free_bytes = bytes;
}

void FaultyDisk::limit_writes(std::size_t bytes) {
  const std::lock_guard lock(state().mutex);
  state().max_write = bytes;
}

void FaultyDisk::clear_faults() {
  const std::lock_guard lock(state().mutex);
  state().open_error = state().write_error = 0;
  state().free_bytes = state().max_write = kUnlimited;
}

int FaultyDisk::injected() const {
  const std::lock_guard lock(state().mutex);
  return state().injected;
}

namespace {

int open_file(const char* path, int flags, mode_t mode) {
  auto& s = state();
  const std::lock_guard lock(s.mutex);
  const auto affected = s.active && std::string_view(path).ends_with(s.suffix);
  if (affected && s.open_error != 0) return fail_call(s, s.open_error);
  const auto descriptor = __real_open(path, flags, mode);
  if (affected && descriptor >= 0) s.files.insert(descriptor);
  if (!affected) s.files.erase(descriptor);
  return descriptor;
}

ssize_t write_file(int descriptor, const void* data, std::size_t size) {
  auto& s = state();
  const std::lock_guard lock(s.mutex);
  if (!s.active || !s.files.contains(descriptor)) return __real_write(descriptor, data, size);
  if (s.write_error != 0) return fail_call(s, s.write_error);
  if (s.max_write != kUnlimited) {
    s.last_interrupted = !s.last_interrupted;
    if (s.last_interrupted) return fail_call(s, EINTR);
  }
  const auto taken = std::min({size, s.free_bytes, s.max_write});
  if (size > 0 && taken == 0) return fail_call(s, ENOSPC);
  if (taken < size) ++s.injected;
  if (s.free_bytes != kUnlimited) s.free_bytes -= taken;
  return __real_write(descriptor, data, taken);
}

}  // namespace
}  // namespace yoketurn::faults

extern "C" {

int __wrap_open(const char* path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  const auto mode = (flags & O_CREAT) != 0 ? va_arg(arguments, mode_t) : mode_t{0};
  va_end(arguments);
  return yoketurn::faults::open_file(path, flags, mode);
}

ssize_t __wrap_write(int descriptor, const void* data, size_t size) {
  return yoketurn::faults::write_file(descriptor, data, size);
}
}
