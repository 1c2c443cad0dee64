// A ring of bytes with a fixed bound, one for each direction of a connection.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <cstring>
#include <memory>
#include <string_view>

namespace yoketurn {

class Ring {
 public:
  explicit Ring(std::size_t bound) : bound_(bound) {}

  std::size_t size() const { return size_; }
  std::size_t free() const { return bound_ - size_; }

  // What can be read from it. Stays where it is until consumed.
  std::array<boost::asio::const_buffer, 2> data() const {
    const auto first = std::min(size_, bound_ - head_);
    return {boost::asio::const_buffer(bytes_.get() + head_, first),
            boost::asio::const_buffer(bytes_.get(), size_ - first)};
  }
  void consume(std::size_t count) {
    head_ = (head_ + count) % bound_;
    size_ -= count;
  }

  // Room to be filled from outside; what was filled is then committed.
  std::array<boost::asio::mutable_buffer, 2> space() {
    prepare();
    const auto tail = (head_ + size_) % bound_;
    const auto first = std::min(free(), bound_ - tail);
    return {boost::asio::mutable_buffer(bytes_.get() + tail, first),
            boost::asio::mutable_buffer(bytes_.get(), free() - first)};
  }
  void commit(std::size_t count) { size_ += count; }

  bool put(std::string_view bytes) {
    if (bytes.size() > free()) return false;
    boost::asio::buffer_copy(space(), boost::asio::buffer(bytes));
    commit(bytes.size());
    return true;
  }

  // Copies bytes out without consuming them; there must be so many.
  void peek(std::size_t offset, char* to, std::size_t count) const {
    const auto from = (head_ + offset) % bound_;
    const auto first = std::min(count, bound_ - from);
    std::memcpy(to, bytes_.get() + from, first);
    std::memcpy(to + first, bytes_.get(), count - first);
  }

  void release() {  // gives an empty ring's memory back; nothing may be reading or filling it
    if (size_ == 0) bytes_.reset();
  }

 private:
  void prepare() {
    if (!bytes_) bytes_ = std::make_unique_for_overwrite<char[]>(bound_);
    if (size_ == 0) head_ = 0;
  }

  std::size_t bound_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  std::unique_ptr<char[]> bytes_;  // taken at first use
};

}  // namespace yoketurn
