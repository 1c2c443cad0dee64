#include "policy/nodes.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kSmoothing = 0.2;  // weight of a new sample in a node's latency
constexpr double kDrift = 5;        // a silent node's latency nears the average with this time constant
constexpr double kQuick = 0.2;      // quantile of a zone's quick answers
constexpr double kWaySlow = 1.0;    // average latencies by which these come later over a slow way
constexpr int kProbation = 3;       // bad outcomes in a row after which a node is suspect
constexpr double kSilence = 3;      // average latencies without any answer after which it is too
constexpr std::size_t kMostOthers = 1000;  // parts of others that are held of a node
constexpr double kOthersKept = 10;         // for so long
constexpr double kToldSlack = 1.1;  // by which what is told may differ from what was heard of its start
constexpr double kFirstPause = 1;   // until a suspect node is tried again
constexpr double kLongestPause = 16;
constexpr double kShunned = 10;    // on the score of a suspect node that has a part already
constexpr double kAway = 1e3;      // on the score of a node whose site gets a share only; a trial the less
constexpr double kJoinCost = 0.5;  // of a call: a part that joins one that stands open
constexpr double kBusy = 0.5;      // of what a warm node could do, taken to be what it does at the busiest
constexpr double kMostCredit = 4;  // parts that a cold node can be sent in a row where they are spaced out
constexpr double kChance = 1;      // standard deviations of what a cold node is sent that stay under the rule
constexpr double kChanceOfHeavy = 4;  // and of heavy parts alone that stay under what makes it fall

// The mean of a sum of independent single parts that, with so many standard deviations, stays under a bound.
double mean_under(double bound, double deviations) {
  if (bound <= 0) return 0;
  const auto root = (std::sqrt(deviations * deviations + 4 * bound) - deviations) / 2;
  return root * root;
}
}  // namespace

Cold::Cold(const Settings& s)
    : time(s.slow_start_time),
      start(s.start_capacity),
      rate(s.overload_multiple / kBusy),
      fall_time(s.overload_time),
      routers(std::max(s.router_count, 1)) {}

// The least share of its capacity that a node has, by its start and the slowest ramp.
double Cold::capacity(const Node& node, double now) const {
  return is(node, now) ? start + (1 - start) * std::max(0.0, now - node.born) / time : 1;
}

// What a node answers this router on average stands for this router's share of a node's capacity.
double Cold::bound(const Node& node, double now) const {
  return node_rate * capacity(node, now) * rate * fall_time * routers;
}

// Each router sends by itself, so the sum of all is a matter of chance: of few parts less of the figure can
// be used.
double Cold::most(const Node& node, double now) const {
  return std::max(mean_under(bound(node, now), kChance), 1.0) / routers;
}

// Routers that send heavy parts independently add up to more than the mean work the more often the fewer of
// them fit: a heavy part costs as much more than its work as the rate must be lower at which the chance sum
// of such parts stays below what makes a node fall.
double Cold::cost(const Node& node, double work, double now) const {
  if (work <= 1) return work;
  const auto allowed = bound(node, now);
  const auto falls = allowed + 2 * std::sqrt(allowed) + 2;
  const auto of_mean_work = mean_under(falls - 1, kChanceOfHeavy);
  const auto of_this_work = mean_under(falls / work - 1, kChanceOfHeavy);
  return of_this_work > 0 ? std::max(of_mean_work / of_this_work, work) : kNever;
}

// Space that is not used is kept, up to so much.
void Cold::save(Node& node, double most_saved, double now) const {
  if (node.credited >= node.born) node.credit += (now - node.credited) * most(node, now) / fall_time;
  node.credit = std::min(node.credit, most_saved);
  node.credited = now;
}

// What costs more than a window's share is spaced out. A query's neighbouring parts meet at one node: space
// is saved, from anywhere in it on, as one part from each router at once would be too much.
bool Cold::allows(Node& node, double work, double now, std::ranlux24_base& chance) const {
  const auto window = most(node, now);
  const auto needed = cost(node, work, now);
  if (window >= 1 && needed <= window) return node.sent.recent(now) + needed <= window;
  if (node.credited < node.born) node.credit = std::uniform_real_distribution<>(0, kMostCredit - 1)(chance);
  save(node, std::max(kMostCredit, needed), now);
  return node.credit >= std::max(needed, 1.0);
}

void Cold::sent(Node& node, double work, double now) const {
  const auto used = is(node, now) ? cost(node, work, now) : work;
  node.sent.add(now, used);
  node.credit = std::max(node.credit - used, 0.0);
}

Nodes::Nodes(const Settings& s)
    : cold(s),
      zone(s.zone),
      parts_a_call(s.max_parts_per_call),
      cells(s.cell_count),
      span(std::min(s.cells_per_shard, s.cell_count)),
      may_tell(s.may_send_peer_reports && s.router_count > 1),
      by_cell(static_cast<std::size_t>(s.cell_count)) {}

Node Nodes::unheard() const {
  Node node;
  node.sent = WindowCounter(cold.fall_time);
  return node;
}

void Nodes::list(std::span<const DiscoveredNode> hosts, bool complete) {
  if (complete) {
    for (auto& node : all) node.up = false;
    listed_up = 0;
  }
  for (const auto& host : hosts) {
    if (host.cell < 0 || host.cell >= cells) continue;
    if (static_cast<std::size_t>(host.node) >= all.size()) {
      all.resize(static_cast<std::size_t>(host.node) + 1, unheard());
      active.resize(all.size(), false);
    }
    auto& node = at(host.node);
    touch(host.node);
    auto& cell = by_cell[static_cast<std::size_t>(host.cell)];
    if (std::find(cell.begin(), cell.end(), host.node) == cell.end()) {
      std::erase(by_cell[static_cast<std::size_t>(node.cell)], host.node);
      cell.push_back(host.node);
    }
    node.cell = host.cell;
    node.zone = host.zone;
    ways.resize(std::max(ways.size(), static_cast<std::size_t>(host.zone + 1)));
    listed_up += static_cast<int>(host.up) - static_cast<int>(node.up);
    node.up = host.up;
    if (host.started_at != node.born) {
      node.latency = 0;  // a new process: what was learned of the old one says nothing
      node.bad_row = 0;
      node.told = 0;
      node.others.clear();
    }
    node.born = host.started_at;
  }
}

void Nodes::forget(int node) {
  if (static_cast<std::size_t>(node) >= all.size()) return;  // its cell made no sense: it was never known
  auto& known = at(node);
  std::erase(by_cell[static_cast<std::size_t>(known.cell)], node);
  listed_up -= static_cast<int>(known.up);
  known = unheard();
}

// What a node is taken for without any news of its own: the average, or nearer to what others lately found.
double Nodes::usual(const Node& node, double now) const {
  const auto base = std::max<double>(average, cost) +
                    (node.zone == kNone ? 0 : ways[static_cast<std::size_t>(node.zone)].delay);
  return node.told > 0 ? base + (node.told - base) * std::exp(-(now - node.told_at) / kDrift) : base;
}

// What others tell is evidence that ages; it clears no suspicion.
void Nodes::hear(PeerReport word, double now) {
  if (static_cast<std::size_t>(word.node) >= all.size()) return;
  auto& node = at(word.node);
  touch(word.node);
  if (word.latency <= 0) return node.others.size() < kMostOthers ? void(node.others.insert(now)) : void();
  const auto sent = node.others.lower_bound(now - kToldSlack * word.latency);
  if (sent != node.others.end()) node.others.erase(sent);
  node.told = node.told > 0 ? node.told + kSmoothing * (word.latency - node.told) : word.latency;
  node.told_at = now;
}

// A node's smoothed latency, which nears the usual one while it is silent.
double Nodes::drifted(const Node& node, double usual, double now) const {
  return node.latency > 0 ? usual + (node.latency - usual) * std::exp(-(now - node.heard) / kDrift) : usual;
}

bool Nodes::overtaken(const Node& node, double sent, double now) const {
  return sent < node.served && now - sent > kSilence * node.latency;
}

// Smoothed, or the age of a part that waits longer: a node that swallows work must not look merely unheard.
double Nodes::latency(const Node& node, double now) const {
  auto value = drifted(node, usual(node, now), now);
  const auto oldest = node.waiting.upper_bound(node.served);  // of those that no later one has overtaken
  if (oldest != node.waiting.end()) value = std::max(value, now - *oldest);
  return std::max(value, 1e-3);
}

std::size_t Nodes::calls_at(const Node& node, double now) const {
  const auto lost = std::count_if(node.waiting.begin(), node.waiting.lower_bound(node.served),
                                  [&](double sent) { return stray(node, sent, now); });
  return node.groups.size() - std::min(node.groups.size(), static_cast<std::size_t>(lost));
}

double Nodes::others_at(const Node& node, double now) const {
  const auto from = now - kSilence * std::max({double(average), median, node.latency, node.told});
  return static_cast<double>(std::distance(node.others.lower_bound(from), node.others.end()));
}

// Whether a part sent there now travels in a call that stands open.
bool Nodes::joins(const Node& node, double now) const {
  const auto open = node.groups.find(node.open_group);
  return node.open_at == now && open != node.groups.end() && open->second < parts_a_call;
}

double Nodes::by_site(const Node& node, bool may_try, std::ranlux24_base& chance) const {
  const auto* known = site(node);
  if (known == nullptr || known->share >= 1) return 1;
  if (known->lost) return known->probe_allowed && may_try ? 1 / kAway : 0;
  return std::uniform_real_distribution<>(0, 1)(chance) < known->share ? 1 : kAway;
}

// Nodes whose site was lost, and the way there, are unheard of again.
void Nodes::believe(std::span<const SiteShare> told) {
  const auto before = std::exchange(sites, std::vector<SiteShare>(told.begin(), told.end()));
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (!before[i].lost || (i < sites.size() && sites[i].lost)) continue;
    ways[i].delay = 0;
    for (auto& node : all) {
      if (node.zone != static_cast<int>(i) || node.born > before[i].lost_at) continue;
      node.suspect = false;
      node.bad_row = node.row_seen = 0;
      node.latency = 0;
    }
  }
}

// Three bad outcomes in a row, or an answer long overdue. Trials cost a query each: they become rarer.
void Nodes::watch(Node& node, double now) {
  const auto silent =
      !node.waiting.empty() && node.answered < *node.waiting.begin() &&
      now - *node.waiting.begin() > kSilence * std::max({double(average), median, node.latency});
  // Only an answer clears it: a part that was swallowed is given up long before a second could bear witness.
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

// A node with nothing out, no suspicion and no news of other routers stays as it is until it is touched: in a
// fleet of thousands these are nearly all.
void Nodes::tick(double now) {
  each_active([&](std::size_t i, Node& node) {
    watch(node, now);
    node.others.erase(node.others.begin(), node.others.lower_bound(now - kOthersKept));
    active[i] = node.suspect || !node.waiting.empty() || !node.others.empty();
  });
  up = listed_up;
}

double Nodes::score(const Node& node, double now) const {
  return (shunned(node, now) ? kShunned : 1) * latency(node, now) *
         (static_cast<double>(calls_at(node, now)) + others_at(node, now) +
          (joins(node, now) ? kJoinCost : 1));
}

// A way between zones that has become slow is one cause behind many nodes: those not heard of late take the
// latency of their way. Load leaves the quickest answers quick, a slow way does not: by them the two are told
// apart. Hurts where all nodes of a zone queue alike: it is then avoided as if it were far.
void Nodes::compare_ways(double now, double since) {
  std::vector<Sample> samples_of_all;
  std::vector<std::vector<Sample>> by_way;
  std::vector<std::ptrdiff_t> answers;
  for (auto& way : ways) {
    const auto& samples = by_way.emplace_back(way.latencies.recent(now));
    answers.push_back(std::count_if(samples.begin(), samples.end(), [](auto& s) { return !s.censored; }));
  }
  each_active([&](std::size_t, const Node& node) {
    if (node.zone == kNone) return;
    const auto way = static_cast<std::size_t>(node.zone);
    if (node.suspect && answers[way] > 0) return;  // others there do answer: it is the node, not the way
    for (const auto sent : node.waiting)
      if (now - sent <= kStrainWindow && !stray(node, sent, now)) by_way[way].push_back({now - sent, true});
  });
  for (const auto& samples : by_way)
    samples_of_all.insert(samples_of_all.end(), samples.begin(), samples.end());
  median = quantile(samples_of_all, 0.5);
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
    way.delay *= static_cast<double>(answers[i]) >= kStartWeight ? 0 : std::exp(-(now - since) / kDrift);
    if (late > kWaySlow * std::max<double>(average, median)) way.delay = std::max(way.delay, late);
  }
}

void Nodes::learn(Node& node, double value, bool good, double now) {
  // What has drifted away is no evidence: the longer the silence before it, the more a new sample weighs.
  const auto held = drifted(node, usual(node, now), now);
  const auto weight = 1 - (1 - kSmoothing) * std::exp(-(now - node.heard) / kDrift);
  node.latency = held > 0 ? held + weight * (value - held) : value;
  node.heard = now;
  if (!good) watch(node, now);
}
}  // namespace yoketurn::policy
