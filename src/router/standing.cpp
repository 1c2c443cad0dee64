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
      service_({}, town_.router, seed) {}

void Standing::shape(const OperatorSettings::FleetSettings& fleet, bool readers) {
  const auto intervals = readers ? static_cast<std::size_t>(fleet.max_version_intervals) : kFewIntervals;
  versions_.bound({intervals, intervals * kNodesAnInterval});
  service_.limit({fleet.act_without_orders, fleet.step_aside_share, fleet.max_order_duration});
  if (folder_ != fleet.orders_folder) seen_.clear();
  folder_ = fleet.orders_folder;
}

void Standing::file(Subject subject, std::uint64_t hash, std::string_view source, double now) {
  note(versions_.file(subject, hash, source, now), subject);
}

void Standing::listed(const MemberList& whole, bool full, const std::string& source, double now) {
  note(versions_.list(whole.version, content_hash(whole.members), source, full, now, now), Subject::list);
}

void Standing::note(bool change, Subject subject) {
  if (!change) return;
  if (!versions_.closed().empty()) tell_interval(versions_.closed().back());
  const auto& version = versions_.version(subject);
  log_.line("version",
            "router={} site={} began={:.6f} subject={} epoch={} count={} hash={} source={} interval={}",
            town_.router, town_.site.empty() ? "-" : town_.site, versions_.began() + unix_at_zero_,
            name(subject), version.epoch, version.count, hex(version.hash),
            version.source.empty() ? "-" : version.source, versions_.number());
  if (changed) changed(subject);
}

// What was done by the versions that have just been replaced.
void Standing::tell_interval(const Interval& i) {
  const auto sums = i.sums();
  if (std::all_of(sums.begin(), sums.end(), [](auto sum) { return sum == 0; })) return;
  const auto of = [&](Subject subject) { return i.by[static_cast<std::size_t>(subject)]; };
  const auto sum = [&](Act act) { return sums[static_cast<std::size_t>(act)]; };
  log_.line("acted",
            "router={} began={:.6f} interval={} list={}.{} list_hash={} configuration={} operators={} "
            "build={} from={:.6f} lasted={:.6f} first={} copy={} resent={} unsent={} whole={} part={} "
            "rejected={} aborted={}",
            town_.router, versions_.began() + unix_at_zero_, i.number, of(Subject::list).epoch,
            of(Subject::list).count, hex(of(Subject::list).hash), hex(of(Subject::configuration).hash),
            hex(of(Subject::operators).hash), hex(of(Subject::build).hash), i.from + unix_at_zero_,
            i.to - i.from, sum(Act::first), sum(Act::copy), sum(Act::resent), sum(Act::unsent),
            sum(Act::whole), sum(Act::part), sum(Act::rejected), sum(Act::aborted));
}

void Standing::tell_doubts(double now) {
  std::array<double, kDoubts> since{};
  for (const auto& doubt : versions_.doubts()) {
    const auto i = static_cast<std::size_t>(doubt.kind);
    since[i] = doubt.since;
    if (doubt_told_[i] != doubt.since)
      log_.line("doubt", "kind={} since={:.3f} evidence={:.4g} list={}", name(doubt.kind),
                doubt.since + unix_at_zero_, doubt.evidence, versions_.version(Subject::list).count);
  }
  for (std::size_t i = 0; i < kDoubts; ++i)
    if (since[i] == 0 && doubt_told_[i] != 0)
      log_.line("doubt_over", "kind={} lasted={:.3f}", name(static_cast<Doubt>(i)), now - doubt_told_[i]);
  doubt_told_ = since;
}

void Standing::tick(bool draining, bool site_lost, const std::vector<bool>& hidden, double now) {
  versions_.tick(now, hidden);
  tell_doubts(now);
  state_ = {site_lost, draining, versions_.doubted_since()};
  look_for_orders(now);
  for (const auto step : service_.tick(state_, now)) {
    log_.line("step", "what={} by=itself", name(step));
    perform(step);
  }
  if (service_.taking() != told_) {
    told_ = service_.taking();
    log_.line("taking", "state={} why=\"{}\" term={} number={}", name(told_), service_.why(),
              service_.last().term, service_.last().number);
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
      throw InfoFileError({{0, "", "larger than 64 KiB"}});
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    take(read_order(content.str()), now);
  } catch (const std::exception& error) {
    verdict_ = "unreadable";
    log_.line("order_refused", "why=unreadable what=\"{}\"", error.what());
  }
}

void Standing::take(const Order& order, double now) {
  const auto verdict = service_.order(order, state_, WallTime::now(), now);
  if (verdict == Verdict::known) return;
  verdict_ = name(verdict);
  if (verdict != Verdict::taken) {
    log_.line("order_refused", "why={} term={} number={} step={} router={}", name(verdict), order.term,
              order.number, name(order.step), order.router);
    return;
  }
  log_.line("order", "term={} number={} step={} until={:.0f} why=\"{}\"", order.term, order.number,
            name(order.step), order.until, order.why);
  perform(order.step);
}

void Standing::perform(Step step) {
  switch (step) {
    case Step::ask_again:
      return hands_.ask_again();
    case Step::read_again:
      return hands_.read_again();
    case Step::follow:
      if (const auto at = read_endpoint(service_.last().agent)) hands_.follow(*at);
      return;
    default:  // held by the service
      return;
  }
}

VersionsView Standing::view() const {
  return {[this](double now) { return to_json(stand(now)); }, &versions_, &town_.verticals, unix_at_zero_};
}

Stand Standing::stand(double now) const {
  Stand s;
  s.router = town_.router;
  s.site = town_.site;
  s.unix = now + unix_at_zero_;
  s.began = versions_.began() + unix_at_zero_;
  s.serving = serving_;
  s.taking = service_.taking();
  s.taking_since = service_.since() > 0 ? service_.since() + unix_at_zero_ : 0;
  s.taking_why = service_.why();
  s.term = service_.last().term;
  s.number = service_.last().number;
  s.verdict = verdict_;
  s.site_lost = state_.site_lost;
  for (std::size_t i = 0; i < kSubjects; ++i) {
    s.by[i] = versions_.version(static_cast<Subject>(i));
    s.by[i].told += unix_at_zero_;
    s.by[i].acted += unix_at_zero_;
  }
  for (const auto& d : versions_.doubts())
    s.doubts.push_back({std::string(name(d.kind)), d.since + unix_at_zero_, d.evidence,
                        std::string(versions_.name_of(d.node))});
  s.oldest = versions_.oldest();
  s.open = versions_.number();
  s.gap_until = versions_.gap_until() > 0 ? versions_.gap_until() + unix_at_zero_ : 0;
  return s;
}

}  // namespace yoketurn
