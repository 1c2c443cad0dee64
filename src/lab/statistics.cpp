#include "lab/statistics.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <random>
#include <sstream>
#include <stdexcept>

#include "lab/experiment.hpp"

namespace yoketurn::lab {

namespace {
constexpr int kDraws = 4000;
constexpr double kTail = 0.025;
constexpr double kMostValues = 1000;
}  // namespace

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
}

Axis read_axis(const std::string& text) {
  const auto [path, rest] = read_setting(text);
  Axis axis{path, {}};
  double from = 0, to = 0, step = 0;
  char end = 0;
  if (std::sscanf(rest.c_str(), "%lf:%lf:%lf%c", &from, &to, &step, &end) == 3) {
    if (step <= 0 || to < from || (to - from) / step > kMostValues)
      throw std::invalid_argument(path + ": '" + rest +
                                  "' where FROM:TO:STEP with up to 1000 steps is expected");
    for (int i = 0; from + i * step <= to + step * 1e-9; ++i)
      axis.values.push_back(fmt::format("{:g}", from + i * step));
    return axis;
  }
  std::istringstream in(rest);
  for (std::string one; std::getline(in, one, ',');)
    if (!one.empty()) axis.values.push_back(one);
  if (axis.values.empty()) throw std::invalid_argument(path + ": no value");
  return axis;
}

Difference difference(const std::vector<double>& a, const std::vector<double>& b) {
  std::vector<double> off;
  for (std::size_t i = 0; i < std::min(a.size(), b.size()); ++i) off.push_back(b[i] - a[i]);
  if (off.empty()) return {};
  const auto mean = [&](auto pick) {
    double sum = 0;
    for (std::size_t i = 0; i < off.size(); ++i) sum += off[pick(i)];
    return sum / static_cast<double>(off.size());
  };
  std::ranlux24_base chance(7);
  std::vector<double> means;
  for (int draw = 0; draw < kDraws; ++draw)
    means.push_back(mean(
        [&](std::size_t) { return std::uniform_int_distribution<std::size_t>(0, off.size() - 1)(chance); }));
  std::sort(means.begin(), means.end());
  const auto at = [&](double share) { return means[static_cast<std::size_t>(share * (kDraws - 1))]; };
  return {mean([](std::size_t i) { return i; }), at(kTail), at(1 - kTail)};
}

}  // namespace yoketurn::lab
