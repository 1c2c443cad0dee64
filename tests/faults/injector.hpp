// Injects faults into system calls according to a seeded plan. The test program is linked with --wrap for
// each call, so that the code under test needs no hook. Only calls of threads that have a plan fail; all
// others pass through.
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
  int error = 0;  // errno; 0: the call succeeds with fewer bytes or events than asked for
};

// Decides which calls fail, and how often. Equal seeds give equal decisions for equal sequences of calls.
class FaultPlan {
 public:
  // probability: of a fault in each call. spares_client_connections: no faults in calls on accepted
  // connections.
  FaultPlan(std::uint32_t seed, std::vector<Fault> faults, double probability,
            bool spares_client_connections);

  // The fault to inject into this call; nullptr: none.
  const Fault* next_fault(SystemCall call, int descriptor);
  void client_accepted(int descriptor) { clients_.insert(descriptor); }
  void socket_opened(int descriptor) { clients_.erase(descriptor); }
  // A random size below `bytes` for a call that is to succeed partly.
  std::size_t shortened_size(std::size_t bytes);
  int injected(SystemCall call) const;  // number of faults so far

 private:
  std::mt19937 random_;
  std::vector<Fault> faults_;
  double probability_;
  bool spares_client_connections_;
  std::set<int> clients_;  // descriptors of accepted connections
  std::map<SystemCall, int> injected_;
};

// Sets the plan of the calling thread; nullptr: none.
void set_fault_plan(FaultPlan* plan);

}  // namespace yoketurn::faults
