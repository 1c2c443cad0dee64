#include "settings/consistency.hpp"

#include <algorithm>
#include <initializer_list>

namespace yoketurn {
namespace {

[[noreturn]] void refuse(std::string_view key, std::string_view says, const std::string& expected) {
  throw InputError(std::string(key) + " is '" + std::string(says) + "', expected " + expected);
}

const std::string* find(const SettingsMap& setup, std::string_view key) {
  const auto at = setup.find(key);
  return at == setup.end() ? nullptr : &at->second;
}

void one_of(const SettingsMap& setup, std::string_view key, std::initializer_list<const char*> words) {
  const auto* says = find(setup, key);
  if (says == nullptr || std::find(words.begin(), words.end(), *says) != words.end()) return;
  std::string expected;
  for (const auto* word : words) expected += (expected.empty() ? "" : ", ") + std::string(word);
  refuse(key, *says, "one of " + expected);
}

double number(const SettingsMap& setup, std::string_view key, double absent) {
  const auto* says = find(setup, key);
  if (says == nullptr) return absent;
  const auto value = parse_number(*says);
  if (!value || *value < 0) refuse(key, *says, "a number of 0 or more");
  return *value;
}

bool flag(const SettingsMap& setup, std::string_view key) {
  one_of(setup, key, {"true", "false", "1", "0"});
  const auto* says = find(setup, key);
  return says != nullptr && (*says == "true" || *says == "1");
}

}  // namespace

void check_consistency(const SettingsMap& setup) {
  one_of(setup, "discovery", {"push", "ask"});
  one_of(setup, "weights", {"off", "nominal", "rough", "live"});
  one_of(setup, "load_report.source", {"inline", "on_probe", "off"});
  flag(setup, "domain.warm_keys");
  flag(setup, "bounds.probes");
  const auto* source = find(setup, "load_report.source");
  const auto* columns = find(setup, "load_report.columns");
  if (source != nullptr && *source != "off" && columns != nullptr && columns->empty())
    refuse("load_report.columns", "", "names, as load_report.source is " + *source);
  // A ring holds a shard in several cells in a row, sets in one: never in more cells than there are.
  const auto places = number(setup, "domain.places", 1);
  if (const auto span = number(setup, "domain.span", 1); span > places)
    refuse("domain.span", *find(setup, "domain.span"),
           "at most domain.places, " + (find(setup, "domain.places") ? *find(setup, "domain.places") : "1"));
  if (number(setup, "domain.per_call_work_us", 0) > 0 && find(setup, "domain.parts_a_call") == nullptr)
    refuse("domain.parts_a_call", "", "a number, as domain.per_call_work_us states what a call costs");
  if (flag(setup, "bounds.peer_messages") && number(setup, "balancers", 1) <= 1)
    refuse("bounds.peer_messages", *find(setup, "bounds.peer_messages"), "false, as balancers is 1");
  for (const auto* key : {"contract.min_extra", "contract.budget_share"})
    if (number(setup, key, 0) > 0 && number(setup, "contract.ratio_span_us", 0) <= 0)
      refuse(key, *find(setup, key), "0, as contract.ratio_span_us states no span");
  const auto* least = find(setup, "domain.min_share");
  const auto* whole = find(setup, "domain.whole_at");
  if (least == nullptr || whole == nullptr) return;
  const auto shares = split(*least, ','), wholes = split(*whole, ',');
  for (std::size_t i = 0; i < std::min(shares.size(), wholes.size()); ++i)
    if (parse_number(shares[i]).value_or(0) > parse_number(wholes[i]).value_or(1))
      refuse("domain.min_share", *least, "at most domain.whole_at, " + *whole);
}

}  // namespace yoketurn
