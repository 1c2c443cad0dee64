#include "policy/nodes.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kLatencySampleWeight = 0.2;  // weight of a new sample in a node's latency
constexpr double kLatencyDecaySeconds =
    5;                                  // a silent node's latency nears the average with this time constant
constexpr double kQuickQuantile = 0.2;  // quantile of a zone's quick answers
constexpr double kSlowPathLatencies = 1.0;    // average latencies by which these come later over a slow way
constexpr int kSuspectAfterFailures = 3;      // bad outcomes in a row after which a node is suspect
constexpr double kSilenceLatencies = 3;       // average latencies without any answer after which it is too
constexpr std::size_t kMaxPeerParts = 1000;   // parts of others that are held of a node
constexpr double kPeerPartsKeptSeconds = 10;  // for so long
constexpr double kPeerTimeSlack = 1.1;  // by which what is told may differ from what was heard of its start
constexpr double kMinProbeIntervalSeconds = 1;  // until a suspect node is tried again
constexpr double kMaxProbeIntervalSeconds = 16;
constexpr double kAvoidedScoreFactor = 10;  // on the score of a suspect node that has a part already
constexpr double kReducedSiteScoreFactor =
    1e3;  // on the score of a node whose site gets a share only; a trial the less
constexpr double kJoinedCallCost = 0.5;  // of a call: a part that joins one that stands open
constexpr double kBusyShare = 0.5;  // of what a warm node could do, taken to be what it does at the busiest
constexpr double kMaxTokens = 4;    // parts that a cold node can be sent in a row where they are spaced out
constexpr double kLimitDeviations =
    1;  // standard deviations of what a cold node is sent that stay under the rule
constexpr double kHeavyPartDeviations = 4;  // and of heavy parts alone that stay under what makes it fall

// The mean of a sum of independent single parts that, with so many standard deviations, stays under a bound.
double mean_under(double bound, double deviations) {
  if (bound <= 0) return 0;
  const auto root = (std::sqrt(deviations * deviations + 4 * bound) - deviations) / 2;
  return root * root;
}
}  // namespace

SlowStart::SlowStart(const Settings& s)
    : duration(s.slow_start_time),
      start_capacity(s.start_capacity),
      overload_ratio(s.overload_multiple / kBusyShare),
      overload_time(s.overload_time),
      router_count(std::max(s.router_count, 1)) {}

// The least share of its capacity that a node has, by its start and the slowest ramp.
double SlowStart::capacity_share(const Node& node, double now) const {
  return applies_to(node, now)
             ? start_capacity + (1 - start_capacity) * std::max(0.0, now - node.started_at) / duration
             : 1;
}

// What a node answers this router on average stands for this router's share of a node's capacity.
double SlowStart::total_limit(const Node& node, double now) const {
  return node_answer_rate * capacity_share(node, now) * overload_ratio * overload_time * router_count;
}

// Each router sends by itself, so the sum of all is a matter of chance: of few parts less of the figure can
// be used.
double SlowStart::router_limit(const Node& node, double now) const {
  return std::max(mean_under(total_limit(node, now), kLimitDeviations), 1.0) / router_count;
}

// Routers that send heavy parts independently add up to more than the mean work the more often the fewer of
// them fit: a heavy part costs as much more than its work as the rate must be lower at which the chance sum
// of such parts stays below what makes a node fall.
double SlowStart::token_cost(const Node& node, double work, double now) const {
  if (work <= 1) return work;
  const auto allowed = total_limit(node, now);
  const auto falls = allowed + 2 * std::sqrt(allowed) + 2;
  const auto of_mean_work = mean_under(falls - 1, kHeavyPartDeviations);
  const auto of_this_work = mean_under(falls / work - 1, kHeavyPartDeviations);
  return of_this_work > 0 ? std::max(of_mean_work / of_this_work, work) : kNever;
}

// Space that is not used is kept, up to so much.
void SlowStart::refill_tokens(Node& node, double most_saved, double now) const {
  if (node.tokens_updated_at >= node.started_at)
    node.tokens += (now - node.tokens_updated_at) * router_limit(node, now) / overload_time;
  node.tokens = std::min(node.tokens, most_saved);
  node.tokens_updated_at = now;
}

// What costs more than a window's share is spaced out. A query's neighbouring parts meet at one node: space
// is saved, from anywhere in it on, as one part from each router at once would be too much.
bool SlowStart::allows(Node& node, double work, double now, std::ranlux24_base& chance) const {
  const auto window = router_limit(node, now);
  const auto needed = token_cost(node, work, now);
  if (window >= 1 && needed <= window) return node.recent_work.recent(now) + needed <= window;
  if (node.tokens_updated_at < node.started_at)
    node.tokens = std::uniform_real_distribution<>(0, kMaxTokens - 1)(chance);
  refill_tokens(node, std::max(kMaxTokens, needed), now);
  return node.tokens >= std::max(needed, 1.0);
}

void SlowStart::record_sent(Node& node, double work, double now) const {
  const auto used = applies_to(node, now) ? token_cost(node, work, now) : work;
  node.recent_work.add(now, used);
  node.tokens = std::max(node.tokens - used, 0.0);
}

Nodes::Nodes(const Settings& s)
    : slow_start(s),
      zone(s.zone),
      max_parts_per_call(s.max_parts_per_call),
      cell_count(s.cell_count),
      cells_per_shard(std::min(s.cells_per_shard, s.cell_count)),
      may_send_peer_reports(s.may_send_peer_reports && s.router_count > 1),
      by_cell(static_cast<std::size_t>(s.cell_count)) {}

Node Nodes::new_node() const {
  Node node;
  node.recent_work = WindowCounter(slow_start.overload_time);
  return node;
}

void Nodes::update_nodes(std::span<const DiscoveredNode> hosts, bool complete) {
  if (complete) {
    for (auto& node : all) node.up = false;
    listed_nodes_up = 0;
  }
  for (const auto& host : hosts) {
    if (host.cell < 0 || host.cell >= cell_count) continue;
    if (static_cast<std::size_t>(host.node) >= all.size()) {
      all.resize(static_cast<std::size_t>(host.node) + 1, new_node());
      active.resize(all.size(), false);
    }
    auto& node = at(host.node);
    mark_active(host.node);
    auto& cell = by_cell[static_cast<std::size_t>(host.cell)];
    if (std::find(cell.begin(), cell.end(), host.node) == cell.end()) {
      std::erase(by_cell[static_cast<std::size_t>(node.cell)], host.node);
      cell.push_back(host.node);
    }
    node.cell = host.cell;
    node.zone = host.zone;
    paths.resize(std::max(paths.size(), static_cast<std::size_t>(host.zone + 1)));
    listed_nodes_up += static_cast<int>(host.up) - static_cast<int>(node.up);
    node.up = host.up;
    if (host.started_at != node.started_at) {
      node.smoothed_latency = 0;  // a new process: what was learned of the old one says nothing
      node.consecutive_failures = 0;
      node.peer_latency = 0;
      node.peer_sent_at.clear();
    }
    node.started_at = host.started_at;
  }
}

void Nodes::remove_node(int node) {
  if (static_cast<std::size_t>(node) >= all.size()) return;  // its cell made no sense: it was never known
  auto& known = at(node);
  std::erase(by_cell[static_cast<std::size_t>(known.cell)], node);
  listed_nodes_up -= static_cast<int>(known.up);
  known = new_node();
}

// What a node is taken for without any news of its own: the average, or nearer to what others lately found.
double Nodes::expected_latency(const Node& node, double now) const {
  const auto base = std::max<double>(mean_latency, mean_cost) +
                    (node.zone == kNone ? 0 : paths[static_cast<std::size_t>(node.zone)].extra_delay);
  return node.peer_latency > 0 ? base + (node.peer_latency - base) *
                                            std::exp(-(now - node.peer_latency_at) / kLatencyDecaySeconds)
                               : base;
}

// What others tell is evidence that ages; it clears no suspicion.
void Nodes::on_peer_report(PeerReport word, double now) {
  if (static_cast<std::size_t>(word.node) >= all.size()) return;
  auto& node = at(word.node);
  mark_active(word.node);
  if (word.latency <= 0)
    return node.peer_sent_at.size() < kMaxPeerParts ? void(node.peer_sent_at.insert(now)) : void();
  const auto sent = node.peer_sent_at.lower_bound(now - kPeerTimeSlack * word.latency);
  if (sent != node.peer_sent_at.end()) node.peer_sent_at.erase(sent);
  node.peer_latency = node.peer_latency > 0
                          ? node.peer_latency + kLatencySampleWeight * (word.latency - node.peer_latency)
                          : word.latency;
  node.peer_latency_at = now;
}

// A node's smoothed latency, which nears the usual one while it is silent.
double Nodes::decayed_latency(const Node& node, double usual, double now) const {
  return node.smoothed_latency > 0
             ? usual + (node.smoothed_latency - usual) *
                           std::exp(-(now - node.latency_updated_at) / kLatencyDecaySeconds)
             : usual;
}

bool Nodes::is_overtaken(const Node& node, double sent, double now) const {
  return sent < node.latest_answered_sent_at && now - sent > kSilenceLatencies * node.smoothed_latency;
}

// Smoothed, or the age of a part that waits longer: a node that swallows work must not look merely unheard.
double Nodes::latency_estimate(const Node& node, double now) const {
  auto value = decayed_latency(node, expected_latency(node, now), now);
  const auto oldest = node.pending_sent_at.upper_bound(
      node.latest_answered_sent_at);  // of those that no later one has overtaken
  if (oldest != node.pending_sent_at.end()) value = std::max(value, now - *oldest);
  return std::max(value, 1e-3);
}

std::size_t Nodes::pending_calls(const Node& node, double now) const {
  const auto lost = std::count_if(node.pending_sent_at.begin(),
                                  node.pending_sent_at.lower_bound(node.latest_answered_sent_at),
                                  [&](double sent) { return is_answer_lost(node, sent, now); });
  return node.pending_batches.size() - std::min(node.pending_batches.size(), static_cast<std::size_t>(lost));
}

double Nodes::peer_pending_parts(const Node& node, double now) const {
  const auto from = now - kSilenceLatencies * std::max({double(mean_latency), median_latency,
                                                        node.smoothed_latency, node.peer_latency});
  return static_cast<double>(std::distance(node.peer_sent_at.lower_bound(from), node.peer_sent_at.end()));
}

// Whether a part sent there now travels in a call that stands open.
bool Nodes::joins_open_batch(const Node& node, double now) const {
  const auto open = node.pending_batches.find(node.open_batch);
  return node.open_batch_at == now && open != node.pending_batches.end() && open->second < max_parts_per_call;
}

double Nodes::site_score_factor(const Node& node, bool may_try, std::ranlux24_base& chance) const {
  const auto* known = site_share(node);
  if (known == nullptr || known->share >= 1) return 1;
  if (known->lost) return known->probe_allowed && may_try ? 1 / kReducedSiteScoreFactor : 0;
  return std::uniform_real_distribution<>(0, 1)(chance) < known->share ? 1 : kReducedSiteScoreFactor;
}

// Nodes whose site was lost, and the way there, are unheard of again.
void Nodes::set_site_shares(std::span<const SiteShare> told) {
  const auto before = std::exchange(sites, std::vector<SiteShare>(told.begin(), told.end()));
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (!before[i].lost || (i < sites.size() && sites[i].lost)) continue;
    paths[i].extra_delay = 0;
    for (auto& node : all) {
      if (node.zone != static_cast<int>(i) || node.started_at > before[i].lost_at) continue;
      node.suspect = false;
      node.consecutive_failures = node.failures_seen = 0;
      node.smoothed_latency = 0;
    }
  }
}

// Three bad outcomes in a row, or an answer long overdue. Trials cost a query each: they become rarer.
void Nodes::update_suspicion(Node& node, double now) {
  const auto silent =
      !node.pending_sent_at.empty() && node.last_answer_at < *node.pending_sent_at.begin() &&
      now - *node.pending_sent_at.begin() >
          kSilenceLatencies * std::max({double(mean_latency), median_latency, node.smoothed_latency});
  // Only an answer clears it: a part that was swallowed is given up long before a second could bear witness.
  if (!silent && node.consecutive_failures < (node.suspect ? 1 : kSuspectAfterFailures)) {
    node.suspect = false;
    node.probe_interval = kMinProbeIntervalSeconds;
  } else if (!node.suspect || now >= node.next_probe_at) {
    if (node.suspect && node.pending_sent_at.empty() && node.consecutive_failures == node.failures_seen)
      return;  // not tried yet
    node.probe_interval =
        node.suspect ? std::min(2 * node.probe_interval, kMaxProbeIntervalSeconds) : kMinProbeIntervalSeconds;
    node.suspect = true;
    node.next_probe_at = now + node.probe_interval;
  }
  node.failures_seen = node.consecutive_failures;
}

// A node with nothing out, no suspicion and no news of other routers stays as it is until it is touched: in a
// fleet of thousands these are nearly all.
void Nodes::tick(double now) {
  for_each_active([&](std::size_t i, Node& node) {
    update_suspicion(node, now);
    node.peer_sent_at.erase(node.peer_sent_at.begin(),
                            node.peer_sent_at.lower_bound(now - kPeerPartsKeptSeconds));
    active[i] = node.suspect || !node.pending_sent_at.empty() || !node.peer_sent_at.empty();
  });
  nodes_up = listed_nodes_up;
}

double Nodes::score(const Node& node, double now) const {
  return (is_avoided(node, now) ? kAvoidedScoreFactor : 1) * latency_estimate(node, now) *
         (static_cast<double>(pending_calls(node, now)) + peer_pending_parts(node, now) +
          (joins_open_batch(node, now) ? kJoinedCallCost : 1));
}

// A way between zones that has become slow is one cause behind many nodes: those not heard of late take the
// latency of their way. Load leaves the quickest answers quick, a slow way does not: by them the two are told
// apart. Hurts where all nodes of a zone queue alike: it is then avoided as if it were far.
void Nodes::compare_paths(double now, double since) {
  std::vector<Sample> samples_of_all;
  std::vector<std::vector<Sample>> by_way;
  std::vector<std::ptrdiff_t> answers;
  for (auto& way : paths) {
    const auto& samples = by_way.emplace_back(way.latencies.recent(now));
    answers.push_back(std::count_if(samples.begin(), samples.end(), [](auto& s) { return !s.censored; }));
  }
  for_each_active([&](std::size_t, const Node& node) {
    if (node.zone == kNone) return;
    const auto way = static_cast<std::size_t>(node.zone);
    if (node.suspect && answers[way] > 0) return;  // others there do answer: it is the node, not the way
    for (const auto sent : node.pending_sent_at)
      if (now - sent <= kLoadWindowSeconds && !is_answer_lost(node, sent, now))
        by_way[way].push_back({now - sent, true});
  });
  for (const auto& samples : by_way)
    samples_of_all.insert(samples_of_all.end(), samples.begin(), samples.end());
  median_latency = quantile(samples_of_all, 0.5);
  std::vector<double> quick;
  auto nearest = kNever;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    quick.push_back(quantile(by_way[i], kQuickQuantile));
    if (answers[i] > 0) nearest = std::min(nearest, quick.back());
  }
  for (std::size_t i = 0; i < paths.size(); ++i) {
    auto& way = paths[i];
    const auto late = quick[i] - nearest;
    // While it is avoided it brings no news but the age of what is out there.
    way.extra_delay *= static_cast<double>(answers[i]) >= kPriorSamples
                           ? 0
                           : std::exp(-(now - since) / kLatencyDecaySeconds);
    if (late > kSlowPathLatencies * std::max<double>(mean_latency, median_latency))
      way.extra_delay = std::max(way.extra_delay, late);
  }
}

void Nodes::record_latency(Node& node, double value, bool good, double now) {
  // What has drifted away is no evidence: the longer the silence before it, the more a new sample weighs.
  const auto held = decayed_latency(node, expected_latency(node, now), now);
  const auto weight =
      1 - (1 - kLatencySampleWeight) * std::exp(-(now - node.latency_updated_at) / kLatencyDecaySeconds);
  node.smoothed_latency = held > 0 ? held + weight * (value - held) : value;
  node.latency_updated_at = now;
  if (!good) update_suspicion(node, now);
}
}  // namespace yoketurn::policy
