// Log lines: one event per line, with a fixed event name and named values, as text or as JSON. The rate of
// each event is limited: lines beyond it are counted and summarized. The log never blocks its caller: lines
// that the reader of the stream doesn't take at once wait in a bounded queue, and lines that don't fit into
// it are counted and reported.
#pragma once

#include <fmt/format.h>
#include <spdlog/logger.h>

#include <cstdio>
#include <map>
#include <memory>
#include <string_view>

namespace yoketurn {

class NonBlockingSink;

class Log {
 public:
  struct Options {
    bool json = false;
    spdlog::level::level_enum level = spdlog::level::info;  // the lowest level that is written
    std::size_t max_queued_bytes = 256 * 1024;
  };

  explicit Log(std::FILE* to) : Log(to, Options{}) {}
  Log(std::FILE* to, const Options& options);
  ~Log();

  void configure(const Options& options);  // from the next line on

  // Writes a line. The event must be a string literal, as its name is kept by reference; `values` is a format
  // string of name=value pairs, such as "node={} why=\"{}\"".
  template <class... Values>
  void line(std::string_view event, fmt::format_string<Values...> values, Values&&... args) {
    if (should_write(event)) write(event, values, fmt::make_format_args(args...));
  }
  // Writes queued lines. Once a second it also resets the rate limits and writes how many lines of each event
  // were suppressed and how many lines were dropped. To be called regularly; `now` is in seconds of any one
  // clock.
  void write_summaries(double now);
  long long dropped_lines() const;  // in all, because the queue was full
  std::size_t queued_bytes() const;

 private:
  struct EventCount {
    int written = 0;
    long long suppressed = 0;
  };

  bool should_write(std::string_view event);  // checks the level and the rate limit, and counts the line
  void write(std::string_view event, fmt::string_view values, fmt::format_args args);

  static constexpr int kMaxLinesPerEvent = 20;         // between two summaries
  static constexpr std::size_t kMaxValueBytes = 1024;  // of all values of a line
  std::shared_ptr<NonBlockingSink> sink_;
  std::unique_ptr<spdlog::logger> logger_;
  bool json_ = false;
  std::map<std::string_view, EventCount> counts_;
  long long reported_dropped_lines_ = 0;
  double last_summary_at_ = 0;
};

// Formats name=value pairs as the members of a JSON object, without the braces.
std::string json_members(fmt::string_view values, fmt::format_args args);
std::string json_text(std::string_view text);  // as a quoted JSON string

}  // namespace yoketurn
