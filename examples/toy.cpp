// Toy data nodes and a toy discovery for the router of examples/config.json. Ends with the terminal's Ctrl-C.
#include <cstdio>

#include "examples/standin.hpp"

int main() {
  using namespace yoketurn::toy;
  constexpr unsigned short kDiscovery = 18500;
  constexpr unsigned short kNodes = 18601;  // and the ones after it
  constexpr int kMany = 4;
  boost::asio::io_context context(1);
  std::vector<std::unique_ptr<DataNode>> nodes;
  std::vector<std::string> entries;
  for (int i = 0; i < kMany; ++i) {
    nodes.push_back(std::make_unique<DataNode>(context, static_cast<unsigned short>(kNodes + i)));
    entries.push_back(Discovery::entry(fmt::format("s-{}", i), nodes.back()->at(), i));
  }
  Discovery discovery(context, kDiscovery);
  discovery.whole = Discovery::list(1, true, entries);
  std::printf("%d toy data nodes and a toy discovery on 127.0.0.1:%d\n", kMany, kDiscovery);
  std::fflush(stdout);
  context.run();
}
