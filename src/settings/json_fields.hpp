// Required fields of JSON objects. All functions throw InputError, which names the field that is missing or
// invalid.
#pragma once

#include <boost/json.hpp>
#include <string>
#include <string_view>

#include "settings/settings.hpp"

namespace yoketurn {

inline const boost::json::value& required_field(const boost::json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) throw InputError(std::string(name) + " is missing");
  return *value;
}

// A string that is not empty.
inline std::string string_field(const boost::json::object& object, std::string_view name) {
  const auto& value = required_field(object, name);
  const auto* text = value.if_string();
  if (text == nullptr || text->empty()) throw_invalid_value(name, boost::json::serialize(value));
  return std::string(*text);
}

// A number from `min` to `max`.
template <class Number>
Number number_field(const boost::json::object& object, std::string_view name, Number min, Number max) {
  const auto& value = required_field(object, name);
  boost::system::error_code error;
  const auto number = value.to_number<Number>(error);
  if (error || !(number >= min && number <= max)) throw_invalid_value(name, boost::json::serialize(value));
  return number;
}

inline const boost::json::object& object_field(const boost::json::object& object, std::string_view name) {
  const auto& value = required_field(object, name);
  if (!value.is_object()) throw_invalid_value(name, boost::json::serialize(value));
  return value.get_object();
}

// Parses a text that is one JSON object; `what` is its name in the error.
inline boost::json::object parse_json_object(std::string_view text, std::string_view what) {
  boost::system::error_code error;
  auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) throw InputError(std::string(what) + " is not a JSON object");
  return std::move(value.get_object());
}

}  // namespace yoketurn
