#include "timeline/segments.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "files/write_fully.hpp"

namespace yoketurn {

namespace fs = std::filesystem;

namespace {

constexpr char kMagic[8] = {'Y', 'T', 'S', 'E', 'G', '\r', '\n', 0};
constexpr std::size_t kMostEvents = 1024;  // in a block
constexpr std::size_t kLargestBlock = 1 << 20;
constexpr auto kPatience = std::chrono::milliseconds(200);  // until a block that is not full is written
constexpr auto kRetryAfter = std::chrono::seconds(1);       // of a failure of the disk

struct Header {
  char magic[8];
  std::uint32_t version;
  std::uint32_t event_size;
  double unix_at_zero;
  char router[32];
  std::uint32_t sum;  // of all before it
};
struct Block {
  std::uint32_t length;  // of the payload
  std::uint32_t sum;     // of type and payload
  char type;             // E: events, N: names of lines
  char unused[3];
};
struct NameHead {
  std::uint32_t line;
  std::uint32_t length;
};

std::uint32_t sum_of(const void* data, std::size_t size) {
  return static_cast<std::uint32_t>(XXH3_64bits(data, size));
}
std::uint32_t sum_of_block(char type, const char* data, std::size_t size) {
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(data, size, static_cast<unsigned char>(type)));
}
double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::vector<fs::path> files_of(const std::string& folder) {
  std::vector<fs::path> files;
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".ytseg") files.push_back(entry.path());
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

Segments::Segments(const SegmentLimits& limits, std::string router, double unix_at_zero)
    : limits_(limits),
      router_(std::move(router)),
      unix_at_zero_(unix_at_zero),
      queue_(static_cast<std::size_t>(std::max(limits.queue, 16))),
      thread_([this] { write(); }) {}

Segments::~Segments() {
  ends_ = true;
  thread_.join();
  close_file();
}

void Segments::event(const Event& event) {
  if (lost_ > told_lost_) {
    Item gap;
    gap.event.at = event.at;
    gap.event.line = kLoop;
    gap.event.what = What::gap;
    gap.event.a = static_cast<float>(lost_ - told_lost_);
    if (queue_.try_enqueue(gap)) told_lost_ = lost_;
  }
  Item item;
  item.event = event;
  if (!queue_.try_enqueue(item)) ++lost_;
}

void Segments::line(const Timeline::Line& line) {
  Item item;
  item.named = true;
  item.event.line = line.id;
  std::strncpy(item.name, line.name.c_str(), sizeof item.name - 1);
  if (!queue_.try_enqueue(item)) ++lost_;
}

std::string Segments::trouble() const {
  return std::strerror(error_.load());
}

void Segments::close_file() {
  if (file_ < 0) return;
  const auto closed = ::close(file_);
  file_ = -1;
  if (closed != 0 && errno != EINTR) fail(errno);
}

void Segments::fail(int error) {
  error_ = error;
  ++failures_;
  if (file_ >= 0) ::close(file_);
  file_ = -1;
  retry_at_ = std::chrono::steady_clock::now() + kRetryAfter;
}

// Later in order than every file that is there, also where the wall clock was stepped back since.
std::string Segments::next_path() const {
  auto stamp = static_cast<long long>(unix_now() * 1e3);
  const auto files = files_of(limits_.folder);
  if (!files.empty()) stamp = std::max(stamp, std::atoll(files.back().filename().c_str()) + 1);
  return fmt::format("{}/{:013}-000001.ytseg", limits_.folder, stamp);
}

bool Segments::open() {
  if (std::chrono::steady_clock::now() < retry_at_) return false;
  std::error_code made;
  fs::create_directories(limits_.folder, made);
  const auto path = next_path();
  file_ = ::open(path.c_str(), O_CREAT | O_EXCL | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
  if (file_ < 0) {
    fail(errno);
    return false;
  }
  Header header{};
  std::memcpy(header.magic, kMagic, sizeof kMagic);
  header.version = kSegmentVersion;
  header.event_size = sizeof(Event);
  header.unix_at_zero = unix_at_zero_;
  std::strncpy(header.router, router_.c_str(), sizeof header.router - 1);
  header.sum = sum_of(&header, offsetof(Header, sum));
  written_ = 0;
  if (!write_all(reinterpret_cast<const char*>(&header), sizeof header)) {
    ::unlink(path.c_str());  // a full disk would else gather one such file a second
    return false;
  }
  clean();
  return append_names();
}

// False: the disk took no more, and the file is closed; the torn tail is cut by whoever reads it.
bool Segments::write_all(const char* bytes, std::size_t size) {
  if (!write_fully(file_, bytes, size)) {
    fail(errno);
    return false;
  }
  written_ += size;
  return true;
}

bool Segments::append(char type, const std::vector<char>& payload) {
  Block block{};
  block.length = static_cast<std::uint32_t>(payload.size());
  block.type = type;
  block.sum = sum_of_block(type, payload.data(), payload.size());
  std::vector<char> bytes(sizeof block + payload.size());
  std::memcpy(bytes.data(), &block, sizeof block);
  if (!payload.empty()) std::memcpy(bytes.data() + sizeof block, payload.data(), payload.size());
  return write_all(bytes.data(), bytes.size());
}

bool Segments::append_names() {
  std::vector<char> payload;
  for (const auto& [line, name] : names_) {
    const NameHead head{line, static_cast<std::uint32_t>(name.size())};
    const auto* bytes = reinterpret_cast<const char*>(&head);
    payload.insert(payload.end(), bytes, bytes + sizeof head);
    payload.insert(payload.end(), name.begin(), name.end());
  }
  return payload.empty() || append('N', payload);
}

bool Segments::append_events(const std::vector<Event>& events) {
  std::vector<char> payload(events.size() * sizeof(Event));
  std::memcpy(payload.data(), events.data(), payload.size());
  return append('E', payload);
}

// The oldest go, by age and by the sum of the sizes; the one that is written to stays.
void Segments::clean() {
  auto files = files_of(limits_.folder);
  if (!files.empty()) files.pop_back();
  std::uintmax_t sum = limits_.size;
  std::error_code error;
  for (auto file = files.rbegin(); file != files.rend(); ++file) {
    struct stat told {};
    if (::stat(file->c_str(), &told) != 0) continue;
    sum += static_cast<std::uintmax_t>(told.st_size);
    const auto age = unix_now() - static_cast<double>(told.st_mtime);
    if (sum > limits_.total || age > limits_.age) fs::remove(*file, error);
  }
}

// Events that the disk does not take are counted; the next ones that it takes come behind a gap of so many.
void Segments::put(std::vector<Event>& events) {
  const auto many = events.size();
  if (many > 0) last_at_ = events.back().at;
  if (unwritten_ > 0) {
    Event gap;
    gap.at = many > 0 ? events.front().at : last_at_;
    gap.line = kLoop;
    gap.what = What::gap;
    gap.a = static_cast<float>(unwritten_);
    events.insert(events.begin(), gap);
  }
  if (events.empty()) return;
  if (file_ >= 0 && written_ + events.size() * sizeof(Event) > limits_.size) close_file();
  const auto written = (file_ >= 0 || open()) && append_events(events);
  unwritten_ = written ? 0 : unwritten_ + many;
  events.clear();
}

void Segments::write() {
  std::vector<Event> events;
  events.reserve(kMostEvents);
  Item item;
  for (;;) {
    const auto ends = ends_.load();
    const auto got = queue_.wait_dequeue_timed(item, kPatience);
    if (got && item.named) {
      put(events);
      // A place that is given to another line begins a name of its own; the earlier one is in the segments
      // before.
      names_[item.event.line] = item.name;
      std::vector<char> payload(sizeof(NameHead));
      const NameHead head{item.event.line, static_cast<std::uint32_t>(std::strlen(item.name))};
      std::memcpy(payload.data(), &head, sizeof head);
      payload.insert(payload.end(), item.name, item.name + head.length);
      if (names_.size() > 1 << 16) names_.erase(names_.begin());
      if (file_ >= 0) append('N', payload);  // where that fails the next file begins with all names
    } else if (got) {
      if (item.event.what == What::clock) unix_at_zero_ = item.event.wide();
      events.push_back(item.event);
    }
    if (events.size() >= kMostEvents || !got) put(events);
    if (ends && !got) break;
  }
}

double SegmentsRead::unix_of(std::size_t event) const {
  auto at = std::upper_bound(clocks.begin(), clocks.end(), event,
                             [](auto e, const auto& clock) { return e < clock.first; });
  return events[event].at + (at == clocks.begin() ? 0 : std::prev(at)->second);
}

bool read_segment(const std::string& path, SegmentsRead& into) {
  std::ifstream file(path, std::ios::binary);
  const std::vector<char> bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  const auto tell = [&](const std::string& what) {
    into.told.push_back(fmt::format("{}: {}", fs::path(path).filename().string(), what));
    return false;
  };
  Header header{};
  if (bytes.size() < sizeof header) return tell("shorter than its head: nothing of it is read");
  std::memcpy(&header, bytes.data(), sizeof header);
  if (std::memcmp(header.magic, kMagic, sizeof kMagic) != 0) return tell("is no segment");
  if (header.sum != sum_of(&header, offsetof(Header, sum)))
    return tell("its head is broken: nothing of it is read");
  if (header.version > kSegmentVersion)
    return tell(fmt::format("is of version {}, newer than {}: not read", header.version, kSegmentVersion));
  if (header.event_size != sizeof(Event)) return tell("has events of another size: not read");
  header.router[sizeof header.router - 1] = 0;
  into.router = header.router;
  into.clocks.emplace_back(into.events.size(), header.unix_at_zero);
  for (auto at = sizeof header; at < bytes.size();) {
    const auto cut = [&](std::string_view why) {
      return tell(fmt::format("{} at byte {}: {} bytes are cut", why, at, bytes.size() - at));
    };
    Block block{};
    if (bytes.size() - at < sizeof block) return cut("torn");
    std::memcpy(&block, bytes.data() + at, sizeof block);
    if (block.length > kLargestBlock) return cut("broken");
    if (bytes.size() - at - sizeof block < block.length) return cut("torn");
    const auto* payload = bytes.data() + at + sizeof block;
    if (block.sum != sum_of_block(block.type, payload, block.length)) return cut("broken");
    if (block.type == 'E' && block.length % sizeof(Event) == 0) {
      const auto before = into.events.size();
      into.events.resize(before + block.length / sizeof(Event));
      std::memcpy(static_cast<void*>(into.events.data() + before), payload, block.length);
      for (auto i = before; i < into.events.size(); ++i)
        if (into.events[i].what == What::clock) into.clocks.emplace_back(i, into.events[i].wide());
    } else if (block.type == 'N') {
      for (std::size_t i = 0; i + sizeof(NameHead) <= block.length;) {
        NameHead head{};
        std::memcpy(&head, payload + i, sizeof head);
        i += sizeof head;
        if (head.length > block.length - i) return cut("broken");
        into.names[head.line] = std::string(payload + i, head.length);
        i += head.length;
      }
    } else {
      return cut("broken");
    }
    at += sizeof block + block.length;
  }
  return true;
}

SegmentsRead read_segments(const std::string& folder) {
  SegmentsRead all;
  for (const auto& file : files_of(folder)) read_segment(file.string(), all);
  return all;
}

}  // namespace yoketurn
