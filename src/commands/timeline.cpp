#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <sstream>

#include "commands/commands.hpp"
#include "discovery/list.hpp"
#include "timeline/plot.hpp"
#include "timeline/record.hpp"
#include "timeline/segments.hpp"

namespace yoketurn::commands {

namespace {

// Values of the command line, as text; empty: not given.
struct Options {
  std::string router, segments, span, node, query, at, out;
};

double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string url_encode(std::string_view text) {
  std::string result;
  for (const unsigned char c : text)
    result += std::isalnum(c) || c == '-' || c == '.' || c == '_' ? std::string(1, static_cast<char>(c))
                                                                  : fmt::format("%{:02x}", c);
  return result;
}

// Sends a GET request to a running router and returns the body of its response. Throws if the response is not
// 200.
std::string fetch(const std::string& router, const std::string& target) {
  namespace asio = boost::asio;
  const auto endpoint = parse_endpoint(router);
  if (!endpoint) throw std::runtime_error("--router " + router + ": expected a numeric address as HOST:PORT");
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(*endpoint, error);
  if (error) throw std::runtime_error(router + ": " + error.message());
  asio::write(socket, asio::buffer(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, router)));
  std::string response;
  std::vector<char> buffer(1 << 16);
  for (;;) {
    const auto count = socket.read_some(asio::buffer(buffer), error);
    if (error) break;
    response.append(buffer.data(), count);
  }
  const auto header_end = response.find("\r\n\r\n");
  if (header_end == std::string::npos) throw std::runtime_error(router + ": no HTTP response");
  const auto body = response.substr(header_end + 4);
  if (!response.starts_with("HTTP/1.1 200"))
    throw std::runtime_error(router + ": " + body.substr(0, body.find('\n')));
  return body;
}

// Events of the requested span, of a running router or of segments on disk; only of `line` unless it is
// empty.
std::vector<Record> read_records(const Options& o, const std::string& line = "") {
  const auto span = span_of(o.span, unix_now());
  if (!span)
    throw std::runtime_error("--span '" + o.span + "': expected \"last 10m\", an ISO 8601 time or FROM..TO");
  std::vector<Record> records;
  if (!o.router.empty()) {
    auto target = fmt::format("/timeline/events?from={:.3f}", span->from);
    if (std::isfinite(span->to)) target += fmt::format("&to={:.3f}", span->to);
    if (!line.empty()) target += "&line=" + url_encode(line);
    std::istringstream body(fetch(o.router, target));
    for (std::string json_line; std::getline(body, json_line);)
      if (auto record = record_from_json(json_line)) records.push_back(std::move(*record));
    return records;
  }
  if (o.segments.empty())
    throw std::runtime_error("name a running router (--router) or a folder of segments (--segments)");
  const auto read = read_segments(o.segments);
  for (const auto& told : read.told) fmt::print(stderr, "{}\n", told);
  if (read.events.empty() && read.told.empty()) throw std::runtime_error(o.segments + ": no segments found");
  const auto name_of = [&](std::uint32_t id) {
    const auto at = read.names.find(id);
    return at == read.names.end() ? (id == kDoor   ? "door"
                                     : id == kLoop ? "loop"
                                                   : fmt::format("#{}", id))
                                  : at->second;
  };
  for (std::size_t i = 0; i < read.events.size(); ++i) {
    const auto& event = read.events[i];
    const auto unix = read.unix_of(i);
    if (unix < span->from || unix > span->to) continue;
    Record r{unix, name_of(event.line), "", event};
    if (!line.empty() && r.line != line) continue;
    if ((event.what == What::sent || event.what == What::passed) && event.other != kNoLine)
      r.other = name_of(event.other);
    records.push_back(std::move(r));
  }
  return records;
}

void print_line(const std::string& line) {
  fmt::print("{}\n", line);
}

int list_nodes(const Options& o) {
  if (!o.router.empty()) {
    std::istringstream body(fetch(o.router, "/timeline/nodes"));
    fmt::print("{:<20} {:<9} {:<8} {:>8} {:>5} {:>9}  {}\n", "node", "state", "belief", "sent", "out",
               "oldest", "load report");
    for (std::string line; std::getline(body, line);) {
      const auto n = boost::json::parse(line).as_object();
      const auto& report = n.at("report");
      fmt::print("{:<20} {:<9} {:<8} {:>8} {:>5} {:>8.3f}s  {}\n", std::string(n.at("node").as_string()),
                 std::string(n.at("state").as_string()), std::string(n.at("belief").as_string()),
                 n.at("sent").to_number<long long>(), n.at("out").to_number<long long>(),
                 n.at("oldest").to_number<double>(),
                 report.is_null() ? std::string("none")
                                  : fmt::format("in flight {}, queue {}, {:.1f} s old",
                                                boost::json::serialize(report.at("in_flight")),
                                                boost::json::serialize(report.at("queue")),
                                                report.at("age").to_number<double>()));
    }
    return 0;
  }
  struct NodeSummary {
    double first = 0, last = 0;                   // Unix times of its events
    long long sent = 0, answered = 0, other = 0;  // calls; answered and other by outcome
    std::string state;
  };
  std::map<std::string, NodeSummary> summaries;
  for (const auto& r : read_records(o)) {
    if (r.line == "door" || r.line == "loop") continue;
    auto& node = summaries[r.line];
    if (node.first == 0) node.first = r.unix;
    node.last = r.unix;
    const auto what = r.event.what;
    if (what == What::sent) ++node.sent;
    if (what == What::outcome)
      ++(static_cast<Outcome>(r.event.why) == Outcome::success ? node.answered : node.other);
    if (what == What::ready || what == What::draining || what == What::gone) node.state = name(what);
  }
  fmt::print("{:<20} {:<9} {:>8} {:>9} {:>7}  {} .. {}\n", "node", "state", "sent", "answered", "other",
             "first", "last");
  for (const auto& [name, n] : summaries)
    fmt::print("{:<20} {:<9} {:>8} {:>9} {:>7}  {} .. {}\n", name, n.state, n.sent, n.answered, n.other,
               iso(n.first), iso(n.last));
  return 0;
}

int show_line(const Options& o) {
  tell_story(read_records(o, o.node), print_line);
  return 0;
}

int explain(const Options& o) {
  if (!o.query.empty()) {
    tell_query(read_records(o), o.query, print_line);
    return 0;
  }
  const auto at = from_iso(o.at);
  if (o.node.empty() || !at) {
    fmt::print(stderr, "yoketurn timeline why: expected --query ID, or --node N and --at T (ISO 8601)\n");
    return kExitUsage;
  }
  tell_node(read_records(o), o.node, *at, print_line);
  return 0;
}

int list_anomalies(const Options& o) {
  for (const auto& r : read_records(o))
    if (r.event.what == What::departed || r.event.what == What::returned)
      print_line(
          fmt::format("{}  {:<16}  {}", iso(r.unix), r.line == "loop" ? "fleet" : r.line, sentence(r)));
  return 0;
}

int list_site_changes(const Options& o) {
  for (const auto& r : read_records(o))
    if (r.event.what == What::site)
      print_line(fmt::format("{}  {:<16}  {}", iso(r.unix), r.line, sentence(r)));
  return 0;
}

int plot_line(const Options& o) {
  plot_node(read_records(o, o.node), o.node, o.out);
  fmt::print("{}\n", o.out);
  return 0;
}

int export_events(const Options& o) {
  for (const auto& r : read_records(o, o.node)) fmt::print("{}\n", to_json(r));
  return 0;
}

}  // namespace

void add_timeline(CLI::App& app, SelectedCommand& selected) {
  auto* command =
      app.add_subcommand("timeline", "Read the time line of a running router or of segments on disk.");
  const auto o = std::make_shared<Options>();
  command->add_option("--router", o->router, "HOST:PORT of a running router (its entry timeline.listen)");
  command->add_option("--segments", o->segments, "Folder of segments");
  command->add_option("--span", o->span, "\"last 10m\", an ISO 8601 time or FROM..TO");
  command->require_subcommand(1);
  command->fallthrough();
  command->footer("Example: yoketurn timeline --router 127.0.0.1:18090 --span \"last 10m\" show s-2");
  const auto add = [&](const char* name, const char* help, int (*action)(const Options&)) {
    auto* sub = command->add_subcommand(name, help);
    sub->callback([&selected, o, action] {
      selected = [o, action] {
        try {
          return action(*o);
        } catch (const std::exception& error) {
          fmt::print(stderr, "yoketurn timeline: {}\n", error.what());
          return kExitFailure;
        }
      };
    });
    return sub;
  };
  add("nodes", "List all nodes, one a line", list_nodes);
  add("show", "Print the events of a node, of the client ingress (door) or of the event loop (loop)",
      show_line)
      ->add_option("node", o->node)
      ->required();
  auto* reason = add("why", "Explain why a node was or was not chosen, or what became of a query", explain);
  reason->add_option("--node", o->node);
  reason->add_option("--at", o->at, "A time in ISO 8601");
  reason->add_option("--query", o->query, "The id that the client gave the query");
  add("departures", "List when nodes departed from their usual behaviour, and when they returned to it",
      list_anomalies);
  add("sites", "List how sites were assessed over time, and on what evidence", list_site_changes);
  auto* drawn = add("plot", "Plot a node's time line as SVG (needs gnuplot)", plot_line);
  drawn->add_option("node", o->node)->required();
  drawn->add_option("-o,--out", o->out)->required();
  add("export", "Print all events as JSON lines", export_events)->add_option("node", o->node);
}

}  // namespace yoketurn::commands
