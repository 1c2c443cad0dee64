#include "policy/verticals.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kHedgeQuantile = 0.95;      // of the part latencies: the hedge delay
constexpr double kInitialHedgeShare = 0.25;  // of the SLO time: the hedge delay before anything is known
constexpr double kLostP90Multiple = 2.5;  // times the p90 of answered parts after which one is lost, not slow
constexpr double kMinLoadQuantile = 0.75;  // of part latencies at least, where all parts are needed
constexpr double kEndMarginSeconds =
    0.02;  // and two ticks, by which answers come before the client's time is up

// The age from which an unanswered part tells of a lost answer rather than of a slow one.
double lost_after_seconds(std::vector<Sample> samples) {
  std::erase_if(samples, [](const Sample& s) { return s.censored; });
  return static_cast<double>(samples.size()) < kPriorSamples ? kNever
                                                             : kLostP90Multiple * quantile(samples, 0.9);
}

// The mean of the quicker half, 0 where there is no answer.
double mean_of_quicker_half(std::vector<Sample> samples) {
  std::erase_if(samples, [](const Sample& s) { return s.censored; });
  const auto half = (samples.size() + 1) / 2;
  const auto middle = samples.begin() + static_cast<std::ptrdiff_t>(half);
  std::nth_element(samples.begin(), middle, samples.end(),
                   [](const Sample& a, const Sample& b) { return a.value < b.value; });
  double sum = 0;
  for (std::size_t i = 0; i < half; ++i) sum += samples[i].value;
  return half > 0 ? sum / static_cast<double>(half) : 0;
}
}  // namespace

VerticalState::VerticalState(const Vertical& v) : settings(v), hedge_delay(kInitialHedgeShare * v.slo_time) {}

Verticals::Verticals(const Settings& s)
    : end_margin(kEndMarginSeconds + 2 * s.timer_resolution), all(s.verticals.begin(), s.verticals.end()) {}

// By how much longer a part should take than an average one, by its hint; a wrong one does little harm.
double Verticals::excess_work(const Leaf& leaf) const {
  if (leaf.work_hint <= 0 || mean_part_work <= 0) return 0;
  return std::clamp(leaf.work_hint - mean_part_work, -mean_part_work, 2 * mean_part_work);
}

// Parts out that were sent of late. Those stuck at nodes that answer nothing tell nothing of the others.
double Verticals::recent_pending(double now) const {
  std::ptrdiff_t parts = 0;
  for (const auto& v : all)
    parts +=
        std::distance(v.pending_parts.lower_bound({now - kLoadWindowSeconds, 0, 0}), v.pending_parts.end());
  return static_cast<double>(parts);
}

// Hedge delays, and how strained the nodes are. Parts still out count with their age: all may slow together.
void Verticals::update_estimates(double now, double since, Nodes& nodes) {
  std::vector<Sample> samples_of_all;
  double needed = 0;
  for (auto& v : all) {
    auto samples = v.part_latencies.recent(now);
    const auto many = static_cast<double>(samples.size());
    const auto before = static_cast<double>(samples_of_all.size());
    for (const auto& [sent, time, node] : v.pending_parts) {
      if (nodes.at(node).suspect || nodes.is_answer_lost(nodes.at(node), sent, now)) continue;
      samples.push_back({now - sent, true});
      if (now - sent <= kLoadWindowSeconds) samples_of_all.push_back({(now - sent) / time, true});
    }
    v.lost_after = lost_after_seconds(samples);
    v.quick_latency = mean_of_quicker_half(samples);
    for (const auto& sample : v.load_samples.recent(now)) samples_of_all.push_back(sample);
    needed += v.settings.min_merge_share * (static_cast<double>(samples_of_all.size()) - before);
    v.hedge_delay = (many * quantile(samples, kHedgeQuantile) +
                     kPriorSamples * kInitialHedgeShare * v.settings.slo_time) /
                    (many + kPriorSamples);
  }
  nodes.overtaken_lost_after = 0;
  for (const auto& v : all)
    if (v.lost_after < kNever)
      nodes.overtaken_lost_after = std::max(nodes.overtaken_lost_after, v.lost_after);
  if (nodes.overtaken_lost_after <= 0) nodes.overtaken_lost_after = kNever;
  // Where all parts are needed the slow ones decide, the more of them the more; where a share will do, less.
  const auto many = static_cast<double>(samples_of_all.size());
  const auto share = std::max(kMinLoadQuantile, 1 - 1 / std::sqrt(std::max<double>(mean_query_parts, 1)));
  load_estimate = many < kPriorSamples ? 0 : quantile(samples_of_all, share * needed / many);
  typical_pending +=
      (recent_pending(now) - typical_pending) * std::min(1.0, (now - since) / kLoadWindowSeconds);
}
}  // namespace yoketurn::policy
