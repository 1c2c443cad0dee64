// Who decides in the emulator: the module, or one of the plain designs that it is compared with. They keep
// the rules by simple means (a cold node gets nothing, nothing is refused); their figures say what a choice
// of node or of copies is worth.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "brain.hpp"

namespace yoketurn::emulator {

struct Design {
  enum class Choice { module, random, round_robin, fewest_waiting, two_choices, all_seeing };
  enum class Copies { none, late, at_once };
  Choice choice = Choice::module;
  Copies copies = Copies::late;
  bool module_copies = true;  // the module with or without its copies
  // Breaks one rule on purpose, so that the checker is seen to find it: late answers, effects twice, drained
  // nodes, cold nodes, wholes that are not, calls without end.
  enum class Broken { none, late, twice, drains, cold, whole, budget };
  Broken broken = Broken::none;
};

// module, module-no-copies, random, round-robin, fewest-waiting, two-choices, all-seeing; the last five with
// -no-copies or -at-once behind; broken-late and so on. Throws std::invalid_argument naming them.
Design design_named(const std::string& name);

// waiting: the true number of parts at a node, infinite where it is dead or out of reach.
std::unique_ptr<RoutingPolicy> plain(const Settings& settings, const Design& design, std::uint64_t seed,
                                     std::function<double(int node)> waiting);

}  // namespace yoketurn::emulator
