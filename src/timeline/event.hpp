// One event of the time line: a plain value of 40 bytes, the same in memory and on disk (little-endian).
// Times are seconds on the router's own clock.
#pragma once

#include <cstdint>
#include <cstring>
#include <optional>
#include <string_view>
#include <type_traits>

#include "routing_policy.hpp"

namespace yoketurn {

// What happened; behind it the meaning of `why` and of the figures a, b, c.
enum class What : std::uint8_t {
  // Of a node.
  known,      // its line begins; c: -
  ready,      // state as told; version
  draining,   // the same
  gone,       // the same
  belief,     // why: Belief
  report,     // its load as it says: a: in flight, b: queue, c: the report's age; why: Report
  sent,       // why: Reason; a: its score, b: the next one's, c: hedge delay; other: the next one
  passed,     // why: Reason, a, b, c: its figures; other: the one that was better
  cancelled,  // why: Reason; a: the call's age
  outcome,    // why: Outcome; a: latency
  opened,     // a connection; a: seconds it took
  closed,     // a connection; why: Closing
  departed,   // why: Departure; a: evidence, b: its usual value, c: seconds since it began
  returned,   // why: Departure; a: evidence, b: its usual value, c: seconds it lasted
  // Of the clients' door. query: the connection's number, other: the address.
  accepted,     // a: connections held, b: bound
  first_byte,   // a: seconds since accepted or since the last answer
  request,      // whole; a: seconds since its first byte
  answered,     // a: status, b: seconds since the request
  shut,         // why: Shut; a: seconds held, b: requests served
  door_failed,  // accepting failed; a: connections held
  // Of the loop.
  started,      // version (a): format of the events
  taken,        // a query; id() of its name
  ended,        // a query; why: Reason, a, b, c: its figures; call: End
  waits,        // a part; why: Reason
  stood_still,  // a: for how long
  ran_late,     // a: by how much
  at_bound,     // why: Bound; a: held, b: bound
  clock,        // the common clock against the router's own: wide()
  gap,          // a: events that were dropped before this one
  // Of a site's line. why: what is believed of it; a: evidence, b: share it gets, c: nodes with a bad say;
  // leaf: its
  // nodes, call: those refused by a connection, query: 1 where an evacuation is held back.
  site,
  // A version that is acted on from now on, on the loop's line. why: Subject; id(): hash of its content,
  // wide():
  // its count, c: the count's epoch; query: the interval that begins.
  version,
  last
};

enum class Report : std::uint8_t { fresh, repeated, older, unreadable };
enum class Closing : std::uint8_t { idle, refused, timed_out, broken, spoilt, retired, room, stopped };
enum class Shut : std::uint8_t { by_client, mute, half, room, answered, bad, unread, stopped, memory };
enum class Bound : std::uint8_t { queries, connections, clients, log, judged };
enum class Departure : std::uint8_t {
  slow,
  stall,
  swallows,
  fails,
  flaps,
  late_report,
  frozen_report,
  connection,
  cold,
  last
};

struct Event {
  double at = 0;
  std::uint32_t line = 0;
  What what = What::known;
  std::uint8_t why = 0;
  std::int16_t vertical = kNone;
  std::uint32_t query = 0;
  std::uint16_t leaf = 0, call = 0;
  float a = 0, b = 0, c = 0;
  std::uint32_t other = 0;

  double wide() const {  // a figure that needs more than a float, in a and b
    double value = 0;
    std::memcpy(&value, &a, sizeof value);
    return value;
  }
  void set_wide(double value) { std::memcpy(&a, &value, sizeof value); }
  std::uint64_t id() const { return std::uint64_t{other} << 32 | std::uint32_t{leaf} << 16 | call; }
  void set_id(std::uint64_t id) {
    other = static_cast<std::uint32_t>(id >> 32);
    leaf = static_cast<std::uint16_t>(id >> 16);
    call = static_cast<std::uint16_t>(id);
  }
  friend bool operator==(const Event& x, const Event& y) { return std::memcmp(&x, &y, sizeof x) == 0; }
};
static_assert(sizeof(Event) == 40 && std::is_trivially_copyable_v<Event>);

inline constexpr std::uint32_t kDoor = 0, kLoop = 1, kNoLine = 0xffffffff;

std::string_view name(What what);
std::string_view why_name(What what, std::uint8_t why);  // empty: it has none
std::optional<What> what_named(std::string_view name);
std::optional<std::uint8_t> why_named(What what, std::string_view name);
std::uint64_t id_of(std::string_view query);  // a hash of a query's name (xxHash)

}  // namespace yoketurn
