#include "versions/service.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace yoketurn {

namespace {

constexpr std::string_view kSteps[] = {"ask_again", "follow", "read_again", "step_aside", "shut_out", "back"};
constexpr std::string_view kVerdicts[] = {"taken",  "known",    "lower_term", "old_number", "of_another",
                                          "lapsed", "too_long", "site_lost",  "draining"};
constexpr std::string_view kTakings[] = {"in", "aside", "out", "returning"};
static_assert(std::size(kSteps) == static_cast<std::size_t>(Step::last) &&
              std::size(kVerdicts) == static_cast<std::size_t>(Verdict::last) &&
              std::size(kTakings) == static_cast<std::size_t>(Taking::last));

constexpr double kAskAfter = 1;       // of doubt, until it asks again by itself
constexpr double kAskMost = 30;       // pauses between two askings double up to this
constexpr double kAsideAfter = 10;    // of doubt, until it draws whether it steps aside
constexpr double kAsideLongest = 60;  // by itself
constexpr double kReturnStep = 1;     // a returning router takes a quarter, a half, all: so long each
constexpr double kFirstShare = 0.25;

}  // namespace

std::string_view name(Step step) {
  return kSteps[static_cast<std::size_t>(step)];
}
std::string_view name(Verdict verdict) {
  return kVerdicts[static_cast<std::size_t>(verdict)];
}
std::string_view name(Taking taking) {
  return kTakings[static_cast<std::size_t>(taking)];
}

Service::Service(const Limits& limits, std::string router, std::uint64_t seed)
    : limits_(limits), router_(std::move(router)), chance_(static_cast<std::uint_fast32_t>(seed * 17 + 3)) {}

void Service::enter(Taking taking, std::string why, double now) {
  taking_ = taking;
  why_ = std::move(why);
  since_ = now;
}

// One that stepped aside has served all along. One that was out knows less of the nodes than the others.
void Service::leave(std::string why, double now) {
  until_ = 0;
  if (taking_ == Taking::aside || taking_ == Taking::out)
    enter(taking_ == Taking::out ? Taking::returning : Taking::in, std::move(why), now);
}

Verdict Service::order(const Order& order, const State& state, WallTime wall_now, double now) {
  if (order.router != router_) return Verdict::of_another;
  if (order.term < last_.term) return Verdict::lower_term;
  if (order.term == last_.term) {
    if (order.number == last_.number) return Verdict::known;
    if (order.number < last_.number) return Verdict::old_number;
  }
  const auto left = seconds_between(wall_now, WallTime{order.until});
  if (left <= 0) return Verdict::lapsed;
  if (left > limits_.longest) return Verdict::too_long;
  const auto leaves = order.step == Step::step_aside || order.step == Step::shut_out;
  if (leaves && state.draining) return Verdict::draining;
  if (leaves && state.site_lost) return Verdict::site_lost;
  last_ = order;
  if (leaves) {
    until_ = now + left;
    enter(order.step == Step::shut_out ? Taking::out : Taking::aside, order.why, now);
  } else if (order.step == Step::back) {
    leave(order.why, now);
  }
  return Verdict::taken;
}

std::vector<Step> Service::tick(const State& state, double now) {
  std::vector<Step> steps;
  const auto away = taking_ == Taking::aside || taking_ == Taking::out;
  if (away && state.site_lost)
    leave("a site is lost", now);
  else if (away && until_ > 0 && now >= until_)
    leave("its order has lapsed", now);
  else if (away && until_ <= 0 && state.doubted_since <= 0)
    leave("its doubt is over", now);
  else if (away && until_ <= 0 && now >= since_ + kAsideLongest)
    leave("it was aside for long enough", now);
  if (taking_ == Taking::returning && now >= since_ + 2 * kReturnStep) enter(Taking::in, why_, now);
  if (!limits_.alone || state.draining) return steps;
  if (state.doubted_since <= 0) {
    pause_ = 0;
    drawn_ = false;
    return steps;
  }
  if (pause_ <= 0) {
    pause_ = kAskAfter;
    asked_at_ = state.doubted_since + kAskAfter * std::uniform_real_distribution<>(0, 1)(chance_);
  }
  if (now >= asked_at_ + pause_) {
    steps.push_back(Step::ask_again);
    pause_ = std::min(2 * pause_, kAskMost);
    asked_at_ = now + pause_ * std::uniform_real_distribution<>(0, 0.5)(chance_);
  }
  // It can't know whether all the others are behind as well: by chance only a few go.
  if (!drawn_ && !away && now >= state.doubted_since + kAsideAfter) {
    drawn_ = true;
    if (std::uniform_real_distribution<>(0, 1)(chance_) < limits_.share && !state.site_lost) {
      until_ = 0;
      enter(Taking::aside, "its own doubt", now);
    }
  }
  return steps;
}

bool Service::bars(double now) {
  if (taking_ == Taking::out) return true;
  if (taking_ != Taking::returning) return false;
  const auto share = kFirstShare * std::exp2(std::floor((now - since_) / kReturnStep));
  return std::uniform_real_distribution<>(0, 1)(chance_) >= share;
}

}  // namespace yoketurn
