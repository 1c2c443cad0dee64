#include "policy/relative_work.hpp"

#include <algorithm>
#include <cmath>

namespace yoketurn::policy {
namespace {
constexpr double kSampleWeight = 0.01;   // of a new sample in the mean of its vertical
constexpr double kMixDecaySeconds = 60;  // time constant with which the counts of parts sent decay
}  // namespace

RelativeWork::RelativeWork(const std::vector<double>& slo_times) {
  for (const auto slo_time : slo_times) verticals_.push_back({slo_time, SmoothedMean(kSampleWeight)});
}

void RelativeWork::record_sent(int vertical, double now) {
  if (now > decayed_at_) {
    const auto kept = std::exp(-(now - decayed_at_) / kMixDecaySeconds);
    for (auto& each : verticals_) each.sent_count *= kept;
    decayed_at_ = now;
  }
  verticals_[static_cast<std::size_t>(vertical)].sent_count += 1;
}

void RelativeWork::record_hint(int vertical, double seconds) {
  auto& state = verticals_[static_cast<std::size_t>(vertical)];
  if (!state.has_hints) state.work_seconds = SmoothedMean(kSampleWeight);
  state.has_hints = true;
  state.work_seconds.add(seconds);
}

void RelativeWork::record_quick_latency(int vertical, double seconds) {
  auto& state = verticals_[static_cast<std::size_t>(vertical)];
  if (!state.has_hints) state.work_seconds.add(seconds);
}

RelativeWork::Means RelativeWork::means() const {
  double sent = 0;
  Means sums;
  for (const auto& each : verticals_) {
    if (each.work_seconds <= 0) continue;
    sent += each.sent_count;
    sums.work_seconds += each.sent_count * each.work_seconds;
    sums.slo_time += each.sent_count * each.slo_time;
  }
  return sent > 0 ? Means{sums.work_seconds / sent, sums.slo_time / sent} : Means{};
}

double RelativeWork::estimate(int vertical) const {
  const auto mean = means();
  if (mean.work_seconds <= 0) return 1;
  const auto& known = verticals_[static_cast<std::size_t>(vertical)];
  return known.work_seconds > 0 ? known.work_seconds / mean.work_seconds
                                : std::max(known.slo_time / mean.slo_time, 1.0);
}

}  // namespace yoketurn::policy
