#include "router/process_memory.hpp"

#include <fstream>

namespace yoketurn {

namespace {

constexpr std::size_t kBytesPerKilobyte = 1024;

}  // namespace

ProcessMemory read_process_memory(const std::string& status_path) {
  ProcessMemory memory;
  std::ifstream status(status_path);
  for (std::string name; status >> name;) {
    if (name == "VmHWM:" || name == "VmRSS:") {
      std::size_t kilobytes = 0;
      status >> kilobytes;
      (name == "VmHWM:" ? memory.peak_resident_bytes : memory.resident_bytes) = kilobytes * kBytesPerKilobyte;
    }
    std::string rest;
    std::getline(status, rest);
  }
  return memory;
}

}  // namespace yoketurn
