#include "days/terms.hpp"

#include <fmt/format.h>

namespace yoketurn::days {

std::string settings_text(const Day& day, const std::string& site) {
  std::string verticals, least, whole, earns, second, zones;
  for (const auto& v : day.verticals) {
    const auto comma = verticals.empty() ? "" : ",";
    verticals += fmt::format(
        R"({}{{"name":"{}","semantics":"{}","aim_us":{:.0f},"deadline_us":{:.0f},"credit":{},"late_worth":0.5,)"
        R"("key_scope":"all","streaming":false,"window_us":{:.0f}}})",
        comma, v.name, v.semantics, v.aim * 1e6, v.deadline * 1e6, v.credit, v.window * 1e6);
    least += fmt::format("{}{}", comma, v.least);
    whole += fmt::format("{}1.0", comma);
    earns += fmt::format("{}{}", comma, v.least < 1 ? 0.5 : 1.0);
    second += fmt::format("{}0", comma);
  }
  for (const auto& of : day.sites) zones += fmt::format("{}\"{}\"", zones.empty() ? "" : ",", of.name);
  return fmt::format(
      R"({{"balancers":{},"resolution_us":1000,"zone":"{}","zones":[{}],"worth_by":"work","discovery":"push",)"
      R"("bounds":{{"cancel":true,"max_attempts":3,"may_duplicate":true,"probes":true,"retry_after":true,)"
      R"("max_retry_after_us":500000,"max_open":{},"streams_per_conn":100,"connect_timeout_us":{:.0f},)"
      R"("conn_idle_us":{:.0f}}},"classes":[{}],"customers":[],)"
      R"("contract":{{"cold_us":{:.0f},"fall_multiple":{},"overload_for_us":{:.0f},"start_capacity":{}}},)"
      R"("domain":{{"places":{},"span":{},"slices":{},"parts_a_call":1,"min_share":[{}],)"
      R"("whole_at":[{}],"partial_earns":[{}],"second_step":[{}]}}}})",
      day.routers(), site, zones, kMostOpen, kConnectTimeout * 1e6, kIdleTimeout * 1e6, verticals,
      day.cold * 1e6, day.fall_multiple, day.fall_for * 1e6, day.start, day.cells, day.span, day.shards,
      least, whole, earns, second);
}

}  // namespace yoketurn::days
