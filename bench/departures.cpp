// Delay to detection and false alarms, on the seeded streams: what is built in, and detectors side by side.
// Prints CSV. bench/README.md says what it measured when.
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <set>

#include "bench/streams.hpp"

using namespace yoketurn;
using streams::Spec;
using streams::Trouble;

namespace {

constexpr int kRuns = 30;
constexpr double kWarm = 60;  // at least, and 25 parts of each vertical

double quantile_of(std::vector<double> values, double share) {
  if (values.empty()) return std::nan("");
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void built_in() {
  fmt::print("kind,severity,rate,shuns,noticed,of,delay_median,delay_p95,other_alarms\n");
  struct Row {
    Trouble trouble;
    const char* name;
    std::vector<double> severities;
  };
  const Row rows[] = {{Trouble::slow, "slow", {2.5, 4, 8}},
                      {Trouble::stall, "stall", {1, 3, 8}},
                      {Trouble::swallow, "swallows", {0.5, 0.8, 1}},
                      {Trouble::fail, "fails", {0.3, 0.6, 1}}};
  for (const auto& row : rows)
    for (const auto severity : row.severities)
      for (const auto rate : {0.5, 5.0, 50.0})
        for (const bool shuns : {false, true}) {
          std::vector<double> delays;
          int others = 0;
          for (int run = 0; run < kRuns; ++run) {
            Spec spec;
            spec.seed = static_cast<unsigned>(run + 1);
            spec.nodes = 8;
            spec.rate = rate;
            spec.hedge = 4;
            spec.shuns = shuns;
            const auto from = kWarm + 50 / rate;
            const auto length = row.trouble == Trouble::stall ? severity : 30;
            spec.length = from + 40;
            spec.planted = {{row.trouble, severity, from, from + length, kNone, {3}}};
            double first = 0;
            for (const auto& news : streams::tell(spec)) {
              if (news.ended) continue;
              if (news.node == 3 && news.detected_at >= from && first == 0) first = news.detected_at;
              if (news.node != 3) ++others;
            }
            if (first > 0) delays.push_back(first - from);
          }
          fmt::print("{},{},{},{:d},{},{},{:.2f},{:.2f},{}\n", row.name, severity, rate, shuns, delays.size(),
                     kRuns, quantile_of(delays, 0.5), quantile_of(delays, 0.95), others);
        }
}

void quiet() {
  fmt::print("\nquiet: rate,lost,node_hours,alarms,alarms_a_node_and_day\n");
  for (const auto rate : {0.5, 5.0, 50.0})
    for (const auto lost : {0.0, 0.02}) {
      Spec spec;
      spec.nodes = 20;
      spec.rate = rate;
      spec.lost = lost;
      spec.hedge = 4;
      spec.length = rate > 10 ? 3600 : 4 * 3600;
      int alarms = 0;
      for (const auto& news : streams::tell(spec)) alarms += news.ended ? 0 : 1;
      const auto hours = spec.nodes * spec.length / 3600;
      fmt::print("{},{},{},{},{:.2f}\n", rate, lost, hours, alarms, alarms / hours * 24);
    }
}

// Detectors of slowness at 5 parts a second, each at several bounds: delay against false alarms.
template <class Make>
void curve(const char* name, std::initializer_list<double> bounds, Make make) {
  for (const auto bound : bounds) {
    std::vector<double> delays;
    int alarms = 0, missed = 0;
    double quiet_hours = 0;
    for (int run = 0; run < 60; ++run) {
      std::mt19937 chance(static_cast<unsigned>(run));
      auto detector = make(bound);
      Baseline usual;
      double now = 0;
      bool noticed = false;
      const double from = 3600;
      while (now < from + 60 && !noticed) {
        now += std::exponential_distribution<>(5)(chance);
        const auto bad = now > from;
        const auto value =
            std::log(0.02) + 0.5 * std::normal_distribution<>()(chance) + (bad ? std::log(3.0) : 0);
        if (usual.count() < 20) {
          usual.add(value);
          continue;
        }
        const auto z = std::clamp((value - usual.mean()) / std::max(usual.deviation(), 0.35), -4.0, 4.0);
        const auto alarm = detector.add(z, now);
        if (!bad) usual.add(value);
        if (!alarm) continue;
        if (bad) {
          noticed = true;
          delays.push_back(now - from);
        } else {
          ++alarms;
          detector.clear();
        }
      }
      missed += noticed ? 0 : 1;
      quiet_hours += 1;
    }
    fmt::print("{},{},{:.2f},{:.2f},{},{:.2f}\n", name, bound, quantile_of(delays, 0.5),
               quantile_of(delays, 0.95), missed, alarms / quiet_hours);
  }
}

struct Fixed : FixedThreshold {
  Fixed(std::size_t many, double bound) : FixedThreshold(many, bound) {}
  bool add(double z, double) { return FixedThreshold::add(z); }
};
struct Hinkley : PageHinkley {
  using PageHinkley::PageHinkley;
  bool add(double z, double) { return PageHinkley::add(z); }
};
struct Ratio : Sprt {  // of samples above one deviation
  explicit Ratio(double bound) : Sprt(0.16, 0.8, std::exp(-bound)) {}
  bool add(double z, double at) { return Sprt::add(z > 1, at); }
};

}  // namespace

int main() {
  built_in();
  quiet();
  fmt::print(
      "\ndetectors of a node three times as slow at 5 parts a second: "
      "detector,bound,delay_median,delay_p95,missed_of_60,alarms_an_hour\n");
  curve("fixed_mean_of_5", {0.8, 1.2, 1.6, 2.0, 2.4}, [](double b) { return Fixed(5, b); });
  curve("fixed_mean_of_20", {0.4, 0.6, 0.8, 1.0, 1.4}, [](double b) { return Fixed(20, b); });
  curve("cusum", {2, 4, 6, 8, 10}, [](double b) { return Cusum(1, b); });
  curve("page_hinkley", {4, 8, 12, 20, 30}, [](double b) { return Hinkley(1, b); });
  curve("sprt", {2, 4, 6, 9, 12}, [](double b) { return Ratio(b); });
}
