#include "wire/text.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace yoketurn::wire {
std::string_view Fields::word(const char* what) {
  if (rest_.empty()) throw Malformed(std::string(what) + " is missing");
  const auto end = std::min(rest_.find(' '), rest_.size());
  const auto result = rest_.substr(0, end);
  if (result.empty()) throw Malformed(std::string(what) + " is empty");
  rest_.remove_prefix(std::min(end + 1, rest_.size()));
  return result;
}

template <class Number>
Number Fields::whole(const char* what) {
  const auto text = word(what);
  Number value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) complain(what, text);
  return value;
}

long long Fields::integer(const char* what) {
  return whole<long long>(what);
}
unsigned long long Fields::natural(const char* what) {
  return whole<unsigned long long>(what);
}

int Fields::index(const char* what) {
  const auto text = word(what);
  const auto value = to_number(text);
  if (!value || std::abs(*value) > kLargestIndex) complain(what, text);
  return static_cast<int>(*value);
}

double Fields::number(const char* what, double absent) {
  const auto text = word(what);
  if (text == "-") return absent;
  const auto value = to_number(text);
  if (!value) complain(what, text);
  return *value;
}

double Fields::seconds(const char* what, double absent) {
  return number(what, absent * 1e6) / 1e6;
}

Outcome outcome(std::string_view verdict) {
  static constexpr std::pair<std::string_view, Outcome> kWords[] = {
      {"success", Outcome::success},         {"failure", Outcome::failure},
      {"overloaded", Outcome::overloaded},   {"timed_out", Outcome::timed_out},
      {"unreachable", Outcome::unreachable}, {"broken", Outcome::broken},
      {"withdrawn", Outcome::cancelled},     {"void", Outcome::unsent}};
  for (const auto& [word, meaning] : kWords)
    if (word == verdict) return meaning;
  complain("verdict", verdict);
}

long long micros(double seconds) {
  return std::llround(seconds * 1e6);
}

}  // namespace yoketurn::wire
