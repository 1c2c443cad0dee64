#include "logging/log.hpp"

#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <cmath>
#include <string>

namespace yoketurn {

// Writes where the reader takes it at once: poll says whether a pipe has room for a page, and no more than a
// page is written after that. The rest waits in a queue of bounded size.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  LineSink(std::FILE* to, std::size_t most) : to_(to), fd_(fileno(to)), most_(most) {}
  ~LineSink() override { push(); }
  void bound(std::size_t most) { most_ = most; }
  void push() {
    while (begin_ < queue_.size()) {
      pollfd ready{fd_, POLLOUT, 0};
      if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) break;
      const auto count = ::write(fd_, queue_.data() + begin_, std::min(queue_.size() - begin_, kPage));
      if (count <= 0) break;
      begin_ += static_cast<std::size_t>(count);
    }
    if (begin_ == queue_.size() || begin_ > most_ / 2) {
      queue_.erase(0, begin_);
      begin_ = 0;
    }
  }
  std::size_t waiting() const { return queue_.size() - begin_; }
  long long lost() const { return lost_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    if (fd_ < 0) {  // a stream in memory
      std::fwrite(line.data(), 1, line.size(), to_);
      std::fflush(to_);
      return;
    }
    push();
    if (waiting() + line.size() > most_) {
      ++lost_;
      return;
    }
    queue_.append(line.data(), line.size());
    push();
  }
  void flush_() override { push(); }

 private:
  static constexpr std::size_t kPage = 4096;
  std::FILE* to_;
  int fd_;
  std::size_t most_;
  std::string queue_;
  std::size_t begin_ = 0;
  long long lost_ = 0;
};

namespace {

spdlog::level::level_enum level_of(std::string_view event) {
  static constexpr std::string_view kErrors[] = {"start_failed", "fault", "segment_failed"};
  static constexpr std::string_view kWarnings[] = {
      "reload_failed", "list_unusable", "watch_lost", "node_unknown", "no_connection", "accept_failed",
      "bad_request",   "rejected",      "aborted",    "departed",     "lines_lost",    "operators_kept"};
  const auto in = [&](const auto& words) {
    return std::find(std::begin(words), std::end(words), event) != std::end(words);
  };
  return in(kErrors) ? spdlog::level::err : in(kWarnings) ? spdlog::level::warn : spdlog::level::info;
}

}  // namespace

std::string json_text(std::string_view text) {
  return boost::json::serialize(boost::json::value(boost::json::string_view(text.data(), text.size())));
}

// The pattern is cut at its spaces; each piece is name=value, with fields that are numbered anew, as the
// value is formatted by itself.
std::string json_members(fmt::string_view values, fmt::format_args args) {
  const std::string_view all(values.data(), values.size());
  std::string result;
  int field = 0;
  for (std::size_t begin = 0; begin < all.size();) {
    auto end = begin;
    for (bool quoted = false; end < all.size() && (quoted || all[end] != ' '); ++end)
      if (all[end] == '"') quoted = !quoted;
    const auto piece = all.substr(begin, end - begin);
    begin = end + 1;
    const auto equals = piece.find('=');
    if (equals == std::string_view::npos) continue;
    std::string pattern;
    int fields = 0;
    for (const auto c : piece.substr(equals + 1)) {
      if (c == '"') continue;
      pattern += c;
      if (c == '{') {
        pattern += std::to_string(field++);
        ++fields;
      }
    }
    const auto text = fmt::vformat(pattern, args);
    if (!result.empty()) result += ',';
    result += json_text(piece.substr(0, equals));
    result += ':';
    double number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto numeric = error == std::errc{} && stop == text.data() + text.size() && std::isfinite(number);
    const auto bare =
        fields == 1 && piece.back() != '"' &&
        (text == "true" || text == "false" || (numeric && text.find_first_of("xX") == std::string::npos));
    result += bare ? text : json_text(text);
  }
  return result;
}

Log::Log(std::FILE* to, const Options& options)
    : sink_(std::make_shared<LineSink>(to, options.max_queued_bytes)),
      logger_(std::make_unique<spdlog::logger>("", sink_)) {
  configure(options);
}

Log::~Log() = default;

void Log::configure(const Options& options) {
  json_ = options.json;
  sink_->bound(options.max_queued_bytes);
  logger_->set_level(options.level);
  logger_->set_pattern(json_ ? R"({"at":%E.%e,"level":"%l",%v})" : "%E.%e %v");
}

bool Log::wanted(std::string_view event) {
  if (!logger_->should_log(level_of(event))) return false;
  auto& count = counts_[event];
  const auto fits = count.written < kLines;
  if (fits)
    ++count.written;
  else
    ++count.held_back;
  return fits;
}

void Log::write(std::string_view event, fmt::string_view values, fmt::format_args args) {
  std::string shown;
  if (json_) {
    shown = json_members(values, args);
    if (shown.size() > kLongest) shown = "\"cut\":" + json_text(shown.substr(0, kLongest / 2));
    shown = "\"event\":" + json_text(event) + (shown.empty() ? "" : ",") + shown;
  } else {
    // What came over a socket may stand in a value: it must neither end the line nor make it as long as it
    // likes.
    shown = fmt::vformat(values, args).substr(0, kLongest);
    std::replace_if(
        shown.begin(), shown.end(), [](unsigned char c) { return c < ' '; }, ' ');
    shown = std::string(event) + " " + shown;
  }
  logger_->log(level_of(event), spdlog::string_view_t(shown));
}

void Log::write_summaries(double now) {
  sink_->flush();
  if (now < summed_ + 1) return;
  summed_ = now;
  for (auto& [event, count] : counts_) {
    const auto held_back = count.held_back;
    count = {};
    if (held_back > 0) line(event, "held_back={}", held_back);
  }
  if (const auto lost = sink_->lost(); lost > told_lost_ && sink_->waiting() == 0) {
    line("lines_lost", "count={}", lost - told_lost_);
    told_lost_ = lost;
  }
}

long long Log::dropped_lines() const {
  return sink_->lost();
}

std::size_t Log::queued_bytes() const {
  return sink_->waiting();
}

}  // namespace yoketurn
