// A whole day in the emulator: machines, routers' processes, agents of discovery, fronts and clients, and the
// faults of the day put between them; the same day as the rig plays with real processes. The real queries and
// the real module decide. Same day, same run.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "days/checker.hpp"
#include "days/day.hpp"
#include "days/service.hpp"
#include "days/turns.hpp"
#include "emulator/designs.hpp"
#include "emulator/machine.hpp"
#include "emulator/network.hpp"
#include "emulator/process.hpp"

namespace yoketurn::emulator {

struct Options {
  Design design;
  bool record = false;  // keeps it: for small days
};

// One second of the day.
struct Moment {
  int sent = 0, copies = 0, again = 0;  // parts: first calls, copies, further calls after that
  int full = 0, unreachable = 0, timed_out = 0, broken = 0;
  std::map<Reason, int> refused, given_up;  // queries
  double worked = 0;                        // seconds of work that cores have begun
  int lost = 0;                             // routers that hold a site for lost, at its end
};

struct Played {
  std::vector<days::Breach> breaches;
  days::Record record;
  std::vector<Moment> moments;
  // Of each router and site: when it was first held for lost.
  struct Belief {
    int router, site;
    double at;
    SiteHealth now;
  };
  std::vector<Belief> beliefs;
  double most_pushed = 0;
  long long queries = 0, parts = 0, settled = 0,
            connections = 0;  // settled: parts whose router heard of their end
  std::uint64_t events = 0;
  std::shared_ptr<const days::Service> service;  // what clients got
  days::Share share(double from, double to, int vertical) const { return service->share(from, to, vertical); }
  double latency(double quantile, double from, double to, int vertical) const {
    return service->latency(quantile, from, to, vertical);
  }
};

class Town {
 public:
  Town(const days::Day& day, const Options& options);  // throws days::BadDay: a fault that is of sockets only
  ~Town();
  Played play();

 private:
  struct Entry {
    std::string state = "ready";
    double born = 0;
    int name = 0;  // so often was it given a new one
    bool changed = false;
  };
  struct Agent {
    bool blind = false, silent = false;
    int told = 1;
    std::shared_ptr<const std::vector<Entry>> held;  // while it is blind
  };
  struct Try {
    long long ask = 0;
    int vertical = 0, site = 0, tried = 0, router = -1;
    std::uint32_t life = 0;
    double began = 0;
    int first = 0;
  };
  struct Question {
    long long ask = 0;
    int vertical = 0, site = 0, first = 0;
    double began = 0;
  };
  struct Crowd {
    std::ranlux24_base chance;
    double due = 0, surge = 1;
    int asked = 0;
  };

  void note(days::Passing passing);
  void keep(const days::Passing& passing);
  std::string name_of(long long query) const;
  Moment& moment();

  // Routers.
  FlightRef send(Process& from, long long request, const Send& send, int leaf, int call);
  void answered(Process& from, long long request, int status, double retry_after, const Explanation& why,
                bool whole, const std::vector<int>& shards);
  void believes(Process& process, const SiteHealthChange& news);
  void end(int router, const char* how);
  void start(int router);

  // Nodes.
  void at_node(FlightRef part);
  void at_router(FlightRef part, Outcome outcome);
  void machine_ended(FlightRef part, Machine::End end);
  void note_part(days::Kind kind, const Flight& flight, std::string_view text);

  // Discovery.
  std::vector<DiscoveredNode> hosts(int router, bool known_last) const;
  DiscoveredNode host(int node, const Entry& entry) const;
  void changed(int node);
  void tell_all(int router);

  // Clients.
  void next(int site);
  void attempt(const Question& question, int tried);
  void close(long long id, int status, double retry_after);
  void look(int router);

  void begin(std::size_t fault);
  void finish(std::size_t fault);
  std::unique_ptr<RoutingPolicy> decide(std::uint64_t seed);  // nullptr: the module

  days::Day day_;
  Options options_;
  Engine engine_;
  Flights flights_;
  std::vector<int> site_of_router_, site_of_node_;
  std::vector<Settings> settings_;  // by site
  Machine::Told told_;
  Process::World world_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::unique_ptr<Network> network_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::vector<Agent> agents_;
  std::vector<Entry> entries_;
  int version_ = 1;
  std::vector<bool> active_;
  std::unordered_map<std::uint64_t, double> effects_;  // of keyed parts: when the first one came
  double window_ = 0;
  std::vector<double> relative_work_;  // by vertical, of a part

  days::Turns turns_;
  std::vector<double> good_;  // by router, when it last answered well
  std::vector<Crowd> crowds_;
  std::unordered_map<long long, Try> tries_;
  long long last_try_ = 0, last_ask_ = 0;
  std::vector<Question> questions_;  // where the record is kept
  std::unordered_map<long long, std::string> names_;
  bool over_ = false;

  days::Checker checker_;
  std::shared_ptr<days::Service> service_;
  std::vector<int> shards_;                    // of the passing that is being noted
  std::vector<std::vector<bool>> holds_lost_;  // by router, site
  Played played_;
};

}  // namespace yoketurn::emulator
