#include "limits/memory_budget.hpp"

#include <algorithm>

namespace yoketurn {

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kUnstatedMemoryBytes = 192 * kMegabyte;  // the most that the platform gives
// The program, its libraries and tables, and what is held only while one message is parsed or written.
constexpr std::size_t kProgramBytes = 8 * kMegabyte;
constexpr std::size_t kBytesPerSocket = 4 * 1024;  // of a connection without traffic
constexpr std::size_t kBytesPerNode = 4 * 1024;
constexpr std::size_t kMinPeerBytes = kMegabyte;
// Blocks of different sizes, freed in any order, may leave as much unused between them as they use.
constexpr std::size_t kFragmentationDivisor = 2;
constexpr std::size_t kSmallShareBytes = 16 * 1024;  // a usual query with some ten parts
constexpr std::size_t kSmallSharesDivisor = 4;       // of the budget, one part is kept for small shares

}  // namespace

bool MemoryBudget::Share::resize(std::size_t bytes) {
  const auto reserve = bytes > kSmallShareBytes ? account_->limit / kSmallSharesDivisor : 0;
  const auto limit = account_->limit - reserve;
  const auto fits = [&] { return bytes <= bytes_ || account_->held + (bytes - bytes_) <= limit; };
  while (!fits()) {
    if (account_->reclaimer && account_->reclaimer(*this)) continue;
    ++account_->refusals;
    return false;
  }
  set(bytes);
  return true;
}

void MemoryBudget::Share::set(std::size_t bytes) {
  account_->held = account_->held - bytes_ + bytes;
  account_->peak = std::max(account_->peak, account_->held);
  bytes_ = bytes;
}

std::size_t peer_memory_limit(std::size_t memory_bytes, std::size_t max_sockets, std::size_t nodes) {
  const auto memory = memory_bytes > 0 ? memory_bytes : kUnstatedMemoryBytes;
  const auto reserved = kProgramBytes + max_sockets * kBytesPerSocket + nodes * kBytesPerNode;
  const auto left = memory > reserved ? memory - reserved : 0;
  return std::max(left / kFragmentationDivisor, kMinPeerBytes);
}

}  // namespace yoketurn
