// What an event of the time line costs, and what reading a million of them does (Google Benchmark).
#include <benchmark/benchmark.h>

#include <filesystem>

#include "timeline/record.hpp"
#include "timeline/recorder.hpp"
#include "timeline/segments.hpp"

using namespace yoketurn;

namespace {

void record(benchmark::State& state) {
  Timeline timeline({64 << 20, 0.5, static_cast<int>(state.range(0))}, 0, 0);
  std::vector<std::uint32_t> lines;
  for (int i = 0; i < state.range(0); ++i) lines.push_back(timeline.open("n" + std::to_string(i), "", 0));
  Event e;
  double now = 0;
  std::size_t next = 0;
  for (auto _ : state) {
    now += 1e-5;
    e.at = now;
    e.line = lines[next++ / 2 % lines.size()];
    e.what = next % 2 ? What::sent : What::outcome;
    e.why = 1;
    e.a = 0.01F;
    timeline.record(e);
  }
  state.counters["bytes"] = static_cast<double>(timeline.bytes());
}
BENCHMARK(record)->Arg(10)->Arg(200)->Arg(2000);

// What a part adds to the account of versions: its send, its end.
void versions(benchmark::State& state) {
  VersionTracker versions({512, 12288}, 4, 0);
  const auto nodes = static_cast<int>(state.range(0));
  versions.apply_list(1, 1, "a", true, 0, 0);
  for (int i = 0; i < nodes; ++i) versions.set_node(i, "n" + std::to_string(i), true);
  double now = 0;
  int next = 0;
  for (auto _ : state) {
    now += 1e-4;
    const auto node = next++ % nodes;
    versions.record_sent(node & 3, RouterAction::first, node, now);
    versions.on_call_ended(node, Outcome::success, now);
  }
}
BENCHMARK(versions)->Arg(10)->Arg(200)->Arg(2000);

// A change of the list: an interval ends, another begins.
void versions_change(benchmark::State& state) {
  VersionTracker versions({512, 12288}, 4, 0);
  const auto nodes = static_cast<int>(state.range(0));
  for (int i = 0; i < nodes; ++i) versions.set_node(i, "n" + std::to_string(i), true);
  double now = 0;
  long long count = 0;
  for (auto _ : state) {
    now += 0.1;
    for (int i = 0; i < 30; ++i) versions.record_sent(0, RouterAction::first, (i * 7) % nodes, now);
    ++count;
    versions.apply_list(count, static_cast<std::uint64_t>(count), "a", false, now, now);
  }
}
BENCHMARK(versions_change)->Arg(10)->Arg(200)->Arg(2000)->Unit(benchmark::kMicrosecond);

void departures(benchmark::State& state) {
  AnomalyDetector watch({}, 3, 0);
  const auto nodes = static_cast<int>(state.range(0));
  for (int i = 0; i < nodes; ++i) watch.add_node(i, 0, 0);
  double now = 0;
  int next = 0;
  for (auto _ : state) {
    now += 1e-4;
    const auto node = next++ % nodes;
    watch.on_call_sent(node, 0, now);
    watch.on_call_ended(node, 0, Outcome::success, now, now + 0.01);
  }
}
BENCHMARK(departures)->Arg(10)->Arg(200)->Arg(2000);

void departures_tick(benchmark::State& state) {
  AnomalyDetector watch({}, 3, 0);
  const auto nodes = static_cast<int>(state.range(0));
  double now = 0;
  for (int i = 0; i < nodes; ++i) {
    watch.add_node(i, 0, 0);
    for (int j = 0; j < 40; ++j) {
      watch.on_call_sent(i, 0, now);
      watch.on_call_ended(i, 0, Outcome::success, now, now + 0.01);
    }
    watch.on_call_sent(i, 0, now);
  }
  for (auto _ : state) benchmark::DoNotOptimize(watch.tick(now += 1e-6));
}
BENCHMARK(departures_tick)->Arg(10)->Arg(200)->Arg(2000)->Unit(benchmark::kMicrosecond);

void why_query_of_a_million(benchmark::State& state) {
  const std::string folder = std::filesystem::temp_directory_path() / "yoketurn-bench-segments";
  std::filesystem::remove_all(folder);
  {
    Segments segments({folder, 64 << 20, 256 << 20, 1e6, 1 << 18}, "r", 0);
    Event e;
    for (int i = 0; i < 1'000'000; ++i) {
      e.at = i * 1e-4;
      e.line = kLoop;
      e.what = i % 5 == 0 ? What::taken : What::sent;
      e.query = static_cast<std::uint32_t>(i / 5);
      if (e.what == What::taken) e.set_id(id_of("q" + std::to_string(i / 5)));
      segments.event(e);
      if (i % 4096 == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  for (auto _ : state) {
    const auto read = read_segments(folder);
    std::vector<Record> records;
    records.reserve(read.events.size());
    for (std::size_t i = 0; i < read.events.size(); ++i)
      records.push_back({read.unix_of(i), "loop", "", read.events[i]});
    int said = 0;
    tell_query(records, "q123456", [&](const std::string&) { ++said; });
    state.counters["events"] = static_cast<double>(read.events.size());
    state.counters["lines"] = said;
  }
  std::filesystem::remove_all(folder);
}
BENCHMARK(why_query_of_a_million)->Unit(benchmark::kMillisecond)->Iterations(3);

void segment_write(benchmark::State& state) {
  const std::string folder = std::filesystem::temp_directory_path() / "yoketurn-bench-write";
  std::filesystem::remove_all(folder);
  long long lost = 0;
  {
    Segments segments({folder, 16 << 20, 64 << 20, 1e6, 1 << 16}, "r", 0);
    Event e;
    for (auto _ : state) {
      e.at += 1e-5;
      segments.event(e);
    }
    lost = segments.lost();
  }
  state.counters["lost"] = static_cast<double>(lost);
  std::filesystem::remove_all(folder);
}
BENCHMARK(segment_write);

}  // namespace

BENCHMARK_MAIN();
