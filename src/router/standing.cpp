#include "router/standing.hpp"

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

constexpr double kLook = 0.5;                 // between two looks for an order
constexpr std::size_t kNodesAnInterval = 24;  // that an interval may hold on average
constexpr std::size_t kFewIntervals = 8;      // where nobody can read them
constexpr std::size_t kLargestOrder = 64 * 1024;

}  // namespace

std::uint64_t content_hash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// A sum over the members, so that their order does not matter.
std::uint64_t content_hash(std::span<const Member> members) {
  std::uint64_t sum = members.size();
  std::string entry;
  for (const auto& m : members) {
    entry.assign(m.id);
    entry += '\0';
    entry += m.zone;
    char figures[sizeof m.cell + sizeof m.started.unix_seconds + 1];
    std::memcpy(figures, &m.cell, sizeof m.cell);
    std::memcpy(figures + sizeof m.cell, &m.started.unix_seconds, sizeof m.started.unix_seconds);
    figures[sizeof figures - 1] = static_cast<char>(m.gone ? 2 : m.up ? 1 : 0);
    entry.append(figures, sizeof figures);
    sum += XXH3_64bits(entry.data(), entry.size());
  }
  return sum;
}

Standing::Standing(Town town, std::uint64_t seed, double now, double unix_at_zero, Log& log, Hands hands)
    : town_(std::move(town)),
      unix_at_zero_(unix_at_zero),
      log_(log),
      hands_(std::move(hands)),
      versions_({}, static_cast<int>(town_.verticals.size()), now),
      participation_({}, town_.router, seed) {}

void Standing::shape(const Operators::Fleet& fleet, bool readers) {
  const auto intervals = readers ? static_cast<std::size_t>(fleet.intervals) : kFewIntervals;
  versions_.set_limits({intervals, intervals * kNodesAnInterval});
  participation_.set_limits({fleet.alone, fleet.share, fleet.longest});
  if (folder_ != fleet.orders) seen_.clear();
  folder_ = fleet.orders;
}

void Standing::file(VersionedInput subject, std::uint64_t hash, std::string_view source, double now) {
  note(versions_.apply_file(subject, hash, source, now), subject);
}

void Standing::listed(const MemberList& whole, bool full, const std::string& source, double now) {
  note(versions_.apply_list(whole.version, content_hash(whole.members), source, full, now, now),
       VersionedInput::list);
}

void Standing::note(bool change, VersionedInput subject) {
  if (!change) return;
  if (!versions_.closed_intervals().empty()) tell_interval(versions_.closed_intervals().back());
  const auto& version = versions_.version(subject);
  log_.line("version",
            "router={} site={} began={:.6f} subject={} epoch={} count={} hash={} source={} interval={}",
            town_.router, town_.site.empty() ? "-" : town_.site, versions_.started_at() + unix_at_zero_,
            name(subject), version.epoch, version.count, hex(version.hash),
            version.source.empty() ? "-" : version.source, versions_.open_interval_number());
  if (changed) changed(subject);
}

// What was done by the versions that have just been replaced.
void Standing::tell_interval(const Interval& i) {
  const auto sums = i.total_actions();
  if (std::all_of(sums.begin(), sums.end(), [](auto sum) { return sum == 0; })) return;
  const auto of = [&](VersionedInput subject) { return i.versions[static_cast<std::size_t>(subject)]; };
  const auto sum = [&](RouterAction act) { return sums[static_cast<std::size_t>(act)]; };
  log_.line("acted",
            "router={} began={:.6f} interval={} list={}.{} list_hash={} configuration={} operators={} "
            "build={} from={:.6f} lasted={:.6f} first={} copy={} resent={} unsent={} whole={} part={} "
            "rejected={} aborted={}",
            town_.router, versions_.started_at() + unix_at_zero_, i.number, of(VersionedInput::list).epoch,
            of(VersionedInput::list).count, hex(of(VersionedInput::list).hash),
            hex(of(VersionedInput::configuration).hash), hex(of(VersionedInput::operators).hash),
            hex(of(VersionedInput::build).hash), i.started_at + unix_at_zero_, i.ended_at - i.started_at,
            sum(RouterAction::first), sum(RouterAction::copy), sum(RouterAction::resent),
            sum(RouterAction::unsent), sum(RouterAction::whole), sum(RouterAction::part),
            sum(RouterAction::rejected), sum(RouterAction::aborted));
}

void Standing::tell_doubts(double now) {
  std::array<double, kStalenessKindCount> since{};
  for (const auto& doubt : versions_.suspicions()) {
    const auto i = static_cast<std::size_t>(doubt.kind);
    since[i] = doubt.since;
    if (doubt_told_[i] != doubt.since)
      log_.line("doubt", "kind={} since={:.3f} evidence={:.4g} list={}", name(doubt.kind),
                doubt.since + unix_at_zero_, doubt.evidence, versions_.version(VersionedInput::list).count);
  }
  for (std::size_t i = 0; i < kStalenessKindCount; ++i)
    if (since[i] == 0 && doubt_told_[i] != 0)
      log_.line("doubt_over", "kind={} lasted={:.3f}", name(static_cast<StalenessKind>(i)),
                now - doubt_told_[i]);
  doubt_told_ = since;
}

void Standing::tick(bool draining, bool site_lost, const std::vector<bool>& hidden, double now) {
  versions_.tick(now, hidden);
  tell_doubts(now);
  state_ = {site_lost, draining, versions_.suspected_since()};
  look_for_orders(now);
  for (const auto step : participation_.tick(state_, now)) {
    log_.line("step", "what={} by=itself", name(step));
    perform(step);
  }
  if (participation_.participation() != told_) {
    told_ = participation_.participation();
    log_.line("taking", "state={} why=\"{}\" term={} number={}", name(told_), participation_.state_reason(),
              participation_.last_order().term, participation_.last_order().number);
  }
}

// The file is read when it is another one than before; a half-written one is read again when it is whole.
void Standing::look_for_orders(double now) {
  if (folder_.empty() || now < look_at_) return;
  look_at_ = now + kLook;
  const auto path = folder_ + "/" + town_.router + ".info";
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return seen_.clear();
  const auto shape = fmt::format("{} {}.{} {}", status.st_ino, status.st_mtim.tv_sec, status.st_mtim.tv_nsec,
                                 status.st_size);
  if (shape == seen_) return;
  seen_ = shape;
  try {
    if (static_cast<std::size_t>(status.st_size) > kLargestOrder)
      throw BadOperators({{0, "", "larger than 64 KiB"}});
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    take(parse_order(content.str()), now);
  } catch (const std::exception& error) {
    verdict_ = "unreadable";
    log_.line("order_refused", "why=unreadable what=\"{}\"", error.what());
  }
}

void Standing::take(const Order& order, double now) {
  const auto verdict = participation_.apply_order(order, state_, WallTime::now(), now);
  if (verdict == OrderVerdict::known) return;
  verdict_ = name(verdict);
  if (verdict != OrderVerdict::taken) {
    log_.line("order_refused", "why={} term={} number={} step={} router={}", name(verdict), order.term,
              order.number, name(order.step), order.router);
    return;
  }
  log_.line("order", "term={} number={} step={} until={:.0f} why=\"{}\"", order.term, order.number,
            name(order.step), order.expires_at, order.reason);
  perform(order.step);
}

void Standing::perform(OrderStep step) {
  switch (step) {
    case OrderStep::ask_again:
      return hands_.ask_again();
    case OrderStep::read_again:
      return hands_.read_again();
    case OrderStep::follow:
      if (const auto at = read_endpoint(participation_.last_order().discovery_agent)) hands_.follow(*at);
      return;
    default:  // held by the service
      return;
  }
}

VersionsView Standing::view() const {
  return {[this](double now) { return to_json(stand(now)); }, &versions_, &town_.verticals, unix_at_zero_};
}

VersionReport Standing::stand(double now) const {
  VersionReport s;
  s.router = town_.router;
  s.site = town_.site;
  s.unix_time = now + unix_at_zero_;
  s.process_started_at = versions_.started_at() + unix_at_zero_;
  s.serving = serving_;
  s.participation = participation_.participation();
  s.participation_since = participation_.state_since() > 0 ? participation_.state_since() + unix_at_zero_ : 0;
  s.participation_reason = participation_.state_reason();
  s.order_term = participation_.last_order().term;
  s.order_number = participation_.last_order().number;
  s.order_verdict = verdict_;
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
