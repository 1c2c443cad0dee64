// The operators' file: what an installation enables or changes beside the platform's configuration. Its
// format is INFO (Boost.PropertyTree): one name and value a line, groups in braces. A single table of entries
// is the source of the check, the reference page and the defaults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace yoketurn {

// All values of the operators' file. Each member is named after its group in the file; the entry that a field
// comes from is given where its name differs.
struct OperatorSettings {
  struct LogSettings {
    bool json = false;            // format
    std::string level;            // debug, info, warning or error
    std::size_t queue_bytes = 0;  // queue: log lines buffered while the reader of standard output stalls
    bool operator==(const LogSettings&) const = default;
  } log;
  struct TimelineSettings {
    bool enabled = false;          // on
    std::size_t memory_bytes = 0;  // memory: of the whole time line
    double event_share = 0;        // fine: share of the memory for single events; the rest holds summaries
    int max_nodes = 0;             // lines: nodes with a time line, removed nodes included
    std::string listen_address;    // listen: host:port on loopback; empty: not served
    int max_readers = 0;           // readers: concurrent connections to listen_address
    double load_report_interval =
        0;  // reports: seconds between two load requests to a node; 0: none are sent
    bool operator==(const TimelineSettings&) const = default;
  } timeline;
  struct SegmentSettings {
    std::string folder;             // empty: no events are written to disk
    std::size_t segment_bytes = 0;  // size: at which a segment is closed
    std::size_t total_bytes = 0;    // total: beyond which the oldest segments are deleted
    double max_age = 0;             // age: seconds after which a segment is deleted
    int queue_events = 0;           // queue: events that may wait for the disk
    bool operator==(const SegmentSettings&) const = default;
  } segments;
  // Detection of nodes that deviate from their own usual behaviour.
  struct AnomalySettings {
    bool enabled = false;                     // on
    double slow_latency_ratio = 0;            // slow: latency over the usual one from which a node is slow
    double stall_latency_ratio = 0;           // stall: time without any answer over the usual latency
    double min_stall = 0;                     // least: seconds; shorter silences are no stall
    double failure_share = 0;                 // fails: share of failed outcomes from which a node is failing
    double max_state_changes_per_minute = 0;  // flaps: from which a node is flapping
    double load_report_max_age = 0;           // reports: seconds after which a load report is late
    double false_alarms_per_node_day = 0;     // alarms: expected false alarms a node and day
    double fleet_share = 0;                   // fleet: share of the nodes that makes one event of the fleet
    int max_open = 0;                         // most: open anomalies that are tracked
    bool operator==(const AnomalySettings&) const = default;
  } departures;

  struct SiteSettings {
    bool enabled = false;        // on
    std::string evacuated_site;  // evacuate: site to drain; empty: none
    double evacuation_ramp = 0;  // over: seconds in which the site's share goes to 0, and later back to 1
    double evacuation_end = 0;   // until: Unix time from which the site is filled again; 0: no evacuation
    bool operator==(const SiteSettings&) const = default;
  } sites;
  // Orders of the fleet's auditor, and what the router does without them.
  struct FleetSettings {
    std::string orders_folder;        // orders: empty: no orders are accepted
    double max_order_duration = 0;    // longest: seconds for which one order may hold
    bool act_without_orders = false;  // alone: act on the router's own staleness check
    double step_aside_share = 0;  // share: of the routers with a long staleness that step aside by themselves
    int max_version_intervals = 0;  // intervals: of versions, kept for readers of the time line
    bool operator==(const FleetSettings&) const = default;
  } fleet;

  // Hash of the values given in the file, without addresses and paths: those differ from router to router.
  std::uint64_t hash = 0;

  bool operator==(const OperatorSettings&) const = default;
  std::size_t memory_bytes() const;  // sum of all buffers and stores that these settings ask for
};

enum class EntryType {
  flag,        // yes or no: number is 1 or 0
  count,       // whole number
  percentage,  // such as 20%: number is 0.2
  decimal,
  duration,  // number in seconds
  size,      // number in bytes
  choice,    // one of the words in `choices`: text
  endpoint,  // host:port on loopback: text
  path,      // absolute path: text
  name,      // text
  timestamp  // UTC: number is the Unix time, text as written
};

// One entry of an INFO file: which values it accepts, and its text in the reference page.
struct EntrySpec {
  std::string_view path;  // names of its groups and its own, separated by dots
  EntryType type;
  double min, max;                 // of a number, in the unit of its type; not checked for texts
  std::string_view choices;        // separated by spaces
  std::string_view default_value;  // as written in a file; if it is "off", "off" is accepted too
  std::string_view description;
};

std::span<const EntrySpec> entry_specs();  // of the operators' file

// The value of an entry; which of the fields holds it depends on the type. Both are empty for "off".
struct EntryValue {
  double number = 0;
  std::string text;
};

struct FileProblem {
  int line = 0;      // 0: concerns no single line
  std::string path;  // of the entry; may be empty
  std::string what;
};
std::string format_problem(const FileProblem& problem, std::string_view file);

// An INFO file that is not accepted, with all problems that were found, at least one; what() gives the first.
struct InfoFileError : std::runtime_error {
  explicit InfoFileError(std::vector<FileProblem> found);
  std::vector<FileProblem> problems;
};

// The values that a text gives, by path, checked against `table`. Entries that it does not give are absent.
// Throws InfoFileError.
std::map<std::string, EntryValue> parse_entries(std::string_view text, std::span<const EntrySpec> table);

// Parse the operators' file: its values, and the defaults of all other entries. `router_memory` is the memory
// that the router may use, in bytes; 0: unknown, and not checked. Throw InfoFileError with all problems.
OperatorSettings parse_operator_settings(std::string_view text, std::size_t router_memory = 0);
OperatorSettings load_operator_settings(const std::string& path, std::size_t router_memory = 0);
OperatorSettings default_operator_settings();

std::string reference_page();  // all entries, as Markdown

}  // namespace yoketurn
