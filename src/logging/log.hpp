// Log lines: one event a line, stable words, named values. A flood of one event is summed up.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <map>
#include <string_view>

namespace yoketurn {

class Log {
 public:
  explicit Log(std::FILE* to) : to_(to) {}

  // The event is a literal; the values follow as name=value.
  template <class... Values>
  void line(std::string_view event, fmt::format_string<Values...> values, Values&&... args) {
    write(event, fmt::vformat(values, fmt::make_format_args(args...)));
  }
  void sum_up(double now);  // tells what was held back; called about once a second

 private:
  struct Count {
    int written = 0;
    long long held_back = 0;
  };

  void write(std::string_view event, std::string_view values);

  static constexpr int kLines = 20;              // of one event between two calls of sum_up
  static constexpr std::size_t kLongest = 1024;  // of a line's values
  std::FILE* to_;
  std::map<std::string_view, Count> counts_;
  double summed_ = 0;
};

}  // namespace yoketurn
