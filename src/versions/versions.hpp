// Which versions this router acts on (of the list, its configuration, the operators' file, the program),
// since when, and what it did by each: intervals in which no version changed, with counts of what was done.
// And its own doubt, that it may be behind. No I/O; times are seconds on the router's own clock. Nothing is
// allocated for what a query does; a change of version begins an interval and may allocate. Bounded: what was
// dropped is a stated gap.
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

enum class Subject : std::uint8_t { list, configuration, operators, build, last };
inline constexpr std::size_t kSubjects = static_cast<std::size_t>(Subject::last);

// What is acted on of one subject. Counts of two epochs are never compared: an epoch ends where the source
// changes or its count starts again.
struct Version {
  long long count = 0;     // as the source counts; of files: how often they were read
  int epoch = 0;           // 0: nothing is known yet
  std::uint64_t hash = 0;  // of the whole content
  std::string source;
  double told = 0, acted = 0;
};

// What is done by a version.
enum class Act : std::uint8_t {
  first,
  copy,
  resent,
  unsent,  // of the three before: never left this router, or reached nobody
  whole,
  part,
  rejected,
  aborted,
  last
};
inline constexpr std::size_t kActs = static_cast<std::size_t>(Act::last);

struct NodeActs {
  int node = kNone;
  std::string name;  // filled when it is told or its interval closes: numbers are given again
  std::uint32_t sent = 0, unsent = 0;
  double first = 0, last = 0;  // when it was sent to
};

struct Interval {
  std::uint64_t number = 0;
  Subject changed = Subject::list;  // what began it
  double from = 0, to = 0;          // to: 0 while it is open
  struct Held {
    long long count = 0;
    int epoch = 0;
    std::uint64_t hash = 0;
  };
  std::array<Held, kSubjects> by{};
  std::vector<std::array<std::uint32_t, kActs>> acts;  // by vertical
  std::vector<NodeActs> nodes;                         // that were sent to
  std::array<std::uint64_t, kActs> sums() const;
};

// Why a router holds it for possible that it is behind.
enum class Doubt : std::uint8_t {
  silent,       // the watch has said nothing for longer than its heartbeat allows
  gap,          // a change came whose count is not above the one held: the count has started again
  unusable,     // a change that could not be read
  contradicts,  // the same count of the same source came with another content
  turned_away,  // nodes that are listed ready turn all away for a while
  refused,      // the same: connections to them are refused
  kept,         // a file was read again and something of it can't be used while the router runs
  last
};
inline constexpr std::size_t kDoubts = static_cast<std::size_t>(Doubt::last);

struct Doubted {
  Doubt kind = Doubt::silent;
  double since = 0;
  double evidence = 0;  // silent: seconds; gap, contradicts: the count; others: how many nodes
  int node = kNone;     // the latest it hangs on
};

std::string_view name(Subject subject);
std::string_view name(Act act);
std::string_view name(Doubt doubt);

class Versions {
 public:
  struct Limits {
    std::size_t intervals = 8;  // that are kept beside the open one
    std::size_t nodes = 1024;   // entries of nodes in all of them
  };
  Versions(const Limits& limits, int verticals, double now);

  // Acted on from now on; told: when it came. A list may say the same again: then nothing begins.
  // Returns whether a version changed.
  bool list(long long count, std::uint64_t hash, std::string_view source, bool full, double told, double now);
  bool file(Subject subject, std::uint64_t hash, std::string_view source, double now);
  void bound(const Limits& limits) { limits_ = limits; }

  // On the path of a query.
  void sent(int vertical, Act act, int node, double now) {
    ++open_.acts[static_cast<std::size_t>(vertical)][static_cast<std::size_t>(act)];
    auto& acts = of(node);
    if (acts.sent++ == 0) acts.first = now;
    acts.last = now;
  }
  void unsent(int vertical, int node) {
    ++open_.acts[static_cast<std::size_t>(vertical)][static_cast<std::size_t>(Act::unsent)];
    ++of(node).unsent;
  }
  void answered(int vertical, Act act) {
    ++open_.acts[static_cast<std::size_t>(vertical)][static_cast<std::size_t>(act)];
  }
  void ended(int node, Outcome outcome, double now);  // of a call, for the doubts

  void heard(double now);  // anything of the watch
  void watch_lost(double now);
  void passed_over(long long count, double now);  // a change whose count is not above the one held
  void unusable(double now);
  void kept(bool something, double now);                  // of a file that was read again
  void listed(int node, std::string_view name, bool up);  // after list()
  // Looks at the doubts, a node's run of refusals among them; hidden: at a site held for lost.
  void tick(double now, const std::vector<bool>& hidden);

  const Version& version(Subject subject) const { return held_[static_cast<std::size_t>(subject)]; }
  Interval open() const;  // the one that goes on, so far
  const std::deque<Interval>& closed() const { return closed_; }
  std::uint64_t number() const { return open_.number; }
  double began() const { return began_; }
  std::string_view name_of(int node) const {
    return node >= 0 && static_cast<std::size_t>(node) < names_.size()
               ? names_[static_cast<std::size_t>(node)]
               : std::string_view();
  }
  std::uint64_t oldest() const { return closed_.empty() ? open_.number : closed_.front().number; }
  double gap_until() const { return gap_until_; }  // intervals that ended by then are dropped; 0: none
  std::vector<Doubted> doubts() const;
  double doubted_since() const;  // of its list, as that is what it can ask for again; 0: there is no doubt

 private:
  struct Run {  // of calls to a node that were turned away or refused without any other end
    bool up = false;
    int turned_away = 0, refused = 0;
    double since = 0;
  };
  NodeActs& of(int node) {
    const auto i = static_cast<std::size_t>(node);
    if (i >= nodes_.size()) nodes_.resize(i + 1);  // a number is new only when a list has brought it
    return nodes_[i];
  }
  void begin(Subject subject, Version next, double now);
  void doubt(Doubt kind, double since, double evidence, int node = kNone);
  void settle(Doubt kind) { doubts_[static_cast<std::size_t>(kind)].reset(); }

  Limits limits_;
  double began_;
  std::array<Version, kSubjects> held_{};
  Interval open_;
  std::vector<NodeActs> nodes_;  // of the open interval, by number
  std::deque<Interval> closed_;
  std::size_t entries_ = 0;  // of nodes in closed_
  double gap_until_ = 0;
  std::array<std::optional<Doubted>, kDoubts> doubts_;
  std::vector<Run> runs_;
  std::vector<std::string> names_;  // of nodes, by number
  double heard_ = 0;
};

}  // namespace yoketurn
