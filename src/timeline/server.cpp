#include "timeline/server.hpp"

#include <fmt/format.h>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <limits>
#include <map>

#include "queries/clock.hpp"
#include "timeline/record.hpp"

namespace yoketurn {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t kHead = 4096;
constexpr std::size_t kPiece = 64 * 1024;  // written at once
constexpr std::uint64_t kLooked =
    4096;                         // members looked at for one piece: the loop is held no longer than that
constexpr double kPatience = 10;  // without a byte taken

std::map<std::string, std::string> parameters(std::string_view target) {
  std::map<std::string, std::string> result;
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) return result;
  for (auto rest = target.substr(mark + 1); !rest.empty();) {
    const auto piece = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(piece.size() + 1, rest.size()));
    const auto equals = std::min(piece.find('='), piece.size());
    std::string value;
    for (auto i = equals + 1; i < piece.size(); ++i) {
      unsigned char byte = 0;
      const auto hex = piece[i] == '%' && i + 2 < piece.size() &&
                       std::from_chars(&piece[i + 1], &piece[i + 3], byte, 16).ec == std::errc{};
      value += hex ? static_cast<char>(byte) : piece[i];
      if (hex) i += 2;
    }
    result[std::string(piece.substr(0, equals))] = value;
  }
  return result;
}

double number(const std::map<std::string, std::string>& given, const char* name, double absent) {
  const auto at = given.find(name);
  if (at == given.end()) return absent;
  double value = absent;
  const auto [end, error] = std::from_chars(at->second.data(), at->second.data() + at->second.size(), value);
  return error == std::errc{} ? value : absent;
}

}  // namespace

class TimelineServer::Reader : public std::enable_shared_from_this<Reader> {
 public:
  Reader(asio::ip::tcp::socket socket, TimelineServer& owner)
      : socket_(std::move(socket)), owner_(&owner), due_(owner.due_), due_key_(due_.new_key()) {
    parser_.header_limit(kHead);
    parser_.body_limit(0);
    parser_.eager(true);
  }
  void start() {
    patience();
    read();
  }
  void close() {
    due_.cancel(due_key_);
    boost::system::error_code ignored;
    socket_.close(ignored);
    if (auto* owner = std::exchange(owner_, nullptr)) owner->done(shared_from_this());
  }
  void orphan() {
    owner_ = nullptr;
    close();
  }

 private:
  enum class Part { none, nodes, events, tens, seconds, versions };
  void patience() {
    due_.schedule(due_key_, now() + kPatience, [weak = weak_from_this()](double) {
      if (const auto self = weak.lock()) self->close();
    });
  }
  void read() {
    socket_.async_read_some(asio::buffer(in_.data() + held_, in_.size() - held_),
                            [self = shared_from_this()](const auto& error, auto count) {
                              if (error || self->owner_ == nullptr) return self->close();
                              self->held_ += count;
                              self->take();
                            });
  }
  void take() {
    boost::system::error_code error;
    const auto used = parser_.put(asio::buffer(in_.data(), held_), error);
    std::copy(in_.begin() + static_cast<std::ptrdiff_t>(used),
              in_.begin() + static_cast<std::ptrdiff_t>(held_), in_.begin());
    held_ -= used;
    if (error && error != http::error::need_more) return refuse(400, "not a request that can be read");
    if (!parser_.is_done()) return held_ < in_.size() ? read() : refuse(431, "too large");
    answer();
  }
  void refuse(int status, std::string_view why) {
    piece_ = fmt::format("HTTP/1.1 {} -\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n{}\n", status,
                         why);
    part_ = Part::none;
    write();
  }
  void answer() {
    const auto& request = parser_.get();
    const std::string target(request.target());
    if (request.method() != http::verb::get) return refuse(405, "only GET is answered here");
    const auto* timeline = owner_->source_();
    if (timeline == nullptr) return refuse(503, "there is no time line now");
    const auto path = target.substr(0, target.find('?'));
    const auto given = parameters(target);
    from_ = number(given, "from", 0);
    to_ = number(given, "to", std::numeric_limits<double>::infinity());
    if (const auto at = given.find("line"); at != given.end()) {
      wanted_ = at->second;
      if (timeline->named(wanted_) == nullptr) return refuse(404, "no line of that name");
    }
    if (path == "/timeline/nodes") {
      part_ = Part::nodes;
    } else if (path == "/timeline/events") {
      part_ = Part::events;
      next_ = timeline->events().begin();
    } else if (path == "/timeline/summaries") {
      part_ = Part::tens;
      next_ = timeline->tens().begin();
    } else if (path == "/versions" && owner_->versions_) {
      part_ = Part::versions;
      next_ = static_cast<std::uint64_t>(std::max(number(given, "since", 0), 0.0));
    } else {
      return refuse(404, "ask for /timeline/nodes, /timeline/events, /timeline/summaries or /versions");
    }
    piece_ = "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n";
    fill();
  }
  void gap(std::uint64_t many, const Timeline& timeline) {
    if (many == 0) return;
    Record record;
    record.line = "loop";
    record.unix = timeline.unix_at(now());
    record.event.at = now();
    record.event.line = kLoop;
    record.event.what = What::gap;
    record.event.a = static_cast<float>(many);
    piece_ += to_json(record) + "\n";
  }
  bool of_wanted(const Timeline& timeline, std::uint32_t id) const {
    if (wanted_.empty()) return true;
    const auto* line = timeline.line(id);
    return line != nullptr && line->name == wanted_;
  }
  template <class T, class Say>
  void members(const Timeline& timeline, const Kept<T>& kept, Part after, Say say) {
    if (next_ > kept.end()) next_ = kept.end();  // another time line took its place
    if (next_ < kept.begin()) {
      gap(kept.begin() - next_, timeline);
      next_ = kept.begin();
    }
    for (const auto stop = std::min(kept.end(), next_ + kLooked); next_ < stop && piece_.size() < kPiece;
         ++next_)
      say(kept[next_]);
    if (next_ < kept.end()) return;
    part_ = after;
    next_ = 0;
  }
  // Where the router stands, then its intervals from the one asked for on, the open one last.
  void versions() {
    const auto view = owner_->versions_();
    if (std::exchange(first_, false)) piece_ += view.report(now()) + "\n";
    const auto say = [&](const Interval& i) {
      piece_ += to_json(i, view.unix_time_at_zero, *view.verticals) + "\n";
      next_ = i.number + 1;
    };
    for (const auto& interval : view.tracker->closed_intervals()) {
      if (piece_.size() >= kPiece) return;
      if (interval.number >= next_) say(interval);
    }
    if (view.tracker->open_interval_number() >= next_) say(view.tracker->open_interval());
    part_ = Part::none;
  }
  void fill() {
    const auto* timeline = owner_ == nullptr ? nullptr : owner_->source_();
    if (timeline == nullptr) return close();
    const auto in = [&](double at) { return timeline->unix_at(at) >= from_ && timeline->unix_at(at) <= to_; };
    if (part_ == Part::nodes) {
      for (; next_ < timeline->lines().size() && piece_.size() < kPiece; ++next_)
        if (const auto& line = timeline->lines()[next_]; next_ > kLoop)
          piece_ += to_json(line, *timeline, now()) + "\n";
      if (next_ >= timeline->lines().size()) part_ = Part::none;
    } else if (part_ == Part::events) {
      if (first_) gap(timeline->events().begin(), *timeline);
      first_ = false;
      members(*timeline, timeline->events(), Part::none, [&](const Event& e) {
        if (of_wanted(*timeline, e.line) && in(e.at)) piece_ += to_json(record_of(*timeline, e)) + "\n";
      });
    } else if (part_ == Part::tens || part_ == Part::seconds) {
      const auto tens = part_ == Part::tens;
      members(*timeline, tens ? timeline->tens() : timeline->seconds(), tens ? Part::seconds : Part::none,
              [&](const Summary& s) {
                if (of_wanted(*timeline, s.line) && in(timeline->start() + s.start))
                  piece_ += to_json(*timeline, s) + "\n";
              });
      if (tens && part_ == Part::seconds) next_ = timeline->seconds().begin();
    } else if (part_ == Part::versions) {
      versions();
    }
    write();
  }
  void write() {
    if (piece_.empty() && part_ == Part::none) return close();
    patience();
    asio::async_write(socket_, asio::buffer(piece_), [self = shared_from_this()](const auto& error, auto) {
      if (error || self->owner_ == nullptr) return self->close();
      self->piece_.clear();
      self->part_ == Part::none ? self->finish() : self->fill();
    });
  }
  void finish() {
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    close();
  }

  asio::ip::tcp::socket socket_;
  TimelineServer* owner_;
  TimerQueue& due_;
  TimerQueue::Key due_key_;
  std::array<char, kHead> in_{};
  std::size_t held_ = 0;
  http::request_parser<http::string_body> parser_;
  Part part_ = Part::none;
  std::uint64_t next_ = 0;
  bool first_ = true;
  double from_ = 0, to_ = 0;
  std::string wanted_, piece_;
};

TimelineServer::TimelineServer(asio::io_context& context, TimerQueue& due, const asio::ip::tcp::endpoint& at,
                               int readers, Source source, VersionsSource versions)
    : context_(context),
      acceptor_(context),
      due_(due),
      most_(readers),
      source_(std::move(source)),
      versions_(std::move(versions)) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  accept();
}

TimelineServer::~TimelineServer() {
  for (const auto& reader : std::exchange(readers_, {})) reader->orphan();
}

void TimelineServer::bound(int readers) {
  most_ = readers;
  accept();
}

void TimelineServer::accept() {
  if (accepting_ || readers() >= most_) return;
  accepting_ = true;
  acceptor_.async_accept([this](const auto& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    accepting_ = false;
    if (error) return;
    const auto reader = std::make_shared<Reader>(std::move(socket), *this);
    readers_.insert(reader);
    reader->start();
    accept();
  });
}

void TimelineServer::done(const std::shared_ptr<Reader>& reader) {
  readers_.erase(reader);
  accept();
}

}  // namespace yoketurn
