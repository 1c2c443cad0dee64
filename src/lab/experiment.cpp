#include "lab/experiment.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/property_tree/info_parser.hpp>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace yoketurn::lab {

namespace {

using Tree = boost::property_tree::ptree;

constexpr double kWorstSpan = 2;  // seconds of the worst stretch

// `*` is any entry; an entry that is not there is made, but for one below `*` or a fault.
void set(Tree& tree, const std::string& path, const std::string& rest, const std::string& value) {
  const auto dot = rest.find('.');
  const auto name = rest.substr(0, dot);
  if (dot == std::string::npos) {
    if (name == "*") throw days::BadDay(path + ": ends in *");
    tree.put(boost::property_tree::ptree::path_type(name, '/'), value);
    return;
  }
  auto found = false;
  for (auto& [key, child] : tree)
    if (name == "*" || key == name) {
      found = true;
      set(child, path, rest.substr(dot + 1), value);
    }
  if (!found) throw days::BadDay(path + ": the day's file has no '" + name + "'");
}

Tree parsed(const std::string& text, const std::string& name) {
  Tree tree;
  std::istringstream in(text);
  try {
    boost::property_tree::read_info(in, tree);
  } catch (const boost::property_tree::info_parser_error& error) {
    throw days::BadDay(fmt::format("{}: line {}: {}", name, error.line(), error.message()));
  }
  return tree;
}

std::string written(const Tree& tree) {
  std::ostringstream out;
  boost::property_tree::write_info(out, tree);
  return out.str();
}

// Figures of another module or emulator are none of this one's.
std::uint64_t program() {
  static const auto hash = [] {
    std::ifstream file("/proc/self/exe", std::ios::binary);
    std::stringstream content;
    content << file.rdbuf();
    const auto bytes = content.str();
    return XXH3_64bits(bytes.data(), bytes.size());
  }();
  return hash;
}

}  // namespace

double kept_digits(double value) {
  return std::stod(fmt::format("{:.9g}", value));
}

Setting read_setting(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == 0 || equals == std::string::npos || equals + 1 == text.size())
    throw std::invalid_argument("'" + text + "' where PATH=VALUE is expected");
  return {text.substr(0, equals), text.substr(equals + 1)};
}

std::string Experiment::design() const {
  std::string design = "module";
  for (const auto& one : settings)
    if (one.path == "design") design = one.value;
  return design;
}

std::string Experiment::file() const {
  auto tree = parsed(text, name);
  for (const auto& one : settings)
    if (one.path != "design") set(tree, one.path, one.path, one.value);
  return written(tree);
}

days::Day Experiment::day() const {
  return days::read_day(file(), name);
}

std::string without_faults(const std::string& text) {
  auto tree = parsed(text, "the day's file");
  tree.erase("faults");
  return written(tree);
}

std::string Experiment::key() const {
  std::string all = fmt::format("{:016x}\n", program()) + text + '\n' + fmt::format("{} {}\n", from, to);
  for (const auto& one : settings) all += one.path + '=' + one.value + '\n';
  return fmt::format("{:016x}", XXH3_64bits(all.data(), all.size()));
}

Experiment Experiment::with(const std::vector<Setting>& more) const {
  auto result = *this;
  for (const auto& one : more) {
    std::erase_if(result.settings, [&](const Setting& s) { return s.path == one.path; });
    result.settings.push_back(one);
  }
  return result;
}

Experiment load_experiment(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw days::BadDay(path + " can't be read");
  return {path.substr(path.rfind('/') + 1), content.str(), {}, 0, 0};
}

Figures figures(const emulator::Played& played, const days::Day& day, double from, double to) {
  if (to <= from) to = day.seconds;
  const auto all = played.share(from, to, -1);
  auto worst = 1.0;
  for (auto at = from; at < to; at += kWorstSpan)
    worst = std::min(worst, played.share(at, std::min(at + kWorstSpan, to), -1).earned());
  long long sent = 0, copies = 0, again = 0, full = 0;
  double worked = 0;
  for (auto second = static_cast<std::size_t>(from);
       second < std::min(played.moments.size(), static_cast<std::size_t>(to)); ++second) {
    const auto& m = played.moments[second];
    sent += m.sent;
    copies += m.copies;
    again += m.again;
    full += m.full;
    worked += m.worked;
  }
  const auto many = [](int count, int of) { return of > 0 ? static_cast<double>(count) / of : 0; };
  const auto per = [&](long long count) {
    return sent > 0 ? static_cast<double>(count) / static_cast<double>(sent) : 0;
  };
  int routers = 0;
  for (const auto& m : played.moments) routers = std::max(routers, m.lost);
  Figures result{{"utility", all.earned()},
                 {"in_time", all.good()},
                 {"worst", worst},
                 {"late", many(all.late, all.asked)},
                 {"refused", many(all.refused, all.asked)},
                 {"failed", many(all.failed, all.asked)}};
  for (std::size_t v = 0; v < day.verticals.size(); ++v)
    result.emplace_back("utility." + day.verticals[v].name,
                        played.share(from, to, static_cast<int>(v)).earned());
  for (const auto& [name, quantile] : {std::pair{"p50", 0.5}, {"p95", 0.95}, {"p99", 0.99}, {"p999", 0.999}})
    result.emplace_back(name, played.latency(quantile, from, to, -1));
  result.insert(result.end(),
                {{"copies", per(copies)},
                 {"again", per(again)},
                 {"full", per(full)},
                 {"load", worked / std::max(to - from, 1e-9) / (day.nodes() * std::max(1.0, day.cores))},
                 {"believe_lost", routers},
                 {"pushed", played.most_pushed},
                 {"breaches", static_cast<double>(played.breaches.size())}});
  for (auto& [name, value] : result) value = kept_digits(value);
  return result;
}

double figure(const Figures& of, const std::string& name) {
  for (const auto& [known, value] : of)
    if (known == name) return value;
  std::string names;
  for (const auto& [known, value] : of) names += (names.empty() ? "" : ", ") + known;
  throw std::invalid_argument("'" + name + "' where one of " + names + " is expected");
}

Figures play(const Experiment& experiment) {
  const auto day = experiment.day();
  emulator::Town town(day, {emulator::design_named(experiment.design())});
  return figures(town.play(), day, experiment.from, experiment.to);
}

}  // namespace yoketurn::lab
