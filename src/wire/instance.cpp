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

constexpr std::size_t kWordBytes = 4;
constexpr std::size_t kMostWords = 64;  // a message holds 256 bytes

std::uint32_t mark(long long id) {
  return static_cast<std::uint32_t>(static_cast<std::uint64_t>(id) * 0x9E3779B97F4A7C15u >> 40);
}

int step_of(double took) {
  return took <= 0 ? 0 : std::clamp(static_cast<int>(std::lround(16 * std::log2(took / 1e-3))) + 1, 1, 255);
}

double time_of(int step) {
  return step == 0 ? 0 : 1e-3 * std::exp2((step - 1) / 16.0);
}

}  // namespace

Instance::Instance(std::string name, std::uint64_t seed, const Pairs& setup, double now)
    : name_(std::move(name)),
      queries_(settings(setup), seed, now, due_, *this),
      verticals_(index(names(setup, "classes"))),
      customers_(index(names(setup, "customers"))),
      zones_(index(split(required(setup, "zones"), ','))) {}

template <class... Parts>
void Instance::say(const char* verb, Parts... parts) {
  said_ += verb;
  said_ += ' ';
  said_ += name_;
  ((said_ += ' ', append(said_, parts)), ...);
  said_ += '\n';
}

int Instance::node(long long id) {
  const auto [at, fresh] = nodes_.try_emplace(id, static_cast<int>(node_ids_.size()));
  if (!fresh) return at->second;
  node_ids_.push_back(id);
  marks_.emplace(mark(id), at->second);
  return at->second;
}

void Instance::on_list(std::string_view kind, const std::vector<Entry>& entries, double now) {
  if (kind == "lost") return queries_.on_node_list_failed(now);
  if (kind != "incr" && kind != "total" && kind != "warm_copy")
    throw Malformed("kind: '" + std::string(kind) + "' makes no sense");
  std::vector<yoketurn::DiscoveredNode> hosts;
  for (const auto& entry : entries)
    hosts.push_back(
        {node(entry.node), look_up(zones_, entry.zone), entry.cell, entry.status == 'U', entry.born});
  queries_.update_nodes(hosts, kind != "incr", now, kind != "warm_copy");
}

void Instance::on_demand(Fields& fields, double now) {
  const auto id = fields.integer("xid");
  const auto vertical = look_up(verticals_, fields.word("service"));
  if (vertical == kNone) throw Malformed("service: no such vertical");
  const auto customer = look_up(customers_, fields.word("realm"));
  fields.word("object");
  const auto expires = fields.seconds("not_after_us", now);
  const auto work = fields.seconds("effort_us", 0);
  const auto ask = fields.integer("ask_no");
  const auto shard = fields.index("range_no");
  const auto measure = fields.number("measure", 0);
  const auto marks = fields.integer("marks");
  const auto hint = (marks & 1) != 0 && work > 0 ? work : 0;
  if (shard >= 0) {
    const auto leaf = queries_.add_part(ask, {shard, measure, hint, 1, false, {}}, now);
    if (leaf == kNone) return;
    leaves_[id] = {ask, leaf};
    ids_[ask].leaves.push_back(id);
    return;
  }
  if (queries_.contains(ask)) throw Malformed("ask_no: that query is held already");
  Query q;
  q.vertical = vertical;
  q.customer = customer;
  q.deadline = expires;
  q.work_hint = hint;
  q.client_retry = (marks & 2) != 0;
  asks_[id] = ask;
  ids_[ask].query = id;
  queries_.add_query(ask, std::move(q), now);
}

void Instance::on_response(Fields& fields, double now) {
  const auto id = fields.integer("xid");
  const auto number = fields.integer("n");
  fields.integer("node");
  const auto verdict = outcome(fields.word("verdict"));
  fields.integer("time_taken_us");
  fields.word("final");
  const auto at = leaves_.find(id);
  if (at == leaves_.end() || number < 0 || number > std::numeric_limits<int>::max()) return;
  queries_.on_outcome(at->second.first, at->second.second, static_cast<int>(number), verdict, 0, now);
}

// Words for the other routers: three bytes that stand for the node, whose id is the same at all routers, and
// one for the latency on a scale of sixteenths of a doubling from 1 ms.
void Instance::send_peer_reports(const std::vector<PeerReport>& words) {
  for (std::size_t from = 0; from < words.size(); from += kMostWords) {
    std::string raw;
    for (auto i = from; i < std::min(words.size(), from + kMostWords); ++i) {
      const auto of_node = mark(node_ids_[static_cast<std::size_t>(words[i].node)]);
      for (const auto shift : {16, 8, 0}) raw += static_cast<char>(of_node >> shift & 0xff);
      raw += static_cast<char>(step_of(words[i].latency));
    }
    say("announce", -1LL, encode(raw).c_str());
  }
}

void Instance::on_message(Fields& fields, double now) {
  fields.integer("from");
  const auto raw = decode(fields.word("raw"));
  if (!raw || raw->size() % kWordBytes != 0) throw Malformed("raw: no words of a router");
  for (std::size_t i = 0; i < raw->size(); i += kWordBytes) {
    std::uint32_t of_node = 0;
    for (std::size_t j = 0; j + 1 < kWordBytes; ++j)
      of_node = of_node << 8 | static_cast<unsigned char>((*raw)[i + j]);
    const auto at = marks_.find(of_node);
    if (at != marks_.end())
      queries_.on_peer_report({at->second, time_of(static_cast<unsigned char>((*raw)[i + kWordBytes - 1]))},
                              now);
  }
}

void Instance::on_gone(Fields& fields) {
  const auto at = asks_.find(fields.integer("xid"));
  if (at != asks_.end()) queries_.abandon(at->second);
}

void Instance::on_reminder(std::string_view token, double now) {
  if (token == "tick") {
    tick_set_ = false;
    if (queries_.tick(now)) say("keep_informed", 1);
  } else if (token == "due") {
    if (wake_at_ >= 0 && now >= wake_at_ - 1e-6) wake_at_ = -1;
  }
}

void Instance::send(long long query, const Send& send, int) {
  say("place", ids_.at(query).leaves[static_cast<std::size_t>(send.leaf)], micros(send.timeout),
      node_ids_[static_cast<std::size_t>(send.node)]);
}
void Instance::cancel(long long query, const Cancel& cancel) {
  say("withdraw", ids_.at(query).leaves[static_cast<std::size_t>(cancel.leaf)],
      static_cast<long long>(cancel.call));
}
void Instance::merge(long long query, bool whole) {
  say("answer", ids_.at(query).query, whole ? 1 : 0);
}
void Instance::reject(long long query, double stay_away, const Explanation&) {
  say("reject", ids_.at(query).query, micros(stay_away));
}
void Instance::abort(long long query, const Explanation&) {
  say("respond_error", ids_.at(query).query);
}
void Instance::release(long long query) {
  const auto& ids = ids_.at(query);
  asks_.erase(ids.query);
  for (const auto id : ids.leaves) leaves_.erase(id);
  ids_.erase(query);
}

void Instance::set_timer(const char* token, double at, double now) {
  say("notify_me", token, std::max(micros(at - now), 1LL));
}

void Instance::finish(double now, std::string& reply) {
  queries_.process_changes(now);
  if (!tick_set_) set_timer("tick", now + queries_.tick_interval(), now);
  tick_set_ = true;
  if (const auto next = due_.next_due(); due_.size() > 0 && (wake_at_ < 0 || next < wake_at_ - 1e-6)) {
    wake_at_ = next;
    set_timer("due", wake_at_, now);
  }
  reply += said_;
  said_.clear();
}

}  // namespace yoketurn::wire
