#include "policy/relative_work.hpp"

#include <algorithm>
#include <cmath>

namespace yoketurn::policy {
namespace {
constexpr double kSampleWeight = 0.01;  // of a new observation in the mean of its class
constexpr double kForgetting = 60;      // time constant in seconds with which the mix of classes is forgotten
}  // namespace

RelativeWork::RelativeWork(const std::vector<double>& aims) {
  for (const auto aim : aims) classes_.push_back({aim, SmoothedMean(kSampleWeight)});
}

void RelativeWork::sent(int request_class, double now) {
  if (now > counted_at_) {
    const auto kept = std::exp(-(now - counted_at_) / kForgetting);
    for (auto& each : classes_) each.sent *= kept;
    counted_at_ = now;
  }
  classes_[static_cast<std::size_t>(request_class)].sent += 1;
}

void RelativeWork::hinted(int request_class, double seconds) {
  auto& observed = classes_[static_cast<std::size_t>(request_class)];
  if (!observed.has_hints) observed.seconds = SmoothedMean(kSampleWeight);
  observed.has_hints = true;
  observed.seconds.add(seconds);
}

void RelativeWork::answered(int request_class, double seconds) {
  auto& observed = classes_[static_cast<std::size_t>(request_class)];
  if (!observed.has_hints) observed.seconds.add(seconds);
}

RelativeWork::Means RelativeWork::means() const {
  double sent = 0;
  Means sums;
  for (const auto& each : classes_) {
    if (each.seconds <= 0) continue;
    sent += each.sent;
    sums.seconds += each.sent * each.seconds;
    sums.aim += each.sent * each.aim;
  }
  return sent > 0 ? Means{sums.seconds / sent, sums.aim / sent} : Means{};
}

double RelativeWork::of(int request_class) const {
  const auto mean = means();
  if (mean.seconds <= 0) return 1;
  const auto& asked = classes_[static_cast<std::size_t>(request_class)];
  return asked.seconds > 0 ? asked.seconds / mean.seconds : std::max(asked.aim / mean.aim, 1.0);
}

}  // namespace yoketurn::policy
