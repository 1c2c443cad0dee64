// What is said of figures from several seeds.
#pragma once

#include <string>
#include <vector>

namespace yoketurn::lab {

double median(std::vector<double> values);

// A parameter and the values it takes: PATH=A,B,C or PATH=FROM:TO:STEP. Throws std::invalid_argument.
struct Axis {
  std::string path;
  std::vector<std::string> values;
};
Axis read_axis(const std::string& text);

// The mean of paired differences with an interval of 95% by the bootstrap (B. Efron, Annals of Statistics 7,
// 1979): percentiles of the means of samples drawn again from the differences.
struct Difference {
  double mean = 0, low = 0, high = 0;
  bool seen() const { return low > 0 || high < 0; }
};
Difference difference(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace yoketurn::lab
