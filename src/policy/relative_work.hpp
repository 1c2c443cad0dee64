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
  explicit RelativeWork(const std::vector<double>& aims);

  void sent(int request_class, double now);
  void hinted(int request_class, double seconds);  // the cost hint of a sub-request
  // The time that quick answers of late took; passed over where the class has hints.
  void answered(int request_class, double seconds);

  // A class of which nothing is known yet is taken for as much heavier than the others as its aim is longer,
  // and no lighter than the mean.
  double of(int request_class) const;

 private:
  struct Class {
    double aim = 0;
    SmoothedMean seconds;
    bool has_hints = false;
    double sent = 0;  // of late, as of counted_at_
  };
  struct Means {
    double seconds = 0, aim = 0;  // over the classes that are known; 0: none is
  };

  Means means() const;

  std::vector<Class> classes_;
  double counted_at_ = 0;
};

}  // namespace yoketurn::policy
