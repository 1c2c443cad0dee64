#include "router/router.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <csignal>
#include <set>

#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;

namespace {

constexpr double kFigures = 10;  // between two lines of figures
constexpr std::size_t kRoomShare =
    4;  // of the descriptors: from so many clients on idle ones make room, as these hold a third
constexpr std::size_t kOtherSockets = 16;   // streams, event queue, timers, signals, listener, discovery
constexpr std::size_t kNodeShare = 2;       // one in so many descriptors may go to data nodes
constexpr std::size_t kMostNodes = 20'000;  // known by name
constexpr double kAskAgain = 2;             // between two questions for the whole list because of its count
constexpr double kVersionsAgain = 30;       // after which a time line is told all versions again
constexpr double kLate = 0.05;              // by which a round of the loop is late enough to be told
constexpr double kStill = 0.25;             // and by which the router stood still
// Without any turn of the loop for so long, a little more than its period, what came meanwhile is read first.
constexpr double kReadsFirstAfter = 0.14;
constexpr std::size_t kTimelineSockets = 2;  // its listener, a file; and its readers

std::size_t other_sockets(const Config& config) {
  const auto& timeline = config.operators.timeline;
  return kOtherSockets +
         (timeline.on
              ? kTimelineSockets + (timeline.listen.empty() ? 0 : static_cast<std::size_t>(timeline.readers))
              : 0);
}

std::size_t node_connections(const Config& config) {
  return (config.sockets - other_sockets(config)) / kNodeShare;
}

Log::Form log_form(const Operators& operators) {
  return {operators.log.json, spdlog::level::from_str(operators.log.level), operators.log.queue};
}

AnomalyLimits departure_limits(const Operators& operators, const Settings& settings) {
  const auto& d = operators.departures;
  return {d.slow,    d.stall,  d.least, d.fails, d.flaps,
          d.reports, d.alarms, d.fleet, d.most,  settings.slow_start_time};
}

// A load report's figures, whatever they are set apart by; nullopt: none that is known.
struct LoadReport {
  double in_flight = 0, queue = 0, unix = 0;  // when it was measured; 0: it does not say
};
std::optional<LoadReport> read_report(std::string_view text) {
  LoadReport report;
  bool known = false;
  for (const auto& pair : split(text, ',')) {
    const auto at = pair.find_first_of("=:");
    if (at == std::string::npos) return std::nullopt;
    const auto word = std::string_view(pair).substr(0, at);
    const auto value = to_number(std::string_view(pair).substr(at + 1));
    if (!value) return std::nullopt;
    if (word == "inflight") report.in_flight = *value;
    if (word == "queue") report.queue = *value;
    if (word == "at_ms") report.unix = *value / 1e3;
    known = known || word == "inflight" || word == "queue";
  }
  return known ? std::optional(report) : std::nullopt;
}

NodeConnection::Limits node_limits(const Bounds& bounds) {
  return {static_cast<std::size_t>(bounds.parts_a_connection), static_cast<std::size_t>(bounds.parts_a_call),
          bounds.connect_timeout, bounds.idle_timeout};
}

Asked asked_of(const Config& config) {
  Asked asked{index(config.verticals), {}, config.bounds.shards};
  for (const auto& vertical : config.settings.verticals) asked.effects.push_back(vertical.effect);
  return asked;
}

std::string site_of(const Config& config) {
  const auto zone = config.settings.zone;
  return zone == kNone ? "" : config.zones[static_cast<std::size_t>(zone)];
}

std::string text_of(const asio::ip::tcp::endpoint& at) {
  return fmt::format("{}:{}", at.address().to_string(), at.port());
}

asio::steady_timer::duration until(double at) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(
      std::chrono::duration<double>(std::max(at - now(), 0.0)));
}

RouterAction act_of(Reason reason) {
  return reason == Reason::first_call ? RouterAction::first
         : reason == Reason::copy     ? RouterAction::copy
                                      : RouterAction::resent;
}

const char* name(Router::Phase phase) {
  static constexpr const char* kNames[] = {"starting", "serving", "draining", "stopped"};
  return kNames[static_cast<int>(phase)];
}

}  // namespace

Router::Router(asio::io_context& context, const Config& config, Log& log)
    : context_(context),
      log_(log),
      config_(config),
      asked_(asked_of(config)),
      zones_(index(config.zones)),
      unix_at_zero_(unix_time_at_zero()),
      shutdown_(config.bounds.longest_wait),
      still_(kReadsFirstAfter),
      node_ages_(config.settings.slow_start_time),
      standing_({config.name, site_of(config), config.verticals}, config.seed, now(), unix_at_zero_, log,
                {[this] { watch_.ask_again(); }, [this] { reload(); },
                 [this](const asio::ip::tcp::endpoint& at) {
                   discovery_now_ = at;
                   watch_.follow(at);
                 }}),
      discovery_now_(config.discovery),
      queries_(config.settings, config.seed, now(), due_, *this),
      pool_(context, due_, node_limits(config.bounds), node_connections(config), log, *this),
      clients_(context, due_, config.sockets - other_sockets(config) - node_connections(config),
               config.sockets / kRoomShare, log, *this),
      watch_(context, due_, config.discovery, log, *this),
      tick_timer_(context),
      due_timer_(context),
      signals_(context) {}

// What ends connections may set due times, and the timer that waits for these ends first.
Router::~Router() {
  due_.on_earlier_timer(nullptr);
}

void Router::start() {
  if (config_.peers_left_out)
    log_.line("left_out", "key=bounds.peer_messages why=\"no way to other routers\"");
  signals_.add(SIGTERM);
  signals_.add(SIGHUP);
  await_signal();
  log_.shape(log_form(config_.operators));
  standing_.changed = [this](VersionedInput subject) {
    if (recorder_)
      recorder_->version(subject, standing_.versions().version(subject),
                         standing_.versions().open_interval_number(), now());
  };
  watch_over(config_.operators);
  standing_.file(VersionedInput::configuration, config_.hash, config_.path, now());
  standing_.file(VersionedInput::operators, config_.operators.hash, config_.operators_path, now());
  clients_.open(config_.listen);
  log_.line("phase", "name={} router={} listen={}:{}", name(phase_), config_.name,
            config_.listen.address().to_string(), config_.listen.port());
  listed(config_.known);
  watch_.start(config_.known.version);
  next_tick_ = now();
  figures_at_ = next_tick_ + kFigures;
  // What is read may set a time that comes before the next turn: a lost watch would be opened a tick later.
  due_.on_earlier_timer([this] {
    if (!in_turn_) arm();
  });
  tick();
}

void Router::build(std::string_view revision, std::uint64_t decisions) {
  standing_.file(VersionedInput::build, decisions, revision, now());
}

void Router::await_signal() {
  signals_.async_wait([this](const auto& error, int number) {
    if (error) return;
    number == SIGTERM ? drain() : reload();
    await_signal();
  });
}

// A file that is missing, half written or broken leaves all as it is. What is in hand goes on meanwhile, and
// the list stands until the new address tells one: without this a router would end by the signal, or stay
// blind on an address that is given up.
void Router::reload() {
  const auto operators_taken = reload_operators();
  try {
    const auto fresh = load_config(config_.path);
    const std::pair<const char*, bool> fixed[] = {{"name", fresh.name != config_.name},
                                                  {"listen", fresh.listen != config_.listen},
                                                  {"limits", fresh.sockets != config_.sockets},
                                                  {"settings", fresh.setup != config_.setup}};
    std::string kept;
    for (const auto& [entry, changed] : fixed)
      if (changed) kept += (kept.empty() ? "" : ",") + std::string(entry);
    log_.line("reloaded", "discovery={}:{} changed={} kept={}", fresh.discovery.address().to_string(),
              fresh.discovery.port(), fresh.discovery != config_.discovery, kept.empty() ? "-" : kept);
    // What is kept is not acted on: the version stays, and that it does is told.
    standing_.versions().on_file_reloaded(!kept.empty() || !operators_taken, now());
    if (kept.empty()) standing_.file(VersionedInput::configuration, fresh.hash, config_.path, now());
    if (fresh.discovery == config_.discovery) return;
    config_.discovery = discovery_now_ = fresh.discovery;
    watch_.follow(fresh.discovery);
  } catch (const std::exception& error) {
    standing_.versions().on_file_reloaded(true, now());
    log_.line("reload_failed", "why=\"{}\"", error.what());
  }
}

void Router::enter(Phase phase) {
  phase_ = phase;
  standing_.serving(phase == Phase::serving);
  log_.line("phase", "name={} in_hand={} clients={}", name(phase), by_client_.size(), clients_.connections());
}

void Router::drain() {
  if (phase_ == Phase::draining) return;
  enter(Phase::draining);
  shutdown_.begin(now());
  wake();
}

void Router::wind_up(double at) {
  if (phase_ != Phase::draining || at < shutdown_.accepts_until()) return;
  clients_.stop();
  if (clients_.connections() > 0 && at < shutdown_.serves_until()) return;
  clients_.wind_down();
  clients_.close_idle();
  if (clients_.owes()) return;
  enter(Phase::stopped);
  context_.stop();
}

// --- the time line

// What can fail comes first: nothing has changed then.
void Router::watch_over(const Operators& operators) {
  const auto& before = config_.operators;
  const auto same = recorder_ && operators.timeline.memory == before.timeline.memory &&
                    operators.timeline.fine == before.timeline.fine &&
                    operators.timeline.lines == before.timeline.lines &&
                    operators.departures == before.departures;
  const auto at = operators.timeline.on && !operators.timeline.listen.empty()
                      ? read_endpoint(operators.timeline.listen)
                      : std::nullopt;
  if (operators.timeline.on && !operators.timeline.listen.empty() && !at)
    throw Malformed("timeline.listen can't be read");
  const auto& sites = operators.sites;
  if (!sites.evacuate.empty() && look_up(zones_, sites.evacuate) == kNone)
    throw Malformed("sites.evacuate: there is no site " + sites.evacuate);
  std::unique_ptr<TimelineServer> server;
  const auto moved = !server_ || operators.timeline.listen != before.timeline.listen;
  if (at && moved)
    server = std::make_unique<TimelineServer>(
        context_, due_, *at, operators.timeline.readers,
        [this] { return recorder_ ? &recorder_->timeline() : nullptr; }, [this] { return standing_.view(); });
  if (!at || server) server_ = std::move(server);
  if (server_) server_->bound(operators.timeline.readers);
  // The end of a writer waits for its disk: it goes on where nothing of it changes.
  const auto same_segments = same && operators.segments == before.segments;
  config_.operators = operators;
  const auto began = now();
  standing_.shape(operators.fleet, server_ != nullptr);
  queries_.sites().set_enabled(sites.on);
  queries_.sites().set_evacuation(
      sites.evacuate.empty()
          ? std::nullopt
          : std::optional(Evacuation{look_up(zones_, sites.evacuate), began, sites.over,
                                     evacuated_until_.told(WallTime{sites.until}, WallTime::now(), began),
                                     next_tick_ <= 0}));
  if (!operators.timeline.on) {
    queries_.set_observer(nullptr);
    recorder_.reset();
    segments_.reset();
    return;
  }
  if (!same) {
    const Timeline::Budget budget{operators.timeline.memory, operators.timeline.fine,
                                  operators.timeline.lines};
    recorder_ = std::make_unique<Recorder>(
        budget, departure_limits(operators, config_.settings), operators.departures.on,
        static_cast<int>(config_.verticals.size()), began, unix_time_at_zero());
    queries_.set_observer(recorder_.get());
    versions_at_ = 0;
  }
  if (same_segments) return;
  segments_.reset();
  disk_failures_ = 0;
  if (!operators.segments.folder.empty()) {
    const auto& s = operators.segments;
    segments_ = std::make_unique<Segments>(SegmentLimits{s.folder, s.size, s.total, s.age, s.queue},
                                           config_.name, unix_time_at_zero());
    recorder_->timeline().also = [this](const Event& event) { segments_->event(event); };
    recorder_->timeline().also_line = [this](const Timeline::Line& line) { segments_->line(line); };
    for (const auto& line : recorder_->timeline().lines()) segments_->line(line);
  } else {
    recorder_->timeline().also = nullptr;
    recorder_->timeline().also_line = nullptr;
  }
  begin_lines(began);
}

// The nodes that are known already.
void Router::begin_lines(double at) {
  for (const auto& member : members_.list().members) {
    const auto node = nodes_.find(member.id);
    if (node == nodes_.end() || member.gone) continue;
    recorder_->listed(node->second, member.id,
                      fmt::format("{}:{}", member.at.address().to_string(), member.at.port()), member.up,
                      born(member), members_.list().version, at);
  }
}

// The file is taken whole or, with every problem told, not at all.
bool Router::reload_operators() {
  if (config_.operators_path.empty()) return true;
  try {
    const auto fresh = load_operators(config_.operators_path, config_.memory);
    watch_over(fresh);
    standing_.file(VersionedInput::operators, fresh.hash, config_.operators_path, now());
    log_.shape(log_form(fresh));
    log_.line("operators_reloaded", "path=\"{}\"", config_.operators_path);
    return true;
  } catch (const BadOperators& bad) {
    for (const auto& problem : bad.problems)
      log_.line("operators_kept", "why=\"{}\"", to_text(problem, config_.operators_path));
  } catch (const std::exception& error) {
    log_.line("operators_kept", "why=\"{}\"", error.what());
  }
  return false;
}

std::optional<asio::ip::tcp::endpoint> Router::timeline_at() const {
  return server_ ? std::optional(server_->at()) : std::nullopt;
}

void Router::observe(double at) {
  if (!recorder_) return;
  if (const auto late = at - next_tick_; late > kStill)
    recorder_->loop(What::stood_still, 0, late, 0, at);
  else if (late > kLate)
    recorder_->loop(What::ran_late, 0, late, 0, at);
  const auto bound = [&](Bound which, long long now_at, long long& before) {
    if (now_at > before)
      recorder_->loop(What::at_bound, static_cast<std::uint8_t>(which), static_cast<double>(now_at - before),
                      0, at);
    before = now_at;
  };
  bound(Bound::judged, queries_.dropped_trace_entries(), unjudged_);
  bound(Bound::log, log_.lost(), lines_lost_);
  for (const auto& [id, node] : nodes_) recorder_->believed(node, queries_.node_health(node, at), at);
  if (segments_ && segments_->failures() > disk_failures_) {
    disk_failures_ = segments_->failures();
    log_.line("segment_failed", "why=\"{}\" folder=\"{}\"", segments_->trouble(),
              config_.operators.segments.folder);
  }
  for (const auto& news : recorder_->tick(at, unix_time_at_zero())) {
    const auto vertical =
        news.vertical == kNone ? "-" : config_.verticals[static_cast<std::size_t>(news.vertical)].c_str();
    log_.line(news.ended ? "returned" : "departed",
              "node={} kind={} vertical={} began={:.3f} evidence={:.4g} usual={:.4g}",
              recorder_->name_of(news.node), why_name(What::departed, static_cast<std::uint8_t>(news.kind)),
              vertical, news.started_at + unix_at_zero_, news.evidence, news.baseline);
  }
  if (const auto every = config_.operators.timeline.reports; every > 0 && at >= reports_at_) {
    reports_at_ = at + every;
    pool_.ask_loads();
  }
}

void Router::tell_sites() {
  for (const auto& news : queries_.sites().take_changes()) {
    const auto& name_of = config_.zones[static_cast<std::size_t>(news.site)];
    log_.line(
        "site",
        "name={} state={} before={} lasted={:.3f} nodes={} bad={} refused={} evidence={:.1f} usual={:.2f} "
        "share={:.2f} cold={:d} held_back={:d}",
        name_of, why_name(What::site, static_cast<std::uint8_t>(news.current)),
        why_name(What::site, static_cast<std::uint8_t>(news.previous)), news.previous_seconds,
        news.node_count, news.failing_nodes, news.refused_nodes, news.evidence, news.baseline_failure_share,
        news.load_share, news.in_slow_start, news.evacuation_held_back);
    if (recorder_) recorder_->site(name_of, news);
  }
}

// A node at a site that is held for lost is no witness against the list.
void Router::tell_standing(double at) {
  auto lost = false;
  for (std::size_t site = 0; site < zones_.size(); ++site) {
    const auto belief = queries_.sites().health(static_cast<int>(site));
    lost = lost || belief == SiteHealth::lost || belief == SiteHealth::cut_off;
  }
  hidden_.clear();
  if (lost)
    for (const auto& member : members_.list().members) {
      const auto node = nodes_.find(member.id);
      const auto belief = queries_.sites().health(look_up(zones_, member.zone));
      if (node == nodes_.end() || (belief != SiteHealth::lost && belief != SiteHealth::cut_off)) continue;
      hidden_.resize(std::max(hidden_.size(), static_cast<std::size_t>(node->second) + 1));
      hidden_[static_cast<std::size_t>(node->second)] = true;
    }
  standing_.tick(phase_ == Phase::draining, lost, hidden_, at);
  if (!recorder_ || at < versions_at_) return;
  versions_at_ = at + kVersionsAgain;
  for (std::size_t i = 0; i < kVersionedInputCount; ++i)
    if (const auto subject = static_cast<VersionedInput>(i); standing_.versions().version(subject).epoch > 0)
      recorder_->version(subject, standing_.versions().version(subject),
                         standing_.versions().open_interval_number(), at);
}

void Router::on_call_ended(int vertical, const Call& call) {
  auto& versions = standing_.versions();
  if (call.outcome == Outcome::unsent || call.outcome == Outcome::unreachable)
    versions.record_unsent(vertical, call.node);
  versions.on_call_ended(call.node, call.outcome, now());
}

void Router::connected(int node, double took) {
  if (recorder_) recorder_->opened(node, took, now());
}

void Router::disconnected(int node, Closing closing) {
  if (recorder_) recorder_->closed(node, closing, now());
}

void Router::load_asked(int node) {
  if (recorder_) recorder_->load_asked(node, now());
}

void Router::reported(int node, std::string_view text, double asked) {
  if (recorder_) recorder_->load_answered(node, now());
  if (!recorder_ || text == "-" || text == "failed") return;
  const auto at = now();
  const auto report = read_report(text);
  if (!report) return recorder_->reported(node, 0, 0, 0, Report::unreadable, at);
  // Without a time of its own a report is as old as the question at most, and may be older: that is all there
  // is.
  const auto measured = report->unix > 0 ? std::min(report->unix - unix_at_zero_, at) : asked;
  recorder_->reported(node, report->in_flight, report->queue, measured, Report::fresh, at);
}

void Router::no_room() {
  if (recorder_)
    recorder_->loop(What::at_bound, static_cast<std::uint8_t>(Bound::connections),
                    static_cast<double>(pool_.connections()), static_cast<double>(node_connections(config_)),
                    now());
}

void Router::door(What what, std::uint8_t why, int connection, std::uint32_t address, double a, double b) {
  if (recorder_) recorder_->door(what, why, connection, address, a, b, now());
}

// --- time

void Router::tick() {
  const auto at = now();
  const auto waits = reads_first(at);
  if (!waits) {
    observe(at);
    next_tick_ = at + queries_.tick_interval();
    queries_.tick(at);  // the list is always followed: it need not be asked for
    tell_sites();
    tell_standing(at);
    log_.sum_up(at);
    tell_figures(at);
    turn();
    let_go();
  }
  tick_timer_.expires_after(until(waits ? at + Standstill::kRest : next_tick_));
  tick_timer_.async_wait([this](const auto& error) {
    if (!error) tick();
  });
}

void Router::wake() {
  if (woken_) return;
  woken_ = true;
  asio::post(context_, [this] { turn(); });
}

// All that has come in since the last turn is told to the queries, and what they want is sent off.
void Router::turn() {
  woken_ = false;
  const auto at = now();
  if (reads_first(at)) return due_after(at + Standstill::kRest);
  in_turn_ = true;
  take_turn(at);
  in_turn_ = false;
  arm();
}

void Router::take_turn(double at) {
  for (auto& news : std::exchange(news_, {})) {
    const auto held = held_.find(news.ref.query);
    if (held == held_.end()) continue;
    --calls_out_;
    if (news.outcome == Outcome::success) keep(held->second, news.ref.leaf, std::move(news.value));
    queries_.on_outcome(news.ref.query, news.ref.leaf, news.ref.call, news.outcome, news.score, at);
  }
  queries_.process_changes(at);
  if (!merged_first_.empty()) {
    for (const auto query : std::exchange(merged_first_, {})) take_second_step(query, at);
    queries_.process_changes(at);
  }
  pool_.flush();
  wind_up(at);
}

bool Router::reads_first(double at) {
  return still_.holds(at, [this] { return watch_.unread(); });
}

void Router::arm() {
  due_after(due_.next_due());
}

void Router::due_after(double next) {
  if (next == armed_) return;
  armed_ = next;
  if (!std::isfinite(next)) return;
  due_timer_.expires_after(until(next));
  due_timer_.async_wait([this](const auto& error) {
    if (error) return;
    armed_ = 0;
    turn();
  });
}

void Router::tell_figures(double at) {
  if (at < figures_at_) return;
  figures_at_ = at + kFigures;
  log_.line("figures",
            "taken={} merged={} rejected={} aborted={} left={} bad={} in_hand={} open={} clients={} nodes={}",
            figures_.taken, figures_.merged, figures_.rejected, figures_.aborted, figures_.left, figures_.bad,
            by_client_.size(), open_, clients_.connections(), pool_.connections());
}

// --- clients

void Router::asked(int connection, const ClientConnection::Request& request) {
  try {
    if (request.target() == "/_health") {
      if (request.method() != boost::beast::http::verb::get) throw BadRequest(405, "health is a GET");
      const auto takes = phase_ == Phase::serving && standing_.healthy();
      clients_.answer(connection, takes ? 200 : 503,
                      takes || phase_ != Phase::serving ? name(phase_) : "aside");
      return;
    }
    auto ask = read_ask(request, asked_);
    // The answers of nodes name it: those to one query would pass for those to the other.
    if (open_ids_.contains(ask.id)) throw BadRequest(409, "X-Txn names a query that is open");
    take(connection, std::move(ask));
  } catch (const BadRequest& error) {
    ++figures_.bad;
    log_.line("bad_request", "status={} why=\"{}\"", error.status, error.what());
    clients_.answer(connection, error.status, error.what());
  }
}

void Router::take(int connection, Ask ask) {
  const auto at = now();
  const auto number = ++last_query_;
  ++figures_.taken;
  Query q;
  q.vertical = ask.vertical;
  q.deadline = at + ask.remaining;
  // What comes so late must not be found without its answer by SIGKILL.
  if (phase_ == Phase::draining) q.deadline = std::min(q.deadline, shutdown_.answers_by());
  q.client_retry = ask.client_retry;
  const auto no_room = open_ >= config_.bounds.max_open;
  if (no_room || standing_.bars(at))
    q.forced_rejection = no_room ? Reason::too_many_pending : Reason::router_refusing;
  for (const auto& target : ask.targets) q.work_hint += target.work;
  auto& held = held_[number];
  held.client = connection;
  held.vertical = ask.vertical;
  held.taken = at;
  held.text = std::make_shared<const std::string>(std::move(ask.text));
  held.key = std::move(ask.key);
  held.id = ask.id;
  by_client_[connection] = number;
  open_ids_.insert(ask.id);
  ++open_;
  if (recorder_) {
    recorder_->taken(number, ask.id, ask.vertical, at);
    if (no_room)
      recorder_->loop(What::at_bound, static_cast<std::uint8_t>(Bound::queries), open_,
                      config_.bounds.max_open, at);
  }
  queries_.add_query(number, std::move(q), at);
  for (const auto& target : ask.targets) {
    queries_.add_part(number, {target.shard, target.share, target.work, 1, false, {}}, at);
    held.parts.push_back({ask.id + "." + std::to_string(target.shard), target.shard, false, {}});
    ++open_;
  }
  wake();
}

void Router::left(int connection) {
  const auto at = by_client_.find(connection);
  if (at == by_client_.end()) return;
  ++figures_.left;
  const auto query = at->second;
  queries_.abandon(query);
  done_with(query);
  wake();
}

// The query has its final answer, or nobody waits for one.
void Router::done_with(long long query) {
  auto& held = held_.at(query);
  by_client_.erase(held.client);
  open_ids_.erase(held.id);
  open_ -= 1 + static_cast<int>(held.parts.size());
  held.open = false;
  pool_.drop_unsent(query);
}

void Router::answer(long long query, int status, std::string_view body, double retry_after) {
  auto& held = held_.at(query);
  if (!held.open) return;
  const auto client = held.client;
  done_with(query);
  clients_.answer(client, status, body, retry_after);
}

// --- what the queries want

void Router::send(long long query, const Send& send, int call) {
  auto& held = held_.at(query);
  ++held.calls;
  ++calls_out_;
  standing_.versions().record_sent(held.vertical, act_of(send.explanation.reason), send.node, now());
  const auto leaf = static_cast<std::size_t>(send.leaf);
  const auto& part = held.parts[leaf];
  std::string options;
  if (!held.key.empty()) options += ",k=" + held.key;
  if (send.leaf >= held.second_from) options += held.first_step;
  pool_.send(send.node, send.batch,
             {{query, send.leaf, call}, part.id, part.shard, std::move(options), held.text}, send.timeout,
             send.max_send_delay);
}

void Router::cancel(long long query, const Cancel& cancel) {
  pool_.give_up({query, cancel.leaf, cancel.call}, Outcome::cancelled);
}

void Router::merge(long long query, bool whole) {
  auto& held = held_.at(query);
  if (queries_.awaits_parts(query)) {
    held.first_step = fmt::format(",whole={:d}", whole);
    merged_first_.push_back(query);
    return;
  }
  ++figures_.merged;
  standing_.versions().record_query_end(held.vertical, whole ? RouterAction::whole : RouterAction::part);
  std::vector<Result> results;
  for (std::size_t i = static_cast<std::size_t>(held.second_from < kFirstOnly ? held.second_from : 0);
       i < held.parts.size(); ++i)
    if (held.parts[i].in) results.push_back({held.parts[i].shard, held.parts[i].value});
  answer(query, 200, answer_body(whole, results));
}

void Router::reject(long long query, double stay_away, const Explanation& why) {
  ++figures_.rejected;
  standing_.versions().record_query_end(held_.at(query).vertical, RouterAction::rejected);
  tell_of("rejected", query, why);
  answer(query, 503, "rejected", stay_away);
}

void Router::abort(long long query, const Explanation& why) {
  ++figures_.aborted;
  standing_.versions().record_query_end(held_.at(query).vertical, RouterAction::aborted);
  tell_of("aborted", query, why);
  answer(query, 500, "aborted");
}

void Router::tell_of(std::string_view end, long long query, const Explanation& why) {
  const auto& held = held_.at(query);
  const auto in =
      std::count_if(held.parts.begin(), held.parts.end(), [](const Part& part) { return part.in; });
  log_.line(
      end,
      "query={} vertical={} age={:.3f} parts={} in={} calls={} open={} why={} a={:.3f} b={:.3f} c={:.3f}",
      held.id, config_.verticals[static_cast<std::size_t>(held.vertical)], now() - held.taken,
      held.parts.size(), in, held.calls, open_, why_name(What::ended, static_cast<std::uint8_t>(why.reason)),
      why.a, why.b, why.c);
}

void Router::release(long long query) {
  held_.erase(query);
}

void Router::take_second_step(long long query, double at) {
  if (!queries_.awaits_parts(query)) return;
  auto& held = held_.at(query);
  const auto chosen = queries_.second_step_leaves(query);
  std::string from;
  for (const auto& part : held.parts)
    if (part.in) from += fmt::format("{}{}", from.empty() ? "" : "+", part.shard);
  held.first_step = ",from=" + from + held.first_step;
  held.second_from = static_cast<int>(held.parts.size());
  held.bytes = 0;
  for (auto& part : held.parts) part.value.clear();
  for (const auto leaf : chosen) {
    const auto shard = held.parts[static_cast<std::size_t>(leaf)].shard;
    const auto weight = 1.0 / static_cast<double>(chosen.size());
    queries_.add_part(query, {shard, weight, 0, 2, false, {}}, at);
    held.parts.push_back({fmt::format("{}.{}.p2", held.id, shard), shard, false, {}});
    ++open_;
  }
}

// --- data nodes

void Router::call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) {
  news_.push_back({ref, outcome, score, std::string(value)});
  wake();
}

void Router::keep(Held& held, int leaf, std::string value) {
  auto& part = held.parts[static_cast<std::size_t>(leaf)];
  if (!held.open || part.in) return;
  part.in = true;
  held.bytes += value.size();
  // Values that fit no answer together are not kept: the answer is then refused for its size.
  if (held.bytes <= kLargestBody) part.value = std::move(value);
}

// --- discovery

void Router::listed(const MemberList& list) {
  members_.apply(list);
  standing_.listed(members_.list(), list.full, text_of(discovery_now_), now());
  std::vector<DiscoveredNode> hosts;
  std::set<int> present;
  std::size_t ready = 0;
  for (const auto& member : list.members) {
    if (member.gone && !nodes_.contains(member.id)) continue;
    const auto node = number_of(member.id);
    if (node == kNone) {
      log_.line("node_unknown", "id={} known={}", member.id, nodes_.size());
      continue;
    }
    const auto started = born(member);
    hosts.push_back({node, look_up(zones_, member.zone), member.cell, member.up, started});
    present.insert(node);
    standing_.member(node, member);
    if (recorder_) {
      if (member.gone)
        recorder_->left(node, list.version, now());
      else
        recorder_->listed(node, member.id,
                          fmt::format("{}:{}", member.at.address().to_string(), member.at.port()), member.up,
                          started, list.version, now());
    }
    if (member.gone) {
      pool_.leave(node);
      leaving_.emplace(member.id, node);
    } else {
      pool_.locate(node, member.at, started, member.up);
      leaving_.erase(member.id);
    }
    if (member.up) ++ready;
  }
  if (list.full)
    for (const auto& [id, node] : nodes_)
      if (!present.contains(node) && leaving_.emplace(id, node).second) {
        pool_.leave(node);
        if (recorder_) recorder_->left(node, list.version, now());
      }
  queries_.update_nodes(hosts, list.full, now());
  log_.line("list", "version={} full={} entries={} ready={}", list.version, list.full, list.members.size(),
            ready);
  if (phase_ == Phase::starting && ready > 0) enter(Phase::serving);
  wake();
}

double Router::born(const Member& member) {
  return node_ages_.born(member.id, member.started, now(), WallTime::now());
}

int Router::number_of(const std::string& node) {
  if (const auto at = nodes_.find(node); at != nodes_.end()) return at->second;
  if (nodes_.size() >= kMostNodes) return kNone;
  auto number = static_cast<int>(nodes_.size() + spare_.size());
  if (!spare_.empty()) {
    number = spare_.back();
    spare_.pop_back();
  }
  nodes_.emplace(node, number);
  return number;
}

// Nodes are replaced by others under new names all day: the number of one that is gone is given again once
// nothing is out there, else tables and the work on them would grow without end.
void Router::let_go() {
  if (!news_.empty()) return;  // their queries have not been told of it yet
  std::erase_if(leaving_, [this](const auto& gone) {
    if (pool_.holds(gone.second)) return false;
    queries_.remove_node(gone.second);
    if (recorder_) recorder_->forgotten(gone.second, now());
    spare_.push_back(gone.second);
    node_ages_.left(gone.first);
    nodes_.erase(gone.first);
    return true;
  });
}

void Router::watch_lost() {
  standing_.versions().on_watch_lost(now());
  queries_.on_node_list_failed(now());
}

void Router::watch_heard() {
  node_ages_.heard(now());
  standing_.versions().on_watch_data(now());
}

// What merely comes again says nothing. A count that has begun anew says that all that is held may be of
// another list: without asking for the whole one every further change would be passed over, unheard, until
// the count had caught up, and a node drained meanwhile sent to for minutes.
void Router::passed_over(const MemberList& list) {
  if (list.members.empty() || list.version >= members_.list().version) return;
  const auto at = now();
  standing_.versions().on_stale_list(list.version, at);
  if (at < ask_again_at_) return;
  ask_again_at_ = at + kAskAgain;
  log_.line("list_again", "count={} held={}", list.version, members_.list().version);
  watch_.ask_again();
}

void Router::unusable() {
  standing_.versions().on_unusable_list(now());
}

}  // namespace yoketurn
