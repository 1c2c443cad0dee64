#include "router/router.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <csignal>
#include <set>

#include "datanodes/load_report.hpp"
#include "queries/clock.hpp"
#include "router/process_memory.hpp"

namespace yoketurn {

namespace asio = boost::asio;

namespace {

constexpr double kCountersLogSeconds = 10;
// Clients may hold about half of the descriptors. Idle ones are closed for new ones from this fraction of all
// descriptors on: 1 / kMakeRoomDivisor.
constexpr std::size_t kMakeRoomDivisor = 4;
constexpr std::size_t kReservedSockets = 16;  // streams, event queue, timers, signals, listener, discovery
constexpr std::size_t kNodeDivisor = 2;  // data nodes get at most 1 / kNodeDivisor of the other descriptors
constexpr double kMinFullListIntervalSeconds = 2;    // of requests for the whole list because of its count
constexpr double kVersionEventIntervalSeconds = 30;  // after which the timeline gets all versions again
constexpr double kLateTickSeconds = 0.05;            // a tick this late is recorded as late
constexpr double kStandstillTickSeconds = 0.25;      // a tick this late is recorded as a standstill
// Without a turn of the loop for so long, a little more than its period, unread input is read first.
constexpr double kMinStandstillSeconds = 0.14;
// About a minute of queries at the largest rate of a router, if all their clients leave.
constexpr std::size_t kMaxUnansweredIds = 8192;
// Memory that a query, and each of its parts with its calls, takes beside texts and ids.
constexpr std::size_t kQueryBytes = 1024;
constexpr std::size_t kPartBytes = 1024;
constexpr std::size_t kIdCopies = 4;  // of a part's id and key, in the calls of a part and their frames
// A value is held as it came and, in the answer, as it is written there.
constexpr std::size_t kValueCopies = 2;
constexpr std::size_t kTimelineSockets = 2;  // its listener and a segment file, beside those of its readers

std::size_t reserved_sockets(const Config& config) {
  const auto& timeline = config.operator_settings.timeline;
  return kReservedSockets +
         (timeline.enabled
              ? kTimelineSockets +
                    (timeline.listen_address.empty() ? 0 : static_cast<std::size_t>(timeline.max_readers))
              : 0);
}

std::size_t node_connections(const Config& config) {
  return (config.max_sockets - reserved_sockets(config)) / kNodeDivisor;
}

Log::Options log_form(const OperatorSettings& operators) {
  return {operators.log.json, spdlog::level::from_str(operators.log.level), operators.log.queue_bytes};
}

AnomalyLimits departure_limits(const OperatorSettings& operators, const Settings& settings) {
  const auto& d = operators.departures;
  return {d.slow_latency_ratio,
          d.stall_latency_ratio,
          d.min_stall,
          d.failure_share,
          d.max_state_changes_per_minute,
          d.load_report_max_age,
          d.false_alarms_per_node_day,
          d.fleet_share,
          d.max_open,
          settings.slow_start_time};
}

NodeConnection::Limits node_limits(const ConnectionLimits& bounds) {
  return {static_cast<std::size_t>(bounds.max_parts_per_connection),
          static_cast<std::size_t>(bounds.max_parts_per_call), bounds.connect_timeout, bounds.idle_timeout,
          bounds.probes_allowed};
}

QuerySchema make_query_schema(const Config& config) {
  QuerySchema schema{index_names(config.verticals), {}, config.connection_limits.shard_count};
  for (const auto& vertical : config.settings.verticals) schema.effects.push_back(vertical.effect);
  return schema;
}

std::string own_site(const Config& config) {
  const auto zone = config.settings.zone;
  return zone == kNone ? "" : config.zones[static_cast<std::size_t>(zone)];
}

std::string endpoint_text(const asio::ip::tcp::endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

asio::steady_timer::duration time_left(double at) {
  return std::chrono::duration_cast<asio::steady_timer::duration>(
      std::chrono::duration<double>(std::max(at - now(), 0.0)));
}

RouterAction act_for(Reason reason) {
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
      query_schema_(make_query_schema(config)),
      zones_(index_names(config.zones)),
      unix_at_zero_(unix_time_at_zero()),
      shutdown_(config.connection_limits.max_client_wait),
      standstill_(kMinStandstillSeconds),
      memory_(
          peer_memory_limit(config.memory_bytes, config.max_sockets, config.initial_members.members.size())),
      unanswered_ids_(kMaxUnansweredIds),
      node_ages_(config.settings.slow_start_time),
      version_reporter_({config.name, own_site(config), config.verticals}, config.seed, now(), unix_at_zero_,
                        log,
                        {[this] { watch_.request_full_list(); }, [this] { reload(); },
                         [this](const asio::ip::tcp::endpoint& at) {
                           current_discovery_ = at;
                           watch_.switch_to(at);
                         }}),
      current_discovery_(config.discovery),
      queries_(config.settings, config.seed, now(), timers_, *this),
      pool_(context, timers_, node_limits(config.connection_limits), node_connections(config), memory_, log,
            *this),
      clients_(context, timers_, memory_,
               config.max_sockets - reserved_sockets(config) - node_connections(config),
               config.max_sockets / kMakeRoomDivisor, log, *this),
      watch_(context, timers_, config.discovery, log, *this),
      tick_timer_(context),
      timer_(context),
      signals_(context) {
  memory_.set_reclaimer(
      [this](const MemoryBudget::Share& asking) { return clients_.release_memory(asking); });
}

// Closing connections may set timers, while timer_ is destroyed before them: it must not be armed any more.
Router::~Router() {
  timers_.on_earlier_timer(nullptr);
  memory_.set_reclaimer(nullptr);
}

void Router::start() {
  if (config_.ignores_peer_messages)
    log_.line("left_out", "key=bounds.peer_messages why=\"the protocol has no messages between routers\"");
  signals_.add(SIGTERM);
  signals_.add(SIGHUP);
  await_signal();
  log_.configure(log_form(config_.operator_settings));
  version_reporter_.on_version_change = [this](VersionedInput subject) {
    if (recorder_)
      recorder_->version(subject, version_reporter_.versions().version(subject),
                         version_reporter_.versions().open_interval_number(), now());
  };
  apply_operators(config_.operator_settings);
  version_reporter_.set_file_version(VersionedInput::configuration, config_.hash, config_.path, now());
  version_reporter_.set_file_version(VersionedInput::operators, config_.operator_settings.hash,
                                     config_.operators_path, now());
  clients_.open(config_.listen);
  log_.line("phase", "name={} router={} listen={}:{}", name(phase_), config_.name,
            config_.listen.address().to_string(), config_.listen.port());
  list_received(config_.initial_members);
  watch_.start(config_.initial_members.version);
  next_tick_at_ = now();
  next_counters_log_at_ = next_tick_at_ + kCountersLogSeconds;
  // Without this, a timer set while input is read would be noticed at the next turn only, and a lost watch be
  // reopened a tick later.
  timers_.on_earlier_timer([this] {
    if (!in_turn_) arm_timer();
  });
  tick();
}

void Router::set_build(std::string_view revision, std::uint64_t decisions_hash) {
  version_reporter_.set_file_version(VersionedInput::build, decisions_hash, revision, now());
}

void Router::await_signal() {
  signals_.async_wait([this](const auto& error, int number) {
    if (error) return;
    number == SIGTERM ? drain() : reload();
    await_signal();
  });
}

// A file that is missing, partly written or broken changes nothing. Queries in progress continue, and the
// current list stays in use until the new discovery address sends one. Without reloading, SIGHUP would end
// the router, or it would go on following an address that is no longer in use.
void Router::reload() {
  const auto operators_applied = reload_operators();
  try {
    const auto loaded = load_config(config_.path);
    const std::pair<const char*, bool> fixed[] = {{"name", loaded.name != config_.name},
                                                  {"listen", loaded.listen != config_.listen},
                                                  {"limits", loaded.max_sockets != config_.max_sockets},
                                                  {"settings", loaded.raw_settings != config_.raw_settings}};
    std::string kept;
    for (const auto& [entry, changed] : fixed)
      if (changed) kept += (kept.empty() ? "" : ",") + std::string(entry);
    log_.line("reloaded", "discovery={}:{} changed={} kept={}", loaded.discovery.address().to_string(),
              loaded.discovery.port(), loaded.discovery != config_.discovery, kept.empty() ? "-" : kept);
    // With a changed entry that can't be applied the old configuration stays in effect: keep its version and
    // report that.
    version_reporter_.versions().on_file_reloaded(!kept.empty() || !operators_applied, now());
    if (kept.empty())
      version_reporter_.set_file_version(VersionedInput::configuration, loaded.hash, config_.path, now());
    if (loaded.discovery == config_.discovery) return;
    config_.discovery = current_discovery_ = loaded.discovery;
    watch_.switch_to(loaded.discovery);
  } catch (const std::exception& error) {
    version_reporter_.versions().on_file_reloaded(true, now());
    log_.line("reload_failed", "why=\"{}\"", error.what());
  }
}

void Router::enter_phase(Phase phase) {
  phase_ = phase;
  version_reporter_.set_serving(phase == Phase::serving);
  log_.line("phase", "name={} in_hand={} clients={}", name(phase), query_by_connection_.size(),
            clients_.connections());
}

void Router::drain() {
  if (phase_ == Phase::draining) return;
  enter_phase(Phase::draining);
  shutdown_.begin(now());
  schedule_turn();
}

void Router::advance_shutdown(double at) {
  if (phase_ != Phase::draining || at < shutdown_.accepts_until()) return;
  clients_.stop();
  if (clients_.connections() > 0 && at < shutdown_.serves_until()) return;
  clients_.close_after_answers();
  clients_.close_idle();
  if (clients_.has_unfinished_work()) return;
  enter_phase(Phase::stopped);
  context_.stop();
}

// --- the timeline

// All that can fail comes first, before anything is changed.
void Router::apply_operators(const OperatorSettings& operators) {
  const auto& before = config_.operator_settings;
  const auto same_recorder = recorder_ && operators.timeline.memory_bytes == before.timeline.memory_bytes &&
                             operators.timeline.event_share == before.timeline.event_share &&
                             operators.timeline.max_nodes == before.timeline.max_nodes &&
                             operators.departures == before.departures;
  const auto listen = operators.timeline.enabled && !operators.timeline.listen_address.empty()
                          ? parse_endpoint(operators.timeline.listen_address)
                          : std::nullopt;
  if (operators.timeline.enabled && !operators.timeline.listen_address.empty() && !listen)
    throw InputError("timeline.listen is not an IP address and port");
  const auto& sites = operators.sites;
  if (!sites.evacuated_site.empty() && find_index(zones_, sites.evacuated_site) == kNone)
    throw InputError("sites.evacuate: there is no site " + sites.evacuated_site);
  std::unique_ptr<TimelineServer> server;
  const auto listen_changed = !server_ || operators.timeline.listen_address != before.timeline.listen_address;
  if (listen && listen_changed)
    server = std::make_unique<TimelineServer>(
        context_, timers_, *listen, operators.timeline.max_readers,
        [this] { return recorder_ ? &recorder_->timeline() : nullptr; },
        [this] { return version_reporter_.view(); });
  if (!listen || server) server_ = std::move(server);
  if (server_) server_->bound(operators.timeline.max_readers);
  // Stopping the segment writer waits for its disk, so keep it if none of its settings change.
  const auto same_segments = same_recorder && operators.segments == before.segments;
  config_.operator_settings = operators;
  const auto applied_at = now();
  version_reporter_.configure(operators.fleet, server_ != nullptr);
  queries_.sites().set_enabled(sites.enabled);
  queries_.sites().set_evacuation(
      sites.evacuated_site.empty()
          ? std::nullopt
          : std::optional(Evacuation{
                find_index(zones_, sites.evacuated_site), applied_at, sites.evacuation_ramp,
                evacuated_until_.to_monotonic(WallTime{sites.evacuation_end}, WallTime::now(), applied_at),
                next_tick_at_ <= 0}));
  if (!operators.timeline.enabled) {
    queries_.set_observer(nullptr);
    recorder_.reset();
    segments_.reset();
    return;
  }
  if (!same_recorder) {
    const Timeline::Budget budget{operators.timeline.memory_bytes, operators.timeline.event_share,
                                  operators.timeline.max_nodes};
    recorder_ = std::make_unique<Recorder>(
        budget, departure_limits(operators, config_.settings), operators.departures.enabled,
        static_cast<int>(config_.verticals.size()), applied_at, unix_time_at_zero());
    queries_.set_observer(recorder_.get());
    next_version_events_at_ = 0;
  }
  if (same_segments) return;
  segments_.reset();
  last_segment_failures_ = 0;
  if (!operators.segments.folder.empty()) {
    const auto& s = operators.segments;
    segments_ = std::make_unique<Segments>(
        SegmentLimits{s.folder, s.segment_bytes, s.total_bytes, s.max_age, s.queue_events}, config_.name,
        unix_time_at_zero());
    recorder_->timeline().also = [this](const Event& event) { segments_->event(event); };
    recorder_->timeline().also_line = [this](const Timeline::Line& line) { segments_->line(line); };
    for (const auto& line : recorder_->timeline().lines()) segments_->line(line);
  } else {
    recorder_->timeline().also = nullptr;
    recorder_->timeline().also_line = nullptr;
  }
  record_known_nodes(applied_at);
}

// Starts the timeline's record of the nodes that are listed already.
void Router::record_known_nodes(double at) {
  for (const auto& member : members_.list().members) {
    const auto node = node_numbers_.find(member.id);
    if (node == kNone || member.removed) continue;
    recorder_->listed(node, member.id,
                      fmt::format("{}:{}", member.endpoint.address().to_string(), member.endpoint.port()),
                      member.up, started_at(member), members_.list().version, at);
  }
}

// Applies the whole file, or nothing of it and logs every problem.
bool Router::reload_operators() {
  if (config_.operators_path.empty()) return true;
  try {
    const auto loaded = load_operator_settings(config_.operators_path, config_.memory_bytes);
    apply_operators(loaded);
    version_reporter_.set_file_version(VersionedInput::operators, loaded.hash, config_.operators_path, now());
    log_.configure(log_form(loaded));
    log_.line("operators_reloaded", "path=\"{}\"", config_.operators_path);
    return true;
  } catch (const InfoFileError& bad) {
    for (const auto& problem : bad.problems)
      log_.line("operators_kept", "why=\"{}\"", format_problem(problem, config_.operators_path));
  } catch (const std::exception& error) {
    log_.line("operators_kept", "why=\"{}\"", error.what());
  }
  return false;
}

std::optional<asio::ip::tcp::endpoint> Router::timeline_endpoint() const {
  return server_ ? std::optional(server_->at()) : std::nullopt;
}

void Router::record_loop_events(double at) {
  if (!recorder_) return;
  if (const auto late = at - next_tick_at_; late > kStandstillTickSeconds)
    recorder_->loop(What::stood_still, 0, late, 0, at);
  else if (late > kLateTickSeconds)
    recorder_->loop(What::ran_late, 0, late, 0, at);
  const auto record_increase = [&](Bound which, long long total, long long& before) {
    if (total > before)
      recorder_->loop(What::at_bound, static_cast<std::uint8_t>(which), static_cast<double>(total - before),
                      0, at);
    before = total;
  };
  record_increase(Bound::judged, queries_.dropped_trace_entries(), last_unjudged_);
  record_increase(Bound::log, log_.dropped_lines(), last_lost_lines_);
  for (const auto& [id, node] : node_numbers_.all())
    recorder_->believed(node, queries_.node_health(node, at), at);
  if (segments_ && segments_->failures() > last_segment_failures_) {
    last_segment_failures_ = segments_->failures();
    log_.line("segment_failed", "why=\"{}\" folder=\"{}\"", segments_->trouble(),
              config_.operator_settings.segments.folder);
  }
  for (const auto& change : recorder_->tick(at, unix_time_at_zero())) {
    const auto vertical =
        change.vertical == kNone ? "-" : config_.verticals[static_cast<std::size_t>(change.vertical)].c_str();
    log_.line(change.ended ? "returned" : "departed",
              "node={} kind={} vertical={} began={:.3f} evidence={:.4g} usual={:.4g}",
              recorder_->name_of(change.node),
              why_name(What::departed, static_cast<std::uint8_t>(change.kind)), vertical,
              change.started_at + unix_at_zero_, change.evidence, change.baseline);
  }
  if (const auto every = config_.operator_settings.timeline.load_report_interval;
      every > 0 && at >= next_load_request_at_) {
    next_load_request_at_ = at + every;
    pool_.request_loads();
  }
}

void Router::update_sites() {
  for (const auto& change : queries_.sites().take_changes()) {
    const auto& site_name = config_.zones[static_cast<std::size_t>(change.site)];
    log_.line(
        "site",
        "name={} state={} before={} lasted={:.3f} nodes={} bad={} refused={} evidence={:.1f} usual={:.2f} "
        "share={:.2f} cold={:d} held_back={:d}",
        site_name, why_name(What::site, static_cast<std::uint8_t>(change.current)),
        why_name(What::site, static_cast<std::uint8_t>(change.previous)), change.previous_seconds,
        change.node_count, change.failing_nodes, change.refused_nodes, change.evidence,
        change.baseline_failure_share, change.load_share, change.in_slow_start, change.evacuation_held_back);
    if (recorder_) recorder_->site(site_name, change);
  }
}

// Nodes in a lost site are excluded from the staleness check: that they refuse calls doesn't show that the
// list is out of date.
void Router::update_version_reporter(double at) {
  auto lost = false;
  for (std::size_t site = 0; site < zones_.size(); ++site) {
    const auto belief = queries_.sites().health(static_cast<int>(site));
    lost = lost || belief == SiteHealth::lost || belief == SiteHealth::cut_off;
  }
  nodes_in_lost_sites_.clear();
  if (lost)
    for (const auto& member : members_.list().members) {
      const auto node = node_numbers_.find(member.id);
      const auto belief = queries_.sites().health(find_index(zones_, member.zone));
      if (node == kNone || (belief != SiteHealth::lost && belief != SiteHealth::cut_off)) continue;
      const auto index = static_cast<std::size_t>(node);
      nodes_in_lost_sites_.resize(std::max(nodes_in_lost_sites_.size(), index + 1));
      nodes_in_lost_sites_[index] = true;
    }
  version_reporter_.tick(phase_ == Phase::draining, lost, nodes_in_lost_sites_, at);
  if (!recorder_ || at < next_version_events_at_) return;
  next_version_events_at_ = at + kVersionEventIntervalSeconds;
  for (std::size_t i = 0; i < kVersionedInputCount; ++i)
    if (const auto subject = static_cast<VersionedInput>(i);
        version_reporter_.versions().version(subject).epoch > 0)
      recorder_->version(subject, version_reporter_.versions().version(subject),
                         version_reporter_.versions().open_interval_number(), at);
}

void Router::on_call_ended(int vertical, const Call& call) {
  auto& versions = version_reporter_.versions();
  if (call.outcome == Outcome::unsent || call.outcome == Outcome::unreachable)
    versions.record_unsent(vertical, call.node);
  versions.on_call_ended(call.node, call.outcome, now());
}

void Router::connection_opened(int node, double took) {
  if (recorder_) recorder_->opened(node, took, now());
}

void Router::connection_closed(int node, Closing closing) {
  if (recorder_) recorder_->closed(node, closing, now());
}

void Router::load_requested(int node) {
  if (recorder_) recorder_->load_asked(node, now());
}

void Router::load_reported(int node, std::string_view text, double asked) {
  if (recorder_) recorder_->load_answered(node, now());
  if (!recorder_ || text == "-" || text == "failed") return;
  const auto at = now();
  const auto report = parse_load_report(text);
  if (!report) return recorder_->reported(node, 0, 0, 0, Report::unreadable, at);
  // A report that doesn't state its time counts as measured when it was requested, though it may be older.
  const auto measured = report->unix_seconds > 0 ? std::min(report->unix_seconds - unix_at_zero_, at) : asked;
  recorder_->reported(node, report->in_flight, report->queue, measured, Report::fresh, at);
}

void Router::connection_limit_reached() {
  if (recorder_)
    recorder_->loop(What::at_bound, static_cast<std::uint8_t>(Bound::connections),
                    static_cast<double>(pool_.connection_count()),
                    static_cast<double>(node_connections(config_)), now());
}

void Router::ingress_event(What what, std::uint8_t why, int connection, std::uint32_t address, double a,
                           double b) {
  if (recorder_) recorder_->door(what, why, connection, address, a, b, now());
}

// --- time

void Router::tick() {
  const auto at = now();
  const auto read_first = must_read_first(at);
  if (!read_first) {
    record_loop_events(at);
    next_tick_at_ = at + queries_.tick_interval();
    queries_.tick(at);  // the result, a request for the list, is not needed: the watch delivers it
    update_sites();
    update_version_reporter(at);
    log_.write_summaries(at);
    log_counters(at);
    run_turn();
    release_node_numbers();
  }
  tick_timer_.expires_after(
      time_left(read_first ? at + StandstillDetector::kReadRoundSeconds : next_tick_at_));
  tick_timer_.async_wait([this](const auto& error) {
    if (!error) tick();
  });
}

void Router::schedule_turn() {
  if (turn_scheduled_) return;
  turn_scheduled_ = true;
  asio::post(context_, [this] { run_turn(); });
}

// Passes what has arrived since the last turn to the queries, then sends what they decide.
void Router::run_turn() {
  turn_scheduled_ = false;
  const auto at = now();
  if (must_read_first(at)) return set_timer(at + StandstillDetector::kReadRoundSeconds);
  in_turn_ = true;
  process_turn(at);
  in_turn_ = false;
  arm_timer();
}

void Router::process_turn(double at) {
  for (auto& result : std::exchange(call_results_, {})) {
    const auto query_state = pending_queries_.find(result.ref.query);
    if (query_state == pending_queries_.end()) continue;
    --pending_calls_;
    const auto dropped =
        result.outcome == Outcome::success ? store_value(query_state->second, result) : kNone;
    queries_.on_outcome(result.ref.query, result.ref.leaf, result.ref.call, result.outcome, result.score, at);
    if (dropped != kNone) drop_value(result.ref.query, dropped);
  }
  queries_.process_changes(at);
  if (!merged_first_steps_.empty()) {
    for (const auto query : std::exchange(merged_first_steps_, {})) start_second_step(query, at);
    queries_.process_changes(at);
  }
  pool_.flush();
  advance_shutdown(at);
}

bool Router::must_read_first(double at) {
  return standstill_.must_read_first(at, [this] { return watch_.has_unread_data(); });
}

void Router::arm_timer() {
  set_timer(timers_.next_due());
}

void Router::set_timer(double next) {
  if (next == timer_at_) return;
  timer_at_ = next;
  if (!std::isfinite(next)) return;
  timer_.expires_after(time_left(next));
  timer_.async_wait([this](const auto& error) {
    if (error) return;
    timer_at_ = 0;
    run_turn();
  });
}

void Router::log_counters(double at) {
  if (at < next_counters_log_at_) return;
  next_counters_log_at_ = at + kCountersLogSeconds;
  log_.line("figures",
            "taken={} merged={} rejected={} aborted={} left={} bad={} in_hand={} open={} clients={} nodes={}",
            counters_.accepted, counters_.merged, counters_.rejected, counters_.aborted,
            counters_.disconnected, counters_.bad_requests, query_by_connection_.size(), open_count_,
            clients_.connections(), pool_.connection_count());
  log_memory();
}

void Router::log_memory() {
  const auto memory = read_process_memory();
  log_.line("memory", "resident={} peak={} most={} pending={} held={} held_peak={} held_most={} refused={}",
            memory.resident_bytes, memory.peak_resident_bytes, config_.memory_bytes, pending_queries_.size(),
            memory_.held(), memory_.peak(), memory_.limit(), memory_.refusals());
}

// --- clients

void Router::request_received(int connection, const ClientConnection::Request& request, double received_at) {
  try {
    if (request.target() == "/_health") {
      if (request.method() != boost::beast::http::verb::get) throw BadRequest(405, "health is a GET");
      const auto healthy = phase_ == Phase::serving && version_reporter_.healthy();
      clients_.answer(connection, healthy ? 200 : 503,
                      healthy || phase_ != Phase::serving ? name(phase_) : "aside");
      return;
    }
    auto query = parse_query_request(request, query_schema_);
    // Nodes' answers are matched by this id: an answer to one query would be taken for one to the other.
    if (open_ids_.contains(query.id)) throw BadRequest(409, "X-Txn names a query that is open");
    if (unanswered_ids_.contains(id_of(query.id)))
      throw BadRequest(409, "X-Txn names a query that was sent and had no answer");
    accept_query(connection, std::move(query), received_at);
  } catch (const BadRequest& error) {
    ++counters_.bad_requests;
    log_.line("bad_request", "status={} why=\"{}\" connection={}", error.status, error.what(), connection);
    clients_.answer(connection, error.status, error.what());
  }
}

void Router::accept_query(int connection, QueryRequest request, double received_at) {
  const auto at = now();
  const auto number = ++last_query_number_;
  ++counters_.accepted;
  Query query;
  query.vertical = request.vertical;
  query.deadline = received_at + request.remaining;
  // A query that arrives this late must be answered before SIGKILL.
  if (phase_ == Phase::draining) query.deadline = std::min(query.deadline, shutdown_.answer_deadline());
  query.client_retry = request.client_retry;
  for (const auto& target : request.targets) query.work_hint += target.work;
  auto& query_state = pending_queries_.try_emplace(number, memory_).first->second;
  query_state.connection = connection;
  query_state.vertical = request.vertical;
  query_state.accepted_at = at;
  query_state.text = std::make_shared<const std::string>(std::move(request.text));
  query_state.key = std::move(request.key);
  query_state.id = request.id;
  for (const auto& target : request.targets)
    query_state.parts.push_back(
        {request.id + "." + std::to_string(target.shard), target.shard, target.share});
  const auto has_memory =
      query_state.memory.resize(query_state.text->capacity() + bookkeeping_bytes(query_state));
  const auto no_room = !has_memory || open_count_ >= config_.connection_limits.max_in_progress;
  if (no_room || version_reporter_.rejects_new_query(at))
    query.forced_rejection = no_room ? Reason::too_many_pending : Reason::router_refusing;
  query_by_connection_[connection] = number;
  open_ids_.insert(request.id);
  ++open_count_;
  if (recorder_) {
    recorder_->taken(number, request.id, request.vertical, at);
    if (no_room)
      recorder_->loop(What::at_bound, static_cast<std::uint8_t>(Bound::queries), open_count_,
                      config_.connection_limits.max_in_progress, at);
  }
  queries_.add_query(number, std::move(query), at);
  for (const auto& target : request.targets) {
    queries_.add_part(number, {target.shard, target.share, target.work, 1, false, {}}, at);
    ++open_count_;
  }
  schedule_turn();
}

void Router::client_disconnected(int connection) {
  const auto at = query_by_connection_.find(connection);
  if (at == query_by_connection_.end()) return;
  ++counters_.disconnected;
  const auto query = at->second;
  log_client_left(query);
  remember_unanswered(pending_queries_.at(query));
  queries_.abandon(query);
  release_query(query);
  schedule_turn();
}

// Its parts may have run: a request with its id again would run them twice.
void Router::remember_unanswered(const PendingQuery& query) {
  if (query.awaits_answer && query.call_count > 0) unanswered_ids_.add(id_of(query.id));
}

void Router::log_client_left(long long query) {
  const auto& query_state = pending_queries_.at(query);
  log_.line("client_left", "query={} vertical={} connection={} age={:.3f} calls={}", query_state.id,
            config_.verticals[static_cast<std::size_t>(query_state.vertical)], query_state.connection,
            now() - query_state.accepted_at, query_state.call_count);
}

// Call when the query has its final answer or its client has disconnected.
void Router::release_query(long long query) {
  auto& query_state = pending_queries_.at(query);
  query_by_connection_.erase(query_state.connection);
  open_ids_.erase(query_state.id);
  open_count_ -= 1 + static_cast<int>(query_state.parts.size());
  query_state.awaits_answer = false;
  pool_.on_query_ended(query);
  // Its calls may be out for as long as their timeouts: nothing of what it brought is kept for them.
  query_state.text.reset();
  query_state.values = AnswerValues(kMaxResultBytes);
  query_state.memory.set(bookkeeping_bytes(query_state));
}

std::size_t Router::bookkeeping_bytes(const PendingQuery& query) {
  return kQueryBytes + query.parts.size() * (kPartBytes + kIdCopies * (query.id.size() + query.key.size()));
}

void Router::send_answer(long long query, int status, std::string_view body, double retry_after) {
  auto& query_state = pending_queries_.at(query);
  if (!query_state.awaits_answer) return;
  const auto client = query_state.connection;
  release_query(query);
  clients_.answer(client, status, body, retry_after);
}

// --- actions of the queries

void Router::send(long long query, const Send& send, int call) {
  auto& query_state = pending_queries_.at(query);
  ++query_state.call_count;
  ++pending_calls_;
  version_reporter_.versions().record_sent(query_state.vertical, act_for(send.explanation.reason), send.node,
                                           now());
  const auto leaf = static_cast<std::size_t>(send.leaf);
  const auto& part = query_state.parts[leaf];
  std::string options;
  if (!query_state.key.empty()) options += ",k=" + query_state.key;
  if (send.leaf >= query_state.second_step_begin) options += query_state.second_step_options;
  OutgoingPart outgoing{{query, send.leaf, call}, part.id, part.shard, std::move(options), query_state.text};
  pool_.send(send.node, send.batch, std::move(outgoing), send.timeout, send.max_send_delay);
}

void Router::cancel(long long query, const Cancel& cancel) {
  pool_.cancel({query, cancel.leaf, cancel.call}, Outcome::cancelled);
}

void Router::merge(long long query, bool whole) {
  auto& query_state = pending_queries_.at(query);
  if (queries_.awaits_parts(query)) {
    query_state.second_step_options = fmt::format(",whole={:d}", whole);
    merged_first_steps_.push_back(query);
    return;
  }
  ++counters_.merged;
  version_reporter_.versions().record_query_end(query_state.vertical,
                                                whole ? RouterAction::whole : RouterAction::part);
  std::vector<PartResult> results;
  query_state.values.for_each([&](int leaf, std::string_view value) {
    results.push_back({query_state.parts[static_cast<std::size_t>(leaf)].shard, value});
  });
  send_answer(query, 200, response_body(whole, results));
}

void Router::reject(long long query, double stay_away, const Explanation& why) {
  ++counters_.rejected;
  version_reporter_.versions().record_query_end(pending_queries_.at(query).vertical, RouterAction::rejected);
  log_outcome("rejected", query, why);
  send_answer(query, 503, "rejected", stay_away);
}

void Router::abort(long long query, const Explanation& why) {
  ++counters_.aborted;
  version_reporter_.versions().record_query_end(pending_queries_.at(query).vertical, RouterAction::aborted);
  log_outcome("aborted", query, why);
  remember_unanswered(pending_queries_.at(query));
  send_answer(query, 500, why.reason == Reason::answer_too_large ? "the answer is too large" : "aborted");
}

void Router::log_outcome(std::string_view end, long long query, const Explanation& why) {
  const auto& query_state = pending_queries_.at(query);
  const auto answered = std::count_if(query_state.parts.begin(), query_state.parts.end(),
                                      [](const Part& part) { return part.answered; });
  log_.line(
      end,
      "query={} vertical={} age={:.3f} parts={} in={} calls={} open={} why={} a={:.3f} b={:.3f} c={:.3f}",
      query_state.id, config_.verticals[static_cast<std::size_t>(query_state.vertical)],
      now() - query_state.accepted_at, query_state.parts.size(), answered, query_state.call_count,
      open_count_, why_name(What::ended, static_cast<std::uint8_t>(why.reason)), why.a, why.b, why.c);
}

void Router::release(long long query) {
  pending_queries_.erase(query);
}

void Router::start_second_step(long long query, double at) {
  if (!queries_.awaits_parts(query)) return;
  auto& query_state = pending_queries_.at(query);
  const auto chosen = queries_.second_step_leaves(query);
  std::string from;
  for (const auto& part : query_state.parts)
    if (part.answered) from += fmt::format("{}{}", from.empty() ? "" : "+", part.shard);
  query_state.second_step_options = ",from=" + from + query_state.second_step_options;
  query_state.second_step_begin = static_cast<int>(query_state.parts.size());
  for (const auto leaf : chosen) {
    const auto shard = query_state.parts[static_cast<std::size_t>(leaf)].shard;
    const auto weight = 1.0 / static_cast<double>(chosen.size());
    queries_.add_part(query, {shard, weight, 0, 2, false, {}}, at);
    query_state.parts.push_back({fmt::format("{}.{}.p2", query_state.id, shard), shard, weight});
    ++open_count_;
  }
}

// --- data nodes

void Router::call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) {
  auto& result = call_results_.emplace_back(ref, outcome, score, memory_);
  result.value_lost = !result.memory.resize(value.size());
  if (!result.value_lost) result.value = value;
  schedule_turn();
}

// Keeps a value that belongs in the answer. Returns the part whose value was dropped for lack of room; kNone:
// none.
int Router::store_value(PendingQuery& query, CallResult& result) {
  const auto leaf = result.ref.leaf;
  auto& part = query.parts[static_cast<std::size_t>(leaf)];
  if (!query.awaits_answer || part.answered || part.dropped) return kNone;
  part.answered = true;
  // The answer holds the values of the last step only.
  const auto has_second_step =
      config_.settings.verticals[static_cast<std::size_t>(query.vertical)].second_step_parts > 0;
  if (has_second_step && leaf < query.second_step_begin) return kNone;
  const auto bytes = result_bytes({part.shard, result.value});
  result.memory.set(0);
  if (result.value_lost || !query.memory.resize(query.memory.bytes() + kValueCopies * bytes)) return leaf;
  return query.values.add(leaf, part.weight, bytes, std::move(result.value));
}

void Router::drop_value(long long query, int leaf) {
  auto& query_state = pending_queries_.at(query);
  auto& part = query_state.parts[static_cast<std::size_t>(leaf)];
  part.answered = false;
  part.dropped = true;
  log_.line("value_dropped", "query={} vertical={} shard={} bytes={} most={}", query_state.id,
            config_.verticals[static_cast<std::size_t>(query_state.vertical)], part.shard,
            query_state.values.bytes(), kMaxResultBytes);
  queries_.drop_value(query, leaf);
}

// --- discovery

void Router::list_received(const MemberList& list) {
  members_.apply(list);
  version_reporter_.set_list(members_.list(), list.full, endpoint_text(current_discovery_), now());
  std::vector<DiscoveredNode> hosts;
  std::set<int> present;
  std::size_t ready = 0;
  for (const auto& member : list.members) {
    if (member.removed && node_numbers_.find(member.id) == kNone) continue;
    const auto node = node_numbers_.assign(member.id);
    if (node == kNone) {
      log_.line("node_unknown", "id={} known={}", member.id, node_numbers_.size());
      continue;
    }
    const auto started = started_at(member);
    hosts.push_back({node, find_index(zones_, member.zone), member.cell, member.up, started});
    present.insert(node);
    version_reporter_.set_member(node, member);
    if (recorder_) {
      if (member.removed)
        recorder_->left(node, list.version, now());
      else
        recorder_->listed(node, member.id,
                          fmt::format("{}:{}", member.endpoint.address().to_string(), member.endpoint.port()),
                          member.up, started, list.version, now());
    }
    if (member.removed) {
      pool_.retire_connections(node);
      node_numbers_.mark_removed(member.id);
    } else {
      pool_.set_node(node, member.endpoint, started, member.up);
      node_numbers_.mark_listed(member.id);
    }
    if (member.up) ++ready;
  }
  if (list.full)
    for (const auto& [id, node] : node_numbers_.all())
      if (!present.contains(node) && node_numbers_.mark_removed(id)) {
        pool_.retire_connections(node);
        if (recorder_) recorder_->left(node, list.version, now());
      }
  queries_.update_nodes(hosts, list.full, now());
  log_.line("list", "version={} full={} entries={} ready={}", list.version, list.full, list.members.size(),
            ready);
  if (phase_ == Phase::starting && ready > 0) enter_phase(Phase::serving);
  schedule_turn();
}

double Router::started_at(const Member& member) {
  return node_ages_.started_at(member.id, member.started_at, now(), WallTime::now());
}

// Forgets removed nodes that have no connection any more.
void Router::release_node_numbers() {
  if (!call_results_.empty()) return;  // the queries still refer to these nodes by number
  node_numbers_.release_removed([this](const std::string& id, int node) {
    if (pool_.has_connection(node)) return false;
    queries_.remove_node(node);
    if (recorder_) recorder_->forgotten(node, now());
    node_ages_.node_removed(id);
    return true;
  });
}

void Router::watch_lost() {
  version_reporter_.versions().on_watch_lost(now());
  queries_.on_node_list_failed(now());
}

void Router::watch_data_received() {
  node_ages_.record_discovery_contact(now());
  version_reporter_.versions().on_watch_data(now());
}

// Called for a change that is ignored, as its count is not above the current one. An equal count is a repeat.
// A lower one shows that discovery has restarted its count, so that the current list may be out of date:
// without requesting the whole list, all further changes would be ignored until the count has caught up, and
// a node drained meanwhile would get parts for minutes.
void Router::stale_list_received(const MemberList& list) {
  if (list.members.empty() || list.version >= members_.list().version) return;
  const auto at = now();
  version_reporter_.versions().on_stale_list(list.version, at);
  if (at < next_full_list_request_at_) return;
  next_full_list_request_at_ = at + kMinFullListIntervalSeconds;
  log_.line("list_again", "count={} held={}", list.version, members_.list().version);
  watch_.request_full_list();
}

void Router::list_unusable() {
  version_reporter_.versions().on_unusable_list(now());
}

}  // namespace yoketurn
