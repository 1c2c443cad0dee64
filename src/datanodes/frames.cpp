#include "datanodes/frames.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace yoketurn {
namespace {

constexpr std::size_t kLengthBytes = 4;

std::string_view word(std::string_view& line) {
  const auto end = std::min(line.find(' '), line.size());
  const auto result = line.substr(0, end);
  line.remove_prefix(std::min(end + 1, line.size()));
  return result;
}

// Bytes that are not there yet read as 0: the length is at least this.
std::size_t length_at(const Ring& ring) {
  std::array<char, kLengthBytes> head{};
  ring.peek(0, head.data(), std::min(ring.size(), head.size()));
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
  std::string rest;
  for (const auto& part : parts) {
    rest += fmt::format("{} {} {} {}\n", part.id, part.shard, part.options, part.text.size());
    rest += part.text;
  }
  return encode_frame('S', rest);
}

std::string encode_cancel_frame(std::string_view id) {
  return encode_frame('C', id);
}

bool can_start_frame(const Ring& ring) {
  if (ring.size() == 0) return true;
  const auto length = length_at(ring);
  if (length + kLengthBytes > kMaxFrameBytes || (ring.size() >= kLengthBytes && length == 0)) return false;
  if (ring.size() <= kLengthBytes) return true;
  char letter = 0;
  ring.peek(kLengthBytes, &letter, 1);
  return std::string_view("SCRFHM").find(letter) != std::string_view::npos;
}

FrameStatus decode_frame(Ring& ring, Frame& result) {
  if (!can_start_frame(ring)) return FrameStatus::malformed;
  if (ring.size() < kLengthBytes) return FrameStatus::incomplete;
  const auto length = length_at(ring);
  if (ring.size() < kLengthBytes + length) return FrameStatus::incomplete;
  ring.peek(kLengthBytes, &result.type, 1);
  result.payload.resize(length - 1);
  ring.peek(kLengthBytes + 1, result.payload.data(), length - 1);
  ring.consume(kLengthBytes + length);
  return FrameStatus::complete;
}

std::optional<PartAnswer> parse_part_answer(std::string_view rest) {
  const auto end = rest.find('\n');
  if (end == std::string_view::npos) return std::nullopt;
  auto line = rest.substr(0, end);
  PartAnswer answer;
  answer.value = rest.substr(end + 1);
  // A length that is too long takes in the head of the next frame.
  if (std::any_of(answer.value.begin(), answer.value.end(), [](unsigned char c) { return c < ' '; }))
    return std::nullopt;
  answer.id = word(line);
  const auto how = word(line);
  const auto score = word(line);
  if (answer.id.empty() || score.empty()) return std::nullopt;
  if (how == "done") {
    answer.outcome = Outcome::success;
  } else if (how == "failed") {
    answer.outcome = Outcome::failure;
  } else if (how == "full") {
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
