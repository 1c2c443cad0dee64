// The processes of the program: started, signalled and ended by id.
#pragma once

#include <memory>
#include <string>
#include <vector>

namespace yoketurn::rig {

class Processes {
 public:
  // Their outputs are NAME.log in the folder.
  Processes(std::string folder, std::vector<std::string> names);
  ~Processes();  // ends all of them

  // From now on processes are started with wall clocks that step_clock moves, by this library.
  void stepped_clocks(const std::string& library);
  // The wall clock of this one shows so many seconds more than the machine's, also once it is started again.
  void step_clock(int which, long long seconds_ahead);

  void start(int which, const std::string& program, const std::vector<std::string>& arguments);
  void signal(int which, int number);
  bool running(int which);
  void await(int which);     // the end of one that is killed
  int exit_code(int which);  // of one that has ended: 128 + the signal that ended it
  int id(int which);
  std::string log(int which) const;

 private:
  struct One;
  std::string clock_file(int which) const;
  std::string folder_;
  std::vector<std::string> names_;
  std::string clock_library_;  // empty: their wall clocks are the machine's
  std::vector<std::unique_ptr<One>> all_;
};

}  // namespace yoketurn::rig
