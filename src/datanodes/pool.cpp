#include "datanodes/pool.hpp"

#include <algorithm>

#include "queries/clock.hpp"

namespace yoketurn {

Pool::Pool(boost::asio::io_context& context, TimerQueue& due, const NodeConnection::Limits& limits,
           std::size_t most_connections, Log& log, Listener& listener)
    : context_(context),
      due_(due),
      limits_(limits),
      most_connections_(most_connections),
      log_(log),
      listener_(listener) {}

Pool::~Pool() {
  for (auto& node : nodes_)
    for (const auto& connection : std::vector(node.connections))
      connection->close(Closing::stopped, "stopped");
}

void Pool::locate(int node, const boost::asio::ip::tcp::endpoint& at, double born, bool up) {
  if (nodes_.size() <= static_cast<std::size_t>(node)) nodes_.resize(static_cast<std::size_t>(node) + 1);
  auto& known = nodes_[static_cast<std::size_t>(node)];
  if (!up) leave(node);  // a draining node is sent nothing more, not even what waits for a connection to it
  if (known.at == at && known.born == born) return;  // of a number's former node nothing is open any more
  known.at = at;
  known.born = born;
  leave(node);  // what is open leads to a process that is no more
  if (up) open_ahead(node);
}

// A new connection keeps its first part for as long as its handshake takes, and no giving up can overtake
// that: the part would be taken up after its query has had its answer. So it is opened before there is a part
// for it.
void Pool::open_ahead(int node) {
  if (2 * open_ < most_connections_) open(node);
}

void Pool::leave(int node) {
  if (static_cast<std::size_t>(node) >= nodes_.size()) return;
  for (const auto& connection : std::vector(nodes_[static_cast<std::size_t>(node)].connections))
    connection->retire();
}

bool Pool::holds(int node) const {
  return static_cast<std::size_t>(node) < nodes_.size() &&
         !nodes_[static_cast<std::size_t>(node)].connections.empty();
}

void Pool::send(int node, int group, OutgoingPart part, double timeout, double by) {
  const auto ref = part.ref;
  auto& out = out_[ref];
  out.id = part.id;
  out.due = due_.new_key();
  const auto at = now();
  part.expires = at + timeout;
  part.send_by = at + std::min(by, timeout);
  due_.schedule(out.due, part.expires, [this, ref](double) { give_up(ref, Outcome::timed_out); });
  // A connection may come up, or take what waits for it, when the time for a deduplicated part is over.
  if (by < timeout) {
    out.by = due_.new_key();
    due_.schedule(out.by, part.send_by, [this, ref](double) { withdraw(ref); });
  }
  turn_[{node, group}].push_back(std::move(part));
}

void Pool::flush() {
  const auto at = now();
  for (auto& [where, parts] : std::exchange(turn_, {})) {
    std::erase_if(parts, [&](const OutgoingPart& part) { return !out_.contains(part.ref); });
    if (parts.empty()) continue;
    const auto connection = connection_for(where.first, parts, at);
    if (!connection) {
      log_.line("no_connection", "node={} open={}", where.first, open_);
      listener_.no_room();
      for (const auto& part : parts) ended(part.ref, Outcome::unsent, 0, {});
      continue;
    }
    for (const auto& part : parts) out_[part.ref].connection = connection;
    connection->send(std::move(parts), at);
  }
}

std::shared_ptr<NodeConnection> Pool::connection_for(int node, std::span<const OutgoingPart> parts,
                                                     double now) {
  auto& known = nodes_.at(static_cast<std::size_t>(node));
  for (const auto& connection : known.connections)
    if (connection->takes(parts, now)) return connection;
  if (open_ >= most_connections_ && !make_room()) return nullptr;
  return open(node);
}

std::shared_ptr<NodeConnection> Pool::open(int node) {
  auto& known = nodes_.at(static_cast<std::size_t>(node));
  const auto fresh =
      std::make_shared<NodeConnection>(context_, due_, limits_, static_cast<Owner&>(*this), node);
  known.connections.push_back(fresh);
  ++open_;
  fresh->open(known.at);
  return fresh;
}

bool Pool::make_room() {
  std::shared_ptr<NodeConnection> oldest;
  for (const auto& node : nodes_)
    for (const auto& connection : node.connections)
      if (connection->idle() && (!oldest || connection->last_used() < oldest->last_used()))
        oldest = connection;
  if (!oldest) return false;
  oldest->close(Closing::room, "room");
  return true;
}

void Pool::give_up(const CallRef& ref, Outcome outcome) {
  const auto at = out_.find(ref);
  if (at == out_.end()) return;
  const auto connection = at->second.connection.lock();
  const auto id = at->second.id;  // the connection may close, and end its calls
  if (connection && !connection->unsend(id)) {
    const auto node = connection->node();
    if (connection->give_up(id)) open_ahead(node);
  } else {
    outcome = outcome == Outcome::timed_out ? Outcome::unreachable : Outcome::unsent;
  }
  ended(ref, outcome, 0, {});
}

void Pool::withdraw(const CallRef& ref) {
  const auto at = out_.find(ref);
  if (at == out_.end()) return;
  const auto connection = at->second.connection.lock();
  const auto id = at->second.id;  // the connection may close, and end its calls
  if (!connection || connection->unsend(id)) ended(ref, Outcome::unsent, 0, {});
}

void Pool::drop_unsent(long long query) {
  std::vector<CallRef> calls;
  for (auto at = out_.lower_bound({query, 0, 0}); at != out_.end() && at->first.query == query; ++at)
    calls.push_back(at->first);
  for (const auto& ref : calls) withdraw(ref);
}

void Pool::ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) {
  const auto at = out_.find(ref);
  if (at == out_.end()) return;
  due_.cancel(at->second.due);
  if (at->second.by != 0) due_.cancel(at->second.by);
  out_.erase(at);
  listener_.call_ended(ref, outcome, score, value);
}

void Pool::ask_loads() {
  const auto at = now();
  for (const auto& node : nodes_)
    for (const auto& connection : node.connections)
      if (connection->ask_load(at)) {
        listener_.load_asked(connection->node());
        break;
      }
}

void Pool::opened(NodeConnection& connection, double took) {
  listener_.connected(connection.node(), took);
}

void Pool::reported(NodeConnection& connection, std::string_view report, double asked) {
  listener_.reported(connection.node(), report, asked);
}

void Pool::closed(NodeConnection& connection, Closing closing, std::string_view why) {
  --open_;
  listener_.disconnected(connection.node(), closing);
  std::erase_if(nodes_[static_cast<std::size_t>(connection.node())].connections,
                [&](const auto& held) { return held.get() == &connection; });
  if (closing != Closing::idle) log_.line("node_closed", "node={} why=\"{}\"", connection.node(), why);
}

}  // namespace yoketurn
