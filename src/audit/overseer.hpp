// Which orders the auditor gives: from the mildest step to the harshest, each with its evidence and an end,
// and the guards that no order passes. No I/O; times are Unix time of the auditor.
#pragma once

#include <map>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "audit/stragglers.hpp"
#include "versions/service.hpp"

namespace yoketurn::audit {

// A router as far as orders go.
struct Member {
  std::string router, site;
  bool reachable = true, serving = true;
  Participation taking = Participation::in;
  bool sees_site_lost = false;
  Condition condition = Condition::fine;
  VersionedInput subject = VersionedInput::list;
  double since = 0;
  std::string agent;   // another one it may follow; empty: there is none
  std::string doubts;  // in words
};

struct OverseerLimits {
  double of_fleet = 0.25, of_site = 0.5;  // share that may be out of service at once, whatever for
  double sight = 0.6;                     // share of the fleet that must have been heard of lately
  double patience = 3;                    // between two steps
  double lasts = 20;                      // an order that holds; it is given anew while it is needed
  double evidence = 1;  // a router must act as the others do for so long until it is called back
};

// Why a step was not ordered.
enum class Guard : std::uint8_t { none, fleet, site, last_of_site, site_lost, sight, site_behind, last };
std::string_view name(Guard guard);

struct HeldBack {
  std::string router;
  OrderStep step = OrderStep::step_aside;
  Guard guard = Guard::none;
};

class Overseer {
 public:
  // Of a higher term than any that was seen.
  Overseer(const OverseerLimits& limits, long long term) : limits_(limits), term_(term) {}

  std::vector<Order> round(std::span<const Member> fleet, double now);
  // What is known of orders given before, by whomever: those that may still hold count as out.
  void outstanding(const std::string& router, OrderStep step, double until);
  std::vector<HeldBack> held_back() { return std::exchange(held_back_, {}); }
  long long term() const { return term_; }

  // Whether this router may be taken out now; what binds.
  static Guard guard(std::span<const Member> fleet, const std::string& router,
                     const std::map<std::string, double>& out, const OverseerLimits& limits, double now);

 private:
  struct Course {
    int step = -1;                      // of its ladder
    double stepped = 0;                 // when
    OrderStep holds = OrderStep::last;  // what it was told to hold
    double until = 0;
    double good_since = 0;
    Guard told = Guard::none;
  };
  std::vector<OrderStep> ladder(const Member& member) const;
  Order give(const Member& member, OrderStep step, std::string why, double now);

  OverseerLimits limits_;
  long long term_, number_ = 0;
  std::map<std::string, Course> courses_;
  std::map<std::string, double> out_;  // ordered out: until when that may hold
  std::vector<HeldBack> held_back_;
};

}  // namespace yoketurn::audit
