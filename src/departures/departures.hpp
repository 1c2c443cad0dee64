// When a node departs from its usual behaviour, and when it is back. It tells; it steers nothing. Plain
// values in and out, no I/O: same events, same departures. Times are seconds on the router's own clock.
#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "departures/detectors.hpp"
#include "routing_policy.hpp"
#include "timeline/event.hpp"

namespace yoketurn {

struct DepartureLimits {
  double slow = 2.5;
  double stall = 6, least = 0.3;
  double fails = 0.2;
  double flaps = 4;  // in a minute
  double reports = 3;
  double alarms = 0.5;  // a node and day
  double fleet = 0.5;
  int most = 4096;
  double cold_time = 0;  // that the settings state
};

inline constexpr int kFleet = -2;

struct DepartureNews {
  int node = kNone;      // kFleet: most of them together
  int vertical = kNone;  // kNone: all of them
  Departure kind = Departure::slow;
  bool returned = false;
  double began = 0, noticed = 0;
  double evidence = 0, usual = 0;
};

class Departures {
 public:
  Departures(const DepartureLimits& limits, int verticals, double now);

  void known(int node, double born, double now);  // a new process there begins from nothing
  void forget(int node, double now);
  void state(int node, bool up, double now);
  void sent(int node, int vertical, double now);
  void ended(int node, int vertical, Outcome outcome, double sent, double now);
  void trouble(int node, double now);  // with a connection
  // A question for the node's load, and its answer; closed: a connection it may have gone by is no more.
  void load_asked(int node, double now);
  void load_answered(int node, double now);
  void load_closed(int node, double now);
  // A load report: when it was measured as far as is known, and whether it brought anything new.
  void report(int node, double measured, bool changed, double now);
  void stood_still(double seconds, double now);  // the router itself

  // What is new since the last call, oldest first; at most kMostNews a call, the others are counted.
  std::vector<DepartureNews> tick(double now);
  const std::vector<DepartureNews>& open() const { return open_; }
  long long untold() const { return untold_; }
  static constexpr std::size_t kMostNews = 256;

 private:
  struct Kind {  // what a node does with the parts of one vertical
    Usual log_latency;
    Cusum slow;
    double slow_k = 0;  // slack the sum was made for
    Sprt fails, fails_all;
    bool fails_set = false;
    double recent = 0;       // log of a late latency, quickly smoothed
    double last_answer = 0;  // to a part of this vertical
    double silence = 0;      // evidence of parts that ended without an answer
    int unanswered = 0;      // how many of them, in what the evidence is of
    double first_unanswered = 0;
    double lost_share = 0;  // usual share of those
    int strong = 0;         // of them, whose age speaks clearly, since the last answer
    int good_row = 0;       // good outcomes in a row
    int in_time = 0;        // answers in a row at the usual latency, since a departure
    double bad_share = 0;   // of bad outcomes, smoothed
  };
  struct Out {
    double sent;  // by which it is known
    int vertical;
    double since;  // from which its age counts: later, if the router stood still
  };
  struct Node {
    bool known = false, up = false;
    std::uint32_t open = 0;  // kinds that may be open, as bits; made anew each tick
    double born = 0, since = 0;
    std::vector<Kind> kinds;
    std::vector<Out> outs;
    double answered = 0;  // when it last answered anything
    double silence = 0;   // evidence of parts that ended without an answer since
    double silent_since = 0;
    int unanswered = 0;
    std::vector<double> loads_asked;  // unanswered questions for its load, a few at most
    Usual load_latency = Usual();     // of answers to them, in logs
    double load_silence = 0;          // evidence of those whose connection was closed, since it last answered
    double load_heard = 0;            // an answer to one
    std::deque<double> changes, troubles;
    double report_measured = 0, report_heard = 0, report_changed = 0;
    int answers_since_change = 0;             // to this router, since its report last changed
    std::size_t least_out = 0, most_out = 0;  // of this router's calls there, when reports came since then
    double rate = 0;                          // parts a second, smoothed
    double last_sent = 0;
  };

  Node& at(int node);
  double against_usual(const Usual& usual, double lost_share, double age) const;
  double against_usual(const Kind& kind, double age) const {
    return against_usual(kind.log_latency, kind.lost_share, age);
  }
  double bound(const Node& node) const;
  double load_silence(const Node& node, double now) const;
  void learn(Node& node, Kind& kind, double latency, double now);
  void begin(int node, int vertical, Departure kind, double began, double evidence, double usual, double now);
  void end(int node, int vertical, Departure kind, double evidence, double now);
  bool may_be_open(int node, Departure kind) const;
  void mark_open();
  bool is_open(int node, int vertical, Departure kind) const;
  bool any_open(int node, Departure kind) const;
  void look(int node, double now);
  void look_at_silence(int number, Node& node, double now);
  void look_at_reports(int number, Node& node, double now);
  void look_at_fleet(double now);
  void tell(const DepartureNews& news);

  DepartureLimits limits_;
  std::size_t verticals_;
  std::vector<Node> nodes_;
  std::vector<DepartureNews> open_, news_;
  std::vector<DepartureNews> held_;  // may yet turn out to be the fleet's
  long long untold_ = 0;
  double blind_until_ = 0;  // what was sent before it tells nothing: the router stood still
  double median_ = 0;       // log of a late latency, of all nodes
  double shift_ = 0;        // of all nodes' latencies together, in logs
};

}  // namespace yoketurn
