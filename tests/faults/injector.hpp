// System calls that fail by a seeded plan. The test program is linked with --wrap for each call, so that the
// code under test has no hook. Only calls of threads that have a plan fail; all others pass through.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace yoketurn::faults {

enum class SystemCall { accept, connect, epoll_wait, receive, send, socket };

struct Fault {
  SystemCall call;
  int error = 0;  // errno; 0: the call goes through with some of its bytes only
};

// Which calls fail, and how often. Of equal seeds the decisions for equal calls are the same.
class Plan {
 public:
  Plan(std::uint32_t seed, std::vector<Fault> faults, double share, bool spares_clients);

  // The fault of this call, nullptr: it goes through.
  const Fault* next(SystemCall call, int descriptor);
  void accepted(int descriptor) { clients_.insert(descriptor); }
  void opened(int descriptor) { clients_.erase(descriptor); }
  std::size_t shortened(std::size_t bytes);
  int injected(SystemCall call) const;

 private:
  std::mt19937 random_;
  std::vector<Fault> faults_;
  double share_;
  bool spares_clients_;
  std::set<int> clients_;
  std::map<SystemCall, int> injected_;
};

// The plan of this thread from now on; nullptr: none.
void follow(Plan* plan);

}  // namespace yoketurn::faults
