// The decisions of a query router: where each part goes, when it gets a copy, what follows an outcome, when a
// query ends, what is refused. Interface: brain.hpp. The caller holds queries and timers. It calls list() and
// tick() as they fall due, take() for what comes in, then route() for each query that is new or due, settle()
// for each outcome (already written into the call) and wait() for the time until route() must be asked again.
// Every send an answer names is carried out. All tables and tuned values stand here; docs/design.md gives the
// reasons.
#include "brain.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace yoketurn {
namespace {

constexpr double kPeriod = 0.1;          // of the periodic work
constexpr double kWindow = 10;           // part latencies are kept for so long
constexpr double kHedgeQuantile = 0.95;  // of the part latencies: the hedge delay
constexpr double kStartShare = 0.25;     // of the SLO time: the hedge delay before anything is known
constexpr double kStartWeight = 10;      // samples that the start value counts as
constexpr double kLost = 2.5;            // times the p90 of answered parts after which one is lost, not slow
constexpr double kCopyShare = 0.1;       // copies to parts sent, at most
constexpr double kSmoothing = 0.2;       // weight of a new sample in a node's latency
constexpr double kAverageWeight = 0.02;  // and in the average of all nodes
constexpr double kDrift = 5;             // a silent node's latency nears the average with this time constant
constexpr double kQuick = 0.2;           // quantile of a zone's quick answers
constexpr double kWaySlow = 1.0;         // average latencies by which these come later over a slow way
constexpr int kProbation = 3;            // bad outcomes in a row after which a node is suspect
constexpr double kSilence = 3;           // average latencies without any answer after which it is too
constexpr double kFirstPause = 1;        // until a suspect node is tried again
constexpr double kLongestPause = 16;
constexpr double kShunned = 10;           // on the score of a suspect node that has a part already
constexpr double kStrainWindow = 2.5;     // refusals look back so far
constexpr double kStrainQuantile = 0.75;  // of part latencies, where all parts are needed
constexpr double kStrainFrom = 0.65;  // part latency to the time a step has above which queries are refused
constexpr double kStrainFull = 1.0;   // and at which the most are
constexpr double kMostRefused = 0.99;
constexpr double kHopeWeight = 0.5;   // queries that are taken for answered in time before any are known
constexpr double kHopeless = 0.3;     // prospect below which queries are refused without strain
constexpr double kRetryAge = 0.7;     // tries' times taken to have passed before a marked retry
constexpr double kStandstill = 0.25;  // without any call of the module: the router itself stood still
constexpr double kZoneTie = 0.001;    // by which a node elsewhere, at the same score, comes after one near by
constexpr double kJoinCost = 0.5;     // of a call: a part that joins one that stands open
constexpr double kColdCaution = 0.6;  // of what a cold node may be sent by the rule
constexpr double kMargin = 0.02;      // and two ticks, by which answers come before the client's time is up
constexpr double kListAgain = 2;      // after a failed call for the list
constexpr double kListPatience = 10;  // and after one that has not been answered
constexpr double kRounding = 5e-5;    // weights of a step add up to 1 but for this

constexpr double kNever = std::numeric_limits<double>::infinity();

struct Sample {
  double value;
  bool censored;  // the true value is this or more: the call was cancelled, timed out or is still out
};

// Quantiles are product-limit estimates. Cancelled calls are the slow ones: to leave them out, or to take
// their age for a latency, would pull the percentile down and so invite more copies.
void by_value(std::vector<Sample>& samples) {
  std::sort(samples.begin(), samples.end(), [](const Sample& a, const Sample& b) {
    return a.value != b.value ? a.value < b.value : a.censored < b.censored;
  });
}

double quantile(std::vector<Sample>& samples, double share) {
  by_value(samples);
  double above = 1;
  for (std::size_t i = 0; i < samples.size(); ++i) {
    if (!samples[i].censored) above *= 1 - 1.0 / static_cast<double>(samples.size() - i);
    if (above <= 1 - share + 1e-9) return samples[i].value;
  }
  return samples.empty() ? 0 : samples.back().value;
}

// By the same estimate, the chance that a value is at most this.
double chance_within(std::vector<Sample>& samples, double value) {
  by_value(samples);
  double above = 1;
  for (std::size_t i = 0; i < samples.size() && samples[i].value <= value; ++i)
    if (!samples[i].censored) above *= 1 - 1.0 / static_cast<double>(samples.size() - i);
  return 1 - above;
}

// The age from which an unanswered part tells of a lost answer rather than of a slow one.
double lost_after(std::vector<Sample> samples) {
  std::erase_if(samples, [](const Sample& s) { return s.censored; });
  return static_cast<double>(samples.size()) < kStartWeight ? kNever : kLost * quantile(samples, 0.9);
}

bool never_ran(Outcome outcome) {
  return outcome == Outcome::overloaded || outcome == Outcome::unreachable || outcome == Outcome::unsent;
}

bool may_have_run(const Call& call) {
  return !never_ran(call.outcome);
}

bool pending(const Call& call) {
  return call.outcome == Outcome::pending;
}

void cancel_pending(Answer& answer, const Leaf& leaf, int index) {
  for (std::size_t i = 0; i < leaf.calls.size(); ++i)
    if (pending(leaf.calls[i])) answer.cancels.push_back({index, static_cast<int>(i)});
}

// Counts events in a sliding window.
class Tally {
 public:
  explicit Tally(double span = 0) : span_(span) {}
  void add(double now, double count = 1) {
    recent(now);
    events_.emplace_back(now, count);
    total_ += count;
  }
  double recent(double now) {
    while (!events_.empty() && events_.front().first < now - span_) {
      total_ -= events_.front().second;
      events_.pop_front();
    }
    return total_;
  }

 private:
  double span_;
  std::deque<std::pair<double, double>> events_;
  double total_ = 0;
};

// The samples of a sliding window.
class Window {
 public:
  explicit Window(double span) : span_(span) {}
  void add(double now, Sample sample) { samples_.emplace_back(now, sample); }
  std::vector<Sample> recent(double now) {
    while (!samples_.empty() && samples_.front().first < now - span_) samples_.pop_front();
    std::vector<Sample> result;
    for (const auto& [when, sample] : samples_) result.push_back(sample);
    return result;
  }

 private:
  double span_;
  std::deque<std::pair<double, Sample>> samples_;
};

// A smoothed average. The first samples weigh as in a plain mean: a router that sees a query a second would
// else go by its very first one for a minute.
class Smoothed {
 public:
  void add(double sample) {
    many_ = std::min(many_ + 1, 1 / kAverageWeight);
    value_ += (sample - value_) / many_;
  }
  operator double() const { return value_; }  // 0: no sample yet

 private:
  double value_ = 0;
  double many_ = 0;
};

struct Node {
  int zone = kNone;
  int cell = 0;
  bool up = false;
  double born = 0;
  double latency = 0;   // smoothed; 0: unheard
  double heard = 0;     // when it last changed
  double answered = 0;  // when it last answered anything
  double served = 0;    // when the latest of the parts it has done was sent
  bool suspect = false;
  double pause = 0;     // between its trials
  double trial_at = 0;  // the next one
  double broke = 0;     // when a connection to it was last of no further use
  int row_seen = 0;
  int bad_row = 0;                // bad outcomes since the last success
  std::map<int, int> groups;      // calls that wait there, by group, with their parts
  std::multiset<double> waiting;  // when the parts that wait there were sent
  int open_group = kNone;         // the call that parts sent at open_at may join
  double open_at = -1;
  Tally sent;  // parts, over the time in which a cold node may be pushed over
};

// The nodes of one zone, as this router reaches them.
struct Way {
  Window latencies{kStrainWindow};
  double delay = 0;  // by which its quick answers come later than those of the nearest zone
};

// A part that is out.
struct Out {
  double sent;
  double time;  // usual_step of its query
  int node;
  auto operator<=>(const Out&) const = default;
};

struct VerticalState {
  explicit VerticalState(const Vertical& v)
      : slo(v.slo),
        slo_stretch(v.slo_stretch),
        utility(v.utility),
        late_utility(v.late_utility),
        window(v.window),
        least(v.least),
        whole(v.whole),
        partial_earns(v.partial_earns),
        effect(v.effect),
        two_steps(v.second_step > 0),
        delay(kStartShare * v.slo) {}

  double slo, slo_stretch, utility, late_utility, window, least, whole, partial_earns;
  Effect effect;
  bool two_steps;
  double delay;          // the hedge delay
  double lost = kNever;  // the age from which an unanswered part is lost, not slow
  Window latencies{kWindow};
  std::multiset<Out> waiting;  // its parts that are out
  double try_time = 0;         // what clients leave a query, near the longest
  Smoothed query_work;
  Window query_times{kWindow};
  Window strain{kStrainWindow};  // part latencies to usual_step
};

// A node's smoothed latency, which nears the usual one while it is silent.
double drifted(const Node& node, double usual, double now) {
  return node.latency > 0 ? usual + (node.latency - usual) * std::exp(-(now - node.heard) / kDrift) : usual;
}

struct Bucket {
  double rate = 0;  // this router's part of the customer's share
  double level = 0;
  double filled = 0;
};

}  // namespace

struct Brain::State {
  std::vector<VerticalState> verticals;
  std::vector<Bucket> customers;
  std::vector<Node> nodes;
  std::vector<Way> ways;
  std::vector<std::vector<int>> by_cell;
  int zone, routers, max_calls, parts_a_call, cells, span;
  bool may_copy, may_cancel, must_ask_list, utility_by_work;
  double margin, stay_away, over_share;
  double cold_time, cold_start, cold_rate, fall_time;
  double extra_span, extra_free, extra_share;
  std::ranlux24_base chance;
  Smoothed part_work;  // by the hints
  Smoothed average;    // latency of a part, over all nodes
  double median = 0;   // that of the last moments, with what is out
  int next_group = 0;
  Tally firsts{kWindow}, copies{kWindow};
  Tally answered{kWindow};  // parts
  double up_nodes = 0;
  double node_rate = 0;    // parts a second that a node answers this router, on average
  Tally taken, extras;     // over the span of the budget
  double strain = 0;       // part latency to the time that a step has
  double typical_out = 0;  // parts out while that was measured
  double astray = kNever;  // the age from which a part that others have overtaken is lost
  Smoothed mean_density;   // utility for a unit of work, over all queries
  double ticked, ask_after;
  double called;          // when the module was last called
  double standstill = 0;  // for how long the router stood still before this round

  State(const Settings& s, std::uint64_t seed, double now);

  VerticalState& of(const Query& q) { return verticals[static_cast<std::size_t>(q.vertical)]; }
  Node unheard() const {
    Node node;
    node.sent = Tally(fall_time);
    return node;
  }
  Node& at(int node) { return nodes[static_cast<std::size_t>(node)]; }

  double slo_end(const Query& q) {
    const auto& v = of(q);
    return std::min(q.taken + v.slo + v.slo_stretch * q.work, q.expires) - margin;
  }
  double step_time(const Query& q) {
    return std::max(slo_end(q) - q.taken, margin) / (of(q).two_steps ? 2 : 1);
  }
  // The time of a step where the client waits to the SLO time. Strain is measured against it: what the
  // hurried part of the clients leaves would make the nodes look strained to all others.
  double usual_step(const Query& q) {
    const auto& v = of(q);
    return std::max(v.slo + v.slo_stretch * q.work - margin, margin) / (v.two_steps ? 2 : 1);
  }
  double last_end(const Query& q) { return q.expires - margin; }

  void wake(double now);
  double out(double now) const;
  void estimate(double now);
  void compare_ways(double now);
  double usual(const Node& node) const {
    return average + (node.zone == kNone ? 0 : ways[static_cast<std::size_t>(node.zone)].delay);
  }
  double capacity(const Node& node, double now) const;
  double latency(const Node& node, double now) const;
  // An answer that is lost says nothing of its node, which has done parts sent later. Taken for a part that
  // waits, one in fifteen lost makes all nodes look slow and full in turn, and stops the copies that would
  // help.
  // Later parts that are lighter pass a heavy one at a slow node too: its age is held against the node's own
  // latency as well.
  bool overtaken(const Node& node, double sent, double now) const {
    return sent < node.served && now - sent > kSilence * node.latency;
  }
  bool stray(const Node& node, double sent, double now) const {
    return overtaken(node, sent, now) && now - sent > astray;
  }
  std::size_t calls_at(const Node& node, double now) const;
  bool joins(const Node& node, double now) const;
  bool shunned(const Node& node, double now) const;
  void watch(Node& node, double now);
  double score(const Node& node, double now);
  int choose(const Query& q, const Leaf& leaf, bool beside, double now, double& best);
  bool cold(const Node& node, double now) const { return node.born > 0 && now < node.born + cold_time; }
  bool allowed(const Query& q, const Leaf& leaf, Node& node, double now);
  bool resendable(const Query& q, const Leaf& leaf, double now);
  double copy_at(const Query& q, const Leaf& leaf) { return leaf.calls[0].sent + of(q).delay + excess(leaf); }
  bool copy_due(const Query& q, const Leaf& leaf, double now);
  bool lost(const Query& q, const Leaf& leaf, double now);
  Send commit(const Query& q, int leaf, int node, bool copy, double now);
  double timeout(const Query& q, double now);
  Answer ending(const Query& q, double now);
  Answer give_up(const Query& q);
  void date(Query& q, double now);
  double prospect(const Query& q, double now);
  bool within_reach(const Query& q, double now);
  // Whether the test holds for a node that holds the part's shard; it is put to each until it does.
  template <class Test>
  bool any_holder(const Leaf& leaf, Test test) const {
    for (int j = 0; j < span; ++j)
      for (const auto i : by_cell[static_cast<std::size_t>((leaf.shard + j) % cells)])
        if (test(i)) return true;
    return false;
  }
  bool refuse(const Query& q, double now);
  double excess(const Leaf& leaf) const;
  void learn(const Query& q, const Leaf& leaf, const Call& call, double now);
};

Brain::State::State(const Settings& s, std::uint64_t seed, double now)
    : by_cell(static_cast<std::size_t>(s.cells)),
      zone(s.zone),
      routers(std::max(s.routers, 1)),
      max_calls(s.max_calls),
      parts_a_call(s.parts_a_call),
      cells(s.cells),
      span(std::min(s.span, s.cells)),
      may_copy(s.may_copy),
      may_cancel(s.may_cancel),
      must_ask_list(s.must_ask_list),
      utility_by_work(s.utility_by_work),
      margin(kMargin + 2 * s.tick),
      stay_away(s.max_stay_away),
      over_share(s.over_share),
      cold_time(s.cold_time),
      cold_start(s.start_capacity),
      cold_rate(kColdCaution * s.fall_multiple),
      fall_time(s.fall_time),
      extra_span(s.extra_span),
      extra_free(s.extra_free),
      extra_share(s.extra_share),
      chance(static_cast<std::uint_fast32_t>(seed ^ (seed >> 32))),
      taken(s.extra_span - margin),   // a little short, and the further calls a little long:
      extras(s.extra_span + margin),  // so that the budget holds in any window
      ticked(now),
      ask_after(now),
      called(now) {
  for (const auto& v : s.verticals) verticals.emplace_back(v);
  for (const auto& c : s.customers) {
    const auto rate = c.quota / s.routers;
    customers.push_back({rate, rate, now});
  }
}

// A router that stood still reads old news all at once. Its own pause must not pass for slowness of the
// nodes, nor the queries that waited for it for new ones.
void Brain::State::wake(double now) {
  if (now <= called) return;
  standstill = now - called > kStandstill ? now - called - kPeriod : 0;
  called = now;
}

// Parts out that were sent of late. Those stuck at nodes that answer nothing pile up and tell nothing of the
// others.
double Brain::State::out(double now) const {
  std::ptrdiff_t parts = 0;
  for (const auto& v : verticals)
    parts += std::distance(v.waiting.lower_bound({now - kStrainWindow, 0, 0}), v.waiting.end());
  return static_cast<double>(parts);
}

// The hedge delay of each vertical, and how strained the nodes are. Parts that are still out count with their
// age: when all nodes slow together the answers that would show it are the ones not yet in.
void Brain::State::estimate(double now) {
  std::vector<Sample> samples_of_all;
  double needed = 0;
  for (auto& v : verticals) {
    auto samples = v.latencies.recent(now);
    const auto many = static_cast<double>(samples.size());
    const auto before = static_cast<double>(samples_of_all.size());
    for (const auto& [sent, time, node] : v.waiting) {
      if (at(node).suspect || stray(at(node), sent, now)) continue;
      samples.push_back({now - sent, true});
      if (now - sent <= kStrainWindow) samples_of_all.push_back({(now - sent) / time, true});
    }
    v.lost = lost_after(samples);
    for (const auto& sample : v.strain.recent(now)) samples_of_all.push_back(sample);
    needed += v.least * (static_cast<double>(samples_of_all.size()) - before);
    v.delay = (many * quantile(samples, kHedgeQuantile) + kStartWeight * kStartShare * v.slo) /
              (many + kStartWeight);
  }
  astray = 0;
  for (const auto& v : verticals)
    if (v.lost < kNever) astray = std::max(astray, v.lost);
  if (astray <= 0) astray = kNever;
  // Where all parts are needed the slow ones decide; where a share will do, they matter less.
  const auto many = static_cast<double>(samples_of_all.size());
  strain = many < kStartWeight ? 0 : quantile(samples_of_all, kStrainQuantile * needed / many);
  typical_out += (out(now) - typical_out) * std::min(1.0, (now - ticked) / kStrainWindow);
}

// A way between zones that has become slow is one cause behind many nodes. A router with a part a node now
// and then would learn it anew of each and forget it in between, so nodes not heard of late take the latency
// of their way. Load leaves the quickest answers quick, a slow way does not: by them the two are told apart.
// Hurts where all nodes of a zone queue alike: it is then avoided as if it were far.
void Brain::State::compare_ways(double now) {
  std::vector<Sample> all;
  std::vector<std::vector<Sample>> by_way;
  for (auto& way : ways) by_way.push_back(way.latencies.recent(now));
  std::vector<std::ptrdiff_t> answers;
  for (const auto& samples : by_way)
    answers.push_back(
        std::count_if(samples.begin(), samples.end(), [](const Sample& s) { return !s.censored; }));
  for (const auto& node : nodes) {
    if (node.zone == kNone) continue;
    const auto way = static_cast<std::size_t>(node.zone);
    if (node.suspect && answers[way] > 0) continue;  // others there do answer: it is the node, not the way
    for (const auto sent : node.waiting)
      if (now - sent <= kStrainWindow && !stray(node, sent, now)) by_way[way].push_back({now - sent, true});
  }
  for (const auto& samples : by_way) all.insert(all.end(), samples.begin(), samples.end());
  median = quantile(all, 0.5);
  std::vector<double> quick;
  auto nearest = kNever;
  for (std::size_t i = 0; i < ways.size(); ++i) {
    quick.push_back(quantile(by_way[i], kQuick));
    if (answers[i] > 0) nearest = std::min(nearest, quick.back());
  }
  for (std::size_t i = 0; i < ways.size(); ++i) {
    auto& way = ways[i];
    const auto late = quick[i] - nearest;
    // While it is avoided it brings no news but the age of what is out there.
    way.delay *= static_cast<double>(answers[i]) >= kStartWeight ? 0 : std::exp(-(now - ticked) / kDrift);
    if (late > kWaySlow * std::max<double>(average, median)) way.delay = std::max(way.delay, late);
  }
}

// The least share of its capacity that a node has, by its start and the slowest ramp.
double Brain::State::capacity(const Node& node, double now) const {
  return cold(node, now) ? cold_start + (1 - cold_start) * std::max(0.0, now - node.born) / cold_time : 1;
}

// Smoothed latency, drifting to the average while the node is silent. A part that waits there for longer is a
// better witness: a node that swallows its work must not look merely unheard.
double Brain::State::latency(const Node& node, double now) const {
  auto value = drifted(node, usual(node) / capacity(node, now), now);
  const auto oldest = node.waiting.upper_bound(node.served);  // of those that no later one has overtaken
  if (oldest != node.waiting.end()) value = std::max(value, now - *oldest);
  return std::max(value, 1e-3);
}

std::size_t Brain::State::calls_at(const Node& node, double now) const {
  const auto lost = std::count_if(node.waiting.begin(), node.waiting.lower_bound(node.served),
                                  [&](double sent) { return stray(node, sent, now); });
  return node.groups.size() - std::min(node.groups.size(), static_cast<std::size_t>(lost));
}

// Whether a part sent there now travels in a call that stands open.
bool Brain::State::joins(const Node& node, double now) const {
  const auto open = node.groups.find(node.open_group);
  return node.open_at == now && open != node.groups.end() && open->second < parts_a_call;
}

// A node under suspicion gets one part at a time, after a pause, unless there is nowhere better to go.
bool Brain::State::shunned(const Node& node, double now) const {
  return node.suspect && (!node.waiting.empty() || now < node.trial_at);
}

// Three bad outcomes in a row, or no answer at all since a part was sent that should have been answered long
// ago. The trials of a bad node cost a query each, so they become rarer while they fail.
void Brain::State::watch(Node& node, double now) {
  const auto silent =
      !node.waiting.empty() && node.answered < *node.waiting.begin() &&
      now - *node.waiting.begin() > kSilence * std::max({double(average), median, node.latency});
  // Only an answer clears it: where a router has a part there now and then, the one that was swallowed is
  // given up long before a second could bear witness, and the node was forgotten.
  if (!silent && node.bad_row < (node.suspect ? 1 : kProbation)) {
    node.suspect = false;
    node.pause = kFirstPause;
  } else if (!node.suspect || now >= node.trial_at) {
    if (node.suspect && node.waiting.empty() && node.bad_row == node.row_seen) return;  // not tried yet
    node.pause = node.suspect ? std::min(2 * node.pause, kLongestPause) : kFirstPause;
    node.suspect = true;
    node.trial_at = now + node.pause;
  }
  node.row_seen = node.bad_row;
}

double Brain::State::score(const Node& node, double now) {
  return (shunned(node, now) ? kShunned : 1) * latency(node, now) *
         (static_cast<double>(calls_at(node, now)) + (joins(node, now) ? kJoinCost : 1));
}

// The one guard that every send passes.
bool Brain::State::allowed(const Query& q, const Leaf& leaf, Node& node, double now) {
  if (q.ended || leaf.in || now >= last_end(q)) return false;  // rule 1
  if (static_cast<int>(leaf.calls.size()) >= max_calls) return false;
  if (!leaf.calls.empty() && !resendable(q, leaf, now)) return false;  // rule 2
  if (!node.up) return false;                                          // rule 3
  if (cold(node, now)) {                                               // rule 4
    // What a node answers this router on average stands for this router's share of a node's capacity. Where
    // that is less than a part a window the parts are spaced out: one a window from each of many routers is
    // too much.
    const auto most = std::max(node_rate * capacity(node, now) * cold_rate * fall_time, 1.0 / routers);
    if (most < 1 ? now - node.open_at < fall_time / most : node.sent.recent(now) + 1 > most) return false;
  }
  if (!leaf.calls.empty() && extra_span > 0) {  // rule 6
    const auto most = extra_free + extra_share * taken.recent(now);
    if (extras.recent(now) + 1 > most) return false;
  }
  return true;
}

// Rule 2: whether a part that was sent before may be sent again.
bool Brain::State::resendable(const Query& q, const Leaf& leaf, double now) {
  const auto& v = of(q);
  if (v.effect == Effect::repeatable) return true;
  const auto first = std::find_if(leaf.calls.begin(), leaf.calls.end(), may_have_run);
  if (first == leaf.calls.end()) return true;
  return v.effect == Effect::deduplicated && now < first->sent + v.window - margin;
}

int Brain::State::choose(const Query& q, const Leaf& leaf, bool beside, double now, double& best) {
  int chosen = kNone;
  best = kNever;
  const auto tried = [&](int node) {
    return std::any_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& c) { return c.node == node; });
  };
  for (const bool again : {false, true}) {
    if (again && (beside || chosen != kNone)) break;
    // All calls of a part could else be spent within a few ms at the one node that is left and turns them
    // away.
    if (again && (leaf.calls.empty() || now < leaf.calls.back().sent + of(q).delay)) break;
    any_holder(leaf, [&](int i) {
      auto& node = at(i);
      if (tried(i) != again || !allowed(q, leaf, node, now)) return false;
      // A further call at a node under suspicion would most likely be spent in vain and keep it full.
      if (!leaf.calls.empty() && shunned(node, now)) return false;
      const auto value = score(node, now) * (node.zone == zone ? 1 : 1 + kZoneTie) *
                         (1 + 1e-6 * static_cast<double>(chance() % 1000));
      if (value < best) {
        best = value;
        chosen = i;
      }
      return false;
    });
  }
  return chosen;
}

bool Brain::State::copy_due(const Query& q, const Leaf& leaf, double now) {
  return may_copy && of(q).effect == Effect::repeatable && leaf.calls.size() == 1 && pending(leaf.calls[0]) &&
         now >= copy_at(q, leaf) - 1e-6 && now < slo_end(q);
}

// A part is given up and sent again where each call that is out is too old to be slow, at a node that has
// done parts sent later, or is suspect and has answered nothing since. Without this a query whose copies are
// used up waits in vain for its last part; by age alone heavy parts would be sent again. The cancelled call
// may still be out for a moment.
bool Brain::State::lost(const Query& q, const Leaf& leaf, double now) {
  return may_cancel && may_copy && std::all_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& call) {
           const auto& node = at(call.node);
           return !pending(call) ||
                  ((overtaken(node, call.sent, now) || (node.suspect && node.answered < call.sent)) &&
                   now >= call.sent + of(q).lost + excess(leaf));
         });
}

// A leaf call is given all the time in which its answer is worth something.
double Brain::State::timeout(const Query& q, double now) {
  return (of(q).late_utility > 0 ? last_end(q) : slo_end(q)) - now;
}

Send Brain::State::commit(const Query& q, int leaf_index, int node_index, bool copy, double now) {
  const auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
  auto& node = at(node_index);
  if (!joins(node, now)) node.open_group = next_group++;
  node.open_at = now;
  ++node.groups[node.open_group];
  node.waiting.insert(now);
  of(q).waiting.insert({now, usual_step(q), node_index});
  node.sent.add(now);
  if (leaf.calls.empty()) {
    firsts.add(now);
    if (leaf.work > 0) part_work.add(leaf.work);
  }
  if (copy) copies.add(now);
  if (!leaf.calls.empty()) extras.add(now);
  return {leaf_index, node_index, node.open_group, timeout(q, now)};
}

Answer Brain::State::give_up(const Query& q) {
  Answer answer;
  // Rule 2: a rejection says that a retry is harmless.
  const auto harmless = of(q).effect == Effect::repeatable ||
                        std::all_of(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) {
                          return std::none_of(leaf.calls.begin(), leaf.calls.end(), may_have_run);
                        });
  answer.end = harmless ? End::reject : End::abort;
  answer.stay_away = stay_away;
  return answer;
}

// Whether the query ends now, and how.
Answer Brain::State::ending(const Query& q, double now) {
  const auto& v = of(q);
  double in[2] = {0, 0};        // weight that is in, by step
  double possible[2] = {0, 0};  // and that may still come
  bool second_in = true;
  for (const auto& leaf : q.leaves) {
    const auto step = leaf.step - 1;
    if (leaf.in) in[step] += leaf.weight;
    second_in = second_in && (leaf.in || leaf.step == 1);
    const auto out = std::any_of(leaf.calls.begin(), leaf.calls.end(), pending);
    const auto more =
        leaf.calls.empty() || (static_cast<int>(leaf.calls.size()) < max_calls && resendable(q, leaf, now));
    if (leaf.in || out || more) possible[step] += leaf.weight;
  }
  if (q.awaited > 0) possible[q.step - 1] = 1;
  Answer answer;
  const auto now_in = in[q.step - 1];
  const auto now_possible = possible[q.step - 1];
  const auto whole = q.step == 1 ? now_in >= v.whole - kRounding : second_in && q.awaited == 0;
  const auto enough =
      q.awaited == 0 && now_in >= v.least - kRounding && (q.step == 1 || v.least < v.whole || second_in);
  if (whole) {
    answer.end = q.step == 1 || q.first_whole ? End::merge_whole : End::merge_part;
    return answer;
  }
  const auto need = q.step == 1 ? v.whole : 1;
  const auto settled = now_possible <= now_in + kRounding;  // nothing more can come
  const auto late = now >= slo_end(q);
  if (enough && (settled || now >= last_end(q) || (late && v.partial_earns * now_in > v.late_utility))) {
    answer.end = End::merge_part;
    return answer;
  }
  const auto least = v.least < v.whole ? v.least : need;
  if (now_possible < least - kRounding || now >= last_end(q) || (late && v.late_utility <= 0))
    return give_up(q);
  return answer;
}

// The share of its utility that a query can be expected to earn in the time its client leaves it, by how long
// queries of its vertical have taken of late.
double Brain::State::prospect(const Query& q, double now) {
  auto& v = of(q);
  auto times = v.query_times.recent(now);
  // The SLO time runs from the client's first try, of which a later one tells nothing but that it was.
  const auto used = q.client_retry ? kRetryAge * (q.expires - q.taken) : 0;
  const auto in_time = chance_within(times, slo_end(q) - used - now);
  const auto late = std::max(0.0, chance_within(times, last_end(q) - now) - in_time);
  const auto many = static_cast<double>(times.size());
  return (many * (in_time + v.late_utility * late) + kHopeWeight) / (many + kHopeWeight);
}

// Whether enough of its parts have a replica that is not shunned. The others would do work for nothing.
bool Brain::State::within_reach(const Query& q, double now) {
  double reach = 0;
  for (const auto& leaf : q.leaves) {
    if (any_holder(leaf, [&](int i) { return at(i).up && !shunned(at(i), now); })) reach += leaf.weight;
  }
  return reach >= of(q).least - kRounding;
}

// A query that has waited while the router stood still was asked earlier, by what its client leaves it less
// than usual.
void Brain::State::date(Query& q, double now) {
  auto& v = of(q);
  const auto left = q.expires - now;
  if (standstill > 0) {
    q.taken = now - std::clamp(v.try_time - left, 0.0, standstill);
  } else if (!q.client_retry) {
    v.try_time = std::max(left, v.try_time + kAverageWeight * (left - v.try_time));
  }
}

// Refusal by chance under strain, before work is sunk: the less utility a query brings for its work, the
// likelier.
bool Brain::State::refuse(const Query& q, double now) {
  auto& v = of(q);
  double work = q.work;
  if (work <= 0) work = (part_work > 0 ? part_work : 1.0) * static_cast<double>(q.leaves.size());
  v.query_work.add(work);
  auto density = v.utility / (utility_by_work ? v.query_work : work);
  if (q.customer != kNone) {
    auto& bucket = customers[static_cast<std::size_t>(q.customer)];
    bucket.level = std::min(bucket.level + (now - bucket.filled) * bucket.rate, bucket.rate);
    bucket.filled = now;
    if (bucket.level < 1) density *= over_share;
    if (bucket.level >= 1) --bucket.level;
  }
  // A query with hardly a chance in the time it has (an impatient client, nodes that have become slow) sinks
  // work for nothing, and its client asks again: a few such clients can bring all nodes down.
  const auto hope = within_reach(q, now) ? prospect(q, now) : 0;
  density *= hope;
  mean_density.add(density);
  // By Little's law latency grows with what is out. The parts already out foretell the latency of this query
  // better than answers do, which tell of queries sent before a burst: without this all routers let a burst
  // in.
  const auto parts = static_cast<double>(q.leaves.size());
  // A part for each node is no load.
  const auto usual = std::max({typical_out, parts, up_nodes});
  const auto foretold = strain * std::max(1.0, (out(now) + parts) / usual) * usual_step(q) / step_time(q);
  const auto refused = std::clamp((foretold - kStrainFrom) / (kStrainFull - kStrainFrom), 0.0, kMostRefused);
  const auto share = std::max(std::min(refused * mean_density / std::max(density, 1e-9), kMostRefused),
                              1 - hope / kHopeless);
  return std::uniform_real_distribution<>(0, 1)(chance) < share;
}

// By how much longer a part should take than an average one, by its hint. Bounded, so that a wrong hint does
// no harm.
double Brain::State::excess(const Leaf& leaf) const {
  if (leaf.work <= 0 || part_work <= 0) return 0;
  return std::clamp(leaf.work - part_work, -part_work, 2 * part_work);
}

// What an outcome tells of the node and of the latencies.
void Brain::State::learn(const Query& q, const Leaf& leaf, const Call& call, double now) {
  auto& v = of(q);
  auto& node = at(call.node);
  const auto age = std::max(now - call.sent - standstill, 0.0);
  const auto took = std::max(age - excess(leaf), age / 4);
  if (const auto sent = node.waiting.find(call.sent); sent != node.waiting.end()) node.waiting.erase(sent);
  if (const auto sent = v.waiting.find({call.sent, usual_step(q), call.node}); sent != v.waiting.end())
    v.waiting.erase(sent);
  if (const auto group = node.groups.find(call.group); group != node.groups.end() && --group->second <= 0)
    node.groups.erase(group);
  if (call.outcome == Outcome::unsent) return;
  // A connection takes along all that is out on it when it breaks or brings a spoilt answer: that counts
  // once. Both come from any node alike, and would else have sound ones left out for a while and the others,
  // with more on each connection, break the more. A node that is bad each time is still found out.
  const auto spoilt = call.outcome == Outcome::spoilt;
  if ((spoilt || call.outcome == Outcome::broken) && std::exchange(node.broke, now) == now) return;
  const auto good = call.outcome == Outcome::success;
  const auto bound = call.outcome == Outcome::cancelled || call.outcome == Outcome::timed_out;
  if (!bound) node.answered = now;
  if (bound && stray(node, call.sent, now)) return;
  if (good) node.served = std::max(node.served, call.sent);
  // A full node is strain though it answers at once: without this a fleet that turns most parts away looked
  // idle.
  if (call.outcome == Outcome::overloaded) v.strain.add(now, {1, true});
  // What a suspect node holds back tells of that node, not of the others.
  if (good || (bound && !node.suspect)) {
    v.latencies.add(now, {took, bound});
    if (node.zone != kNone) ways[static_cast<std::size_t>(node.zone)].latencies.add(now, {took, bound});
    v.strain.add(now, {age / usual_step(q), bound});
  }
  if (good) {
    average.add(took);
    answered.add(now);
    node.bad_row = 0;
  } else {
    ++node.bad_row;
  }
  if (spoilt) return watch(node, now);
  const auto held = drifted(node, usual(node), now);
  // A quick failure counts as the time it costs, not the time it took: else the node would look fast and draw
  // all traffic. A cancelled or overdue call took at least its age.
  const auto value = good ? took : bound ? std::max(took, held) : std::max(v.slo, held);
  // What has drifted away is no evidence: the longer the silence before it, the more a new sample weighs.
  // Where a node is heard of every several seconds it would else look average whatever it does.
  const auto weight = 1 - (1 - kSmoothing) * std::exp(-(now - node.heard) / kDrift);
  node.latency = held > 0 ? held + weight * (value - held) : value;
  node.heard = now;
  if (!good) watch(node, now);
}

Brain::Brain(const Settings& settings, std::uint64_t seed, double now)
    : s_(std::make_unique<State>(settings, seed, now)) {}
Brain::~Brain() = default;
Brain::Brain(Brain&&) noexcept = default;
Brain& Brain::operator=(Brain&&) noexcept = default;

Answer Brain::route(Query& q, double now) {
  auto& s = *s_;
  s.wake(now);
  if (!q.admitted) s.date(q, now);
  auto answer = s.ending(q, now);
  if (answer.end == End::merge_whole || answer.end == End::merge_part ||
      (answer.end != End::none && q.admitted)) {
    const auto bound = answer.end == End::reject || answer.end == End::abort;
    if (bound || q.step == 2 || !s.of(q).two_steps) s.of(q).query_times.add(now, {now - q.taken, bound});
  }
  if (answer.end != End::none || q.awaited > 0) return answer;
  if (!q.admitted && (q.no_room || s.refuse(q, now))) return s.give_up(q);
  q.admitted = true;
  for (std::size_t i = 0; i < q.leaves.size(); ++i) {
    const auto& leaf = q.leaves[i];
    if (leaf.in) continue;
    const auto out = std::any_of(leaf.calls.begin(), leaf.calls.end(), pending);
    const auto sent = s.firsts.recent(now);
    const auto copy = s.copy_due(q, leaf, now) && s.copies.recent(now) + 1 <= kCopyShare * sent;
    const auto again = out && !copy && s.lost(q, leaf, now);
    if (out && !copy && !again) continue;
    double best = 0;
    const auto node = s.choose(q, leaf, out, now, best);
    if (node == kNone) continue;
    // A copy helps where the other replica can be expected to answer within the very delay that made
    // this one late. When all are slow, or the others queue too, it would only add to the load. A lost part
    // has waited for longer, and goes where it can be expected to take less than that.
    if (out && best > (again ? now - leaf.calls.back().sent : s.of(q).delay)) continue;
    if (again) cancel_pending(answer, leaf, static_cast<int>(i));
    answer.sends.push_back(s.commit(q, static_cast<int>(i), node, copy, now));
  }
  return answer;
}

Answer Brain::settle(Query& q, int leaf_index, int call_index, double now) {
  auto& s = *s_;
  s.wake(now);
  auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
  const auto& call = leaf.calls[static_cast<std::size_t>(call_index)];
  s.learn(q, leaf, call, now);
  Answer answer;
  if (call.outcome != Outcome::success || leaf.in) return answer;
  leaf.in = true;
  if (s.may_cancel) cancel_pending(answer, leaf, leaf_index);
  return answer;
}

double Brain::wait(const Query& q, double now) const {
  auto& s = *s_;
  const auto& v = s.of(q);
  auto due = s.last_end(q);
  if (now < s.slo_end(q)) due = std::min(due, s.slo_end(q));
  for (const auto& leaf : q.leaves) {
    if (leaf.in) continue;
    const auto copied = leaf.calls.size() == 1 && s.may_copy && v.effect == Effect::repeatable;
    const auto copy = copied ? s.copy_at(q, leaf) : now;
    due = std::min(due, copy > now ? copy : now + kPeriod);
  }
  return std::max(due - now, 1e-3);
}

void Brain::take(int requests, double now) {
  s_->taken.add(now, requests);
}

void Brain::list(std::span<const Host> hosts, bool complete) {
  auto& s = *s_;
  if (complete)
    for (auto& node : s.nodes) node.up = false;
  for (const auto& host : hosts) {
    if (host.cell < 0 || host.cell >= s.cells) continue;
    s.nodes.resize(std::max(s.nodes.size(), static_cast<std::size_t>(host.node) + 1), s.unheard());
    auto& node = s.at(host.node);
    auto& cell = s.by_cell[static_cast<std::size_t>(host.cell)];
    if (std::find(cell.begin(), cell.end(), host.node) == cell.end()) {
      std::erase(s.by_cell[static_cast<std::size_t>(node.cell)], host.node);
      cell.push_back(host.node);
    }
    node.cell = host.cell;
    node.zone = host.zone;
    s.ways.resize(std::max(s.ways.size(), static_cast<std::size_t>(host.zone + 1)));
    node.up = host.up;
    if (host.born != node.born) {
      node.latency = 0;  // a new process: what was learned of the old one says nothing
      node.bad_row = 0;
    }
    node.born = host.born;
  }
  s.ask_after = kNever;
}

void Brain::forget(int node) {
  if (static_cast<std::size_t>(node) >= s_->nodes.size())
    return;  // its cell made no sense: it was never known
  auto& known = s_->at(node);
  std::erase(s_->by_cell[static_cast<std::size_t>(known.cell)], node);
  known = s_->unheard();
}

void Brain::list_failed(double now) {
  s_->ask_after = now + kListAgain;
}

bool Brain::tick(double now) {
  auto& s = *s_;
  s.wake(now);
  if (s.standstill > 0) return false;
  s.estimate(now);
  s.compare_ways(now);
  s.ticked = now;
  s.up_nodes = 0;
  for (auto& node : s.nodes) {
    s.watch(node, now);
    if (node.up) ++s.up_nodes;
  }
  s.node_rate = s.up_nodes > 0 ? s.answered.recent(now) / kWindow / s.up_nodes : 0;
  const auto ask = s.must_ask_list && now >= s.ask_after;
  if (ask) s.ask_after = now + kListPatience;
  return ask;
}

double Brain::period() const {
  return kPeriod;
}

}  // namespace yoketurn
