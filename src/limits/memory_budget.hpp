// One account of the bytes that a router holds for its peers: unfinished requests, queries, values, answers
// and frames. All holders draw from one budget, so its bound holds whatever they hold it for. No I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <utility>

namespace yoketurn {

class MemoryBudget {
 public:
  class Share;
  // Releases what can be spared of another share than `asking`. False: there is nothing left to release.
  using Reclaimer = std::function<bool(const Share& asking)>;

 private:
  struct Account {
    std::size_t limit = 0;
    std::size_t held = 0;
    std::size_t peak = 0;
    long long refusals = 0;
    Reclaimer reclaimer;
  };

 public:
  // The part of the budget that one holder uses. Returned when it is destroyed, which may be after the
  // budget: connections live as long as the event loop has a handler of theirs.
  class Share {
   public:
    explicit Share(const MemoryBudget& budget) : account_(budget.account_) {}
    ~Share() { set(0); }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    std::size_t bytes() const { return bytes_; }
    // Uses this many bytes from now on. Where they don't fit, others are asked to release some; false: they
    // still don't, and the share is as it was. A part of the budget is kept for small shares, so that large
    // ones can't shut out usual queries.
    [[nodiscard]] bool resize(std::size_t bytes);
    // The same for what can't be refused: the budget may be exceeded by it.
    void set(std::size_t bytes);

   private:
    std::shared_ptr<Account> account_;
    std::size_t bytes_ = 0;
  };

  explicit MemoryBudget(std::size_t limit_bytes = std::numeric_limits<std::size_t>::max())
      : account_(std::make_shared<Account>()) {
    account_->limit = limit_bytes;
  }
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  void set_reclaimer(Reclaimer reclaimer) { account_->reclaimer = std::move(reclaimer); }
  std::size_t limit() const { return account_->limit; }
  std::size_t held() const { return account_->held; }
  std::size_t peak() const { return account_->peak; }  // the most that was held at any time
  long long refusals() const { return account_->refusals; }

 private:
  std::shared_ptr<Account> account_;
};

// What a router with these limits may hold for its peers, in bytes. memory_bytes: of the whole process, 0:
// not stated. max_sockets: descriptors. nodes: known at the start.
std::size_t peer_memory_limit(std::size_t memory_bytes, std::size_t max_sockets, std::size_t nodes);

}  // namespace yoketurn
