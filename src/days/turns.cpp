#include "days/turns.hpp"

#include <utility>

namespace yoketurn::days {

Turns::Turns(std::vector<int> site_of_router, int sites)
    : site_of_(std::move(site_of_router)), in_(site_of_.size()), next_(static_cast<std::size_t>(sites)) {}

int Turns::pick(int site) {
  const auto sites = static_cast<int>(next_.size());
  for (int i = 0; i < sites; ++i) {
    const auto at = (site + i) % sites;
    auto& next = next_[static_cast<std::size_t>(at)];
    for (std::size_t j = 0; j < site_of_.size(); ++j) {
      const auto router = (next + j) % site_of_.size();
      if (site_of_[router] != at || !in_[router]) continue;
      next = router + 1;
      return static_cast<int>(router);
    }
  }
  return -1;
}

}  // namespace yoketurn::days
