// One call of one part on its way: what its router, its connection and its node know of it, in one place.
#pragma once

#include <cstdint>
#include <vector>

namespace yoketurn::emulator {

struct Flight {
  std::uint32_t generation = 0;
  bool used = false;
  // Of the router that sent it.
  int router = 0;
  std::uint32_t life = 0;  // of its process
  long long query = 0;     // by its number
  int leaf = 0, call = 0;
  bool wanted = false;   // the router waits for its end
  bool written = false;  // it has left the router
  // Of the part.
  long long of = 0;   // the try it belongs to
  long long ask = 0;  // and the client's question
  int vertical = 0, shard = 0;
  int node = 0;
  double sent = 0, until = 0;
  std::uint32_t connection = 0;
  // Of its node.
  bool there = false;  // it waits or is done there
  std::uint32_t node_life = 0;
  int moves = 0;  // events on their way that concern it
};

// A flight by its place; a place that is used again has another generation.
struct FlightRef {
  std::uint32_t at = 0, generation = 0;
  bool operator==(const FlightRef&) const = default;
};

class Flights {
 public:
  FlightRef fresh() {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(all_.size()));
      all_.emplace_back();
    }
    const auto at = free_.back();
    free_.pop_back();
    const auto generation = all_[at].generation + 1;
    all_[at] = {};
    all_[at].generation = generation;
    all_[at].used = true;
    return {at, generation};
  }
  Flight* get(FlightRef ref) {
    auto& flight = all_[ref.at];
    return flight.used && flight.generation == ref.generation ? &flight : nullptr;
  }
  // Its place is given again once nobody has anything to do with it.
  void let_go(FlightRef ref) {
    auto* flight = get(ref);
    if (flight == nullptr || flight->wanted || flight->there || flight->moves > 0) return;
    flight->used = false;
    free_.push_back(ref.at);
  }
  template <class Act>
  void each(Act act) {
    for (std::uint32_t at = 0; at < all_.size(); ++at)
      if (all_[at].used) act(FlightRef{at, all_[at].generation}, all_[at]);
  }
  std::size_t many() const { return all_.size() - free_.size(); }

 private:
  std::vector<Flight> all_;
  std::vector<std::uint32_t> free_;
};

}  // namespace yoketurn::emulator
