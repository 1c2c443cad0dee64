// One instance of the decision module on the wire: turns events into calls, and actions into messages.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "queries/queries.hpp"
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

class Instance : private QueryActions {
 public:
  Instance(std::string name, std::uint64_t seed, const Pairs& setup, double now);

  void on_list(std::string_view kind, const std::vector<Entry>& entries, double now);
  void on_demand(Fields& fields, double now);
  void on_response(Fields& fields, double now);
  void on_gone(Fields& fields);
  void on_message(Fields& fields, double now);
  void on_reminder(std::string_view token, double now);
  void finish(double now, std::string& reply);  // answers all that the batch has touched

 private:
  struct Ids {
    long long query = 0;
    std::vector<long long> leaves;
  };

  int node(long long id);
  void set_timer(const char* token, double at, double now);
  template <class... Parts>
  void say(const char* verb, Parts... parts);

  void send(long long query, const Send& send, int call) override;
  void cancel(long long query, const Cancel& cancel) override;
  void merge(long long query, bool whole) override;
  void reject(long long query, double stay_away, const Explanation& why) override;
  void abort(long long query, const Explanation& why) override;
  void release(long long query) override;
  void send_peer_reports(const std::vector<PeerReport>& words) override;

  std::string name_;
  TimerQueue due_;
  Queries queries_;
  Names verticals_, customers_, zones_;
  std::unordered_map<long long, int> nodes_;
  std::vector<long long> node_ids_;
  std::unordered_map<std::uint32_t, int> marks_;                     // nodes by their marks in messages
  std::unordered_map<long long, Ids> ids_;                           // by query number
  std::unordered_map<long long, long long> asks_;                    // query id to its number
  std::unordered_map<long long, std::pair<long long, int>> leaves_;  // part id to query number and leaf
  double wake_at_ = -1;                                              // the outstanding wake-up; below 0: none
  bool tick_set_ = false;
  std::string said_;
};

}  // namespace yoketurn::wire
