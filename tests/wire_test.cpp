#include <sstream>

#include "support.hpp"
#include "wire/host.hpp"
#include "wire/text.hpp"

using namespace yoketurn;

namespace {

const std::string kSetup =
    "balancers=3 bounds.cancel=true bounds.max_attempts=3 bounds.may_duplicate=true bounds.probes=true "
    "bounds.retry_after=true bounds.max_retry_after_us=500000 classes.count=1 classes.0.aim_us=1000000 "
    "classes.0.credit=1 classes.0.deadline_us=4000000 classes.0.late_worth=0.5 classes.0.name=look "
    "classes.0.semantics=safe contract.cold_us=9000000 contract.fall_multiple=2 "
    "contract.overload_for_us=1000000 "
    "contract.start_capacity=0.3 customers= discovery=push domain.min_share=1 domain.partial_earns=1 "
    "domain.parts_a_call=1 domain.places=1 domain.second_step=0 domain.span=1 domain.whole_at=1 "
    "resolution_us=5000 worth_by=request zone=a zones=a,b some.new.setting=7";

const std::string kStart = "frame 1000000 1\nopen_instance router-0 18446744073709551615 " + kSetup +
                           "\ninventory 0 1\nnode 9 a kind 0 U 1 -\nmembership router-0 warm_copy 0 1\ngo\n";
const std::string kQuery =
    "demand router-0 50 look - - 5000000 - 3 -1 1 0\ndemand router-0 51 look - - 5000000 - 3 0 1 0\n";

struct Output {
  std::string replies, log;
};

// Feeds the text to a new host.
Output run_host(const std::string& in) {
  std::istringstream input(in);
  std::ostringstream replies, log;
  wire::InstanceHost().run(input, replies, log);
  return {replies.str(), log.str()};
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_SUITE_BEGIN("wire");

TEST_CASE("a query is sent, answered and forgotten") {
  const auto output =
      run_host(kStart + "frame 1100000 2\n" + kQuery +
               "go\nframe 1200000 3\nresponse router-0 51 0 9 success 100000 1 -\ngo\n"
               "frame 1300000 4\nresponse router-0 51 0 9 success 100000 1 -\ngone router-0 50\ngo\n");
  CHECK(contains(output.replies, "place router-0 51 "));
  CHECK(contains(output.replies, "answer router-0 50 1\n"));
  CHECK(contains(output.replies, "end 4\n"));
  CHECK(output.log.empty());
}

TEST_CASE("with discovery=ask the list is requested although the last known one is there") {
  auto start = kStart;
  start.replace(start.find("discovery=push"), 14, "discovery=ask");
  const auto output = run_host(start +
                               "frame 1100000 2\nreminder router-0 tick\ngo\n"
                               "frame 1200000 3\nmembership router-0 lost - -\nreminder router-0 tick\ngo\n");
  CHECK(contains(output.replies, "keep_informed router-0 1\n"));
}

TEST_CASE("peer reports of one router are read by another, and malformed ones are logged") {
  auto start = kStart;
  start.replace(start.find("bounds.probes"), 0, "bounds.peer_messages=true ");
  const auto output = run_host(start + "frame 1100000 2\n" + kQuery +
                               "go\nframe 1200000 3\nresponse router-0 51 0 9 success 100000 1 -\ngo\n");
  const auto at = output.replies.find("announce router-0 -1 ");
  REQUIRE(at != std::string::npos);
  const auto raw = output.replies.substr(at + 21, output.replies.find('\n', at) - at - 21);
  CHECK(raw.size() == 8);
  for (const auto& [text, logged] :
       {std::pair{raw, ""}, std::pair{std::string("AAAAAA=="), ""}, std::pair{std::string("-"), ""},
        std::pair{std::string("AAAA"), "raw: not a list of peer reports"},
        std::pair{std::string("A*AA"), "raw: not a list of peer reports"},
        std::pair{std::string("AAAAA==="), "raw: not a list of peer reports"}}) {
    CAPTURE(text);
    const auto received =
        run_host(start + "frame 1100000 2\nmessage router-0 1 " + text + "\n" + kQuery + "go\n");
    CHECK(contains(received.replies, "place router-0 51 "));
    CHECK((*logged == 0 ? received.log.empty() : contains(received.log, logged)));
  }
  CHECK(!contains(run_host(kStart + "frame 1100000 2\n" + kQuery + "go\n").replies, "announce"));
}

TEST_CASE("base64 round trip") {
  for (std::size_t length = 0; length < 9; ++length) {
    std::string raw;
    for (std::size_t i = 0; i < length; ++i) raw += static_cast<char>(251 * i + length);
    CHECK(wire::decode_base64(wire::encode_base64(raw)) == raw);
  }
}

TEST_CASE("malformed and unexpected lines") {
  struct Row {
    const char* line;
    const char* logged;  // nullptr: the line is ignored without a log line
    const char* replied;
  };
  const Row rows[] = {
      {"response router-0 77 0 9 success 1 1 -", nullptr, "end 2\n"},
      {"response router-0 51 5 9 success 1 1 -", nullptr, "end 2\n"},
      {"gone router-0 77", nullptr, "end 2\n"},
      {"reminder router-0 stale", nullptr, "end 2\n"},
      {"gone router-8 50", nullptr, "end 2\n"},
      {"sampled router-0 9 success 900 pending:-5,new_figure:1,busy_reqs:junk", nullptr, "end 2\n"},
      {"response router-0 x 0 9 success 1 1 -", "line 8: xid: invalid value 'x'", "end 2\n"},
      {"response router-0 51 0 9 splendid 1 1 -", "line 8: verdict: invalid value 'splendid'", "end 2\n"},
      {"demand router-0 60 nothing - - 5000000 - 4 -1 1 0", "no such vertical", "end 2\n"},
      {"demand router-0 60", "line 8: service is missing", "end 2\n"},
      {"demand router-0 60 look - - 5000000 - 4 9999999999 1 0", "line 8: range_no", "end 2\n"},
      {"whatever router-0", "'whatever' is unknown", "end 2\n"},
      {"open_instance router-5 1 balancers=3", "is missing", "bug router-5 setting classes"},
  };
  for (const auto& row : rows) {
    CAPTURE(row.line);
    const auto output = run_host(kStart + "frame 1100000 2\n" + row.line + "\n" + kQuery + "go\n");
    CHECK(contains(output.replies, row.replied));
    CHECK(contains(output.replies, "place router-0 51 "));
    CHECK((row.logged == nullptr ? output.log.empty() : contains(output.log, row.logged)));
  }
}

TEST_CASE("an invalid required setting is reported when the instance opens") {
  for (const std::string key : {"balancers=3", "domain.places=1", "classes.0.aim_us=1000000"}) {
    auto start = kStart;
    start.replace(start.find(key), key.size(), key.substr(0, key.find('=')) + "=none");
    CHECK(contains(run_host(start).replies,
                   "bug router-0 " + key.substr(0, key.find('=')) + ": invalid value 'none'"));
  }
}

TEST_CASE("a second query under a number in progress is logged and ignored") {
  const auto output = run_host(kStart + "frame 1100000 2\n" + kQuery + "go\nframe 1200000 3\n" +
                               "demand router-0 70 look - - 5000000 - 3 -1 1 0\n" +
                               "response router-0 51 0 9 success 100000 1 -\ngo\n");
  CHECK(contains(output.log, "ask_no"));
  CHECK(contains(output.replies, "answer router-0 50 1\n"));
}

TEST_CASE("a setting beyond the largest accepted value is reported when the instance opens") {
  auto start = kStart;
  start.replace(start.find("domain.places=1"), 15, "domain.places=1e300");
  CHECK(contains(run_host(start).replies, "bug router-0 domain.places: invalid value '1e300'"));
}

TEST_CASE("a list with a number used before replaces the earlier one in event order") {
  const auto output = run_host(kStart + "frame 1100000 2\ninventory 0 1\nnode 9 a kind 0 D 1 -\n" +
                               "membership router-0 incr 0 2\ninventory 0 1\nnode 8 a kind 0 U 1 -\n" +
                               "membership router-0 incr 0 3\n" + kQuery + "go\n");
  CHECK(contains(output.replies, " 8\n"));
  CHECK(!contains(output.replies, " 9\n"));
}

TEST_CASE("a restarted instance keeps no state") {
  const auto output =
      run_host(kStart + "frame 1100000 2\n" + kQuery + "teardown router-0\n" + "open_instance router-0 5 " +
               kSetup + "\ngo\nframe 1200000 3\nresponse router-0 51 0 9 success 1 1 -\ngo\n");
  CHECK(!contains(output.replies, "place"));
  CHECK(!contains(output.replies, "answer"));
}
