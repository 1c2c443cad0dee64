#include "versions/versions.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yoketurn {

namespace {

constexpr std::string_view kSubjectNames[] = {"list", "configuration", "operators", "build"};
constexpr std::string_view kActNames[] = {"first", "copy", "resent",   "unsent",
                                          "whole", "part", "rejected", "aborted"};
constexpr std::string_view kDoubtNames[] = {"silent",      "gap",     "unusable", "contradicts",
                                            "turned_away", "refused", "kept"};
static_assert(std::size(kSubjectNames) == kSubjects && std::size(kActNames) == kActs &&
              std::size(kDoubtNames) == kDoubts);

constexpr int kRow = 5;            // calls in a row that a node turns away or that are refused ...
constexpr double kRowLasts = 1.5;  // ... for so long, until it is held against the list

}  // namespace

std::string_view name(Subject subject) {
  return kSubjectNames[static_cast<std::size_t>(subject)];
}
std::string_view name(Act act) {
  return kActNames[static_cast<std::size_t>(act)];
}
std::string_view name(Doubt doubt) {
  return kDoubtNames[static_cast<std::size_t>(doubt)];
}

std::array<std::uint64_t, kActs> Interval::sums() const {
  std::array<std::uint64_t, kActs> sums{};
  for (const auto& of_vertical : acts)
    for (std::size_t i = 0; i < kActs; ++i) sums[i] += of_vertical[i];
  return sums;
}

Versions::Versions(const Limits& limits, int verticals, double now)
    : limits_(limits), began_(now), heard_(now) {
  open_.from = now;
  open_.acts.resize(static_cast<std::size_t>(verticals));
}

bool Versions::list(long long count, std::uint64_t hash, std::string_view source, bool full, double told,
                    double now) {
  heard(now);
  const auto& before = version(Subject::list);
  const auto elsewhere = before.epoch > 0 && before.source != source;
  if (full) {
    // The whole list anew is what ends a doubt about what was missed.
    settle(Doubt::gap);
    settle(Doubt::unusable);
    settle(Doubt::contradicts);
  }
  const auto same_count = before.epoch > 0 && !elsewhere && count == before.count;
  if (same_count && hash == before.hash) return false;
  if (same_count) doubt(Doubt::contradicts, now, static_cast<double>(count));
  Version next{count, before.epoch, hash, std::string(source), told, now};
  if (before.epoch == 0 || elsewhere || count < before.count) ++next.epoch;
  begin(Subject::list, std::move(next), now);
  return true;
}

bool Versions::file(Subject subject, std::uint64_t hash, std::string_view source, double now) {
  const auto& before = version(subject);
  if (before.epoch > 0 && before.hash == hash && before.source == source) return false;
  Version next{before.count + 1, before.epoch, hash, std::string(source), now, now};
  if (before.epoch == 0 || before.source != source) {
    ++next.epoch;
    next.count = 1;
  }
  begin(subject, std::move(next), now);
  return true;
}

void Versions::begin(Subject subject, Version next, double now) {
  auto closing = open();
  closing.to = now;
  held_[static_cast<std::size_t>(subject)] = std::move(next);
  closed_.push_back(std::move(closing));
  entries_ += closed_.back().nodes.size();
  while (closed_.size() > limits_.intervals || entries_ > limits_.nodes) {
    if (closed_.empty()) break;
    gap_until_ = closed_.front().to;
    entries_ -= closed_.front().nodes.size();
    closed_.pop_front();
  }
  ++open_.number;
  open_.changed = subject;
  open_.from = now;
  for (std::size_t i = 0; i < kSubjects; ++i) open_.by[i] = {held_[i].count, held_[i].epoch, held_[i].hash};
  for (auto& of_vertical : open_.acts) of_vertical.fill(0);
  for (auto& acts : nodes_) acts = {};
}

Interval Versions::open() const {
  auto so_far = open_;
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    if (nodes_[i].sent > 0 || nodes_[i].unsent > 0) {
      so_far.nodes.push_back(nodes_[i]);
      so_far.nodes.back().node = static_cast<int>(i);
      if (i < names_.size()) so_far.nodes.back().name = names_[i];
    }
  return so_far;
}

// --- doubt

void Versions::doubt(Doubt kind, double since, double evidence, int node) {
  auto& held = doubts_[static_cast<std::size_t>(kind)];
  if (!held) held = Doubted{kind, since, 0, kNone};
  held->evidence = evidence;
  held->node = node;
}

void Versions::heard(double now) {
  heard_ = now;
  settle(Doubt::silent);
}

void Versions::watch_lost(double now) {
  doubt(Doubt::silent, heard_, now - heard_);
}

void Versions::passed_over(long long count, double now) {
  doubt(Doubt::gap, now, static_cast<double>(count));
}

void Versions::unusable(double now) {
  doubt(Doubt::unusable, now, 1);
}

void Versions::kept(bool something, double now) {
  something ? doubt(Doubt::kept, now, 1) : settle(Doubt::kept);
}

void Versions::listed(int node, std::string_view name, bool up) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= runs_.size()) runs_.resize(i + 1);
  if (i >= names_.size()) names_.resize(i + 1);
  if (names_[i] != name) {
    names_[i] = name;
    runs_[i] = {};
  }
  if (runs_[i].up != up) runs_[i] = {};
  runs_[i].up = up;
}

void Versions::ended(int node, Outcome outcome, double now) {
  const auto i = static_cast<std::size_t>(node);
  if (i >= runs_.size() || !runs_[i].up) return;
  auto& run = runs_[i];
  switch (outcome) {
    case Outcome::overloaded:
    case Outcome::unreachable:
      if (run.turned_away + run.refused == 0) run.since = now;
      ++(outcome == Outcome::overloaded ? run.turned_away : run.refused);
      return;
    case Outcome::success:
    case Outcome::failure:
    case Outcome::malformed:
      run.turned_away = run.refused = 0;
      return;
    default:  // says nothing of whether the node takes part
      return;
  }
}

// A node that turns all away is full, or its draining was not told; while most turn away it is the load.
void Versions::tick(double now, const std::vector<bool>& hidden) {
  if (auto& silent = doubts_[static_cast<std::size_t>(Doubt::silent)]; silent)
    silent->evidence = now - silent->since;
  int listed = 0, away = 0, refused = 0, last_away = kNone, last_refused = kNone;
  double away_since = now, refused_since = now;
  for (std::size_t i = 0; i < runs_.size(); ++i) {
    const auto& run = runs_[i];
    if (!run.up || (i < hidden.size() && hidden[i])) continue;
    ++listed;
    if (run.turned_away + run.refused < kRow || now < run.since + kRowLasts) continue;
    const auto refuses = run.refused > run.turned_away;
    ++(refuses ? refused : away);
    (refuses ? last_refused : last_away) = static_cast<int>(i);
    auto& since = refuses ? refused_since : away_since;
    since = std::min(since, run.since);
  }
  const auto few = [&](int many) { return many > 0 && 2 * many < listed; };
  few(away) ? doubt(Doubt::turned_away, away_since, away, last_away) : settle(Doubt::turned_away);
  few(refused) ? doubt(Doubt::refused, refused_since, refused, last_refused) : settle(Doubt::refused);
}

std::vector<Doubted> Versions::doubts() const {
  std::vector<Doubted> found;
  for (const auto& one : doubts_)
    if (one) found.push_back(*one);
  return found;
}

double Versions::doubted_since() const {
  double since = 0;
  for (const auto& one : doubts_)
    if (one && one->kind != Doubt::kept) since = since > 0 ? std::min(since, one->since) : one->since;
  return since;
}

}  // namespace yoketurn
