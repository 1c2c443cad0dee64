// What the auditor knows of many routers: what each said of itself, and the intervals of versions it acted
// by. From it follow who acts on what, how a version spread, who is behind and who contradicts whom. No I/O.
// What arrives is merged: the same account comes of any order of arrival, and of what comes twice. All times
// are Unix time on the auditor's clock; a router's own times are moved by the offset that its exchanges
// bound.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "versions/record.hpp"

namespace yoketurn::audit {

// A router's word as it reached the auditor.
struct Seen {
  VersionReport stand;
  double at = 0;      // when it came
  double offset = 0;  // of the router's clock, over the auditor's
  double bound = 0;   // by which that may be wrong, either way
};

// One process of a router.
struct Life {
  double began = 0;  // by its own clock, as it is named
  double offset = 0, bound = 1e9;
  double first_seen = 0, last_seen = 0;  // by the auditor
  double gap_until = 0;                  // what ended by then is not known, by the router's own clock
  std::map<std::uint64_t, Interval> intervals;
  std::vector<std::string> verticals;
};

struct RouterAccount {
  std::string name, site;
  std::optional<Seen> last;  // the latest word
  double reached = 0;        // when it last answered
  double missed = 0;         // since when it does not; 0: it does
  std::map<double, Life> lives;
};

// What a router acts on of one subject, one after the other. Lists are told apart by count and content, all
// else by content.
struct Acting {
  long long count = 0;
  int epoch = 0;
  std::uint64_t hash = 0;
  double from = 0, to = 0;  // to: 0 while it does
  double bound = 0;         // of both times
  double life = 0;          // the process's beginning
  // Of what it is: two with the same key are the same version.
  std::pair<long long, std::uint64_t> key(VersionedInput subject) const {
    return {subject == VersionedInput::list ? count : 0, hash};
  }
};

// How one version came to all.
struct Spread {
  VersionedInput subject = VersionedInput::list;
  long long count = 0;
  std::uint64_t hash = 0;
  double first = 0;                                   // when the first router acted on it
  double bound = 0;                                   // of the times
  std::vector<std::pair<double, std::string>> acted;  // by time
  std::vector<std::string> skipped;                   // acted on later ones without it
  std::vector<std::string> behind;                    // act on older ones
  std::vector<std::string> unknown;                   // not seen, or in a gap
  double quantile(double share) const;                // of the times since the first
};

enum class ForkKind : std::uint8_t { two_contents, two_processes, went_back };
struct Fork {
  ForkKind kind = ForkKind::two_contents;
  std::string one, other;  // routers
  long long count = 0;
  std::uint64_t hash_one = 0, hash_other = 0;
  double at = 0;
};
std::string_view name(ForkKind kind);

struct NodeSender {
  std::string router;
  long long count = 0;  // of the list it acted on
  std::uint64_t hash = 0;
  std::uint64_t sent = 0, unsent = 0;
  double first = 0, last = 0, bound = 0;
};

class Account {
 public:
  void take(const Seen& seen);
  void take(const std::string& router, double began, const ReportedInterval& told);
  void missed(const std::string& router, double at);  // it did not answer
  void expect(const std::string& router, const std::string& site);
  void forget_before(double at);  // intervals that ended earlier

  const std::map<std::string, RouterAccount>& routers() const { return routers_; }
  // What ended before `since` is left out.
  std::vector<Acting> acting(const std::string& router, VersionedInput subject, double since = 0) const;
  std::optional<Acting> now_acting(const std::string& router, VersionedInput subject) const;
  std::vector<Spread> spreads(VersionedInput subject) const;
  std::vector<Fork> forks(double since = 0) const;  // by what did not end before
  std::vector<NodeSender> senders(const std::string& node) const;
  // What is not known of a router: spans in the auditor's time.
  std::vector<std::pair<double, double>> holes(const std::string& router) const;

 private:
  RouterAccount& of(const std::string& router);
  std::map<std::string, RouterAccount> routers_;
};

}  // namespace yoketurn::audit
