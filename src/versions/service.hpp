// Whether this router takes part in serving its fleet's queries: applies the auditor's orders, reacts to the
// router's own suspicion that its view is stale, and refuses orders that must not be obeyed. No I/O. Times
// are in seconds on the router's monotonic clock, except for the expiry in an order, which is wall time. It
// is turned into a remaining duration when the order is taken, so that a later step of the wall clock neither
// ends nor prolongs an order.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "time/wall_time.hpp"

namespace yoketurn {

// From the mildest. The first three are done once, step_aside and shut_out hold until the order expires or
// `back` comes.
enum class OrderStep : std::uint8_t {
  ask_again,   // request the node list again
  follow,      // follow discovery at another agent
  read_again,  // read the configuration and the operators' file again
  step_aside,  // report as unhealthy, but serve the queries that still arrive
  shut_out,    // reject all new queries
  back,        // end step_aside or shut_out
  last         // the number of steps
};

struct Order {
  long long term = 0, number = 0;  // the auditor's term; the order's number within it
  std::string router;
  OrderStep step = OrderStep::ask_again;
  std::string reason;
  double expires_at = 0;        // Unix time
  std::string discovery_agent;  // follow: the address of the agent
};

enum class OrderVerdict : std::uint8_t {
  taken,
  known,       // the same order as the last one; nothing is done again
  lower_term,  // of an auditor that has been replaced
  old_number,
  of_another,  // for another router
  lapsed,
  too_long,   // expires later than an order may hold
  site_lost,  // no router leaves the service while a site is lost
  draining,   // the router is shutting down anyway
  last        // the number of verdicts
};

enum class Participation : std::uint8_t {
  in,
  aside,      // reports as unhealthy, but serves the queries that still arrive
  out,        // rejects all new queries
  returning,  // was out and accepts a growing share of new queries
  last        // the number of states
};

std::string_view name(OrderStep step);
std::string_view name(OrderVerdict verdict);
std::string_view name(Participation participation);

class ParticipationController {
 public:
  struct Limits {
    bool act_without_orders = false;  // whether the router reacts to its own suspicion without an order
    double step_aside_share = 0.1;    // of the routers with a lasting suspicion that step aside by themselves
    double max_order_seconds = 900;
    bool operator==(const Limits&) const = default;
  };
  // What restricts the orders that the router may obey.
  struct RouterState {
    bool site_lost = false, draining = false;
    double suspected_since = 0;  // since when it suspects its view to be stale; 0: it does not
  };

  ParticipationController(const Limits& limits, std::string router, std::uint64_t seed);
  void set_limits(const Limits& limits) { limits_ = limits; }

  // If the order is taken, the caller carries out a step that is done once; a step that holds changes
  // participation().
  OrderVerdict apply_order(const Order& order, const RouterState& state, WallTime wall_now, double now);
  // Returns the steps to carry out now without an order.
  std::vector<OrderStep> tick(const RouterState& state, double now);

  Participation participation() const { return participation_; }
  bool healthy() const {
    return participation_ == Participation::in || participation_ == Participation::returning;
  }
  // Whether to reject this new query; random while returning.
  bool rejects_new_query(double now);
  double state_since() const { return state_since_; }
  const std::string& state_reason() const { return state_reason_; }
  const Order& last_order() const { return last_order_; }  // the last one taken
  bool holds_by_order() const { return order_expires_at_ > 0; }

 private:
  void set_state(Participation participation, std::string reason, double now);
  void end_absence(std::string reason, double now);

  Limits limits_;
  std::string router_;
  std::ranlux24_base random_;
  Participation participation_ = Participation::in;
  double state_since_ = 0;
  double order_expires_at_ = 0;  // monotonic; 0: no order holds
  std::string state_reason_;
  Order last_order_;
  // Of requests for the node list without an order. The start is shifted at random, so that routers don't
  // send their requests at the same time.
  double request_interval_start_ = 0, request_interval_ = 0;
  bool step_aside_decided_ = false;  // whether it was drawn in this suspicion
};

}  // namespace yoketurn
