// Follows routers: asks their readers over HTTP, reads on in their log files. What comes is handed over as it
// is read; what does not come is told as missing. Bounded in time and size for each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "audit/account.hpp"
#include "fleet/roll.hpp"

namespace yoketurn::fleet {

class Follower {
 public:
  struct Hands {
    std::function<void(const audit::Seen&)> seen;
    std::function<void(const std::string& router, double began, const ReportedInterval&)> interval;
    std::function<void(const std::string& router, double at)> missed;
  };
  Follower(boost::asio::io_context& context, const Roll& roll, Hands hands);
  ~Follower();

  // Asks all that are not being asked, and reads on in the logs. `then` when each has answered or missed.
  void round(std::function<void()> then);

 private:
  struct Poll;
  struct Tail;
  void over();

  boost::asio::io_context& context_;
  const Roll& roll_;
  Hands hands_;
  struct From {
    double began = 0;
    std::uint64_t since = 0;
  };
  std::map<std::string, From> from_;  // what is known of each router's intervals
  std::vector<std::unique_ptr<Tail>> tails_;
  int asked_ = 0;
  std::function<void()> then_;
};

// What log lines of a router tell; the state between two lines is kept by the caller.
struct LogReader {
  VersionReport stand;
  bool begun = false;
  std::vector<ReportedInterval> take(std::string_view line);  // intervals that closed with it
};

// Unix time as it was when this program began, and the monotonic time since then: a wall clock that is
// stepped meanwhile moves no wait and no age.
double unix_now();
// By how much the wall clock has been stepped since the program began, in seconds.
double program_clock_behind();

}  // namespace yoketurn::fleet
