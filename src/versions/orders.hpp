// The file of an auditor's order to one router: INFO, parsed by the parser of the operators' file. An order
// is accepted as a whole or not at all.
#pragma once

#include <string>
#include <string_view>

#include "versions/service.hpp"

namespace yoketurn {

Order parse_order(std::string_view text);  // throws BadOperators with every problem found
std::string to_info(
    const Order& order);  // the text that parse_order reads; expires_at is rounded down to seconds

}  // namespace yoketurn
