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
constexpr double kDay = 86400;
constexpr std::size_t kLargestFile = 1 << 20;

using enum EntryType;
constexpr EntrySpec kEntries[] = {
    {"log.format", choice, 0, 0, "text json", "text", "Form of a log line."},
    {"log.level", choice, 0, 0, "debug info warning error", "info", "The least level that is written."},
    {"log.queue", size, 4 * kKiB, 16 * kMiB, "", "256KiB",
     "Log lines that wait while the reader of standard output stalls; what does not fit is counted and "
     "told."},
    {"timeline.on", flag, 0, 0, "", "no",
     "Keep a time line of every data node, the clients' door and the loop."},
    {"timeline.memory", size, 256 * kKiB, 8 * kGiB, "", "4MiB", "Memory of the time line, all in."},
    {"timeline.fine", percentage, 0.1, 0.9, "", "50%",
     "Share of that memory for single events; the rest holds summaries."},
    {"timeline.lines", count, 4, 100'000, "", "512", "Nodes that have a line, those that are gone included."},
    {"timeline.listen", endpoint, 0, 0, "", "off",
     "Loopback address at which the time line can be read over HTTP."},
    {"timeline.readers", count, 1, 64, "", "4", "Readers at once at that address."},
    {"timeline.reports", duration, 0.05, 3600, "", "off", "Each node is asked for its load so often."},
    {"segments.folder", path, 0, 0, "", "off", "Folder for events on disk; needs a disk that lasts."},
    {"segments.size", size, 64 * kKiB, 1 * kGiB, "", "16MiB", "A segment is closed at this size."},
    {"segments.total", size, 128 * kKiB, 1024 * kGiB, "", "256MiB",
     "The oldest segments are removed beyond it."},
    {"segments.age", duration, 1, 3650 * kDay, "", "7d", "Segments older than this are removed."},
    {"segments.queue", count, 1024, 1 << 20, "", "16384",
     "Events that wait for the disk; more are counted as a gap."},
    {"departures.on", flag, 0, 0, "", "yes",
     "Tell when a node departs from its usual behaviour (needs the time line)."},
    {"departures.slow", decimal, 1.2, 100, "", "2.5", "Times its usual latency at which a node is slow."},
    {"departures.stall", decimal, 2, 1000, "", "6",
     "Times its usual latency without any answer that make a stall."},
    {"departures.least", duration, 0.01, 60, "", "300ms", "A stall is no shorter than this."},
    {"departures.fails", percentage, 0.01, 1, "", "20%", "Share of bad outcomes at which a node fails."},
    {"departures.flaps", count, 2, 1000, "", "4", "Changes of its state in a minute at which a node flaps."},
    {"departures.reports", duration, 0.1, 3600, "", "3s", "A load report of this age is late."},
    {"departures.alarms", decimal, 0.0001, 1000, "", "0.5",
     "False alarms a node and day that may be expected."},
    {"departures.fleet", percentage, 0.1, 1, "", "50%",
     "Share of the nodes that makes one event of the fleet."},
    {"departures.most", count, 16, 100'000, "", "4096", "Departures open at once that are kept."},
    {"sites.on", flag, 0, 0, "", "yes",
     "Take the loss of a whole site (a zone of the list) for one event, and pace its return."},
    {"sites.evacuate", name, 0, 0, "", "off", "A site that is to be emptied."},
    {"sites.over", duration, 1, kDay, "", "30s",
     "Time in which its share goes down to nothing, and up again afterwards."},
    {"sites.until", timestamp, 0, 0, "", "off",
     "From then on it is filled again; needed with sites.evacuate."},
    {"fleet.orders", path, 0, 0, "", "off",
     "Folder in which the auditor leaves an order for this router, as NAME.info."},
    {"fleet.longest", duration, 1, kDay, "", "15m", "No order is obeyed for longer than this."},
    {"fleet.alone", flag, 0, 0, "", "no",
     "Ask for the whole list again, and step aside by chance, on the router's own doubt."},
    {"fleet.share", percentage, 0.01, 0.5, "", "10%",
     "Share of the routers in long doubt that step aside by themselves."},
    {"fleet.intervals", count, 8, 100'000, "", "512",
     "Intervals of versions that are kept for readers at timeline.listen."},
};

struct Unit {
  std::string_view name;
  double worth;
};
constexpr Unit kTimes[] = {{"us", 1e-6}, {"ms", 1e-3}, {"s", 1}, {"m", 60}, {"h", 3600}, {"d", kDay}};
constexpr Unit kSizes[] = {{"KiB", kKiB}, {"MiB", kMiB}, {"GiB", kGiB}, {"B", 1}};

std::string expected(const EntrySpec& e) {
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
      const auto shown = [](double s) {
        const Unit* best = kTimes;
        for (const auto& unit : kTimes)
          if (s >= unit.worth) best = &unit;
        return fmt::format("{:g}{}", s / best->worth, best->name);
      };
      return fmt::format("a time with its unit (us, ms, s, m, h, d) from {} to {}{}", shown(e.min),
                         shown(e.max), e.default_value == "off" ? ", or off" : "");
    }
    case size: {
      const auto shown = [](double s) {
        return s >= kGiB   ? fmt::format("{:g}GiB", s / kGiB)
               : s >= kMiB ? fmt::format("{:g}MiB", s / kMiB)
                           : fmt::format("{:g}KiB", s / kKiB);
      };
      return fmt::format("a size with its unit (B, KiB, MiB, GiB) from {} to {}", shown(e.min), shown(e.max));
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
      return "a moment in UTC such as 2027-01-31T22:00:00Z, or off";
  }
  return "";
}

std::optional<double> plain(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<double> with_unit(std::string_view text, std::span<const Unit> units) {
  const auto begin = text.find_first_not_of("0123456789.");
  if (begin == 0 || begin == std::string_view::npos) return std::nullopt;
  const auto unit =
      std::find_if(units.begin(), units.end(), [&](const Unit& u) { return u.name == text.substr(begin); });
  const auto number = plain(text.substr(0, begin));
  if (unit == units.end() || !number) return std::nullopt;
  return *number * unit->worth;
}

bool loopback(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  boost::system::error_code error;
  auto host = std::string(text.substr(0, colon));
  if (host.starts_with('[') && host.ends_with(']')) host = host.substr(1, host.size() - 2);
  const auto address = boost::asio::ip::make_address(host, error);
  const auto port = plain(text.substr(colon + 1));
  return !error && address.is_loopback() && port && *port >= 0 && *port <= 65535 &&
         *port == std::floor(*port);
}

// Unix time of a moment in UTC, to the second.
std::optional<double> unix_of(const std::string& text) {
  std::tm when{};
  std::istringstream in(text);
  in >> std::get_time(&when, "%Y-%m-%dT%H:%M:%SZ");
  if (in.fail() || in.peek() != std::istringstream::traits_type::eof()) return std::nullopt;
  return static_cast<double>(::timegm(&when));
}

std::optional<EntryValue> value_of(const EntrySpec& e, const std::string& text) {
  const auto within = [&](std::optional<double> number) -> std::optional<EntryValue> {
    if (!number || *number < e.min || *number > e.max) return std::nullopt;
    return EntryValue{*number, {}};
  };
  const auto off = text == "off" && e.default_value == "off";
  switch (e.type) {
    case flag:
      if (text == "yes" || text == "no") return EntryValue{text == "yes" ? 1.0 : 0.0, {}};
      return std::nullopt;
    case count: {
      const auto number = plain(text);
      return number && *number == std::floor(*number) ? within(number) : std::nullopt;
    }
    case percentage: {
      const auto number =
          text.ends_with('%') ? plain(std::string_view(text).substr(0, text.size() - 1)) : std::nullopt;
      return number ? within(*number / 100) : std::nullopt;
    }
    case decimal:
      return within(plain(text));
    case duration:
      return off ? EntryValue{} : within(with_unit(text, kTimes));
    case size:
      return within(with_unit(text, kSizes));
    case choice: {
      std::istringstream words{std::string(e.choices)};
      for (std::string one; words >> one;)
        if (one == text) return EntryValue{0, text};
      return std::nullopt;
    }
    case endpoint:
      if (off) return EntryValue{};
      return loopback(text) ? std::optional(EntryValue{0, text}) : std::nullopt;
    case path:
      if (off) return EntryValue{};
      return text.starts_with('/') ? std::optional(EntryValue{0, text}) : std::nullopt;
    case name:
      return off ? EntryValue{} : text.empty() ? std::nullopt : std::optional(EntryValue{0, text});
    case timestamp:
      if (off) return EntryValue{};
      if (const auto at = unix_of(text)) return EntryValue{*at, text};
      return std::nullopt;
  }
  return std::nullopt;
}

// Levenshtein's distance, for the nearest known name.
std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    auto corner = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const auto above = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, corner + (a[i - 1] == b[j - 1] ? 0 : 1)});
      corner = above;
    }
  }
  return row.back();
}

std::string nearest(std::string_view path, std::span<const EntrySpec> table) {
  std::set<std::string> known;
  for (const auto& e : table) {
    known.emplace(e.path);
    known.emplace(e.path.substr(0, e.path.find('.')));
  }
  const auto best = std::min_element(known.begin(), known.end(), [&](const auto& a, const auto& b) {
    return distance(path, a) < distance(path, b);
  });
  return *best;
}

// Where each name stands, in order: INFO's tree has no lines.
std::vector<std::pair<std::string, int>> places(std::string_view text) {
  std::vector<std::pair<std::string, int>> found;
  std::vector<std::string> open;
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
    bool name = true;
    for (const auto& each : words) {
      if (each == "{") {
        open.push_back(last);
        name = true;
      } else if (each == "}") {
        if (!open.empty()) open.pop_back();
        name = true;
      } else if (std::exchange(name, false)) {
        last = each;
        std::string path;
        for (const auto& above : open) path += above + ".";
        found.emplace_back(path + each, number);
      }
    }
  }
  return found;
}

using Tree = boost::property_tree::ptree;

class Checker {
 public:
  Checker(std::string_view text, std::span<const EntrySpec> table) : table_(table) {
    for (const auto& [path, line] : places(text)) places_[path].push_back(line);
  }

  void walk(const Tree& tree, const std::string& above) {
    for (const auto& [name, child] : tree) {
      const auto path = above.empty() ? name : above + "." + name;
      const auto line = take_place(path);
      const auto entry =
          std::find_if(table_.begin(), table_.end(), [&](const EntrySpec& e) { return e.path == path; });
      const auto group = std::any_of(table_.begin(), table_.end(),
                                     [&](const EntrySpec& e) { return e.path.starts_with(path + "."); });
      if (entry == table_.end() && !group) {
        problems.push_back(
            {line, path, fmt::format("no such entry; the nearest is {}", nearest(path, table_))});
      } else if (!seen_.insert(path).second) {
        problems.push_back({line, path, "stands here a second time"});
      } else if (group) {
        if (!child.data().empty()) problems.push_back({line, path, "takes no value, only entries in braces"});
        walk(child, path);
      } else if (!child.empty()) {
        problems.push_back({line, path, "takes a value, no entries of its own"});
      } else if (const auto value = value_of(*entry, child.data())) {
        values[path] = *value;
      } else {
        problems.push_back({line, path, fmt::format("'{}' is not {}", child.data(), expected(*entry))});
      }
    }
  }
  int place(const std::string& path) const {
    const auto at = first_.find(path);
    return at == first_.end() ? 0 : at->second;
  }

  std::map<std::string, EntryValue> values;
  std::vector<FileProblem> problems;

 private:
  int take_place(const std::string& path) {
    auto& lines = places_[path];
    if (lines.empty()) return 0;
    const auto line = lines.front();
    lines.erase(lines.begin());
    first_.emplace(path, line);
    return line;
  }
  std::span<const EntrySpec> table_;
  std::map<std::string, std::vector<int>> places_;
  std::map<std::string, int> first_;
  std::set<std::string> seen_;
};

OperatorSettings fill(const std::map<std::string, EntryValue>& given) {
  const auto of = [&](const char* path) {
    if (const auto at = given.find(path); at != given.end()) return at->second;
    const auto entry = std::find_if(std::begin(kEntries), std::end(kEntries),
                                    [&](const EntrySpec& e) { return e.path == path; });
    return value_of(*entry, std::string(entry->default_value)).value();
  };
  const auto bytes = [&](const char* path) { return static_cast<std::size_t>(of(path).number); };
  const auto whole = [&](const char* path) { return static_cast<int>(of(path).number); };
  const auto number = [&](const char* path) { return of(path).number; };
  OperatorSettings o;
  o.log = {of("log.format").text == "json", of("log.level").text, bytes("log.queue")};
  o.timeline = {number("timeline.on") > 0, bytes("timeline.memory"),   number("timeline.fine"),
                whole("timeline.lines"),   of("timeline.listen").text, whole("timeline.readers"),
                number("timeline.reports")};
  o.segments = {of("segments.folder").text, bytes("segments.size"), bytes("segments.total"),
                number("segments.age"), whole("segments.queue")};
  o.departures = {number("departures.on") > 0,  number("departures.slow"),   number("departures.stall"),
                  number("departures.least"),   number("departures.fails"),  number("departures.flaps"),
                  number("departures.reports"), number("departures.alarms"), number("departures.fleet"),
                  whole("departures.most")};
  o.sites = {number("sites.on") > 0, of("sites.evacuate").text, number("sites.over"), number("sites.until")};
  o.fleet = {of("fleet.orders").text, number("fleet.longest"), number("fleet.alone") > 0,
             number("fleet.share"), whole("fleet.intervals")};
  return o;
}

constexpr std::size_t kEventOnTheWay = 48;   // bytes, between the loop and the disk
constexpr std::size_t kInterval = 2 * 1024;  // of versions, with what it holds of nodes
constexpr std::size_t kReader = 96 * 1024;   // and of a reader of the time line

}  // namespace

std::size_t OperatorSettings::memory_bytes() const {
  auto sum = log.queue_bytes;
  if (!timeline.enabled) return sum;
  sum += timeline.memory_bytes;
  if (!timeline.listen_address.empty())
    sum += static_cast<std::size_t>(fleet.max_version_intervals) * kInterval;
  if (!timeline.listen_address.empty()) sum += static_cast<std::size_t>(timeline.max_readers) * kReader;
  if (!segments.folder.empty()) sum += static_cast<std::size_t>(segments.queue_events) * kEventOnTheWay;
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

// Problems of the whole text end it; those of entries are left in the checker.
Checker walked(std::string_view text, std::span<const EntrySpec> table) {
  if (text.size() > kLargestFile) throw InfoFileError({{0, "", "larger than 1 MiB"}});
  Checker checker(text, table);
  for (const auto& [path, line] : places(text))
    if (path.starts_with('#')) throw InfoFileError({{line, "", "takes nothing in from other files"}});
  Tree tree;
  try {
    std::istringstream in{std::string(text)};
    boost::property_tree::read_info(in, tree);
  } catch (const boost::property_tree::info_parser_error& error) {
    throw InfoFileError({{static_cast<int>(error.line()), "", error.message()}});
  }
  checker.walk(tree, "");
  return checker;
}

[[noreturn]] void refuse(std::vector<FileProblem> problems) {
  std::stable_sort(problems.begin(), problems.end(),
                   [](const FileProblem& a, const FileProblem& b) { return a.line < b.line; });
  throw InfoFileError(std::move(problems));
}

}  // namespace

std::map<std::string, EntryValue> parse_entries(std::string_view text, std::span<const EntrySpec> table) {
  auto checker = walked(text, table);
  if (!checker.problems.empty()) refuse(std::move(checker.problems));
  return std::move(checker.values);
}

OperatorSettings parse_operator_settings(std::string_view text, std::size_t router_memory) {
  auto checker = walked(text, kEntries);
  auto& problems = checker.problems;
  auto result = fill(checker.values);
  std::string shared;
  for (const auto& [path, value] : checker.values) {
    const auto entry = std::find_if(std::begin(kEntries), std::end(kEntries),
                                    [&](const EntrySpec& e) { return e.path == path; });
    if (entry->type != EntryType::endpoint && entry->type != EntryType::path)
      shared += fmt::format("{}={}/{};", path, value.number, value.text);
  }
  result.hash = XXH3_64bits(shared.data(), shared.size());
  // A router holds connections and queries beside it: half of the memory is theirs.
  if (router_memory > 0 && result.memory_bytes() > router_memory / 2)
    problems.push_back(
        {checker.place("timeline.memory"), "timeline.memory",
         fmt::format("log, time line, readers and segments ask for {:.1f}MiB in all, more than half of "
                     "the {:.0f}MiB that the router may use",
                     static_cast<double>(result.memory_bytes()) / kMiB,
                     static_cast<double>(router_memory) / kMiB)});
  if (result.segments.total_bytes < 2 * result.segments.segment_bytes)
    problems.push_back(
        {checker.place("segments.total"), "segments.total", "must hold two segments of segments.size"});
  if (!result.sites.evacuated_site.empty() && result.sites.evacuation_end <= 0)
    problems.push_back({checker.place("sites.evacuate"), "sites.until", "an evacuation needs its end"});
  if (!result.timeline.enabled)
    for (const auto* path : {"timeline.listen", "timeline.reports", "segments.folder"})
      if (const auto at = checker.values.find(path);
          at != checker.values.end() && (at->second.number > 0 || !at->second.text.empty()))
        problems.push_back({checker.place(path), path, "does nothing while timeline.on is no"});
  if (!problems.empty()) refuse(std::move(problems));
  return result;
}

OperatorSettings load_operator_settings(const std::string& path, std::size_t router_memory) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw InfoFileError({{0, "", path + " can't be read"}});
  return parse_operator_settings(content.str(), router_memory);
}

OperatorSettings default_operator_settings() {
  return parse_operator_settings("");
}

std::string reference_page() {
  std::string page =
      "# The operators' file: reference\n\nMade from the table in `src/operators/operators.cpp` by `yoketurn "
      "check "
      "--reference`. `yoketurn check FILE` tells all that is wrong with a file at once.\n";
  std::string group;
  for (const auto& e : kEntries) {
    const auto head = e.path.substr(0, e.path.find('.'));
    if (head != group) {
      group = head;
      page += fmt::format("\n## {}\n\n| entry | takes | default | what it is |\n| --- | --- | --- | --- |\n",
                          group);
    }
    page += fmt::format("| `{}` | {} | `{}` | {} |\n", e.path, expected(e), e.default_value, e.description);
  }
  return page;
}

}  // namespace yoketurn
