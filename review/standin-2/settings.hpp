// Settings of small deployments, with the figures of their site files.
#pragma once

#include <string>

namespace standin {

struct ArmorCafe {
  int nodes = 12, routers = 3;
  long window_ms = 5000;  // in which the nodes drop repeats of a part of modif-commande
  std::string text() const {
    const auto n = std::to_string(nodes), shards = std::to_string(2 * nodes);
    return R"({"balancers":)" + std::to_string(routers) +
           R"(,"resolution_us":5000,"zone":"rennes","zones":["rennes","brest","vannes"],"worth_by":"work","discovery":"push",)"
           R"("bounds":{"cancel":true,"max_attempts":3,"may_duplicate":true,"retry_after":true,"max_retry_after_us":500000,)"
           R"("max_open":78,"streams_per_conn":100,"connect_timeout_us":250000,"conn_idle_us":15000000,"probes":true,"peer_messages":false},)"
           R"("classes":[)"
           R"({"name":"bilan-mensuel","semantics":"safe","aim_us":5000000,"deadline_us":10000000,"credit":3.0,"late_worth":0.0},)"
           R"({"name":"recherche","semantics":"safe","aim_us":2500000,"deadline_us":7500000,"credit":1.0,"late_worth":0.3},)"
           R"({"name":"modif-commande","semantics":"keyed","key_scope":"all","aim_us":2000000,"deadline_us":5000000,"credit":2.0,"late_worth":0.1,"window_us":)" +
           std::to_string(window_ms * 1000) +
           R"(}],"customers":[],)"
           R"("contract":{"answer_slack_us":20000,"drain_grace_us":1000000,"cold_us":13000000,"fall_multiple":2.5,"overload_for_us":1000000,"start_capacity":0.28},)"
           R"("domain":{"places":)" + n + R"(,"span":4,"slices":)" + shards +
           R"(,"parts_a_call":1,"per_call_work_us":0,"min_share":[1.0,1.0,1.0],"whole_at":[1.0,1.0,1.0],"partial_earns":[1.0,1.0,1.0],"second_step":[5,0,0]}})";
  }
};

}  // namespace standin

namespace standin {

// The vertical consulta-cliente, with times that are shorter by ten, as where a router gets up to 130 queries a
// second (LATER.md: "work, aims and deadlines scale to match").
inline std::string historial_central(int nodes) {
  const auto n = std::to_string(nodes);
  return R"({"balancers":12,"resolution_us":5000,"zone":"san-jose","zones":["san-jose","heredia","cartago"],"worth_by":"work","discovery":"ask",)"
         R"("bounds":{"cancel":true,"max_attempts":3,"may_duplicate":true,"retry_after":true,"max_retry_after_us":2000000,)"
         R"("max_open":1500,"streams_per_conn":32,"connect_timeout_us":250000,"conn_idle_us":30000000,"probes":true,"peer_messages":false},)"
         R"("classes":[{"name":"consulta-cliente","semantics":"safe","aim_us":250000,"deadline_us":750000,"credit":1.0,"late_worth":0.3}],"customers":[],)"
         R"("contract":{"answer_slack_us":20000,"drain_grace_us":2000000,"cold_us":17000000,"fall_multiple":4,"overload_for_us":1000000,"start_capacity":0.23},)"
         R"("domain":{"places":)" + n + R"(,"span":3,"slices":)" + n +
         R"(,"parts_a_call":1,"per_call_work_us":0,"min_share":[1.0],"whole_at":[1.0],"partial_earns":[1.0],"second_step":[0]}})";
}

}  // namespace standin

namespace standin {

inline std::string tregor_lots(int nodes) {
  const auto n = std::to_string(nodes);
  return R"({"balancers":2,"resolution_us":5000,"zone":"lannion","zones":["lannion","perros"],"worth_by":"work","discovery":"push",)"
         R"("bounds":{"cancel":true,"max_attempts":3,"may_duplicate":true,"retry_after":true,"max_retry_after_us":500000,)"
         R"("max_open":400,"streams_per_conn":32,"connect_timeout_us":250000,"conn_idle_us":30000000,"probes":true,"peer_messages":false},)"
         R"("classes":[)"
         R"({"name":"lot-search","semantics":"safe","aim_us":1200000,"deadline_us":2500000,"credit":1.0,"late_worth":0.3},)"
         R"({"name":"lot-reserve","semantics":"unsafe","aim_us":1000000,"deadline_us":3000000,"credit":1.0,"late_worth":0.0},)"
         R"({"name":"stock-report","semantics":"safe","aim_us":1200000,"deadline_us":4000000,"credit":5.0,"late_worth":0.1}],"customers":[],)"
         R"("contract":{"answer_slack_us":20000,"drain_grace_us":250000,"cold_us":17000000,"fall_multiple":2.5,"overload_for_us":3000000,"start_capacity":0.21,)"
         R"("ratio_span_us":10000000,"min_extra":5,"budget_share":0.2},)"
         R"("domain":{"places":)" + n + R"(,"span":3,"slices":)" + n +
         R"(,"parts_a_call":1,"per_call_work_us":0,"min_share":[1.0,1.0,0.8],"whole_at":[1.0,1.0,1.0],"partial_earns":[1.0,1.0,0.8],"second_step":[0,0,0]}})";
}

}  // namespace standin
