// One day played: routers as processes, machines, agents, fronts and clients round them, and the faults of
// the day put between them. Bounded in time; what it started is ended by id.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "days/day.hpp"
#include "days/record.hpp"
#include "rig/clients.hpp"
#include "rig/gates.hpp"
#include "rig/machines.hpp"
#include "rig/processes.hpp"

namespace yoketurn::rig {

using namespace days;

struct Result {
  Record record;
  double most_pushed = 0;  // the cold machine that came nearest to falling over: share of the bound
  double unix_zero = 0;    // of the day's times
  int connections = 0;     // made to nodes by all routers
  double ran_late = 0;  // the most by which the rig itself was late: what it says of times is worth no more
};

class Fleet {
 public:
  // The router's program, with yoketurn-fleet and yoketurn_other beside it where the day needs them; a folder
  // that is there, for configurations, logs and the record.
  Fleet(const Day& day, std::string program, std::string folder);
  ~Fleet();
  Result play();

 private:
  struct Agent;
  struct Parties;
  struct Entry {
    std::string name;
    std::string state = "ready";
    long long started_ms = 0;
  };

  double now() const;
  void note(Event event);
  std::string config_text(int router) const;
  std::vector<std::string> entries(int router) const;
  std::string entry(int router, int node) const;
  void start(int which);  // a router, or behind them an auditor
  void end(int which, int signal);
  void write_operators(int router, const std::string& of_sites);
  void write_roll(int auditor);
  void watched(int router, Agent& agent);  // its router has asked for the whole list
  void changed(int node);                  // agents are told, late
  void tell(int router);
  void begin(std::size_t fault);
  void finish(std::size_t fault);
  void relink();
  void surge(const std::string& party, double times);
  void watch_processes();
  void keep_time(double due);
  void read_logs();
  std::vector<int> processes_of(const std::string& party) const;  // routers, auditors behind them
  std::size_t all() const { return router_names_.size() + static_cast<std::size_t>(day_.auditors); }

  Day day_;
  std::string folder_;
  boost::asio::io_context context_{1};
  double zero_ = 0;       // of the steady clock
  double unix_zero_ = 0;  // of the common clock
  Result result_;
  Effects effects_;
  std::vector<int> site_of_node_, site_of_router_, cell_;
  std::vector<std::string> node_names_, router_names_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::vector<std::unique_ptr<Port>>> ports_;  // by router, node
  std::vector<std::unique_ptr<Agent>> agents_, spares_;    // by router; none or one each
  std::vector<Entry> entries_;
  std::vector<bool> active_;  // faults
  std::vector<boost::asio::ip::tcp::endpoint> listens_;
  std::vector<boost::asio::ip::tcp::endpoint> readers_;
  std::vector<std::unique_ptr<Gate>> gates_;  // from auditors to the readers
  std::vector<bool> other_;                   // runs the other program
  std::string program_;
  std::vector<bool> wanted_, stopped_;  // a process that is to run; one that is stopped by a signal
  std::unique_ptr<Processes> processes_;
  std::unique_ptr<Front> front_;
  std::vector<std::unique_ptr<Clients>> clients_;
  int version_ = 1;
  bool over_ = false;
};

}  // namespace yoketurn::rig
