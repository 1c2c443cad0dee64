// Everything that is to happen at some time, in one ordered structure.
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
  using Key = long long;  // one due time a key; those of the same time come in the order of their keys
  using Callback = std::function<void(double now)>;

  Key new_key() { return --last_key_; }  // below 0; whoever numbers things by itself does so from 0

  void schedule(Key key, double at, Callback work) {
    cancel(key);
    times_.emplace(key, at);
    order_.emplace(std::pair{at, key}, std::move(work));
    if (on_earlier_ && order_.begin()->first.second == key) on_earlier_();
  }
  // Calls `again` of an object once at that time, if the object is still there.
  template <class Object>
  void schedule_once(double at, std::weak_ptr<Object> object, void (Object::*again)()) {
    schedule(new_key(), at, [object = std::move(object), again](double) {
      if (const auto held = object.lock()) (held.get()->*again)();
    });
  }
  // Called whenever a time is set that comes before all others: whoever waits for them must wait less long.
  void on_earlier_timer(std::function<void()> called) { on_earlier_ = std::move(called); }
  void cancel(Key key) {
    const auto at = times_.find(key);
    if (at == times_.end()) return;
    order_.erase({at->second, key});
    times_.erase(at);
  }
  void run_due(double now) {
    while (!order_.empty() && order_.begin()->first.first <= now) {
      const auto first = order_.begin();
      const auto work = std::move(first->second);
      times_.erase(first->first.second);
      order_.erase(first);
      work(now);
    }
  }
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
