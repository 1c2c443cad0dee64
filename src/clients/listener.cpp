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

constexpr std::size_t kMostAsked = 8;  // connections, for unread bytes, before one is closed over them
constexpr int kMostAtOnce = 64;        // clients accepted before other work goes on
constexpr double kAgain = 0.01;        // until accepting is tried again after an error
constexpr double kKept = 2;     // the protocol's: after it a connection without a request may be closed
constexpr double kMute = 0.25;  // in which a client that has a request sends some of it

}  // namespace

Listener::Listener(asio::io_context& context, TimerQueue& due, std::size_t most_connections,
                   std::size_t room_from, Log& log, Asker& asker)
    : context_(context),
      acceptor_(context),
      due_(due),
      due_key_(due.new_key()),
      most_connections_(most_connections),
      room_from_(room_from),
      log_(log),
      asker_(asker) {}

Listener::~Listener() {
  for (const auto& [id, connection] : std::unordered_map(connections_)) connection->close(Shut::stopped);
}

void Listener::open(const asio::ip::tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  acceptor_.non_blocking(true);
  acceptor_.set_option(
      asio::socket_base::enable_connection_aborted(true));  // else accept waits for the next one
  await_client();
}

void Listener::await_client() {
  if (awaiting_ || !acceptor_.is_open()) return;
  awaiting_ = true;
  acceptor_.async_wait(asio::ip::tcp::acceptor::wait_read, [this](const auto& error) {
    if (error == asio::error::operation_aborted) return;
    awaiting_ = false;
    accept();
  });
}

// Takes the clients that wait in the kernel. At the bound they wait there until a connection ends or can make
// room: none that is taken is dropped with a request in it. Room is made long before the bound, as clients
// can hold so many connections and no more: those that ask once and keep theirs would take them all, and
// nobody else could connect.
void Listener::accept() {
  for (int taken = 0; acceptor_.is_open() && taken < kMostAtOnce; ++taken) {
    if (connections_.size() >= most_connections_) {
      if (taken > 0) break;  // whether another waits is not known
      make_room();
      at_bound_ = connections_.size() >= most_connections_;
      if (at_bound_) return;
    }
    asio::ip::tcp::socket socket(context_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::interrupted || error == asio::error::connection_aborted) continue;
    if (is_not_ready(error)) break;
    if (error) {
      asker_.door(What::door_failed, 0, 0, 0, static_cast<double>(connections_.size()), 0);
      log_.line("accept_failed", "why=\"{}\" connections={}", error.message(), connections_.size());
      return accept_at(now() + kAgain);
    }
    if (connections_.size() >= room_from_) make_room();
    admit(std::move(socket));
  }
  await_client();
}

void Listener::accept_at(double at) {
  due_.schedule(due_key_, at, [this](double) { accept(); });
}

void Listener::admit(asio::ip::tcp::socket socket) {
  const auto id = ++last_id_;
  const auto connection =
      std::make_shared<ClientConnection>(std::move(socket), due_, static_cast<Owner&>(*this), id);
  connections_[id] = connection;
  connection->start();
  seen(*connection, What::accepted, static_cast<double>(connections_.size()),
       static_cast<double>(most_connections_));
}

// Connections that wait for a request make room, those first that are least likely to bring one: the ones
// that the protocol lets go, then those that have said nothing yet while others do, then any other. Without
// that order a crowd that only connects would push the usual clients out. One with a request unread in its
// socket is passed by for the next best; only the first few are asked, as that takes a system call each.
void Listener::make_room() {
  std::vector<std::shared_ptr<ClientConnection>> waiting;
  for (const auto& [id, connection] : connections_)
    if (connection->idle() || connection->half_read()) waiting.push_back(connection);
  if (waiting.empty()) return;
  log_.line("client_room", "connections={}", connections_.size());
  const auto rank = [at = now()](const ClientConnection& c) {
    const auto age = at - c.since();
    const auto kind = c.idle() && c.served() ? (age >= kKept ? 0 : 2) : age >= kMute ? 1 : 3;
    return std::pair(kind, c.since());
  };
  const auto asked = waiting.begin() + static_cast<std::ptrdiff_t>(std::min(waiting.size(), kMostAsked));
  std::partial_sort(waiting.begin(), asked, waiting.end(),
                    [&](const auto& a, const auto& b) { return rank(*a) < rank(*b); });
  const auto first = std::find_if(waiting.begin(), asked, [](const auto& c) { return !c->unread(); });
  if (first == asked) return (*std::prev(asked))->close(Shut::room);
  if ((*first)->half_read()) return (*first)->refuse_half(Shut::room, 503, "no room");
  (*first)->close_idle(Shut::room);
}

void Listener::answer(int connection, int status, std::string_view body, double retry_after) {
  const auto at = connections_.find(connection);
  if (at == connections_.end()) return;
  const auto held = at->second;  // an answer may be its last
  held->answer(status, body, retry_after);
}

void Listener::wind_down() {
  winding_down_ = true;
}

void Listener::close_idle() {
  for (const auto& [id, connection] : std::unordered_map(connections_))
    if (connection->idle()) connection->close_idle(Shut::stopped);
}

bool Listener::owes() const {
  return std::any_of(connections_.begin(), connections_.end(), [](const auto& held) {
    const auto& connection = *held.second;
    return (!connection.idle() && !connection.half_read()) || connection.unread();
  });
}

// The kernel has taken the connections that wait to be accepted: a close would reset them with their
// requests.
void Listener::stop() {
  if (!acceptor_.is_open()) return;
  accept();
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  due_.cancel(due_key_);
}

void Listener::asked(ClientConnection& connection, const ClientConnection::Request& request) {
  asker_.asked(connection.id(), request);
}

void Listener::left(ClientConnection& connection) {
  asker_.left(connection.id());
}

void Listener::seen(ClientConnection& connection, What what, double a, double b) {
  // A connection that has its answer can make room for one that waits to be accepted.
  if (what == What::answered && std::exchange(at_bound_, false)) accept_at(now());
  asker_.door(what, 0, connection.id(), connection.address(), a, b);
}

void Listener::closed(ClientConnection& connection) {
  asker_.door(What::shut, static_cast<std::uint8_t>(connection.shut()), connection.id(), connection.address(),
              now() - connection.opened(), connection.answers());
  connections_.erase(connection.id());
  if (std::exchange(at_bound_, false)) accept_at(now());
}

}  // namespace yoketurn
