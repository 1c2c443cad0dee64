#include "versions/service.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace yoketurn {

namespace {

constexpr std::string_view kStepNames[] = {"ask_again",  "follow",   "read_again",
                                           "step_aside", "shut_out", "back"};
constexpr std::string_view kVerdictNames[] = {"taken",  "known",    "lower_term", "old_number", "of_another",
                                              "lapsed", "too_long", "site_lost",  "draining"};
constexpr std::string_view kParticipationNames[] = {"in", "aside", "out", "returning"};
static_assert(std::size(kStepNames) == static_cast<std::size_t>(OrderStep::last) &&
              std::size(kVerdictNames) == static_cast<std::size_t>(OrderVerdict::last) &&
              std::size(kParticipationNames) == static_cast<std::size_t>(Participation::last));

// Requests for the node list without an order: the delay of the first one after a suspicion began, and the
// limit up to which the interval doubles.
constexpr double kFirstRequestDelaySeconds = 1;
constexpr double kMaxRequestIntervalSeconds = 30;
constexpr double kStepAsideDelaySeconds = 10;  // of suspicion, until it is drawn whether to step aside
constexpr double kMaxAsideSeconds = 60;        // without an order
// A returning router accepts a quarter, then a half of the new queries, for this time each, then all.
constexpr double kReturnStepSeconds = 1;
constexpr double kFirstReturnShare = 0.25;

}  // namespace

std::string_view name(OrderStep step) {
  return kStepNames[static_cast<std::size_t>(step)];
}
std::string_view name(OrderVerdict verdict) {
  return kVerdictNames[static_cast<std::size_t>(verdict)];
}
std::string_view name(Participation participation) {
  return kParticipationNames[static_cast<std::size_t>(participation)];
}

ParticipationController::ParticipationController(const Limits& limits, std::string router, std::uint64_t seed)
    : limits_(limits), router_(std::move(router)), random_(static_cast<std::uint_fast32_t>(seed * 17 + 3)) {}

void ParticipationController::set_state(Participation participation, std::string reason, double now) {
  participation_ = participation;
  state_reason_ = std::move(reason);
  state_since_ = now;
}

// A router that stepped aside has served all along and is back at once. One that was out knows less about the
// nodes than the other routers, so it returns in steps.
void ParticipationController::end_absence(std::string reason, double now) {
  order_expires_at_ = 0;
  if (participation_ == Participation::aside || participation_ == Participation::out)
    set_state(participation_ == Participation::out ? Participation::returning : Participation::in,
              std::move(reason), now);
}

OrderVerdict ParticipationController::apply_order(const Order& order, const RouterState& state,
                                                  WallTime wall_now, double now) {
  if (order.router != router_) return OrderVerdict::of_another;
  if (order.term < last_order_.term) return OrderVerdict::lower_term;
  if (order.term == last_order_.term) {
    if (order.number == last_order_.number) return OrderVerdict::known;
    if (order.number < last_order_.number) return OrderVerdict::old_number;
  }
  const auto remaining = seconds_between(wall_now, WallTime{order.expires_at});
  if (remaining <= 0) return OrderVerdict::lapsed;
  if (remaining > limits_.max_order_seconds) return OrderVerdict::too_long;
  const auto is_absence = order.step == OrderStep::step_aside || order.step == OrderStep::shut_out;
  if (is_absence && state.draining) return OrderVerdict::draining;
  if (is_absence && state.site_lost) return OrderVerdict::site_lost;
  last_order_ = order;
  if (is_absence) {
    order_expires_at_ = now + remaining;
    set_state(order.step == OrderStep::shut_out ? Participation::out : Participation::aside, order.reason,
              now);
  } else if (order.step == OrderStep::back) {
    end_absence(order.reason, now);
  }
  return OrderVerdict::taken;
}

std::vector<OrderStep> ParticipationController::tick(const RouterState& state, double now) {
  std::vector<OrderStep> steps;
  const auto absent = participation_ == Participation::aside || participation_ == Participation::out;
  if (absent && state.site_lost)
    end_absence("a site is lost", now);
  else if (absent && order_expires_at_ > 0 && now >= order_expires_at_)
    end_absence("its order has expired", now);
  else if (absent && order_expires_at_ <= 0 && state.suspected_since <= 0)
    end_absence("its view is no longer suspected to be stale", now);
  else if (absent && order_expires_at_ <= 0 && now >= state_since_ + kMaxAsideSeconds)
    end_absence("it was aside for the longest time permitted without an order", now);
  if (participation_ == Participation::returning && now >= state_since_ + 2 * kReturnStepSeconds)
    set_state(Participation::in, state_reason_, now);
  if (!limits_.act_without_orders || state.draining) return steps;
  if (state.suspected_since <= 0) {
    request_interval_ = 0;
    step_aside_decided_ = false;
    return steps;
  }
  if (request_interval_ <= 0) {
    request_interval_ = kFirstRequestDelaySeconds;
    request_interval_start_ =
        state.suspected_since + kFirstRequestDelaySeconds * std::uniform_real_distribution<>(0, 1)(random_);
  }
  if (now >= request_interval_start_ + request_interval_) {
    steps.push_back(OrderStep::ask_again);
    request_interval_ = std::min(2 * request_interval_, kMaxRequestIntervalSeconds);
    request_interval_start_ = now + request_interval_ * std::uniform_real_distribution<>(0, 0.5)(random_);
  }
  // The router can't know whether all others are stale too, so only a random few step aside.
  if (!step_aside_decided_ && !absent && now >= state.suspected_since + kStepAsideDelaySeconds) {
    step_aside_decided_ = true;
    if (std::uniform_real_distribution<>(0, 1)(random_) < limits_.step_aside_share && !state.site_lost) {
      order_expires_at_ = 0;
      set_state(Participation::aside, "it suspects its view to be stale", now);
    }
  }
  return steps;
}

bool ParticipationController::rejects_new_query(double now) {
  if (participation_ == Participation::out) return true;
  if (participation_ != Participation::returning) return false;
  const auto share = kFirstReturnShare * std::exp2(std::floor((now - state_since_) / kReturnStepSeconds));
  return std::uniform_real_distribution<>(0, 1)(random_) >= share;
}

}  // namespace yoketurn
