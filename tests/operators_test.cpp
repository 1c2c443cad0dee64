#include "operators/operators.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace yoketurn;

TEST_SUITE_BEGIN("operators");

TEST_CASE("entries that are not given have their defaults") {
  const auto o = parse_operator_settings("");
  CHECK(o == default_operator_settings());
  CHECK(!o.timeline.enabled);
  CHECK(o.timeline.memory_bytes == 4 << 20);
  CHECK(o.segments.max_age == 7 * 86400);
}

TEST_CASE("every default is a valid value of its entry") {
  for (const auto& entry : entry_specs()) {
    CAPTURE(entry.path);
    const auto dot = entry.path.find('.');
    const auto text = fmt::format("timeline {{ on yes }}\n{} {{ {} {} }}", entry.path.substr(0, dot),
                                  entry.path.substr(dot + 1), entry.default_value);
    if (!entry.path.starts_with("timeline.")) CHECK_NOTHROW(parse_operator_settings(text));
  }
}

TEST_CASE("units of times") {
  struct Row {
    const char* text;
    double age;
  };
  const Row rows[] = {{"90s", 90},   {"1500ms", 1.5}, {"2m", 120},
                      {"3h", 10800}, {"2d", 172800},  {"1.5s", 1.5}};
  for (const auto& row : rows) {
    CAPTURE(row.text);
    CHECK(parse_operator_settings(fmt::format("segments {{ age {} }}", row.text)).segments.max_age ==
          doctest::Approx(row.age));
  }
}

TEST_CASE("invalid files, with all problems of each") {
  struct Row {
    const char* text;
    std::vector<const char*> problems;  // all of them, in order
  };
  const Row rows[] = {
      {"timelin { on yes }", {"f:1: timelin: no such entry; did you mean timeline?"}},
      {"timeline\n{\n  on yes\n  memry 4MiB\n}",
       {"f:4: timeline.memry: no such entry; did you mean timeline.memory?"}},
      {"timeline { on maybe }", {"f:1: timeline.on: 'maybe' is not yes or no"}},
      {"timeline { memory 4 }",
       {"f:1: timeline.memory: '4' is not a size with its unit (B, KiB, MiB, GiB) from 256KiB to 8GiB"}},
      {"timeline { memory 100KiB }", {"'100KiB' is not a size"}},
      {"timeline { fine 0.5 }", {"'0.5' is not a share from 10% to 90%"}},
      {"timeline { lines 2.5 }", {"'2.5' is not a whole number from 4 to 100000"}},
      {"timeline\n{\n on yes\n on no\n}", {"f:4: timeline.on: is given a second time"}},
      {"timeline 7 { on yes }", {"f:1: timeline: takes no value, only entries in braces"}},
      {"timeline { on { deep yes } }", {"f:1: timeline.on: takes a value, not entries in braces"}},
      {"timeline { on yes\n listen \"10.0.0.1:80\" }",
       {"f:2: timeline.listen: '10.0.0.1:80' is not host:port on loopback, or off"}},
      {"timeline { on yes\n listen \"127.0.0.1:99999\" }", {"is not host:port"}},
      {"timeline { on yes\n reports 5 }",
       {"f:2: timeline.reports: '5' is not a time with its unit (us, ms, s, m, h, d) from 50ms to 1h, or "
        "off"}},
      {"timeline { listen \"127.0.0.1:80\" }", {"timeline.listen: has no effect while timeline.on is no"}},
      {"segments { size 16MiB\n total 20MiB }", {"f:2: segments.total: must hold two segments"}},
      {"segments { folder here }", {"'here' is not an absolute path, or off"}},
      {"log { format xml\n level loud }\nnonsense 1",
       {"f:1: log.format: 'xml' is not one of: text json", "f:2: log.level: 'loud'",
        "f:3: nonsense: no such entry"}},
      {"timeline {", {"f:"}},
      {"#include \"/etc/passwd\"", {"f:1: #include is not supported"}},
  };
  for (const auto& row : rows) {
    CAPTURE(row.text);
    std::vector<std::string> reported;
    try {
      parse_operator_settings(row.text);
    } catch (const InfoFileError& error) {
      for (const auto& problem : error.problems) reported.push_back(format_problem(problem, "f"));
    }
    CAPTURE(fmt::format("{}", fmt::join(reported, " | ")));
    REQUIRE(reported.size() == row.problems.size());
    for (std::size_t i = 0; i < reported.size(); ++i)
      CHECK(reported[i].find(row.problems[i]) != std::string::npos);
  }
}

TEST_CASE("a file whose settings need more than half of the router's memory") {
  const auto text = "timeline { on yes\n memory 20MiB }";
  CHECK_NOTHROW(parse_operator_settings(text, 64 << 20));
  CHECK_THROWS_WITH_AS(parse_operator_settings(text, 32 << 20),
                       doctest::Contains("more than half of the 32MiB"), InfoFileError);
  CHECK_THROWS_AS(parse_operator_settings(
                      "timeline { on yes\n memory 8MiB }\nsegments { folder /x\n queue 1000000 }", 64 << 20),
                  InfoFileError);
}

TEST_CASE("the reference page names every entry") {
  const auto page = reference_page();
  for (const auto& entry : entry_specs())
    CHECK(page.find(fmt::format("`{}`", entry.path)) != std::string::npos);
}

TEST_SUITE_END();
