#include "clients/listener.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "buffers/socket_errors.hpp"
#include "queries/clock.hpp"

namespace yoketurn {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxUnreadChecks = 8;   // connections checked for unread bytes in make_room()
constexpr int kMaxAcceptsPerTurn = 64;        // so that other work gets its turn
constexpr double kAcceptRetrySeconds = 0.01;  // after an error
// The protocol allows to close a connection that has been without a request for so long.
constexpr double kMinIdleSeconds = 2;
constexpr double kFirstByteSeconds = 0.25;  // in which a client with a request usually sends the first of it

// What a connection holds that can be released, the cheapest first. Most requests arrive whole or within
// milliseconds: one that waits for longer is the least likely to be completed in its client's time.
enum class Releasable { partial_request, requests_ahead, unread_answer, nothing };

Releasable releasable(const ClientConnection& connection) {
  if (connection.memory().bytes() == 0) return Releasable::nothing;
  if (connection.has_partial_request()) return Releasable::partial_request;
  if (connection.has_requests_ahead()) return Releasable::requests_ahead;
  if (connection.has_unread_answer()) return Releasable::unread_answer;
  return Releasable::nothing;
}

}  // namespace

ClientListener::ClientListener(asio::io_context& context, TimerQueue& timers, MemoryBudget& memory,
                               std::size_t max_connections, std::size_t make_room_from, Log& log,
                               RequestHandler& handler)
    : context_(context),
      acceptor_(context),
      timers_(timers),
      timer_key_(timers.new_key()),
      memory_(memory),
      max_connections_(max_connections),
      make_room_from_(make_room_from),
      log_(log),
      handler_(handler) {}

ClientListener::~ClientListener() {
  for (const auto& [id, connection] : std::unordered_map(connections_)) connection->close(Shut::stopped);
}

void ClientListener::open(const asio::ip::tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  acceptor_.set_option(
      asio::socket_base::enable_connection_aborted(true));  // otherwise accept blocks until the next one
  wait_for_client();
}

void ClientListener::wait_for_client() {
  if (accept_pending_ || !acceptor_.is_open()) return;
  accept_pending_ = true;
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const auto& error) {
    if (error == asio::error::operation_aborted) return;
    accept_pending_ = false;
    accept();
  });
}

// Accepts the clients in the kernel's queue. At the limit they wait there until a connection ends or becomes
// idle, so that no accepted connection is dropped with a request in it. Room is made long before the limit:
// otherwise clients that send one request and keep their connection open would occupy all of them, and nobody
// else could connect.
void ClientListener::accept() {
  for (int accepted = 0; acceptor_.is_open() && accepted < kMaxAcceptsPerTurn; ++accepted) {
    if (connections_.size() >= max_connections_) {
      if (accepted > 0) break;  // unknown whether another one waits
      const auto result = make_room(Ranks::all);
      at_limit_ = connections_.size() >= max_connections_;
      if (at_limit_ && result == RoomResult::unread) return accept_later(now() + kAcceptRetrySeconds);
      if (at_limit_) return;
    }
    asio::ip::tcp::socket socket(context_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::interrupted || error == asio::error::connection_aborted) continue;
    if (would_block(error)) break;
    if (error) {
      handler_.ingress_event(What::door_failed, 0, 0, 0, static_cast<double>(connections_.size()), 0);
      log_.line("accept_failed", "why=\"{}\" connections={}", error.message(), connections_.size());
      return accept_later(now() + kAcceptRetrySeconds);
    }
    if (connections_.size() >= make_room_from_) make_room(Ranks::except_new);
    admit(std::move(socket));
  }
  wait_for_client();
}

void ClientListener::accept_later(double at) {
  timers_.schedule(timer_key_, at, [this](double) { accept(); });
}

void ClientListener::admit(asio::ip::tcp::socket socket) {
  const auto id = ++last_id_;
  const auto connection =
      std::make_shared<ClientConnection>(std::move(socket), timers_, memory_, static_cast<Owner&>(*this), id);
  connections_[id] = connection;
  connection->start();
  connection_event(*connection, What::accepted, static_cast<double>(connections_.size()),
                   static_cast<double>(max_connections_));
}

// What speaks against closing a connection that waits for a request, least first: answered connections idle
// for longer than the protocol guarantees, then those without a complete request although most clients would
// have sent one by now, then other answered ones, then new ones. Without this order a crowd of clients that
// only connect would push out the clients at work.
ClientListener::Rank ClientListener::rank_of(const ClientConnection& connection, double now) {
  const auto age = now - connection.waiting_since();
  if (connection.idle() && connection.has_answered())
    return age >= kMinIdleSeconds ? Rank::idle_for_long : Rank::idle;
  return age >= kFirstByteSeconds ? Rank::late_request : Rank::just_connected;
}

// Closes one connection that waits for a request, by its rank. A connection with unread bytes in its socket,
// possibly a request, is skipped for the next best; only the first few are checked, as each check is a system
// call.
ClientListener::RoomResult ClientListener::make_room(Ranks ranks) {
  struct Candidate {
    Rank rank;
    double waiting_since;
    std::shared_ptr<ClientConnection> connection;
  };
  std::vector<Candidate> candidates;
  for (const auto at = now(); const auto& [id, connection] : connections_) {
    if (!connection->idle() && !connection->has_partial_request()) continue;
    const auto rank = rank_of(*connection, at);
    if (ranks == Ranks::except_new && rank == Rank::just_connected) continue;
    candidates.push_back({rank, connection->waiting_since(), connection});
  }
  const auto checked_end =
      candidates.begin() + static_cast<std::ptrdiff_t>(std::min(candidates.size(), kMaxUnreadChecks));
  std::partial_sort(candidates.begin(), checked_end, candidates.end(), [](const auto& a, const auto& b) {
    return std::pair(a.rank, a.waiting_since) < std::pair(b.rank, b.waiting_since);
  });
  const auto chosen = std::find_if(candidates.begin(), checked_end,
                                   [](const auto& c) { return !c.connection->has_unread_bytes(); });
  if (chosen == checked_end) return candidates.empty() ? RoomResult::none : RoomResult::unread;
  log_.line("client_room", "connections={}", connections_.size());
  if (chosen->connection->has_partial_request()) {
    chosen->connection->reject_partial_request(Shut::room, 503, "no room");
  } else {
    chosen->connection->close_idle(Shut::room);
  }
  return RoomResult::made;
}

bool ClientListener::release_memory(const MemoryBudget::Share& asking) {
  std::shared_ptr<ClientConnection> chosen;
  std::pair chosen_order(Releasable::nothing, 0.0);
  for (const auto& [id, connection] : connections_) {
    const std::pair order(releasable(*connection), connection->last_progress_at());
    if (order >= chosen_order || &connection->memory() == &asking) continue;
    chosen = connection;
    chosen_order = order;
  }
  if (!chosen) return false;
  log_.line("memory_full", "connection={} bytes={} held={} most={}", chosen->id(), chosen->memory().bytes(),
            memory_.held(), memory_.limit());
  return chosen->release_memory();
}

void ClientListener::answer(int connection, int status, std::string_view body, double retry_after) {
  const auto at = connections_.find(connection);
  if (at == connections_.end()) return;
  const auto connection_ptr = at->second;  // keeps it alive: the answer may end the connection
  connection_ptr->answer(status, body, retry_after);
}

void ClientListener::close_after_answers() {
  closing_after_answers_ = true;
}

void ClientListener::close_idle() {
  for (const auto& [id, connection] : std::unordered_map(connections_))
    if (connection->idle()) connection->close_idle(Shut::stopped);
}

bool ClientListener::has_unfinished_work() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& entry) {
    const auto& connection = *entry.second;
    return (!connection.idle() && !connection.has_partial_request()) || connection.has_unread_bytes();
  });
}

// The kernel has already completed the connections that wait to be accepted: closing the acceptor would reset
// them together with their requests.
void ClientListener::stop() {
  if (!acceptor_.is_open()) return;
  accept();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  timers_.cancel(timer_key_);
}

void ClientListener::request_received(ClientConnection& connection, const ClientConnection::Request& request,
                                      double received_at) {
  handler_.request_received(connection.id(), request, received_at);
}

void ClientListener::client_disconnected(ClientConnection& connection) {
  handler_.client_disconnected(connection.id());
}

void ClientListener::connection_event(ClientConnection& connection, What what, double a, double b) {
  // A connection that has its answer is idle and can make room for one that waits to be accepted.
  if (what == What::answered && std::exchange(at_limit_, false)) accept_later(now());
  handler_.ingress_event(what, 0, connection.id(), connection.address(), a, b);
}

void ClientListener::connection_closed(ClientConnection& connection) {
  handler_.ingress_event(What::shut, static_cast<std::uint8_t>(connection.close_reason()), connection.id(),
                         connection.address(), now() - connection.opened_at(), connection.answer_count());
  log_if_ended_by_router(connection);
  connections_.erase(connection.id());
  if (std::exchange(at_limit_, false)) accept_later(now());
}

// A client that is told nothing, or an error for a part of its request, asks why.
void ClientListener::log_if_ended_by_router(const ClientConnection& connection) {
  const auto reason = connection.close_reason();
  if (reason == Shut::by_client || reason == Shut::answered || reason == Shut::stopped) return;
  log_.line("client_closed", "connection={} why={} age={:.3f} waited={:.3f} answers={} in_hand={}",
            connection.id(), why_name(What::shut, static_cast<std::uint8_t>(reason)),
            now() - connection.opened_at(), now() - connection.waiting_since(), connection.answer_count(),
            connections_.size());
}

}  // namespace yoketurn
