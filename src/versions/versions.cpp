#include "versions/versions.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yoketurn {

namespace {

constexpr std::string_view kInputNames[] = {"list", "configuration", "operators", "build"};
constexpr std::string_view kActionNames[] = {"first", "copy", "resent",   "unsent",
                                             "whole", "part", "rejected", "aborted"};
constexpr std::string_view kStalenessNames[] = {"silent",      "gap",     "unusable", "contradicts",
                                                "turned_away", "refused", "kept"};
static_assert(std::size(kInputNames) == kVersionedInputCount &&
              std::size(kActionNames) == kRouterActionCount &&
              std::size(kStalenessNames) == kStalenessKindCount);

// So many calls in a row that a node rejects or refuses, over at least this time, count against the list.
constexpr int kMinRejectedCalls = 5;
constexpr double kMinRejectionSeconds = 1.5;

}  // namespace

std::string_view name(VersionedInput input) {
  return kInputNames[static_cast<std::size_t>(input)];
}
std::string_view name(RouterAction action) {
  return kActionNames[static_cast<std::size_t>(action)];
}
std::string_view name(StalenessKind kind) {
  return kStalenessNames[static_cast<std::size_t>(kind)];
}

std::array<std::uint64_t, kRouterActionCount> Interval::total_actions() const {
  std::array<std::uint64_t, kRouterActionCount> totals{};
  for (const auto& of_vertical : actions)
    for (std::size_t i = 0; i < kRouterActionCount; ++i) totals[i] += of_vertical[i];
  return totals;
}

VersionTracker::VersionTracker(const Limits& limits, int verticals, double now)
    : limits_(limits), started_at_(now), last_watch_data_at_(now) {
  open_interval_.started_at = now;
  open_interval_.actions.resize(static_cast<std::size_t>(verticals));
}

bool VersionTracker::apply_list(long long count, std::uint64_t hash, std::string_view source, bool full,
                                double received_at, double now) {
  on_watch_data(now);
  const auto& previous = version(VersionedInput::list);
  const auto other_source = previous.epoch > 0 && previous.source != source;
  if (full) {
    // A whole list replaces any change that was missed.
    clear_suspicion(StalenessKind::gap);
    clear_suspicion(StalenessKind::unusable);
    clear_suspicion(StalenessKind::contradicts);
  }
  const auto same_count = previous.epoch > 0 && !other_source && count == previous.count;
  if (same_count && hash == previous.hash) return false;
  if (same_count) suspect(StalenessKind::contradicts, now, static_cast<double>(count));
  Version next{count, previous.epoch, hash, std::string(source), received_at, now};
  if (previous.epoch == 0 || other_source || count < previous.count) ++next.epoch;
  start_interval(VersionedInput::list, std::move(next), now);
  return true;
}

bool VersionTracker::apply_file(VersionedInput input, std::uint64_t hash, std::string_view source,
                                double now) {
  const auto& previous = version(input);
  if (previous.epoch > 0 && previous.hash == hash && previous.source == source) return false;
  Version next{previous.count + 1, previous.epoch, hash, std::string(source), now, now};
  if (previous.epoch == 0 || previous.source != source) {
    ++next.epoch;
    next.count = 1;
  }
  start_interval(input, std::move(next), now);
  return true;
}

void VersionTracker::start_interval(VersionedInput input, Version next, double now) {
  auto closing = open_interval();
  closing.ended_at = now;
  versions_[static_cast<std::size_t>(input)] = std::move(next);
  closed_intervals_.push_back(std::move(closing));
  closed_node_entries_ += closed_intervals_.back().nodes.size();
  while (closed_intervals_.size() > limits_.intervals || closed_node_entries_ > limits_.nodes) {
    if (closed_intervals_.empty()) break;
    dropped_until_ = closed_intervals_.front().ended_at;
    closed_node_entries_ -= closed_intervals_.front().nodes.size();
    closed_intervals_.pop_front();
  }
  ++open_interval_.number;
  open_interval_.changed_input = input;
  open_interval_.started_at = now;
  for (std::size_t i = 0; i < kVersionedInputCount; ++i)
    open_interval_.versions[i] = {versions_[i].count, versions_[i].epoch, versions_[i].hash};
  for (auto& of_vertical : open_interval_.actions) of_vertical.fill(0);
  for (auto& calls : node_calls_) calls = {};
}

Interval VersionTracker::open_interval() const {
  auto so_far = open_interval_;
  for (std::size_t i = 0; i < node_calls_.size(); ++i)
    if (node_calls_[i].sent > 0 || node_calls_[i].unsent > 0) {
      so_far.nodes.push_back(node_calls_[i]);
      so_far.nodes.back().node = static_cast<int>(i);
      if (i < node_names_.size()) so_far.nodes.back().name = node_names_[i];
    }
  return so_far;
}

// --- suspicions

void VersionTracker::suspect(StalenessKind kind, double since, double evidence, int node) {
  auto& suspicion = suspicions_[static_cast<std::size_t>(kind)];
  if (!suspicion) suspicion = StalenessSuspicion{kind, since, 0, kNone};
  suspicion->evidence = evidence;
  suspicion->node = node;
}

void VersionTracker::on_watch_data(double now) {
  last_watch_data_at_ = now;
  clear_suspicion(StalenessKind::silent);
}

void VersionTracker::on_watch_lost(double now) {
  suspect(StalenessKind::silent, last_watch_data_at_, now - last_watch_data_at_);
}

void VersionTracker::on_stale_list(long long count, double now) {
  suspect(StalenessKind::gap, now, static_cast<double>(count));
}

void VersionTracker::on_unusable_list(double now) {
  suspect(StalenessKind::unusable, now, 1);
}

void VersionTracker::on_file_reloaded(bool kept, double now) {
  kept ? suspect(StalenessKind::kept, now, 1) : clear_suspicion(StalenessKind::kept);
}

void VersionTracker::set_node(int node, std::string_view name, bool up) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= rejection_runs_.size()) rejection_runs_.resize(i + 1);
  if (i >= node_names_.size()) node_names_.resize(i + 1);
  if (node_names_[i] != name) {
    node_names_[i] = name;
    rejection_runs_[i] = {};
  }
  if (rejection_runs_[i].up != up) rejection_runs_[i] = {};
  rejection_runs_[i].up = up;
}

void VersionTracker::on_call_ended(int node, Outcome outcome, double now) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= rejection_runs_.size() || !rejection_runs_[i].up) return;
  auto& run = rejection_runs_[i];
  switch (outcome) {
    case Outcome::overloaded:
    case Outcome::unreachable:
      if (run.turned_away + run.refused == 0) run.started_at = now;
      ++(outcome == Outcome::overloaded ? run.turned_away : run.refused);
      return;
    case Outcome::success:
    case Outcome::failure:
    case Outcome::malformed:
      run.turned_away = run.refused = 0;
      return;
    default:  // shows nothing about whether the node takes queries
      return;
  }
}

// A node that rejects all calls is full, or it drains and the list does not say so. If most nodes reject
// calls, the cause is the load, and the list is not suspected.
void VersionTracker::tick(double now, const std::vector<bool>& site_lost) {
  if (auto& silent = suspicions_[static_cast<std::size_t>(StalenessKind::silent)]; silent)
    silent->evidence = now - silent->since;
  int listed = 0, rejecting = 0, refused = 0, last_rejecting = kNone, last_refused = kNone;
  double rejecting_since = now, refused_since = now;
  for (std::size_t i = 0; i < rejection_runs_.size(); ++i) {
    const auto& run = rejection_runs_[i];
    if (!run.up || (i < site_lost.size() && site_lost[i])) continue;
    ++listed;
    if (run.turned_away + run.refused < kMinRejectedCalls || now < run.started_at + kMinRejectionSeconds)
      continue;
    const auto refuses = run.refused > run.turned_away;
    ++(refuses ? refused : rejecting);
    (refuses ? last_refused : last_rejecting) = static_cast<int>(i);
    auto& since = refuses ? refused_since : rejecting_since;
    since = std::min(since, run.started_at);
  }
  const auto is_minority = [&](int nodes) { return nodes > 0 && 2 * nodes < listed; };
  is_minority(rejecting) ? suspect(StalenessKind::turned_away, rejecting_since, rejecting, last_rejecting)
                         : clear_suspicion(StalenessKind::turned_away);
  is_minority(refused) ? suspect(StalenessKind::refused, refused_since, refused, last_refused)
                       : clear_suspicion(StalenessKind::refused);
}

std::vector<StalenessSuspicion> VersionTracker::suspicions() const {
  std::vector<StalenessSuspicion> result;
  for (const auto& suspicion : suspicions_)
    if (suspicion) result.push_back(*suspicion);
  return result;
}

double VersionTracker::suspected_since() const {
  double since = 0;
  for (const auto& suspicion : suspicions_)
    if (suspicion && suspicion->kind != StalenessKind::kept)
      since = since > 0 ? std::min(since, suspicion->since) : suspicion->since;
  return since;
}

}  // namespace yoketurn
