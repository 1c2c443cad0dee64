// A day's terms as routers are told them: the object of settings in their configuration.
#pragma once

#include <string>

#include "days/day.hpp"

namespace yoketurn::days {

inline constexpr double kConnectTimeout = 0.25, kIdleTimeout = 15;  // of connections to nodes
inline constexpr int kMostOpen = 4000;                              // queries and parts in hand

std::string settings_text(const Day& day, const std::string& site);  // JSON; of a router of this site

}  // namespace yoketurn::days
