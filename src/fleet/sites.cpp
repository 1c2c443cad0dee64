#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <boost/property_tree/info_parser.hpp>
#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

#include "fleet/best.hpp"
#include "fleet/commands.hpp"
#include "router/config.hpp"
#include "sites/plan.hpp"

namespace yoketurn::fleet {

namespace {

namespace json = boost::json;

struct Options {
  std::string config, list, loads, plot;
  bool as_json = false;
};

std::string content_of(const std::string& path) {
  std::ifstream file(path);
  std::stringstream content;
  content << file.rdbuf();
  if (!file) throw std::runtime_error(path + " can't be read");
  return content.str();
}

double positive(const std::string& path, const std::string& text) {
  const auto value = parse_number(text);
  if (!value || *value <= 0)
    throw std::runtime_error(path + ": '" + text + "' where a number above 0 is expected");
  return *value;
}

// loads: capacity, parts a second a node; a vertical with its rate, queries a second, and its parts.
void read_loads(const std::string& path, const Config& config, PlannedCluster& town) {
  boost::property_tree::ptree tree;
  std::istringstream in(content_of(path));
  try {
    boost::property_tree::read_info(in, tree);
  } catch (const boost::property_tree::info_parser_error& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", path, error.line(), error.message()));
  }
  double capacity = 0;
  for (const auto& [key, child] : tree) {
    if (key == "capacity") {
      capacity = positive(path + ": capacity", child.data());
    } else if (key == "verticals") {
      for (const auto& [name, one] : child) {
        const auto known = std::find(config.verticals.begin(), config.verticals.end(), name);
        if (known == config.verticals.end())
          throw std::runtime_error(path + ": verticals." + name + ": the configuration has no such vertical");
        const auto at = path + ": verticals." + name + ".";
        const auto entry = [&](const char* what) {
          const auto found = one.get_optional<std::string>(what);
          if (!found) throw std::runtime_error(at + what + ": is missing");
          return positive(at + what, *found);
        };
        const auto& vertical =
            config.settings.verticals[static_cast<std::size_t>(known - config.verticals.begin())];
        town.loads.push_back({name, entry("rate"), static_cast<int>(entry("parts")), vertical.utility});
        if (town.loads.back().parts_per_query > town.shard_count)
          throw std::runtime_error(at + "parts: more than there are shards");
      }
    } else {
      throw std::runtime_error(path + ": " + key + ": no such entry (capacity, verticals)");
    }
  }
  if (capacity <= 0) throw std::runtime_error(path + ": capacity: is missing");
  if (town.loads.empty()) throw std::runtime_error(path + ": verticals: there is none");
  for (auto& node : town.nodes) node.parts_per_second = capacity;
}

struct Row {
  SiteLossForecast loss;
  std::string name;
  double best = 0;
};

std::string to_json(const std::vector<Row>& rows, const PlannedCluster& town) {
  json::array all;
  for (const auto& row : rows) {
    json::object o;
    o["lost"] = row.name;
    o["unheld"] = json::value_from(row.loss.unavailable_shards);
    o["most_strain"] = row.loss.max_node_utilization;
    o["strain"] = json::value_from(row.loss.shard_utilization);
    json::object verticals;
    for (std::size_t v = 0; v < town.loads.size(); ++v)
      verticals[town.loads[v].vertical] = json::object{{"out_of_reach", row.loss.unreachable_share[v]},
                                                       {"refused", row.loss.rejected_share[v]}};
    o["verticals"] = verticals;
    o["utility"] = row.loss.served_utility;
    o["best"] = row.best;
    o["asked"] = row.loss.offered_utility;
    o["warm_return"] = row.loss.warm_recovery_seconds;
    o["cold_return"] = row.loss.cold_recovery_seconds;
    all.push_back(o);
  }
  return json::serialize(all);
}

void draw(const std::string& path, const std::vector<Row>& rows, const PlannedCluster& town) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> gnuplot(::popen("gnuplot", "w"), ::pclose);
  if (!gnuplot) throw std::runtime_error("gnuplot can't be started");
  std::string script =
      fmt::format("set term svg size 800,420\nset output '{}'\nset style data histograms\n", path);
  script +=
      "set style histogram clustered\nset style fill solid 0.7\nset yrange [0:1.05]\nset key outside\nset "
      "xtics rotate by -30\n";
  script +=
      "set ylabel 'share of the vertical that is served'\nset title 'What the loss of sites leaves'\nplot ";
  for (std::size_t v = 0; v < town.loads.size(); ++v)
    script += fmt::format("{}'-' using 2:xtic(1) title '{}'", v ? ", " : "", town.loads[v].vertical);
  script += "\n";
  for (std::size_t v = 0; v < town.loads.size(); ++v) {
    for (const auto& row : rows)
      script += fmt::format("\"{}\" {:.4f}\n", row.name,
                            (1 - row.loss.unreachable_share[v]) * (1 - row.loss.rejected_share[v]));
    script += "e\n";
  }
  std::fputs(script.c_str(), gnuplot.get());
}

int plan(const Options& o) {
  const auto config = load_config(o.config);
  auto list = config.initial_members;
  if (!o.list.empty()) list = parse_member_list(content_of(o.list));
  const auto zones = index_names(config.zones);
  PlannedCluster town;
  town.site_count = static_cast<int>(zones.size());
  town.shard_count = config.connection_limits.shard_count;
  town.cell_count = config.settings.cell_count;
  town.cells_per_shard = config.settings.cells_per_shard;
  town.settings = config.settings;
  std::vector<int> many(zones.size(), 0);
  int nowhere = 0;
  for (const auto& member : list.members) {
    if (!member.up) continue;
    const auto site = find_index(zones, member.zone);
    if (site == kNone)
      ++nowhere;
    else
      ++many[static_cast<std::size_t>(site)];
    town.nodes.push_back({site, member.cell, 1});
  }
  if (town.nodes.empty())
    throw std::runtime_error("the list holds no node that is ready: name one with --list");
  read_loads(o.loads, config, town);
  std::vector<Row> rows{{forecast_site_loss(town, {}), "none", 0}};
  for (int a = 0; a < town.site_count; ++a)
    rows.push_back({forecast_site_loss(town, {a}), config.zones[static_cast<std::size_t>(a)], 0});
  for (int a = 0; a < town.site_count && town.site_count > 2; ++a)
    for (int b = a + 1; b < town.site_count; ++b)
      rows.push_back(
          {forecast_site_loss(town, {a, b}),
           config.zones[static_cast<std::size_t>(a)] + "+" + config.zones[static_cast<std::size_t>(b)], 0});
  for (auto& row : rows) row.best = best_utility(town, row.loss);
  if (!o.plot.empty()) draw(o.plot, rows, town);
  if (o.as_json) {
    fmt::print("{}\n", to_json(rows, town));
    return 0;
  }
  fmt::print("{} nodes, {} shards on {} of {} cells each;", town.nodes.size(), town.shard_count,
             town.cells_per_shard, town.cell_count);
  for (std::size_t z = 0; z < many.size(); ++z) fmt::print(" {} {}", config.zones[z], many[z]);
  fmt::print("{}\n", nowhere > 0 ? fmt::format(", in no site {}", nowhere) : "");
  if (town.site_count < 2)
    fmt::print("one site only: no plan is made for its loss, nodes are judged one by one\n");
  for (std::size_t z = 0; z < many.size(); ++z)
    if (many[z] == 1) fmt::print("{}: a site of one node is judged as a node\n", config.zones[z]);
  fmt::print("{:<16} {:>8} {:>8} {:>9} {:>9}  ", "lost", "unheld", "strain", "utility", "best");
  for (const auto& load : town.loads) fmt::print(" {:>16}", load.vertical);
  fmt::print("  return warm, cold\n");
  for (const auto& row : rows) {
    fmt::print("{:<16} {:>8} {:>8.2f} {:>8.1f}% {:>8.1f}%  ", row.name, row.loss.unavailable_shards.size(),
               row.loss.max_node_utilization, 100 * row.loss.served_utility / row.loss.offered_utility,
               100 * row.best / row.loss.offered_utility);
    for (std::size_t v = 0; v < town.loads.size(); ++v)
      fmt::print(" {:>15.1f}%", 100 * (1 - row.loss.unreachable_share[v]) * (1 - row.loss.rejected_share[v]));
    fmt::print("  {:.1f} s, {:.1f} s\n", row.loss.warm_recovery_seconds, row.loss.cold_recovery_seconds);
  }
  fmt::print(
      "strain: load to capacity of the fullest node before anything is refused; of verticals: the share "
      "served;\n"
      "best: the most that could be served of the utility, as a linear programme\n");
  return 0;
}

}  // namespace

void add_sites(CLI::App& app, std::function<int()>& chosen) {
  auto* sites = app.add_subcommand("sites", "Whole sites: what their loss would mean.");
  sites->require_subcommand(1);
  auto* command = sites->add_subcommand(
      "plan", "For each site, and each pair: what is left, what is refused, the return.");
  const auto o = std::make_shared<Options>();
  command->add_option("--config", o->config, "A router's configuration")->required();
  command->add_option("--list", o->list, "A list of data nodes as JSON, in place of the one known last");
  command->add_option("--loads", o->loads, "Capacity of a node and rates of verticals (INFO)")->required();
  command->add_flag("--json", o->as_json, "JSON in place of the table");
  command->add_option("--plot", o->plot, "Also draw it as SVG (needs gnuplot)");
  command->footer("Example: yoketurn-fleet sites plan --config router.json --loads deploy/loads.info");
  command->callback([&chosen, o] {
    chosen = [o] {
      try {
        return plan(*o);
      } catch (const std::exception& error) {
        fmt::print(stderr, "yoketurn-fleet: {}\n", error.what());
        return 1;
      }
    };
  });
}

}  // namespace yoketurn::fleet
