#include "logging/log.hpp"

#include <algorithm>
#include <chrono>
#include <string>

namespace yoketurn {

void Log::write(std::string_view event, std::string_view values) {
  auto& count = counts_[event];
  if (count.written >= kLines) {
    ++count.held_back;
    return;
  }
  ++count.written;
  const auto at = std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  // What came over a socket may stand in a value: it must neither end the line nor make it as long as it
  // likes.
  std::string shown(values.substr(0, kLongest));
  std::replace_if(
      shown.begin(), shown.end(), [](unsigned char c) { return c < ' '; }, ' ');
  fmt::print(to_, "{:.3f} {} {}\n", at, event, shown);
  std::fflush(to_);
}

void Log::sum_up(double now) {
  if (now < summed_ + 1) return;
  summed_ = now;
  for (auto& [event, count] : counts_) {
    const auto held_back = count.held_back;
    count = {};
    if (held_back > 0) write(event, fmt::format("held_back={}", held_back));
  }
}

}  // namespace yoketurn
