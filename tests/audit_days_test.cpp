// Days of several routers under an auditor, with faults between them: the auditor's account must be what
// passed the ways between the processes, the straggler the one that was made, and nobody sound may be
// touched.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <set>

#include "fleet/follow.hpp"
#include "fleet/store.hpp"
#include "tests/played.hpp"

using namespace yoketurn::rig;
using yoketurn::VersionedInput;
using yoketurn::audit::Account;

namespace {

constexpr double kEdge = 0.05;  // by which the ends of a way may see a part later than its router sent it

struct Watched : Played {
  Account account;
  std::vector<yoketurn::fleet::GivenOrder> orders;
  double day_at(double unix) const { return unix - result.unix_zero; }
  std::string router(int number) const {
    int at = 0;
    for (const auto& site : day.sites)
      for (int i = 0; i < site.routers; ++i, ++at)
        if (at == number) return site.name + "-" + std::to_string(i);
    return "";
  }
};

std::vector<std::string> said(const Record& record, Kind kind, int by, const std::string& words,
                              double from = 0, double to = 1e9) {
  std::vector<std::string> found;
  for (const auto& e : record)
    if (e.kind == kind && (by < 0 || e.router == by) && e.at >= from && e.at < to &&
        e.text.find(words) != std::string::npos)
      found.push_back(e.text);
  return found;
}

double first_at(const Record& record, Kind kind, int by, const std::string& words) {
  for (const auto& e : record)
    if (e.kind == kind && (by < 0 || e.router == by) && e.text.find(words) != std::string::npos) return e.at;
  return -1;
}

// Every part that came out of a router stands in the account, by its node and in an interval that holds its
// time; what is missing lies in a hole that is stated.
void check_account(const Watched& w) {
  struct Truth {
    std::vector<double> all;
  };
  std::map<std::pair<std::string, int>, Truth> truth;
  for (const auto& e : w.record())
    if (e.kind == Kind::sent) truth[{w.router(e.router), e.node}].all.push_back(e.at);
  std::map<int, std::set<std::string>> names;  // of a node, over the day
  int at = 0;
  for (const auto& site : w.day.sites)
    for (int i = 0; i < site.nodes; ++i, ++at)
      names[at] = {site.name + "-" + std::to_string(i), site.name + "-" + std::to_string(i) + "-anew"};
  long long parts = 0, counted = 0;
  for (const auto& [name, router] : w.account.routers()) {
    const auto holes = w.account.holes(name);
    const auto in_hole = [&](double time) {
      return std::any_of(holes.begin(), holes.end(), [&](auto& hole) {
        return time > w.day_at(hole.first) - kEdge &&
               (hole.second == 0 || time < w.day_at(hole.second) + kEdge);
      });
    };
    for (const auto& [node, known_as] : names) {
      const auto& sent = truth[{name, node}].all;
      const auto sure = std::count_if(sent.begin(), sent.end(), [&](double time) { return !in_hole(time); });
      long long told = 0;
      for (const auto& [began, life] : router.lives)
        for (const auto& [number, interval] : life.intervals)
          for (const auto& acts : interval.nodes) {
            if (!known_as.contains(acts.name)) continue;
            told += static_cast<long long>(acts.sent) - acts.unsent;
            // And in this interval: but for those that crossed its edges.
            const auto from = w.day_at(interval.started_at - life.offset);
            const auto last = router.lives.rbegin()->first == began;
            const auto to = interval.ended_at > 0 ? w.day_at(interval.ended_at - life.offset)
                            : last                ? 1e9
                                                  : w.day_at(life.last_seen);
            const auto within = [&](double slack) {
              return std::count_if(sent.begin(), sent.end(),
                                   [&](double t) { return t >= from + slack && t < to - slack; });
            };
            CHECK_MESSAGE(static_cast<long long>(acts.sent) >= within(kEdge),
                          name << " to " << acts.name << " in interval " << number);
            CHECK_MESSAGE(static_cast<long long>(acts.sent) - acts.unsent <= within(-kEdge),
                          name << " to " << acts.name << " in interval " << number);
          }
      parts += static_cast<long long>(sent.size());
      counted += told;
      CHECK_MESSAGE(told >= sure, name << " to node " << node << ": " << told << " of " << sure);
      CHECK_MESSAGE(told <= static_cast<long long>(sent.size()), name << " to node " << node);
    }
  }
  CHECK(parts > 1000);
  CHECK(counted > parts * 9 / 10);  // holes are few
}

// When each router acted on what its agent told it.
void check_told(const Watched& w) {
  for (const auto& e : w.record()) {
    if (e.kind != Kind::told || e.number <= 1) continue;
    const auto name = w.router(e.router);
    const auto acting = w.account.acting(name, VersionedInput::list);
    // A later one may have taken its place at once.
    const auto done = std::any_of(acting.begin(), acting.end(), [&](const auto& a) {
      return a.count >= e.number && std::abs(w.day_at(a.from) - e.at) < 0.5;
    });
    const auto had = std::any_of(acting.begin(), acting.end(), [&](const auto& a) {
      return a.count >= e.number && w.day_at(a.from) < e.at + 0.5;
    });
    CHECK_MESSAGE((done || had), name << " told of list " << e.number << " at " << e.at);
  }
}

Watched watched(const std::string& name, bool account = true) {
  Watched w{played(name), {}, {}};
  const auto folder = "fleet-" + name;
  const yoketurn::fleet::Store store(folder + "/audit-0.db", yoketurn::fleet::Store::Use::read);
  w.account = store.load(true);
  w.orders = store.orders();
  if (account) check_account(w);
  return w;
}

// Orders went to these alone.
void check_only(const Watched& w, const std::set<std::string>& routers) {
  for (const auto& line : said(w.record(), Kind::audit, -1, "ordered router=")) {
    const auto name = line.substr(15, line.find(' ', 15) - 15);
    CHECK_MESSAGE(routers.contains(name), line);
  }
  for (const auto& e : w.record())
    if (e.kind == Kind::audit && e.text.find("state=straggler") != std::string::npos) {
      const auto name = e.text.substr(12, e.text.find(' ', 12) - 12);
      CHECK_MESSAGE(routers.contains(name), e.text);
    }
}

}  // namespace

// What a router's standard output alone tells, as on a platform that allows nothing else: the same intervals.
void check_logs(const Watched& w, const std::string& folder) {
  for (int r = 0; r < w.day.routers(); ++r) {
    yoketurn::fleet::LogReader reader;
    std::ifstream log(folder + "/router-" + std::to_string(r) + ".log");
    int compared = 0;
    const auto& lives = w.account.routers().at(w.router(r)).lives;
    for (std::string line; std::getline(log, line);)
      for (const auto& told : reader.take(line)) {
        const auto& intervals = lives.begin()->second.intervals;
        const auto same = intervals.find(told.interval.number);
        if (same == intervals.end() || same->second.ended_at <= 0) continue;
        ++compared;
        CHECK(told.interval.total_actions() == same->second.total_actions());
        CHECK(told.interval.versions[0].hash == same->second.versions[0].hash);
        CHECK(told.interval.versions[0].count == same->second.versions[0].count);
        CHECK(told.interval.started_at == doctest::Approx(same->second.started_at));
      }
    CHECK(reader.stand.router == w.router(r));
    CHECK(reader.stand.versions[0].hash == w.account.now_acting(w.router(r), VersionedInput::list)->hash);
    CHECK(compared >= 1);
  }
}

TEST_SUITE_BEGIN("fleet");

TEST_CASE("audit-stuck") {
  const auto w = watched("audit-stuck");
  check_told(w);
  check_logs(w, "fleet-audit-stuck");
  check_only(w, {"brest-0"});
  CHECK(!said(w.record(), Kind::audit, 0, "router name=brest-0 state=straggler", 6, 14).empty());
  CHECK(!said(w.record(), Kind::audit, 0, "ordered router=brest-0 step=ask_again").empty());
  CHECK(said(w.record(), Kind::audit, 0, "step=step_aside").empty());
  // It sent on to the node that drains while the others did not, as long as nobody had told it; then no more.
  const auto healed = first_at(w.record(), Kind::standing, 2, "order term");
  REQUIRE(healed > 6);
  const auto drained = 13;  // vannes-1
  int before = 0, after = 0, others = 0;
  for (const auto& e : w.record()) {
    if (e.kind != Kind::sent || e.node != drained || e.at < 8 || e.at > 15) continue;
    if (e.router != 2) ++others;
    if (e.router == 2) ++(e.at < healed + 0.3 ? before : after);
  }
  CHECK(others == 0);
  CHECK(after == 0);
  const auto senders = w.account.senders("vannes-1");
  const auto accounted = std::any_of(senders.begin(), senders.end(), [&](const auto& sender) {
    return sender.router == "brest-0" && w.day_at(sender.last) > 7.9 && sender.sent > 0;
  });
  CHECK((before == 0 || accounted));
}

TEST_CASE("audit-spare") {
  const auto w = watched("audit-spare");
  check_only(w, {"brest-0"});
  CHECK(!said(w.record(), Kind::audit, 0, "ordered router=brest-0 step=ask_again").empty());
  CHECK(!said(w.record(), Kind::audit, 0, "ordered router=brest-0 step=follow").empty());
  CHECK(said(w.record(), Kind::audit, 0, "step=step_aside").empty());
  const auto list = w.account.now_acting("brest-0", VersionedInput::list);
  const auto other = w.account.now_acting("rennes-0", VersionedInput::list);
  REQUIRE(list);
  REQUIRE(other);
  CHECK(list->hash == other->hash);
}

TEST_CASE("audit-aside") {
  const auto w = watched("audit-aside");
  check_only(w, {"brest-0"});
  CHECK(!said(w.record(), Kind::standing, 2, "taking state=aside").empty());
  CHECK(!said(w.record(), Kind::standing, 2, "taking state=out").empty());
  // Restarted while it was to be out: the order still holds for the new process, or is given anew.
  CHECK(!said(w.record(), Kind::standing, 2, "taking state=", 20, 34).empty());
  // Its agent is well again: it is back, and so are its clients.
  const auto last = said(w.record(), Kind::standing, 2, "taking state=");
  REQUIRE(!last.empty());
  CHECK(last.back().find("state=in") != std::string::npos);
  int asked = 0;
  for (const auto& e : w.record()) asked += e.kind == Kind::asked && e.router == 2 && e.at > 31;
  CHECK(asked > 0);
  // Usual clients lose nothing by it: they find the others.
  CHECK(share_of(w.record(), w.day, 8, 18).good() > 0.93);
  CHECK(share_of(w.record(), w.day, 24, 34).good() > 0.93);
  // It took no query while it was out but to refuse it.
  const auto out = first_at(w.record(), Kind::standing, 2, "taking state=out");
  for (const auto& e : w.record())
    if (e.kind == Kind::answered && e.router == 2 && e.at > out + 2 && e.at < 18.5) CHECK(e.number != 200);
}

TEST_CASE("audit-paused") {
  const auto w = watched("audit-paused");
  check_only(w, {"brest-0"});
  // While it stood still it was out of reach, which is no lag of its own.
  CHECK(!said(w.record(), Kind::audit, 0, "router name=brest-0 state=unreachable", 5, 13).empty());
  CHECK(said(w.record(), Kind::audit, 0, "router name=brest-0 state=straggler", 5, 13).empty());
  CHECK(said(w.record(), Kind::audit, 0, "step=step_aside").empty());
  const auto list = w.account.now_acting("brest-0", VersionedInput::list);
  const auto other = w.account.now_acting("rennes-0", VersionedInput::list);
  REQUIRE(list);
  REQUIRE(other);
  CHECK(list->hash == other->hash);
}

TEST_CASE("audit-counts") {
  const auto w = watched("audit-counts");
  // A count that starts anew is an epoch of its own, never behind.
  CHECK(said(w.record(), Kind::audit, 0, "state=straggler", 0, 12).empty());
  CHECK(w.account.now_acting("brest-0", VersionedInput::list)->epoch == 2);
  // The one whose agent said nothing of it noticed by the count, and asked for the whole list.
  CHECK(!said(w.record(), Kind::standing, 0, "list_again count=").empty());
  CHECK(w.account.now_acting("rennes-0", VersionedInput::list)->epoch == 2);
  const auto forks = w.account.forks();
  using yoketurn::audit::ForkKind;
  CHECK(std::count_if(forks.begin(), forks.end(),
                      [](const auto& f) { return f.kind == ForkKind::went_back; }) >= 6);
  CHECK(std::any_of(forks.begin(), forks.end(), [](const auto& f) {
    return f.kind == ForkKind::two_contents && (f.one == "vannes-0" || f.other == "vannes-0");
  }));
  for (const auto& f : forks)
    if (f.kind == ForkKind::two_contents) CHECK((f.one == "vannes-0" || f.other == "vannes-0"));
  CHECK(std::none_of(forks.begin(), forks.end(),
                     [](const auto& f) { return f.kind == ForkKind::two_processes; }));
  CHECK(said(w.record(), Kind::audit, 0, "step=step_aside").empty());
}

TEST_CASE("audit-files") {
  const auto w = watched("audit-files");
  // Half and more act on the new file: the rest is told to read again, and does.
  CHECK(!said(w.record(), Kind::audit, 0, "ordered router=brest-1 step=read_again").empty());
  const auto file = [&](const char* router) {
    return w.account.now_acting(router, VersionedInput::operators)->hash;
  };
  CHECK(file("rennes-0") == file("vannes-1"));
  // A third of the fleet ran another program for a while, and nobody was shut out for that.
  int others = 0;
  for (const auto* router : {"rennes-0", "rennes-1", "brest-0", "brest-1", "vannes-0", "vannes-1"}) {
    std::set<std::uint64_t> programs;
    for (const auto& a : w.account.acting(router, VersionedInput::build)) programs.insert(a.hash);
    others += programs.size() == 2;
  }
  CHECK(others == 2);
  CHECK(said(w.record(), Kind::audit, 0, "step=shut_out").empty());
  const auto build = [&](const char* router) {
    return w.account.now_acting(router, VersionedInput::build)->hash;
  };
  CHECK(build("rennes-0") == build("brest-1"));
}

TEST_CASE("audit-auditors") {
  const auto w = watched("audit-auditors", false);  // it was killed: what it has kept is looked at below
  check_only(w, {"brest-0"});
  // Each life of the auditor has a term of its own, and the second one a higher one than all.
  const auto first = said(w.record(), Kind::audit, 0, "term number=", -10);
  REQUIRE(first.size() == 3);
  CHECK(first[0] == "term number=1 above=0");
  CHECK(said(w.record(), Kind::audit, 1, "term number=4").size() == 1);
  CHECK(!said(w.record(), Kind::audit, 0, "overtaken").empty());
  // No order of a lower term is obeyed after a higher one.
  long long highest = 0;
  int obeyed = 0;
  for (const auto& e : w.record()) {
    if (e.kind != Kind::standing || e.router != 2 || !e.text.starts_with("order term=")) continue;
    const auto term = std::stoll(e.text.substr(11));
    CHECK(term >= highest);
    highest = std::max(highest, term);
    ++obeyed;
  }
  CHECK(obeyed >= 3);
  // All that it said was kept is there: intervals by number, without a hole between the kept ones.
  const auto last = said(w.record(), Kind::standing, 2, "taking state=");
  REQUIRE(!last.empty());
  CHECK(last.back().find("state=in") != std::string::npos);
  CHECK(share_of(w.record(), w.day, 6, 26).good() > 0.93);
}

TEST_CASE("audit-all-behind") {
  const auto w = watched("audit-all-behind");
  CHECK(w.orders.empty());
  CHECK(said(w.record(), Kind::audit, 0, "state=straggler").empty());
  // A whole site out of reach is told as that.
  CHECK(!said(w.record(), Kind::audit, 0, "router name=brest-0 state=site_out", 13, 22).empty());
  CHECK(!said(w.record(), Kind::audit, 0, "router name=brest-1 state=site_out", 13, 22).empty());
}

TEST_CASE("audit-alone") {
  const auto w = watched("audit-alone");
  CHECK(w.orders.empty());
  CHECK(!said(w.record(), Kind::standing, 0, "list_again count=", 5, 9).empty());
  CHECK(!said(w.record(), Kind::standing, 2, "doubt kind=silent", 8, 16).empty());
  CHECK(!said(w.record(), Kind::standing, 2, "step what=ask_again by=itself").empty());
  CHECK(!said(w.record(), Kind::standing, 2, "doubt_over kind=silent").empty());
  CHECK(share_of(w.record(), w.day, 6, 20).good() > 0.93);
}

TEST_SUITE_END();
