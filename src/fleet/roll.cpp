#include "fleet/roll.hpp"

#include <fmt/format.h>

#include <boost/property_tree/info_parser.hpp>
#include <charconv>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include "discovery/list.hpp"

namespace yoketurn::fleet {

namespace {

using Tree = boost::property_tree::ptree;
using Setters = std::map<std::string, std::function<void(const std::string& path, const std::string& text)>>;

constexpr std::size_t kMostRouters = 5000;

std::function<void(const std::string&, const std::string&)> to(double& into, double least, double most) {
  return [&into, least, most](const std::string& path, const std::string& text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !(value >= least && value <= most))
      throw BadRoll(
          fmt::format("{}: '{}' where a number from {:g} to {:g} is expected", path, text, least, most));
    into = value;
  };
}
std::function<void(const std::string&, const std::string&)> to(std::string& into) {
  return [&into](const std::string& path, const std::string& text) {
    if (text.empty()) throw BadRoll(path + ": nothing stands there");
    into = text;
  };
}

void fill(const Tree& tree, const std::string& above, const Setters& setters) {
  std::set<std::string> seen;
  for (const auto& [key, child] : tree) {
    const auto path = above.empty() ? key : above + "." + key;
    const auto at = setters.find(key);
    if (at == setters.end()) {
      std::string known;
      for (const auto& [name, setter] : setters) known += (known.empty() ? "" : ", ") + name;
      throw BadRoll(fmt::format("{}: no such entry; there are {}", path, known));
    }
    if (!seen.insert(key).second) throw BadRoll(path + ": stands here a second time");
    if (!child.empty()) throw BadRoll(path + ": takes a value, no entries of its own");
    at->second(path, child.data());
  }
}

}  // namespace

Roll read_roll(std::string_view text, std::string_view name) {
  Tree tree;
  try {
    std::istringstream in{std::string(text)};
    boost::property_tree::read_info(in, tree);
  } catch (const boost::property_tree::info_parser_error& error) {
    throw BadRoll(fmt::format("{}:{}: {}", name, error.line(), error.message()));
  }
  Roll roll;
  auto& s = roll.stragglers;
  auto& o = roll.overseer;
  double rows = static_cast<double>(roll.rows);
  const Setters terms{
      {"every", to(roll.every, 0.05, 60)},
      {"keep", to(roll.keep, 1, 3650 * 86400.0)},
      {"rows", to(rows, 1000, 1e9)},
      {"orders", to(roll.orders)},
      {"rule",
       [&](const std::string& path, const std::string& word) {
         for (std::size_t i = 0; i < static_cast<std::size_t>(audit::Rule::last); ++i)
           if (audit::name(static_cast<audit::Rule>(i)) == word) {
             s.rule = static_cast<audit::Rule>(i);
             return;
           }
         throw BadRoll(path + ": '" + word + "' where fixed, quantile or likelihood is expected");
       }},
      {"share", to(s.share, 0.05, 1)},
      {"behind", to(s.fixed, 0.1, 3600)},
      {"least", to(s.least, 0.05, 3600)},
      {"fresh", to(s.fresh, 0.2, 3600)},
      {"starting", to(s.starting, 0, 3600)},
      {"of_fleet", to(o.of_fleet, 0, 1)},
      {"of_site", to(o.of_site, 0, 1)},
      {"sight", to(o.sight, 0, 1)},
      {"patience", to(o.patience, 0.2, 3600)},
      {"lasts", to(o.lasts, 2, 3600)},
      {"evidence", to(o.evidence, 0, 3600)},
  };
  std::set<std::string> names;
  for (const auto& [key, child] : tree) {
    if (key == "audit") {
      fill(child, key, terms);
    } else if (key == "routers") {
      for (const auto& [router, entries] : child) {
        RollEntry entry;
        entry.name = router;
        const auto path = "routers." + router;
        if (!names.insert(router).second) throw BadRoll(path + ": stands here a second time");
        fill(entries, path,
             {{"site", to(entry.site)},
              {"reader",
               [&](const std::string& place, const std::string& word) {
                 entry.reader = parse_endpoint(word);
                 if (!entry.reader) throw BadRoll(place + ": '" + word + "' where host:port is expected");
               }},
              {"log", to(entry.log)},
              {"segments", to(entry.segments)},
              {"agent", to(entry.agent)}});
        if (!entry.reader && entry.log.empty()) throw BadRoll(path + ": needs a reader or a log");
        roll.routers.push_back(std::move(entry));
      }
    } else {
      throw BadRoll(key + ": no such entry; there are audit, routers");
    }
  }
  if (roll.routers.empty()) throw BadRoll("routers: there is none");
  if (roll.routers.size() > kMostRouters) throw BadRoll(fmt::format("routers: more than {}", kMostRouters));
  roll.rows = static_cast<long long>(rows);
  return roll;
}

Roll load_roll(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw BadRoll(path + " can't be read");
  return read_roll(content.str(), path);
}

}  // namespace yoketurn::fleet
