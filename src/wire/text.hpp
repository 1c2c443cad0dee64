// Reading and writing the text wire: fields of a line and numbers. Knows nothing of instances.
#pragma once

#include <string>
#include <string_view>

#include "routing_policy.hpp"
#include "settings/settings.hpp"

namespace yoketurn::wire {

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

Outcome outcome(std::string_view verdict);
long long micros(double seconds);

std::string encode(std::string_view raw);                  // base64 with padding; "-" for nothing
std::optional<std::string> decode(std::string_view text);  // nothing: it is no such text

}  // namespace yoketurn::wire
