// What the audit's commands print, from its store. What was not seen is told as a hole; an order that the
// clocks can't decide is told to be unknown.
#pragma once

#include <string>

#include "fleet/roll.hpp"
#include "fleet/store.hpp"

namespace yoketurn::fleet {

void tell_now(const Store& store, bool as_json);
void tell_version(const Store& store, const std::string& version, bool as_json);
void tell_router(const Store& store, const std::string& router, bool as_json);
void tell_senders(const Store& store, const std::string& node, bool as_json);
void tell_stragglers(const Store& store, bool as_json);
void tell_forks(const Store& store, bool as_json);
void tell_query(const Roll& roll, const std::string& query);
void plot_versions(const Store& store, const std::string& path);

}  // namespace yoketurn::fleet
