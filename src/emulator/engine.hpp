// What happens next: events in the order of their times, those of one time in the order they were made. Times
// are seconds since the day began. Same events made, same order: nothing else decides it.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace yoketurn::emulator {

class Engine {
 public:
  using Act = std::function<void()>;

  double now() const { return now_; }
  std::uint64_t done() const { return done_; }

  void at(double time, Act act) {
    std::uint32_t slot = 0;
    if (free_.empty()) {
      slot = static_cast<std::uint32_t>(acts_.size());
      acts_.push_back(std::move(act));
    } else {
      slot = free_.back();
      free_.pop_back();
      acts_[slot] = std::move(act);
    }
    due_.push_back({std::max(time, now_), made_++, slot});
    std::push_heap(due_.begin(), due_.end());
  }
  void after(double seconds, Act act) { at(now_ + seconds, std::move(act)); }

  void run(double until) {
    while (!due_.empty() && due_.front().time <= until) {
      std::pop_heap(due_.begin(), due_.end());
      const auto due = due_.back();
      due_.pop_back();
      now_ = due.time;
      const auto act = std::move(acts_[due.slot]);
      acts_[due.slot] = nullptr;
      free_.push_back(due.slot);
      ++done_;
      act();
    }
    now_ = std::max(now_, until);
  }

 private:
  struct Due {
    double time;
    std::uint64_t made;
    std::uint32_t slot;
    bool operator<(const Due& other) const {  // the heap's top is the first
      return time != other.time ? time > other.time : made > other.made;
    }
  };
  double now_ = 0;
  std::uint64_t made_ = 0, done_ = 0;
  std::vector<Due> due_;
  std::vector<Act> acts_;
  std::vector<std::uint32_t> free_;
};

// Each entity has a stream of chance of its own, so that one more draw of one changes nothing for the others.
inline std::uint64_t mixed(std::uint64_t x) {  // splitmix64 (Steele, Lea, Flood, OOPSLA 2014)
  x += 0x9E3779B97F4A7C15u;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9u;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBu;
  return x ^ (x >> 31);
}
enum class Stream : std::uint64_t { machine = 1, client, router, front, network, search };
inline std::ranlux24_base chance_of(std::uint64_t seed, Stream stream, std::uint64_t number) {
  return std::ranlux24_base(static_cast<std::uint_fast32_t>(
      mixed(mixed(seed) ^ mixed(static_cast<std::uint64_t>(stream) << 32 | number))));
}

}  // namespace yoketurn::emulator
