// The time line's core, its readers and its segments, without a router.
#include "timeline/timeline.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <random>

#include "logging/log.hpp"
#include "queries/queries.hpp"
#include "support.hpp"
#include "timeline/record.hpp"
#include "timeline/recorder.hpp"
#include "timeline/segments.hpp"

using namespace yoketurn;

namespace {

Event event(double at, std::uint32_t line, What what, std::uint8_t why = 0, float a = 0) {
  Event e;
  e.at = at;
  e.line = line;
  e.what = what;
  e.why = why;
  e.a = a;
  return e;
}

constexpr auto kSuccess = static_cast<std::uint8_t>(Outcome::success);
constexpr auto kFirst = static_cast<std::uint8_t>(Reason::first_call);

struct Folder {
  Folder() { std::filesystem::remove_all(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string file() const {
    for (const auto& entry : std::filesystem::directory_iterator(path)) return entry.path().string();
    return "";
  }
  const std::string path =
      (std::filesystem::temp_directory_path() / ("yoketurn-segments-" + std::to_string(getpid()))).string();
};

}  // namespace

TEST_SUITE_BEGIN("timeline");

TEST_CASE("no sequence of events grows past the budget, and the last ones stand in order") {
  const auto good = rc::check("budget", [] {
    const auto memory = *rc::gen::inRange<std::size_t>(300'000, 2'000'000);
    const auto lines = *rc::gen::inRange(1, 200);
    Timeline timeline({memory, 0.5, lines}, 0, 0);
    RC_ASSERT(timeline.bytes() <= memory);
    std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
    std::vector<std::uint32_t> open;
    double now = 0;
    for (int i = 0; i < 30'000; ++i) {
      now += 0.001 * static_cast<double>(chance() % 20);
      if (chance() % 50 == 0) {
        if (const auto line = timeline.open(fmt::format("n{}", i), "", now); line != kNoLine)
          open.push_back(line);
      }
      if (open.empty()) continue;
      const auto which = chance() % open.size();
      if (chance() % 60 == 0) {
        timeline.close(open[which], now);
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
        continue;
      }
      timeline.record(event(now, open[which], chance() % 2 ? What::sent : What::outcome, kSuccess, 0.01F));
    }
    RC_ASSERT(timeline.lines().size() <= static_cast<std::size_t>(lines) + 2);
    const auto& events = timeline.events();
    for (auto i = events.begin() + 1; i < events.end(); ++i) RC_ASSERT(events[i - 1].at <= events[i].at);
  });
  CHECK(good);
}

TEST_CASE("summaries agree with the events they replaced") {
  const auto good = rc::check("summaries", [] {
    Timeline timeline({8 << 20, 0.6, 8}, 100, 0);
    std::vector<std::uint32_t> lines;
    for (int i = 0; i < 3; ++i) lines.push_back(timeline.open(fmt::format("n{}", i), "", 100));
    std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
    double now = 100;
    for (int i = 0; i < 8000; ++i) {
      now += 0.0005 * static_cast<double>(chance() % 30);
      const auto line = lines[chance() % lines.size()];
      const What kinds[] = {What::sent, What::outcome, What::passed, What::closed};
      const auto what = kinds[chance() % 4];
      const auto why = what == What::passed ? static_cast<std::uint8_t>(Reason::slow_start)
                       : what == What::sent ? static_cast<std::uint8_t>(1 + chance() % 4)
                                            : static_cast<std::uint8_t>(1 + chance() % 7);
      timeline.record(event(now, line, what, why, static_cast<float>(chance() % 1000) / 1000));
    }
    timeline.tick(now + 30, 0);
    for (const auto* kept : {&timeline.seconds(), &timeline.tens()}) {
      std::map<std::uint32_t, Summary> sums;
      for (auto i = kept->begin(); i < kept->end(); ++i) sums[(*kept)[i].line].add((*kept)[i]);
      for (const auto line : lines) {
        Summary truth;
        for (auto i = timeline.events().begin(); i < timeline.events().end(); ++i) {
          const auto& e = timeline.events()[i];
          if (e.line == line && e.what != What::passed) truth.take(e, 0);
        }
        const auto& sum = sums[line];
        RC_ASSERT(sum.sent == truth.sent);
        RC_ASSERT(sum.copied == truth.copied);
        RC_ASSERT(sum.resent == truth.resent);
        RC_ASSERT(sum.outcomes == truth.outcomes);
        RC_ASSERT(sum.latencies == truth.latencies);
        RC_ASSERT(sum.troubles == truth.troubles);
        RC_ASSERT(sum.slowest == truth.slowest);
        RC_ASSERT(sum.fastest == truth.fastest);
      }
    }
  });
  CHECK(good);
}

TEST_CASE("passings-over of one reason stand once a second and are all counted") {
  Timeline timeline({1 << 20, 0.5, 4}, 0, 0);
  const auto line = timeline.open("n", "", 0);
  const auto before = timeline.events().end();
  for (int i = 0; i < 40; ++i)
    timeline.record(
        event(0.2 + i * 0.001, line, What::passed, static_cast<std::uint8_t>(Reason::worse_score)));
  timeline.record(event(0.5, line, What::passed, static_cast<std::uint8_t>(Reason::suspect)));
  timeline.record(event(1.5, line, What::passed, static_cast<std::uint8_t>(Reason::worse_score)));
  CHECK(timeline.events().end() - before == 3);
  timeline.tick(5, 0);
  int passed = 0;
  for (auto i = timeline.seconds().begin(); i < timeline.seconds().end(); ++i)
    passed += timeline.seconds()[i].passed;
  CHECK(passed == 42);
}

TEST_CASE("a line that is gone stands until its place is needed; the same name again is a new line") {
  Timeline timeline({1 << 20, 0.5, 2}, 0, 0);
  const auto a = timeline.open("a", "", 1), b = timeline.open("b", "", 1);
  CHECK(timeline.open("c", "", 2) == kNoLine);
  timeline.close(a, 3);
  CHECK(timeline.line(a)->name == "a");
  const auto again = timeline.open("a", "", 4);
  CHECK(again != a);
  CHECK(timeline.line(a) == nullptr);
  CHECK(timeline.named("a")->id == again);
  timeline.record(event(5, a, What::sent, kFirst));
  CHECK(timeline.nameless() == 1);
  CHECK(timeline.line(b)->sent == 0);
}

TEST_CASE("the wall clock steps") {
  Timeline timeline({1 << 20, 0.5, 2}, 10, 1000);
  timeline.tick(11, 1000.01);
  CHECK(timeline.unix_at(11) == 1011);
  timeline.tick(12, 400);
  CHECK(timeline.unix_at(12) == 412);
  const auto& last = timeline.events()[timeline.events().end() - 1];
  CHECK(last.what == What::clock);
  CHECK(last.wide() == 400);
}

TEST_CASE("calls sent are outcomes and those still out, for each node at each moment") {
  const auto good = rc::check("calls", [] {
    struct Counting : QueryActions {
      std::map<int, int> out;
      std::vector<std::tuple<long long, int, int, int>> calls;  // query, leaf, call, node
      void send(long long query, const Send& send, int call) override {
        ++out[send.node];
        calls.emplace_back(query, send.leaf, call, send.node);
      }
      void cancel(long long, const Cancel&) override {}
      void merge(long long, bool) override {}
      void reject(long long, double, const Explanation&) override {}
      void abort(long long, const Explanation&) override {}
      void release(long long) override {}
    } actions;
    TimerQueue due;
    std::mt19937 chance(*rc::gen::arbitrary<unsigned>());
    double now = 50;
    Queries queries(test::settings(), chance(), now, due, actions);
    Recorder recorder({4 << 20, 0.5, 16}, {}, true, 3, now, 0);
    queries.set_observer(&recorder);
    std::vector<DiscoveredNode> hosts;
    for (int i = 0; i < 5; ++i) {
      hosts.push_back({i, 0, i % 3, true, 0});
      recorder.listed(i, fmt::format("n{}", i), "", true, 0, 1, now);
    }
    queries.update_nodes(hosts, true, 0);
    for (long long number = 1; number < 400; ++number) {
      now += 0.002 * static_cast<double>(chance() % 40);
      Query q;
      q.vertical = static_cast<int>(chance() % 3);
      q.deadline = now + 2;
      queries.add_query(number, q, now);
      for (int i = 0; i < 3; ++i) queries.add_part(number, {i, 1.0 / 3, 0, 1, false, {}}, now);
      while (!actions.calls.empty() && chance() % 4 != 0) {
        const auto which = chance() % actions.calls.size();
        const auto [query, leaf, call, node] = actions.calls[which];
        actions.calls.erase(actions.calls.begin() + static_cast<std::ptrdiff_t>(which));
        --actions.out[node];
        queries.on_outcome(query, leaf, call, static_cast<Outcome>(1 + chance() % 9), 0, now);
      }
      queries.tick(now);
      queries.process_changes(now);
      if (chance() % 30 == 0) queries.abandon(number);
      recorder.tick(now, 0);
      for (const auto& line : recorder.timeline().lines()) {
        if (line.id <= kLoop) continue;
        const auto node = line.name[1] - '0';
        RC_ASSERT(line.sent == line.outcomes + line.outs.size());
        RC_ASSERT(static_cast<int>(line.outs.size()) == actions.out[node]);
      }
    }
  });
  CHECK(good);
}

TEST_CASE("a JSON line and back") {
  const auto good = rc::check("json", [] {
    Record r;
    r.unix = 1796143273.5;
    r.line = *rc::gen::element<std::string>("door", "loop", "s-1", "a \"b\"");
    r.event.what = static_cast<What>(*rc::gen::inRange(0, static_cast<int>(What::last)));
    r.event.vertical = static_cast<std::int16_t>(*rc::gen::inRange(-1, 5));
    r.event.query = *rc::gen::inRange(1U, 1'000'000U);
    r.event.a = static_cast<float>(*rc::gen::inRange(0, 1000));
    if (r.event.what == What::taken) r.event.set_id(*rc::gen::arbitrary<std::uint64_t>());
    const auto back = record_from_json(to_json(r));
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->line == r.line);
    RC_ASSERT(back->event.what == r.event.what);
    RC_ASSERT(back->event.why == r.event.why);
    RC_ASSERT(back->event.vertical == r.event.vertical);
    RC_ASSERT(back->event.query == r.event.query);
    if (r.event.what == What::taken)
      RC_ASSERT(back->event.id() == r.event.id());
    else if (r.event.what != What::clock)
      RC_ASSERT(back->event.a == r.event.a);
  });
  CHECK(good);
}

TEST_CASE("spans of time") {
  CHECK(span_of("last 10m", 1000)->from == 400);
  CHECK(span_of("2026-12-01T18:03:07Z..2026-12-01T18:04:00Z", 0)->to - 53 ==
        span_of("2026-12-01T18:03:07Z..2026-12-01T18:04:00Z", 0)->from);
  CHECK(iso(*from_iso("2026-12-01T18:03:07.250Z")) == "2026-12-01T18:03:07.250Z");
  for (const auto* bad :
       {"last", "last 10", "last -3m", "yesterday", "2026-12-01T18:04:00Z..2026-12-01T18:03:00Z"})
    CHECK(!span_of(bad, 0));
}

TEST_CASE(
    "a segment torn or flipped at any byte gives only events that were written, in order, and says so") {
  Folder folder;
  std::vector<Event> written;
  {
    Segments segments({folder.path, 1 << 20, 4 << 20, 1e6, 1024}, "r", 5);
    Timeline::Line line;
    line.id = 7;
    line.name = "s-7";
    segments.line(line);
    for (int i = 0; i < 60; ++i) {
      written.push_back(event(i, 7, What::sent, kFirst, static_cast<float>(i)));
      segments.event(written.back());
      if (i % 20 == 19) std::this_thread::sleep_for(std::chrono::milliseconds(250));  // a block
    }
  }
  const auto file = folder.file();
  std::ifstream in(file, std::ios::binary);
  const std::string whole((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  SegmentsRead all;
  REQUIRE(read_segment(file, all));
  CHECK(all.events == written);
  CHECK(all.names.at(7) == "s-7");
  const auto check = [&](const std::string& bytes, std::size_t at) {
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
    SegmentsRead read;
    const auto good = read_segment(file, read);
    REQUIRE(read.events.size() <= written.size());
    for (std::size_t i = 0; i < read.events.size(); ++i) REQUIRE(read.events[i] == written[i]);
    CAPTURE(at);
    // Cut between two blocks a segment reads as a shorter one; anything else is told.
    if (read.events.size() < written.size() && bytes.size() == whole.size()) CHECK(!good);
    if (!good) CHECK(read.told.size() == 1);
  };
  for (std::size_t i = 0; i < whole.size(); ++i) {
    check(whole.substr(0, i), i);
    auto flipped = whole;
    flipped[i] = static_cast<char>(flipped[i] ^ 0x10);
    check(flipped, i);
  }
}

TEST_CASE("segments keep to their sizes, and what the disk can't take is a stated gap") {
  Folder folder;
  {
    Segments segments({folder.path, 64 * 1024, 200 * 1024, 1e6, 64}, "r", 0);
    for (int i = 0; i < 200'000; ++i) {
      segments.event(event(i, kLoop, What::taken));
      if (i % 500 == 0) std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    CHECK(segments.lost() > 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    segments.event(event(40'000, kLoop, What::taken));
  }
  std::uintmax_t sum = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder.path)) sum += entry.file_size();
  CHECK(sum <= 300 * 1024);
  const auto read = read_segments(folder.path);
  CHECK(read.told.empty());
  double gaps = 0;
  for (const auto& e : read.events)
    if (e.what == What::gap) gaps += e.a;
  CHECK(gaps > 0);
}

TEST_CASE("a folder that can't be written is told and holds nothing up") {
  Segments segments({"/proc/no-such-place", 64 * 1024, 128 * 1024, 10, 64}, "r", 0);
  for (int i = 0; i < 2000; ++i) segments.event(event(i, kLoop, What::taken));
  for (int i = 0; i < 100 && segments.failures() == 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  CHECK(segments.failures() > 0);
  CHECK(!segments.trouble().empty());
}

TEST_CASE("a reader of the log that stalls holds nothing up; what is lost is counted and told") {
  int pipe_ends[2];
  REQUIRE(::pipe(pipe_ends) == 0);
  ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
  auto* to = ::fdopen(pipe_ends[1], "w");
  std::string got;
  {
    Log log(to, {false, spdlog::level::info, 8192});
    for (int i = 0; i < 60; ++i) {
      for (int j = 0; j < 10; ++j) log.line("event", "n={} pad=\"{:800}\"", i, "");
      log.sum_up(2.0 * i);
    }
    CHECK(log.waiting() <= 8192);
    CHECK(log.lost() > 0);
    char piece[65536];
    for (int i = 0; i < 8; ++i) {
      got.append(piece,
                 static_cast<std::size_t>(std::max<ssize_t>(::read(pipe_ends[0], piece, sizeof piece), 0)));
      log.sum_up(1000 + 2.0 * i);
      if (log.waiting() == 0 && i > 3) break;
    }
  }
  std::fclose(to);
  char piece[65536];
  for (ssize_t count; (count = ::read(pipe_ends[0], piece, sizeof piece)) > 0;)
    got.append(piece, static_cast<std::size_t>(count));
  ::close(pipe_ends[0]);
  CHECK(got.find("lines_lost count=") != std::string::npos);
}

TEST_CASE("the log's lines as JSON") {
  char* text = nullptr;
  std::size_t size = 0;
  auto* to = open_memstream(&text, &size);
  {
    Log log(to, {true, spdlog::level::warn, 8192});
    log.line("figures", "taken={}", 1);
    log.line("rejected", "query={} age={:.3f} listen={}:{} why=\"{}\" big={}", "q\"1", 0.25, "h", 80, "a b=c",
             true);
  }
  std::fclose(to);
  const std::string line(text, size);
  std::free(text);
  CHECK(
      line.find(
          R"("level":"warning","event":"rejected","query":"q\"1","age":0.250,"listen":"h:80","why":"a b=c","big":true})") !=
      std::string::npos);
  CHECK(line.find("figures") == std::string::npos);
}

TEST_SUITE_END();
