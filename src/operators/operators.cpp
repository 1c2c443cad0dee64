#include "operators/operators.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/info_parser.hpp>
#include <charconv>
#include <cmath>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace yoketurn {

namespace {

constexpr double kKiB = 1024, kMiB = 1024 * kKiB, kGiB = 1024 * kMiB;
constexpr double kDay = 86400;  // seconds
constexpr std::size_t kMaxFileBytes = 1 << 20;

using enum EntryType;
constexpr EntrySpec kEntries[] = {
    {"log.format", choice, 0, 0, "text json", "text", "Format of a log line."},
    {"log.level", choice, 0, 0, "debug info warning error", "info",
     "Minimum level of the lines that are written."},
    {"log.queue", size, 4 * kKiB, 16 * kMiB, "", "256KiB",
     "Buffer for log lines while the reader of standard output stalls; lines that do not fit are dropped, "
     "and their number is logged."},
    {"timeline.on", flag, 0, 0, "", "no",
     "Record a time line of every data node, of the client ingress (door) and of the event loop (loop)."},
    {"timeline.memory", size, 256 * kKiB, 8 * kGiB, "", "4MiB", "Memory of the whole time line."},
    {"timeline.fine", percentage, 0.1, 0.9, "", "50%",
     "Share of timeline.memory for single events; the rest holds summaries."},
    {"timeline.lines", count, 4, 100'000, "", "512",
     "Maximum number of nodes with a time line, removed nodes included."},
    {"timeline.listen", endpoint, 0, 0, "", "off",
     "Loopback address at which the time line is served over HTTP."},
    {"timeline.readers", count, 1, 64, "", "4", "Maximum number of concurrent readers at timeline.listen."},
    {"timeline.reports", duration, 0.05, 3600, "", "off",
     "Interval at which each node is asked for a load report."},
    {"segments.folder", path, 0, 0, "", "off",
     "Folder for segments, the files that hold events; must be on persistent storage."},
    {"segments.size", size, 64 * kKiB, 1 * kGiB, "", "16MiB",
     "Size at which a segment is closed and the next one begun."},
    {"segments.total", size, 128 * kKiB, 1024 * kGiB, "", "256MiB",
     "Total size beyond which the oldest segments are deleted."},
    {"segments.age", duration, 1, 3650 * kDay, "", "7d", "Age beyond which a segment is deleted."},
    {"segments.queue", count, 1024, 1 << 20, "", "16384",
     "Maximum number of events that wait for the disk; further ones are dropped and counted as a gap."},
    {"departures.on", flag, 0, 0, "", "yes",
     "Detect and report nodes that deviate from their usual behaviour (needs timeline.on)."},
    {"departures.slow", decimal, 1.2, 100, "", "2.5",
     "Multiple of its usual latency from which a node counts as slow."},
    {"departures.stall", decimal, 2, 1000, "", "6",
     "Multiple of its usual latency without any answer from which a node counts as stalled."},
    {"departures.least", duration, 0.01, 60, "", "300ms", "Minimum time without any answer for a stall."},
    {"departures.fails", percentage, 0.01, 1, "", "20%",
     "Share of failed outcomes from which a node counts as failing."},
    {"departures.flaps", count, 2, 1000, "", "4",
     "State changes a minute from which a node counts as flapping."},
    {"departures.reports", duration, 0.1, 3600, "", "3s", "Age from which a load report counts as late."},
    {"departures.alarms", decimal, 0.0001, 1000, "", "0.5", "Accepted rate of false alarms a node and day."},
    {"departures.fleet", percentage, 0.1, 1, "", "50%",
     "Share of the nodes from which simultaneous departures are reported as one event of the fleet."},
    {"departures.most", count, 16, 100'000, "", "4096",
     "Maximum number of open departures that are tracked."},
    {"sites.on", flag, 0, 0, "", "yes",
     "Treat the loss of a whole site (a zone of the list) as one event, and ramp up its share when it "
     "returns."},
    {"sites.evacuate", name, 0, 0, "", "off", "Site to evacuate: its share goes down to 0."},
    {"sites.over", duration, 1, kDay, "", "30s",
     "Time over which the evacuated site's share goes down to 0, and back up afterwards."},
    {"sites.until", timestamp, 0, 0, "", "off",
     "Time from which the evacuated site is filled again; required with sites.evacuate."},
    {"fleet.orders", path, 0, 0, "", "off",
     "Folder in which the auditor writes orders for this router, as NAME.info."},
    {"fleet.longest", duration, 1, kDay, "", "15m", "Maximum time for which an order is followed."},
    {"fleet.alone", flag, 0, 0, "", "no",
     "Without an order, request the full list again and step aside at random when this router's own check "
     "finds it stale."},
    {"fleet.share", percentage, 0.01, 0.5, "", "10%",
     "Share of the routers with a long staleness that step aside without an order."},
    {"fleet.intervals", count, 8, 100'000, "", "512",
     "Version intervals that are kept for readers at timeline.listen."},
};

struct Unit {
  std::string_view name;
  double factor;  // to seconds or bytes
};
constexpr Unit kTimeUnits[] = {{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", kDay}};
constexpr Unit kSizeUnits[] = {{"KiB", kKiB}, {"MiB", kMiB}, {"GiB", kGiB}, {"B", 1}};

// What a value must be, for messages and the reference page.
std::string expected_value(const EntrySpec& e) {
  switch (e.type) {
    case flag:
      return "yes or no";
    case count:
      return fmt::format("a whole number from {:.0f} to {:.0f}", e.min, e.max);
    case percentage:
      return fmt::format("a share from {:g}% to {:g}%", e.min * 100, e.max * 100);
    case decimal:
      return fmt::format("a number from {:g} to {:g}", e.min, e.max);
    case duration: {
      const auto format_time = [](double s) {
        const Unit* best = kTimeUnits;
        for (const auto& unit : kTimeUnits)
          if (s >= unit.factor) best = &unit;
        return fmt::format("{:g}{}", s / best->factor, best->name);
      };
      return fmt::format("a time with its unit (us, ms, s, m, h, d) from {} to {}{}", format_time(e.min),
                         format_time(e.max), e.default_value == "off" ? ", or off" : "");
    }
    case size: {
      const auto format_size = [](double bytes) {
        return bytes >= kGiB   ? fmt::format("{:g}GiB", bytes / kGiB)
               : bytes >= kMiB ? fmt::format("{:g}MiB", bytes / kMiB)
                               : fmt::format("{:g}KiB", bytes / kKiB);
      };
      return fmt::format("a size with its unit (B, KiB, MiB, GiB) from {} to {}", format_size(e.min),
                         format_size(e.max));
    }
    case choice:
      return fmt::format("one of: {}", e.choices);
    case endpoint:
      return "host:port on loopback, or off";
    case path:
      return "an absolute path, or off";
    case name:
      return "a name, or off";
    case timestamp:
      return "a time in UTC such as 2027-01-31T22:00:00Z, or off";
  }
  return "";
}

std::optional<double> parse_finite_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<double> parse_number_with_unit(std::string_view text, std::span<const Unit> units) {
  const auto begin = text.find_first_not_of("0123456789.");
  if (begin == 0 || begin == std::string_view::npos) return std::nullopt;
  const auto unit =
      std::find_if(units.begin(), units.end(), [&](const Unit& u) { return u.name == text.substr(begin); });
  const auto number = parse_finite_number(text.substr(0, begin));
  if (unit == units.end() || !number) return std::nullopt;
  return *number * unit->factor;
}

bool is_loopback_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  boost::system::error_code error;
  auto host = std::string(text.substr(0, colon));
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  const auto address = boost::asio::ip::make_address(host, error);
  const auto port = parse_finite_number(text.substr(colon + 1));
  return !error && address.is_loopback() && port && *port >= 0 && *port <= 65535 &&
         *port == std::floor(*port);
}

// Unix time of an ISO 8601 time in UTC with whole seconds.
std::optional<double> parse_timestamp(const std::string& text) {
  std::tm when{};
  std::istringstream in(text);
  in >> std::get_time(&when, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return static_cast<double>(::timegm(&when));
}

// The value of an entry; nullopt if the text is not one that the entry accepts.
std::optional<EntryValue> parse_value(const EntrySpec& e, const std::string& text) {
  const auto if_in_range = [&](std::optional<double> number) -> std::optional<EntryValue> {
    if (!number || *number < e.min || *number > e.max) return std::nullopt;
    return EntryValue{*number, {}};
  };
  const auto off = text == "off" && e.default_value == "off";
  switch (e.type) {
    case flag:
      if (text == "yes" || text == "no") return EntryValue{text == "yes" ? 1.0 : 0.0, {}};
      return std::nullopt;
    case count: {
      const auto number = parse_finite_number(text);
      return number && *number == std::floor(*number) ? if_in_range(number) : std::nullopt;
    }
    case percentage: {
      const auto number = text.ends_with('%')
                              ? parse_finite_number(std::string_view(text).substr(0, text.size() - 1))
                              : std::nullopt;
      return number ? if_in_range(*number / 100) : std::nullopt;
    }
    case decimal:
      return if_in_range(parse_finite_number(text));
    case duration:
      return off ? EntryValue{} : if_in_range(parse_number_with_unit(text, kTimeUnits));
    case size:
      return if_in_range(parse_number_with_unit(text, kSizeUnits));
    case choice: {
      std::istringstream choices{std::string(e.choices)};
      for (std::string each; choices >> each;)
        if (each == text) return EntryValue{0, text};
      return std::nullopt;
    }
    case endpoint:
      if (off) return EntryValue{};
      return is_loopback_endpoint(text) ? std::optional(EntryValue{0, text}) : std::nullopt;
    case path:
      if (off) return EntryValue{};
      return text.starts_with('/') ? std::optional(EntryValue{0, text}) : std::nullopt;
    case name:
      return off ? EntryValue{} : text.empty() ? std::nullopt : std::optional(EntryValue{0, text});
    case timestamp:
      if (off) return EntryValue{};
      if (const auto at = parse_timestamp(text)) return EntryValue{*at, text};
      return std::nullopt;
  }
  return std::nullopt;
}

std::size_t levenshtein_distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    auto diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const auto above = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row.back();
}

// The known group or entry whose name is most similar to `path`.
std::string nearest_known_path(std::string_view path, std::span<const EntrySpec> table) {
  std::set<std::string> known;
  for (const auto& e : table) {
    known.emplace(e.path);
    known.emplace(e.path.substr(0, e.path.find('.')));
  }
  const auto best = std::min_element(known.begin(), known.end(), [&](const auto& a, const auto& b) {
    return levenshtein_distance(path, a) < levenshtein_distance(path, b);
  });
  return *best;
}

// The path and line number of each name, in order of the text: the parsed INFO tree has no line numbers.
std::vector<std::pair<std::string, int>> find_line_numbers(std::string_view text) {
  std::vector<std::pair<std::string, int>> found;
  std::vector<std::string> open_groups;  // names of the groups around the current one
  std::string last;
  int number = 1;
  std::istringstream lines{std::string(text)};
  for (std::string line; std::getline(lines, line); ++number) {
    std::vector<std::string> words;
    for (std::size_t i = 0; i < line.size();) {
      const auto c = line[i];
      if (c == ';') break;
      if (std::isspace(static_cast<unsigned char>(c))) {
        ++i;
      } else if (c == '"') {
        const auto end = std::min(line.find('"', i + 1), line.size());
        words.push_back(line.substr(i + 1, end - i - 1));
        i = end + 1;
      } else if (c == '{' || c == '}') {
        words.emplace_back(1, c);
        ++i;
      } else {
        const auto end = std::min(line.find_first_of(" \t\r;{}\"", i), line.size());
        words.push_back(line.substr(i, end - i));
        i = end;
      }
    }
    bool expect_name = true;  // the first word, and the first after a brace
    for (const auto& each : words) {
      if (each == "{") {
        open_groups.push_back(last);
        expect_name = true;
      } else if (each == "}") {
        if (!open_groups.empty()) open_groups.pop_back();
        expect_name = true;
      } else if (std::exchange(expect_name, false)) {
        last = each;
        std::string path;
        for (const auto& group : open_groups) path += group + ".";
        found.emplace_back(path + each, number);
      }
    }
  }
  return found;
}

using Tree = boost::property_tree::ptree;

// Checks a parsed file against a table of entries: collects its values and all its problems.
class EntryChecker {
 public:
  EntryChecker(std::string_view text, std::span<const EntrySpec> table) : table_(table) {
    for (const auto& [path, line] : find_line_numbers(text)) lines_of_path_[path].push_back(line);
  }

  // Checks what `tree`, the group at path `parent`, contains.
  void check(const Tree& tree, const std::string& parent) {
    for (const auto& [name, child] : tree) {
      const auto path = parent.empty() ? name : parent + "." + name;
      const auto line = take_line(path);
      const auto entry =
          std::find_if(table_.begin(), table_.end(), [&](const EntrySpec& e) { return e.path == path; });
      const auto group = std::any_of(table_.begin(), table_.end(),
                                     [&](const EntrySpec& e) { return e.path.starts_with(path + "."); });
      if (entry == table_.end() && !group) {
        problems.push_back(
            {line, path, fmt::format("no such entry; did you mean {}?", nearest_known_path(path, table_))});
      } else if (!seen_paths_.insert(path).second) {
        problems.push_back({line, path, "is given a second time"});
      } else if (group) {
        if (!child.data().empty()) problems.push_back({line, path, "takes no value, only entries in braces"});
        check(child, path);
      } else if (!child.empty()) {
        problems.push_back({line, path, "takes a value, not entries in braces"});
      } else if (const auto value = parse_value(*entry, child.data())) {
        values[path] = *value;
      } else {
        problems.push_back({line, path, fmt::format("'{}' is not {}", child.data(), expected_value(*entry))});
      }
    }
  }
  // The line of the first occurrence of a path; 0: it does not occur.
  int first_line(const std::string& path) const {
    const auto at = first_line_.find(path);
    return at == first_line_.end() ? 0 : at->second;
  }

  std::map<std::string, EntryValue> values;
  std::vector<FileProblem> problems;

 private:
  // The line of the next occurrence of a path; 0: unknown.
  int take_line(const std::string& path) {
    auto& lines = lines_of_path_[path];
    if (lines.empty()) return 0;
    const auto line = lines.front();
    lines.erase(lines.begin());
    first_line_.emplace(path, line);
    return line;
  }
  std::span<const EntrySpec> table_;
  std::map<std::string, std::vector<int>> lines_of_path_;
  std::map<std::string, int> first_line_;
  std::set<std::string> seen_paths_;
};

// The settings that the given values make, with the defaults of all others.
OperatorSettings make_settings(const std::map<std::string, EntryValue>& given) {
  const auto value = [&](const char* path) {
    if (const auto at = given.find(path); at != given.end()) return at->second;
    const auto entry = std::find_if(std::begin(kEntries), std::end(kEntries),
                                    [&](const EntrySpec& e) { return e.path == path; });
    return parse_value(*entry, std::string(entry->default_value)).value();
  };
  const auto bytes = [&](const char* path) { return static_cast<std::size_t>(value(path).number); };
  const auto integer = [&](const char* path) { return static_cast<int>(value(path).number); };
  const auto number = [&](const char* path) { return value(path).number; };
  OperatorSettings o;
  o.log = {value("log.format").text == "json", value("log.level").text, bytes("log.queue")};
  o.timeline = {number("timeline.on") > 0, bytes("timeline.memory"),      number("timeline.fine"),
                integer("timeline.lines"), value("timeline.listen").text, integer("timeline.readers"),
                number("timeline.reports")};
  o.segments = {value("segments.folder").text, bytes("segments.size"), bytes("segments.total"),
                number("segments.age"), integer("segments.queue")};
  o.departures = {number("departures.on") > 0,  number("departures.slow"),   number("departures.stall"),
                  number("departures.least"),   number("departures.fails"),  number("departures.flaps"),
                  number("departures.reports"), number("departures.alarms"), number("departures.fleet"),
                  integer("departures.most")};
  o.sites = {number("sites.on") > 0, value("sites.evacuate").text, number("sites.over"),
             number("sites.until")};
  o.fleet = {value("fleet.orders").text, number("fleet.longest"), number("fleet.alone") > 0,
             number("fleet.share"), integer("fleet.intervals")};
  return o;
}

// Memory that one of each takes.
constexpr std::size_t kQueuedEventBytes = 48;            // an event that waits for the disk
constexpr std::size_t kVersionIntervalBytes = 2 * 1024;  // with its data of nodes
constexpr std::size_t kReaderBytes = 96 * 1024;          // a connection of a reader of the time line

}  // namespace

std::size_t OperatorSettings::memory_bytes() const {
  auto sum = log.queue_bytes;
  if (!timeline.enabled) return sum;
  sum += timeline.memory_bytes;
  if (!timeline.listen_address.empty())
    sum += static_cast<std::size_t>(fleet.max_version_intervals) * kVersionIntervalBytes;
  if (!timeline.listen_address.empty()) sum += static_cast<std::size_t>(timeline.max_readers) * kReaderBytes;
  if (!segments.folder.empty()) sum += static_cast<std::size_t>(segments.queue_events) * kQueuedEventBytes;
  return sum;
}

std::span<const EntrySpec> entry_specs() {
  return kEntries;
}

std::string format_problem(const FileProblem& problem, std::string_view file) {
  const auto where =
      problem.line > 0 ? fmt::format("{}:{}: ", file, problem.line) : fmt::format("{}: ", file);
  return where + (problem.path.empty() ? "" : problem.path + ": ") + problem.what;
}

InfoFileError::InfoFileError(std::vector<FileProblem> found)
    : std::runtime_error(format_problem(found.at(0), "operators' file") +
                         (found.size() > 1 ? fmt::format(" (and {} more)", found.size() - 1) : "")),
      problems(std::move(found)) {}

namespace {

// Throws if the text as a whole cannot be parsed; problems of single entries are left in the checker.
EntryChecker check_text(std::string_view text, std::span<const EntrySpec> table) {
  if (text.size() > kMaxFileBytes) throw InfoFileError({{0, "", "larger than 1 MiB"}});
  EntryChecker checker(text, table);
  for (const auto& [path, line] : find_line_numbers(text))
    if (path.starts_with('#')) throw InfoFileError({{line, "", "#include is not supported"}});
  Tree tree;
  try {
    std::istringstream in{std::string(text)};
    boost::property_tree::read_info(in, tree);
  } catch (const boost::property_tree::info_parser_error& error) {
    throw InfoFileError({{static_cast<int>(error.line()), "", error.message()}});
  }
  checker.check(tree, "");
  return checker;
}

[[noreturn]] void throw_in_line_order(std::vector<FileProblem> problems) {
  std::stable_sort(problems.begin(), problems.end(),
                   [](const FileProblem& a, const FileProblem& b) { return a.line < b.line; });
  throw InfoFileError(std::move(problems));
}

}  // namespace

std::map<std::string, EntryValue> parse_entries(std::string_view text, std::span<const EntrySpec> table) {
  auto checker = check_text(text, table);
  if (!checker.problems.empty()) throw_in_line_order(std::move(checker.problems));
  return std::move(checker.values);
}

OperatorSettings parse_operator_settings(std::string_view text, std::size_t router_memory) {
  auto checker = check_text(text, kEntries);
  auto& problems = checker.problems;
  auto result = make_settings(checker.values);
  std::string hashed;
  for (const auto& [path, value] : checker.values) {
    const auto entry = std::find_if(std::begin(kEntries), std::end(kEntries),
                                    [&](const EntrySpec& e) { return e.path == path; });
    if (entry->type != EntryType::endpoint && entry->type != EntryType::path)
      hashed += fmt::format("{}={}/{};", path, value.number, value.text);
  }
  result.hash = XXH3_64bits(hashed.data(), hashed.size());
  // Half of the memory is left for connections and queries.
  if (router_memory > 0 && result.memory_bytes() > router_memory / 2)
    problems.push_back(
        {checker.first_line("timeline.memory"), "timeline.memory",
         fmt::format("log, time line, readers and segments need {:.1f}MiB in total, more than half of "
                     "the {:.0f}MiB that the router may use",
                     static_cast<double>(result.memory_bytes()) / kMiB,
                     static_cast<double>(router_memory) / kMiB)});
  if (result.segments.total_bytes < 2 * result.segments.segment_bytes)
    problems.push_back(
        {checker.first_line("segments.total"), "segments.total", "must hold two segments of segments.size"});
  if (!result.sites.evacuated_site.empty() && result.sites.evacuation_end <= 0)
    problems.push_back(
        {checker.first_line("sites.evacuate"), "sites.until", "is required with sites.evacuate"});
  if (!result.timeline.enabled)
    for (const auto* path : {"timeline.listen", "timeline.reports", "segments.folder"})
      if (const auto at = checker.values.find(path);
          at != checker.values.end() && (at->second.number > 0 || !at->second.text.empty()))
        problems.push_back({checker.first_line(path), path, "has no effect while timeline.on is no"});
  if (!problems.empty()) throw_in_line_order(std::move(problems));
  return result;
}

OperatorSettings load_operator_settings(const std::string& path, std::size_t router_memory) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw InfoFileError({{0, "", path + " cannot be read"}});
  return parse_operator_settings(content.str(), router_memory);
}

OperatorSettings default_operator_settings() {
  return parse_operator_settings("");
}

std::string reference_page() {
  std::string page =
      "# The operators' file: reference\n\nGenerated from the table in `src/operators/operators.cpp` by "
      "`yoketurn check --reference`. `yoketurn check FILE` lists all errors of a file at once.\n";
  std::string group;
  for (const auto& e : kEntries) {
    const auto head = e.path.substr(0, e.path.find('.'));
    if (head != group) {
      group = head;
      page +=
          fmt::format("\n## {}\n\n| entry | value | default | meaning |\n| --- | --- | --- | --- |\n", group);
    }
    page +=
        fmt::format("| `{}` | {} | `{}` | {} |\n", e.path, expected_value(e), e.default_value, e.description);
  }
  return page;
}

}  // namespace yoketurn
