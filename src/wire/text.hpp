// Reading and writing the text wire: fields of a line, numbers, settings. Knows nothing of instances.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "brain.hpp"

namespace yoketurn::wire {

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The fields of one line, taken from left to right.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view word(const char* what);
  long long integer(const char* what);
  unsigned long long natural(const char* what);
  int index(const char* what);  // a small whole number; anything else is malformed
  double number(const char* what, double absent);
  double seconds(const char* what, double absent);
  std::string_view rest() const { return rest_; }

 private:
  template <class Number>
  Number whole(const char* what);

  std::string_view rest_;
};

using Pairs = std::map<std::string, std::string, std::less<>>;
Pairs pairs(std::string_view text);
Settings settings(const Pairs& setup);  // throws Malformed on a missing or nonsensical required setting
std::vector<std::string> names(const Pairs& setup, std::string_view list);  // of NAME.count, NAME.0.name ...
std::vector<std::string> split(std::string_view text, char by);
const std::string& required(const Pairs& setup, std::string_view path);

Outcome outcome(std::string_view verdict);
long long micros(double seconds);

}  // namespace yoketurn::wire
