#include "settings/settings.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

namespace yoketurn {

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

void throw_invalid_value(std::string_view name, std::string_view value) {
  throw InputError(std::string(name) + ": invalid value '" + std::string(value) + "'");
}

namespace {

constexpr double kMaxNames = 1e4;  // of one list

// Reads typed values of settings by path. All functions throw InputError on a missing or invalid value.
class SettingsReader {
 public:
  explicit SettingsReader(const SettingsMap& setup) : setup_(setup) {}

  double number(const std::string& path, double min) const {
    const auto& text = required_setting(setup_, path);
    const auto value = parse_number(text);
    if (!value || *value < min) throw_invalid_value(path, text);
    return *value;
  }
  double optional_number(const std::string& path, double default_value) const {
    return setup_.contains(path) ? number(path, 0) : default_value;
  }
  // A time that is written in microseconds; returned in seconds.
  double seconds(const std::string& path) const { return number(path, 0) / 1e6; }
  int count(const std::string& path, int min) const {
    const auto value = number(path, min);
    if (value > kMaxIndex) throw_invalid_value(path, required_setting(setup_, path));
    return static_cast<int>(value);
  }
  bool flag(const std::string& path) const {
    const auto& text = required_setting(setup_, path);
    if (text == "true" || text == "1") return true;
    if (text == "false" || text == "0") return false;
    throw_invalid_value(path, text);
  }
  // A list of exactly `size` numbers.
  std::vector<double> numbers(const std::string& path, std::size_t size) const {
    std::vector<double> values;
    for (const auto& text : split(required_setting(setup_, path), ',')) {
      const auto value = parse_number(text);
      if (!value || *value < 0 || *value > kMaxIndex) throw_invalid_value(path, text);
      values.push_back(*value);
    }
    if (values.size() != size) throw_invalid_value(path, required_setting(setup_, path));
    return values;
  }

 private:
  const SettingsMap& setup_;
};

Effect parse_effect(const std::string& text) {
  if (text == "safe") return Effect::repeatable;
  if (text == "keyed") return Effect::deduplicated;
  if (text == "unsafe") return Effect::side_effecting;
  throw_invalid_value("semantics", text);
}

bool is_scalar(const boost::json::value& value) {
  return !value.is_array() && !value.is_object();
}

// Strings without quotes, null as an empty text, everything else as in JSON.
std::string scalar_text(const boost::json::value& value) {
  if (const auto* text = value.if_string()) return std::string(*text);
  if (value.is_null()) return {};
  return boost::json::serialize(value);
}

// Adds a value and what it contains to `result`, by path.
void flatten(const std::string& path, const boost::json::value& value, SettingsMap& result) {
  if (const auto* object = value.if_object()) {
    for (const auto& [name, inner] : *object)
      flatten(path.empty() ? std::string(name) : path + "." + std::string(name), inner, result);
  } else if (const auto* list = value.if_array(); list != nullptr) {
    if (std::all_of(list->begin(), list->end(), is_scalar)) {
      std::string joined;
      for (const auto& item : *list) {
        if (&item != list->begin()) joined += ',';
        joined += scalar_text(item);
      }
      result[path] = joined;
      if (!list->empty()) return;
    }
    result[path + ".count"] = std::to_string(list->size());
    for (std::size_t i = 0; i < list->size(); ++i)
      flatten(path + "." + std::to_string(i), (*list)[i], result);
  } else {
    result[path] = scalar_text(value);
  }
}

}  // namespace

SettingsMap parse_settings_text(std::string_view text) {
  SettingsMap result;
  for (const auto& pair : split(text, ' ')) {
    if (pair.empty()) continue;
    const auto at = pair.find('=');
    if (at == std::string::npos) throw_invalid_value("setup", pair);
    result[pair.substr(0, at)] = pair.substr(at + 1);
  }
  return result;
}

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> result;
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    result.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return result;
}

const std::string& required_setting(const SettingsMap& setup, std::string_view path) {
  const auto at = setup.find(path);
  if (at == setup.end()) throw InputError("setting " + std::string(path) + " is missing");
  return at->second;
}

std::vector<std::string> read_names(const SettingsMap& setup, std::string_view list) {
  std::vector<std::string> result;
  const auto prefix = std::string(list);
  const auto count = setup.find(prefix + ".count");
  if (count == setup.end()) return result;
  const auto size = parse_number(count->second);
  if (!size || *size < 0 || *size > kMaxNames) throw_invalid_value(count->first, count->second);
  for (int i = 0; i < static_cast<int>(*size); ++i)
    result.push_back(required_setting(setup, prefix + "." + std::to_string(i) + ".name"));
  return result;
}

Settings read_settings(const SettingsMap& setup) {
  const SettingsReader read(setup);
  Settings s;
  const auto verticals = read_names(setup, "classes");
  if (verticals.empty()) throw InputError("setting classes.count is missing or 0");
  const auto vertical_count = verticals.size();
  const auto min_merge_shares = read.numbers("domain.min_share", vertical_count);
  const auto complete_shares = read.numbers("domain.whole_at", vertical_count);
  const auto partial_utilities = read.numbers("domain.partial_earns", vertical_count);
  const auto second_step_parts = read.numbers("domain.second_step", vertical_count);
  for (std::size_t i = 0; i < vertical_count; ++i) {
    const auto path = "classes." + std::to_string(i) + ".";
    Vertical v;
    v.slo_time = read.seconds(path + "aim_us");
    v.slo_stretch = read.optional_number(path + "aim_stretch", 0);
    v.utility = read.number(path + "credit", 0);
    v.late_utility = read.number(path + "late_worth", 0);
    v.effect = parse_effect(required_setting(setup, path + "semantics"));
    if (v.effect == Effect::deduplicated) v.dedup_window = read.seconds(path + "window_us");
    v.min_merge_share = min_merge_shares[i];
    v.complete_share = complete_shares[i];
    v.partial_utility = partial_utilities[i];
    v.second_step_parts = static_cast<int>(second_step_parts[i]);
    s.verticals.push_back(v);
  }
  const auto customers = read_names(setup, "customers");
  for (std::size_t i = 0; i < customers.size(); ++i)
    s.customers.push_back({read.number("customers." + std::to_string(i) + ".quota_rps", 0)});
  s.router_count = read.count("balancers", 1);
  const auto zones = split(required_setting(setup, "zones"), ',');
  const auto zone = std::find(zones.begin(), zones.end(), required_setting(setup, "zone"));
  s.zone = zone == zones.end() ? kNone : static_cast<int>(zone - zones.begin());
  s.timer_resolution = read.seconds("resolution_us");
  s.max_calls = read.count("bounds.max_attempts", 1);
  s.may_copy = read.flag("bounds.may_duplicate");
  s.may_cancel = read.flag("bounds.cancel");
  s.may_send_peer_reports = setup.contains("bounds.peer_messages") && read.flag("bounds.peer_messages");
  s.must_request_node_list = required_setting(setup, "discovery") == "ask";
  s.max_retry_after = read.flag("bounds.retry_after") ? read.seconds("bounds.max_retry_after_us") : 0;
  s.over_quota_utility = read.optional_number("over_share_worth", 1);
  s.utility_by_work = required_setting(setup, "worth_by") == "work";
  s.max_parts_per_call = read.count("domain.parts_a_call", 1);
  s.cell_count = read.count("domain.places", 1);
  s.cells_per_shard = read.count("domain.span", 1);
  s.start_capacity = read.number("contract.start_capacity", 0);
  s.slow_start_time = read.seconds("contract.cold_us");
  s.overload_multiple = read.number("contract.fall_multiple", 0);
  s.overload_time = read.seconds("contract.overload_for_us");
  s.retry_budget_window = read.optional_number("contract.ratio_span_us", 0) / 1e6;
  s.retry_budget_min = read.optional_number("contract.min_extra", 0);
  s.retry_budget_ratio = read.optional_number("contract.budget_share", 0);
  return s;
}

SettingsMap flatten_settings(const boost::json::object& nested) {
  SettingsMap result;
  flatten("", nested, result);
  return result;
}

ConnectionLimits read_connection_limits(const SettingsMap& setup) {
  const SettingsReader read(setup);
  ConnectionLimits limits;
  limits.shard_count = read.count("domain.slices", 1);
  limits.max_in_progress = read.count("bounds.max_open", 1);
  limits.max_parts_per_connection = read.count("bounds.streams_per_conn", 1);
  limits.max_parts_per_call = read.count("domain.parts_a_call", 1);
  limits.connect_timeout = read.seconds("bounds.connect_timeout_us");
  limits.idle_timeout = read.seconds("bounds.conn_idle_us");
  limits.probes_allowed = setup.contains("bounds.probes") && read.flag("bounds.probes");
  const auto verticals = read_names(setup, "classes").size();
  for (std::size_t i = 0; i < verticals; ++i)
    limits.max_client_wait =
        std::max(limits.max_client_wait, read.seconds("classes." + std::to_string(i) + ".deadline_us"));
  return limits;
}

NameIndex index_names(const std::vector<std::string>& names) {
  NameIndex result;
  for (const auto& name : names) result.emplace(name, static_cast<int>(result.size()));
  return result;
}

int find_index(const NameIndex& names, std::string_view name) {
  const auto at = names.find(name);
  return at == names.end() ? kNone : at->second;
}

}  // namespace yoketurn
