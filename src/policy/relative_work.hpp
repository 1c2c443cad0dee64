// Estimates how much work a part of each vertical is, relative to the mean over all verticals.
#pragma once

#include <cstddef>
#include <vector>

#include "estimates/samples.hpp"

namespace yoketurn::policy {

// Estimates the work of a vertical from the work hints of its parts or, if it has none, from its quick
// answers, which waited least at their nodes. The mean over the parts sent recently is 1.
class RelativeWork {
 public:
  // slo_times: by vertical, in seconds.
  explicit RelativeWork(const std::vector<double>& slo_times);

  void record_sent(int vertical, double now);
  void record_hint(int vertical, double seconds);  // the work hint of a part
  // Mean latency of recent quick answers; ignored if the vertical has hints.
  void record_quick_latency(int vertical, double seconds);

  // The work of a part, as a multiple of the mean. A vertical without samples is assumed to be heavier than
  // the others in proportion to its SLO time, and no lighter than the mean.
  double estimate(int vertical) const;

 private:
  struct VerticalWork {
    double slo_time = 0;
    SmoothedMean work_seconds;
    bool has_hints = false;
    double sent_count = 0;  // parts sent, decayed as of decayed_at_
  };
  struct Means {
    double work_seconds = 0, slo_time = 0;  // over the verticals with samples; 0: there are none
  };

  Means means() const;

  std::vector<VerticalWork> verticals_;
  double decayed_at_ = 0;
};

}  // namespace yoketurn::policy
