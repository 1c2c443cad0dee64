#include "days/service.hpp"

#include <fmt/format.h>

#include "days/numbered.hpp"

namespace yoketurn::days {

void Service::take(const Passing& p) {
  if (p.ask < 0 || p.vertical < 0) return;
  if (p.kind != Kind::asked && p.kind != Kind::answered && p.kind != Kind::unanswered) return;
  const auto i = static_cast<std::size_t>(p.ask);
  if (i >= fates_.size()) fates_.resize(std::max(i + 1, fates_.size() + fates_.size() / 2));
  auto& fate = fates_[i];
  if (fate.began < 0) {
    fate.began = static_cast<float>(p.at);
    fate.vertical = static_cast<short>(p.vertical);
  }
  if (p.kind != Kind::answered || fate.status == 200) return;
  fate.status = static_cast<short>(p.number);
  fate.took = static_cast<float>(p.at) - fate.began;
  fate.partial = p.number == 200 && !p.whole && p.text != "unreadable";
}

Share Service::share(double from, double to, int vertical) const {
  Share share;
  for (const auto& fate : fates_) {
    if (fate.began < 0 || fate.began < from || fate.began >= to) continue;
    if (vertical >= 0 && fate.vertical != vertical) continue;
    const auto& v = verticals_[static_cast<std::size_t>(fate.vertical)];
    ++share.asked;
    share.most_utility += v.credit;
    if (fate.status == 200 && fate.took <= v.aim) {
      ++share.in_time;
      share.utility += v.credit * (fate.partial ? 0.5 : 1);
    } else if (fate.status == 200) {
      ++share.late;
      share.utility += 0.5 * v.credit * (fate.partial ? 0.5 : 1);
    } else if (fate.status == 503 || fate.status == 429) {
      ++share.refused;
    } else {
      ++share.failed;
    }
  }
  return share;
}

double Service::mean_latency(double from, double to) const {
  double sum = 0, many = 0;
  for (const auto& fate : fates_)
    if (fate.status == 200 && fate.began >= from && fate.began < to) {
      sum += fate.took;
      ++many;
    }
  return many > 0 ? sum / many : 0;
}

double Service::latency(double quantile, double from, double to, int vertical) const {
  std::vector<float> times;
  for (const auto& fate : fates_)
    if (fate.status == 200 && fate.began >= from && fate.began < to &&
        (vertical < 0 || fate.vertical == vertical))
      times.push_back(fate.took);
  if (times.empty()) return 0;
  const auto at =
      times.begin() + static_cast<std::ptrdiff_t>(quantile * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), at, times.end());
  return *at;
}

Share share_of(const Record& record, const Day& day, double from, double to, int vertical) {
  Service service(day);
  Numbered numbered;
  for (const auto& e : record)
    if (!e.id.empty()) service.take(numbered.of(e));
  return service.share(from, to, vertical);
}

std::string report(const Record& record, const Day& day) {
  Service service(day);
  Numbered numbered;
  for (const auto& e : record)
    if (!e.id.empty()) service.take(numbered.of(e));
  std::string text = fmt::format("{:>9}  {:>6} {:>8} {:>6} {:>8} {:>7}  utility\n", "seconds", "asked",
                                 "in time", "late", "refused", "failed");
  for (double from = 0; from < day.seconds; from += 2) {
    const auto s = service.share(from, from + 2);
    text += fmt::format("{:>4.0f}-{:<4.0f}  {:>6} {:>7.1f}% {:>6} {:>8} {:>7}  {:.3f}", from, from + 2,
                        s.asked, 100 * s.good(), s.late, s.refused, s.failed, s.earned());
    for (std::size_t v = 0; v < day.verticals.size(); ++v)
      text += fmt::format("  {} {:.2f}", day.verticals[v].name,
                          service.share(from, from + 2, static_cast<int>(v)).earned());
    text += '\n';
  }
  for (const auto& e : record)
    if (e.kind == Kind::fault)
      text += fmt::format("{:8.3f}  {} {}\n", e.at, e.number ? "begins:" : "ends:  ", e.text);
  for (const auto& e : record)
    if (e.kind == Kind::site) text += fmt::format("{:8.3f}  router {:<3} {}\n", e.at, e.router, e.text);
  return text;
}

}  // namespace yoketurn::days
