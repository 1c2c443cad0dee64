#include "policy/relative_work.hpp"

#include <algorithm>
#include <cmath>

namespace yoketurn::policy {
namespace {
constexpr double kSampleWeight = 0.01;  // of a new observation in the mean of its class
constexpr double kMixDecaySeconds =
    60;  // time constant in seconds with which the mix of classes is forgotten
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
  auto& observed = verticals_[static_cast<std::size_t>(vertical)];
  if (!observed.has_hints) observed.work_seconds = SmoothedMean(kSampleWeight);
  observed.has_hints = true;
  observed.work_seconds.add(seconds);
}

void RelativeWork::record_quick_latency(int vertical, double seconds) {
  auto& observed = verticals_[static_cast<std::size_t>(vertical)];
  if (!observed.has_hints) observed.work_seconds.add(seconds);
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
  const auto& asked = verticals_[static_cast<std::size_t>(vertical)];
  return asked.work_seconds > 0 ? asked.work_seconds / mean.work_seconds
                                : std::max(asked.slo_time / mean.slo_time, 1.0);
}

}  // namespace yoketurn::policy
