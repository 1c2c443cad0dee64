#include "wire/instance.hpp"

#include <algorithm>
#include <cmath>

namespace yoketurn::wire {
namespace {

void append(std::string& line, long long value) {
  line += std::to_string(value);
}
void append(std::string& line, const char* text) {
  line += text;
}

// A peer report is a node's fingerprint (3 bytes) and a latency code (1 byte).
constexpr std::size_t kReportBytes = 4;
constexpr std::size_t kMaxReportsPerMessage = 64;  // the protocol allows 256 bytes a message

// Bits of a request's field "marks".
constexpr long long kWorkHintMark = 1, kClientRetryMark = 2;

// Tolerance in seconds for comparing times that were rounded to microseconds on the wire.
constexpr double kTimerTolerance = 1e-6;

// 24-bit hash of a node's id, which is the same at all routers.
std::uint32_t node_fingerprint(long long id) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(id) * 0x9E3779B97F4A7C15u >> 40);
}

// Latency on a logarithmic scale: 16 steps a doubling, 1 stands for 1 ms or less, 0 for no latency.
int encode_latency(double seconds) {
  return seconds <= 0 ? 0
                      : std::clamp(static_cast<int>(std::lround(16 * std::log2(seconds / 1e-3))) + 1, 1, 255);
}

// Seconds.
double decode_latency(int code) {
  return code == 0 ? 0 : 1e-3 * std::exp2((code - 1) / 16.0);
}

}  // namespace

RouterInstance::RouterInstance(std::string name, std::uint64_t seed, const SettingsMap& setup, double now)
    : name_(std::move(name)),
      queries_(read_settings(setup), seed, now, timers_, *this),
      verticals_(index_names(read_names(setup, "classes"))),
      customers_(index_names(read_names(setup, "customers"))),
      zones_(index_names(split(required_setting(setup, "zones"), ','))) {}

template <class... FieldValues>
void RouterInstance::write_message(const char* verb, FieldValues... values) {
  output_ += verb;
  output_ += ' ';
  output_ += name_;
  ((output_ += ' ', append(output_, values)), ...);
  output_ += '\n';
}

int RouterInstance::node_index(long long id) {
  const auto [at, is_new] = node_indices_.try_emplace(id, static_cast<int>(node_ids_.size()));
  if (!is_new) return at->second;
  node_ids_.push_back(id);
  nodes_by_fingerprint_.emplace(node_fingerprint(id), at->second);
  return at->second;
}

void RouterInstance::on_node_list(std::string_view kind, const std::vector<NodeEntry>& entries, double now) {
  if (kind == "lost") return queries_.on_node_list_failed(now);
  if (kind != "incr" && kind != "total" && kind != "warm_copy") throw_invalid_value("kind", kind);
  std::vector<DiscoveredNode> nodes;
  for (const auto& entry : entries)
    nodes.push_back({node_index(entry.node), find_index(zones_, entry.zone), entry.cell, entry.status == 'U',
                     entry.started_at});
  queries_.update_nodes(nodes, kind != "incr", now, kind != "warm_copy");
}

void RouterInstance::on_request(FieldReader& fields, double now) {
  const auto id = fields.integer("xid");
  const auto vertical = find_index(verticals_, fields.word("service"));
  if (vertical == kNone) throw InputError("service: no such vertical");
  const auto customer = find_index(customers_, fields.word("realm"));
  fields.word("object");
  const auto deadline = fields.seconds("not_after_us", now);
  const auto work = fields.seconds("effort_us", 0);
  const auto query = fields.integer("ask_no");
  const auto shard = fields.index("range_no");
  const auto weight = fields.number("measure", 0);
  const auto marks = fields.integer("marks");
  const auto hint = (marks & kWorkHintMark) != 0 && work > 0 ? work : 0;
  if (shard >= 0) {
    const auto leaf = queries_.add_part(query, {shard, weight, hint, 1, false, {}}, now);
    if (leaf == kNone) return;
    leaf_of_part_id_[id] = {query, leaf};
    ids_of_query_[query].part_ids.push_back(id);
    return;
  }
  if (queries_.contains(query)) throw InputError("ask_no: a query with this number is still in progress");
  Query q;
  q.vertical = vertical;
  q.customer = customer;
  q.deadline = deadline;
  q.work_hint = hint;
  q.client_retry = (marks & kClientRetryMark) != 0;
  query_of_request_id_[id] = query;
  ids_of_query_[query].request_id = id;
  queries_.add_query(query, std::move(q), now);
}

void RouterInstance::on_response(FieldReader& fields, double now) {
  const auto id = fields.integer("xid");
  const auto call = fields.integer("n");
  fields.integer("node");
  const auto verdict = parse_outcome(fields.word("verdict"));
  fields.integer("time_taken_us");
  fields.word("final");
  const auto at = leaf_of_part_id_.find(id);
  if (at == leaf_of_part_id_.end() || call < 0 || call > std::numeric_limits<int>::max()) return;
  queries_.on_outcome(at->second.first, at->second.second, static_cast<int>(call), verdict, 0, now);
}

// Sends reports to all other routers (address -1).
void RouterInstance::send_peer_reports(const std::vector<PeerReport>& reports) {
  for (std::size_t from = 0; from < reports.size(); from += kMaxReportsPerMessage) {
    std::string raw;
    for (auto i = from; i < std::min(reports.size(), from + kMaxReportsPerMessage); ++i) {
      const auto fingerprint = node_fingerprint(node_ids_[static_cast<std::size_t>(reports[i].node)]);
      for (const auto shift : {16, 8, 0}) raw += static_cast<char>(fingerprint >> shift & 0xff);
      raw += static_cast<char>(encode_latency(reports[i].latency));
    }
    write_message("announce", -1LL, encode_base64(raw).c_str());
  }
}

void RouterInstance::on_peer_message(FieldReader& fields, double now) {
  fields.integer("from");
  const auto raw = decode_base64(fields.word("raw"));
  if (!raw || raw->size() % kReportBytes != 0) throw InputError("raw: not a list of peer reports");
  for (std::size_t i = 0; i < raw->size(); i += kReportBytes) {
    std::uint32_t fingerprint = 0;
    for (std::size_t j = 0; j + 1 < kReportBytes; ++j)
      fingerprint = fingerprint << 8 | static_cast<unsigned char>((*raw)[i + j]);
    const auto at = nodes_by_fingerprint_.find(fingerprint);
    if (at != nodes_by_fingerprint_.end())
      queries_.on_peer_report(
          {at->second, decode_latency(static_cast<unsigned char>((*raw)[i + kReportBytes - 1]))}, now);
  }
}

void RouterInstance::on_client_gone(FieldReader& fields) {
  const auto at = query_of_request_id_.find(fields.integer("xid"));
  if (at != query_of_request_id_.end()) queries_.abandon(at->second);
}

void RouterInstance::on_timer(std::string_view token, double now) {
  if (token == "tick") {
    tick_timer_set_ = false;
    if (queries_.tick(now)) write_message("keep_informed", 1);
  } else if (token == "due") {
    if (wake_timer_at_ >= 0 && now >= wake_timer_at_ - kTimerTolerance) wake_timer_at_ = -1;
  }
}

void RouterInstance::send(long long query, const Send& send, int) {
  write_message("place", ids_of_query_.at(query).part_ids[static_cast<std::size_t>(send.leaf)],
                to_microseconds(send.timeout), node_ids_[static_cast<std::size_t>(send.node)]);
}
void RouterInstance::cancel(long long query, const Cancel& cancel) {
  write_message("withdraw", ids_of_query_.at(query).part_ids[static_cast<std::size_t>(cancel.leaf)],
                static_cast<long long>(cancel.call));
}
void RouterInstance::merge(long long query, bool whole) {
  write_message("answer", ids_of_query_.at(query).request_id, whole ? 1 : 0);
}
void RouterInstance::reject(long long query, double retry_after, const Explanation&) {
  write_message("reject", ids_of_query_.at(query).request_id, to_microseconds(retry_after));
}
void RouterInstance::abort(long long query, const Explanation&) {
  write_message("respond_error", ids_of_query_.at(query).request_id);
}
void RouterInstance::release(long long query) {
  const auto& ids = ids_of_query_.at(query);
  query_of_request_id_.erase(ids.request_id);
  for (const auto id : ids.part_ids) leaf_of_part_id_.erase(id);
  ids_of_query_.erase(query);
}

void RouterInstance::set_timer(const char* token, double at, double now) {
  write_message("notify_me", token, std::max(to_microseconds(at - now), 1LL));
}

void RouterInstance::finish_batch(double now, std::string& reply) {
  queries_.process_changes(now);
  if (!tick_timer_set_) set_timer("tick", now + queries_.tick_interval(), now);
  tick_timer_set_ = true;
  if (const auto next = timers_.next_due();
      timers_.size() > 0 && (wake_timer_at_ < 0 || next < wake_timer_at_ - kTimerTolerance)) {
    wake_timer_at_ = next;
    set_timer("due", wake_timer_at_, now);
  }
  reply += output_;
  output_.clear();
}

}  // namespace yoketurn::wire
