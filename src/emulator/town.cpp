#include "emulator/town.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <limits>

#include "days/terms.hpp"
#include "settings/settings.hpp"

namespace yoketurn::emulator {

using days::Kind;
using days::Passing;

namespace {

constexpr double kClient = 0.0002;  // one way between a client and a router of its site
constexpr double kAgent = 0.001;    // from an agent to its router
constexpr double kLook = 0.2;       // between two questions for a router's health
constexpr double kPatience = 0.3;   // beyond the time a client has stated, until it closes the connection
constexpr double kNoTry = 0.02;     // less time left: no further try
constexpr double kEndsAfter = 2.3;  // SIGTERM to the end
constexpr double kTail = 0.6;       // after the longest deadline, until all is counted
constexpr std::string_view kOfSockets[] = {"recount", "fork", "build",     "unseen",
                                           "start",   "hup",  "step_clock"};

constexpr std::string_view kEnds[] = {"", "", "draining", "over"};  // by Machine::End, as the record has them

}  // namespace

Town::Town(const days::Day& day, const Options& options)
    : day_(day),
      options_(options),
      site_of_router_(sites_of_routers(day)),
      site_of_node_(sites_of_nodes(day)),
      active_(day.faults.size()),
      turns_(site_of_router_, static_cast<int>(day.sites.size())),
      good_(site_of_router_.size(), -1),
      checker_(day_, 0.01, [this](long long query) { return name_of(query); }),
      service_(std::make_shared<days::Service>(day_)) {
  for (const auto& fault : day_.faults)
    for (const auto only : kOfSockets)
      if (fault.what == only)
        throw days::BadDay("faults." + fault.what + ": is one of processes on sockets, which the rig plays");
  for (const auto& v : day_.verticals)
    if (v.semantics == "keyed") window_ = std::max(window_, v.window);
  for (const auto& site : day_.sites) {
    settings_.push_back(
        read_settings(flatten_settings(boost::json::parse(settings_text(day_, site.name)).as_object())));
    if (!options.design.module_copies) settings_.back().may_copy = false;
  }
  told_.begins = [this](FlightRef part) {
    const auto& flight = *flights_.get(part);
    const auto& v = day_.verticals[static_cast<std::size_t>(flight.vertical)];
    auto repeats = false;
    if (v.semantics == "keyed") {
      const auto key =
          static_cast<std::uint64_t>(flight.ask) << 16 | static_cast<std::uint64_t>(flight.shard);
      const auto [at, fresh] = effects_.try_emplace(key, flight.sent);
      repeats = !fresh && flight.sent <= at->second + window_;
      if (!repeats) at->second = flight.sent;
    }
    note_part(repeats ? Kind::repeat : Kind::ran, flight, "");
    return repeats;
  };
  for (std::size_t v = 0; v < day_.verticals.size(); ++v)
    relative_work_.push_back(days::relative_work(day_, static_cast<int>(v)));
  told_.work = [this](FlightRef part) {
    return relative_work_[static_cast<std::size_t>(flights_.get(part)->vertical)];
  };
  told_.until = [this](FlightRef part) { return flights_.get(part)->until; };
  told_.ended = [this](FlightRef part, Machine::End end) { machine_ended(part, end); };
  told_.dropped = [this](FlightRef part) {
    flights_.get(part)->there = false;
    flights_.let_go(part);
  };
  told_.fell = [this](int node, double capacity) {
    note({.at = engine_.now(), .kind = Kind::node, .node = node, .value = capacity, .text = "fell"});
  };
  for (std::size_t n = 0; n < site_of_node_.size(); ++n)
    machines_.push_back(std::make_unique<Machine>(engine_, day_, static_cast<int>(n), told_));
  entries_.resize(machines_.size());
  network_ = std::make_unique<Network>(
      engine_, day_, flights_,
      Network::Ends{[this](FlightRef part) { note_part(Kind::sent, *flights_.get(part), ""); },
                    [this](FlightRef part) { at_node(part); },
                    [this](FlightRef part) {
                      machines_[static_cast<std::size_t>(flights_.get(part)->node)]->give_up(part);
                    },
                    [this](FlightRef part, Outcome outcome) { at_router(part, outcome); },
                    [this](int node) { return machines_[static_cast<std::size_t>(node)]->up(); }});
  world_.send = [this](Process& from, long long request, const Send& send, int leaf, int call) {
    return this->send(from, request, send, leaf, call);
  };
  world_.give_up = [this](FlightRef part) { return network_->give_up(part); };
  world_.unsent = [this](FlightRef part) { return network_->unsend(part); };
  world_.answer = [this](Process& from, long long request, int status, double retry_after,
                         const Explanation& why, bool whole, const std::vector<int>& shards) {
    answered(from, request, status, retry_after, why, whole, shards);
  };
  world_.believes = [this](Process& process, const SiteHealthChange& news) { believes(process, news); };
  world_.settled = [this](Process&, const Call& call) {
    auto& m = moment();
    ++played_.settled;
    m.full += call.outcome == Outcome::overloaded;
    m.unreachable += call.outcome == Outcome::unreachable;
    m.timed_out += call.outcome == Outcome::timed_out;
    m.broken += call.outcome == Outcome::disconnected;
  };
  world_.decide = [this](std::uint64_t seed) { return decide(seed); };
  for (std::size_t r = 0; r < site_of_router_.size(); ++r) {
    agents_.emplace_back();
    processes_.push_back(
        std::make_unique<Process>(engine_, settings_[static_cast<std::size_t>(site_of_router_[r])],
                                  static_cast<int>(r), mixed(day_.seed * 1000003ULL + r), day_.plan, world_));
    processes_.back()->list = [this, router = static_cast<int>(r)](bool known_last) {
      return hosts(router, known_last);
    };
  }
  for (std::size_t s = 0; s < day_.sites.size(); ++s)
    crowds_.push_back({chance_of(day_.seed, Stream::client, s)});
  holds_lost_.assign(processes_.size(), std::vector<bool>(day_.sites.size()));
}

Town::~Town() = default;

std::unique_ptr<RoutingPolicy> Town::decide(std::uint64_t seed) {
  // All sites' settings differ in the zone alone, which the plain designs don't read.
  if (options_.design.choice == Design::Choice::module) return nullptr;
  return plain(settings_[0], options_.design, seed, [this](int node) {
    const auto& machine = *machines_[static_cast<std::size_t>(node) % machines_.size()];
    return machine.up() && !machine.draining() ? static_cast<double>(machine.waiting()) * machine.slow
                                               : std::numeric_limits<double>::infinity();
  });
}

// --- what is noted

Moment& Town::moment() {
  const auto second = static_cast<std::size_t>(std::max(engine_.now(), 0.0));
  if (second >= played_.moments.size()) played_.moments.resize(second + 1);
  return played_.moments[second];
}

std::string Town::name_of(long long query) const {
  const auto at = names_.find(query);
  return at != names_.end() ? at->second : fmt::format("try {}", query);
}

void Town::note(Passing passing) {
  checker_.take(passing);
  service_->take(passing);
  if (options_.record) keep(passing);
}

void Town::keep(const Passing& p) {
  days::Event e{p.at,       p.kind,  p.router, p.node,  "",
                p.vertical, p.shard, p.number, p.value, std::string(p.text)};
  if (p.query >= 0) e.id = name_of(p.query);
  if (p.kind == Kind::asked || (p.kind == Kind::answered && p.number == 200)) {
    if (p.kind == Kind::answered) e.text = fmt::format("whole={:d} ", p.whole);
    for (std::size_t i = 0; i < p.shards.size(); ++i)
      e.text += fmt::format("{}{}", i > 0 ? "+" : "", p.shards[i]);
  }
  played_.record.push_back(std::move(e));
}

void Town::note_part(Kind kind, const Flight& flight, std::string_view text) {
  note({.at = engine_.now(),
        .kind = kind,
        .router = flight.router,
        .node = flight.node,
        .query = flight.of,
        .shard = flight.shard,
        .number = 1,
        .text = text});
}

// --- routers

FlightRef Town::send(Process& from, long long request, const Send& send, int leaf, int call) {
  const auto ref = flights_.fresh();
  auto& flight = *flights_.get(ref);
  flight.router = from.number();
  flight.life = from.life();
  flight.query = from.query_of(request);
  flight.leaf = leaf;
  flight.call = call;
  flight.wanted = true;
  flight.of = request;
  const auto& of = tries_.at(request);
  flight.ask = of.ask;
  flight.vertical = of.vertical;
  flight.shard = (of.first + leaf) % day_.shards;
  flight.node = send.node % static_cast<int>(machines_.size());
  flight.sent = engine_.now();
  flight.until = engine_.now() + send.timeout;
  auto& m = moment();
  ++played_.parts;
  ++(send.explanation.reason == Reason::first_call ? m.sent
     : send.explanation.reason == Reason::copy     ? m.copies
                                                   : m.again);
  network_->send(ref);
  return ref;
}

void Town::at_router(FlightRef part, Outcome outcome) {
  auto& flight = *flights_.get(part);
  flight.wanted = false;
  auto& process = *processes_[static_cast<std::size_t>(flight.router)];
  const auto query = flight.query;
  const auto leaf = flight.leaf, call = flight.call;
  const auto lives = process.life() == flight.life;
  flights_.let_go(part);
  if (lives) process.ended(query, leaf, call, outcome);
}

void Town::answered(Process& from, long long request, int status, double retry_after, const Explanation& why,
                    bool whole, const std::vector<int>& shards) {
  if (status == 503) ++moment().refused[why.reason];
  if (status == 500) ++moment().given_up[why.reason];
  (void)from;
  engine_.after(kClient, [this, request, status, retry_after, whole, shards] {
    const auto at = tries_.find(request);
    if (at == tries_.end()) return;  // its client has left
    const auto& of = at->second;
    shards_ = shards;
    note({.at = engine_.now(),
          .kind = Kind::answered,
          .router = of.router,
          .query = request,
          .ask = of.ask,
          .vertical = of.vertical,
          .number = status,
          .value = retry_after,
          .whole = whole,
          .shards = shards_});
    close(request, status, retry_after);
  });
}

void Town::believes(Process& process, const SiteHealthChange& news) {
  const auto router = static_cast<std::size_t>(process.number());
  const auto site = static_cast<std::size_t>(news.site);
  const auto lost = news.current == SiteHealth::lost || news.current == SiteHealth::cut_off;
  holds_lost_[router][site] = lost;
  played_.beliefs.push_back({process.number(), news.site, engine_.now(), news.current});
  if (!options_.record) return;
  static constexpr std::string_view kStates[] = {"sound",   "doubted",   "lost",
                                                 "cut_off", "returning", "evacuated"};
  const auto text =
      fmt::format("name={} state={} before={} bad={} evidence={:.1f}", day_.sites[site].name,
                  kStates[static_cast<std::size_t>(news.current)],
                  kStates[static_cast<std::size_t>(news.previous)], news.failing_nodes, news.evidence);
  note({.at = engine_.now(), .kind = Kind::site, .router = process.number(), .text = text});
}

void Town::start(int router) {
  auto& process = *processes_[static_cast<std::size_t>(router)];
  if (process.alive()) return;
  note({.at = engine_.now(), .kind = Kind::process, .router = router, .text = "started"});
  process.start();
  // What its agent holds counts as told.
  if (!agents_[static_cast<std::size_t>(router)].held) tell_all(router);
}

void Town::tell_all(int router) {
  for (std::size_t n = 0; n < entries_.size(); ++n)
    if (entries_[n].changed)
      note({.at = engine_.now(),
            .kind = Kind::told,
            .router = router,
            .node = static_cast<int>(n),
            .number = version_,
            .text = entries_[n].state});
}

void Town::end(int router, const char* how) {
  auto& process = *processes_[static_cast<std::size_t>(router)];
  if (!process.alive()) return;
  note({.at = engine_.now(), .kind = Kind::process, .router = router, .number = 9, .text = how});
  if (std::string_view(how) == "told to end") return process.term();
  const auto life = process.life();
  process.kill();
  network_->reset_router(router);
  flights_.each([&](FlightRef, Flight& flight) {
    if (flight.router == router) flight.wanted = false;
  });
  std::fill(holds_lost_[static_cast<std::size_t>(router)].begin(),
            holds_lost_[static_cast<std::size_t>(router)].end(), false);
  // Its clients' connections are reset.
  std::vector<long long> broken;
  for (const auto& [id, of] : tries_)
    if (of.router == router && of.life == life) broken.push_back(id);
  std::sort(broken.begin(), broken.end());
  for (const auto id : broken) {
    const auto& of = tries_.at(id);
    note({.at = engine_.now(),
          .kind = Kind::unanswered,
          .router = router,
          .query = id,
          .ask = of.ask,
          .vertical = of.vertical,
          .number = of.tried,
          .text = "broken"});
    close(id, 0, 0);
  }
}

// --- nodes

void Town::at_node(FlightRef part) {
  auto& flight = *flights_.get(part);
  flight.there = true;
  machines_[static_cast<std::size_t>(flight.node)]->arrive(part);
}

void Town::machine_ended(FlightRef part, Machine::End end) {
  auto& flight = *flights_.get(part);
  flight.there = false;
  const auto done = end == Machine::End::done;
  note_part(done ? Kind::served : Kind::full, flight, kEnds[static_cast<std::size_t>(end)]);
  network_->answer(part, done ? Outcome::success : Outcome::overloaded);
  flights_.let_go(part);
}

// --- discovery

DiscoveredNode Town::host(int node, const Entry& entry) const {
  const auto n = static_cast<std::size_t>(node);
  int first = 0;
  for (int s = 0; s < site_of_node_[n]; ++s) first += day_.sites[static_cast<std::size_t>(s)].nodes;
  return {node + entry.name * static_cast<int>(machines_.size()), site_of_node_[n],
          day_.sites[static_cast<std::size_t>(site_of_node_[n])].cell(node - first, day_.cells),
          entry.state == "ready", entry.born > 0 ? entry.born + Process::kZero : 0};
}

std::vector<DiscoveredNode> Town::hosts(int router, bool known_last) const {
  std::vector<DiscoveredNode> result;
  const auto& agent = agents_[static_cast<std::size_t>(router)];
  if (known_last) {  // the list of the configuration, as the day began
    for (std::size_t n = 0; n < entries_.size(); ++n) result.push_back(host(static_cast<int>(n), {}));
    return result;
  }
  if (agent.silent) return result;
  const auto& list = agent.held ? *agent.held : entries_;
  for (std::size_t n = 0; n < list.size(); ++n)
    if (list[n].state != "gone") result.push_back(host(static_cast<int>(n), list[n]));
  return result;
}

void Town::changed(int node) {
  const auto version = ++version_;
  entries_[static_cast<std::size_t>(node)].changed = true;
  engine_.after(day_.list_late, [this, node, version] {
    const auto& entry = entries_[static_cast<std::size_t>(node)];
    std::vector<DiscoveredNode> fresh;
    if (entry.name > 0) {  // a process under another name: its old one is gone
      fresh.push_back(host(node, {"gone", 0, entry.name - 1, true}));
    }
    fresh.push_back(host(node, entry));
    for (std::size_t r = 0; r < agents_.size(); ++r) {
      auto& agent = agents_[r];
      if (agent.held || agent.silent) continue;
      agent.told = version;
      note({.at = engine_.now(),
            .kind = Kind::told,
            .router = static_cast<int>(r),
            .node = node,
            .number = version,
            .text = entry.state});
      engine_.after(kAgent, [this, r, fresh] { processes_[r]->told(fresh, false); });
    }
  });
}

// --- clients

void Town::look(int router) {
  if (over_) return;
  const auto r = static_cast<std::size_t>(router);
  const auto good = processes_[r]->healthy();
  if (good) good_[r] = engine_.now();
  turns_.set(router, good || (turns_.in(router) && engine_.now() < good_[r] + day_.notice));
  engine_.after(kLook, [this, router] { look(router); });
}

void Town::next(int site) {
  auto& crowd = crowds_[static_cast<std::size_t>(site)];
  const auto rate = day_.sites[static_cast<std::size_t>(site)].rate * crowd.surge;
  if (rate <= 0) {
    crowd.due = engine_.now() + 0.1;
    if (crowd.due < day_.seconds) engine_.at(crowd.due, [this, site] { next(site); });
    return;
  }
  crowd.due += std::exponential_distribution<>(rate)(crowd.chance);
  if (crowd.due >= day_.seconds) return;
  engine_.at(crowd.due, [this, site] {
    auto& mine = crowds_[static_cast<std::size_t>(site)];
    std::vector<double> mix;
    for (const auto& v : day_.verticals) mix.push_back(v.mix);
    const auto vertical = std::discrete_distribution<>(mix.begin(), mix.end())(mine.chance);
    const auto first = std::uniform_int_distribution<>(0, day_.shards - 1)(mine.chance);
    ++mine.asked;
    ++played_.queries;
    attempt({last_ask_++, vertical, site, first, engine_.now()}, 0);
    next(site);
  });
}

void Town::attempt(const Question& question, int tried) {
  const auto& v = day_.verticals[static_cast<std::size_t>(question.vertical)];
  const auto left = question.began + v.deadline - engine_.now();
  if (left <= kNoTry) return;
  const auto id = last_try_++;
  if (options_.record) names_[id] = fmt::format("s{}q{}t{}", question.site, question.ask, tried);
  const auto router = turns_.pick(question.site);
  auto& of = tries_[id];
  of = {question.ask, question.vertical, question.site, tried, router, 0, question.began, question.first};
  const auto fail = [&](const char* why) {
    note({.at = engine_.now(),
          .kind = Kind::unanswered,
          .router = router,
          .query = id,
          .ask = question.ask,
          .vertical = question.vertical,
          .number = tried,
          .text = why});
    close(id, 0, 0);
  };
  if (router < 0) return fail("no router");
  auto& process = *processes_[static_cast<std::size_t>(router)];
  if (!process.alive()) return fail("refused");
  of.life = process.life();
  engine_.after(kClient, [this, id, left] {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    const auto& asks = at->second;
    const auto parts = day_.verticals[static_cast<std::size_t>(asks.vertical)].parts;
    shards_.clear();
    for (int i = 0; i < parts; ++i) shards_.push_back((asks.first + i) % day_.shards);
    note({.at = engine_.now(),
          .kind = Kind::asked,
          .router = asks.router,
          .query = id,
          .ask = asks.ask,
          .vertical = asks.vertical,
          .number = asks.tried,
          .value = left,
          .shards = shards_});
    const auto work = day_.service * relative_work_[static_cast<std::size_t>(asks.vertical)];
    processes_[static_cast<std::size_t>(asks.router)]->ask(
        {id, asks.ask, asks.vertical, left, shards_, day_.hints ? work : 0});
  });
  engine_.after(left + kPatience, [this, id] {
    const auto at = tries_.find(id);
    if (at == tries_.end()) return;
    const auto asks = at->second;
    note({.at = engine_.now(),
          .kind = Kind::unanswered,
          .router = asks.router,
          .query = id,
          .ask = asks.ask,
          .vertical = asks.vertical,
          .number = asks.tried,
          .text = "late"});
    close(id, 0, 0);
    processes_[static_cast<std::size_t>(asks.router)]->gone(id);
  });
}

// Clients try again what failed or was refused; an unsafe query only where that is harmless.
void Town::close(long long id, int status, double retry_after) {
  const auto of = tries_.at(id);
  tries_.erase(id);
  const auto& v = day_.verticals[static_cast<std::size_t>(of.vertical)];
  const auto refused = status == 503 || status == 429;
  if (status == 200 || of.tried >= day_.retries || engine_.now() >= day_.seconds) return;
  if (v.semantics == "unsafe" && !refused) return;
  auto& chance = crowds_[static_cast<std::size_t>(of.site)].chance;
  const auto wait = retry_after > 0
                        ? retry_after
                        : day_.backoff * std::uniform_real_distribution<>(0.5, 1.5)(chance) * (1 << of.tried);
  engine_.after(wait, [this, question = Question{of.ask, of.vertical, of.site, of.first, of.began},
                       tried = of.tried + 1] { attempt(question, tried); });
}

// --- the faults

void Town::begin(std::size_t f) {
  if (over_) return;
  const auto& fault = day_.faults[f];
  active_[f] = true;
  note({.at = engine_.now(), .kind = Kind::fault, .number = 1, .text = fault.what + " " + fault.of});
  const auto routers = routers_of(day_, fault.of);
  const auto nodes = nodes_of(day_, fault.of);
  const auto node_is = [&](int n, const char* what) {
    note({.at = engine_.now(), .kind = Kind::node, .node = n, .text = what});
  };
  if (fault.what == "lose") {
    for (const auto n : nodes) {
      machines_[static_cast<std::size_t>(n)]->die();
      node_is(n, "died");
    }
    for (const auto r : routers) end(r, "killed");
  }
  if (fault.what == "kill")
    for (const auto r : routers) end(r, "killed");
  if (fault.what == "term")
    for (const auto r : routers) {
      end(r, "told to end");
      engine_.after(kEndsAfter, [this, r, life = processes_[static_cast<std::size_t>(r)]->life()] {
        if (processes_[static_cast<std::size_t>(r)]->life() == life) end(r, "exited");
      });
    }
  if (fault.what == "pause")
    for (const auto r : routers) {
      processes_[static_cast<std::size_t>(r)]->stop();
      note({.at = engine_.now(), .kind = Kind::process, .router = r, .text = "stopped"});
    }
  if (fault.what == "slow")
    for (const auto n : nodes) machines_[static_cast<std::size_t>(n)]->slow = fault.amount;
  if (fault.what == "surge")
    for (const auto r : routers)
      crowds_[static_cast<std::size_t>(site_of_router_[static_cast<std::size_t>(r)])].surge = fault.amount;
  if (fault.what == "drain")
    for (const auto n : nodes) {
      machines_[static_cast<std::size_t>(n)]->drain(true);
      entries_[static_cast<std::size_t>(n)].state = "draining";
      node_is(n, "draining");
      changed(n);
    }
  if (fault.what == "gone")
    for (const auto n : nodes) {
      entries_[static_cast<std::size_t>(n)].state = "gone";
      changed(n);
    }
  if (fault.what == "blind" || fault.what == "stuck") {
    const auto held = std::make_shared<const std::vector<Entry>>(entries_);
    for (const auto r : routers) agents_[static_cast<std::size_t>(r)].held = held;
  }
  if (fault.what == "hush")
    for (const auto r : routers) agents_[static_cast<std::size_t>(r)].silent = true;
  if (fault.what == "reset") {
    const auto of = routers_of(day_, fault.to.empty() ? "all" : fault.to);
    network_->reset([&](int r, int n) {
      return std::find(of.begin(), of.end(), r) != of.end() &&
             std::find(nodes.begin(), nodes.end(), n) != nodes.end();
    });
  }
  for (const auto* link : {"silent", "deaf", "dumb", "refuse", "delay", "lose_answers"})
    if (fault.what == link) network_->put(fault);
  if (fault.length > 0) engine_.after(fault.length, [this, f] { finish(f); });
  if (fault.every > 0) engine_.after(fault.every, [this, f] { begin(f); });
}

void Town::finish(std::size_t f) {
  if (!active_[f] || over_) return;
  const auto& fault = day_.faults[f];
  active_[f] = false;
  note({.at = engine_.now(), .kind = Kind::fault, .text = fault.what + " " + fault.of});
  const auto routers = routers_of(day_, fault.of);
  const auto nodes = nodes_of(day_, fault.of);
  const auto node_is = [&](int n, double capacity, const char* what) {
    note({.at = engine_.now(), .kind = Kind::node, .node = n, .value = capacity, .text = what});
  };
  if (fault.what == "lose") {
    std::vector<bool> back(machines_.size());
    for (const auto n : nodes) back[static_cast<std::size_t>(n)] = true;
    network_->reset([&](int, int n) { return back[static_cast<std::size_t>(n)]; });
    for (const auto n : nodes) {
      auto& machine = *machines_[static_cast<std::size_t>(n)];
      auto& entry = entries_[static_cast<std::size_t>(n)];
      machine.start(engine_.now());
      if (fault.amount > 0) ++entry.name;
      entry.born = engine_.now();
      node_is(n, machine.capacity(engine_.now()), "started");
      changed(n);
    }
  }
  if (fault.what == "lose" || fault.what == "kill" || fault.what == "term")
    for (const auto r : routers) {
      end(r, "killed");
      start(r);
    }
  if (fault.what == "pause")
    for (const auto r : routers) {
      note({.at = engine_.now(), .kind = Kind::process, .router = r, .text = "resumed"});
      processes_[static_cast<std::size_t>(r)]->resume();
    }
  if (fault.what == "slow")
    for (const auto n : nodes) machines_[static_cast<std::size_t>(n)]->slow = 1;
  if (fault.what == "surge")
    for (const auto r : routers)
      crowds_[static_cast<std::size_t>(site_of_router_[static_cast<std::size_t>(r)])].surge = 1;
  if (fault.what == "drain" || fault.what == "gone")
    for (const auto n : nodes) {
      if (fault.what == "drain") {
        machines_[static_cast<std::size_t>(n)]->drain(false);
        node_is(n, 1, "ready");
      }
      entries_[static_cast<std::size_t>(n)].state = "ready";
      changed(n);
    }
  if (fault.what == "hush")
    for (const auto r : routers) agents_[static_cast<std::size_t>(r)].silent = false;
  if (fault.what == "blind" || fault.what == "stuck")
    for (const auto r : routers) {
      auto& agent = agents_[static_cast<std::size_t>(r)];
      if (!agent.held) continue;
      agent.held.reset();
      if (agent.told == version_) continue;
      agent.told = version_;
      tell_all(r);
      engine_.after(kAgent,
                    [this, r] { processes_[static_cast<std::size_t>(r)]->told(hosts(r, false), true); });
    }
  network_->take(fault);
}

Played Town::play() {
  // Before the day begins they start, and the fronts take them in.
  for (std::size_t r = 0; r < processes_.size(); ++r) start(static_cast<int>(r));
  engine_.run(kLook);
  for (std::size_t r = 0; r < processes_.size(); ++r)
    turns_.set(static_cast<int>(r), true), good_[r] = engine_.now();
  for (std::size_t r = 0; r < processes_.size(); ++r)
    engine_.after(kLook * static_cast<double>(r) / static_cast<double>(processes_.size()),
                  [this, r] { look(static_cast<int>(r)); });
  for (std::size_t s = 0; s < day_.sites.size(); ++s) {
    crowds_[s].due = engine_.now();
    next(static_cast<int>(s));
  }
  for (std::size_t f = 0; f < day_.faults.size(); ++f)
    engine_.at(day_.faults[f].from, [this, f] { begin(f); });
  double longest = 0;
  for (const auto& v : day_.verticals) longest = std::max(longest, v.deadline);
  const auto end = day_.seconds + longest + kTail;
  double worked = 0;
  for (double second = 1; second < end + 1; ++second) {
    engine_.run(std::min(second, end));
    double sum = 0;
    for (const auto& machine : machines_) sum += machine->busy_time();
    const auto at = static_cast<std::size_t>(second) - 1;
    if (at >= played_.moments.size()) played_.moments.resize(at + 1);
    played_.moments[at].worked = sum - std::exchange(worked, sum);
    for (const auto& of : holds_lost_)
      played_.moments[at].lost += std::find(of.begin(), of.end(), true) != of.end();
  }
  over_ = true;
  for (const auto& machine : machines_)
    played_.most_pushed = std::max(played_.most_pushed, machine->most_pushed());
  played_.breaches = checker_.finish();
  played_.connections = network_->opened();
  played_.events = engine_.done();
  played_.service = service_;
  return std::move(played_);
}

}  // namespace yoketurn::emulator
