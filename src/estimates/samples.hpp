// Samples of a sliding window and what is read from them: product-limit quantiles (Kaplan and Meier, 1958),
// counts, smoothed averages. Times in seconds on one clock that only goes forward.
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
  bool censored;  // the true value is this or more: the call was cancelled, timed out or is still out
};

// Quantiles are product-limit estimates. Cancelled calls are the slow ones: to leave them out, or to take
// their age for a latency, would pull the percentile down and so invite more copies.
inline void sort_by_value(std::vector<Sample>& samples) {
  std::sort(samples.begin(), samples.end(), [](const Sample& a, const Sample& b) {
    return a.value != b.value ? a.value < b.value : a.censored < b.censored;
  });
}

inline double quantile(std::vector<Sample>& samples, double share) {
  sort_by_value(samples);
  double above = 1;
  for (std::size_t i = 0; i < samples.size(); ++i) {
    if (!samples[i].censored) above *= 1 - 1.0 / static_cast<double>(samples.size() - i);
    if (above <= 1 - share + 1e-9) return samples[i].value;
  }
  return samples.empty() ? 0 : samples.back().value;
}

// By the same estimate, the chance that a value is at most this.
inline double probability_within(std::vector<Sample>& samples, double value) {
  sort_by_value(samples);
  double above = 1;
  for (std::size_t i = 0; i < samples.size() && samples[i].value <= value; ++i)
    if (!samples[i].censored) above *= 1 - 1.0 / static_cast<double>(samples.size() - i);
  return 1 - above;
}

// Counts events in a sliding window.
class WindowCounter {
 public:
  explicit WindowCounter(double span = 0) : span_(span) {}
  void add(double now, double count = 1) {
    recent(now);
    events_.emplace_back(now, count);
    total_ += count;
  }
  double recent(double now) {
    while (!events_.empty() && events_.front().first < now - span_) {
      total_ -= events_.front().second;
      events_.pop_front();
    }
    return total_;
  }

 private:
  double span_;
  std::deque<std::pair<double, double>> events_;
  double total_ = 0;
};

// The samples of a sliding window.
class SampleWindow {
 public:
  explicit SampleWindow(double span) : span_(span) {}
  void add(double now, Sample sample) { samples_.emplace_back(now, sample); }
  std::vector<Sample> recent(double now) {
    while (!samples_.empty() && samples_.front().first < now - span_) samples_.pop_front();
    std::vector<Sample> result;
    for (const auto& [when, sample] : samples_) result.push_back(sample);
    return result;
  }

 private:
  double span_;
  std::deque<std::pair<double, Sample>> samples_;
};

// A smoothed average. The first samples weigh as in a plain mean: a router that sees a query a second would
// else go by its very first one for a minute.
class SmoothedMean {
 public:
  explicit SmoothedMean(double weight) : most_(1 / weight) {}  // of a new sample, once there are enough
  void add(double sample) {
    many_ = std::min(many_ + 1, most_);
    value_ += (sample - value_) / many_;
  }
  operator double() const { return value_; }  // 0: no sample yet

 private:
  double value_ = 0;
  double many_ = 0;
  double most_;
};

}  // namespace yoketurn
