// An auditor's order to one router, as it stands in a file: INFO, read by the operators' reader, taken whole
// or not at all.
#pragma once

#include <string>
#include <string_view>

#include "versions/service.hpp"

namespace yoketurn {

Order read_order(std::string_view text);  // throws InfoFileError, with every problem there is
std::string to_info(const Order& order);  // what read_order reads; `until` is told to the second, downwards

}  // namespace yoketurn
