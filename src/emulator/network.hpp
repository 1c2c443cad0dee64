// The ways between routers and nodes: connections that take a round trip to come up, delays, and the faults
// that are put on them. Knows neither what a router decides nor what a node does.
#pragma once

#include <functional>
#include <random>
#include <vector>

#include "days/day.hpp"
#include "emulator/engine.hpp"
#include "emulator/flights.hpp"
#include "routing_policy.hpp"

namespace yoketurn::emulator {

// What a way does to what passes it.
struct Way {
  bool to_node = true, from_node = true;  // carries
  bool refused = false;
  double delay = 0;  // each way
  double lost = 0;   // share of answers
};

class Network {
 public:
  struct Ends {
    std::function<void(FlightRef)> written;             // it has left its router
    std::function<void(FlightRef)> at_node;             // it has arrived
    std::function<void(FlightRef)> given_up_at_node;    // that news has
    std::function<void(FlightRef, Outcome)> at_router;  // its end has
    std::function<bool(int node)> reachable;            // its machine is there
  };
  Network(Engine& engine, const days::Day& day, Flights& flights, Ends ends);

  void send(FlightRef part);
  // The router waits no longer; whether any byte of it had gone.
  bool give_up(FlightRef part);
  bool unsend(FlightRef part);  // whether no byte of it has gone; none will
  void answer(FlightRef part, Outcome outcome);
  void open_ahead(int router, int node);

  void put(const days::Fault& fault);  // of links; while it is there
  void take(const days::Fault& fault);
  void reset(const std::function<bool(int router, int node)>& which);  // connections
  void reset_router(int router);                                       // those of a process that ended
  long long opened() const { return opened_; }
  double delay_between(int router, int node) const;

 private:
  struct Connection {
    enum class State : unsigned char { none, opening, open };
    State state = State::none;
    std::uint32_t number = 0;
    float out = 0;  // parts on it
    double heard = 0, used = 0;
    std::vector<FlightRef> waiting;
  };
  struct Link {
    const days::Fault* fault;
    std::vector<bool> of_routers, of_nodes, to_routers, to_nodes;
    bool cut;  // a site from all the others
  };
  struct Held {
    FlightRef part;
    bool to_node;
    Outcome outcome;
  };

  Connection& at(int router, int node);
  Way way(int router, int node) const;
  void open(int router, int node);
  void fail(int router, int node);
  void write(FlightRef part);
  void pass(FlightRef part, bool to_node, Outcome outcome);
  void arrive(FlightRef part, bool to_node, Outcome outcome);

  Engine& engine_;
  const days::Day& day_;
  Flights& flights_;
  Ends ends_;
  std::ranlux24_base chance_;
  int nodes_;
  std::vector<int> site_of_router_, site_of_node_;
  std::vector<Connection> connections_;
  std::vector<Link> links_;
  std::vector<Held> held_;
  long long opened_ = 0;
};

// By number: the site of each router, of each node.
std::vector<int> sites_of_routers(const days::Day& day);
std::vector<int> sites_of_nodes(const days::Day& day);

}  // namespace yoketurn::emulator
