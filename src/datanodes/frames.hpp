// The frames exchanged between a router and the data nodes. A frame is a length of 4 bytes (big-endian, of
// what follows), a type byte and a payload:
//   S  a call: for each part a line "id shard options text-length", then the text
//   C  cancels a part: its id
//   M  from the router: requests a load report, without payload; from the node: the report
//   R  the answer to a part: a line "id end score ...", then the value
//   H  from the router: a probe, without payload; from the node: its answer
// F is a known type, but a connection on which it arrives is closed.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "buffers/ring_buffer.hpp"
#include "routing_policy.hpp"

namespace yoketurn {

inline constexpr std::size_t kMaxTextBytes = 64 * 1024;     // of the text of a query or the value of a part
inline constexpr std::size_t kMaxPartLineBytes = 4 * 1024;  // of the line in front of it
inline constexpr std::size_t kMaxFrameBytes = 5 + kMaxPartLineBytes + kMaxTextBytes;

// One part of a call, as it is written into a frame of type S.
struct PartRequest {
  std::string id;
  int shard = 0;
  // Comma-separated, such as "d=240,k=5c0f". d: milliseconds until the deadline; k: idempotency key.
  std::string options;
  std::string_view text;
};

std::string encode_frame(char type, std::string_view payload);
std::string encode_call_frame(std::span<const PartRequest> parts);
std::string encode_cancel_frame(std::string_view id);
std::string encode_probe_frame();

struct Frame {
  char type = 0;
  std::string payload;
};

enum class FrameStatus { incomplete, complete, malformed };

// Moves the first frame out of the buffer into `frame`, if all of it has been received. Leaves the buffer as
// it is otherwise.
FrameStatus decode_frame(RingBuffer& buffer, Frame& frame);

// Whether the buffered bytes can be the beginning of a frame: a length within the bounds and a known type.
// True for an empty buffer.
bool can_start_frame(const RingBuffer& buffer);

struct PartAnswer {
  std::string_view id;
  Outcome outcome = Outcome::failure;
  double score = 0;
  std::string_view value;
};

// Whether the text has no bytes but those from ' ' to '~'.
bool is_printable_ascii(std::string_view text);

// Parses the payload of a frame of type R. nullopt: it is malformed. The load report behind the score is not
// parsed: an answer is valid whatever printable text stands there. The result refers to the payload.
std::optional<PartAnswer> parse_part_answer(std::string_view payload);

}  // namespace yoketurn
