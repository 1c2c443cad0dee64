// The frames between a router and data nodes: a length, a letter and the rest.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "buffers/ring_buffer.hpp"
#include "routing_policy.hpp"

namespace yoketurn {

inline constexpr std::size_t kLargestText = 64 * 1024;  // of a query's text or a part's value
inline constexpr std::size_t kLargestLine = 4 * 1024;   // that goes before it
inline constexpr std::size_t kLargestFrame = 5 + kLargestLine + kLargestText;

struct PartText {
  std::string id;
  int shard = 0;
  std::string list;  // such as d=240,k=5c0f
  std::string_view text;
};

std::string frame(char letter, std::string_view rest);
std::string call_frame(std::span<const PartText> parts);
std::string give_up_frame(std::string_view id);

struct Frame {
  char letter = 0;
  std::string rest;
};

enum class FrameState { incomplete, whole, broken };
FrameState take_frame(RingBuffer& ring, Frame& frame);

bool may_begin_frame(const RingBuffer& ring);  // whether what stands there can be the first bytes of a frame

struct PartAnswer {
  std::string_view id;
  Outcome outcome = Outcome::failure;
  double score = 0;
  std::string_view value;
};
std::optional<PartAnswer> read_answer(std::string_view rest);  // of a frame R

}  // namespace yoketurn
