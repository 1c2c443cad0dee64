// Whether this process stood still (stopped, starved, swapped out) and has yet to read what came meanwhile. A
// process can be stopped between two steps of its loop and go on, seconds later, with the second: all that
// was due is overdue then, and nothing has been read. By that it would take a watch that has told of drains
// for silent, and answers that lie in its sockets for late. Times in seconds.
#pragma once

namespace yoketurn {

class Standstill {
 public:
  static constexpr double kRest = 0.002;  // in which a round of the loop reads what is there
  static constexpr double kMost = 0.25;   // more than this is never spent on reading first

  explicit Standstill(double late) : late_(late) {}  // longer between two calls than this: it stood still

  // Told at every turn of the loop. True: nothing is to be decided or sent before kRest has passed and it has
  // been asked again. `unread`, called only then, tells whether discovery's words lie there unread.
  template <class Unread>
  bool holds(double at, const Unread& unread) {
    if (alive_ > 0 && at - alive_ > late_) since_ = at;
    alive_ = at;
    if (since_ < 0) return false;
    if (at < since_ + kRest || (at < since_ + kMost && unread())) return true;
    since_ = -1;
    return false;
  }

 private:
  double late_;
  double alive_ = 0, since_ = -1;  // the last turn; when it woke, -1: it has read all
};

}  // namespace yoketurn
