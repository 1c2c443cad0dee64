// Plays many experiments, a thread a core, and keeps what each gave in a file of JSON lines, so that a sweep
// that was broken off goes on where it was. The results do not depend on how many threads there are.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/experiment.hpp"

namespace yoketurn::lab {

class Plays {
 public:
  // keep: the file; empty: nothing is kept. threads 0: one a core. quiet: no progress on the terminal.
  Plays(std::string keep, int threads, bool quiet);
  // In the order of what was asked. Throws what the first of them threw that failed.
  std::vector<Figures> all(const std::vector<Experiment>& experiments);
  int played() const { return played_; }  // that were not kept from before

 private:
  std::string keep_;
  int threads_;
  bool quiet_;
  int played_ = 0;
};

std::string to_json(const std::string& key, const Experiment& experiment, const Figures& figures);

}  // namespace yoketurn::lab
