// yoketurn_wirehost: runs router instances for a simulator that talks over standard input and output.
#include <iostream>

#include "wire/host.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  yoketurn::wire::InstanceHost host;
  host.run(std::cin, std::cout, std::cerr);
  return 0;
}
