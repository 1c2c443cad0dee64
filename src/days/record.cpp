#include "days/record.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <istream>
#include <ostream>
#include <stdexcept>

namespace yoketurn::days {

namespace {
constexpr std::string_view kNames[] = {"asked",  "answered", "unanswered", "sent", "ran",  "repeat",
                                       "served", "full",     "gave_up",    "node", "told", "process",
                                       "fault",  "site",     "standing",   "audit"};
static_assert(std::size(kNames) == static_cast<std::size_t>(Kind::last));
}  // namespace

std::string_view name(Kind kind) {
  return kNames[static_cast<std::size_t>(kind)];
}

std::string to_json(const Event& e) {
  std::string line = fmt::format(R"({{"at":{:.6f},"kind":"{}")", e.at, name(e.kind));
  const auto number = [&](const char* what, int value, int absent) {
    if (value != absent) line += fmt::format(R"(,"{}":{})", what, value);
  };
  const auto text = [&](const char* what, const std::string& value) {
    if (!value.empty())
      line += fmt::format(R"(,"{}":{})", what, boost::json::serialize(boost::json::value(value)));
  };
  number("router", e.router, -1);
  number("node", e.node, -1);
  text("id", e.id);
  number("vertical", e.vertical, -1);
  number("shard", e.shard, -1);
  number("number", e.number, 0);
  if (e.value != 0) line += fmt::format(R"(,"value":{:.6g})", e.value);
  text("text", e.text);
  return line + "}";
}

void write(std::ostream& to, const Record& record) {
  for (const auto& event : record) to << to_json(event) << '\n';
}

Record read_record(std::istream& from) {
  Record record;
  int number = 0;
  for (std::string line; std::getline(from, line);) {
    ++number;
    try {
      const auto o = boost::json::parse(line).as_object();
      const auto whole = [&](const char* what, int absent) {
        const auto* value = o.if_contains(what);
        return value ? value->to_number<int>() : absent;
      };
      const auto text = [&](const char* what) {
        const auto* value = o.if_contains(what);
        return value ? std::string(value->as_string()) : std::string();
      };
      const auto kind = std::find(std::begin(kNames), std::end(kNames), text("kind"));
      if (kind == std::end(kNames)) throw std::runtime_error("no such kind");
      const auto* value = o.if_contains("value");
      record.push_back({o.at("at").to_number<double>(), static_cast<Kind>(kind - std::begin(kNames)),
                        whole("router", -1), whole("node", -1), text("id"), whole("vertical", -1),
                        whole("shard", -1), whole("number", 0), value ? value->to_number<double>() : 0,
                        text("text")});
    } catch (const std::exception& error) {
      throw std::runtime_error(fmt::format("line {} of the record: {}", number, error.what()));
    }
  }
  return record;
}

}  // namespace yoketurn::days
