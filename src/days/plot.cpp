#include "days/plot.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>

#include "days/checker.hpp"
#include "days/service.hpp"

namespace yoketurn::days {

namespace {

constexpr double kStep = 0.5;  // of the curves

// By site: the times at which the number of routers that hold it for lost or cut off changes, and the number.
std::map<std::string, std::vector<std::pair<double, int>>> believed(const Record& record) {
  std::map<std::string, std::vector<std::pair<double, int>>> result;
  std::map<std::string, std::set<int>> holding;
  for (const auto& event : record) {
    if (event.kind != Kind::site) continue;
    const auto word = [&](const std::string& name) {
      const auto at = event.text.find(name + "=");
      if (at == std::string::npos) return std::string();
      const auto from = at + name.size() + 1;
      return event.text.substr(from, event.text.find(' ', from) - from);
    };
    const auto site = word("name");
    const auto state = word("state");
    auto& of = holding[site];
    const auto before = of.size();
    if (state == "lost" || state == "cut_off")
      of.insert(event.router);
    else
      of.erase(event.router);
    if (of.size() == before) continue;
    auto& steps = result[site];
    steps.emplace_back(event.at, static_cast<int>(before));
    steps.emplace_back(event.at, static_cast<int>(of.size()));
  }
  return result;
}

// A span for each run of a fault: what, from, to.
std::vector<std::tuple<std::string, double, double>> spans(const Record& record, const Day& day) {
  std::vector<std::tuple<std::string, double, double>> result;
  for (const auto& event : record) {
    if (event.kind != Kind::fault) continue;
    if (event.number == 1) {
      result.emplace_back(event.text, event.at, day.seconds);
    } else {
      const auto open = std::find_if(result.rbegin(), result.rend(), [&](const auto& one) {
        return std::get<0>(one) == event.text && std::get<2>(one) == day.seconds;
      });
      if (open != result.rend()) std::get<2>(*open) = event.at;
    }
  }
  return result;
}

}  // namespace

std::string quoted(const std::string& text) {
  std::string result = "\"";
  for (const auto c : text) {
    if (c == '"' || c == '\\') result += '\\';
    result += c;
  }
  return result + '"';
}

std::string plot_script(const Record& record, const Day& day, const std::string& svg) {
  auto script = fmt::format(
      "set term svg size 900,560 noenhanced\nset output {}\nset multiplot layout 2,1\nset xrange "
      "[0:{:g}]\nset key outside right\nset lmargin at screen 0.08\nset rmargin at screen 0.78\n",
      quoted(svg), day.seconds);
  int number = 0;
  for (const auto& [what, from, to] : spans(record, day)) {
    ++number;
    script += fmt::format(
        "set object {} rect from {:.3f}, graph 0 to {:.3f}, graph 1 fc rgb '#dddddd' fs solid 0.6 noborder "
        "behind\nset label {} {} at {:.3f}, graph {:g} front font ',9'\n",
        number, from, to, number, quoted(what), from, 0.05 + 0.06 * (number % 5));
  }
  script += fmt::format("set yrange [0:1.05]\nset ylabel 'share'\nset title {}\n",
                        quoted("What clients got: " + day.name));
  std::string lines = "plot '-' with steps lw 3 title 'utility'", data;
  for (std::size_t v = 0; v < day.verticals.size(); ++v)
    lines += fmt::format(", '-' with steps title {}", quoted(day.verticals[v].name + " in time"));
  for (int v = -1; v < static_cast<int>(day.verticals.size()); ++v) {
    for (double at = 0; at < day.seconds; at += kStep) {
      const auto share = share_of(record, day, at, std::min(at + kStep, day.seconds), v);
      if (share.asked > 0) data += fmt::format("{:g} {:.4f}\n", at, v < 0 ? share.earned() : share.good());
    }
    data += "e\n";
  }
  script += lines + "\n" + data;
  // A site nobody doubted has no curve; a plot without any is still one.
  const auto sites = believed(record);
  script += fmt::format("set yrange [0:{}]\nset ylabel 'routers'\nset xlabel 'seconds'\nset title {}\n",
                        day.routers() + 1, quoted("Routers that hold a site for lost"));
  lines = "plot '-' with lines lw 2 title 'routers'";
  data = fmt::format("0 {0}\n{1:g} {0}\ne\n", day.routers(), day.seconds);
  for (const auto& [site, steps] : sites) {
    lines += fmt::format(", '-' with lines lw 2 title {}", quoted(site));
    data += "0 0\n";
    for (const auto& [at, many] : steps) data += fmt::format("{:.3f} {}\n", at, many);
    data += fmt::format("{:g} {}\ne\n", day.seconds, steps.back().second);
  }
  return script + lines + "\n" + data + "unset multiplot\n";
}

void gnuplot(const std::string& script, const std::string& svg) {
  auto* gnuplot = ::popen("gnuplot", "w");
  if (gnuplot == nullptr) throw std::runtime_error("gnuplot can't be started");
  const auto written = std::fwrite(script.data(), 1, script.size(), gnuplot);
  if (::pclose(gnuplot) != 0 || written != script.size())
    throw std::runtime_error(svg + " was not drawn: is gnuplot installed?");
}

void draw(const Record& record, const Day& day, const std::string& svg) {
  gnuplot(plot_script(record, day, svg), svg);
}

}  // namespace yoketurn::days
