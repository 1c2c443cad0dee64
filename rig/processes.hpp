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

  void start(int which, const std::string& program, const std::vector<std::string>& arguments);
  void signal(int which, int number);
  bool running(int which);
  void await(int which);     // the end of one that is killed
  int exit_code(int which);  // of one that has ended: 128 + the signal that ended it
  int id(int which);
  std::string log(int which) const;

 private:
  struct One;
  std::string folder_;
  std::vector<std::string> names_;
  std::vector<std::unique_ptr<One>> all_;
};

}  // namespace yoketurn::rig
