#include "discovery/list_progress.hpp"

namespace yoketurn {

namespace {

constexpr int kEntryDepth = 3;  // an object, in an array, in the object that is the list

}  // namespace

bool ListProgress::take(std::string_view bytes) {
  completed_ = false;
  for (const auto c : bytes) {
    if (!in_string_) {
      take_outside_string(c);
    } else if (escaped_) {
      escaped_ = false;
    } else if (c == '\\') {
      escaped_ = true;
    } else if (c == '"') {
      in_string_ = false;
    }
  }
  return completed_;
}

void ListProgress::take_outside_string(char c) {
  switch (c) {
    case '"':
      in_string_ = true;
      return;
    case '{':
    case '[':
      ++depth_;
      return;
    case '}':
      completed_ = completed_ || depth_ == kEntryDepth;
      --depth_;
      return;
    case ']':
      --depth_;
      return;
    default:
      return;
  }
}

}  // namespace yoketurn
