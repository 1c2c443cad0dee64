#include <iostream>

#include "wire/host.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  yoketurn::wire::Host host;
  host.run(std::cin, std::cout, std::cerr);
  return 0;
}
