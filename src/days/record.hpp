// What was asked, sent, done and told on one day of the rig: one list of events in the order of their times.
// Times are seconds since the day began, on the rig's one clock. The checker reads nothing else.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace yoketurn::days {

enum class Kind : std::uint8_t {
  // Of a query. router: the one asked.
  asked,       // whole request written; vertical, value: seconds left, number: which try, text: shards "3+5"
  answered,    // number: status, value: Retry-After, text: "whole=1 3+5"
  unanswered,  // the connection ended, or the client gave up; text: why
  // Of a part, at the node's end of the way. id: the query's; number: its step
  sent,     // its frame has come out of the router; text: the idempotency key
  ran,      // its work begins; text: the key
  repeat,   // the same, dropped as its key was done within the window
  served,   // its answer is given to the way
  full,     // turned away
  gave_up,  // the router gives it up
  // Of nodes and of what routers are told.
  node,  // text: started, died, draining, fell; value: its capacity
  told,  // a router of a node; text: ready, draining, gone; number: version
  // Of processes: number: its id or what it ended with; text: started, killed, stopped, resumed, exited
  process,
  fault,     // number: 1 begins, 0 ends; text: what
  site,      // what a router says it believes of a site, as it logs it; text: the line
  standing,  // a router's log line of its doubts, steps, orders
  audit,     // an auditor's log line; router: which auditor
  last
};

struct Event {
  double at = 0;
  Kind kind = Kind::asked;
  int router = -1, node = -1;
  std::string id{};
  int vertical = -1, shard = -1, number = 0;
  double value = 0;
  std::string text{};
};

using Record = std::vector<Event>;

std::string_view name(Kind kind);
std::string to_json(const Event& event);
void write(std::ostream& to, const Record& record);
Record read_record(std::istream& from);  // throws std::runtime_error naming the line

}  // namespace yoketurn::days
