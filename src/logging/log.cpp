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

// Writes to a pipe or file without blocking: poll() says whether a pipe has room for a page, and no more than
// a page is written after that. The rest waits in a bounded queue.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  NonBlockingSink(std::FILE* to, std::size_t max_queued_bytes)
      : to_(to), fd_(fileno(to)), max_queued_bytes_(max_queued_bytes) {}
  ~NonBlockingSink() override { write_queued(); }
  void set_max_queued_bytes(std::size_t bytes) { max_queued_bytes_ = bytes; }
  void write_queued() {
    while (queue_begin_ < queue_.size()) {
      pollfd ready{fd_, POLLOUT, 0};
      if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) break;
      const auto count =
          ::write(fd_, queue_.data() + queue_begin_, std::min(queue_.size() - queue_begin_, kPageBytes));
      if (count <= 0) break;
      queue_begin_ += static_cast<std::size_t>(count);
    }
    if (queue_begin_ == queue_.size() || queue_begin_ > max_queued_bytes_ / 2) {
      queue_.erase(0, queue_begin_);
      queue_begin_ = 0;
    }
  }
  std::size_t queued_bytes() const { return queue_.size() - queue_begin_; }
  long long dropped_lines() const { return dropped_lines_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    if (fd_ < 0) {  // an in-memory stream, as of open_memstream
      std::fwrite(line.data(), 1, line.size(), to_);
      std::fflush(to_);
      return;
    }
    write_queued();
    if (queued_bytes() + line.size() > max_queued_bytes_) {
      ++dropped_lines_;
      return;
    }
    queue_.append(line.data(), line.size());
    write_queued();
  }
  void flush_() override { write_queued(); }

 private:
  static constexpr std::size_t kPageBytes = 4096;
  std::FILE* to_;
  int fd_;
  std::size_t max_queued_bytes_;
  std::string queue_;
  std::size_t queue_begin_ = 0;
  long long dropped_lines_ = 0;
};

namespace {

spdlog::level::level_enum level_for(std::string_view event) {
  static constexpr std::string_view kErrorEvents[] = {"start_failed", "fault", "segment_failed"};
  static constexpr std::string_view kWarningEvents[] = {
      "reload_failed", "list_unusable", "watch_lost", "node_unknown", "no_connection", "accept_failed",
      "bad_request",   "rejected",      "aborted",    "departed",     "lines_lost",    "operators_kept"};
  const auto contains = [&](const auto& events) {
    return std::find(std::begin(events), std::end(events), event) != std::end(events);
  };
  return contains(kErrorEvents)     ? spdlog::level::err
         : contains(kWarningEvents) ? spdlog::level::warn
                                    : spdlog::level::info;
}

}  // namespace

std::string json_text(std::string_view text) {
  return boost::json::serialize(boost::json::value(boost::json::string_view(text.data(), text.size())));
}

// Splits the format string into name=value pieces, at the spaces outside of quotes. Each value is formatted
// on its own, so its replacement fields are given explicit argument indices.
std::string json_members(fmt::string_view values, fmt::format_args args) {
  const std::string_view pairs(values.data(), values.size());
  std::string result;
  int next_argument = 0;
  for (std::size_t begin = 0; begin < pairs.size();) {
    auto end = begin;
    for (bool quoted = false; end < pairs.size() && (quoted || pairs[end] != ' '); ++end)
      if (pairs[end] == '"') quoted = !quoted;
    const auto pair = pairs.substr(begin, end - begin);
    begin = end + 1;
    const auto equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    std::string pattern;
    int fields = 0;
    for (const auto c : pair.substr(equals + 1)) {
      if (c == '"') continue;
      pattern += c;
      if (c == '{') {
        pattern += std::to_string(next_argument++);
        ++fields;
      }
    }
    const auto text = fmt::vformat(pattern, args);
    if (!result.empty()) result += ',';
    result += json_text(pair.substr(0, equals));
    result += ':';
    double number = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto is_number = error == std::errc{} && stop == text.data() + text.size() && std::isfinite(number);
    const auto unquoted =
        fields == 1 && pair.back() != '"' &&
        (text == "true" || text == "false" || (is_number && text.find_first_of("xX") == std::string::npos));
    result += unquoted ? text : json_text(text);
  }
  return result;
}

Log::Log(std::FILE* to, const Options& options)
    : sink_(std::make_shared<NonBlockingSink>(to, options.max_queued_bytes)),
      logger_(std::make_unique<spdlog::logger>("", sink_)) {
  configure(options);
}

Log::~Log() = default;

void Log::configure(const Options& options) {
  json_ = options.json;
  sink_->set_max_queued_bytes(options.max_queued_bytes);
  logger_->set_level(options.level);
  logger_->set_pattern(json_ ? R"({"at":%E.%e,"level":"%l",%v})" : "%E.%e %v");
}

bool Log::should_write(std::string_view event) {
  if (!logger_->should_log(level_for(event))) return false;
  auto& count = counts_[event];
  const auto below_limit = count.written < kMaxLinesPerEvent;
  if (below_limit)
    ++count.written;
  else
    ++count.suppressed;
  return below_limit;
}

void Log::write(std::string_view event, fmt::string_view values, fmt::format_args args) {
  std::string text;
  if (json_) {
    text = json_members(values, args);
    if (text.size() > kMaxValueBytes) text = "\"cut\":" + json_text(text.substr(0, kMaxValueBytes / 2));
    text = "\"event\":" + json_text(event) + (text.empty() ? "" : ",") + text;
  } else {
    // A value may have been received from a peer: it must not end the line, nor make it arbitrarily long.
    text = fmt::vformat(values, args).substr(0, kMaxValueBytes);
    std::replace_if(
        text.begin(), text.end(), [](unsigned char c) { return c < ' '; }, ' ');
    text = std::string(event) + " " + text;
  }
  logger_->log(level_for(event), spdlog::string_view_t(text));
}

void Log::write_summaries(double now) {
  sink_->flush();
  if (now < last_summary_at_ + 1) return;
  last_summary_at_ = now;
  for (auto& [event, count] : counts_) {
    const auto suppressed = count.suppressed;
    count = {};
    if (suppressed > 0) line(event, "held_back={}", suppressed);
  }
  if (const auto dropped = sink_->dropped_lines();
      dropped > reported_dropped_lines_ && sink_->queued_bytes() == 0) {
    line("lines_lost", "count={}", dropped - reported_dropped_lines_);
    reported_dropped_lines_ = dropped;
  }
}

long long Log::dropped_lines() const {
  return sink_->dropped_lines();
}

std::size_t Log::queued_bytes() const {
  return sink_->queued_bytes();
}

}  // namespace yoketurn
