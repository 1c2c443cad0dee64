#include "datanodes/frames.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace yoketurn {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::string_view kFrameTypes = "SCRFHM";

// Removes the first word and the space behind it from the line.
std::string_view take_word(std::string_view& line) {
  const auto end = std::min(line.find(' '), line.size());
  const auto result = line.substr(0, end);
  line.remove_prefix(std::min(end + 1, line.size()));
  return result;
}

bool has_control_character(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < ' '; });
}

// The length field at the head of the buffer. Bytes that have not been received count as 0, so the result is
// a lower bound until all four are there.
std::size_t peek_length(const RingBuffer& buffer) {
  std::array<char, kLengthBytes> head{};
  buffer.peek(0, head.data(), std::min(buffer.size(), head.size()));
  std::size_t length = 0;
  for (const auto byte : head) length = length << 8 | static_cast<unsigned char>(byte);
  return length;
}

}  // namespace

std::string encode_frame(char type, std::string_view payload) {
  const auto length = payload.size() + 1;
  std::string result;
  result.reserve(kLengthBytes + length);
  for (int shift = 24; shift >= 0; shift -= 8) result += static_cast<char>((length >> shift) & 0xff);
  result += type;
  result += payload;
  return result;
}

std::string encode_call_frame(std::span<const PartRequest> parts) {
  std::string payload;
  for (const auto& part : parts) {
    payload += fmt::format("{} {} {} {}\n", part.id, part.shard, part.options, part.text.size());
    payload += part.text;
  }
  return encode_frame('S', payload);
}

std::string encode_cancel_frame(std::string_view id) {
  return encode_frame('C', id);
}

std::string encode_probe_frame() {
  return encode_frame('H', "");
}

bool can_start_frame(const RingBuffer& buffer) {
  if (buffer.size() == 0) return true;
  const auto length = peek_length(buffer);
  if (length + kLengthBytes > kMaxFrameBytes || (buffer.size() >= kLengthBytes && length == 0)) return false;
  if (buffer.size() <= kLengthBytes) return true;
  char type = 0;
  buffer.peek(kLengthBytes, &type, 1);
  return kFrameTypes.find(type) != std::string_view::npos;
}

FrameStatus decode_frame(RingBuffer& buffer, Frame& frame) {
  if (!can_start_frame(buffer)) return FrameStatus::malformed;
  if (buffer.size() < kLengthBytes) return FrameStatus::incomplete;
  const auto length = peek_length(buffer);
  if (buffer.size() < kLengthBytes + length) return FrameStatus::incomplete;
  buffer.peek(kLengthBytes, &frame.type, 1);
  frame.payload.resize(length - 1);
  buffer.peek(kLengthBytes + 1, frame.payload.data(), length - 1);
  buffer.consume(kLengthBytes + length);
  return FrameStatus::complete;
}

bool is_printable_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= ' ' && c <= '~'; });
}

// If the length field of a frame is too large, or the frame breaks off, its payload takes in the head of the
// next frame, wherever it ends. The first byte of that head is a control character, as frames are shorter
// than 16 MiB. So neither the line, of which the load report may be any text, nor the value may hold one.
std::optional<PartAnswer> parse_part_answer(std::string_view payload) {
  const auto line_end = payload.find('\n');
  if (line_end == std::string_view::npos) return std::nullopt;
  auto line = payload.substr(0, line_end);
  PartAnswer answer;
  answer.value = payload.substr(line_end + 1);
  if (!is_printable_ascii(line) || has_control_character(answer.value)) return std::nullopt;
  answer.id = take_word(line);
  const auto end = take_word(line);
  const auto score = take_word(line);
  if (answer.id.empty() || score.empty()) return std::nullopt;
  if (end == "done") {
    answer.outcome = Outcome::success;
  } else if (end == "failed") {
    answer.outcome = Outcome::failure;
  } else if (end == "full") {
    answer.outcome = Outcome::overloaded;
  } else {
    return std::nullopt;
  }
  if (score != "-") {
    const auto [stop, error] = std::from_chars(score.data(), score.data() + score.size(), answer.score);
    if (error != std::errc{} || stop != score.data() + score.size() || !std::isfinite(answer.score))
      return std::nullopt;
  }
  return answer;
}

}  // namespace yoketurn
