// The interface of the decision module: plain types and the class. All choices are made in brain.cpp.
// Times are seconds on one clock, ids small indices from 0, works seconds of node time.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace yoketurn {

inline constexpr int kNone = -1;

enum class Effect { repeatable, deduplicated, side_effecting };

struct Vertical {
  double slo = 0;          // an answer within it earns the full utility
  double slo_stretch = 0;  // plus this multiple of the query's own work
  double utility = 1;
  double late_utility = 0;  // share of the utility after the SLO time
  Effect effect = Effect::repeatable;
  double window = 0;  // deduplicated: repeats are dropped for so long
  double least = 1;   // share of the weight below which nothing may be merged
  double whole = 1;   // share of the weight that makes a whole answer
  double partial_earns = 0;
  int second_step = 0;  // parts of the second step
};

struct Customer {
  double quota = 0;  // queries a second within its share, over all routers
};

struct Settings {
  std::vector<Vertical> verticals;
  std::vector<Customer> customers;
  int routers = 1;
  int zone = kNone;
  double tick = 0;  // the least time between two rounds
  int max_calls = 1;
  bool may_copy = false;
  bool may_cancel = false;
  bool must_ask_list = false;
  double max_stay_away = 0;
  double over_share = 1;  // utility of what goes over a customer's share
  bool utility_by_work = false;
  int parts_a_call = 1;
  int cells = 1;
  int span = 1;  // cells that hold a shard, from cell (shard mod cells) on
  double start_capacity = 1;
  double cold_time = 0;
  double fall_multiple = 1;
  double fall_time = 0;
  double extra_span = 0;  // 0: no budget is stated
  double extra_free = 0;
  double extra_share = 0;
};

struct Host {
  int node = kNone;
  int zone = kNone;
  int cell = 0;
  bool up = true;   // false: draining or gone
  double born = 0;  // 0: long ago
};

enum class Outcome {
  pending,
  success,
  failure,
  overloaded,
  timed_out,
  unreachable,
  broken,
  spoilt,  // the answer, or another on its connection, could not be read: the node lives, and may have run it
  cancelled,
  unsent
};

struct Call {
  int node = kNone;
  int group = kNone;  // calls of one group travel together
  double sent = 0;
  Outcome outcome = Outcome::pending;
};

struct Leaf {
  int shard = 0;
  double weight = 0;
  double work = 0;  // hint; 0: unknown
  int step = 1;
  bool in = false;  // its answer has arrived
  std::vector<Call> calls;
};

struct Query {
  int vertical = 0;
  int customer = kNone;
  double taken = 0;
  double expires = 0;
  double work = 0;  // hint; 0: unknown
  bool client_retry = false;
  bool no_room = false;  // there are too many in hand to hold it
  bool admitted = false;
  int step = 1;
  int awaited = 0;           // parts of this step that have not been named yet
  bool first_whole = false;  // the first step was merged whole
  bool ended = false;
  std::vector<Leaf> leaves;
};

struct Send {
  int leaf = 0;
  int node = kNone;
  int group = kNone;
  double timeout = 0;
};

struct Cancel {
  int leaf = 0;
  int call = 0;
};

enum class End { none, merge_whole, merge_part, reject, abort };

// What to do for a query: cancels first, then the sends, then the end. Every named send counts as sent.
struct Answer {
  std::vector<Cancel> cancels;
  std::vector<Send> sends;
  End end = End::none;
  double stay_away = 0;
};

class Brain {
 public:
  Brain(const Settings& settings, std::uint64_t seed, double now);
  ~Brain();
  Brain(Brain&&) noexcept;
  Brain& operator=(Brain&&) noexcept;

  // The three questions.
  Answer route(Query& q, double now);
  Answer settle(Query& q, int leaf, int call, double now);  // the outcome stands in the call
  double wait(const Query& q, double now) const;

  void take(int requests, double now);  // so many queries and parts came in
  void list(std::span<const Host> hosts, bool complete);
  void forget(int node);  // gone, with nothing out there: the next of this number is unheard of
  void list_failed(double now);
  bool tick(double now);  // whether the list must be asked for
  double period() const;

 private:
  struct State;
  std::unique_ptr<State> s_;
};

}  // namespace yoketurn
