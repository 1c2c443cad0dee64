// One instance of the decision module on the wire: holds its queries, its due times and the names of things.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "brain.hpp"
#include "wire/text.hpp"

namespace yoketurn::wire {

// An entry of a list as it was read; names become indices when an instance takes the list.
struct Entry {
  long long node = 0;
  std::string zone;
  int cell = 0;
  char status = 'U';
  double born = 0;
};

class Instance {
 public:
  Instance(std::string name, std::uint64_t seed, const Pairs& setup, double now);

  void on_list(std::string_view kind, const std::vector<Entry>& entries, double now);
  void on_demand(Fields& fields, double now);
  void on_response(Fields& fields, double now);
  void on_gone(Fields& fields);
  void on_reminder(std::string_view token, double now);
  void finish(double now, std::string& reply);  // answers all that the batch has touched

 private:
  struct Held {
    Query query;
    long long id = 0;
    long long ask = 0;
    std::vector<long long> ids;  // of the leaves
    int pending = 0;             // leaf calls without an outcome
    double due = -1;
    bool touched = false;
  };

  Instance(std::string name, std::uint64_t seed, const Pairs& setup, const Settings& start, double now);
  int node(long long id);
  void touch(Held& held);
  void schedule(Held& held, double due);
  void take_part(Held& held, long long id, int shard, double weight, double work);
  void perform(Held& held, const Answer& answer, double now);
  void finish_step(Held& held, End end, double stay_away);
  void end(Held& held);
  void set_timer(const char* token, double at, double now);
  template <class... Parts>
  void say(const char* verb, Parts... parts);

  std::string name_;
  Brain brain_;
  std::map<std::string, int, std::less<>> verticals_, customers_, zones_;
  std::vector<int> second_steps_;
  std::unordered_map<long long, int> nodes_;
  std::vector<long long> node_ids_;
  std::map<long long, std::unique_ptr<Held>> queries_;               // by query number
  std::unordered_map<long long, long long> asks_;                    // query id to its number
  std::unordered_map<long long, std::pair<long long, int>> leaves_;  // part id to query number and leaf
  std::set<std::pair<double, long long>> due_;                       // the one ordered structure of due times
  std::vector<long long> touched_;
  double wake_at_ = -1;  // the outstanding wake-up; below 0: none
  bool tick_set_ = false;
  std::string said_;
};

}  // namespace yoketurn::wire
