// An event as it is read: with its names, on Unix time; as a JSON line and back. What the commands and the
// listener share.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "timeline/timeline.hpp"

namespace yoketurn {

struct Record {
  double unix = 0;
  std::string line, other;
  Event event;
};

std::string to_json(const Record& record);                      // one line, without its end
std::optional<Record> record_from_json(std::string_view line);  // nullopt: it is something else
std::string to_json(const Timeline& timeline, const Summary& summary);
std::string to_json(const Timeline::Line& line, const Timeline& timeline, double now);
Record record_of(const Timeline& timeline, const Event& event);

std::string iso(double unix);  // 2026-12-01T18:03:07.250Z
std::optional<double> from_iso(std::string_view text);

// A span of time: "last 10m", "A..B" in ISO, or one moment with 5 s around it.
struct Span {
  double from = 0, to = 0;
};
std::optional<Span> span_of(std::string_view text, double now);

// One line an event, runs of the same folded; times in ISO.
void tell_story(const std::vector<Record>& records, const std::function<void(const std::string&)>& say);
// What became of each part of a query, choice by choice.
void tell_query(const std::vector<Record>& records, std::string_view query,
                const std::function<void(const std::string&)>& say);
// What was decided about a node around a moment.
void tell_node(const std::vector<Record>& records, const std::string& node, double at,
               const std::function<void(const std::string&)>& say);
std::string sentence(const Record& record);

}  // namespace yoketurn
