// The operators' file: what an installation switches on beside what the platform tells. INFO
// (Boost.PropertyTree): a name and a value a line, children in braces. One table describes every entry; the
// check, the reference page and the defaults all come from it.
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

struct Operators {
  struct Logs {
    bool json = false;
    std::string level;      // debug, info, warning, error
    std::size_t queue = 0;  // bytes that wait for a stalled reader
    bool operator==(const Logs&) const = default;
  } log;
  struct Line {
    bool on = false;
    std::size_t memory = 0;  // bytes
    double fine = 0;         // share of it for single events
    int lines = 0;           // nodes, those that are gone included
    std::string listen;      // host:port on loopback; empty: nobody is answered
    int readers = 0;         // at once
    double reports = 0;      // seconds between two questions for a node's load; 0: none
    bool operator==(const Line&) const = default;
  } timeline;
  struct Disk {
    std::string folder;  // empty: nothing is written
    std::size_t size = 0, total = 0;
    double age = 0;  // seconds after which one is removed
    int queue = 0;   // events that wait for the disk
    bool operator==(const Disk&) const = default;
  } segments;
  struct Leaving {
    bool on = false;
    double slow = 0;     // times the usual latency
    double stall = 0;    // times the usual latency without any answer, and at least
    double least = 0;    // seconds
    double fails = 0;    // share of bad outcomes
    double flaps = 0;    // changes of state in a minute
    double reports = 0;  // seconds after which a load report is late
    double alarms = 0;   // false alarms a node and day that may be expected
    double fleet = 0;    // share of the nodes that makes one event of the fleet
    int most = 0;        // open departures kept
    bool operator==(const Leaving&) const = default;
  } departures;

  struct Whole {
    bool on = false;
    std::string evacuate;  // a site; empty: none
    double over = 0;       // seconds in which it is emptied, and filled again
    double until = 0;      // Unix time from which it is filled again; 0: with no site to evacuate
    bool operator==(const Whole&) const = default;
  } sites;
  struct Fleet {
    std::string orders;  // folder; empty: no order is obeyed
    double longest = 0;  // seconds that one may hold
    bool alone = false;  // acts on its own doubt
    double share = 0;
    int intervals = 0;  // of versions, kept for readers
    bool operator==(const Fleet&) const = default;
  } fleet;

  std::uint64_t hash =
      0;  // of what is given, but for addresses and paths: these differ from router to router

  bool operator==(const Operators&) const = default;
  std::size_t memory() const;  // all that it asks for, in bytes
};

enum class EntryType { flag, count, share, figure, duration, size, word, endpoint, path, name, moment };

struct Entry {
  std::string_view path;  // names from the top, set apart by dots
  EntryType type;
  double least, most;      // of numbers, in the unit of the value; 0, 0: any
  std::string_view words;  // of a word, set apart by spaces
  std::string_view fallback;
  std::string_view help;
};

std::span<const Entry> entries();

// A value as it stands in a file.
struct Given {
  double number = 0;
  std::string text;
};

struct Problem {
  int line = 0;  // 0: of the whole
  std::string path, what;
};
std::string to_text(const Problem& problem, std::string_view file);

struct BadOperators : std::runtime_error {
  explicit BadOperators(std::vector<Problem> found);
  std::vector<Problem> problems;
};

// What stands in the text, by path, checked against another table; what is left out is not there.
std::map<std::string, Given> read_entries(std::string_view text,
                                          std::span<const Entry> table);  // throws BadOperators

// All of it or, with every problem there is, nothing. The memory that the router may use is in bytes; 0: not
// known.
Operators read_operators(std::string_view text, std::size_t router_memory = 0);  // throws BadOperators
Operators load_operators(const std::string& path, std::size_t router_memory = 0);
Operators default_operators();

std::string reference_page();  // Markdown, of all entries

}  // namespace yoketurn
