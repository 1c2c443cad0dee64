#include "policy/verticals.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kHedgeQuantile = 0.95;   // of the part latencies: the hedge delay
constexpr double kStartShare = 0.25;      // of the SLO time: the hedge delay before anything is known
constexpr double kLost = 2.5;             // times the p90 of answered parts after which one is lost, not slow
constexpr double kStrainQuantile = 0.75;  // of part latencies at least, where all parts are needed
constexpr double kMargin = 0.02;  // and two ticks, by which answers come before the client's time is up

// The age from which an unanswered part tells of a lost answer rather than of a slow one.
double lost_after(std::vector<Sample> samples) {
  std::erase_if(samples, [](const Sample& s) { return s.censored; });
  return static_cast<double>(samples.size()) < kStartWeight ? kNever : kLost * quantile(samples, 0.9);
}

// The mean of the quicker half, 0 where there is no answer.
double quicker_half(std::vector<Sample> samples) {
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

VerticalState::VerticalState(const Vertical& v) : is(v), delay(kStartShare * v.slo_time) {}

Verticals::Verticals(const Settings& s)
    : margin(kMargin + 2 * s.timer_resolution), all(s.verticals.begin(), s.verticals.end()) {}

// By how much longer a part should take than an average one, by its hint; a wrong one does little harm.
double Verticals::excess(const Leaf& leaf) const {
  if (leaf.work_hint <= 0 || part_work <= 0) return 0;
  return std::clamp(leaf.work_hint - part_work, -part_work, 2 * part_work);
}

// Parts out that were sent of late. Those stuck at nodes that answer nothing tell nothing of the others.
double Verticals::out(double now) const {
  std::ptrdiff_t parts = 0;
  for (const auto& v : all)
    parts += std::distance(v.waiting.lower_bound({now - kStrainWindow, 0, 0}), v.waiting.end());
  return static_cast<double>(parts);
}

// Hedge delays, and how strained the nodes are. Parts still out count with their age: all may slow together.
void Verticals::estimate(double now, double since, Nodes& nodes) {
  std::vector<Sample> samples_of_all;
  double needed = 0;
  for (auto& v : all) {
    auto samples = v.latencies.recent(now);
    const auto many = static_cast<double>(samples.size());
    const auto before = static_cast<double>(samples_of_all.size());
    for (const auto& [sent, time, node] : v.waiting) {
      if (nodes.at(node).suspect || nodes.stray(nodes.at(node), sent, now)) continue;
      samples.push_back({now - sent, true});
      if (now - sent <= kStrainWindow) samples_of_all.push_back({(now - sent) / time, true});
    }
    v.lost = lost_after(samples);
    v.quick = quicker_half(samples);
    for (const auto& sample : v.strain.recent(now)) samples_of_all.push_back(sample);
    needed += v.is.min_merge_share * (static_cast<double>(samples_of_all.size()) - before);
    v.delay = (many * quantile(samples, kHedgeQuantile) + kStartWeight * kStartShare * v.is.slo_time) /
              (many + kStartWeight);
  }
  nodes.astray = 0;
  for (const auto& v : all)
    if (v.lost < kNever) nodes.astray = std::max(nodes.astray, v.lost);
  if (nodes.astray <= 0) nodes.astray = kNever;
  // Where all parts are needed the slow ones decide, the more of them the more; where a share will do, less.
  const auto many = static_cast<double>(samples_of_all.size());
  const auto share = std::max(kStrainQuantile, 1 - 1 / std::sqrt(std::max<double>(query_parts, 1)));
  strain = many < kStartWeight ? 0 : quantile(samples_of_all, share * needed / many);
  typical_out += (out(now) - typical_out) * std::min(1.0, (now - since) / kStrainWindow);
}
}  // namespace yoketurn::policy
