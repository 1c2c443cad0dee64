// One thing that passed the ways between processes, in numbers: what the checker and the account of service
// are told as it happens, be it on sockets or in the emulator. Times are seconds since the day began.
#pragma once

#include <span>
#include <string_view>

#include "days/record.hpp"

namespace yoketurn::days {

struct Passing {
  double at = 0;
  Kind kind = Kind::asked;
  int router = -1, node = -1;
  long long query = -1;  // one try of a client's question
  long long ask = -1;    // asked, answered, unanswered: the question, over all its tries
  int vertical = -1, shard = -1;
  int number = 0;  // as in the record: which try, status, step, version
  double value = 0;
  bool whole = false;             // answered: it is marked so
  std::span<const int> shards{};  // asked: of its parts; answered: that are in
  std::string_view text{};        // as in the record, but for shards
};

}  // namespace yoketurn::days
