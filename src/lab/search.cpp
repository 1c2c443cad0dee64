#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <numeric>
#include <random>
#include <sstream>

#include "emulator/engine.hpp"
#include "lab/commands.hpp"
#include "lab/plays.hpp"

namespace yoketurn::lab {

namespace {

using days::Day;
using days::Fault;

constexpr double kKeeps = 0.8;           // of the loss that a shrunk day must still show
constexpr double kFirst = 3, kLast = 8;  // seconds at the day's begin and end without a new fault

struct Wanted : Plan {
  std::string folder = "lab-search", against = "all-seeing";
  std::vector<std::string> kinds{"lose",  "silent", "deaf", "dumb",  "delay", "lose_answers", "slow",
                                 "drain", "kill",   "term", "pause", "blind", "surge",        "reset"};
  int draws = 200, faults = 3, best = 3;
  unsigned seed = 1;
};

struct Loss {
  double utility = 0;
  bool broken = false;  // a rule, which counts as more than any loss
  bool operator<(const Loss& other) const {
    return broken != other.broken ? other.broken : utility < other.utility;
  }
};

// What a kind of fault is about, and how strong it may be.
Fault draw(const std::string& what, const Day& day, std::ranlux24_base& chance) {
  const auto uniform = [&](double low, double high) {
    return std::uniform_real_distribution<>(low, high)(chance);
  };
  const auto& site = day.sites[chance() % day.sites.size()];
  const auto some = [&](const char* one, int of) {
    const auto many = std::clamp(
        static_cast<int>(std::lround(std::exp(uniform(0, std::log(std::max(of, 1)))))), 1, std::max(of, 1));
    std::vector<int> all(static_cast<std::size_t>(std::max(of, 1)));
    std::iota(all.begin(), all.end(), 0);
    std::shuffle(all.begin(), all.end(), chance);
    std::string parties;
    for (int i = 0; i < std::min(many, 40); ++i)
      parties +=
          fmt::format("{}{}:{}-{}", i > 0 ? "," : "", one, site.name, all[static_cast<std::size_t>(i)]);
    return parties;
  };
  Fault f;
  f.what = what;
  f.from = std::floor(uniform(kFirst, std::max(kFirst, day.seconds - kLast)) * 10) / 10;
  f.length = std::floor(uniform(0.5, 6) * 10) / 10;
  const auto of_routers =
      what == "kill" || what == "term" || what == "pause" || what == "blind" || what == "hush";
  const auto whole = chance() % 3 == 0;
  f.of = whole ? (of_routers                           ? "routers:"
                  : what == "lose" || what == "silent" ? "site:"
                                                       : "nodes:") +
                     site.name
         : of_routers ? some("router", site.routers)
                      : some("node", site.nodes);
  if (what == "surge") f.of = whole ? "all" : "site:" + site.name;
  if (what == "blind" && whole) f.of = "all";
  if (what == "slow" && chance() % 4 == 0) f.of = "all";
  f.amount = what == "slow"           ? (f.of == "all" ? uniform(1.1, 2) : uniform(1.5, 8))
             : what == "delay"        ? uniform(0.01, 0.3)
             : what == "lose_answers" ? uniform(0.02, 0.5)
             : what == "surge"        ? uniform(1.2, 2.5)
                                      : 0;
  f.amount = std::round(f.amount * 1000) / 1000;
  return f;
}

std::string block(const std::vector<Fault>& faults) {
  std::string text = "faults\n{\n";
  for (const auto& f : faults) {
    text += fmt::format("  {} {{ of {} from {:g}", f.what, f.of, f.from);
    if (!f.to.empty()) text += " to " + f.to;
    if (f.length > 0) text += fmt::format(" for {:g}", f.length);
    if (f.amount != 0) text += fmt::format(" amount {:g}", f.amount);
    if (f.every > 0) text += fmt::format(" every {:g}", f.every);
    text += " }\n";
  }
  return text + "}\n";
}

// Of several days: what the module loses against the other design, and whether it breaks a rule.
std::vector<Loss> losses(Plays& plays, const Wanted& wanted, const std::vector<Experiment>& days) {
  std::vector<Experiment> all;
  for (const auto& day : days) all.push_back(day);
  for (const auto& day : days) all.push_back(day.with({{"design", wanted.against}}));
  const auto results = plays.all(all);
  std::vector<Loss> found;
  for (std::size_t i = 0; i < days.size(); ++i)
    found.push_back({figure(results[days.size() + i], "utility") - figure(results[i], "utility"),
                     figure(results[i], "breaches") > 0});
  return found;
}

// Takes away what the loss does not need: whole faults first, then half of their length and strength.
std::vector<Fault> shrunk(Plays& plays, const Wanted& wanted, const Experiment& base,
                          std::vector<Fault> faults, const Loss& loss) {
  const auto still = [&](const std::vector<Fault>& tried) {
    auto day = base;
    day.text += block(tried);
    const auto found = losses(plays, wanted, {day})[0];
    return loss.broken ? found.broken : found.utility >= kKeeps * loss.utility;
  };
  for (std::size_t i = faults.size(); i-- > 0 && faults.size() > 1;) {
    auto tried = faults;
    tried.erase(tried.begin() + static_cast<std::ptrdiff_t>(i));
    if (still(tried)) faults = tried;
  }
  for (std::size_t i = 0; i < faults.size(); ++i)
    for (int again = 0; again < 3; ++again) {
      auto tried = faults;
      tried[i].length = std::floor(tried[i].length * 5) / 10;
      if (tried[i].length < 0.2 || !still(tried)) break;
      faults = tried;
    }
  return faults;
}

int search(const Wanted& wanted) {
  auto base = wanted.base();
  const auto day = base.day();
  base.text = without_faults(base.text);
  auto chance = emulator::chance_of(wanted.seed, emulator::Stream::search, 0);
  std::vector<std::vector<Fault>> drawn;
  std::vector<Experiment> days;
  for (int i = 0; i < wanted.draws; ++i) {
    std::vector<Fault> faults;
    const auto many = 1 + static_cast<int>(chance() % static_cast<unsigned>(wanted.faults));
    for (int j = 0; j < many; ++j)
      faults.push_back(draw(wanted.kinds[chance() % wanted.kinds.size()], day, chance));
    days.push_back(base);
    days.back().text += block(faults);
    days.back().day();
    drawn.push_back(std::move(faults));
  }
  Plays plays(wanted.keep, wanted.threads, false);
  const auto found = losses(plays, wanted, days);
  std::vector<std::size_t> order(found.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return found[b] < found[a]; });
  std::filesystem::create_directories(wanted.folder);
  auto broken = 0;
  for (const auto& one : found) broken += one.broken;
  fmt::print("{} days drawn, {} with a broken rule; utility lost against {}: median {:.3f}, most {:.3f}\n",
             found.size(), broken, wanted.against, found[order[order.size() / 2]].utility,
             found[order[0]].utility);
  for (int i = 0; i < wanted.best && i < static_cast<int>(order.size()); ++i) {
    const auto which = order[static_cast<std::size_t>(i)];
    const auto faults = shrunk(plays, wanted, base, drawn[which], found[which]);
    auto small = base;
    small.text += block(faults);
    const auto path = fmt::format("{}/worst-{}.info", wanted.folder, i + 1);
    std::ofstream file(path);
    file
        << fmt::format(
               "; Found by search, seed {}, draw {}: loses {:.3f} against {}, shrunk from {} faults to {}.\n",
               wanted.seed, which, losses(plays, wanted, {small})[0].utility, wanted.against,
               drawn[which].size(), faults.size())
        << small.file();
    if (!file) throw std::runtime_error(path + " can't be written");
    fmt::print("{}: {}{:.3f}, of {} faults {} are left\n{}", path,
               found[which].broken ? "a rule broken, " : "", found[which].utility, drawn[which].size(),
               faults.size(), block(faults));
  }
  return broken > 0 ? 1 : 0;
}

}  // namespace

void add_search(CLI::App& app, Chosen& chosen) {
  auto* command = app.add_subcommand("search",
                                     "Hunt the days of random faults, in place of the file's, on which the "
                                     "module does worst, or breaks a rule, and shrink them.");
  const auto wanted = std::make_shared<Wanted>();
  wanted->add_options(*command);
  command->add_option("--draws", wanted->draws, "Days drawn")->check(CLI::Range(1, 100000));
  command->add_option("--faults", wanted->faults, "Faults of a day, at most")->check(CLI::Range(1, 20));
  command->add_option("--kinds", wanted->kinds, "Kinds of faults that are drawn")->delimiter(',');
  command->add_option("--best", wanted->best, "So many of the worst days are shrunk and written");
  command->add_option("--against", wanted->against, "The design whose utility the module's is held against");
  command->add_option("--draw-seed", wanted->seed, "Of the faults");
  command->add_option("--folder", wanted->folder, "Where they are written");
  command->footer("Example: yoketurn-lab search rig/days/site-quiet.info --draws 100");
  command->callback([&chosen, wanted] { chosen = [wanted] { return search(*wanted); }; });
}

}  // namespace yoketurn::lab
