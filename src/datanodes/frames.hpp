// The frames between a router and data nodes: a length, a letter and the rest.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "brain.hpp"
#include "buffers/ring.hpp"

namespace yoketurn {

inline constexpr std::size_t kMaxTextBytes = 64 * 1024;     // of a query's text or a part's value
inline constexpr std::size_t kMaxPartLineBytes = 4 * 1024;  // that goes before it
inline constexpr std::size_t kMaxFrameBytes = 5 + kMaxPartLineBytes + kMaxTextBytes;

struct PartRequest {
  std::string id;
  int shard = 0;
  std::string options;  // such as d=240,k=5c0f
  std::string_view text;
};

std::string encode_frame(char type, std::string_view payload);
std::string encode_call_frame(std::span<const PartRequest> parts);
std::string encode_cancel_frame(std::string_view id);

struct Frame {
  char type = 0;
  std::string payload;
};

enum class FrameStatus { incomplete, complete, malformed };
FrameStatus decode_frame(Ring& ring, Frame& frame);

bool can_start_frame(const Ring& ring);  // whether what stands there can be the first bytes of a frame

struct PartAnswer {
  std::string_view id;
  Outcome outcome = Outcome::failure;
  double score = 0;
  std::string_view value;
};
std::optional<PartAnswer> parse_part_answer(std::string_view rest);  // of a frame R

}  // namespace yoketurn
