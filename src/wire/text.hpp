// Parsing and formatting of the simulator's line protocol: the fields of a line, numbers and base64.
#pragma once

#include <string>
#include <string_view>

#include "routing_policy.hpp"
#include "settings/settings.hpp"

namespace yoketurn::wire {

// Reads the space-separated fields of one line from left to right. Each function takes the next field;
// `field` is its name in error messages. All throw InputError if the field is missing or malformed.
class FieldReader {
 public:
  explicit FieldReader(std::string_view line) : rest_(line) {}
  std::string_view word(const char* field);
  long long integer(const char* field);
  unsigned long long unsigned_integer(const char* field);
  int index(const char* field);                     // within plus or minus kMaxIndex
  double number(const char* field, double absent);  // `absent` if the field is "-"
  // A time that is written in microseconds; returned in seconds, like `absent`, which stands for "-".
  double seconds(const char* field, double absent);
  std::string_view rest() const { return rest_; }  // what has not been read yet

 private:
  template <class Number>
  Number parse_integer(const char* field);

  std::string_view rest_;
};

Outcome parse_outcome(std::string_view verdict);  // throws InputError on an unknown one
long long to_microseconds(double seconds);

// Base64 with padding; "-" stands for no bytes. Decoding returns nullopt for malformed text.
std::string encode_base64(std::string_view bytes);
std::optional<std::string> decode_base64(std::string_view text);

}  // namespace yoketurn::wire
