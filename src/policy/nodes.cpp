#include "policy/nodes.hpp"

namespace yoketurn::policy {
namespace {
constexpr double kLatencySampleWeight = 0.2;  // of a new sample in a node's smoothed latency
// Time constant with which the latency of a silent node decays to the expected one.
constexpr double kLatencyDecaySeconds = 5;
constexpr double kQuickQuantile = 0.2;  // of a zone's latencies: its quick answers
// A path is slow when its quick answers come later than the nearest zone's by this multiple of the mean
// latency.
constexpr double kSlowPathLatencies = 1.0;
constexpr int kSuspectAfterFailures = 3;  // in a row
// A node is suspect too after this multiple of the mean latency without an answer to a pending part.
constexpr double kSilenceLatencies = 3;
constexpr std::size_t kMaxPeerParts = 1000;  // pending parts of other routers that are tracked per node
constexpr double kPeerPartsKeptSeconds = 10;
// The time since a peer's report of a send may exceed the latency that it reports at the end by this factor.
constexpr double kPeerTimeSlack = 1.1;
constexpr double kMinProbeIntervalSeconds = 1;
constexpr double kMaxProbeIntervalSeconds = 16;
constexpr double kAvoidedScoreFactor = 10;  // on the score of a suspect node outside its probes
// On the score of a node that its site's share leaves out this time. The score of a site's probe is divided
// by it, so that the probe is sent first.
constexpr double kReducedSiteScoreFactor = 1e3;
constexpr double kJoinedCallCost = 0.5;  // of a part that joins an open batch; a call of its own costs 1
constexpr double kBusyShare = 0.5;       // share of its capacity that a node is assumed to use at its busiest
constexpr double kMaxTokens = 4;         // parts that a node in slow start may be sent in a row
// The work sent to a node in slow start stays this many standard deviations below total_limit().
constexpr double kLimitDeviations = 1;
// Heavy parts alone stay this many standard deviations below what overloads the node.
constexpr double kHeavyPartDeviations = 4;

// The largest mean of a sum of independent parts (Poisson) that stays this many standard deviations below the
// bound.
double mean_under(double bound, double deviations) {
  if (bound <= 0) return 0;
  const auto root = (std::sqrt(deviations * deviations + 4 * bound) - deviations) / 2;
  return root * root;
}
}  // namespace

SlowStart::SlowStart(const Settings& settings)
    : duration(settings.slow_start_time),
      start_capacity(settings.start_capacity),
      overload_ratio(settings.overload_multiple / kBusyShare),
      overload_time(settings.overload_time),
      router_count(std::max(settings.router_count, 1)) {}

double SlowStart::capacity_share(const Node& node, double now) const {
  return applies_to(node, now)
             ? start_capacity + (1 - start_capacity) * std::max(0.0, now - node.started_at) / duration
             : 1;
}

// The rate at which an average node answers this router stands for this router's share of a node's capacity.
double SlowStart::total_limit(const Node& node, double now) const {
  return node_answer_rate * capacity_share(node, now) * overload_ratio * overload_time * router_count;
}

// The routers send independently, so the sum of what they send varies. The fewer parts the limit allows, the
// smaller the share of it that can be used.
double SlowStart::router_limit(const Node& node, double now) const {
  return std::max(mean_under(total_limit(node, now), kLimitDeviations), 1.0) / router_count;
}

// The fewer heavy parts fit below the limit, the more often routers that send them independently exceed it.
// So a heavy part costs more than its work: by the factor by which the rate of such parts must be lower for
// their random sum to stay below the work that overloads the node.
double SlowStart::token_cost(const Node& node, double work, double now) const {
  if (work <= 1) return work;
  const auto allowed = total_limit(node, now);
  const auto overload_work = allowed + 2 * std::sqrt(allowed) + 2;
  const auto max_mean_work = mean_under(overload_work - 1, kHeavyPartDeviations);
  const auto max_this_work = mean_under(overload_work / work - 1, kHeavyPartDeviations);
  return max_this_work > 0 ? std::max(max_mean_work / max_this_work, work) : kNever;
}

// Unused tokens are kept, up to max_tokens.
void SlowStart::refill_tokens(Node& node, double max_tokens, double now) const {
  if (node.tokens_updated_at >= node.started_at)
    node.tokens += (now - node.tokens_updated_at) * router_limit(node, now) / overload_time;
  node.tokens = std::min(node.tokens, max_tokens);
  node.tokens_updated_at = now;
}

// A part that costs more than the limit of a window has to wait for tokens. Tokens are saved up because
// several parts of one query go to the same node. A newly started node begins with a random number of tokens:
// one part from each router at once would overload it.
bool SlowStart::allows(Node& node, double work, double now, std::ranlux24_base& random) const {
  const auto limit = router_limit(node, now);
  const auto cost = token_cost(node, work, now);
  if (limit >= 1 && cost <= limit) return node.recent_work.recent(now) + cost <= limit;
  if (node.tokens_updated_at < node.started_at)
    node.tokens = std::uniform_real_distribution<>(0, kMaxTokens - 1)(random);
  refill_tokens(node, std::max(kMaxTokens, cost), now);
  return node.tokens >= std::max(cost, 1.0);
}

void SlowStart::record_sent(Node& node, double work, double now) const {
  const auto used = applies_to(node, now) ? token_cost(node, work, now) : work;
  node.recent_work.add(now, used);
  node.tokens = std::max(node.tokens - used, 0.0);
}

Nodes::Nodes(const Settings& settings)
    : slow_start(settings),
      zone(settings.zone),
      max_parts_per_call(settings.max_parts_per_call),
      cell_count(settings.cell_count),
      cells_per_shard(std::min(settings.cells_per_shard, settings.cell_count)),
      may_send_peer_reports(settings.may_send_peer_reports && settings.router_count > 1),
      by_cell(static_cast<std::size_t>(settings.cell_count)) {}

Node Nodes::new_node() const {
  Node node;
  node.recent_work = WindowCounter(slow_start.overload_time);
  return node;
}

void Nodes::update_nodes(std::span<const DiscoveredNode> listed, bool complete) {
  if (complete) {
    for (auto& node : all) node.up = false;
    listed_nodes_up = 0;
  }
  for (const auto& entry : listed) {
    if (entry.cell < 0 || entry.cell >= cell_count) continue;
    if (static_cast<std::size_t>(entry.node) >= all.size()) {
      all.resize(static_cast<std::size_t>(entry.node) + 1, new_node());
      active.resize(all.size(), false);
    }
    auto& node = at(entry.node);
    mark_active(entry.node);
    auto& cell = by_cell[static_cast<std::size_t>(entry.cell)];
    if (std::find(cell.begin(), cell.end(), entry.node) == cell.end()) {
      std::erase(by_cell[static_cast<std::size_t>(node.cell)], entry.node);
      cell.push_back(entry.node);
    }
    node.cell = entry.cell;
    node.zone = entry.zone;
    paths.resize(std::max(paths.size(), static_cast<std::size_t>(entry.zone + 1)));
    listed_nodes_up += static_cast<int>(entry.up) - static_cast<int>(node.up);
    node.up = entry.up;
    if (entry.started_at != node.started_at) {
      node.smoothed_latency = 0;  // a new process: the samples of the old one don't apply
      node.consecutive_failures = 0;
      node.peer_latency = 0;
      node.peer_sent_at.clear();
    }
    node.started_at = entry.started_at;
  }
}

void Nodes::remove_node(int node) {
  if (static_cast<std::size_t>(node) >= all.size()) return;  // never added, as its cell was out of range
  auto& removed = at(node);
  std::erase(by_cell[static_cast<std::size_t>(removed.cell)], node);
  listed_nodes_up -= static_cast<int>(removed.up);
  removed = new_node();
}

// The mean over all nodes, or closer to what other routers have reported recently.
double Nodes::expected_latency(const Node& node, double now) const {
  const auto base = std::max<double>(mean_latency, mean_cost) +
                    (node.zone == kNone ? 0 : paths[static_cast<std::size_t>(node.zone)].extra_delay);
  return node.peer_latency > 0 ? base + (node.peer_latency - base) *
                                            std::exp(-(now - node.peer_latency_at) / kLatencyDecaySeconds)
                               : base;
}

// The reported latency loses weight with age, and it doesn't end a node's suspect state.
void Nodes::on_peer_report(PeerReport report, double now) {
  if (static_cast<std::size_t>(report.node) >= all.size()) return;
  auto& node = at(report.node);
  mark_active(report.node);
  if (report.latency <= 0)
    return node.peer_sent_at.size() < kMaxPeerParts ? void(node.peer_sent_at.insert(now)) : void();
  const auto sent = node.peer_sent_at.lower_bound(now - kPeerTimeSlack * report.latency);
  if (sent != node.peer_sent_at.end()) node.peer_sent_at.erase(sent);
  node.peer_latency = node.peer_latency > 0
                          ? node.peer_latency + kLatencySampleWeight * (report.latency - node.peer_latency)
                          : report.latency;
  node.peer_latency_at = now;
}

double Nodes::decayed_latency(const Node& node, double expected, double now) const {
  return node.smoothed_latency > 0
             ? expected + (node.smoothed_latency - expected) *
                              std::exp(-(now - node.latency_updated_at) / kLatencyDecaySeconds)
             : expected;
}

bool Nodes::is_overtaken(const Node& node, double sent, double now) const {
  return sent < node.latest_answered_sent_at && now - sent > kSilenceLatencies * node.smoothed_latency;
}

// The decayed latency or, if greater, the age of the oldest pending part that no later one has overtaken: a
// node that doesn't answer must not look like one without samples.
double Nodes::latency_estimate(const Node& node, double now) const {
  auto value = decayed_latency(node, expected_latency(node, now), now);
  const auto oldest = node.pending_sent_at.upper_bound(node.latest_answered_sent_at);
  if (oldest != node.pending_sent_at.end()) value = std::max(value, now - *oldest);
  return std::max(value, 1e-3);
}

// Calls whose answers count as lost are left out.
std::size_t Nodes::pending_calls(const Node& node, double now) const {
  const auto lost = std::count_if(node.pending_sent_at.begin(),
                                  node.pending_sent_at.lower_bound(node.latest_answered_sent_at),
                                  [&](double sent) { return is_answer_lost(node, sent, now); });
  return node.pending_batches.size() - std::min(node.pending_batches.size(), static_cast<std::size_t>(lost));
}

// Parts of other routers for which the report of the end hasn't come are left out after a while.
double Nodes::peer_pending_parts(const Node& node, double now) const {
  const auto from = now - kSilenceLatencies * std::max({double(mean_latency), median_latency,
                                                        node.smoothed_latency, node.peer_latency});
  return static_cast<double>(std::distance(node.peer_sent_at.lower_bound(from), node.peer_sent_at.end()));
}

// Whether a part sent there now goes into the batch of the parts sent before it at the same time.
bool Nodes::joins_open_batch(const Node& node, double now) const {
  const auto open = node.pending_batches.find(node.open_batch);
  return node.open_batch_at == now && open != node.pending_batches.end() && open->second < max_parts_per_call;
}

double Nodes::site_score_factor(const Node& node, bool may_probe, std::ranlux24_base& random) const {
  const auto* share = site_share(node);
  if (share == nullptr || share->share >= 1) return 1;
  if (share->lost) return share->probe_allowed && may_probe ? 1 / kReducedSiteScoreFactor : 0;
  return std::uniform_real_distribution<>(0, 1)(random) < share->share ? 1 : kReducedSiteScoreFactor;
}

// When a lost site returns, its nodes and the path to them start without samples and without suspicion.
void Nodes::set_site_shares(std::span<const SiteShare> shares) {
  const auto before = std::exchange(sites, std::vector<SiteShare>(shares.begin(), shares.end()));
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

// A node becomes suspect by kSuspectAfterFailures failures in a row or by an overdue answer. Each probe costs
// a query, so the interval between probes doubles.
void Nodes::update_suspicion(Node& node, double now) {
  const auto silent =
      !node.pending_sent_at.empty() && node.last_answer_at < *node.pending_sent_at.begin() &&
      now - *node.pending_sent_at.begin() >
          kSilenceLatencies * std::max({double(mean_latency), median_latency, node.smoothed_latency});
  // Only a success ends the state: an unanswered probe times out long before there could be a second one.
  if (!silent && node.consecutive_failures < (node.suspect ? 1 : kSuspectAfterFailures)) {
    node.suspect = false;
    node.probe_interval = kMinProbeIntervalSeconds;
  } else if (!node.suspect || now >= node.next_probe_at) {
    if (node.suspect && node.pending_sent_at.empty() && node.consecutive_failures == node.failures_seen)
      return;  // the probe has not been sent yet
    node.probe_interval =
        node.suspect ? std::min(2 * node.probe_interval, kMaxProbeIntervalSeconds) : kMinProbeIntervalSeconds;
    node.suspect = true;
    node.next_probe_at = now + node.probe_interval;
  }
  node.failures_seen = node.consecutive_failures;
}

// A node that isn't suspect and has neither pending parts nor peer reports doesn't change until it is marked
// active again. In a fleet of thousands of nodes nearly all are in that state.
void Nodes::tick(double now) {
  for_each_active([&](std::size_t i, Node& node) {
    update_suspicion(node, now);
    node.peer_sent_at.erase(node.peer_sent_at.begin(),
                            node.peer_sent_at.lower_bound(now - kPeerPartsKeptSeconds));
    active[i] = node.suspect || !node.pending_sent_at.empty() || !node.peer_sent_at.empty();
  });
  nodes_up = listed_nodes_up;
}

// Estimated latency times the calls and parts that would be pending there.
double Nodes::score(const Node& node, double now) const {
  return (is_avoided(node, now) ? kAvoidedScoreFactor : 1) * latency_estimate(node, now) *
         (static_cast<double>(pending_calls(node, now)) + peer_pending_parts(node, now) +
          (joins_open_batch(node, now) ? kJoinedCallCost : 1));
}

// A slow path between zones affects all nodes behind it: nodes without recent samples are assumed to have the
// latency of their path. Under load the quickest answers stay quick, over a slow path they don't: by this the
// two are distinguished. Known weakness: if all nodes of a zone have equally long queues, the zone is avoided
// as if its path were slow.
void Nodes::compare_paths(double now, double last_tick_at) {
  std::vector<Sample> all_samples;
  std::vector<std::vector<Sample>> by_path;
  std::vector<std::ptrdiff_t> answers;
  for (auto& path : paths) {
    const auto& samples = by_path.emplace_back(path.latencies.recent(now));
    answers.push_back(
        std::count_if(samples.begin(), samples.end(), [](auto& sample) { return !sample.censored; }));
  }
  for_each_active([&](std::size_t, const Node& node) {
    if (node.zone == kNone) return;
    const auto path = static_cast<std::size_t>(node.zone);
    if (node.suspect && answers[path] > 0) return;  // other nodes there answer: it is the node, not the path
    for (const auto sent : node.pending_sent_at)
      if (now - sent <= kLoadWindowSeconds && !is_answer_lost(node, sent, now))
        by_path[path].push_back({now - sent, true});
  });
  for (const auto& samples : by_path) all_samples.insert(all_samples.end(), samples.begin(), samples.end());
  median_latency = quantile(all_samples, 0.5);
  std::vector<double> quick;
  auto nearest = kNever;
  for (std::size_t i = 0; i < paths.size(); ++i) {
    quick.push_back(quantile(by_path[i], kQuickQuantile));
    if (answers[i] > 0) nearest = std::min(nearest, quick.back());
  }
  for (std::size_t i = 0; i < paths.size(); ++i) {
    auto& path = paths[i];
    const auto extra_delay = quick[i] - nearest;
    // While a path is avoided the only samples are the ages of the pending parts there.
    path.extra_delay *= static_cast<double>(answers[i]) >= kPriorSamples
                            ? 0
                            : std::exp(-(now - last_tick_at) / kLatencyDecaySeconds);
    if (extra_delay > kSlowPathLatencies * std::max<double>(mean_latency, median_latency))
      path.extra_delay = std::max(path.extra_delay, extra_delay);
  }
}

void Nodes::record_latency(Node& node, double latency, bool success, double now) {
  // The older the last sample, the more weight a new one has.
  const auto decayed = decayed_latency(node, expected_latency(node, now), now);
  const auto weight =
      1 - (1 - kLatencySampleWeight) * std::exp(-(now - node.latency_updated_at) / kLatencyDecaySeconds);
  node.smoothed_latency = decayed > 0 ? decayed + weight * (latency - decayed) : latency;
  node.latency_updated_at = now;
  if (!success) update_suspicion(node, now);
}
}  // namespace yoketurn::policy
