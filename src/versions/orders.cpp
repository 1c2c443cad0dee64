#include "versions/orders.hpp"

#include <fmt/format.h>

#include <cmath>
#include <ctime>

#include "operators/operators.hpp"

namespace yoketurn {

namespace {

using enum EntryType;
constexpr double kMostCount = 1e15;  // that a double holds exactly
constexpr EntrySpec kOrder[] = {
    {"order.term", count, 1, kMostCount, "", "1", "The auditor's term: a lower one than before is refused."},
    {"order.number", count, 1, kMostCount, "", "1", "Counted up within the term."},
    {"order.router", name, 0, 0, "", "off", "The router it is for."},
    {"order.step", choice, 0, 0, "ask_again follow read_again step_aside shut_out back", "ask_again",
     "What is to be done."},
    {"order.why", name, 0, 0, "", "off", "What it hangs on, in words."},
    {"order.until", timestamp, 0, 0, "", "off", "When it lapses by itself."},
    {"order.agent", endpoint, 0, 0, "", "off", "follow: where discovery is to be followed."},
};

std::string shown(double unix) {
  const auto at = static_cast<std::time_t>(std::floor(unix));
  char text[32];
  std::tm when{};
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&at, &when));
  return text;
}

// In quotes, as INFO takes it.
std::string quoted(std::string_view text) {
  std::string result = "\"";
  for (const auto c : text) {
    if (c == '"' || c == '\\') result += '\\';
    result += c == '\n' || c == '\r' ? ' ' : c;
  }
  return result + '"';
}

}  // namespace

Order read_order(std::string_view text) {
  const auto given = parse_entries(text, kOrder);
  std::vector<FileProblem> missing;
  for (const auto* path : {"order.term", "order.number", "order.router", "order.step", "order.until"})
    if (!given.contains(path)) missing.push_back({0, path, "is missing"});
  if (!missing.empty()) throw InfoFileError(missing);
  Order order;
  order.term = static_cast<long long>(given.at("order.term").number);
  order.number = static_cast<long long>(given.at("order.number").number);
  order.router = given.at("order.router").text;
  for (int i = 0; i < static_cast<int>(Step::last); ++i)
    if (yoketurn::name(static_cast<Step>(i)) == given.at("order.step").text)
      order.step = static_cast<Step>(i);
  order.until = given.at("order.until").number;
  if (const auto at = given.find("order.why"); at != given.end()) order.why = at->second.text;
  if (const auto at = given.find("order.agent"); at != given.end()) order.agent = at->second.text;
  if (order.step == Step::follow && order.agent.empty())
    throw InfoFileError({{0, "order.agent", "is missing: where is discovery to be followed?"}});
  return order;
}

std::string to_info(const Order& o) {
  auto text = fmt::format("order\n{{\n  term {}\n  number {}\n  router {}\n  step {}\n  until {}\n", o.term,
                          o.number, quoted(o.router), yoketurn::name(o.step), shown(o.until));
  if (!o.why.empty()) text += fmt::format("  why {}\n", quoted(o.why));
  if (!o.agent.empty()) text += fmt::format("  agent {}\n", o.agent);
  return text + "}\n";
}

}  // namespace yoketurn
