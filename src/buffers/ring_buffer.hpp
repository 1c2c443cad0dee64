// A ring buffer of bytes with a largest capacity. Each connection has one for every direction. Its memory
// grows with what it holds.
#pragma once

#include <algorithm>
#include <array>
#include <bit>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace yoketurn {

class RingBuffer {
 public:
  explicit RingBuffer(std::size_t capacity) : capacity_(capacity) {}

  std::size_t size() const { return size_; }
  std::size_t free_space() const { return capacity_ - size_; }
  std::size_t allocated() const { return allocated_; }  // bytes of memory

  // The stored bytes in order, as up to two segments. They stay valid until they are consumed.
  std::array<boost::asio::const_buffer, 2> data() const {
    const auto first = std::min(size_, allocated_ - head_);
    return {boost::asio::const_buffer(bytes_.get() + head_, first),
            boost::asio::const_buffer(bytes_.get(), size_ - first)};
  }
  // The same as one segment.
  boost::asio::const_buffer contiguous_data() {
    if (head_ + size_ > allocated_) {
      std::rotate(bytes_.get(), bytes_.get() + head_, bytes_.get() + allocated_);
      head_ = 0;
    }
    return {bytes_.get() + head_, size_};
  }
  void consume(std::size_t count) {
    if (count == 0) return;
    head_ = (head_ + count) % allocated_;
    size_ -= count;
  }

  // The free space, as up to two segments. After writing into it, call commit() with the number of bytes.
  std::array<boost::asio::mutable_buffer, 2> space() {
    allocate(capacity_);
    return allocated_space();
  }
  void commit(std::size_t count) { size_ += count; }

  // Appends all the bytes, or returns false and appends nothing if they don't fit.
  bool append(std::string_view bytes) {
    if (bytes.size() > free_space()) return false;
    allocate(size_ + bytes.size());
    boost::asio::buffer_copy(allocated_space(), boost::asio::buffer(bytes));
    commit(bytes.size());
    return true;
  }

  // Copies `count` bytes out without consuming them. At least offset + count bytes must be stored.
  void peek(std::size_t offset, char* to, std::size_t count) const {
    if (count == 0) return;
    const auto from = (head_ + offset) % allocated_;
    const auto first = std::min(count, allocated_ - from);
    std::memcpy(to, bytes_.get() + from, first);
    std::memcpy(to + first, bytes_.get(), count - first);
  }

  // Frees the memory if the buffer is empty. No read or write on it may be in progress.
  void release() {
    if (size_ > 0) return;
    bytes_.reset();
    head_ = allocated_ = 0;
  }
  // Frees the memory that the stored bytes don't need. No read or write on it may be in progress.
  void shrink() {
    release();
    if (allocation_for(size_) < allocated_) reallocate(allocation_for(size_));
  }

 private:
  static constexpr std::size_t kMinAllocation = 512;  // bytes

  std::array<boost::asio::mutable_buffer, 2> allocated_space() {
    const auto tail = (head_ + size_) % allocated_;
    const auto free = allocated_ - size_;
    const auto first = std::min(free, allocated_ - tail);
    return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
            boost::asio::mutable_buffer(bytes_.get(), free - first)};
  }
  void allocate(std::size_t least) {
    if (size_ == 0) head_ = 0;
    if (least <= allocated_ && allocated_ > 0) return;
    reallocate(allocation_for(least));
  }
  std::size_t allocation_for(std::size_t bytes) const {
    return std::min(capacity_, std::max(std::bit_ceil(bytes), kMinAllocation));
  }
  void reallocate(std::size_t bytes) {
    auto moved = std::make_unique_for_overwrite<char[]>(bytes);
    peek(0, moved.get(), size_);
    bytes_ = std::move(moved);
    head_ = 0;
    allocated_ = bytes;
  }

  std::size_t capacity_;
  std::size_t allocated_ = 0;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  std::unique_ptr<char[]> bytes_;
};

}  // namespace yoketurn
