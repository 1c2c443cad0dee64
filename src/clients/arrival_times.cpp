#include "clients/arrival_times.hpp"

#include <algorithm>

namespace yoketurn {

void ArrivalTimes::add(std::size_t bytes, double at) {
  if (!received_.empty() && at < received_.back().at + kResolutionSeconds) {
    received_.back().bytes += bytes;
  } else {
    received_.push_back({bytes, at});
  }
}

double ArrivalTimes::take(std::size_t bytes) {
  while (bytes > 0 && !received_.empty()) {
    auto& first = received_.front();
    const auto taken = std::min(bytes, first.bytes);
    first.bytes -= taken;
    bytes -= taken;
    last_taken_at_ = first.at;
    if (first.bytes == 0) received_.pop_front();
  }
  return last_taken_at_;
}

}  // namespace yoketurn
