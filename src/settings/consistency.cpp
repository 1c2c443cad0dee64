#include "settings/consistency.hpp"

#include <algorithm>
#include <initializer_list>

namespace yoketurn {
namespace {

[[noreturn]] void refuse(std::string_view key, std::string_view value, const std::string& expected) {
  throw InputError(std::string(key) + " is '" + std::string(value) + "', expected " + expected);
}

const std::string* find(const SettingsMap& setup, std::string_view key) {
  const auto at = setup.find(key);
  return at == setup.end() ? nullptr : &at->second;
}

void check_choice(const SettingsMap& setup, std::string_view key,
                  std::initializer_list<const char*> choices) {
  const auto* text = find(setup, key);
  if (text == nullptr || std::find(choices.begin(), choices.end(), *text) != choices.end()) return;
  std::string expected;
  for (const auto* choice : choices) expected += (expected.empty() ? "" : ", ") + std::string(choice);
  refuse(key, *text, "one of " + expected);
}

double number(const SettingsMap& setup, std::string_view key, double default_value) {
  const auto* text = find(setup, key);
  if (text == nullptr) return default_value;
  const auto value = parse_number(*text);
  if (!value || *value < 0) refuse(key, *text, "a number of 0 or more");
  return *value;
}

bool flag(const SettingsMap& setup, std::string_view key) {
  check_choice(setup, key, {"true", "false", "1", "0"});
  const auto* text = find(setup, key);
  return text != nullptr && (*text == "true" || *text == "1");
}

}  // namespace

void check_consistency(const SettingsMap& setup) {
  check_choice(setup, "discovery", {"push", "ask"});
  check_choice(setup, "weights", {"off", "nominal", "rough", "live"});
  check_choice(setup, "load_report.source", {"inline", "on_probe", "off"});
  flag(setup, "domain.warm_keys");
  flag(setup, "bounds.probes");
  const auto* source = find(setup, "load_report.source");
  const auto* columns = find(setup, "load_report.columns");
  if (source != nullptr && *source != "off" && columns != nullptr && columns->empty())
    refuse("load_report.columns", "", "names, as load_report.source is " + *source);
  // In a ring layout a shard is held by `span` consecutive cells, in a set layout by one: never by more cells
  // than there are.
  const auto cells = number(setup, "domain.places", 1);
  if (const auto span = number(setup, "domain.span", 1); span > cells)
    refuse("domain.span", *find(setup, "domain.span"),
           "at most domain.places, " + (find(setup, "domain.places") ? *find(setup, "domain.places") : "1"));
  if (number(setup, "domain.per_call_work_us", 0) > 0 && find(setup, "domain.parts_a_call") == nullptr)
    refuse("domain.parts_a_call", "", "a number, as domain.per_call_work_us states what a call costs");
  if (flag(setup, "bounds.peer_messages") && number(setup, "balancers", 1) <= 1)
    refuse("bounds.peer_messages", *find(setup, "bounds.peer_messages"), "false, as balancers is 1");
  for (const auto* key : {"contract.min_extra", "contract.budget_share"})
    if (number(setup, key, 0) > 0 && number(setup, "contract.ratio_span_us", 0) <= 0)
      refuse(key, *find(setup, key), "0, as contract.ratio_span_us states no span");
  const auto* min_share = find(setup, "domain.min_share");
  const auto* whole_at = find(setup, "domain.whole_at");
  if (min_share == nullptr || whole_at == nullptr) return;
  const auto min_shares = split(*min_share, ','), whole_shares = split(*whole_at, ',');
  for (std::size_t i = 0; i < std::min(min_shares.size(), whole_shares.size()); ++i)
    if (parse_number(min_shares[i]).value_or(0) > parse_number(whole_shares[i]).value_or(1))
      refuse("domain.min_share", *min_share, "at most domain.whole_at, " + *whole_at);
}

}  // namespace yoketurn
