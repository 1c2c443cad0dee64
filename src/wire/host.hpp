// Hosts many instances on one text stream: batches in, one reply per batch out.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wire/instance.hpp"

namespace yoketurn::wire {

class Host {
 public:
  void run(std::istream& in, std::ostream& out, std::ostream& log);

 private:
  void event(std::string_view line);
  void open(Fields& fields);
  Instance* find(std::string_view name);
  void fault(const std::string& name, const std::string& why);

  static constexpr std::size_t kLists = 16;  // the wire's own range of list numbers
  std::array<std::vector<Entry>, kLists> lists_;
  std::vector<Entry>* filling_ = nullptr;
  std::size_t missing_ = 0;
  std::map<std::string, std::unique_ptr<Instance>, std::less<>> instances_;
  std::vector<std::string> active_;  // instances with an event in this batch, in order
  double now_ = 0;
  std::string reply_;
};

}  // namespace yoketurn::wire
