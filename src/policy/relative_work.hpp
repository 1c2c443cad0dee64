// How much work a sub-request of each request class is, beside the mean over all classes.
#pragma once

#include <cstddef>
#include <vector>

#include "estimates/samples.hpp"

namespace yoketurn::policy {

// Estimates the work of a class by the cost hints of its sub-requests or, where there are none, by its quick
// answers, which waited least at their nodes. The mean over the sub-requests sent of late is 1.
class RelativeWork {
 public:
  // aims: by class, the time in which its answers earn their full utility, in seconds.
  explicit RelativeWork(const std::vector<double>& slo_times);

  void record_sent(int vertical, double now);
  void record_hint(int vertical, double seconds);  // the cost hint of a sub-request
  // The time that quick answers of late took; passed over where the class has hints.
  void record_quick_latency(int vertical, double seconds);

  // A class of which nothing is known yet is taken for as much heavier than the others as its aim is longer,
  // and no lighter than the mean.
  double estimate(int vertical) const;

 private:
  struct VerticalWork {
    double slo_time = 0;
    SmoothedMean work_seconds;
    bool has_hints = false;
    double sent_count = 0;  // of late, as of counted_at_
  };
  struct Means {
    double work_seconds = 0, slo_time = 0;  // over the classes that are known; 0: none is
  };

  Means means() const;

  std::vector<VerticalWork> verticals_;
  double decayed_at_ = 0;
};

}  // namespace yoketurn::policy
