// Runs many router instances in one process for a simulator: reads batches of messages from a text stream and
// writes one reply per batch.
#pragma once

#include <array>
#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wire/instance.hpp"

namespace yoketurn::wire {

class InstanceHost {
 public:
  // Reads until the end of `in`. A malformed line is reported to `log` with its number and skipped.
  void run(std::istream& in, std::ostream& out, std::ostream& log);

 private:
  void handle_line(std::string_view line);
  void open_instance(FieldReader& fields);
  // The instance, which then takes part in this batch's reply; nullptr if there is none of this name.
  RouterInstance* activate(std::string_view name);
  // Reports an instance that has thrown and removes it; the others go on.
  void remove_failed(const std::string& name, const std::string& why);

  static constexpr std::size_t kMaxNodeLists = 16;  // the protocol's range of list numbers
  std::array<std::vector<NodeEntry>, kMaxNodeLists> node_lists_;
  std::vector<NodeEntry>* incomplete_list_ = nullptr;  // the list that the next "node" lines belong to
  std::size_t missing_entries_ = 0;                    // of incomplete_list_
  std::map<std::string, std::unique_ptr<RouterInstance>, std::less<>> instances_;
  std::vector<std::string> active_;  // instances with a message in this batch, in order of the first
  double now_ = 0;                   // time of the batch, in seconds
  std::string reply_;
};

}  // namespace yoketurn::wire
