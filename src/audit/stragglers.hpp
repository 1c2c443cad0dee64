// Who is behind the fleet, and for how long. A router is behind where a stated share of the routers that were
// heard of lately act on something newer; it is a straggler once that has lasted longer than a rule allows.
// Not one: a router that is unreachable, has just begun, or stands in a site that is behind or out of reach
// as a whole; and nobody is where the fleet as a whole is behind. No I/O; times are Unix time of the auditor.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "audit/account.hpp"

namespace yoketurn::audit {

// How long is too long.
enum class Rule : std::uint8_t {
  fixed,       // a stated age
  quantile,    // a multiple of the latest lags' 99th percentile
  likelihood,  // an age that the lags' learned distribution (log-normal) leaves one time in a million
  last
};
std::string_view name(Rule rule);

// How long after the stated share of the fleet the others follow, as it was lately.
class Lags {
 public:
  explicit Lags(std::size_t most = 500) : most_(most) {}
  void add(double lag);
  std::size_t many() const { return lags_.size(); }
  double limit(Rule rule, double fixed, double least) const;

 private:
  std::size_t most_;
  std::deque<double> lags_;
};

enum class Condition : std::uint8_t {
  fine,
  behind,  // not for long
  straggler,
  doubts,  // acts on what the others do, but holds it for possible that it is behind
  starting,
  unreachable,
  site_out,     // none of its site can be reached: the site is told
  site_behind,  // all of its site that can be reached are behind alike: the site is told
  apart,        // acts on what nobody else does nor did, and has not been overtaken
  last
};
std::string_view name(Condition condition);

struct Finding {
  std::string router, site;
  Condition condition = Condition::fine;
  VersionedInput subject = VersionedInput::list;
  long long count = 0;  // of what it acts on
  std::uint64_t hash = 0;
  double since = 0;  // of the condition
  double limit = 0;  // behind: when it becomes a straggler, in seconds since then
  double newer = 0;  // share of the fleet that acts on newer
  double bound = 0;  // of the times
};

struct StragglerLimits {
  Rule rule = Rule::quantile;
  double share = 0.5;   // of the fleet that must be ahead
  double fixed = 3;     // seconds behind: of the rule, and of all rules until enough is learned
  double least = 1;     // no limit is shorter
  double scale = 1;     // on what is learned
  double fresh = 3;     // a router that was heard of so long ago is not reachable
  double starting = 5;  // after its start a router is not judged
};

class Stragglers {
 public:
  explicit Stragglers(const StragglerLimits& limits) : limits_(limits) {}
  // All routers at this moment, by name. Learns the lags of those that follow.
  std::vector<Finding> look(const Account& account, double now);
  const Lags& lags(VersionedInput subject) const { return lags_[static_cast<std::size_t>(subject)]; }

 private:
  using Key = std::pair<long long, std::uint64_t>;
  struct Place {  // of a version in the order in which the fleet came to them
    double first = 0;
    std::map<Key, double> left_to;  // the last time a router went from it straight to this one
  };
  struct Current {
    std::string router;
    Key key;
    Acting acting;
    std::vector<Acting> lately;
  };
  void order(const std::vector<Current>& routers, VersionedInput subject);
  bool newer(const Key& one, const Key& than) const;

  StragglerLimits limits_;
  std::array<Lags, kVersionedInputCount> lags_;
  std::map<Key, Place> places_;  // of the subject that is looked at
  // By router: on what it is behind, and since when.
  std::map<std::pair<std::string, VersionedInput>, std::pair<Key, double>> behind_;
  int seen_ = 0;  // routers that were heard of lately
};

}  // namespace yoketurn::audit
