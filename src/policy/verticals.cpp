#include "policy/verticals.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kHedgeQuantile = 0.95;      // of the part latencies: the hedge delay
constexpr double kInitialHedgeShare = 0.25;  // of the SLO time: the hedge delay before there are samples
constexpr double kLostP90Multiple = 2.5;  // of the p90 of answered parts: age from which one counts as lost
// Lowest quantile of the part latencies that the load estimate uses where all parts are needed.
constexpr double kMinLoadQuantile = 0.75;
constexpr double kEndMarginSeconds = 0.02;  // added to twice the timer resolution, see Verticals::end_margin

// The age from which an unanswered part counts as lost rather than slow; kNever: too few samples.
double lost_after_seconds(std::vector<Sample> samples) {
  std::erase_if(samples, [](const Sample& sample) { return sample.censored; });
  return static_cast<double>(samples.size()) < kPriorSamples ? kNever
                                                             : kLostP90Multiple * quantile(samples, 0.9);
}

// The mean of the quicker half of the answers; 0: there are none.
double mean_of_quicker_half(std::vector<Sample> samples) {
  std::erase_if(samples, [](const Sample& sample) { return sample.censored; });
  const auto half = (samples.size() + 1) / 2;
  const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(half);
  std::nth_element(samples.begin(), middle, samples.end(),
                   [](const Sample& a, const Sample& b) { return a.value < b.value; });
  double sum = 0;
  for (std::size_t i = 0; i < half; ++i) sum += samples[i].value;
  return half > 0 ? sum / static_cast<double>(half) : 0;
}
}  // namespace

VerticalState::VerticalState(const Vertical& vertical)
    : settings(vertical), hedge_delay(kInitialHedgeShare * vertical.slo_time) {}

Verticals::Verticals(const Settings& settings)
    : end_margin(kEndMarginSeconds + 2 * settings.timer_resolution),
      all(settings.verticals.begin(), settings.verticals.end()) {}

// Bounded, so that a wrong hint does little harm.
double Verticals::excess_work(const Leaf& leaf) const {
  if (leaf.work_hint <= 0 || mean_part_work <= 0) return 0;
  return std::clamp(leaf.work_hint - mean_part_work, -mean_part_work, 2 * mean_part_work);
}

// Older parts are left out: they are stuck at nodes that don't answer and say nothing about the other nodes.
double Verticals::recent_pending(double now) const {
  std::ptrdiff_t parts = 0;
  for (const auto& vertical : all)
    parts += std::distance(vertical.pending_parts.lower_bound({now - kLoadWindowSeconds, 0, 0}),
                           vertical.pending_parts.end());
  return static_cast<double>(parts);
}

// Pending parts count with their age as censored samples: all nodes may become slow together, and then there
// are few answers.
void Verticals::update_estimates(double now, double last_tick_at, Nodes& nodes) {
  std::vector<Sample> all_samples;
  double needed = 0;
  for (auto& vertical : all) {
    auto samples = vertical.part_latencies.recent(now);
    const auto sample_count = static_cast<double>(samples.size());
    const auto before = static_cast<double>(all_samples.size());
    for (const auto& [sent_at, step_time, node] : vertical.pending_parts) {
      if (nodes.at(node).suspect || nodes.is_answer_lost(nodes.at(node), sent_at, now)) continue;
      samples.push_back({now - sent_at, true});
      if (now - sent_at <= kLoadWindowSeconds) all_samples.push_back({(now - sent_at) / step_time, true});
    }
    vertical.lost_after = lost_after_seconds(samples);
    vertical.quick_latency = mean_of_quicker_half(samples);
    for (const auto& sample : vertical.load_samples.recent(now)) all_samples.push_back(sample);
    needed += vertical.settings.min_merge_share * (static_cast<double>(all_samples.size()) - before);
    vertical.hedge_delay = (sample_count * quantile(samples, kHedgeQuantile) +
                            kPriorSamples * kInitialHedgeShare * vertical.settings.slo_time) /
                           (sample_count + kPriorSamples);
  }
  nodes.overtaken_lost_after = 0;
  for (const auto& vertical : all)
    if (vertical.lost_after < kNever)
      nodes.overtaken_lost_after = std::max(nodes.overtaken_lost_after, vertical.lost_after);
  if (nodes.overtaken_lost_after <= 0) nodes.overtaken_lost_after = kNever;
  // If all parts are needed, the slowest decides when a query is answered, so a higher quantile counts the
  // more parts a query has; if a share is enough, a lower one.
  const auto sample_count = static_cast<double>(all_samples.size());
  const auto share = std::max(kMinLoadQuantile, 1 - 1 / std::sqrt(std::max<double>(mean_query_parts, 1)));
  load_estimate = sample_count < kPriorSamples ? 0 : quantile(all_samples, share * needed / sample_count);
  typical_pending +=
      (recent_pending(now) - typical_pending) * std::min(1.0, (now - last_tick_at) / kLoadWindowSeconds);
}
}  // namespace yoketurn::policy
