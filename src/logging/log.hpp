// Log lines: one event a line, stable words, named values, as text or as JSON. A flood of one event is summed
// up. A reader that stalls holds nothing up: lines wait in a bounded queue, and those that find no room are
// counted and told.
#pragma once

#include <fmt/format.h>
#include <spdlog/logger.h>

#include <cstdio>
#include <map>
#include <memory>
#include <string_view>

namespace yoketurn {

class LineSink;

class Log {
 public:
  struct Options {
    bool json = false;
    spdlog::level::level_enum level = spdlog::level::info;
    std::size_t max_queued_bytes = 256 * 1024;  // bytes
  };

  explicit Log(std::FILE* to) : Log(to, Options{}) {}
  Log(std::FILE* to, const Options& options);
  ~Log();

  void configure(const Options& options);  // from the next line on

  // The event is a literal; the values follow as name=value.
  template <class... Values>
  void line(std::string_view event, fmt::format_string<Values...> values, Values&&... args) {
    if (wanted(event)) write(event, values, fmt::make_format_args(args...));
  }
  void write_summaries(double now);  // tells what was held back; called about once a second
  long long dropped_lines() const;   // lines, for want of room
  std::size_t queued_bytes() const;  // bytes

 private:
  struct Count {
    int written = 0;
    long long held_back = 0;
  };

  bool wanted(std::string_view event);  // and counts it
  void write(std::string_view event, fmt::string_view values, fmt::format_args args);

  static constexpr int kLines = 20;              // of one event between two calls of write_summaries
  static constexpr std::size_t kLongest = 1024;  // of a line's values
  std::shared_ptr<LineSink> sink_;
  std::unique_ptr<spdlog::logger> logger_;
  bool json_ = false;
  std::map<std::string_view, Count> counts_;
  long long told_lost_ = 0;
  double summed_ = 0;
};

// One line of values, made from name=value pairs, as the members of a JSON object.
std::string json_members(fmt::string_view values, fmt::format_args args);
std::string json_text(std::string_view text);  // quoted

}  // namespace yoketurn
