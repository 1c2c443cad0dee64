#include "datanodes/pool.hpp"

#include <algorithm>

#include "queries/clock.hpp"

namespace yoketurn {

ConnectionPool::ConnectionPool(boost::asio::io_context& context, TimerQueue& timers,
                               const NodeConnection::Limits& limits, std::size_t max_connections,
                               MemoryBudget& memory, Log& log, Listener& listener)
    : context_(context),
      timers_(timers),
      limits_(limits),
      max_connections_(max_connections),
      memory_(memory),
      log_(log),
      listener_(listener) {}

ConnectionPool::~ConnectionPool() {
  for (auto& node : nodes_)
    for (const auto& connection : std::vector(node.connections))
      connection->close(Closing::stopped, "stopped");
}

void ConnectionPool::set_node(int node, const boost::asio::ip::tcp::endpoint& endpoint, double started_at,
                              bool up) {
  if (nodes_.size() <= static_cast<std::size_t>(node)) nodes_.resize(static_cast<std::size_t>(node) + 1);
  auto& known = nodes_[static_cast<std::size_t>(node)];
  // A draining node is sent nothing more, not even the parts that wait for a connection to be established.
  if (!up) retire_connections(node);
  // An index is reused only after all connections of its previous node are closed.
  if (known.endpoint == endpoint && known.started_at == started_at) return;
  known.endpoint = endpoint;
  known.started_at = started_at;
  retire_connections(node);  // they lead to a process that has ended
  if (up) open_in_advance(node);
}

// The first part on a new connection waits for the handshake, and a cancellation can't overtake it: the node
// would start on the part after its query has been answered. So a connection is opened before there is a part
// for it, unless half of the allowed connections are open already.
void ConnectionPool::open_in_advance(int node) {
  if (2 * connection_count_ < max_connections_) open(node);
}

void ConnectionPool::retire_connections(int node) {
  if (static_cast<std::size_t>(node) >= nodes_.size()) return;
  for (const auto& connection : std::vector(nodes_[static_cast<std::size_t>(node)].connections)) {
    connection->retire();
    check_delivery_later(connection, connection->written_bytes(), now());
  }
}

bool ConnectionPool::has_connection(int node) const {
  return static_cast<std::size_t>(node) < nodes_.size() &&
         !nodes_[static_cast<std::size_t>(node)].connections.empty();
}

void ConnectionPool::send(int node, int group, OutgoingPart part, double timeout, double send_timeout) {
  const auto ref = part.ref;
  auto& call = pending_calls_[ref];
  call.id = part.id;
  call.timeout_timer = timers_.new_key();
  const auto at = now();
  part.expires_at = at + timeout;
  part.send_deadline = at + std::min(send_timeout, timeout);
  timers_.schedule(call.timeout_timer, part.expires_at,
                   [this, ref](double) { cancel(ref, Outcome::timed_out); });
  // The connection may be established, or have room for the parts in its queue, only after the window of a
  // deduplicated part is over.
  if (send_timeout < timeout) {
    call.send_timer = timers_.new_key();
    timers_.schedule(call.send_timer, part.send_deadline, [this, ref](double t) { on_send_timeout(ref, t); });
  }
  queued_parts_[{node, group}].push_back(std::move(part));
}

void ConnectionPool::flush() {
  const auto at = now();
  for (auto& [node_and_group, parts] : std::exchange(queued_parts_, {})) {
    const auto node = node_and_group.first;
    std::erase_if(parts, [&](const OutgoingPart& part) { return !pending_calls_.contains(part.ref); });
    if (parts.empty()) continue;
    const auto connection = connection_for(node, parts, at);
    if (!connection) {
      log_.line("no_connection", "node={} open={}", node, connection_count_);
      listener_.connection_limit_reached();
      for (const auto& part : parts) call_ended(part.ref, Outcome::unsent, 0, {});
      continue;
    }
    for (const auto& part : parts) pending_calls_[part.ref].connection = connection;
    connection->send(std::move(parts), at);
  }
}

std::shared_ptr<NodeConnection> ConnectionPool::connection_for(int node, std::span<const OutgoingPart> parts,
                                                               double now) {
  auto& known = nodes_.at(static_cast<std::size_t>(node));
  for (const auto& connection : known.connections)
    if (connection->can_send(parts, now)) return connection;
  if (connection_count_ >= max_connections_ && !close_least_recently_used()) return nullptr;
  return open(node);
}

std::shared_ptr<NodeConnection> ConnectionPool::open(int node) {
  auto& known = nodes_.at(static_cast<std::size_t>(node));
  const auto connection =
      std::make_shared<NodeConnection>(context_, timers_, limits_, memory_, static_cast<Owner&>(*this), node);
  known.connections.push_back(connection);
  ++connection_count_;
  connection->open(known.endpoint);
  return connection;
}

bool ConnectionPool::close_least_recently_used() {
  std::shared_ptr<NodeConnection> oldest;
  for (const auto& node : nodes_)
    for (const auto& connection : node.connections)
      if (connection->idle() && (!oldest || connection->last_used() < oldest->last_used()))
        oldest = connection;
  if (!oldest) return false;
  oldest->close(Closing::room, "room");
  return true;
}

void ConnectionPool::cancel(const CallRef& ref, Outcome outcome) {
  const auto pending = pending_calls_.find(ref);
  if (pending == pending_calls_.end()) return;
  const auto connection = pending->second.connection.lock();
  const auto id = pending->second.id;  // a copy: closing the connection may erase the pending call
  if (connection && !connection->withdraw(id)) {
    const auto node = connection->node();
    const auto frame_end = connection->frame_end(id);
    if (connection->cancel(id)) open_in_advance(node);
    check_delivery_later(connection, frame_end, now());
  } else {
    outcome = outcome == Outcome::timed_out ? Outcome::unreachable : Outcome::unsent;
  }
  call_ended(ref, outcome, 0, {});
}

void ConnectionPool::withdraw(const CallRef& ref) {
  const auto pending = pending_calls_.find(ref);
  if (pending == pending_calls_.end()) return;
  const auto connection = pending->second.connection.lock();
  const auto id = pending->second.id;  // a copy: closing the connection may erase the pending call
  if (!connection || connection->withdraw(id)) call_ended(ref, Outcome::unsent, 0, {});
}

void ConnectionPool::on_send_timeout(const CallRef& ref, double now) {
  withdraw(ref);
  const auto pending = pending_calls_.find(ref);
  if (pending == pending_calls_.end()) return;
  if (const auto connection = pending->second.connection.lock())
    take_back_if_unread(connection, connection->frame_end(pending->second.id), now);
}

// Call when a written part must not start any more. May close the connection at once, and end its calls.
void ConnectionPool::take_back_if_unread(const std::shared_ptr<NodeConnection>& connection,
                                         std::uint64_t frame_end, double now) {
  check_delivery_later(connection, frame_end, now);
  connection->close_unless_heard_soon();
}

// The kernel may hold a part for a node that takes nothing. It would deliver it whenever the node comes back,
// though its client has left, its query has its answer, or nodes no longer drop repeats of it.
void ConnectionPool::check_delivery_later(const std::shared_ptr<NodeConnection>& connection,
                                          std::uint64_t frame_end, double now) {
  if (!connection->is_undelivered(frame_end)) return;
  timers_.schedule(
      timers_.new_key(), now + kDeliverySeconds, [weak = std::weak_ptr(connection), frame_end](double) {
        const auto still_open = weak.lock();
        if (still_open && still_open->is_undelivered(frame_end))
          still_open->close(Closing::broken, "the node takes nothing, and a part is not wanted any more");
      });
}

void ConnectionPool::on_query_ended(long long query) {
  std::vector<CallRef> calls;
  for (auto pending = pending_calls_.lower_bound({query, 0, 0});
       pending != pending_calls_.end() && pending->first.query == query; ++pending)
    calls.push_back(pending->first);
  for (const auto& ref : calls) {
    withdraw(ref);
    const auto pending = pending_calls_.find(ref);
    if (pending == pending_calls_.end()) continue;
    const auto connection = pending->second.connection.lock();
    if (connection) take_back_if_unread(connection, connection->frame_end(pending->second.id), now());
  }
}

void ConnectionPool::call_ended(const CallRef& ref, Outcome outcome, double score, std::string_view value) {
  const auto pending = pending_calls_.find(ref);
  if (pending == pending_calls_.end()) return;
  timers_.cancel(pending->second.timeout_timer);
  if (pending->second.send_timer != 0) timers_.cancel(pending->second.send_timer);
  pending_calls_.erase(pending);
  listener_.call_ended(ref, outcome, score, value);
}

void ConnectionPool::request_loads() {
  const auto at = now();
  for (const auto& node : nodes_)
    for (const auto& connection : node.connections)
      if (connection->request_load(at)) {
        listener_.load_requested(connection->node());
        break;
      }
}

void ConnectionPool::opened(NodeConnection& connection, double connect_seconds) {
  listener_.connection_opened(connection.node(), connect_seconds);
}

void ConnectionPool::load_reported(NodeConnection& connection, std::string_view report, double requested_at) {
  listener_.load_reported(connection.node(), report, requested_at);
}

void ConnectionPool::closed(NodeConnection& connection, Closing reason, std::string_view message) {
  --connection_count_;
  listener_.connection_closed(connection.node(), reason);
  std::erase_if(nodes_[static_cast<std::size_t>(connection.node())].connections,
                [&](const auto& other) { return other.get() == &connection; });
  if (reason != Closing::idle) log_.line("node_closed", "node={} why=\"{}\"", connection.node(), message);
}

}  // namespace yoketurn
