#include "wire/text.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace yoketurn::wire {
std::string_view FieldReader::word(const char* field) {
  if (rest_.empty()) throw InputError(std::string(field) + " is missing");
  const auto end = std::min(rest_.find(' '), rest_.size());
  const auto result = rest_.substr(0, end);
  if (result.empty()) throw InputError(std::string(field) + " is empty");
  rest_.remove_prefix(std::min(end + 1, rest_.size()));
  return result;
}

template <class Number>
Number FieldReader::parse_integer(const char* field) {
  const auto text = word(field);
  Number value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) throw_invalid_value(field, text);
  return value;
}

long long FieldReader::integer(const char* field) {
  return parse_integer<long long>(field);
}
unsigned long long FieldReader::unsigned_integer(const char* field) {
  return parse_integer<unsigned long long>(field);
}

int FieldReader::index(const char* field) {
  const auto text = word(field);
  const auto value = parse_number(text);
  if (!value || std::abs(*value) > kMaxIndex) throw_invalid_value(field, text);
  return static_cast<int>(*value);
}

double FieldReader::number(const char* field, double absent) {
  const auto text = word(field);
  if (text == "-") return absent;
  const auto value = parse_number(text);
  if (!value) throw_invalid_value(field, text);
  return *value;
}

double FieldReader::seconds(const char* field, double absent) {
  return number(field, absent * 1e6) / 1e6;
}

Outcome parse_outcome(std::string_view verdict) {
  static constexpr std::pair<std::string_view, Outcome> kVerdicts[] = {
      {"success", Outcome::success},         {"failure", Outcome::failure},
      {"overloaded", Outcome::overloaded},   {"timed_out", Outcome::timed_out},
      {"unreachable", Outcome::unreachable}, {"broken", Outcome::disconnected},
      {"withdrawn", Outcome::cancelled},     {"void", Outcome::unsent}};
  for (const auto& [word, outcome] : kVerdicts)
    if (word == verdict) return outcome;
  throw_invalid_value("verdict", verdict);
}

namespace {

constexpr std::string_view kBase64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

}  // namespace

std::string encode_base64(std::string_view bytes) {
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j)
      bits = bits << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0u);
    for (std::size_t j = 0; j < 4; ++j)
      text += i + j > bytes.size() ? '=' : kBase64Digits[bits >> (18 - 6 * j) & 63];
  }
  return text.empty() ? "-" : text;
}

std::optional<std::string> decode_base64(std::string_view text) {
  std::string bytes;
  if (text == "-") return bytes;
  if (text.size() % 4 != 0) return std::nullopt;
  const auto padding = text.size() - std::min(text.find_last_not_of('=') + 1, text.size());
  if (padding > 2) return std::nullopt;
  text.remove_suffix(padding);
  std::uint32_t bits = 0;
  int bit_count = 0;
  for (const auto digit : text) {
    const auto value = kBase64Digits.find(digit);
    if (value == std::string_view::npos) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    bit_count += 6;
    if (bit_count >= 8) bytes += static_cast<char>(bits >> (bit_count -= 8) & 0xff);
  }
  return bytes;
}

long long to_microseconds(double seconds) {
  return std::llround(seconds * 1e6);
}

}  // namespace yoketurn::wire
