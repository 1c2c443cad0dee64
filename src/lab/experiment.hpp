// An experiment: a day's file, what is set in it otherwise, who decides, and what is read off the play. The
// same experiment, the same figures, whatever else runs beside it.
#pragma once

#include <string>
#include <vector>

#include "days/day.hpp"
#include "emulator/town.hpp"

namespace yoketurn::lab {

// A value in place of the file's, by the path of its entry: `seed`, `sites.*.rate`, `faults.lose.from`, or
// `design`, which is no entry of the file.
struct Setting {
  std::string path, value;
};
Setting read_setting(const std::string& text);  // PATH=VALUE; throws std::invalid_argument

struct Experiment {
  std::string name, text;  // the day's file
  std::vector<Setting> settings;
  double from = 0, to = 0;  // the span that is read; to 0: the whole day

  std::string design() const;
  days::Day day() const;    // throws days::BadDay
  std::string key() const;  // a hash of all of it and of the program that plays it
  Experiment with(const std::vector<Setting>& more) const;
  std::string file() const;  // the day's file with what is set in it
};
Experiment load_experiment(const std::string& path);
std::string without_faults(const std::string& text);  // of a day's file

// A file's reader may be off in the last bit: figures have nine digits, whether they were kept or not.
double kept_digits(double value);

// Figures of a play by name, in a stated order.
using Figures = std::vector<std::pair<std::string, double>>;
Figures figures(const emulator::Played& played, const days::Day& day, double from, double to);
double figure(const Figures& of, const std::string& name);  // throws std::invalid_argument
Figures play(const Experiment& experiment);

}  // namespace yoketurn::lab
