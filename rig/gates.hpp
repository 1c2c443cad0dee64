// A way from a party of the rig's to a port of a process, which can be cut: what is connected then hears
// nothing more, and new connections never come up.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace yoketurn::rig {

class Gate {
 public:
  Gate(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& to);
  ~Gate();
  boost::asio::ip::tcp::endpoint at() const { return at_; }
  void cut(bool cut);

 private:
  struct Pair;
  void accept();
  void hold(const std::shared_ptr<Pair>& pair);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint at_, to_;
  bool cut_ = false;
  std::vector<std::weak_ptr<Pair>> pairs_;
  std::vector<std::shared_ptr<Pair>> held_;  // connected while it is cut
};

}  // namespace yoketurn::rig
