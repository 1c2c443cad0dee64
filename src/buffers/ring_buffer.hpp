// A ring buffer of bytes with a fixed capacity. Each connection has one for every direction.
#pragma once

#include <algorithm>
#include <array>
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

  // The stored bytes in order, as up to two segments. They stay valid until they are consumed.
  std::array<boost::asio::const_buffer, 2> data() const {
    const auto first = std::min(size_, capacity_ - head_);
    return {boost::asio::const_buffer(bytes_.get() + head_, first),
            boost::asio::const_buffer(bytes_.get(), size_ - first)};
  }
  void consume(std::size_t count) {
    head_ = (head_ + count) % capacity_;
    size_ -= count;
  }

  // The free space, as up to two segments. After writing into it, call commit() with the number of bytes.
  std::array<boost::asio::mutable_buffer, 2> space() {
    ensure_allocated();
    const auto tail = (head_ + size_) % capacity_;
    const auto first = std::min(free_space(), capacity_ - tail);
    return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
            boost::asio::mutable_buffer(bytes_.get(), free_space() - first)};
  }
  void commit(std::size_t count) { size_ += count; }

  // Appends all the bytes, or returns false and appends nothing if they don't fit.
  bool append(std::string_view bytes) {
    if (bytes.size() > free_space()) return false;
    boost::asio::buffer_copy(space(), boost::asio::buffer(bytes));
    commit(bytes.size());
    return true;
  }

  // Copies `count` bytes out without consuming them. At least offset + count bytes must be stored.
  void peek(std::size_t offset, char* to, std::size_t count) const {
    const auto from = (head_ + offset) % capacity_;
    const auto first = std::min(count, capacity_ - from);
    std::memcpy(to, bytes_.get() + from, first);
    std::memcpy(to + first, bytes_.get(), count - first);
  }

  // Frees the memory if the buffer is empty. No read or write on it may be in progress.
  void release() {
    if (size_ == 0) bytes_.reset();
  }

 private:
  void ensure_allocated() {
    if (!bytes_) bytes_ = std::make_unique_for_overwrite<char[]>(capacity_);
    if (size_ == 0) head_ = 0;
  }

  std::size_t capacity_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  std::unique_ptr<char[]> bytes_;  // allocated at first use
};

}  // namespace yoketurn
