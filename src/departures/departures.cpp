#include "departures/departures.hpp"

#include <cstdlib>
#include <iterator>
#include <utility>

namespace yoketurn {

namespace {

constexpr double kEnough = 20;  // answers before anything is usual
constexpr double kDay = 86400;
constexpr double kLeastDeviation = 0.35;  // of log latency: very regular nodes are not departed at a tremor
constexpr double kTremor =
    0.01;  // seconds by which a slow node is slower, at least: the router's own host jitters
constexpr double kClip = 4;            // deviations a single sample may count as: tails are long
constexpr double kQuick = 0.2;         // weight of a new sample in what is recent
constexpr double kUsualBad = 0.01;     // share of bad outcomes, at least
constexpr double kAllBad = 0.9;        // of a node that fails nearly all: told after few, as it gets few
constexpr double kUsualLost = 0.0005;  // share of parts that are answered far too late or never
constexpr double kAnswered = 0.69;  // evidence that an answer takes back: a node may swallow one part in two
constexpr double kStrong = 2;  // evidence of one part that counts as an answer lost, if the node lives on
constexpr double kLostWeight = 0.005;
constexpr int kFewest = 2;         // parts that evidence rests on
constexpr double kSwallows = 2.5;  // seconds of silence with parts given up: swallowed, not stalled
constexpr int kGoodRow = 20;       // good outcomes in a row after which a node that failed is back
constexpr int kBack = 5;           // answers in a row at the usual pace after which a node is back
constexpr double kBackAfter = 1;   // second without evidence
constexpr double kMinute = 60;
constexpr double kTroubleSpan = 10;
constexpr std::size_t kTroubles = 3;
constexpr int kFrozenAnswers = 30;       // answered here while the report did not change
constexpr std::size_t kFrozenRange = 2;  // and its calls went up and down by so many
constexpr double kPulse = 0.5;           // an answer within it says that a node is back
constexpr double kLongHold = 2;
constexpr double kHold = 0.3;         // for which a departure is held, as it may turn out to be the fleet's
constexpr std::size_t kFewNodes = 4;  // below which there is no fleet to speak of
constexpr std::size_t kMostOuts = 4096;
constexpr std::size_t kMostLoads = 4;
constexpr std::size_t kMostTimes = 64;

bool answered_by_node(Outcome o) {
  return o == Outcome::success || o == Outcome::failure || o == Outcome::overloaded ||
         o == Outcome::malformed;
}
bool bad(Outcome o) {
  return o == Outcome::failure || o == Outcome::overloaded || o == Outcome::malformed ||
         o == Outcome::disconnected || o == Outcome::unreachable;
}

void keep(std::deque<double>& times, double now, double span) {
  while (!times.empty() && times.front() < now - span) times.pop_front();
  if (times.size() > kMostTimes) times.pop_front();
}

}  // namespace

Departures::Departures(const DepartureLimits& limits, int verticals, double now)
    : limits_(limits), verticals_(static_cast<std::size_t>(std::max(verticals, 1))), blind_until_(now) {}

Departures::Node& Departures::at(int node) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= nodes_.size()) nodes_.resize(i + 1);
  auto& known = nodes_[i];
  if (known.kinds.empty()) known.kinds.resize(verticals_);
  return known;
}

void Departures::known(int number, double born, double now) {
  auto& node = at(number);
  if (node.known && node.born == born) return;
  if (node.known) forget(number, now);
  auto& fresh = at(number);
  fresh.known = true;
  fresh.born = born;
  fresh.since = now;
}

void Departures::forget(int number, double now) {
  for (auto i = open_.size(); i-- > 0;) {
    const auto open = open_[i];
    if (open.node == number) end(number, open.vertical, open.kind, 0, now);
  }
  std::erase_if(held_, [&](const auto& news) { return news.node == number; });
  auto outs = std::move(at(number).outs);
  outs.clear();
  at(number) = {};
  at(number).outs = std::move(outs);
}

void Departures::state(int number, bool up, double now) {
  auto& node = at(number);
  if (node.up == up) return;
  if (node.since < now) node.changes.push_back(now);  // its first state is no change
  node.up = up;
  keep(node.changes, now, kMinute);
}

void Departures::sent(int number, int vertical, double now) {
  auto& node = at(number);
  if (node.outs.size() < kMostOuts) node.outs.push_back({now, vertical, now});
  if (node.last_sent > 0) {
    const auto gap = std::max(now - node.last_sent, 1e-4);
    node.rate += (1 / gap - node.rate) * (1 - std::exp(-gap / 10));
  }
  node.last_sent = now;
}

// How much a part that is unanswered at this age speaks against the usual: the log of the chance that a usual
// one takes longer (log-normal; a survival estimate, as the true latency is this or more). No part says more
// than the share of answers that are lost anyway allows.
double Departures::against_usual(const Usual& usual, double lost_share, double age) const {
  if (usual.many() < kEnough || age <= 0) return 0;
  const auto deviation = std::max(usual.deviation(), kLeastDeviation);
  const auto z = (std::log(age) - usual.mean() - std::max(shift_, 0.0)) / deviation;
  if (z <= 0) return 0;
  const auto longer = std::erfc(z / std::sqrt(2.0)) / 2;
  return -std::log(std::max({longer, kUsualLost, lost_share}));
}

// What evidence must pass so that chance alone does it as rarely as is wanted: Wald's bound for so many parts
// a day.
double Departures::bound(const Node& node) const {
  return std::log(std::max(node.rate, 0.01) * kDay / limits_.alarms);
}

void Departures::learn(Node& node, Kind& kind, double latency, double now) {
  const auto value = std::log(std::max(latency, 1e-5));
  kind.recent += kind.recent == 0 ? value : kQuick * (value - kind.recent);
  if (kind.log_latency.many() < kEnough) return kind.log_latency.add(value);
  const auto deviation = std::max(kind.log_latency.deviation(), kLeastDeviation);
  // What all nodes share is the fleet's affair.
  const auto off = value - kind.log_latency.mean() - std::max(shift_, 0.0);
  const auto slack = std::min(std::log(limits_.slow) / deviation / 2, kClip / 2);
  if (std::abs(slack - kind.slow_k) > 0.1 * slack) {
    const auto samples = std::max(node.rate, 0.1) * kDay / limits_.alarms;
    kind.slow = Cusum(slack, Cusum::bound_for(slack, samples));
    kind.slow_k = slack;
  }
  kind.slow.add(std::clamp(off / deviation, -kClip, kClip), now);
  kind.in_time = off < std::log(limits_.slow) / 2 ? kind.in_time + 1 : 0;
  // What is learned while a node departs would make its trouble the usual.
  if (kind.slow.sum() < 2 * slack) kind.log_latency.add(value);
}

void Departures::ended(int number, int vertical, Outcome outcome, double sent, double now) {
  auto& node = at(number);
  const auto out = std::find_if(node.outs.begin(), node.outs.end(),
                                [&](const Out& o) { return o.sent == sent && o.vertical == vertical; });
  if (out != node.outs.end()) {
    *out = node.outs.back();
    node.outs.pop_back();
  }
  if (outcome == Outcome::unsent || vertical < 0 || static_cast<std::size_t>(vertical) >= verticals_) return;
  if (answered_by_node(outcome)) {
    node.answered = now;
    node.load_silence = 0;
    ++node.answers_since_change;
  }
  if (sent < blind_until_) return;
  auto& kind = node.kinds[static_cast<std::size_t>(vertical)];
  const auto age = now - sent;
  if (!kind.fails_set) {
    kind.fails = Sprt(std::min(std::max(kUsualBad, 2 * kind.bad_share), limits_.fails / 2), limits_.fails,
                      limits_.alarms / kDay);
    kind.fails_all = Sprt(kUsualBad, kAllBad, limits_.alarms / kDay);
    kind.fails_set = true;
  }
  if (answered_by_node(outcome)) {
    node.silence = 0;
    node.unanswered = 0;
    kind.silence = std::max(0.0, kind.silence - kAnswered);
    if (kind.silence <= 0) kind.unanswered = 0;
    // The node lives: what went unanswered meanwhile is what it loses now and then.
    kind.lost_share += kLostWeight * ((kind.strong > 0 ? 1 : 0) - kind.lost_share);
    kind.strong = 0;
    kind.last_answer = now;
  } else if (outcome == Outcome::timed_out || outcome == Outcome::cancelled) {
    // A call that is given up early tells only that it took at least its age.
    const auto evidence = against_usual(kind, age);
    // Of a part sent before the last answer only the time since tells of silence.
    if (const auto quiet = std::max(sent, node.answered); against_usual(kind, now - quiet) > 0) {
      if (node.unanswered++ == 0) node.silent_since = quiet;
      node.silence += against_usual(kind, now - quiet);
    }
    if (kind.unanswered++ == 0) kind.first_unanswered = sent;
    kind.silence += evidence;
    if (evidence > kStrong) ++kind.strong;
  }
  if (outcome == Outcome::success || bad(outcome)) {
    kind.fails.add(bad(outcome), now);
    kind.fails_all.add(bad(outcome), now);
    kind.good_row = bad(outcome) ? 0 : kind.good_row + 1;
    kind.bad_share += 0.01 * ((bad(outcome) ? 1 : 0) - kind.bad_share);
  }
  if (outcome == Outcome::success) {
    learn(node, kind, age, now);
  }
}

void Departures::trouble(int number, double now) {
  auto& node = at(number);
  node.troubles.push_back(now);
  keep(node.troubles, now, kTroubleSpan);
}

void Departures::load_asked(int number, double now) {
  auto& node = at(number);
  if (node.loads_asked.size() < kMostLoads) node.loads_asked.push_back(now);
}

void Departures::load_answered(int number, double now) {
  auto& node = at(number);
  if (!node.loads_asked.empty() && node.loads_asked.front() > blind_until_)
    node.load_latency.add(std::log(std::max(now - node.loads_asked.front(), 1e-5)));
  node.loads_asked.clear();
  node.load_silence = 0;
  node.load_heard = now;
}

void Departures::load_closed(int number, double now) {
  auto& node = at(number);
  node.load_silence = load_silence(node, now);
  node.loads_asked.clear();
}

// Evidence of questions for its load that are unanswered, asked since it last answered anything.
double Departures::load_silence(const Node& node, double now) const {
  auto sum = node.load_silence;
  for (const auto asked : node.loads_asked)
    if (asked > std::max(node.answered, blind_until_))
      sum += against_usual(node.load_latency, 0, now - asked);
  return sum;
}

void Departures::report(int number, double measured, bool changed, double now) {
  auto& node = at(number);
  node.report_heard = now;
  node.report_measured = std::max(node.report_measured, measured);
  node.least_out = std::min(node.least_out, node.outs.size());
  node.most_out = std::max(node.most_out, node.outs.size());
  if (!changed && node.report_changed > 0) return;
  node.report_changed = now;
  node.answers_since_change = 0;
  node.least_out = node.most_out = node.outs.size();
}

// What was out meanwhile may have been answered all along: it is dated anew, and what was sent before teaches
// nothing.
void Departures::stood_still(double seconds, double now) {
  blind_until_ = now;
  for (auto& node : nodes_) {
    for (auto& out : node.outs) out.since = std::min(out.since + seconds, now);
    if (node.report_measured > 0) node.report_measured = std::min(node.report_measured + seconds, now);
  }
}

// Most nodes have none open: the list of all is walked only for those that may.
bool Departures::may_be_open(int node, Departure kind) const {
  return node < 0 || (nodes_[static_cast<std::size_t>(node)].open >> static_cast<int>(kind) & 1U) != 0;
}

void Departures::mark_open() {
  for (auto& node : nodes_) node.open = 0;
  for (const auto* list : {&held_, &open_})
    for (const auto& one : *list)
      if (one.node >= 0) nodes_[static_cast<std::size_t>(one.node)].open |= 1U << static_cast<int>(one.kind);
}

bool Departures::is_open(int node, int vertical, Departure kind) const {
  if (!may_be_open(node, kind)) return false;
  const auto same = [&](const DepartureNews& o) {
    return o.node == node && o.vertical == vertical && o.kind == kind;
  };
  return std::any_of(open_.begin(), open_.end(), same) || std::any_of(held_.begin(), held_.end(), same);
}

bool Departures::any_open(int node, Departure kind) const {
  if (!may_be_open(node, kind)) return false;
  const auto same = [&](const DepartureNews& o) { return o.node == node && o.kind == kind; };
  return std::any_of(open_.begin(), open_.end(), same) || std::any_of(held_.begin(), held_.end(), same);
}

void Departures::begin(int node, int vertical, Departure kind, double began, double evidence, double usual,
                       double now) {
  if (is_open(node, vertical, kind) || is_open(kFleet, kNone, kind)) return;
  if (open_.size() + held_.size() >= static_cast<std::size_t>(limits_.most)) {
    ++untold_;
    return;
  }
  held_.push_back({node, vertical, kind, false, began, now, evidence, usual});
  nodes_[static_cast<std::size_t>(node)].open |= 1U << static_cast<int>(kind);
}

void Departures::end(int node, int vertical, Departure kind, double evidence, double now) {
  if (!may_be_open(node, kind)) return;
  const auto same = [&](const DepartureNews& o) {
    return o.node == node && o.vertical == vertical && o.kind == kind;
  };
  if (const auto at = std::find_if(held_.begin(), held_.end(), same); at != held_.end()) {
    const auto news = *at;  // over before it was told
    held_.erase(at);
    tell(news);
    auto back = news;
    back.returned = true;
    back.noticed = now;
    back.evidence = evidence;
    return tell(back);
  }
  const auto at = std::find_if(open_.begin(), open_.end(), same);
  if (at == open_.end()) return;
  auto news = *at;
  open_.erase(at);
  news.returned = true;
  news.noticed = now;
  news.evidence = evidence;
  tell(news);
}

void Departures::tell(const DepartureNews& news) {
  news_.size() < kMostNews ? news_.push_back(news) : void(++untold_);
}

// Parts that were given up and parts that are out, each by what its age says. All verticals together, with
// nothing at all answered: a stall, or, once it lasts while the node is heard otherwise, a node that
// swallows. One vertical alone, while others are answered, is swallowed.
void Departures::look_at_silence(int number, Node& node, double now) {
  const auto needed = bound(node);
  double all = node.silence, oldest = node.unanswered > 0 ? node.silent_since : now;
  int parts = node.unanswered;
  bool swallows = false;
  for (std::size_t v = 0; v < node.kinds.size(); ++v) {
    auto& kind = node.kinds[v];
    const auto vertical = static_cast<int>(v);
    double evidence = kind.silence, first = kind.unanswered > 0 ? kind.first_unanswered : now;
    int many = kind.unanswered;
    for (const auto& out : node.outs) {
      if (out.vertical != vertical) continue;
      const auto one = against_usual(kind, now - out.since);
      if (one <= 0) continue;
      evidence += one;
      first = std::min(first, out.since);
      ++many;
      const auto quiet = std::max(out.since, node.answered);
      if (against_usual(kind, now - quiet) <= 0) continue;
      all += against_usual(kind, now - quiet);
      oldest = std::min(oldest, quiet);
      ++parts;
    }
    const auto others = node.answered > kind.last_answer + limits_.least;
    const auto usual = std::exp(kind.log_latency.mean());
    if (evidence > needed && many >= kFewest && now - first >= limits_.least && others &&
        kind.last_answer <= first)
      begin(number, vertical, Departure::swallows, first, many, usual, now);
    if (is_open(number, vertical, Departure::swallows)) {
      if (evidence <= 0 || kind.last_answer > now - kPulse)
        end(number, vertical, Departure::swallows, many, now);
      else
        swallows = true;
    }
  }
  // A node that the router avoids may hold one part only, which is as well an answer that was lost. Questions
  // for its load that are not answered either tell the two apart.
  if (const auto loads = load_silence(node, now); loads > 0 && parts > 0) {
    all += loads;
    ++parts;
  }
  const auto silent = all > needed && parts >= kFewest && now - oldest >= limits_.least;
  const auto since = silent ? oldest : now;
  const auto heard = std::max(node.report_heard, node.load_heard) > since + limits_.least;
  if (silent && !swallows && (heard || (now - since > kSwallows && node.unanswered >= kFewest))) {
    end(number, kNone, Departure::stall, all, now);
    begin(number, kNone, Departure::swallows, since, parts, 0, now);
  } else if (silent && !swallows && !is_open(number, kNone, Departure::swallows)) {
    begin(number, kNone, Departure::stall, since, now - since, 0, now);
  }
  if (node.silence <= 0 && node.answered > now - kPulse) {
    end(number, kNone, Departure::stall, 0, now);
    end(number, kNone, Departure::swallows, 0, now);
  }
}

void Departures::look(int number, double now) {
  auto& node = nodes_[static_cast<std::size_t>(number)];
  if (!node.known) return;
  look_at_silence(number, node, now);
  for (std::size_t v = 0; v < node.kinds.size(); ++v) {
    auto& kind = node.kinds[v];
    const auto vertical = static_cast<int>(v);
    const auto usual = std::exp(kind.log_latency.mean());
    const auto latency = kind.recent != 0 ? std::exp(kind.recent) : 0;
    if (kind.slow_k > 0 && kind.slow.over() && kind.in_time < kBack &&
        kind.recent > kind.log_latency.mean() + shift_ + std::log(limits_.slow) / 2 &&
        latency > usual + kTremor)
      begin(number, vertical, Departure::slow, kind.slow.began(), latency, usual, now);
    if (is_open(number, vertical, Departure::slow) && kind.in_time >= kBack) {
      kind.slow.clear();
      end(number, vertical, Departure::slow, latency, now);
    }
    if (kind.fails.sure() || kind.fails_all.sure())
      begin(number, vertical, Departure::fails, kind.fails.began(), kind.bad_share, kUsualBad, now);
    if (is_open(number, vertical, Departure::fails) && kind.good_row >= kGoodRow) {
      kind.fails.clear();
      kind.fails_all.clear();
      end(number, vertical, Departure::fails, kind.bad_share, now);
    }
  }
  keep(node.changes, now, kMinute);
  const auto flaps = static_cast<double>(node.changes.size());
  if (flaps >= limits_.flaps) begin(number, kNone, Departure::flaps, node.changes.front(), flaps, 0, now);
  if (flaps < limits_.flaps / 2) end(number, kNone, Departure::flaps, flaps, now);
  keep(node.troubles, now, kTroubleSpan);
  if (node.troubles.size() >= kTroubles)
    begin(number, kNone, Departure::connection, node.troubles.front(),
          static_cast<double>(node.troubles.size()), 0, now);
  if (node.troubles.empty()) end(number, kNone, Departure::connection, 0, now);

  look_at_reports(number, node, now);
  // Cold for longer than is stated: still slow beside the others after that.
  if (node.born > 0 && limits_.cold_time > 0 && now > node.born + limits_.cold_time) {
    const auto off = node.kinds[0].recent - median_;
    if (median_ != 0 && node.kinds[0].recent != 0) {
      if (off > std::log(limits_.slow) && now < node.born + 3 * limits_.cold_time)
        begin(number, kNone, Departure::cold, node.born + limits_.cold_time, std::exp(node.kinds[0].recent),
              std::exp(median_), now);
      if (off < std::log(limits_.slow) / 2)
        end(number, kNone, Departure::cold, std::exp(node.kinds[0].recent), now);
    }
  }
}

void Departures::look_at_reports(int number, Node& node, double now) {
  if (node.report_measured <= 0) return;
  const auto age = now - node.report_measured;
  if (age > limits_.reports)
    begin(number, kNone, Departure::late_report, node.report_measured, age, limits_.reports, now);
  if (age < limits_.reports) end(number, kNone, Departure::late_report, age, now);
  // Reported again and again as it was, while what this router alone had there went up and down.
  const auto frozen = node.report_heard > node.report_changed + limits_.reports &&
                      node.answers_since_change >= kFrozenAnswers &&
                      node.most_out >= node.least_out + kFrozenRange;
  if (frozen)
    begin(number, kNone, Departure::frozen_report, node.report_changed, node.answers_since_change, 0, now);
  if (node.report_changed >= node.report_heard) end(number, kNone, Departure::frozen_report, 0, now);
}

// By how much all nodes together are slower than usual: the median of their shifts.
void Departures::look_at_fleet(double now) {
  std::vector<double> shifts, recent;
  std::size_t active = 0;
  for (const auto& node : nodes_) {
    if (!node.known || now - node.last_sent > kTroubleSpan) continue;
    ++active;
    if (node.kinds[0].recent != 0) recent.push_back(node.kinds[0].recent);
    for (const auto& kind : node.kinds)
      if (kind.log_latency.many() >= kEnough && kind.recent != 0 && now - kind.last_answer < kTroubleSpan)
        shifts.push_back(kind.recent - kind.log_latency.mean());
  }
  const auto median = [](std::vector<double>& values) {
    if (values.size() < kFewNodes) return 0.0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
  };
  shift_ = median(shifts);
  median_ = median(recent);
  const auto fleet_open = [&](Departure kind) {
    return std::find_if(open_.begin(), open_.end(),
                        [&](const auto& o) { return o.node == kFleet && o.kind == kind; });
  };
  if (const auto at = fleet_open(Departure::slow); shift_ > std::log(limits_.slow) && at == open_.end()) {
    std::erase_if(held_, [](const auto& held) { return held.kind == Departure::slow; });
    const DepartureNews news{kFleet, kNone, Departure::slow, false, now, now, std::exp(shift_), 1};
    open_.push_back(news);
    tell(news);
  } else if (at != open_.end() && shift_ < std::log(limits_.slow) / 2) {
    end(kFleet, kNone, Departure::slow, std::exp(shift_), now);
  }
  // Of any kind: when most nodes do the same thing within a moment it is one event.
  for (int k = 0; k < static_cast<int>(Departure::last); ++k) {
    const auto kind = static_cast<Departure>(k);
    if (kind == Departure::slow) continue;
    std::vector<int> same;
    for (const auto* list : {&held_, &open_})
      for (const auto& one : *list)
        if (one.kind == kind && one.node != kFleet) same.push_back(one.node);
    std::sort(same.begin(), same.end());
    same.erase(std::unique(same.begin(), same.end()), same.end());
    const auto most = static_cast<double>(same.size()) >= limits_.fleet * static_cast<double>(active) &&
                      active >= kFewNodes;
    const auto at = fleet_open(kind);
    if (most && at == open_.end()) {
      DepartureNews news{kFleet, kNone, kind, false, now, now, static_cast<double>(same.size()), 0};
      for (const auto& held : held_)
        if (held.kind == kind) news.began = std::min(news.began, held.began);
      std::erase_if(held_, [&](const auto& held) { return held.kind == kind; });
      open_.push_back(news);
      tell(news);
    } else if (at != open_.end() && same.empty() && now > at->noticed + kBackAfter) {
      // Its nodes' own states are looked at again from here on.
      const auto still = std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
        return node.known && !node.outs.empty() && kind != Departure::flaps &&
               now - std::min_element(
                         node.outs.begin(), node.outs.end(),
                         [](auto& x, auto& y) {
                           return x.sent < y.sent;
                         })->sent >
                   2 * limits_.least &&
               node.answered < now - 2 * limits_.least;
      });
      if (static_cast<double>(still) < limits_.fleet * static_cast<double>(std::max<std::size_t>(active, 1)))
        end(kFleet, kNone, kind, static_cast<double>(still), now);
    }
  }
}

std::vector<DepartureNews> Departures::tick(double now) {
  mark_open();
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].known) look(static_cast<int>(i), now);
  look_at_fleet(now);
  std::erase_if(held_, [&](const DepartureNews& held) {
    // While most nodes shift together it may yet be the fleet's; the estimate of that takes a few parts a
    // node.
    const auto shifting = held.kind == Departure::slow && shift_ > std::log(limits_.slow) / 3;
    if (now - held.noticed < (shifting ? kLongHold : kHold) && nodes_.size() >= kFewNodes) return false;
    open_.push_back(held);
    tell(held);
    return true;
  });
  return std::exchange(news_, {});
}

}  // namespace yoketurn
