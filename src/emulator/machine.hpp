// A data node: cores, a queue of bounded length served in order, service times, a cold start, falling over
// when pushed while cold. The same as the rig's stand-in, without its sockets.
#pragma once

#include <deque>
#include <functional>
#include <random>

#include "days/day.hpp"
#include "emulator/engine.hpp"
#include "emulator/flights.hpp"

namespace yoketurn::emulator {

class Machine {
 public:
  enum class End { done, full, draining, over };
  struct Told {                              // the whole hears of what it does
    std::function<bool(FlightRef)> begins;   // whether its effect was there before
    std::function<double(FlightRef)> until;  // when its client's time is over
    std::function<double(FlightRef)> work;   // of it, of mean 1
    std::function<void(FlightRef, End)> ended;
    std::function<void(FlightRef)> dropped;  // it will never end
    std::function<void(int node, double capacity)> fell;
  };
  Machine(Engine& engine, const days::Day& day, int number, const Told& told);

  void arrive(FlightRef part);
  void give_up(FlightRef part);  // gone from the queue; work that has begun goes on
  void start(double born);       // a new process, empty; born after the day began: cold
  void die();
  void drain(bool drains) { draining_ = drains; }

  bool up() const { return up_; }
  bool draining() const { return draining_; }
  double born() const { return born_; }
  double capacity(double now) const;
  double most_pushed() const { return most_pushed_; }
  std::size_t waiting() const { return queue_.size() + static_cast<std::size_t>(busy_); }
  double busy_time() const { return worked_; }  // seconds of work done by its cores
  double slow = 1;

 private:
  void next();
  void begin(FlightRef part);
  void push(double work);

  Engine& engine_;
  const days::Day& day_;
  int number_;
  const Told& told_;
  std::ranlux24_base chance_;
  bool up_ = true, draining_ = false;
  double born_ = 0;  // 0: long ago
  std::uint32_t life_ = 0;
  int busy_ = 0, cores_;
  std::deque<FlightRef> queue_;
  std::vector<FlightRef> running_;
  struct Arrival {
    double at, work;
  };
  std::deque<Arrival> arrivals_;  // while it is cold, within the window in which it may fall
  double arrived_work_ = 0;       // of these
  double most_pushed_ = 0, worked_ = 0;
};

}  // namespace yoketurn::emulator
