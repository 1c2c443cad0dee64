// Detectors of a change in a stream of samples: each is fed samples and reports when its test statistic
// exceeds its bound. Times are in seconds. Each names its source; docs/timeline.md compares them.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>

namespace yoketurn {

// Running mean and deviation of a value. The first `memory` samples have equal weight, later ones the weight
// 1 / memory, so that old ones decay.
class Baseline {
 public:
  explicit Baseline(double memory = 500) : memory_(memory) {}
  void add(double value) {
    count_ = std::min(count_ + 1, memory_);
    const auto difference = value - mean_;
    mean_ += difference / count_;
    variance_ += (difference * (value - mean_) - variance_) / count_;
  }
  double mean() const { return mean_; }
  double deviation() const { return std::sqrt(std::max(variance_, 0.0)); }
  double count() const { return count_; }

 private:
  double memory_, count_ = 0, mean_ = 0, variance_ = 0;
};

// Exceeded when the mean of the last `window` samples is above a bound.
class FixedThreshold {
 public:
  FixedThreshold(std::size_t window, double bound) : window_(window), bound_(bound) {}
  bool add(double value) {
    values_.push_back(value);
    sum_ += value;
    if (values_.size() > window_) {
      sum_ -= values_.front();
      values_.pop_front();
    }
    return values_.size() == window_ && sum_ / static_cast<double>(window_) > bound_;
  }
  void clear() {
    values_.clear();
    sum_ = 0;
  }

 private:
  std::size_t window_;
  double bound_, sum_ = 0;
  std::deque<double> values_;
};

// One-sided cumulative sum (Page, 1954) of standardised samples, with slack k and bound h.
class Cusum {
 public:
  Cusum() = default;
  Cusum(double slack, double bound) : slack_(slack), bound_(bound) {}
  bool add(double z, double at) {
    if (sum_ <= 0) started_at_ = at;
    sum_ = std::max(0.0, sum_ + z - slack_);
    return exceeded();
  }
  bool exceeded() const { return sum_ > bound_; }
  double sum() const { return sum_; }
  double started_at() const { return started_at_; }  // estimate: when the sum last left 0
  void clear() { sum_ = 0; }

  // The bound at which one false alarm is expected in so many samples (Siegmund's approximation, 1985).
  static double bound_for(double slack, double samples) {
    const auto length = [&](double h) {
      const auto x = 2 * slack * (h + 1.166);
      return (std::exp(x) - 1 - x) / (2 * slack * slack);
    };
    double low = 0, high = 60;
    for (int i = 0; i < 50; ++i) {
      const auto middle = (low + high) / 2;
      (length(middle) < samples ? low : high) = middle;
    }
    return high;
  }

 private:
  double slack_ = 0.5, bound_ = 8, sum_ = 0, started_at_ = 0;
};

// Page-Hinkley test (Hinkley, 1971): the cumulative sum of a value's excess over its running mean, compared
// with the minimum of that sum.
class PageHinkley {
 public:
  PageHinkley(double slack, double bound) : slack_(slack), bound_(bound) {}
  bool add(double value) {
    ++count_;
    mean_ += (value - mean_) / count_;
    sum_ += value - mean_ - slack_;
    min_sum_ = std::min(min_sum_, sum_);
    return sum_ - min_sum_ > bound_;
  }
  void clear() { count_ = mean_ = sum_ = min_sum_ = 0; }

 private:
  double slack_, bound_, count_ = 0, mean_ = 0, sum_ = 0, min_sum_ = 0;
};

// Sequential probability ratio test (Wald, 1945) of a share of bad outcomes; it starts again at its lower
// bound, a ratio of 0.
class Sprt {
 public:
  Sprt() = default;
  Sprt(double baseline_share, double bad_share, double false_alarm)
      : bad_increment_(std::log(bad_share / baseline_share)),
        good_increment_(std::log((1 - bad_share) / (1 - baseline_share))),
        bound_(-std::log(false_alarm)) {}
  bool add(bool bad, double at) {
    if (ratio_ <= 0) started_at_ = at;
    ratio_ = std::max(0.0, ratio_ + (bad ? bad_increment_ : good_increment_));
    return exceeded();
  }
  bool exceeded() const { return ratio_ > bound_; }
  double ratio_with(int more_bad) const {
    return ratio_ + more_bad * bad_increment_;
  }  // the ratio after so many further bad outcomes
  bool exceeded_with(int more_bad) const { return ratio_with(more_bad) > bound_; }
  double ratio() const { return ratio_; }
  double started_at() const { return started_at_; }
  bool is_reset() const { return ratio_ <= 0; }
  void clear() { ratio_ = 0; }

 private:
  double bad_increment_ = 0, good_increment_ = 0, bound_ = 1, ratio_ = 0, started_at_ = 0;
};

}  // namespace yoketurn
