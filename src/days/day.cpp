#include "days/day.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/property_tree/info_parser.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

namespace yoketurn::days {

namespace {

using Tree = boost::property_tree::ptree;
using Setters = std::map<std::string, std::function<void(const std::string&)>>;

constexpr std::string_view kFaults[] = {
    "lose",          // a site vanishes: silence, its processes end; they are started again after `length`
    "silent",        // links carry nothing, either way; what was written comes when it is over
    "deaf",          // links carry nothing to the nodes (from routers)
    "dumb",          // links carry nothing from the nodes (to routers)
    "refuse",        // links: new connections are refused, those that are up are reset
    "reset",         // links: all connections are reset, once
    "delay",         // links: by `amount` seconds each way
    "lose_answers",  // links: a share `amount` of answers never comes
    "blind",         // agents are told nothing; heartbeats go on
    "stuck",         // agents say nothing new on watches that are open; a new one gets the whole list
    "hush",          // agents say nothing at all, and take no new watch
    "recount",       // agents count from 1 again; `amount` 1: and break their watches off
    "fork",          // agents tell the nodes of `to` as draining, under the same counts as the others
    "gone",          // nodes are told to be gone though they live, and ready again after `length`
    "build",         // routers are killed and started again as the other program, and back after `length`
    "unseen",        // auditors can't reach the readers of these routers
    "start",         // an auditor that was not started with the day
    "kill",          // routers by SIGKILL; started again after `length`
    "term",          // the same by SIGTERM
    "pause",         // routers are stopped, and continued
    "step_clock",    // wall clocks of routers or auditors are stepped by `amount` seconds, and back
    "hup",    // routers are told to read their files again, with the lines of `to` among those of `sites`
    "slow",   // nodes take `amount` times as long
    "surge",  // the clients of a site ask `amount` times as much
    "drain",  // nodes drain, and are ready again after `length`
};

constexpr double kLargestStep = 7200;  // of a wall clock

double number(const std::string& path, const std::string& text, double least, double most) {
  std::size_t used = 0;
  double value = 0;
  try {
    value = std::stod(text, &used);
  } catch (const std::exception&) {
    used = 0;
  }
  if (used != text.size() || text.empty() || value < least || value > most)
    throw BadDay(
        fmt::format("{}: '{}' where a number from {:g} to {:g} is expected", path, text, least, most));
  return value;
}

bool flag(const std::string& path, const std::string& text) {
  if (text != "yes" && text != "no")
    throw BadDay(fmt::format("{}: '{}' where yes or no is expected", path, text));
  return text == "yes";
}

void fill(const Tree& tree, const std::string& path, const Setters& setters) {
  for (const auto& [key, child] : tree) {
    const auto at = setters.find(key);
    if (at == setters.end()) throw BadDay(fmt::format("{}{}: no such entry", path, key));
    at->second(child.data());
  }
}

auto to(double& into, std::string path, double least, double most) {
  return [&into, path, least, most](const std::string& text) { into = number(path, text, least, most); };
}
auto to(int& into, std::string path, int least, int most) {
  return [&into, path, least, most](const std::string& text) {
    const auto value = number(path, text, least, most);
    if (value != static_cast<int>(value))
      throw BadDay(path + ": '" + text + "' where a whole number is expected");
    into = static_cast<int>(value);
  };
}
auto to(std::string& into) {
  return [&into](const std::string& text) { into = text; };
}
auto to(bool& into, std::string path) {
  return [&into, path](const std::string& text) { into = flag(path, text); };
}

SiteOf read_site(const std::string& name, const Tree& tree) {
  SiteOf site{name, 0, 0, 0, {}};
  const auto path = "sites." + name + ".";
  std::string cells;
  fill(tree, path,
       {{"nodes", to(site.nodes, path + "nodes", 0, 5000)},
        {"routers", to(site.routers, path + "routers", 0, 1000)},
        {"rate", to(site.rate, path + "rate", 0, 1e6)},
        {"cells", to(cells)}});
  std::istringstream words(cells);
  for (std::string word; words >> word;)
    site.cells.push_back(static_cast<int>(number(path + "cells", word, 0, 1000)));
  return site;
}

Vertical read_vertical(const std::string& name, const Tree& tree) {
  Vertical v{name, "safe", 1, 0, 1, 0.4, 1.5, 1.0, 1, 1};
  const auto path = "verticals." + name + ".";
  fill(tree, path,
       {{"semantics", to(v.semantics)},
        {"parts", to(v.parts, path + "parts", 1, 256)},
        {"mix", to(v.mix, path + "mix", 0, 1)},
        {"credit", to(v.credit, path + "credit", 0, 1000)},
        {"aim", to(v.aim, path + "aim", 0.01, 60)},
        {"deadline", to(v.deadline, path + "deadline", 0.01, 60)},
        {"window", to(v.window, path + "window", 0.01, 60)},
        {"least", to(v.least, path + "least", 0.01, 1)},
        {"work", to(v.work, path + "work", 1e-3, 1e3)}});
  if (v.semantics != "safe" && v.semantics != "keyed" && v.semantics != "unsafe")
    throw BadDay(path + "semantics: '" + v.semantics + "' where safe, keyed or unsafe is expected");
  return v;
}

Fault read_fault(const std::string& what, const Tree& tree) {
  Fault f;
  f.what = what;
  const auto path = "faults." + what + ".";
  if (std::find(std::begin(kFaults), std::end(kFaults), what) == std::end(kFaults))
    throw BadDay("faults." + what + ": no such fault");
  fill(tree, path,
       {{"of", to(f.of)},
        {"to", to(f.to)},
        {"from", to(f.from, path + "from", 0, 3600)},
        {"for", to(f.length, path + "for", 0, 3600)},
        {"amount", to(f.amount, path + "amount", what == "step_clock" ? -kLargestStep : 0,
                      what == "step_clock" ? kLargestStep : 1000)},
        {"every", to(f.every, path + "every", 0, 3600)}});
  if (f.of.empty()) throw BadDay(path + "of: it is not said of what");
  if (f.every > 0 && f.every <= f.length) throw BadDay(path + "every: must be longer than `for`");
  return f;
}

void check_party(const Day& day, const Fault& fault, const std::string& party) {
  if (party == "all") return;
  const auto colon = party.find(':');
  const auto kind = party.substr(0, colon);
  const auto name = colon == std::string::npos ? "" : party.substr(colon + 1);
  if (kind == "auditor") {
    if (number(party, name, 0, 1000) >= day.auditors)
      throw BadDay("faults." + fault.what + ": no '" + party + "'");
    return;
  }
  const auto one = kind == "node" || kind == "router";
  if (!one && kind != "site" && kind != "nodes" && kind != "routers")
    throw BadDay("faults." + fault.what + ": '" + party +
                 "' where all, site:S, nodes:S, routers:S, node:S-N or router:S-N is expected");
  const auto dash = one ? name.rfind('-') : std::string::npos;
  const auto site = std::find_if(day.sites.begin(), day.sites.end(),
                                 [&](const SiteOf& s) { return s.name == name.substr(0, dash); });
  if (site == day.sites.end()) throw BadDay("faults." + fault.what + ": no site of '" + party + "'");
  if (!one) return;
  const auto which =
      dash == std::string::npos ? -1 : static_cast<int>(number(party, name.substr(dash + 1), 0, 1000));
  if (which < 0 || which >= (kind == "node" ? site->nodes : site->routers))
    throw BadDay("faults." + fault.what + ": no '" + party + "'");
}

}  // namespace

int Day::nodes() const {
  int sum = 0;
  for (const auto& site : sites) sum += site.nodes;
  return sum;
}

int Day::routers() const {
  int sum = 0;
  for (const auto& site : sites) sum += site.routers;
  return sum;
}

double relative_work(const Day& day, int vertical) {
  double parts = 0, work = 0;
  for (const auto& v : day.verticals) {
    parts += v.mix * v.parts;
    work += v.mix * v.parts * v.work;
  }
  const auto mean = work > 0 ? work / parts : 1;
  return day.verticals[static_cast<std::size_t>(vertical)].work / mean;
}

Day read_day(std::string_view text, std::string_view name) {
  Tree tree;
  std::istringstream in{std::string(text)};
  try {
    boost::property_tree::read_info(in, tree);
  } catch (const boost::property_tree::info_parser_error& error) {
    throw BadDay(fmt::format("line {}: {}", error.line(), error.message()));
  }
  Day day;
  day.name = name;
  int seed = 1;
  const auto pick = [&](const char* key) {
    Tree found;
    if (const auto at = tree.get_child_optional(key)) found = *at;
    tree.erase(key);
    return found;
  };
  for (const auto& [site, child] : pick("sites")) day.sites.push_back(read_site(site, child));
  for (const auto& [vertical, child] : pick("verticals"))
    day.verticals.push_back(read_vertical(vertical, child));
  for (const auto& [fault, child] : pick("faults")) day.faults.push_back(read_fault(fault, child));
  fill(tree, "",
       {{"seed", to(seed, "seed", 0, 1 << 30)},
        {"seconds", to(day.seconds, "seconds", 1, 3600)},
        {"plan", to(day.plan, "plan")},
        {"shards", to(day.shards, "shards", 1, 1000)},
        {"cells", to(day.cells, "cells", 1, 1000)},
        {"span", to(day.span, "span", 1, 1000)},
        {"cores", to(day.cores, "cores", 0.1, 64)},
        {"service", to(day.service, "service", 1e-4, 10)},
        {"times", to(day.times)},
        {"sigma", to(day.sigma, "sigma", 0, 5)},
        {"hints", to(day.hints, "hints")},
        {"spikes", to(day.spikes, "spikes", 0, 1)},
        {"spike", to(day.spike, "spike", 0, 1e6)},
        {"queue", to(day.queue, "queue", 1, 10000)},
        {"cold", to(day.cold, "cold", 0, 600)},
        {"start", to(day.start, "start", 0.01, 1)},
        {"fall_multiple", to(day.fall_multiple, "fall_multiple", 1, 100)},
        {"fall_for", to(day.fall_for, "fall_for", 0.1, 60)},
        {"grace", to(day.grace, "grace", 0, 60)},
        {"notice", to(day.notice, "notice", 0, 60)},
        {"list_late", to(day.list_late, "list_late", 0, 60)},
        {"retries", to(day.retries, "retries", 0, 10)},
        {"backoff", to(day.backoff, "backoff", 0.01, 60)},
        {"cross", to(day.cross, "cross", 0, 1)},
        {"operators", to(day.operators)},
        {"fleet", to(day.fleet)},
        {"auditors", to(day.auditors, "auditors", 0, 4)},
        {"audit", to(day.audit)},
        {"orders", to(day.orders, "orders")},
        {"spares", to(day.spares, "spares")}});
  day.seed = static_cast<unsigned>(seed);
  if (day.sites.empty()) throw BadDay("sites: there is none");
  if (day.nodes() < 1 || day.routers() < 1) throw BadDay("sites: there is no node or no router");
  if (day.times != "shifted" && day.times != "exponential" && day.times != "constant" &&
      day.times != "lognormal")
    throw BadDay("times: '" + day.times + "' where shifted, exponential, constant or lognormal is expected");
  if (day.verticals.empty())
    day.verticals = {{"recherche", "safe", 3, 0.6, 1, 0.4, 1.5, 1, 1, 1},
                     {"bilan-mensuel", "safe", 8, 0.1, 12, 0.8, 2, 1, 0.75, 1},
                     {"suivi", "keyed", 1, 0.2, 1, 0.4, 1.5, 1, 1, 1},
                     {"paiement", "unsafe", 1, 0.1, 2, 0.4, 1.5, 1, 1, 1}};
  for (const auto& v : day.verticals)
    if (v.parts > day.shards) throw BadDay("verticals." + v.name + ".parts: more than there are shards");
  for (const auto& fault : day.faults)
    for (const auto& ends : {fault.of, fault.what == "hup" ? std::string() : fault.to}) {
      std::istringstream parties(ends);
      for (std::string party; std::getline(parties, party, ',');) check_party(day, fault, party);
    }
  return day;
}

namespace {

// By its kind: a party may name routers, nodes, or both. numbers: of one site's, from its first on.
std::vector<int> members(const Day& day, const std::string& party, const char* many, const char* one,
                         int SiteOf::*count) {
  std::vector<int> found;
  std::istringstream parties(party);
  for (std::string each; std::getline(parties, each, ',');) {
    const auto colon = each.find(':');
    const auto kind = each.substr(0, colon);
    const auto name = colon == std::string::npos ? "" : each.substr(colon + 1);
    int first = 0;
    for (const auto& site : day.sites) {
      for (int i = 0; i < site.*count; ++i)
        if (each == "all" || ((kind == "site" || kind == many) && name == site.name) ||
            (kind == one && name == fmt::format("{}-{}", site.name, i)))
          found.push_back(first + i);
      first += site.*count;
    }
  }
  return found;
}

}  // namespace

std::vector<int> routers_of(const Day& day, const std::string& party) {
  return members(day, party, "routers", "router", &SiteOf::routers);
}

std::vector<int> nodes_of(const Day& day, const std::string& party) {
  return members(day, party, "nodes", "node", &SiteOf::nodes);
}

Day load_day(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw BadDay(path + " can't be read");
  const auto slash = path.rfind('/');
  return read_day(content.str(), path.substr(slash == std::string::npos ? 0 : slash + 1));
}

}  // namespace yoketurn::days
