// Timers in the order of their due times.
#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace yoketurn {

class TimerQueue {
 public:
  // Identifies a timer. Timers that are due at the same time run in the order of their keys.
  using Key = long long;
  using Callback = std::function<void(double now)>;

  // Negative, so that callers can use ids of their own from 0 on as keys.
  Key new_key() { return --last_key_; }

  // Replaces the timer with this key, if there is one.
  void schedule(Key key, double at, Callback callback) {
    cancel(key);
    times_.emplace(key, at);
    order_.emplace(std::pair{at, key}, std::move(callback));
    if (on_earlier_ && order_.begin()->first.second == key) on_earlier_();
  }
  // Calls a method of the object once at that time, if the object still exists.
  template <class Object>
  void schedule_once(double at, std::weak_ptr<Object> object, void (Object::*method)()) {
    schedule(new_key(), at, [object = std::move(object), method](double) {
      if (const auto locked = object.lock()) (locked.get()->*method)();
    });
  }
  // The callback runs whenever a timer is scheduled before all others: who waits for next_due() must wait
  // less.
  void on_earlier_timer(std::function<void()> callback) { on_earlier_ = std::move(callback); }
  void cancel(Key key) {
    const auto at = times_.find(key);
    if (at == times_.end()) return;
    order_.erase({at->second, key});
    times_.erase(at);
  }
  // Runs all timers that are due, those included that are scheduled meanwhile.
  void run_due(double now) {
    while (!order_.empty() && order_.begin()->first.first <= now) {
      const auto first = order_.begin();
      const auto callback = std::move(first->second);
      times_.erase(first->first.second);
      order_.erase(first);
      callback(now);
    }
  }
  // Infinite: there are no timers.
  double next_due() const {
    return order_.empty() ? std::numeric_limits<double>::infinity() : order_.begin()->first.first;
  }
  std::size_t size() const { return order_.size(); }

 private:
  Key last_key_ = 0;
  std::unordered_map<Key, double> times_;
  std::map<std::pair<double, Key>, Callback> order_;
  std::function<void()> on_earlier_;
};

}  // namespace yoketurn
