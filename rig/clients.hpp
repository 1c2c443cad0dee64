// Clients of a site and the front that spreads them over its routers. The front asks each router for its
// health and leaves out a dead one late; where its own site has none left it goes to the next. Clients ask at
// their own pace, whatever comes back, and try again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "days/day.hpp"
#include "days/record.hpp"
#include "days/turns.hpp"

namespace yoketurn::rig {

using namespace days;

class Front {
 public:
  Front(boost::asio::io_context& context, const Day& day, std::vector<boost::asio::ip::tcp::endpoint> routers,
        std::vector<int> sites, std::function<double()> clock);
  int pick(int site) { return turns_.pick(site); }
  const boost::asio::ip::tcp::endpoint& at(int router) const {
    return routers_[static_cast<std::size_t>(router)].at;
  }
  bool in(int router) const { return turns_.in(router); }
  void stop() { stopped_ = true; }

 private:
  struct Seen {
    boost::asio::ip::tcp::endpoint at;
    double good = 0;  // when it last answered well
  };
  void look(std::size_t router);

  boost::asio::io_context& context_;
  const Day& day_;
  std::function<double()> clock_;
  std::vector<Seen> routers_;
  Turns turns_;
  bool stopped_ = false;
};

class Clients {
 public:
  Clients(boost::asio::io_context& context, const Day& day, int site, Front& front,
          std::function<double()> clock, std::function<void(Event)> note);
  ~Clients();
  void stop() { stopped_ = true; }  // asks nothing new
  double surge = 1;                 // times its rate

 private:
  struct Line;
  struct Ask {
    int number = 0, vertical = 0, first = 0;
    double began = 0;
  };
  void next();
  void attempt(const Ask& ask, int tried);
  void ended(const Ask& ask, int tried, int status, double retry_after);
  void drop(int router, const std::shared_ptr<Line>& line);

  boost::asio::io_context& context_;
  const Day& day_;
  int site_;
  Front& front_;
  std::function<double()> clock_;
  std::function<void(Event)> note_;
  std::mt19937 chance_;
  bool stopped_ = false;
  double due_ = 0;  // the next question
  int last_ = 0;
  std::vector<std::vector<std::shared_ptr<Line>>> idle_;  // by router
};

}  // namespace yoketurn::rig
