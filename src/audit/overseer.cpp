#include "audit/overseer.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace yoketurn::audit {

std::string_view name(Guard guard) {
  static constexpr std::string_view kNames[] = {"none",      "fleet", "site",       "last_of_site",
                                                "site_lost", "sight", "site_behind"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(Guard::last));
  return kNames[static_cast<std::size_t>(guard)];
}

// Out of service is what can't be reached, does not serve, holds itself out, or was told to go: all alike.
Guard Overseer::guard(std::span<const Member> fleet, const std::string& router,
                      const std::map<std::string, double>& out, const OverseerLimits& limits, double now) {
  const auto who = std::find_if(fleet.begin(), fleet.end(), [&](auto& m) { return m.router == router; });
  if (who == fleet.end()) return Guard::sight;
  int seen = 0, out_of_fleet = 0, in_site = 0, out_of_site = 0, witnesses = 0;
  std::map<std::string, std::pair<int, int>> sites;  // of each: all, out of reach
  for (const auto& m : fleet) {
    const auto ordered = out.find(m.router);
    const auto is_out = !m.reachable || !m.serving || m.taking == Participation::aside ||
                        m.taking == Participation::out || (ordered != out.end() && now < ordered->second);
    const auto counts = m.router != router;  // it is asked about
    out_of_fleet += counts && is_out;
    if (m.site == who->site) {
      ++in_site;
      out_of_site += counts && is_out;
    }
    seen += m.reachable;
    witnesses += m.reachable && m.sees_site_lost;
    auto& [all, gone] = sites[m.site];
    ++all;
    gone += !m.reachable;
  }
  const auto many = static_cast<double>(fleet.size());
  if (seen < limits.sight * many) return Guard::sight;
  for (const auto& [site, counted] : sites)
    if (counted.first > 1 && counted.first == counted.second) return Guard::site_lost;
  if (witnesses >= 2 || (witnesses == 1 && seen <= 2)) return Guard::site_lost;
  if (in_site - out_of_site <= 1) return Guard::last_of_site;
  if (out_of_site + 1 > limits.of_site * in_site) return Guard::site;
  if (out_of_fleet + 1 > limits.of_fleet * many) return Guard::fleet;
  return Guard::none;
}

// A router that reads other files or runs another program than the rest gains nothing by another list.
std::vector<OrderStep> Overseer::ladder(const Member& m) const {
  if (m.subject == VersionedInput::list) {
    std::vector<OrderStep> steps{OrderStep::ask_again};
    if (!m.agent.empty()) steps.push_back(OrderStep::follow);
    steps.insert(steps.end(), {OrderStep::read_again, OrderStep::step_aside, OrderStep::shut_out});
    return steps;
  }
  if (m.subject == VersionedInput::build)
    return {};  // only its staff can give it another program: it is told
  return {OrderStep::read_again, OrderStep::step_aside};
}

void Overseer::outstanding(const std::string& router, OrderStep step, double until) {
  if (step != OrderStep::step_aside && step != OrderStep::shut_out) return;
  auto& course = courses_[router];
  course.holds = step;
  course.until = until;
  out_[router] = std::max(out_[router], until);
}

Order Overseer::give(const Member& m, OrderStep step, std::string why, double now) {
  return {term_,
          ++number_,
          m.router,
          step,
          std::move(why),
          now + limits_.lasts,
          step == OrderStep::follow ? m.agent : std::string()};
}

std::vector<Order> Overseer::round(std::span<const Member> fleet, double now) {
  std::vector<Order> orders;
  const auto seen = std::count_if(fleet.begin(), fleet.end(), [](auto& m) { return m.reachable; });
  // One that has seen too little lately knows nothing of the rest: what holds lapses by itself.
  if (static_cast<double>(seen) < limits_.sight * static_cast<double>(fleet.size())) return orders;
  for (const auto& m : fleet) {
    auto& course = courses_[m.router];
    const auto holds = course.holds != OrderStep::last && now < course.until;
    if (!holds) course.holds = OrderStep::last;
    if (!m.reachable) continue;
    const auto behind = m.condition == Condition::straggler || m.condition == Condition::site_behind;
    if (!behind) {
      if (m.condition == Condition::behind || m.condition == Condition::starting) {
        course.good_since = 0;
        continue;
      }
      if (course.good_since == 0) course.good_since = now;
      if (now < course.good_since + limits_.evidence) continue;
      // Back: it acts as the others do.
      if (holds) {
        orders.push_back(give(m, OrderStep::back, "it acts on what the others do", now));
        out_.erase(m.router);
      }
      course = {};
      course.good_since = now;
      continue;
    }
    course.good_since = 0;
    const auto steps = ladder(m);
    const auto why = fmt::format("behind in its {} for {:.1f} s{}", name(m.subject), now - m.since,
                                 m.doubts.empty() ? "" : "; doubts: " + m.doubts);
    const auto renews = holds && now > course.until - limits_.lasts / 2;
    const auto next = course.step + 1;
    const auto due = course.step < 0 || now >= course.stepped + limits_.patience;
    auto step = OrderStep::last;
    if (due && next < static_cast<int>(steps.size()))
      step = steps[static_cast<std::size_t>(next)];
    else if (renews)
      step = course.holds;
    if (step == OrderStep::last) continue;
    if (step == OrderStep::step_aside || step == OrderStep::shut_out) {
      const auto bound = m.condition == Condition::site_behind ? Guard::site_behind
                                                               : guard(fleet, m.router, out_, limits_, now);
      if (bound != Guard::none) {
        if (course.told != bound) held_back_.push_back({m.router, step, bound});
        course.told = bound;
        continue;  // and what it holds lapses
      }
      course.holds = step;
      course.until = now + limits_.lasts;
      out_[m.router] = course.until;
    }
    course.told = Guard::none;
    if (due && next < static_cast<int>(steps.size())) {
      course.step = next;
      course.stepped = now;
    }
    orders.push_back(give(m, step, why, now));
  }
  return orders;
}

}  // namespace yoketurn::audit
