#include "settings/settings.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace yoketurn {

std::optional<double> to_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

void complain(std::string_view what, std::string_view word) {
  throw Malformed(std::string(what) + ": '" + std::string(word) + "' makes no sense");
}

namespace {

// Reads required and optional figures of the settings, by path.
class Reader {
 public:
  explicit Reader(const Pairs& setup) : setup_(setup) {}

  double number(const std::string& path, double least) const {
    const auto& text = required(setup_, path);
    const auto value = to_number(text);
    if (!value || *value < least) complain(path, text);
    return *value;
  }
  double optional(const std::string& path, double absent) const {
    return setup_.contains(path) ? number(path, 0) : absent;
  }
  double seconds(const std::string& path) const { return number(path, 0) / 1e6; }
  int count(const std::string& path, int least) const {
    const auto value = number(path, least);
    if (value > kLargestIndex) complain(path, required(setup_, path));
    return static_cast<int>(value);
  }
  bool flag(const std::string& path) const {
    const auto& text = required(setup_, path);
    if (text == "true" || text == "1") return true;
    if (text == "false" || text == "0") return false;
    complain(path, text);
  }
  std::vector<double> numbers(const std::string& path, std::size_t size) const {
    std::vector<double> values;
    for (const auto& text : split(required(setup_, path), ',')) {
      const auto value = to_number(text);
      if (!value || *value < 0 || *value > kLargestIndex) complain(path, text);
      values.push_back(*value);
    }
    if (values.size() != size) complain(path, required(setup_, path));
    return values;
  }

 private:
  const Pairs& setup_;
};

Effect effect(const std::string& text) {
  if (text == "safe") return Effect::repeatable;
  if (text == "keyed") return Effect::deduplicated;
  if (text == "unsafe") return Effect::side_effecting;
  complain("semantics", text);
}

bool plain(const boost::json::value& value) {
  return !value.is_array() && !value.is_object();
}

std::string text_of(const boost::json::value& value) {
  if (const auto* text = value.if_string()) return std::string(*text);
  if (value.is_null()) return {};
  return boost::json::serialize(value);
}

void flatten(const std::string& path, const boost::json::value& value, Pairs& result) {
  if (const auto* object = value.if_object()) {
    for (const auto& [name, inner] : *object)
      flatten(path.empty() ? std::string(name) : path + "." + std::string(name), inner, result);
  } else if (const auto* list = value.if_array(); list != nullptr) {
    if (std::all_of(list->begin(), list->end(), plain)) {
      std::string joined;
      for (const auto& item : *list) {
        if (&item != list->begin()) joined += ',';
        joined += text_of(item);
      }
      result[path] = joined;
      if (!list->empty()) return;
    }
    result[path + ".count"] = std::to_string(list->size());
    for (std::size_t i = 0; i < list->size(); ++i)
      flatten(path + "." + std::to_string(i), (*list)[i], result);
  } else {
    result[path] = text_of(value);
  }
}

}  // namespace

Pairs pairs(std::string_view text) {
  Pairs result;
  for (const auto& pair : split(text, ' ')) {
    if (pair.empty()) continue;
    const auto at = pair.find('=');
    if (at == std::string::npos) complain("setup", pair);
    result[pair.substr(0, at)] = pair.substr(at + 1);
  }
  return result;
}

std::vector<std::string> split(std::string_view text, char by) {
  std::vector<std::string> result;
  while (!text.empty()) {
    const auto end = std::min(text.find(by), text.size());
    result.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return result;
}

const std::string& required(const Pairs& setup, std::string_view path) {
  const auto at = setup.find(path);
  if (at == setup.end()) throw Malformed("setting " + std::string(path) + " is missing");
  return at->second;
}

std::vector<std::string> names(const Pairs& setup, std::string_view list) {
  std::vector<std::string> result;
  const auto prefix = std::string(list);
  const auto count = setup.find(prefix + ".count");
  if (count == setup.end()) return result;
  const auto many = to_number(count->second);
  if (!many || *many < 0 || *many > 1e4) complain(count->first, count->second);
  for (int i = 0; i < static_cast<int>(*many); ++i)
    result.push_back(required(setup, prefix + "." + std::to_string(i) + ".name"));
  return result;
}

Settings settings(const Pairs& setup) {
  const Reader read(setup);
  Settings s;
  const auto verticals = names(setup, "classes");
  if (verticals.empty()) throw Malformed("setting classes.count is missing or 0");
  const auto many = verticals.size();
  const auto least = read.numbers("domain.min_share", many);
  const auto whole = read.numbers("domain.whole_at", many);
  const auto earns = read.numbers("domain.partial_earns", many);
  const auto steps = read.numbers("domain.second_step", many);
  for (std::size_t i = 0; i < many; ++i) {
    const auto path = "classes." + std::to_string(i) + ".";
    Vertical v;
    v.slo_time = read.seconds(path + "aim_us");
    v.slo_stretch = read.optional(path + "aim_stretch", 0);
    v.utility = read.number(path + "credit", 0);
    v.late_utility = read.number(path + "late_worth", 0);
    v.effect = effect(required(setup, path + "semantics"));
    if (v.effect == Effect::deduplicated) v.dedup_window = read.seconds(path + "window_us");
    v.min_merge_share = least[i];
    v.complete_share = whole[i];
    v.partial_utility = earns[i];
    v.second_step_parts = static_cast<int>(steps[i]);
    s.verticals.push_back(v);
  }
  const auto customers = names(setup, "customers");
  for (std::size_t i = 0; i < customers.size(); ++i)
    s.customers.push_back({read.number("customers." + std::to_string(i) + ".quota_rps", 0)});
  s.router_count = read.count("balancers", 1);
  const auto zones = split(required(setup, "zones"), ',');
  const auto zone = std::find(zones.begin(), zones.end(), required(setup, "zone"));
  s.zone = zone == zones.end() ? kNone : static_cast<int>(zone - zones.begin());
  s.timer_resolution = read.seconds("resolution_us");
  s.max_calls = read.count("bounds.max_attempts", 1);
  s.may_copy = read.flag("bounds.may_duplicate");
  s.may_cancel = read.flag("bounds.cancel");
  s.may_send_peer_reports = setup.contains("bounds.peer_messages") && read.flag("bounds.peer_messages");
  s.must_request_node_list = required(setup, "discovery") == "ask";
  s.max_retry_after = read.flag("bounds.retry_after") ? read.seconds("bounds.max_retry_after_us") : 0;
  s.over_quota_utility = read.optional("over_share_worth", 1);
  s.utility_by_work = required(setup, "worth_by") == "work";
  s.max_parts_per_call = read.count("domain.parts_a_call", 1);
  s.cell_count = read.count("domain.places", 1);
  s.cells_per_shard = read.count("domain.span", 1);
  s.start_capacity = read.number("contract.start_capacity", 0);
  s.slow_start_time = read.seconds("contract.cold_us");
  s.overload_multiple = read.number("contract.fall_multiple", 0);
  s.overload_time = read.seconds("contract.overload_for_us");
  s.retry_budget_window = read.optional("contract.ratio_span_us", 0) / 1e6;
  s.retry_budget_min = read.optional("contract.min_extra", 0);
  s.retry_budget_ratio = read.optional("contract.budget_share", 0);
  return s;
}

Pairs pairs(const boost::json::object& nested) {
  Pairs result;
  flatten("", nested, result);
  return result;
}

Bounds bounds(const Pairs& setup) {
  const Reader read(setup);
  Bounds b;
  b.shards = read.count("domain.slices", 1);
  b.max_open = read.count("bounds.max_open", 1);
  b.parts_a_connection = read.count("bounds.streams_per_conn", 1);
  b.parts_a_call = read.count("domain.parts_a_call", 1);
  b.connect_timeout = read.seconds("bounds.connect_timeout_us");
  b.idle_timeout = read.seconds("bounds.conn_idle_us");
  const auto verticals = names(setup, "classes").size();
  for (std::size_t i = 0; i < verticals; ++i)
    b.longest_wait = std::max(b.longest_wait, read.seconds("classes." + std::to_string(i) + ".deadline_us"));
  return b;
}

Names index(const std::vector<std::string>& names) {
  Names result;
  for (const auto& name : names) result.emplace(name, static_cast<int>(result.size()));
  return result;
}

int look_up(const Names& names, std::string_view name) {
  const auto at = names.find(name);
  return at == names.end() ? kNone : at->second;
}

}  // namespace yoketurn
