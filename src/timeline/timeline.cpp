#include "timeline/timeline.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yoketurn {

namespace {

constexpr double kFirstBin = 0.0005;
constexpr double kBinFactor = 1.6;
constexpr std::size_t kOuts = 64;        // calls out of one node that have room from the start
constexpr std::size_t kLineBytes = 512;  // of a line with its names, summaries that are open, calls out
constexpr double kSecondsShare = 0.4;    // of what the summaries have
constexpr double kSameTime = 1e-4;       // ages are told as floats
constexpr double kClockStep = 0.05;      // of the common clock, from which it is told
constexpr std::uint32_t kTen = 10;

void count(std::uint16_t& counter, std::uint32_t by = 1) {
  counter = static_cast<std::uint16_t>(
      std::min<std::uint32_t>(counter + by, std::numeric_limits<std::uint16_t>::max()));
}

}  // namespace

double latency_bound(std::size_t bin) {
  return bin + 1 >= kLatencyBins ? std::numeric_limits<double>::infinity()
                                 : kFirstBin * std::pow(kBinFactor, static_cast<double>(bin));
}

std::size_t latency_bin(double latency) {
  static const auto bounds = [] {
    std::array<double, kLatencyBins> result{};
    for (std::size_t i = 0; i < result.size(); ++i) result[i] = latency_bound(i);
    return result;
  }();
  return static_cast<std::size_t>(std::lower_bound(bounds.begin(), bounds.end() - 1, latency) -
                                  bounds.begin());
}

void Summary::take(const Event& event, std::size_t out) {
  const auto reason = static_cast<Reason>(event.why);
  switch (event.what) {
    case What::sent:
      count(sent);
      if (reason == Reason::copy) count(copied);
      if (reason == Reason::resent_lost || reason == Reason::resent_failed) count(resent);
      break;
    case What::passed:
      count(passed);
      break;
    case What::outcome:
      if (event.why < outcomes.size()) count(outcomes[event.why]);
      if (static_cast<Outcome>(event.why) != Outcome::success) break;
      count(latencies[latency_bin(event.a)]);
      fastest = fastest > 0 ? std::max(std::min(fastest, event.a), 1e-6F) : std::max(event.a, 1e-6F);
      slowest = std::max(slowest, event.a);
      break;
    case What::closed: {
      const auto closing = static_cast<Closing>(event.why);
      if (closing != Closing::idle && closing != Closing::room && closing != Closing::stopped)
        count(troubles);
      break;
    }
    case What::report:
      most_reported =
          std::max(most_reported, static_cast<std::uint16_t>(std::clamp(event.a, 0.0F, 65535.0F)));
      break;
    default:
      break;
  }
  most_out = std::max(most_out, static_cast<std::uint16_t>(std::min<std::size_t>(out, 65535)));
}

void Summary::add(const Summary& other) {
  count(sent, other.sent);
  count(copied, other.copied);
  count(resent, other.resent);
  count(passed, other.passed);
  count(troubles, other.troubles);
  for (std::size_t i = 0; i < outcomes.size(); ++i) count(outcomes[i], other.outcomes[i]);
  for (std::size_t i = 0; i < latencies.size(); ++i) count(latencies[i], other.latencies[i]);
  most_out = std::max(most_out, other.most_out);
  most_reported = std::max(most_reported, other.most_reported);
  if (other.fastest > 0) fastest = fastest > 0 ? std::min(fastest, other.fastest) : other.fastest;
  slowest = std::max(slowest, other.slowest);
}

bool Summary::empty() const {
  return sent == 0 && passed == 0 && troubles == 0 && most_out == 0 && most_reported == 0 &&
         std::all_of(outcomes.begin(), outcomes.end(), [](auto n) { return n == 0; });
}

double Summary::quantile(double share) const {
  std::uint32_t all = 0, below = 0;
  for (const auto n : latencies) all += n;
  if (all == 0) return 0;
  for (std::size_t i = 0; i < latencies.size(); ++i) {
    below += latencies[i];
    if (below >= share * all) return std::min<double>(latency_bound(i), slowest);
  }
  return slowest;
}

double Timeline::Line::oldest(double now) const {
  double age = 0;
  for (const auto& out : outs) age = std::max(age, now - out.sent);
  return age;
}

Timeline::Timeline(const Budget& budget, double now, double unix_at_zero)
    : start_(now),
      unix_at_zero_(unix_at_zero),
      most_lines_(
          std::min(static_cast<std::size_t>(std::max(budget.lines, 0)) + 2, budget.memory / 4 / kLineBytes)),
      events_([&] {
        const auto rest = static_cast<double>(budget.memory - most_lines_ * kLineBytes);
        return static_cast<std::size_t>(rest * budget.fine / sizeof(Event));
      }()),
      seconds_([&] {
        const auto rest = static_cast<double>(budget.memory - most_lines_ * kLineBytes);
        return static_cast<std::size_t>(rest * (1 - budget.fine) * kSecondsShare / sizeof(Summary));
      }()),
      tens_([&] {
        const auto rest = static_cast<double>(budget.memory - most_lines_ * kLineBytes);
        return static_cast<std::size_t>(rest * (1 - budget.fine) * (1 - kSecondsShare) / sizeof(Summary));
      }()) {
  lines_.reserve(most_lines_);
  open_.reserve(most_lines_);
  open("door", "", now);
  open("loop", "", now);
  Event event;
  event.at = now;
  event.line = kLoop;
  event.what = What::started;
  event.a = 1;
  record(event);
  event.what = What::clock;
  event.set_wide(unix_at_zero);
  record(event);
}

std::uint32_t Timeline::open(std::string name, std::string address, double now) {
  std::size_t at = lines_.size();
  std::uint32_t generation = 0;
  if (at == most_lines_) {
    for (std::size_t i = 0; i < lines_.size(); ++i)
      if (lines_[i].closed > 0 && lines_[i].outs.empty() &&
          (at == lines_.size() || lines_[i].closed < lines_[at].closed))
        at = i;
    if (at == lines_.size()) return kNoLine;
    roll(at, std::numeric_limits<std::uint32_t>::max());
    generation = (lines_[at].id >> kSlotBits) + 1;
  } else {
    lines_.emplace_back();
    open_.emplace_back();
  }
  auto& line = lines_[at];
  auto outs = std::move(line.outs);
  outs.clear();
  outs.reserve(kOuts / 8);
  line = {};
  line.outs = std::move(outs);
  line.id = generation << kSlotBits | static_cast<std::uint32_t>(at);
  line.name = std::move(name).substr(0, 64);
  line.address = std::move(address).substr(0, 64);
  line.opened = now;
  open_[at] = {};
  if (also_line) also_line(line);
  return line.id;
}

void Timeline::close(std::uint32_t id, double now) {
  if (auto* line = find(id)) line->closed = now;
}

Timeline::Line* Timeline::find(std::uint32_t id) {
  const auto at = slot(id);
  return at < lines_.size() && lines_[at].id == id ? &lines_[at] : nullptr;
}

const Timeline::Line* Timeline::line(std::uint32_t id) const {
  const auto at = slot(id);
  return at < lines_.size() && lines_[at].id == id ? &lines_[at] : nullptr;
}

const Timeline::Line* Timeline::named(std::string_view name) const {
  const Line* found = nullptr;
  for (const auto& line : lines_)
    if (line.name == name && (found == nullptr || line.opened >= found->opened)) found = &line;
  return found;
}

// A node is passed over for nearly each part: of each reason the first in a second stands as an event, the
// others are counted.
bool Timeline::folds(Open& open, const Event& event) const {
  if (event.what != What::passed) return false;
  const auto bit = 1U << (event.why & 31U);
  const auto before = open.folded & bit;
  open.folded |= bit;
  return before != 0;
}

void Timeline::record(const Event& event) {
  auto* line = find(event.line);
  if (line == nullptr) {
    ++nameless_;
    return;
  }
  const auto at = slot(event.line);
  roll(at, static_cast<std::uint32_t>(std::max(event.at - start_, 0.0)));
  auto& open = open_[at];
  switch (event.what) {
    case What::ready:
    case What::draining:
    case What::gone:
      line->state = event.what;
      line->told = event.at;
      break;
    case What::belief:
      line->belief = event.why;
      break;
    case What::report:
      line->reported = event.a;
      line->queued = event.b;
      line->report_age = event.c;
      line->report_heard = event.at;
      break;
    case What::sent:
      ++line->sent;
      line->outs.push_back({event.at, event.vertical});
      break;
    case What::outcome: {
      auto& outs = line->outs;
      const auto out = std::find_if(outs.begin(), outs.end(), [&](const Out& o) {
        return o.vertical == event.vertical && std::abs(event.at - o.sent - event.a) < kSameTime;
      });
      if (out == outs.end()) break;  // of a call from before the line began
      ++line->outcomes;
      *out = outs.back();
      outs.pop_back();
      break;
    }
    default:
      break;
  }
  open.second.take(event, line->outs.size());
  if (folds(open, event)) return;
  events_.push(event);
  if (also) also(event);
}

// The second that is over goes to the summaries, and into the ten seconds it is of.
void Timeline::roll(std::size_t at, std::uint32_t second) {
  auto& open = open_[at];
  if (open.second.line == kNoLine) {
    open.second.line = open.ten.line = lines_[at].id;
    open.second.start = second;
    open.ten.start = second / kTen * kTen;
    open.ten.span = kTen;
  }
  if (open.second.start >= second) return;
  if (!open.second.empty()) seconds_.push(open.second);
  open.ten.add(open.second);
  const auto fresh = [&](std::uint32_t start, std::uint16_t span) {
    Summary summary;
    summary.line = lines_[at].id;
    summary.start = start;
    summary.span = span;
    return summary;
  };
  open.second = fresh(second, 1);
  open.second.most_out = static_cast<std::uint16_t>(std::min<std::size_t>(lines_[at].outs.size(), 65535));
  open.folded = 0;
  if (open.ten.start / kTen == second / kTen) return;
  if (!open.ten.empty()) tens_.push(open.ten);
  open.ten = fresh(second / kTen * kTen, kTen);
}

void Timeline::tick(double now, double unix_at_zero) {
  if (std::abs(unix_at_zero - unix_at_zero_) > kClockStep) {
    unix_at_zero_ = unix_at_zero;
    Event event;
    event.at = now;
    event.line = kLoop;
    event.what = What::clock;
    event.set_wide(unix_at_zero);
    record(event);
  }
  const auto second = static_cast<std::uint32_t>(std::max(now - start_, 0.0));
  for (std::size_t i = 0; i < lines_.size(); ++i) roll(i, second);
}

std::size_t Timeline::bytes() const {
  return most_lines_ * kLineBytes + events_.bytes() + seconds_.bytes() + tens_.bytes();
}

}  // namespace yoketurn
