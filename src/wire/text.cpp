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
      {"unreachable", Outcome::unreachable}, {"broken", Outcome::disconnected},
      {"withdrawn", Outcome::cancelled},     {"void", Outcome::unsent}};
  for (const auto& [word, meaning] : kWords)
    if (word == verdict) return meaning;
  complain("verdict", verdict);
}

namespace {

constexpr std::string_view kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string encode(std::string_view raw) {
  std::string text;
  for (std::size_t i = 0; i < raw.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 | (i + j < raw.size() ? static_cast<unsigned char>(raw[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j) text += i + j > raw.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63];
  }
  return text.empty() ? "-" : text;
}

std::optional<std::string> decode(std::string_view text) {
  std::string raw;
  if (text == "-") return raw;
  if (text.size() % 4 != 0) return std::nullopt;
  const auto padding = text.size() - std::min(text.find_last_not_of('=') + 1, text.size());
  if (padding > 2) return std::nullopt;
  text.remove_suffix(padding);
  std::uint32_t bits = 0;
  int held = 0;
  for (const auto digit : text) {
    const auto value = kDigits.find(digit);
    if (value == std::string_view::npos) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    held += 6;
    if (held >= 8) raw += static_cast<char>(bits >> (held -= 8) & 0xff);
  }
  return raw;
}

long long micros(double seconds) {
  return std::llround(seconds * 1e6);
}

}  // namespace yoketurn::wire
