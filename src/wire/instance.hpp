// One router as the simulator sees it: turns the simulator's messages into calls of Queries, and the
// resulting actions into messages back.
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

// An entry of a node list as it was read. Zone names become indices when an instance takes the list.
struct NodeEntry {
  long long node = 0;  // the simulator's id
  std::string zone;
  int cell = 0;
  char status = 'U';      // 'U': up; anything else: draining or removed
  double started_at = 0;  // start time of its process, in seconds; 0: unknown
};

class RouterInstance : private QueryActions {
 public:
  RouterInstance(std::string name, std::uint64_t seed, const SettingsMap& setup, double now);

  // `kind`: "total" (complete list), "incr" (changes), "warm_copy" (list known before the start) or "lost".
  void on_node_list(std::string_view kind, const std::vector<NodeEntry>& entries, double now);
  void on_request(FieldReader& fields, double now);  // a new query, or a part of one
  void on_response(FieldReader& fields, double now);
  void on_client_gone(FieldReader& fields);
  void on_peer_message(FieldReader& fields, double now);  // of another router
  void on_timer(std::string_view token, double now);
  // Decides on every query that the batch has changed, and appends all messages to `reply`.
  void finish_batch(double now, std::string& reply);

 private:
  // The simulator's ids of a query's messages.
  struct QueryIds {
    long long request_id = 0;
    std::vector<long long> part_ids;  // by leaf
  };

  int node_index(long long id);  // assigns the next index to a new id
  void set_timer(const char* token, double at, double now);
  template <class... FieldValues>
  void write_message(const char* verb, FieldValues... values);

  void send(long long query, const Send& send, int call) override;
  void cancel(long long query, const Cancel& cancel) override;
  void merge(long long query, bool whole) override;
  void reject(long long query, double retry_after, const Explanation& why) override;
  void abort(long long query, const Explanation& why) override;
  void release(long long query) override;
  void send_peer_reports(const std::vector<PeerReport>& reports) override;

  std::string name_;
  TimerQueue timers_;
  Queries queries_;
  NameIndex verticals_, customers_, zones_;
  std::unordered_map<long long, int> node_indices_;  // by the simulator's id
  std::vector<long long> node_ids_;                  // by index
  std::unordered_map<std::uint32_t, int> nodes_by_fingerprint_;
  std::unordered_map<long long, QueryIds> ids_of_query_;                      // by query number
  std::unordered_map<long long, long long> query_of_request_id_;              // query number
  std::unordered_map<long long, std::pair<long long, int>> leaf_of_part_id_;  // query number and leaf
  double wake_timer_at_ = -1;  // when the pending "due" timer fires, in seconds; below 0: none is set
  bool tick_timer_set_ = false;
  std::string output_;  // messages since the last finish_batch
};

}  // namespace yoketurn::wire
