#include "versions/orders.hpp"

#include <fmt/format.h>

#include <cmath>
#include <ctime>

#include "operators/operators.hpp"

namespace yoketurn {

namespace {

using enum EntryType;
constexpr double kMaxCount = 1e15;  // integers up to it are exact in a double
constexpr EntrySpec kOrderEntries[] = {
    {"order.term", count, 1, kMaxCount, "", "1", "The auditor's term; an order of a lower term is refused."},
    {"order.number", count, 1, kMaxCount, "", "1", "The order's number, increasing within the term."},
    {"order.router", name, 0, 0, "", "off", "The router the order is for."},
    {"order.step", choice, 0, 0, "ask_again follow read_again step_aside shut_out back", "ask_again",
     "The step to carry out."},
    {"order.why", name, 0, 0, "", "off", "The reason, in words."},
    {"order.until", timestamp, 0, 0, "", "off", "When the order expires."},
    {"order.agent", endpoint, 0, 0, "", "off", "follow: address of the discovery agent."},
};

std::string format_utc(double unix) {
  const auto at = static_cast<std::time_t>(std::floor(unix));
  char text[32];
  std::tm when{};
  std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&at, &when));
  return text;
}

// Quotes the text as an INFO string; line breaks become spaces.
std::string quoted(std::string_view text) {
  std::string result = "\"";
  for (const auto c : text) {
    if (c == '"' || c == '\\') result += '\\';
    result += c == '\n' || c == '\r' ? ' ' : c;
  }
  return result + '"';
}

}  // namespace

Order parse_order(std::string_view text) {
  const auto given = parse_entries(text, kOrderEntries);
  std::vector<FileProblem> missing;
  for (const auto* path : {"order.term", "order.number", "order.router", "order.step", "order.until"})
    if (!given.contains(path)) missing.push_back({0, path, "is missing"});
  if (!missing.empty()) throw InfoFileError(missing);
  Order order;
  order.term = static_cast<long long>(given.at("order.term").number);
  order.number = static_cast<long long>(given.at("order.number").number);
  order.router = given.at("order.router").text;
  for (int i = 0; i < static_cast<int>(OrderStep::last); ++i)
    if (yoketurn::name(static_cast<OrderStep>(i)) == given.at("order.step").text)
      order.step = static_cast<OrderStep>(i);
  order.expires_at = given.at("order.until").number;
  if (const auto at = given.find("order.why"); at != given.end()) order.reason = at->second.text;
  if (const auto at = given.find("order.agent"); at != given.end()) order.discovery_agent = at->second.text;
  if (order.step == OrderStep::follow && order.discovery_agent.empty())
    throw InfoFileError(
        {{0, "order.agent", "is missing: the step follow needs the address of a discovery agent"}});
  return order;
}

std::string to_info(const Order& order) {
  auto text = fmt::format("order\n{{\n  term {}\n  number {}\n  router {}\n  step {}\n  until {}\n",
                          order.term, order.number, quoted(order.router), yoketurn::name(order.step),
                          format_utc(order.expires_at));
  if (!order.reason.empty()) text += fmt::format("  why {}\n", quoted(order.reason));
  if (!order.discovery_agent.empty()) text += fmt::format("  agent {}\n", order.discovery_agent);
  return text + "}\n";
}

}  // namespace yoketurn
