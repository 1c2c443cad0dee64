#include "router/version_reporter.hpp"

#include <fmt/format.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

#include "versions/orders.hpp"

namespace yoketurn {

namespace {

constexpr double kOrderPollSeconds = 0.5;
constexpr std::size_t kMeanNodesPerInterval = 24;
constexpr std::size_t kIntervalsWithoutReaders = 8;
constexpr std::size_t kMaxOrderBytes = 64 * 1024;

}  // namespace

std::uint64_t content_hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Sums the hashes of the members, so that their order doesn't matter.
std::uint64_t content_hash(std::span<const Member> members) {
  std::uint64_t sum = members.size();
  std::string entry;
  for (const auto& m : members) {
    entry.assign(m.id);
    entry += '\0';
    entry += m.zone;
    char packed[sizeof m.cell + sizeof m.started_at.unix_seconds + 1];
    std::memcpy(packed, &m.cell, sizeof m.cell);
    std::memcpy(packed + sizeof m.cell, &m.started_at.unix_seconds, sizeof m.started_at.unix_seconds);
    packed[sizeof packed - 1] = static_cast<char>(m.removed ? 2 : m.up ? 1 : 0);
    entry.append(packed, sizeof packed);
    sum += XXH3_64bits(entry.data(), entry.size());
  }
  return sum;
}

VersionReporter::VersionReporter(RouterIdentity identity, std::uint64_t seed, double now, double unix_at_zero,
                                 Log& log, Callbacks callbacks)
    : identity_(std::move(identity)),
      unix_at_zero_(unix_at_zero),
      log_(log),
      callbacks_(std::move(callbacks)),
      versions_({}, static_cast<int>(identity_.verticals.size()), now),
      participation_({}, identity_.router, seed) {}

void VersionReporter::configure(const OperatorSettings::FleetSettings& fleet, bool has_readers) {
  const auto intervals =
      has_readers ? static_cast<std::size_t>(fleet.max_version_intervals) : kIntervalsWithoutReaders;
  versions_.set_limits({intervals, intervals * kMeanNodesPerInterval});
  participation_.set_limits({fleet.act_without_orders, fleet.step_aside_share, fleet.max_order_duration});
  if (orders_folder_ != fleet.orders_folder) last_order_file_.clear();
  orders_folder_ = fleet.orders_folder;
}

void VersionReporter::set_file_version(VersionedInput subject, std::uint64_t hash, std::string_view source,
                                       double now) {
  report_version(versions_.apply_file(subject, hash, source, now), subject);
}

void VersionReporter::set_list(const MemberList& whole, bool full, const std::string& source, double now) {
  report_version(versions_.apply_list(whole.version, content_hash(whole.members), source, full, now, now),
                 VersionedInput::list);
}

void VersionReporter::report_version(bool changed, VersionedInput subject) {
  if (!changed) return;
  if (!versions_.closed_intervals().empty()) log_interval(versions_.closed_intervals().back());
  const auto& version = versions_.version(subject);
  log_.line(
      "version", "router={} site={} began={:.6f} subject={} epoch={} count={} hash={} source={} interval={}",
      identity_.router, identity_.site.empty() ? "-" : identity_.site, versions_.started_at() + unix_at_zero_,
      name(subject), version.epoch, version.count, hex(version.hash),
      version.source.empty() ? "-" : version.source, versions_.open_interval_number());
  if (on_version_change) on_version_change(subject);
}

// Logs what was done under the versions that have just been replaced.
void VersionReporter::log_interval(const Interval& interval) {
  const auto sums = interval.total_actions();
  if (std::all_of(sums.begin(), sums.end(), [](auto sum) { return sum == 0; })) return;
  const auto of = [&](VersionedInput subject) {
    return interval.versions[static_cast<std::size_t>(subject)];
  };
  const auto sum = [&](RouterAction act) { return sums[static_cast<std::size_t>(act)]; };
  log_.line("acted",
            "router={} began={:.6f} interval={} list={}.{} list_hash={} configuration={} operators={} "
            "build={} from={:.6f} lasted={:.6f} first={} copy={} resent={} unsent={} whole={} part={} "
            "rejected={} aborted={}",
            identity_.router, versions_.started_at() + unix_at_zero_, interval.number,
            of(VersionedInput::list).epoch, of(VersionedInput::list).count,
            hex(of(VersionedInput::list).hash), hex(of(VersionedInput::configuration).hash),
            hex(of(VersionedInput::operators).hash), hex(of(VersionedInput::build).hash),
            interval.started_at + unix_at_zero_, interval.ended_at - interval.started_at,
            sum(RouterAction::first), sum(RouterAction::copy), sum(RouterAction::resent),
            sum(RouterAction::unsent), sum(RouterAction::whole), sum(RouterAction::part),
            sum(RouterAction::rejected), sum(RouterAction::aborted));
}

void VersionReporter::log_suspicions(double now) {
  std::array<double, kStalenessKindCount> since{};
  for (const auto& doubt : versions_.suspicions()) {
    const auto i = static_cast<std::size_t>(doubt.kind);
    since[i] = doubt.since;
    if (logged_suspicion_since_[i] != doubt.since)
      log_.line("doubt", "kind={} since={:.3f} evidence={:.4g} list={}", name(doubt.kind),
                doubt.since + unix_at_zero_, doubt.evidence, versions_.version(VersionedInput::list).count);
  }
  for (std::size_t i = 0; i < kStalenessKindCount; ++i)
    if (since[i] == 0 && logged_suspicion_since_[i] != 0)
      log_.line("doubt_over", "kind={} lasted={:.3f}", name(static_cast<StalenessKind>(i)),
                now - logged_suspicion_since_[i]);
  logged_suspicion_since_ = since;
}

void VersionReporter::tick(bool draining, bool site_lost, const std::vector<bool>& nodes_in_lost_sites,
                           double now) {
  versions_.tick(now, nodes_in_lost_sites);
  log_suspicions(now);
  state_ = {site_lost, draining, versions_.suspected_since()};
  poll_orders(now);
  for (const auto step : participation_.tick(state_, now)) {
    log_.line("step", "what={} by=itself", name(step));
    perform(step);
  }
  if (participation_.participation() != logged_taking_) {
    logged_taking_ = participation_.participation();
    log_.line("taking", "state={} why=\"{}\" term={} number={}", name(logged_taking_),
              participation_.state_reason(), participation_.last_order().term,
              participation_.last_order().number);
  }
}

// Reads the order file only if it differs from the one read last. A partly written file is read again once it
// is complete, as that changes its size or time.
void VersionReporter::poll_orders(double now) {
  if (orders_folder_.empty() || now < next_poll_at_) return;
  next_poll_at_ = now + kOrderPollSeconds;
  const auto path = orders_folder_ + "/" + identity_.router + ".info";
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return last_order_file_.clear();
  const auto file_id = fmt::format("{} {}.{} {}", status.st_ino, status.st_mtim.tv_sec,
                                   status.st_mtim.tv_nsec, status.st_size);
  if (file_id == last_order_file_) return;
  last_order_file_ = file_id;
  try {
    if (static_cast<std::size_t>(status.st_size) > kMaxOrderBytes)
      throw InfoFileError({{0, "", "order file is larger than 64 KiB"}});
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    apply_order(parse_order(content.str()), now);
  } catch (const std::exception& error) {
    last_verdict_ = "unreadable";
    log_.line("order_refused", "why=unreadable what=\"{}\"", error.what());
  }
}

void VersionReporter::apply_order(const Order& order, double now) {
  const auto verdict = participation_.apply_order(order, state_, WallTime::now(), now);
  if (verdict == OrderVerdict::known) return;
  last_verdict_ = name(verdict);
  if (verdict != OrderVerdict::taken) {
    log_.line("order_refused", "why={} term={} number={} step={} router={}", name(verdict), order.term,
              order.number, name(order.step), order.router);
    return;
  }
  log_.line("order", "term={} number={} step={} until={:.0f} why=\"{}\"", order.term, order.number,
            name(order.step), order.expires_at, order.reason);
  perform(order.step);
}

void VersionReporter::perform(OrderStep step) {
  switch (step) {
    case OrderStep::ask_again:
      return callbacks_.request_full_list();
    case OrderStep::read_again:
      return callbacks_.reload();
    case OrderStep::follow:
      if (const auto at = parse_endpoint(participation_.last_order().discovery_agent))
        callbacks_.follow_discovery(*at);
      return;
    default:  // the service keeps the state of the other steps
      return;
  }
}

VersionsView VersionReporter::view() const {
  return {[this](double now) { return to_json(status(now)); }, &versions_, &identity_.verticals,
          unix_at_zero_};
}

VersionReport VersionReporter::status(double now) const {
  VersionReport s;
  s.router = identity_.router;
  s.site = identity_.site;
  s.unix_time = now + unix_at_zero_;
  s.process_started_at = versions_.started_at() + unix_at_zero_;
  s.serving = serving_;
  s.participation = participation_.participation();
  s.participation_since = participation_.state_since() > 0 ? participation_.state_since() + unix_at_zero_ : 0;
  s.participation_reason = participation_.state_reason();
  s.order_term = participation_.last_order().term;
  s.order_number = participation_.last_order().number;
  s.order_verdict = last_verdict_;
  s.site_lost = state_.site_lost;
  for (std::size_t i = 0; i < kVersionedInputCount; ++i) {
    s.versions[i] = versions_.version(static_cast<VersionedInput>(i));
    s.versions[i].received_at += unix_at_zero_;
    s.versions[i].applied_at += unix_at_zero_;
  }
  for (const auto& d : versions_.suspicions())
    s.suspicions.push_back({std::string(name(d.kind)), d.since + unix_at_zero_, d.evidence,
                            std::string(versions_.node_name(d.node))});
  s.oldest_interval = versions_.oldest_interval_number();
  s.open_interval = versions_.open_interval_number();
  s.dropped_until = versions_.dropped_until() > 0 ? versions_.dropped_until() + unix_at_zero_ : 0;
  return s;
}

}  // namespace yoketurn
