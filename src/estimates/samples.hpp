// Samples of a sliding window and their statistics: product-limit quantiles (Kaplan and Meier, 1958), counts
// and smoothed means. Times are seconds on one monotonic clock.
#pragma once

#include <algorithm>
#include <deque>
#include <limits>
#include <utility>
#include <vector>

namespace yoketurn {

constexpr double kNever = std::numeric_limits<double>::infinity();

struct Sample {
  double value;
  bool censored;  // the true value is this or more: the call was cancelled, timed out or is pending
};

// Quantiles are product-limit estimates. Cancelled calls are the slow ones: leaving them out, or taking their
// age as a latency, would lower the percentile and so cause more copies. Equal values: uncensored ones come
// first.
inline void sort_by_value(std::vector<Sample>& samples) {
  std::sort(samples.begin(), samples.end(), [](const Sample& a, const Sample& b) {
    return a.value != b.value ? a.value < b.value : a.censored < b.censored;
  });
}

// Sorts the samples. 0: there are none.
inline double quantile(std::vector<Sample>& samples, double share) {
  sort_by_value(samples);
  double survival = 1;
  for (std::size_t i = 0; i < samples.size(); ++i) {
    if (!samples[i].censored) survival *= 1 - 1.0 / static_cast<double>(samples.size() - i);
    if (survival <= 1 - share + 1e-9) return samples[i].value;
  }
  return samples.empty() ? 0 : samples.back().value;
}

// By the same estimate, the probability that a value is at most this. Sorts the samples.
inline double probability_within(std::vector<Sample>& samples, double value) {
  sort_by_value(samples);
  double survival = 1;
  for (std::size_t i = 0; i < samples.size() && samples[i].value <= value; ++i)
    if (!samples[i].censored) survival *= 1 - 1.0 / static_cast<double>(samples.size() - i);
  return 1 - survival;
}

// Counts events in a sliding window of this many seconds.
class WindowCounter {
 public:
  explicit WindowCounter(double window_seconds = 0) : window_seconds_(window_seconds) {}
  void add(double now, double count = 1) {
    recent(now);
    events_.emplace_back(now, count);
    total_ += count;
  }
  double recent(double now) {
    while (!events_.empty() && events_.front().first < now - window_seconds_) {
      total_ -= events_.front().second;
      events_.pop_front();
    }
    return total_;
  }

 private:
  double window_seconds_;
  std::deque<std::pair<double, double>> events_;
  double total_ = 0;
};

// The samples of a sliding window.
class SampleWindow {
 public:
  explicit SampleWindow(double window_seconds) : window_seconds_(window_seconds) {}
  void add(double now, Sample sample) { samples_.emplace_back(now, sample); }
  std::vector<Sample> recent(double now) {
    while (!samples_.empty() && samples_.front().first < now - window_seconds_) samples_.pop_front();
    std::vector<Sample> result;
    for (const auto& [at, sample] : samples_) result.push_back(sample);
    return result;
  }

 private:
  double window_seconds_;
  std::deque<std::pair<double, Sample>> samples_;
};

// A smoothed mean. The first samples have the weight they have in a plain mean: otherwise a router that gets
// one query per second would go by the very first one for a minute.
class SmoothedMean {
 public:
  // weight: of a new sample, once there are 1 / weight samples.
  explicit SmoothedMean(double weight) : max_count_(1 / weight) {}
  void add(double sample) {
    count_ = std::min(count_ + 1, max_count_);
    value_ += (sample - value_) / count_;
  }
  operator double() const { return value_; }  // 0: no sample yet

 private:
  double value_ = 0;
  double count_ = 0;
  double max_count_;
};

}  // namespace yoketurn
