// Answers who reads the time line, over HTTP on loopback: JSON lines, streamed, in bounded pieces. A reader
// that is slow is waited for with one piece in hand and closed after a while; the loop never waits for it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <set>

#include "queries/due.hpp"
#include "timeline/timeline.hpp"
#include "versions/record.hpp"

namespace yoketurn {

class TimelineServer {
 public:
  using Source = std::function<const Timeline*()>;  // nullptr: there is none now
  using VersionsSource = std::function<VersionsView()>;

  // Throws if it can't listen there.
  TimelineServer(boost::asio::io_context& context, TimerQueue& due, const boost::asio::ip::tcp::endpoint& at,
                 int readers, Source source, VersionsSource versions = {});
  ~TimelineServer();
  boost::asio::ip::tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  void bound(int readers);  // from now on
  int readers() const { return static_cast<int>(readers_.size()); }

 private:
  class Reader;
  void accept();
  void done(const std::shared_ptr<Reader>& reader);

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  TimerQueue& due_;
  int most_;
  Source source_;
  VersionsSource versions_;
  bool accepting_ = false;
  std::set<std::shared_ptr<Reader>> readers_;
};

}  // namespace yoketurn
