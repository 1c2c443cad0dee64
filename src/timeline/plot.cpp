#include "timeline/plot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <stdexcept>

namespace yoketurn {

namespace {

struct Second {
  int sent = 0, bad = 0, passed = 0;
  long long out = 0;
  double reported = std::nan(""), queued = std::nan(""), age = std::nan("");
  std::vector<double> latencies;
};

double quantile_of(std::vector<double>& values, double share) {
  if (values.empty()) return std::nan("");
  const auto at =
      values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

}  // namespace

void plot_node(const std::vector<Record>& records, const std::string& node, const std::string& path) {
  if (records.empty()) throw std::runtime_error("nothing of " + node + " is kept there");
  if (path.find_first_of("'\n\\") != std::string::npos)
    throw std::runtime_error("a path with quotes can't be drawn to");
  const auto start = std::floor(records.front().unix);
  std::map<int, Second> seconds;
  std::string boxes, marks;
  std::map<int, double> open;  // departures by kind
  long long out = 0;
  const auto box = [&](double from, double to, int kind) {
    boxes += fmt::format(
        "set object rectangle from {:.2f}, graph 0 to {:.2f}, graph 1 fc rgb '#f4c7c3' fs solid 0.5 noborder "
        "behind\n"
        "set label '{}' at {:.2f}, graph 0.93 font ',9' noenhanced\n",
        from, std::max(to, from + 0.2), why_name(What::departed, static_cast<std::uint8_t>(kind)), from);
  };
  for (const auto& r : records) {
    const auto at = r.unix - start;
    auto& s = seconds[static_cast<int>(at)];
    const auto& e = r.event;
    switch (e.what) {
      case What::sent:
        ++s.sent, ++out;
        break;
      case What::passed:
        ++s.passed;
        break;
      case What::outcome:
        out = std::max(out - 1, 0LL);
        if (static_cast<Outcome>(e.why) == Outcome::success)
          s.latencies.push_back(e.a);
        else if (static_cast<Outcome>(e.why) != Outcome::cancelled &&
                 static_cast<Outcome>(e.why) != Outcome::unsent)
          ++s.bad;
        break;
      case What::report:
        s.reported = e.a, s.queued = e.b, s.age = e.c;
        break;
      case What::departed:
        open.try_emplace(e.why, std::max(at - e.c, 0.0));
        break;
      case What::returned:
        if (const auto from = open.find(e.why); from != open.end()) {
          box(from->second, at, e.why);
          open.erase(from);
        }
        break;
      case What::belief:
      case What::ready:
      case What::draining:
      case What::gone:
        marks += fmt::format("set label '{}' at {:.2f}, graph 0.8 rotate by 90 font ',8' noenhanced\n",
                             e.what == What::belief ? why_name(e.what, e.why) : name(e.what), at);
        break;
      default:
        break;
    }
    s.out = std::max(s.out, out);
  }
  const auto last = records.back().unix - start;
  for (const auto& [kind, from] : open) box(from, last, kind);
  auto* pipe = popen("gnuplot", "w");
  if (pipe == nullptr) throw std::runtime_error("gnuplot can't be started");
  std::string data = "$data << EOD\n";
  for (auto& [second, s] : seconds)
    data += fmt::format("{} {} {} {} {} {} {} {} {} {}\n", second, s.sent, s.bad, s.out, s.reported, s.queued,
                        quantile_of(s.latencies, 0.5) * 1e3, quantile_of(s.latencies, 0.95) * 1e3, s.age,
                        s.passed);
  data += "EOD\n";
  fmt::print(
      pipe,
      "{}set terminal svg size 1000,900 dynamic font 'sans,10'\nset output '{}'\nset datafile missing 'nan'\n"
      "set multiplot layout 4,1 title '{} from {}' noenhanced\nset lmargin 9\nset key top left "
      "noenhanced\nset xrange [0:{:.1f}]\n"
      "{}{}"
      "set ylabel 'parts a second'\nplot $data using 1:2 with steps title 'sent', '' using 1:10 with steps "
      "title 'passed over (reasons)'\n"
      "unset label\nset ylabel 'calls'\nplot $data using 1:4 with steps title 'out, of this router', "
      "'' using 1:5 with points title 'reported in flight', '' using 1:6 with points title 'reported queue'\n"
      "set ylabel 'ms'\nset logscale y\nplot $data using 1:7 with linespoints title 'median latency', '' "
      "using 1:8 with linespoints title 'p95'\n"
      "unset logscale y\nset ylabel 'bad outcomes'\nset xlabel 'seconds'\nplot $data using 1:3 with impulses "
      "lw 3 title 'bad', '' using 1:9 with points title 'age of report, s'\nunset multiplot\n",
      data, path, node, iso(start), std::max(last, 1.0), boxes, marks);
  if (pclose(pipe) != 0) throw std::runtime_error("gnuplot failed; is gnuplot-nox installed?");
}

}  // namespace yoketurn
