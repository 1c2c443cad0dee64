#include "fleet/follow.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <fstream>
#include <limits>

#include "queries/clock.hpp"
#include "time/wall_time.hpp"

namespace yoketurn::fleet {

namespace asio = boost::asio;

namespace {

constexpr double kPatience = 1.5;              // for a router's answer
constexpr std::size_t kMostAnswer = 64 << 20;  // bytes
constexpr std::size_t kMostRead = 4 << 20;     // of a log in one round
constexpr double kLogBound = 0.05;             // of the clocks, where a log is all there is: one machine

using Words = std::map<std::string, std::string, std::less<>>;

// name=value, set apart by spaces; values may stand in quotes.
Words words_of(std::string_view text) {
  Words words;
  while (!text.empty()) {
    const auto equals = text.find('=');
    if (equals == std::string_view::npos) break;
    const auto begin = text.rfind(' ', equals) == std::string_view::npos ? 0 : text.rfind(' ', equals) + 1;
    const auto name = text.substr(begin, equals - begin);
    text.remove_prefix(equals + 1);
    const auto quoted = text.starts_with('"');
    const auto end = quoted ? text.find('"', 1) : text.find(' ');
    const auto length = std::min(end, text.size());
    words.emplace(name, quoted ? text.substr(1, length - 1) : text.substr(0, length));
    text.remove_prefix(std::min(length + 1, text.size()));
  }
  return words;
}

template <class Number>
Number number(const Words& words, std::string_view name, int base = 10) {
  Number value{};
  const auto at = words.find(name);
  if (at == words.end()) return value;
  const auto* begin = at->second.data();
  const auto* end = begin + at->second.size();
  if constexpr (std::is_floating_point_v<Number>)
    std::from_chars(begin, end, value);
  else
    std::from_chars(begin, end, value, base);
  return value;
}

std::string text(const Words& words, std::string_view name) {
  const auto at = words.find(name);
  return at == words.end() || at->second == "-" ? "" : at->second;
}

}  // namespace

double unix_now() {
  static const auto unix_at_start = unix_time_at_zero();
  return unix_at_start + yoketurn::now();
}

double program_clock_behind() {
  return WallTime::now().unix_seconds - unix_now();
}

// --- readers

struct Follower::Poll : std::enable_shared_from_this<Follower::Poll> {
  Poll(Follower& to, const RollEntry& of) : owner(&to), entry(of), socket(to.context_), timer(to.context_) {}

  void start() {
    timer.expires_after(std::chrono::microseconds(static_cast<long>(kPatience * 1e6)));
    timer.async_wait([self = shared_from_this()](const auto& error) {
      if (!error) self->over(false);
    });
    asked = unix_now();
    socket.async_connect(*entry.reader, [self = shared_from_this()](const auto& error) {
      if (error) return self->over(false);
      self->ask();
    });
  }
  void ask() {
    request = fmt::format("GET /versions?since={} HTTP/1.1\r\nHost: router\r\n\r\n",
                          owner == nullptr ? 0 : owner->from_[entry.name].since);
    asked = unix_now();
    asio::async_write(socket, asio::buffer(request), [self = shared_from_this()](const auto& error, auto) {
      if (error) return self->over(false);
      self->read();
    });
  }
  void read() {
    const auto held = all.size();
    all.resize(held + (64 << 10));
    socket.async_read_some(asio::buffer(all.data() + held, all.size() - held),
                           [self = shared_from_this(), held](const auto& error, auto count) {
                             if (count > 0 && self->answered == 0) self->answered = unix_now();
                             self->all.resize(held + count);
                             if (error == asio::error::eof) return self->over(true);
                             if (error || self->all.size() > kMostAnswer) return self->over(false);
                             self->read();
                           });
  }
  void over(bool good) {
    timer.cancel();
    boost::system::error_code ignored;
    socket.close(ignored);
    auto* to = std::exchange(owner, nullptr);
    if (to == nullptr) return;
    if (!good || !take(*to)) to->hands_.missed(entry.name, unix_now());
    to->over();
  }
  bool take(Follower& to) {
    const auto head = all.find("\r\n\r\n");
    if (!all.starts_with("HTTP/1.1 200") || head == std::string::npos) return false;
    std::string_view body(all);
    body.remove_prefix(head + 4);
    double began = 0;
    auto& from = to.from_[entry.name];
    while (!body.empty()) {
      const auto end = body.find('\n');
      if (end == std::string_view::npos) break;  // cut off
      const auto told = parse_versions_line(body.substr(0, end));
      body.remove_prefix(end + 1);
      if (const auto* stand = std::get_if<VersionReport>(&told)) {
        if (stand->router != entry.name) return false;  // another one has its place
        began = stand->process_started_at;
        if (from.began != began) {
          const auto again = from.since > 0;
          from = {began, 0};
          // What was asked for was counted by the one before: this one's own beginning comes next time.
          if (again) {
            to.hands_.seen(
                {*stand, answered, stand->unix_time - (asked + answered) / 2, (answered - asked) / 2});
            return true;
          }
        }
        to.hands_.seen({*stand, answered, stand->unix_time - (asked + answered) / 2, (answered - asked) / 2});
      } else if (const auto* interval = std::get_if<ReportedInterval>(&told);
                 interval != nullptr && began > 0) {
        to.hands_.interval(entry.name, began, *interval);
        // The one that goes on is asked for again.
        from.since =
            std::max(from.since, interval->interval.number + (interval->interval.ended_at > 0 ? 1 : 0));
      }
    }
    return began > 0;
  }

  Follower* owner;
  const RollEntry& entry;
  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::string request, all;
  double asked = 0, answered = 0;
};

// --- logs

std::vector<ReportedInterval> LogReader::take(std::string_view line) {
  const auto space = line.find(' ');
  if (space == std::string_view::npos) return {};
  double at = 0;
  std::from_chars(line.data(), line.data() + space, at);
  auto rest = line.substr(space + 1);
  const auto event = rest.substr(0, rest.find(' '));
  rest.remove_prefix(std::min(event.size() + 1, rest.size()));
  if (event == "phase") {
    const auto words = words_of(rest);
    stand.serving = text(words, "name") == "serving";
    return {};
  }
  if (event == "taking") {
    const auto words = words_of(rest);
    for (std::size_t i = 0; i < static_cast<std::size_t>(Participation::last); ++i)
      if (name(static_cast<Participation>(i)) == text(words, "state"))
        stand.participation = static_cast<Participation>(i);
    stand.participation_since = at;
    stand.order_term = number<long long>(words, "term");
    stand.order_number = number<long long>(words, "number");
    return {};
  }
  if (event == "version") {
    const auto words = words_of(rest);
    const auto began = number<double>(words, "began");
    if (!begun || began != stand.process_started_at) {
      const auto serving = stand.serving;
      stand = {};
      stand.serving = begun ? false : serving;
      begun = true;
    }
    stand.router = text(words, "router");
    stand.site = text(words, "site");
    stand.process_started_at = began;
    stand.unix_time = at;
    for (std::size_t i = 0; i < kVersionedInputCount; ++i)
      if (name(static_cast<VersionedInput>(i)) == text(words, "subject"))
        stand.versions[i] = {number<long long>(words, "count"),
                             number<int>(words, "epoch"),
                             number<std::uint64_t>(words, "hash", 16),
                             text(words, "source"),
                             at,
                             at};
    return {};
  }
  if (event != "acted") return {};
  const auto words = words_of(rest);
  ReportedInterval told;
  auto& i = told.interval;
  i.number = number<std::uint64_t>(words, "interval");
  i.started_at = number<double>(words, "from");
  i.ended_at = i.started_at + number<double>(words, "lasted");
  const auto list = text(words, "list");
  const auto dot = std::min(list.find('.'), list.size());
  std::from_chars(list.data(), list.data() + dot, i.versions[0].epoch);
  if (dot < list.size())
    std::from_chars(list.data() + dot + 1, list.data() + list.size(), i.versions[0].count);
  i.versions[0].hash = number<std::uint64_t>(words, "list_hash", 16);
  for (std::size_t k = 1; k < kVersionedInputCount; ++k)
    i.versions[k] = {0, 1, number<std::uint64_t>(words, name(static_cast<VersionedInput>(k)), 16)};
  auto& acts = i.actions.emplace_back();
  told.verticals.emplace_back("all");
  for (std::size_t k = 0; k < kRouterActionCount; ++k)
    acts[k] = number<std::uint32_t>(words, name(static_cast<RouterAction>(k)));
  return {told};
}

struct Follower::Tail {
  Tail(const RollEntry& of, Follower& to) : entry(of), owner(to) {}
  const RollEntry& entry;
  Follower& owner;
  std::streamoff read = 0;
  std::string partial;
  LogReader reader;

  void read_on() {
    std::ifstream file(entry.log, std::ios::binary);
    if (!file) return owner.hands_.missed(entry.name, unix_now());
    file.seekg(0, std::ios::end);
    const auto size = static_cast<std::streamoff>(file.tellg());
    if (size < read) {  // another file has its name
      read = 0;
      partial.clear();
    }
    file.seekg(read);
    const auto many = std::min<std::streamoff>(size - read, static_cast<std::streamoff>(kMostRead));
    std::string piece(static_cast<std::size_t>(many), '\0');
    file.read(piece.data(), many);
    piece.resize(static_cast<std::size_t>(std::max<std::streamsize>(file.gcount(), 0)));
    read += static_cast<std::streamoff>(piece.size());
    partial += piece;
    std::size_t begin = 0;
    for (auto end = partial.find('\n'); end != std::string::npos; end = partial.find('\n', begin)) {
      for (const auto& told : reader.take(std::string_view(partial).substr(begin, end - begin)))
        owner.hands_.interval(entry.name, reader.stand.process_started_at, told);
      begin = end + 1;
    }
    partial.erase(0, begin);
    if (!reader.begun || reader.stand.router != entry.name) return;
    // A log says nothing of whether its router lives: only what it wrote last is known.
    if (!piece.empty()) owner.hands_.seen({reader.stand, unix_now(), 0, kLogBound});
  }
};

Follower::Follower(asio::io_context& context, const Roll& roll, Hands hands)
    : context_(context), roll_(roll), hands_(std::move(hands)) {
  for (const auto& entry : roll_.routers)
    if (!entry.log.empty() && !entry.reader) tails_.push_back(std::make_unique<Tail>(entry, *this));
}

Follower::~Follower() = default;

void Follower::round(std::function<void()> then) {
  then_ = std::move(then);
  for (const auto& tail : tails_) tail->read_on();
  asked_ = 1;
  for (const auto& entry : roll_.routers) {
    if (!entry.reader) continue;
    ++asked_;
    std::make_shared<Poll>(*this, entry)->start();
  }
  over();
}

void Follower::over() {
  if (--asked_ > 0) return;
  if (auto then = std::exchange(then_, nullptr)) asio::post(context_, std::move(then));
}

}  // namespace yoketurn::fleet
