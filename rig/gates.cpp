#include "rig/gates.hpp"

#include <array>
#include <boost/asio/write.hpp>

namespace yoketurn::rig {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Two sockets, each read into the other.
struct Gate::Pair : std::enable_shared_from_this<Gate::Pair> {
  Pair(tcp::socket accepted, asio::io_context& context) : ends{std::move(accepted), tcp::socket(context)} {}
  std::array<tcp::socket, 2> ends;
  std::array<std::array<char, 16384>, 2> bytes{};
  bool cut = false;

  void start(const tcp::endpoint& to) {
    ends[1].async_connect(to, [self = shared_from_this()](const auto& error) {
      if (error) return self->close();
      self->carry(0);
      self->carry(1);
    });
  }
  void carry(std::size_t from) {
    ends[from].async_read_some(
        asio::buffer(bytes[from]), [self = shared_from_this(), from](const auto& error, auto many) {
          if (self->cut) return;
          if (error) return self->close();
          asio::async_write(self->ends[1 - from], asio::buffer(self->bytes[from].data(), many),
                            [self, from](const auto& failed, auto) {
                              if (self->cut) return;
                              failed ? self->close() : self->carry(from);
                            });
        });
  }
  void close() {
    boost::system::error_code ignored;
    for (auto& end : ends) end.close(ignored);
  }
};

Gate::Gate(asio::io_context& context, const tcp::endpoint& to)
    : context_(context),
      acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
      at_(acceptor_.local_endpoint()),
      to_(to) {
  accept();
}

Gate::~Gate() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& one : pairs_)
    if (const auto pair = one.lock()) pair->close();
}

void Gate::hold(const std::shared_ptr<Pair>& pair) {
  pair->cut = true;
  held_.push_back(pair);
}

// While it is cut new connections are taken and left alone, as far as those who connect can tell.
void Gate::cut(bool cut) {
  cut_ = cut;
  if (!cut) held_.clear();
  for (const auto& one : pairs_)
    if (const auto pair = one.lock()) {
      if (cut)
        hold(pair);
      else
        pair->close();
    }
}

void Gate::accept() {
  acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
    if (error) return;
    std::erase_if(pairs_, [](const auto& one) { return one.expired(); });
    const auto pair = std::make_shared<Pair>(std::move(socket), context_);
    pairs_.push_back(pair);
    if (cut_)
      hold(pair);
    else
      pair->start(to_);
    accept();
  });
}

}  // namespace yoketurn::rig
