#include "sites/sites.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace yoketurn {

namespace {

constexpr double kBadIfLost = 0.98;   // chance of a bad say from a node of a lost site
constexpr double kFewest = 0.05;      // least usual share of bad says
constexpr double kMost = 0.7;         // and the most: above it bad says tell next to nothing
constexpr double kLost = 8;           // log likelihood from which a site is lost: one false alarm in e^8 runs
constexpr double kDoubted = 4;        // and from which it is doubted, or lost again while it returns
constexpr int kFewNodes = 8;          // that speak with one voice make a site, or most of fewer
constexpr int kAgainNodes = 3;        // and so many one that was lost a moment ago, or is silent for
constexpr double kLongSilence = 0.6;  // so long without one good say
constexpr int kControl = 2;           // nodes elsewhere that must answer meanwhile
constexpr double kVoices = 0.8;       // share of the nodes that speak which must say the same
constexpr double kUsualWeight = 0.02;  // of a say in what is usual
constexpr double kLate = 1;            // says are forgotten with this time constant
constexpr double kSmoothing = 0.05;    // of a latency
constexpr double kDeviations = 6;      // of latencies over the mean after which a part waits too long
constexpr double kShortest = 0.02;
constexpr double kTick = 0.2;    // two ticks, by which silence is seen late
constexpr int kWarm = 30;        // answers before which silence says nothing
constexpr double kStill = 0.3;   // between two ticks: the router stood still
constexpr double kTrial = 0.25;  // pause between trials of a lost site, at first
constexpr double kTrialGrows = 1.5;
constexpr double kTrialMost = 2;
constexpr double kRelapse = 2;  // times the pause after each relapse
constexpr double kRelapseMost = 4;
constexpr double kFirstShare = 0.25;  // of its load that a returning site gets
constexpr double kStep = 0.25;        // between two doublings of it
constexpr int kStepSays = 2;          // good ones that a doubling needs
constexpr double kQuietStep = 1.5;    // or so long in any case
constexpr double kColdLatency = 1.6;  // times that of the others: its nodes are cold
constexpr double kMargin = 0.5;       // of what rule 4 lets a cold node bear
constexpr double kSettled = 10;       // after which a return is forgotten

}  // namespace

double return_time(const Settings& s, bool cold) {
  const auto steps = std::ceil(std::log2(1 / kFirstShare)) * kStep;
  if (!cold || s.slow_start_time <= 0 || s.start_capacity >= 1) return steps;
  const auto needed = 1 / std::max(kMargin * s.overload_multiple, 1e-9);
  return std::max(steps,
                  s.slow_start_time * (std::min(needed, 1.0) - s.start_capacity) / (1 - s.start_capacity));
}

Sites::Sites(const Settings& s, std::uint64_t seed)
    : own_(s.zone),
      start_(s.start_capacity),
      cold_time_(s.slow_start_time),
      fall_(s.overload_multiple),
      chance_(static_cast<std::uint_fast32_t>(seed * 31 + 7)) {}

void Sites::on(bool on) {
  if (on == on_) return;
  on_ = on;
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto nodes = sites_[i].nodes;
    sites_[i] = {};
    sites_[i].nodes = nodes;
  }
  for (auto& node : nodes_) node.bad = node.refused = false;
  shares_.clear();
  changed_ = true;
}

void Sites::list(std::span<const DiscoveredNode> hosts, bool complete, double now) {
  if (complete)
    for (auto& node : nodes_) node.up = false;
  for (const auto& host : hosts) {
    if (host.node < 0) continue;
    if (static_cast<std::size_t>(host.node) >= nodes_.size())
      nodes_.resize(static_cast<std::size_t>(host.node) + 1);
    auto& node = nodes_[static_cast<std::size_t>(host.node)];
    // A new process: what was said of the old one is no say of it.
    if (host.started_at != node.born) node = {};
    node.site = host.zone;
    node.up = host.up;
    node.born = host.started_at;
    if (host.zone >= 0 && static_cast<std::size_t>(host.zone) >= sites_.size())
      sites_.resize(static_cast<std::size_t>(host.zone) + 1);
  }
  // Discovery's word that nodes of a lost site have started since is news of life there. That they stand
  // ready is none: so they did before.
  if (on_)
    for (const auto& host : hosts) {
      const auto site = host.zone;
      if (site == kNone || !host.up) continue;
      const auto lost = at(site).belief == SiteBelief::lost || at(site).belief == SiteBelief::cut_off;
      if (lost && host.started_at > at(site).lost_at) enter(site, SiteBelief::returning, now);
    }
  for (auto& site : sites_) site.nodes = 0;
  for (const auto& node : nodes_)
    if (node.up && node.site != kNone) ++at(node.site).nodes;
}

void Sites::forget(int node) {
  if (static_cast<std::size_t>(node) < nodes_.size()) nodes_[static_cast<std::size_t>(node)] = {};
}

Sites::Node* Sites::known(int node) {
  if (!on_ || sites_.size() < 2 || static_cast<std::size_t>(node) >= nodes_.size()) return nullptr;
  auto& found = nodes_[static_cast<std::size_t>(node)];
  return found.site == kNone ? nullptr : &found;
}

void Sites::sent(int number, double now) {
  auto* node = known(number);
  if (node == nullptr) return;
  if (node->out++ == 0) node->waits_from = now - node->silent;
  auto& site = at(node->site);
  if (site.belief != SiteBelief::lost && site.belief != SiteBelief::cut_off) return;
  if (node->born > site.lost_at) return;
  site.pause = std::min(site.pause * kTrialGrows, std::max(kTrialMost, site.pause));
  site.trial_at = now + site.pause * std::uniform_real_distribution<>(0.5, 1.5)(chance_);
  share_out(now);
}

void Sites::ended(int number, double sent, Outcome outcome, double now) {
  auto* node = known(number);
  if (node == nullptr) return;
  node->out = std::max(node->out - 1, 0);
  const auto waited = node->waits_from;
  if (node->out == 0) node->waits_from = 0;
  const auto age = now - sent;
  switch (outcome) {
    case Outcome::success:
    case Outcome::failure:
    case Outcome::overloaded:
    case Outcome::malformed:
      node->silent = 0;
      if (node->out > 0) node->waits_from = now;  // it lives: what is still out waits from now
      return say(*node, false, false, sent, outcome == Outcome::success ? age : 0, now);
    case Outcome::unreachable:
    case Outcome::disconnected:
      return say(*node, true, true, sent, 0, now);
    case Outcome::timed_out:
    case Outcome::cancelled:
      // What was sent before the router stood still was not answered by the router, maybe.
      if (waited <= 0 || sent < awake_) return;
      // A copy elsewhere is back long before a silent node's time is over: what such calls waited in vain
      // adds up until the node answers (total time on test: B. Epstein, M. Sobel, Life Testing, JASA 48,
      // 1953).
      if (node->out == 0) node->silent = now - waited;
      if (now - waited > patience()) say(*node, true, false, overdue_from(waited, now), 0, now);
      return;
    case Outcome::pending:
    case Outcome::unsent:
      return;
  }
}

// Share of bad says that is no news: what this site has as a rule, or what the others have now.
double Sites::usual(const Site& site) const {
  double good = 0, bad = 0;
  for (const auto& other : sites_) {
    if (&other == &site || other.belief == SiteBelief::lost || other.belief == SiteBelief::cut_off) continue;
    good += other.good_says;
    bad += other.bad_says;
  }
  const auto elsewhere = good + bad > 1 ? bad / (good + bad) : 0;
  return std::clamp(std::max(site.usual_bad, elsewhere), kFewest, kMost);
}

// How long a part may wait before its node's silence is a say.
double Sites::patience() const {
  return answers_ >= kWarm ? std::max(latency_ + kDeviations * deviation_, kShortest)
                           : std::numeric_limits<double>::infinity();
}

// From when on parts were sent that a silent node's say is held against: with the part it left, but of a node
// that hangs for long no earlier than what could just now be overdue.
double Sites::overdue_from(double waits_from, double now) const {
  return std::max(waits_from, now - 2 * patience() - kTick);
}

int Sites::answered_since(int site, double sent) const {
  return static_cast<int>(std::count_if(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.site == site && node.up && node.good_sent >= sent;
  }));
}

void Sites::say(Node& node, bool bad, bool refused, double sent, double latency, double now) {
  auto& site = at(node.site);
  const auto was_bad = node.bad && node.round == site.round;
  if (bad && was_bad) return;  // it has had its say
  (bad ? site.bad_says : site.good_says) += 1;
  const auto p = usual(site);
  const auto lost = site.belief == SiteBelief::lost || site.belief == SiteBelief::cut_off;
  if (!lost) site.usual_bad += kUsualWeight * ((bad ? 1 : 0) - site.usual_bad);
  if (was_bad) {
    --site.bad;
    if (node.refused) --site.refused;
  }
  node.bad = bad;
  node.refused = refused;
  node.round = site.round;
  if (bad) {
    if (site.bad++ == 0) site.bad_from = sent;
    site.bad_from = std::min(site.bad_from, sent);
    if (refused) ++site.refused;
    ++site.bad_since;
    site.evidence += std::log(kBadIfLost / p);
  } else {
    node.good_sent = std::max(node.good_sent, sent);
    ++site.good_since;
    site.evidence += std::log((1 - kBadIfLost) / (1 - p));
    if (latency > 0 && site.belief == SiteBelief::returning)
      site.latency += (site.latency > 0 ? 0.2 : 1) * (latency - site.latency);
    else if (latency > 0 && !lost) {
      const auto off = std::abs(latency - latency_);
      if (latency_ <= 0) latency_ = deviation_ = latency;
      answers_ = std::min(answers_ + 1, kWarm);
      latency_ += kSmoothing * (latency - latency_);
      deviation_ += kSmoothing * (off - deviation_);
    }
    // Any answer from a lost site is life there.
    if (lost) {
      site.latency = latency;
      enter(node.site, SiteBelief::returning, now);
    }
  }
  if (site.evidence <= 0) {
    site.evidence = 0;
    if (site.bad > 0) {
      ++site.round;
      site.bad = site.refused = 0;
    }
  }
  weigh(node.site, now);
}

// Where the other sites do not answer what was sent to them since, it is this router that hears nothing, or
// the fleet that is slow: nothing is known of one site.
bool Sites::others_answer(int site, double sent) const {
  int good = 0, bad = 0;
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto& other = sites_[i];
    if (static_cast<int>(i) == site || other.belief == SiteBelief::lost ||
        other.belief == SiteBelief::cut_off)
      continue;
    good += answered_since(static_cast<int>(i), sent);
    bad += other.bad;
  }
  return good >= kControl && good >= bad;
}

// What the evidence makes of a site.
void Sites::weigh(int number, double now) {
  if (number == kNone || !on_) return;
  auto& site = at(number);
  if (site.belief == SiteBelief::lost || site.belief == SiteBelief::cut_off ||
      site.belief == SiteBelief::evacuated)
    return;
  // Good says come at once and bad ones late: those of parts that were sent at the same time count against
  // them, whatever their order. A site half of whose nodes hang is not lost.
  // The module avoids what is silent, so the last nodes may never be asked: then time tells.
  const auto again = site.belief == SiteBelief::returning;
  const auto good = site.bad > 0 ? answered_since(number, site.bad_from) : 0;
  const auto few = again || (good == 0 && now > site.bad_from + kLongSilence);
  const auto fewest = few ? std::min(kAgainNodes, site.nodes) : std::min(site.nodes / 2 + 1, kFewNodes);
  const auto enough = site.bad >= std::max(2, fewest) && site.evidence >= kDoubted &&
                      site.bad >= kVoices * (site.bad + good) && others_answer(number, site.bad_from);
  const auto all = site.bad >= site.nodes;
  if (site.belief == SiteBelief::returning) {
    if (enough && site.evidence >= kDoubted) enter(number, SiteBelief::lost, now);
  } else if (enough && (site.evidence >= kLost || all)) {
    enter(number, SiteBelief::lost, now);
  } else if (site.belief == SiteBelief::sound && enough && site.evidence >= kDoubted) {
    enter(number, SiteBelief::doubted, now);
  } else if (site.belief == SiteBelief::doubted && site.evidence < kDoubted / 2) {
    enter(number, SiteBelief::sound, now);
  }
}

void Sites::enter(int number, SiteBelief belief, double now) {
  auto& site = at(number);
  if (belief == SiteBelief::lost) {
    const auto others_lost = [&] {
      for (std::size_t i = 0; i < sites_.size(); ++i)
        if (static_cast<int>(i) != number && static_cast<int>(i) != own_ && sites_[i].nodes > 0 &&
            sites_[i].belief != SiteBelief::lost && sites_[i].belief != SiteBelief::cut_off)
          return false;
      return true;
    };
    if (number != own_ && own_ != kNone && sites_.size() > 2 && others_lost()) belief = SiteBelief::cut_off;
    site.lost_at = now;
    const auto relapsed =
        site.belief == SiteBelief::returning || (site.back_since > 0 && now < site.back_since + kSettled);
    site.pause = relapsed ? std::min(std::max(site.pause, kTrial) * kRelapse, kRelapseMost) : kTrial;
    site.trial_at = now + site.pause * std::uniform_real_distribution<>(0.5, 1.5)(chance_);
  }
  const auto before = std::exchange(site.belief, belief);
  news_.push_back({number, before, belief, now, site.since > 0 ? now - site.since : 0, site.nodes, site.bad,
                   site.refused, site.evidence, usual(site), 1, false, site.held_back});
  site.since = now;
  if (belief == SiteBelief::returning) {
    // What its nodes said, and how long they were silent, while it was lost says nothing of the time after.
    for (auto& node : nodes_)
      if (node.site == number) node.silent = 0;
    site.evidence = 0;
    ++site.round;
    site.bad = site.refused = 0;
    site.share = kFirstShare;
    site.grown = now;
    site.good_since = site.bad_since = 0;
  }
  if (belief == SiteBelief::sound && before == SiteBelief::returning) {
    site.back_since = now;
    site.share = 1;
  }
  share_out(now);
  news_.back().share = shares_.empty() ? 1 : shares_[static_cast<std::size_t>(number)].share;
  news_.back().cold = belief == SiteBelief::returning && cold(site);
}

bool Sites::cold(const Site& site) const {
  return latency_ > 0 && site.latency > kColdLatency * latency_;
}

// The most of its load that all routers together may send a returning site, so that no node of it is pushed
// over though it started a moment ago and nobody was told: a node's usual load is no more than it can do when
// warm.
double Sites::bound(const Site& site, double now) const {
  if (!cold(site) || cold_time_ <= 0) return 1;
  const auto capacity = std::min(1.0, start_ + (1 - start_) * (now - site.since) / cold_time_);
  return std::clamp(kMargin * fall_ * capacity, 0.05, 1.0);
}

void Sites::grow(int number, double now) {
  auto& site = at(number);
  const auto most = bound(site, now);
  site.share = std::min(site.share, std::max(most, kFirstShare * most));
  // A router that hardly sends there has few says to wait for, and can't push anything over.
  if (now < site.grown + (site.good_since >= kStepSays ? kStep : kQuietStep)) return;
  // A site that half answers stays where it is.
  if (site.bad_since <= site.good_since / 2) site.share = std::min(2 * site.share, most);
  site.grown = now;
  site.good_since = site.bad_since = 0;
  if (site.share >= 1) enter(number, SiteBelief::sound, now);
}

void Sites::evacuate(const std::optional<Evacuation>& order) {
  order_ = order;
}

// Linear in time, down and up again; held back while another site is lost, as what is left must bear that.
void Sites::empty(double now) {
  const auto other_lost = [&](int number) {
    for (std::size_t i = 0; i < sites_.size(); ++i)
      if (static_cast<int>(i) != number &&
          (sites_[i].belief == SiteBelief::lost || sites_[i].belief == SiteBelief::cut_off))
        return true;
    return false;
  };
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    auto& site = sites_[i];
    const auto number = static_cast<int>(i);
    const auto ordered = order_ && order_->site == number && now >= order_->from && now < order_->until;
    if (!ordered && site.evacuated <= 0) continue;
    const auto over = order_ ? std::max(order_->over, 1e-3) : 1;
    const auto held = ordered && other_lost(number);
    const auto step = (now - ticked_) / over;
    const auto goal = ordered && !held ? 1.0 : 0.0;
    const auto before = site.evacuated;
    site.evacuated = goal > before ? std::min(before + step, goal) : std::max(before - step, goal);
    // Where a restarted router went down from its full share once more, it found the emptied site idle, and
    // sent it more than ever.
    if (goal > 0 && std::exchange(order_->stands, false)) site.evacuated = 1;
    if (held != site.held_back) {
      site.held_back = held;
      news_.push_back({number, site.belief, site.belief, now, now - site.since, site.nodes, site.bad,
                       site.refused, site.evidence, usual(site), 1 - site.evacuated, false, held});
    }
    if (site.evacuated >= 1 && before < 1 && site.belief == SiteBelief::sound)
      enter(number, SiteBelief::evacuated, now);
    if (site.evacuated < 1 && site.belief == SiteBelief::evacuated) enter(number, SiteBelief::sound, now);
  }
}

void Sites::tick(double now) {
  if (!on_ || sites_.size() < 2) return;
  if (ticked_ < 0) ticked_ = now;
  const auto still = now - ticked_ > kStill;
  if (still) awake_ = now;
  const auto faded = std::exp(-(now - ticked_) / kLate);
  for (auto& site : sites_) {
    site.good_says *= faded;
    site.bad_says *= faded;
  }
  for (auto& node : nodes_) {
    if (still) node.silent = 0;
    if (node.out == 0 || node.site == kNone || !node.up) continue;
    // Silence is counted from when the router could hear again.
    if (still) node.waits_from = now;
    if (now - node.waits_from > patience())
      say(node, true, false, overdue_from(node.waits_from, now), 0, now);
  }
  for (std::size_t i = 0; i < sites_.size(); ++i) {
    const auto number = static_cast<int>(i);
    weigh(number, now);
    if (sites_[i].belief == SiteBelief::returning) grow(number, now);
  }
  empty(now);
  ticked_ = now;
  share_out(now);
}

void Sites::share_out(double now) {
  const auto plain = std::all_of(sites_.begin(), sites_.end(), [](const Site& site) {
    return (site.belief == SiteBelief::sound || site.belief == SiteBelief::doubted) && site.evacuated <= 0;
  });
  if (plain && shares_.empty()) return;
  std::vector<SiteShare> fresh;
  if (!plain)
    for (const auto& site : sites_) {
      const auto lost = site.belief == SiteBelief::lost || site.belief == SiteBelief::cut_off;
      const auto share = lost ? 0 : site.belief == SiteBelief::returning ? site.share : 1;
      // An order concerns new processes too; a loss does not.
      fresh.push_back({lost, lost && now >= site.trial_at, share * (1 - site.evacuated),
                       site.evacuated > 0 ? std::numeric_limits<double>::max() : site.lost_at});
    }
  shares_ = std::move(fresh);
  changed_ = true;
}

bool Sites::changed() {
  return std::exchange(changed_, false);
}

std::vector<SiteNews> Sites::news() {
  return std::exchange(news_, {});
}

SiteBelief Sites::belief(int site) const {
  return site >= 0 && static_cast<std::size_t>(site) < sites_.size()
             ? sites_[static_cast<std::size_t>(site)].belief
             : SiteBelief::sound;
}

}  // namespace yoketurn
