// A day of the rig as its file tells it, in INFO: the town, its load, and the faults with their times.
// Times are seconds, rates a second.
#pragma once

#include <cmath>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace yoketurn::days {

struct BadDay : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct SiteOf {
  std::string name;
  int nodes = 0, routers = 0;
  double rate = 0;         // queries its clients ask
  std::vector<int> cells;  // of its nodes in turn; empty: all in turn

  int cell(int node, int all) const {  // of its node of this number
    return cells.empty() ? node % all : cells[static_cast<std::size_t>(node) % cells.size()];
  }
};

// What a fault is about: all, site:S (its nodes and routers), nodes:S, routers:S, node:S-3, router:S-1,
// auditor:0;
// several with a comma. Checked when the day is read.
struct Fault {
  std::string what;  // see kFaults in day.cpp
  std::string of;
  std::string to;  // of links: the other end, as `of`; empty: all
  double from = 0, length = 0;
  double amount = 0;  // a delay, a share, a factor: by what it is
  double every = 0;   // again after so long, until the day ends; 0: once
};

struct Vertical {
  std::string name, semantics;  // safe, keyed, unsafe
  int parts = 1;
  double mix = 0, credit = 1;
  double aim = 0, deadline = 0, window = 0;
  double least = 1;
  double work = 1;  // of a part, beside that of the other classes' parts (in the emulator alone)
};

struct Day {
  std::string name;
  unsigned seed = 1;
  double seconds = 20;
  bool plan = true;  // the routers' operators' file switches the plan for sites on
  int shards = 8, cells = 4, span = 1;
  double cores = 1, service = 0.02;  // of a node; the mean of a part's work
  std::string times = "shifted";     // how that is spread, see draw()
  double sigma = 1;                  // of lognormal times
  bool hints = true;                 // clients say how much work a part is, in the mean of its class
  double spikes = 0, spike = 1;      // a share of the parts takes so many times as long
  int queue = 40;                    // parts that wait there
  double cold = 6, start = 0.3, fall_multiple = 2, fall_for = 1;
  double grace = 1;        // drains
  double notice = 1.5;     // until a front leaves out a router that is dead
  double list_late = 0.5;  // until agents tell of what has changed
  int retries = 1;
  double backoff = 0.3;
  double cross = 0.001;  // one way between two sites
  std::vector<Vertical> verticals;
  std::vector<SiteOf> sites;
  std::vector<Fault> faults;
  std::string operators;  // further lines of the routers' operators' file
  std::string fleet;      // lines among those of `fleet` there
  int auditors = 0;       // that look after the routers, each with a store of its own
  std::string audit;      // lines among those of `audit` in their roll
  bool orders = false;    // they give orders
  bool spares = false;    // each router has a second agent, which they know of

  int nodes() const;
  int routers() const;
};

// A part's work, of mean 1, by `times`: shifted (0.4 and an exponential rest), exponential, constant,
// lognormal.
template <class Chance>
double draw_plain(const Day& day, Chance& chance) {
  if (day.times == "constant") return 1;
  if (day.times == "lognormal")
    return std::lognormal_distribution<>(-day.sigma * day.sigma / 2, day.sigma)(chance);
  const auto rest = std::exponential_distribution<>(1)(chance);
  return day.times == "exponential" ? rest : 0.4 + 0.6 * rest;
}

template <class Chance>
double draw(const Day& day, Chance& chance) {
  const auto work = draw_plain(day, chance);
  return day.spikes > 0 && std::uniform_real_distribution<>(0, 1)(chance) < day.spikes ? day.spike * work
                                                                                       : work;
}

// How much work, in parts of mean work, a cold node bears in `fall_for` with such a share of its capacity:
// what the day allows it, N, and as much more as chance brings where that is sent on average: N + 2 root N +
// 2, and where N is under 30, N + 3 root N + 3.
inline double bears(const Day& day, double capacity) {
  constexpr double kFewAllowed = 30;
  const auto allowed = day.fall_multiple * capacity * day.cores / day.service * day.fall_for;
  const auto deviations = allowed < kFewAllowed ? 3 : 2;
  return allowed + deviations * std::sqrt(allowed) + deviations;
}

// The work of a part of this class, of mean 1 over all parts that clients ask for.
double relative_work(const Day& day, int vertical);

// Those of a party (as in a fault) among the routers or nodes, by number.
std::vector<int> routers_of(const Day& day, const std::string& party);
std::vector<int> nodes_of(const Day& day, const std::string& party);

Day read_day(std::string_view text, std::string_view name = "day");  // throws BadDay, naming the entry
Day load_day(const std::string& path);

}  // namespace yoketurn::days
