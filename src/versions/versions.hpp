// Tracks which versions of its inputs (the node list, its configuration, the operators' file, the program)
// this router acts on and since when, and counts what it did by each. The record is a sequence of intervals
// in which no version changed. Also tracks reasons to suspect that the router's view is stale. No I/O; times
// are in seconds on the router's own clock. Counting a query allocates nothing; a change of version starts an
// interval and may allocate. Memory is bounded: the end of the dropped intervals is known.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing_policy.hpp"

namespace yoketurn {

enum class VersionedInput : std::uint8_t { list, configuration, operators, build, last };
inline constexpr std::size_t kVersionedInputCount = static_cast<std::size_t>(VersionedInput::last);

// The version of one input that is acted on. Counts of different epochs are never compared: an epoch ends
// when the source changes or its count starts again.
struct Version {
  long long count = 0;     // the source's sequence number; of files: how often they were read
  int epoch = 0;           // 0: no version yet
  std::uint64_t hash = 0;  // of the whole content
  std::string source;
  double received_at = 0, applied_at = 0;
};

// What a router does by its versions, for the counts of an interval.
enum class RouterAction : std::uint8_t {
  first,   // the first call of a part
  copy,    // a hedged copy
  resent,  // a call after one that failed
  unsent,  // a call of these three kinds that never left the router or reached no node
  whole,   // a query merged with all its weight
  part,    // a query merged with a part of it
  rejected,
  aborted,
  last  // the number of actions
};
inline constexpr std::size_t kRouterActionCount = static_cast<std::size_t>(RouterAction::last);

// Calls to one node in an interval.
struct NodeCalls {
  int node = kNone;
  std::string name;  // set when the interval closes or is reported, as node numbers are reused
  std::uint32_t sent = 0, unsent = 0;
  double first_sent_at = 0, last_sent_at = 0;
};

struct Interval {
  std::uint64_t number = 0;
  VersionedInput changed_input = VersionedInput::list;  // whose change started the interval
  double started_at = 0, ended_at = 0;                  // ended_at: 0 while it is open
  struct AppliedVersion {
    long long count = 0;
    int epoch = 0;
    std::uint64_t hash = 0;
  };
  std::array<AppliedVersion, kVersionedInputCount> versions{};         // by input
  std::vector<std::array<std::uint32_t, kRouterActionCount>> actions;  // by vertical
  std::vector<NodeCalls> nodes;                                        // that were sent to
  std::array<std::uint64_t, kRouterActionCount> total_actions() const;
};

// Why a router suspects that its view is stale.
enum class StalenessKind : std::uint8_t {
  silent,       // the discovery watch has sent nothing for longer than its heartbeat allows
  gap,          // a change arrived whose count is not above the present one: the count has started again
  unusable,     // a change could not be read
  contradicts,  // the same count of the same source arrived with other content
  turned_away,  // some nodes listed as ready have rejected all calls as overloaded for a while
  refused,      // some nodes listed as ready have refused all connections for a while
  kept,         // a file was read again, and something in it can't be applied while the router runs
  last          // the number of kinds
};
inline constexpr std::size_t kStalenessKindCount = static_cast<std::size_t>(StalenessKind::last);

struct StalenessSuspicion {
  StalenessKind kind = StalenessKind::silent;
  double since = 0;
  double evidence = 0;  // silent: seconds; gap, contradicts: the count; others: the number of nodes
  int node = kNone;     // the latest node that gave rise to it
};

std::string_view name(VersionedInput input);
std::string_view name(RouterAction action);
std::string_view name(StalenessKind kind);

class VersionTracker {
 public:
  struct Limits {
    std::size_t intervals = 8;  // kept in addition to the open one
    std::size_t nodes = 1024;   // NodeCalls entries in all closed intervals
  };
  VersionTracker(const Limits& limits, int verticals, double now);

  // A version is acted on from now on. A list may repeat the present version: then no interval starts.
  // full: the whole list, not a change. Returns whether the version changed.
  bool apply_list(long long count, std::uint64_t hash, std::string_view source, bool full, double received_at,
                  double now);
  bool apply_file(VersionedInput input, std::uint64_t hash, std::string_view source, double now);
  void set_limits(const Limits& limits) { limits_ = limits; }

  // The next three are called for each query or call and don't allocate.
  void record_sent(int vertical, RouterAction action, int node, double now) {
    ++open_interval_.actions[static_cast<std::size_t>(vertical)][static_cast<std::size_t>(action)];
    auto& calls = calls_to(node);
    if (calls.sent++ == 0) calls.first_sent_at = now;
    calls.last_sent_at = now;
  }
  void record_unsent(int vertical, int node) {
    ++open_interval_
          .actions[static_cast<std::size_t>(vertical)][static_cast<std::size_t>(RouterAction::unsent)];
    ++calls_to(node).unsent;
  }
  void record_query_end(int vertical, RouterAction action) {
    ++open_interval_.actions[static_cast<std::size_t>(vertical)][static_cast<std::size_t>(action)];
  }
  void on_call_ended(int node, Outcome outcome, double now);  // for the suspicions

  void on_watch_data(double now);  // the discovery watch has sent anything
  void on_watch_lost(double now);
  void on_stale_list(long long count, double now);  // a change whose count is not above the present one
  void on_unusable_list(double now);
  // kept: something in a file that was read again can't be applied while the router runs.
  void on_file_reloaded(bool kept, double now);
  void set_node(int node, std::string_view name, bool up);  // after apply_list()
  // Updates the suspicions. site_lost: by node, whether its site is lost; its rejections then count for
  // nothing.
  void tick(double now, const std::vector<bool>& site_lost);

  const Version& version(VersionedInput input) const { return versions_[static_cast<std::size_t>(input)]; }
  Interval open_interval() const;  // its counts so far
  const std::deque<Interval>& closed_intervals() const { return closed_intervals_; }
  std::uint64_t open_interval_number() const { return open_interval_.number; }
  double started_at() const { return started_at_; }
  std::string_view node_name(int node) const {
    return node >= 0 && static_cast<std::size_t>(node) < node_names_.size()
               ? node_names_[static_cast<std::size_t>(node)]
               : std::string_view();
  }
  std::uint64_t oldest_interval_number() const {
    return closed_intervals_.empty() ? open_interval_.number : closed_intervals_.front().number;
  }
  // Intervals that ended by this time have been dropped; 0: none has.
  double dropped_until() const { return dropped_until_; }
  std::vector<StalenessSuspicion> suspicions() const;
  // Since when the node list is suspected, as the list is what the router can request again; 0: it is not.
  double suspected_since() const;

 private:
  // Calls to a node in a row that were rejected or whose connection was refused, without any other end.
  struct RejectionRun {
    bool up = false;
    int turned_away = 0, refused = 0;
    double started_at = 0;
  };
  NodeCalls& calls_to(int node) {
    const auto i = static_cast<std::size_t>(node);
    if (i >= node_calls_.size()) node_calls_.resize(i + 1);  // only after a list has brought a new node
    return node_calls_[i];
  }
  void start_interval(VersionedInput input, Version next, double now);
  void suspect(StalenessKind kind, double since, double evidence, int node = kNone);
  void clear_suspicion(StalenessKind kind) { suspicions_[static_cast<std::size_t>(kind)].reset(); }

  Limits limits_;
  double started_at_;
  std::array<Version, kVersionedInputCount> versions_{};  // acted on now
  Interval open_interval_;
  std::vector<NodeCalls> node_calls_;  // of the open interval, by node
  std::deque<Interval> closed_intervals_;
  std::size_t closed_node_entries_ = 0;  // NodeCalls entries in closed_intervals_
  double dropped_until_ = 0;
  std::array<std::optional<StalenessSuspicion>, kStalenessKindCount> suspicions_;
  std::vector<RejectionRun> rejection_runs_;  // by node
  std::vector<std::string> node_names_;       // by node
  double last_watch_data_at_ = 0;
};

}  // namespace yoketurn
