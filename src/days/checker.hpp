// Goes over what passed between the processes of a day for the six rules and for crashes, as it happens.
// Knows the day's terms and nothing of the router: what it holds for true is what came out of one process and
// reached another. Its memory is that of the queries whose time is not long over.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "days/day.hpp"
#include "days/passing.hpp"

namespace yoketurn::days {

struct Breach {
  int rule = 0;  // 0: a crash
  double at = 0;
  std::string what;
};

class Checker {
 public:
  // slack: by which the clock of what is told may lag, seconds. name: of a query, for what is told of it.
  Checker(const Day& day, double slack, std::function<std::string(long long)> name = {});
  void take(const Passing& passing);  // in the order of their times
  std::vector<Breach> finish();
  std::size_t found() const { return found_.size() + unnamed_; }
  std::size_t held() const { return queries_.size(); }  // queries it still remembers

 private:
  struct Sent {
    double at;
    int router, node;
    bool known_not_run = false;  // it was turned away, and that was told
    double turned_away = 0;
  };
  struct Part {
    int shard, step;
    std::vector<Sent> sent;
    int ran = 0;
    bool served = false;
  };
  struct Query {
    int router = -1, vertical = -1;
    double asked = 0, allowed = 0;
    double seen = 0;
    int parts_asked = 0;
    int answers = 0, status = 0;
    double answered = -1;
    bool readable = true, whole = false;
    std::vector<int> in;
    std::string left;
    std::vector<Part> parts;
  };
  // When a router did not run as it should: killed, told to end, stopped.
  struct Away {
    double from, to;
  };
  // A node since its start: who was told of it, and whose parts it got of late.
  struct Start {
    double at = -1;
    std::map<int, double> told;                // by router: since when
    std::deque<std::pair<double, bool>> sent;  // and whether its router had been told then
    std::size_t by_told = 0;
  };
  struct Calls {
    std::deque<std::pair<double, bool>> recent;  // whether an earlier one was still out
    double further = 0;
    bool broken = false;
  };

  std::string named(long long query) const;
  void breach(int rule, double at, std::string what);
  Query& seen(long long query, double at);
  Part* part(const Passing& passing);
  void sent(const Passing& passing);
  void count(int router, double at, bool beside);
  void process(const Passing& passing);
  void node(const Passing& passing);
  void settle(long long number, const Query& q);
  void settle_parts(long long number, const Query& q);
  bool excused(const Query& q) const;
  bool ends_its_turn(int router, double told, double at) const;

  const Day& day_;
  double slack_, window_ = 0;
  std::function<std::string(long long)> name_;
  std::unordered_map<long long, Query> queries_;
  std::deque<std::pair<double, long long>> due_;  // to be settled, by when they were first seen
  std::map<int, std::vector<Away>> away_;
  std::map<std::pair<int, int>, double> not_ready_;  // by router, node: since when it was told so
  std::map<int, Start> starts_;
  std::map<int, Calls> calls_;
  std::vector<Breach> found_;
  std::size_t unnamed_ = 0;
};

// The same over a record.
std::vector<Breach> check(const Record& record, const Day& day, double slack = 0.1);

// Parts that came out of routers for the nodes of a site in a span.
int sent_to_site(const Record& record, const Day& day, const std::string& site, double from, double to);

// The first time from `from` on at which a router says so of a site; -1: never. Words as logged, such as
// "state=lost".
double first_said(const Record& record, int router, const std::string& site, const std::string& words,
                  double from);
int times_said(const Record& record, int router, const std::string& site, const std::string& words,
               double from, double to);

}  // namespace yoketurn::days
