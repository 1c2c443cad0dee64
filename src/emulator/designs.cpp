#include "emulator/designs.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <stdexcept>

#include "estimates/samples.hpp"

namespace yoketurn::emulator {

namespace {

constexpr double kPeriod = 0.1;
constexpr double kWindow = 10;       // of latencies
constexpr double kLateShare = 0.95;  // of them: after it a part is late
constexpr double kStartDelay = 0.1;  // before any is known
constexpr double kCopyShare = 0.1;   // of parts that are copied, where the late ones are
constexpr double kMargin = 0.022;    // before a query's end
constexpr double kTooLate = 0.2;     // after it, where the design is broken
constexpr double kAgain = 0.01;      // until a part that failed goes out again
constexpr double kRounding = 1e-9;

class Plain final : public RoutingPolicy {
 public:
  Plain(const Settings& settings, const Design& design, std::uint64_t seed,
        std::function<double(int node)> waiting)
      : is_(settings),
        design_(design),
        chance_(static_cast<std::uint_fast32_t>(seed)),
        true_waiting_(std::move(waiting)) {}

  Decision route(Query& q, double now) override {
    q.admitted = true;
    auto answer = ending(q, now);
    if (answer.query_end != QueryEnd::none) return answer;
    for (std::size_t i = 0; i < q.leaves.size(); ++i)
      if (!q.leaves[i].answered) place(q, static_cast<int>(i), answer, now);
    return answer;
  }

  Decision on_call_ended(Query& q, int leaf_index, int call_index, double now) override {
    auto& leaf = q.leaves[static_cast<std::size_t>(leaf_index)];
    const auto& call = leaf.calls[static_cast<std::size_t>(call_index)];
    if (call.outcome != Outcome::unsent) {
      auto& out = out_[call.node];
      out = std::max(out - 1, 0);
    }
    Decision answer;
    if (call.outcome != Outcome::success || leaf.answered) return answer;
    latencies_.add(now, {now - call.sent_at, false});
    leaf.answered = true;
    for (std::size_t i = 0; i < leaf.calls.size(); ++i)
      if (leaf.calls[i].pending())
        answer.cancels.push_back({leaf_index, static_cast<int>(i), explain(Reason::race_lost)});
    return answer;
  }

  double time_to_next_check(const Query& q, double now) const override {
    auto due = last(q);
    for (const auto& leaf : q.leaves)
      if (!leaf.answered)
        due = std::min(due, leaf.any_pending() && !breaks(Design::Broken::budget)
                                ? std::max(copy_at(leaf), now + kAgain)
                                : now + kAgain);
    return std::max(due - now, 1e-3);
  }

  void on_requests_received(int, double) override {}
  void update_nodes(std::span<const DiscoveredNode> hosts, bool complete, bool) override {
    if (complete)
      for (auto& host : hosts_) host.up = false;
    for (const auto& host : hosts) {
      if (host.node < 0) continue;
      if (static_cast<std::size_t>(host.node) >= hosts_.size())
        hosts_.resize(static_cast<std::size_t>(host.node) + 1);
      hosts_[static_cast<std::size_t>(host.node)] = host;
    }
    by_cell_.assign(static_cast<std::size_t>(is_.cell_count), {});
    for (const auto& host : hosts_)
      if ((host.up || breaks(Design::Broken::drains)) && host.cell >= 0 && host.cell < is_.cell_count)
        by_cell_[static_cast<std::size_t>(host.cell)].push_back(host.node);
  }
  void remove_node(int) override {}
  void on_node_list_failed(double) override {}
  bool tick(double now) override {
    auto samples = latencies_.recent(now);
    if (samples.size() >= 10) late_ = quantile(samples, kLateShare);
    return false;
  }
  double tick_interval() const override { return kPeriod; }
  std::vector<PeerReport> take_peer_reports() override { return {}; }
  void on_peer_report(PeerReport, double) override {}
  void set_site_shares(std::span<const SiteShare>) override {}
  void enable_trace(bool) override {}
  std::span<const DecisionTraceEntry> trace() const override { return {}; }
  long long dropped_trace_entries() const override { return 0; }
  NodeHealth node_health(int, double) const override { return NodeHealth::healthy; }

 private:
  bool breaks(Design::Broken rule) const { return design_.broken == rule; }
  const Vertical& of(const Query& q) const { return is_.verticals[static_cast<std::size_t>(q.vertical)]; }

  // When its answer has to leave.
  double last(const Query& q) const {
    return q.deadline + (breaks(Design::Broken::late) ? kTooLate : -kMargin);
  }

  double copy_at(const Leaf& leaf) const {
    if (design_.copies != Design::Copies::late || leaf.calls.size() != 1)
      return std::numeric_limits<double>::infinity();
    return leaf.calls[0].sent_at + late_;
  }

  Decision ending(const Query& q, double now) {
    Decision answer;
    double in = 0, possible = 0;
    for (const auto& leaf : q.leaves) {
      if (leaf.answered) in += leaf.weight;
      if (leaf.answered || leaf.any_pending() || may_send(q, leaf, now)) possible += leaf.weight;
    }
    const auto& v = of(q);
    const auto over = now >= last(q);
    if (in >= v.complete_share - kRounding || (over && breaks(Design::Broken::whole)))
      answer.query_end = QueryEnd::merge_complete;
    else if ((over || possible <= in + kRounding) && in >= v.min_merge_share - kRounding)
      answer.query_end = QueryEnd::merge_partial;
    else if (over || possible < v.min_merge_share - kRounding) {
      const auto harmless =
          v.effect == Effect::repeatable ||
          std::all_of(q.leaves.begin(), q.leaves.end(), [](const Leaf& leaf) {
            return std::none_of(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
          });
      answer.query_end = harmless ? QueryEnd::reject : QueryEnd::abort;
      answer.retry_after = is_.max_retry_after;
      answer.explanation = explain(over ? Reason::deadline_passed : Reason::share_unreachable);
    }
    return answer;
  }

  bool may_send(const Query& q, const Leaf& leaf, double now) const {
    return leaf.calls.empty() ||
           (static_cast<int>(leaf.calls.size()) < is_.max_calls && now < may_send_until(q, leaf));
  }

  double may_send_until(const Query& q, const Leaf& leaf) const {
    const auto& v = of(q);
    const auto ran = std::find_if(leaf.calls.begin(), leaf.calls.end(), std::mem_fn(&Call::may_have_run));
    if (v.effect == Effect::repeatable || ran == leaf.calls.end()) return kNever;
    return v.effect == Effect::deduplicated ? ran->sent_at + v.dedup_window - kMargin : 0;
  }

  void place(const Query& q, int index, Decision& answer, double now) {
    const auto& leaf = q.leaves[static_cast<std::size_t>(index)];
    const auto out = leaf.any_pending();
    const auto repeatable = of(q).effect == Effect::repeatable || breaks(Design::Broken::twice);
    const auto copies = repeatable && design_.copies != Design::Copies::none;
    const auto at_once = design_.copies == Design::Copies::at_once;
    auto copy = false;
    if (out) {
      copy = breaks(Design::Broken::budget)
                 ? repeatable && static_cast<int>(leaf.calls.size()) < is_.max_calls
                 : copies && !at_once && leaf.calls.size() == 1 && now >= copy_at(leaf) - 1e-6 &&
                       copied_.recent(now) + 1 <= kCopyShare * sent_.recent(now);
      if (!copy) return;
    } else if (!may_send(q, leaf, now) || (!leaf.calls.empty() && now < leaf.calls.back().sent_at + kAgain)) {
      return;
    }
    send(q, index,
         copy                 ? Reason::copy
         : leaf.calls.empty() ? Reason::first_call
                              : Reason::resent_failed,
         answer, now, kNone);
    if (copies && at_once && leaf.calls.empty() && !answer.sends.empty() && answer.sends.back().leaf == index)
      send(q, index, Reason::copy, answer, now, answer.sends.back().node);
  }

  void send(const Query& q, int index, Reason reason, Decision& answer, double now, int but) {
    const auto node = choose(q.leaves[static_cast<std::size_t>(index)], now, but);
    if (node == kNone) return;
    ++out_[node];
    (reason == Reason::copy ? copied_ : sent_).add(now);
    answer.sends.push_back({index, node, next_group_++, std::max(last(q) - now, 0.001), explain(reason),
                            may_send_until(q, q.leaves[static_cast<std::size_t>(index)]) - now});
  }

  int choose(const Leaf& leaf, double now, int but) {
    std::vector<int> holders, others;
    for (int i = 0; i < std::min(is_.cells_per_shard, is_.cell_count); ++i)
      for (const auto node : by_cell_.empty()
                                 ? std::vector<int>{}
                                 : by_cell_[static_cast<std::size_t>((leaf.shard + i) % is_.cell_count)]) {
        const auto& host = hosts_[static_cast<std::size_t>(node)];
        const auto cold = host.started_at > 0 && now < host.started_at + is_.slow_start_time &&
                          !breaks(Design::Broken::cold);
        if (node == but || cold) continue;
        const auto tried =
            std::any_of(leaf.calls.begin(), leaf.calls.end(), [&](const Call& c) { return c.node == node; });
        (tried ? others : holders).push_back(node);
      }
    if (holders.empty()) holders = others;
    if (holders.empty()) return kNone;
    const auto any = [&] { return holders[chance_() % holders.size()]; };
    const auto least = [&](const std::function<double(int)>& waits) {
      auto best = kNone;
      auto value = std::numeric_limits<double>::infinity();
      for (const auto node : holders) {
        const auto each = waits(node) + 1e-6 * static_cast<double>(chance_() % 1000);
        if (each < value) value = each, best = node;
      }
      return best == kNone ? any() : best;
    };
    const auto mine = [&](int node) { return static_cast<double>(out_[node]); };
    switch (design_.choice) {
      case Design::Choice::round_robin:
        return holders[static_cast<std::size_t>(turn_[leaf.shard]++) % holders.size()];
      case Design::Choice::fewest_waiting:
        return least(mine);
      case Design::Choice::two_choices: {
        const auto one = any(), two = any();
        return mine(two) < mine(one) ? two : one;
      }
      case Design::Choice::all_seeing:
        return least(true_waiting_);
      case Design::Choice::module:
      case Design::Choice::random:
        return any();
    }
    return kNone;
  }

  const Settings& is_;
  Design design_;
  std::ranlux24_base chance_;
  std::function<double(int node)> true_waiting_;
  std::vector<DiscoveredNode> hosts_;
  std::vector<std::vector<int>> by_cell_;
  std::map<int, int> out_, turn_;
  SampleWindow latencies_{kWindow};
  WindowCounter sent_{kWindow}, copied_{kWindow};
  double late_ = kStartDelay;
  int next_group_ = 0;
};

}  // namespace

Design design_named(const std::string& name) {
  using Broken = Design::Broken;
  static const std::map<std::string, Broken> kBroken{
      {"broken-late", Broken::late}, {"broken-twice", Broken::twice}, {"broken-drains", Broken::drains},
      {"broken-cold", Broken::cold}, {"broken-whole", Broken::whole}, {"broken-budget", Broken::budget}};
  if (const auto broken = kBroken.find(name); broken != kBroken.end())
    return {Design::Choice::random, Design::Copies::late, true, broken->second};
  static const std::map<std::string, Design::Choice> kChoices{
      {"module", Design::Choice::module},           {"random", Design::Choice::random},
      {"round-robin", Design::Choice::round_robin}, {"fewest-waiting", Design::Choice::fewest_waiting},
      {"two-choices", Design::Choice::two_choices}, {"all-seeing", Design::Choice::all_seeing}};
  for (const auto& [known, choice] : kChoices) {
    if (!name.starts_with(known)) continue;
    const auto rest = name.substr(known.size());
    const auto of_module = choice == Design::Choice::module;
    if (rest.empty()) return {choice, Design::Copies::late, true, Broken::none};
    if (rest == "-no-copies") return {choice, Design::Copies::none, false, Broken::none};
    if (rest == "-at-once" && !of_module) return {choice, Design::Copies::at_once, true, Broken::none};
  }
  throw std::invalid_argument(
      "'" + name +
      "' where module, random, round-robin, fewest-waiting, two-choices or all-seeing is expected, with "
      "-no-copies or (but for module) -at-once behind");
}

std::unique_ptr<RoutingPolicy> plain(const Settings& settings, const Design& design, std::uint64_t seed,
                                     std::function<double(int node)> waiting) {
  return std::make_unique<Plain>(settings, design, seed, std::move(waiting));
}

}  // namespace yoketurn::emulator
