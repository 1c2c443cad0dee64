// A library that is preloaded into the processes of a day whose wall clocks are stepped: the wall clock shows
// so much more or less than the machine's as stands in a file, which the rig writes while the process runs.
// The monotonic clock is left as it is.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <cstdlib>

namespace {

constexpr const char* kFileVariable = "YOKETURN_CLOCK_OFFSET";

// Seconds, in the file's first eight bytes; nullptr: there is no file.
const volatile long long* offset() {
  static const auto* mapped = [] {
    const auto* path = std::getenv(kFileVariable);
    const auto file = path != nullptr ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0) return static_cast<const volatile long long*>(nullptr);
    auto* memory = ::mmap(nullptr, sizeof(long long), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return memory == MAP_FAILED ? nullptr : static_cast<const volatile long long*>(memory);
  }();
  return mapped;
}

long long seconds_ahead() {
  const auto* ahead = offset();
  return ahead != nullptr ? *ahead : 0;
}

using ClockGettime = int (*)(clockid_t, timespec*);

ClockGettime real_clock_gettime() {
  static const auto real = reinterpret_cast<ClockGettime>(::dlsym(RTLD_NEXT, "clock_gettime"));
  return real;
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* into) noexcept {
  const auto result = real_clock_gettime()(clock, into);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
    into->tv_sec += static_cast<time_t>(seconds_ahead());
  return result;
}

int gettimeofday(timeval* into, void*) noexcept {
  timespec time{};
  if (clock_gettime(CLOCK_REALTIME, &time) != 0) return -1;
  into->tv_sec = time.tv_sec;
  into->tv_usec = time.tv_nsec / 1000;
  return 0;
}

time_t time(time_t* into) noexcept {
  timespec time{};
  if (clock_gettime(CLOCK_REALTIME, &time) != 0) return -1;
  if (into != nullptr) *into = time.tv_sec;
  return time.tv_sec;
}
}
