// Whether this router takes part in its fleet's service: what orders and its own doubt make it do, and what
// it refuses to do. No I/O. Times are on the router's monotonic clock, but for what an order says, which is
// wall time: it is turned into time left when the order is taken, so that a later step of the wall clock
// neither ends an order nor prolongs it.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "time/wall_time.hpp"

namespace yoketurn {

// From the mildest. The first three are done once, the next two hold until the order's end or `back`.
enum class Step : std::uint8_t { ask_again, follow, read_again, step_aside, shut_out, back, last };

struct Order {
  long long term = 0, number = 0;  // of the auditor; of the order within its term
  std::string router;
  Step step = Step::ask_again;
  std::string why;
  double until = 0;   // Unix time at which it lapses by itself
  std::string agent;  // follow: where discovery is to be followed
};

enum class Verdict : std::uint8_t {
  taken,
  known,  // the same as the last one: nothing is done again
  lower_term,
  old_number,
  of_another,
  lapsed,
  too_long,   // until later than an order may hold
  site_lost,  // nobody goes while a site is lost
  draining,   // it ends anyway
  last
};

// aside: its health says no, and it serves what still comes. out: it takes no new query. returning: it has
// been out and takes a growing share.
enum class Taking : std::uint8_t { in, aside, out, returning, last };

std::string_view name(Step step);
std::string_view name(Verdict verdict);
std::string_view name(Taking taking);

class Service {
 public:
  struct Limits {
    bool alone = false;    // acts on its own doubt without an order
    double share = 0.1;    // of those that doubt for long that step aside by themselves
    double longest = 900;  // that an order may hold
    bool operator==(const Limits&) const = default;
  };
  struct State {  // of the router, as far as it binds what it may do
    bool site_lost = false, draining = false;
    double doubted_since = 0;  // 0: it has no doubt
  };

  Service(const Limits& limits, std::string router, std::uint64_t seed);
  void limit(const Limits& limits) { limits_ = limits; }

  // Steps that are to be done now come out of tick() or here; those that hold change taking().
  Verdict order(const Order& order, const State& state, WallTime wall_now, double now);
  std::vector<Step> tick(const State& state, double now);

  Taking taking() const { return taking_; }
  bool healthy() const { return taking_ == Taking::in || taking_ == Taking::returning; }
  bool bars(double now);  // whether this new query is not taken
  double since() const { return since_; }
  const std::string& why() const { return why_; }  // of the state it is in
  const Order& last() const { return last_; }      // the last one taken
  bool by_order() const { return until_ > 0; }

 private:
  void enter(Taking taking, std::string why, double now);
  void leave(std::string why, double now);

  Limits limits_;
  std::string router_;
  std::ranlux24_base chance_;
  Taking taking_ = Taking::in;
  double since_ = 0;
  double until_ = 0;  // when its order lapses; 0: by itself, or in
  std::string why_;
  Order last_;
  double asked_at_ = 0, pause_ = 0;  // by itself
  bool drawn_ = false;               // in this doubt
};

}  // namespace yoketurn
