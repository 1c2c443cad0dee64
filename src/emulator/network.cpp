#include "emulator/network.hpp"

#include <algorithm>
#include <utility>

#include "days/terms.hpp"

namespace yoketurn::emulator {

namespace {

constexpr double kLoop = 0.0001;  // one way at the least
constexpr std::size_t kMostHeld = 200'000;

std::vector<bool> among(std::size_t many, const std::vector<int>& members) {
  std::vector<bool> result(many);
  for (const auto one : members) result[static_cast<std::size_t>(one)] = true;
  return result;
}

std::vector<int> sites(const days::Day& day, int days::SiteOf::*count) {
  std::vector<int> result;
  for (std::size_t s = 0; s < day.sites.size(); ++s)
    result.insert(result.end(), static_cast<std::size_t>(day.sites[s].*count), static_cast<int>(s));
  return result;
}

}  // namespace

std::vector<int> sites_of_routers(const days::Day& day) {
  return sites(day, &days::SiteOf::routers);
}

std::vector<int> sites_of_nodes(const days::Day& day) {
  return sites(day, &days::SiteOf::nodes);
}

Network::Network(Engine& engine, const days::Day& day, Flights& flights, Ends ends)
    : engine_(engine),
      day_(day),
      flights_(flights),
      ends_(std::move(ends)),
      chance_(chance_of(day.seed, Stream::network, 0)),
      nodes_(day.nodes()),
      site_of_router_(sites_of_routers(day)),
      site_of_node_(sites_of_nodes(day)),
      connections_(static_cast<std::size_t>(day.routers()) * static_cast<std::size_t>(nodes_)) {}

Network::Connection& Network::at(int router, int node) {
  return connections_[static_cast<std::size_t>(router) * static_cast<std::size_t>(nodes_) +
                      static_cast<std::size_t>(node)];
}

double Network::delay_between(int router, int node) const {
  const auto near =
      site_of_router_[static_cast<std::size_t>(router)] == site_of_node_[static_cast<std::size_t>(node)];
  return kLoop + (near ? 0 : day_.cross);
}

Way Network::way(int router, int node) const {
  Way way;
  way.delay = delay_between(router, node);
  if (!ends_.reachable(node)) way.to_node = way.from_node = false;
  const auto r = static_cast<std::size_t>(router), n = static_cast<std::size_t>(node);
  for (const auto& link : links_) {
    const auto hit = (link.of_routers[r] && link.to_nodes[n]) || (link.to_routers[r] && link.of_nodes[n]);
    if (!hit || (link.cut && site_of_router_[r] == site_of_node_[n])) continue;
    const auto& what = link.fault->what;
    if (what == "silent" || what == "deaf") way.to_node = false;
    if (what == "silent" || what == "dumb") way.from_node = false;
    if (what == "refuse") way.refused = true;
    if (what == "delay") way.delay += link.fault->amount;
    if (what == "lose_answers") way.lost = std::max(way.lost, link.fault->amount);
  }
  return way;
}

// --- connections

void Network::open(int router, int node) {
  auto& c = at(router, node);
  ++c.number;
  ++opened_;
  c.state = Connection::State::opening;
  c.out = static_cast<float>(c.waiting.size());
  const auto link = way(router, node);
  const auto silent = !link.to_node || !link.from_node;
  const auto takes = silent ? days::kConnectTimeout : 2 * link.delay;
  const auto works = !silent && !link.refused;
  engine_.after(takes, [this, router, node, number = c.number, works] {
    auto& opening = at(router, node);
    if (opening.number != number || opening.state != Connection::State::opening) return;
    if (!works) return fail(router, node);
    opening.state = Connection::State::open;
    opening.heard = opening.used = engine_.now();
    for (const auto part : std::exchange(opening.waiting, {})) write(part);
  });
}

void Network::open_ahead(int router, int node) {
  if (at(router, node).state == Connection::State::none) open(router, node);
}

// What waits for it was never sent.
void Network::fail(int router, int node) {
  auto& c = at(router, node);
  c.state = Connection::State::none;
  for (const auto part : std::exchange(c.waiting, {}))
    if (const auto* flight = flights_.get(part); flight != nullptr && flight->wanted)
      ends_.at_router(part, Outcome::unreachable);
}

void Network::reset(const std::function<bool(int router, int node)>& which) {
  for (int router = 0; router < day_.routers(); ++router)
    for (int node = 0; node < nodes_; ++node)
      if (which(router, node)) {
        fail(router, node);
        ++at(router, node).number;
      }
  std::vector<FlightRef> broken;
  flights_.each([&](FlightRef part, Flight& flight) {
    if (!flight.written || flight.connection == 0 || !which(flight.router, flight.node)) return;
    flight.connection = 0;  // what is on its way is gone with the connection
    if (flight.wanted) broken.push_back(part);
  });
  // What a router does on hearing of one may end another.
  for (const auto part : broken)
    if (const auto* flight = flights_.get(part); flight != nullptr && flight->wanted)
      ends_.at_router(part, Outcome::disconnected);
}

void Network::reset_router(int router) {
  for (int node = 0; node < nodes_; ++node) {
    auto& c = at(router, node);
    c.state = Connection::State::none;
    c.waiting.clear();
    ++c.number;
  }
}

// --- parts

void Network::send(FlightRef part) {
  auto& flight = *flights_.get(part);
  auto& c = at(flight.router, flight.node);
  const auto now = engine_.now();
  const auto stale = c.state == Connection::State::open && c.out <= 0 &&
                     now >= c.used + days::kIdleTimeout - days::kConnectTimeout;
  if (c.state == Connection::State::none || stale) open(flight.router, flight.node);
  flight.connection = c.number;
  c.used = now;
  ++c.out;
  if (c.state == Connection::State::opening)
    c.waiting.push_back(part);
  else
    write(part);
}

void Network::write(FlightRef part) {
  auto* flight = flights_.get(part);
  if (flight == nullptr || !flight->wanted) return;
  flight->written = true;
  ends_.written(part);
  pass(part, true, Outcome::pending);
}

// A part to its node, or its end to its router.
void Network::pass(FlightRef part, bool to_node, Outcome outcome) {
  auto& flight = *flights_.get(part);
  const auto link = way(flight.router, flight.node);
  ++flight.moves;
  if (to_node ? !link.to_node : !link.from_node) {
    if (held_.size() < kMostHeld) return held_.push_back({part, to_node, outcome});
    --flight.moves;
    return flights_.let_go(part);
  }
  engine_.after(link.delay, [this, part, to_node, outcome] { arrive(part, to_node, outcome); });
}

void Network::arrive(FlightRef part, bool to_node, Outcome outcome) {
  auto* flight = flights_.get(part);
  if (flight == nullptr) return;
  --flight->moves;
  if (flight->connection == 0) return flights_.let_go(part);
  if (to_node) {
    ends_.at_node(part);
    return flights_.let_go(part);
  }
  auto& c = at(flight->router, flight->node);
  if (c.number == flight->connection) {
    c.heard = c.used = engine_.now();
    if (!flight->wanted) c.out = std::max(c.out - 1, 0.0F);
  }
  if (flight->wanted) {
    if (c.number == flight->connection) c.out = std::max(c.out - 1, 0.0F);
    ends_.at_router(part, outcome);
  }
  flights_.let_go(part);
}

void Network::answer(FlightRef part, Outcome outcome) {
  const auto& flight = *flights_.get(part);
  const auto lost = way(flight.router, flight.node).lost;
  if (lost > 0 && std::uniform_real_distribution<>(0, 1)(chance_) < lost) return;
  pass(part, false, outcome);
}

bool Network::unsend(FlightRef part) {
  auto* flight = flights_.get(part);
  if (flight == nullptr || flight->written) return false;
  auto& c = at(flight->router, flight->node);
  std::erase(c.waiting, part);
  c.out = std::max(c.out - 1, 0.0F);
  flight->wanted = false;
  flights_.let_go(part);
  return true;
}

bool Network::give_up(FlightRef part) {
  if (unsend(part)) return false;
  auto* given = flights_.get(part);
  if (given == nullptr) return true;
  auto& flight = *given;
  flight.wanted = false;
  auto& c = at(flight.router, flight.node);
  // As the router's pool does: a connection on which nothing was heard since takes nothing new.
  if (c.number == flight.connection && c.state == Connection::State::open && c.heard < flight.sent)
    open(flight.router, flight.node);
  const auto link = way(flight.router, flight.node);
  if (link.to_node) {
    ++flight.moves;
    engine_.after(link.delay, [this, part] {
      auto* there = flights_.get(part);
      if (there == nullptr) return;
      --there->moves;
      if (there->there) ends_.given_up_at_node(part);
      flights_.let_go(part);
    });
  }
  flights_.let_go(part);
  return true;
}

// --- faults

void Network::put(const days::Fault& fault) {
  const auto routers = static_cast<std::size_t>(day_.routers()), nodes = static_cast<std::size_t>(nodes_);
  const auto to = fault.to.empty() ? std::string("all") : fault.to;
  links_.push_back({&fault, among(routers, routers_of(day_, fault.of)),
                    among(nodes, nodes_of(day_, fault.of)), among(routers, routers_of(day_, to)),
                    among(nodes, nodes_of(day_, to)), fault.to.empty() && fault.of.starts_with("site:")});
  if (fault.what == "refuse") reset([this](int r, int n) { return way(r, n).refused; });
}

void Network::take(const days::Fault& fault) {
  std::erase_if(links_, [&](const Link& link) { return link.fault == &fault; });
  // What was written meanwhile comes now, where the way carries again.
  for (const auto& held : std::exchange(held_, {})) {
    auto* flight = flights_.get(held.part);
    if (flight == nullptr) continue;
    --flight->moves;
    if (flight->connection == 0)
      flights_.let_go(held.part);
    else
      pass(held.part, held.to_node, held.outcome);
  }
}

}  // namespace yoketurn::emulator
