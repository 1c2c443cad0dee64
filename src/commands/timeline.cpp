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

struct Options {
  std::string router, segments, span, node, query, at, out;
};

double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string escaped(std::string_view text) {
  std::string result;
  for (const unsigned char c : text)
    result += std::isalnum(c) || c == '-' || c == '.' || c == '_' ? std::string(1, static_cast<char>(c))
                                                                  : fmt::format("%{:02x}", c);
  return result;
}

// The body that a running router answers with.
std::string fetch(const std::string& router, const std::string& target) {
  namespace asio = boost::asio;
  const auto at = parse_endpoint(router);
  if (!at) throw std::runtime_error("--router " + router + ": expected HOST:PORT as numbers");
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(*at, error);
  if (error) throw std::runtime_error(router + ": " + error.message());
  asio::write(socket, asio::buffer(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, router)));
  std::string all;
  std::vector<char> piece(1 << 16);
  for (;;) {
    const auto count = socket.read_some(asio::buffer(piece), error);
    if (error) break;
    all.append(piece.data(), count);
  }
  const auto head = all.find("\r\n\r\n");
  if (head == std::string::npos) throw std::runtime_error(router + ": no answer");
  const auto body = all.substr(head + 4);
  if (!all.starts_with("HTTP/1.1 200"))
    throw std::runtime_error(router + ": " + body.substr(0, body.find('\n')));
  return body;
}

std::vector<Record> records_of(const Options& o, const std::string& line = "") {
  const auto span = span_of(o.span, unix_now());
  if (!span)
    throw std::runtime_error("--span '" + o.span + "': expected last 10m, a moment in ISO, or FROM..TO");
  std::vector<Record> records;
  if (!o.router.empty()) {
    auto target = fmt::format("/timeline/events?from={:.3f}", span->from);
    if (std::isfinite(span->to)) target += fmt::format("&to={:.3f}", span->to);
    if (!line.empty()) target += "&line=" + escaped(line);
    std::istringstream body(fetch(o.router, target));
    for (std::string each; std::getline(body, each);)
      if (auto record = record_from_json(each)) records.push_back(std::move(*record));
    return records;
  }
  if (o.segments.empty())
    throw std::runtime_error("name a running router (--router) or a folder of segments (--segments)");
  const auto read = read_segments(o.segments);
  for (const auto& told : read.told) fmt::print(stderr, "{}\n", told);
  if (read.events.empty() && read.told.empty()) throw std::runtime_error(o.segments + ": no segments there");
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

void say(const std::string& line) {
  fmt::print("{}\n", line);
}

int nodes(const Options& o) {
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
  struct Seen {
    double first = 0, last = 0;
    long long sent = 0, answered = 0, bad = 0;
    std::string state;
  };
  std::map<std::string, Seen> seen;
  for (const auto& r : records_of(o)) {
    if (r.line == "door" || r.line == "loop") continue;
    auto& node = seen[r.line];
    if (node.first == 0) node.first = r.unix;
    node.last = r.unix;
    const auto what = r.event.what;
    if (what == What::sent) ++node.sent;
    if (what == What::outcome)
      ++(static_cast<Outcome>(r.event.why) == Outcome::success ? node.answered : node.bad);
    if (what == What::ready || what == What::draining || what == What::gone) node.state = name(what);
  }
  fmt::print("{:<20} {:<9} {:>8} {:>9} {:>7}  {} .. {}\n", "node", "state", "sent", "answered", "other",
             "first", "last");
  for (const auto& [name, n] : seen)
    fmt::print("{:<20} {:<9} {:>8} {:>9} {:>7}  {} .. {}\n", name, n.state, n.sent, n.answered, n.bad,
               iso(n.first), iso(n.last));
  return 0;
}

int show(const Options& o) {
  tell_story(records_of(o, o.node), say);
  return 0;
}

int why(const Options& o) {
  if (!o.query.empty()) {
    tell_query(records_of(o), o.query, say);
    return 0;
  }
  const auto at = from_iso(o.at);
  if (o.node.empty() || !at) {
    fmt::print(stderr, "yoketurn timeline why: name --query ID, or --node N and --at T in ISO\n");
    return kMisuse;
  }
  tell_node(records_of(o), o.node, *at, say);
  return 0;
}

int departures(const Options& o) {
  for (const auto& r : records_of(o))
    if (r.event.what == What::departed || r.event.what == What::returned)
      say(fmt::format("{}  {:<16}  {}", iso(r.unix), r.line == "loop" ? "fleet" : r.line, sentence(r)));
  return 0;
}

int sites(const Options& o) {
  for (const auto& r : records_of(o))
    if (r.event.what == What::site) say(fmt::format("{}  {:<16}  {}", iso(r.unix), r.line, sentence(r)));
  return 0;
}

int plot(const Options& o) {
  plot_node(records_of(o, o.node), o.node, o.out);
  fmt::print("{}\n", o.out);
  return 0;
}

int export_all(const Options& o) {
  for (const auto& r : records_of(o, o.node)) fmt::print("{}\n", to_json(r));
  return 0;
}

}  // namespace

void add_timeline(CLI::App& app, Chosen& chosen) {
  auto* command =
      app.add_subcommand("timeline", "Read the time line of a running router or of segments on disk.");
  const auto o = std::make_shared<Options>();
  command->add_option("--router", o->router, "HOST:PORT of timeline.listen");
  command->add_option("--segments", o->segments, "Folder of segments");
  command->add_option("--span", o->span, "last 10m, a moment in ISO, or FROM..TO");
  command->require_subcommand(1);
  command->fallthrough();
  command->footer("Example: yoketurn timeline --router 127.0.0.1:18090 --span \"last 10m\" show s-2");
  const auto add = [&](const char* name, const char* help, int (*act)(const Options&)) {
    auto* sub = command->add_subcommand(name, help);
    sub->callback([&chosen, o, act] {
      chosen = [o, act] {
        try {
          return act(*o);
        } catch (const std::exception& error) {
          fmt::print(stderr, "yoketurn timeline: {}\n", error.what());
          return kTrouble;
        }
      };
    });
    return sub;
  };
  add("nodes", "All nodes, a line each", nodes);
  add("show", "The story of a node, of door or of loop", show)->add_option("node", o->node)->required();
  auto* reason = add("why", "Why a node was or was not chosen, or what became of a query", why);
  reason->add_option("--node", o->node);
  reason->add_option("--at", o->at, "A moment in ISO");
  reason->add_option("--query", o->query, "The id that the client gave");
  add("departures", "Departures and returns", departures);
  add("sites", "What was believed of sites, and on what it hung", sites);
  auto* drawn = add("plot", "Draw a node's line as SVG (needs gnuplot)", plot);
  drawn->add_option("node", o->node)->required();
  drawn->add_option("-o,--out", o->out)->required();
  add("export", "All events as JSON lines", export_all)->add_option("node", o->node);
}

}  // namespace yoketurn::commands
