// The memory that the kernel counts for a process.
#pragma once

#include <cstddef>
#include <string>

namespace yoketurn {

struct ProcessMemory {
  std::size_t resident_bytes = 0;
  std::size_t peak_resident_bytes = 0;
};

// Reads the status file of a process. All figures are 0 where it can't be read.
ProcessMemory read_process_memory(const std::string& status_path = "/proc/self/status");

}  // namespace yoketurn
