// Follows a member list while it is being received and tells when another of its entries is complete, so that
// a list that arrives slowly can be told from one that has stopped.
#pragma once

#include <string_view>

namespace yoketurn {

class ListProgress {
 public:
  // Takes the next bytes of a list, a JSON object whose entries are objects in an array. Returns whether they
  // complete an entry.
  bool take(std::string_view bytes);

 private:
  void take_outside_string(char c);

  int depth_ = 0;  // of objects and arrays
  bool in_string_ = false;
  bool escaped_ = false;  // the last character was a backslash in a string
  bool completed_ = false;
};

}  // namespace yoketurn
