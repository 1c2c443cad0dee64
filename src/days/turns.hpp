// How a front spreads a site's queries over its routers.
#pragma once

#include <cstddef>
#include <vector>

namespace yoketurn::days {

// Which router is next: those of a site take turns, whatever the other sites' clients ask between them.
class Turns {
 public:
  Turns(std::vector<int> site_of_router, int sites);
  int pick(int site);  // of this site, or of the next that has one in; -1: there is none
  void set(int router, bool in) { in_[static_cast<std::size_t>(router)] = in; }
  bool in(int router) const { return in_[static_cast<std::size_t>(router)]; }

 private:
  std::vector<int> site_of_;
  std::vector<bool> in_;
  std::vector<std::size_t> next_;  // by site
};

}  // namespace yoketurn::days
