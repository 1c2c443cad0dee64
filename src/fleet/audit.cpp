// yoketurn-fleet audit: follows many routers, keeps what they acted on, finds those behind, gives orders.
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <set>

#include "audit/overseer.hpp"
#include "audit/stragglers.hpp"
#include "files/write_fully.hpp"
#include "fleet/commands.hpp"
#include "fleet/follow.hpp"
#include "fleet/roll.hpp"
#include "fleet/store.hpp"
#include "fleet/tell.hpp"
#include "logging/log.hpp"
#include "versions/orders.hpp"

namespace yoketurn::fleet {

namespace {

namespace asio = boost::asio;

constexpr double kPruneEvery = 60;
constexpr double kForksEvery = 2, kForksBack = 300;  // looked for so often, so far back
constexpr std::size_t kForksTold = 10'000;           // remembered as told

// Whole or not at all: a router never sees half of an order.
void leave(const std::string& folder, Order order) {
  order.expires_at += program_clock_behind();
  const auto path = folder + "/" + order.router + ".info";
  const auto fresh = path + ".new";
  const auto text = to_info(order);
  const auto file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) throw std::runtime_error(fresh + " can't be written");
  const auto written = write_fully(file, text.data(), text.size());
  const auto synced = ::fsync(file);
  ::close(file);
  if (!written || synced != 0) throw std::runtime_error(fresh + " can't be written whole");
  std::filesystem::rename(fresh, path);
}

class Auditor {
 public:
  Auditor(asio::io_context& context, const Roll& roll, const std::string& store, Log& log)
      : context_(context),
        roll_(roll),
        log_(log),
        store_(store, Store::Use::write),
        account_(store_.load(true)),
        stragglers_(roll.stragglers),
        follower_(context, roll_,
                  {[this](const audit::Seen& seen) {
                     account_.take(seen);
                     if (keeping_) keep([&] { store_.put(seen); });
                   },
                   [this](const std::string& router, double began, const ReportedInterval& told) {
                     account_.take(router, began, told);
                     if (keeping_) keep([&] { store_.put(router, began, told); });
                   },
                   [this](const std::string& router, double at) { account_.missed(router, at); }}),
        timer_(context) {
    if (!store_.told().empty()) log_.line("store_broken", "what=\"{}\"", store_.told());
    for (const auto& entry : roll_.routers) account_.expect(entry.name, entry.site);
  }

  void start() {
    log_.line("audit", "routers={} store_intervals={} term={}", roll_.routers.size(), store_.intervals(),
              store_.term());
    round();
  }
  bool stopped() const { return stopped_; }

 private:
  void round() {
    began_ = unix_now();
    keeping_ = true;
    keep([&] { store_.begin(); });
    follower_.round([this] { judge(); });
  }

  // The disk may be full: then nothing is kept, and no order given, as it could not be kept before it is.
  template <class Act>
  bool keep(Act act) {
    try {
      act();
      return true;
    } catch (const StoreTrouble& trouble) {
      if (!trouble_) log_.line("store_failed", "why=\"{}\"", trouble.what());
      trouble_ = true;
      keeping_ = false;
      store_.rollback();
      return false;
    }
  }

  void judge() {
    const auto now = unix_now();
    if (keeping_) keep([&] { store_.commit(); });
    if (keeping_ && trouble_) {
      trouble_ = false;
      log_.line("store_again", "round={}", rounds_);
    }
    if (keeping_) log_.line("kept", "round={}", ++rounds_);
    const auto findings = stragglers_.look(account_, now);
    for (const auto& finding : findings) tell(finding, now);
    tell_forks(now);
    if (!roll_.orders.empty()) oversee(findings, now);
    if (now > pruned_ + kPruneEvery) {
      pruned_ = now;
      keep([&] { store_.prune(now - roll_.keep, roll_.rows); });
      account_.forget_before(now - roll_.keep);
    }
    timer_.expires_after(std::chrono::microseconds(
        static_cast<long>(std::max(began_ + roll_.every - unix_now(), 0.01) * 1e6)));
    timer_.async_wait([this](const auto& error) {
      if (!error) round();
    });
  }

  void tell(const audit::Finding& f, double now) {
    auto& before = told_[f.router];
    if (before == f.condition) return;
    log_.line("router",
              "name={} state={} before={} subject={} count={} hash={} since={:.3f} newer={:.2f} limit={:.2f}",
              f.router, audit::name(f.condition), audit::name(before), name(f.subject), f.count, hex(f.hash),
              f.since, f.newer, f.limit);
    note(now, std::string(audit::name(f.condition)), f.router,
         fmt::format("{} {} {:016x}, since {:.3f}, {:.0f}% newer", name(f.subject), f.count, f.hash, f.since,
                     100 * f.newer));
    before = f.condition;
  }

  void tell_forks(double now) {
    if (now < forks_at_) return;
    forks_at_ = now + kForksEvery;
    if (told_forks_.size() > kForksTold) told_forks_.clear();
    for (const auto& fork : account_.forks(now - kForksBack)) {
      const auto key = fmt::format("{} {} {} {:016x} {:016x}", audit::name(fork.kind), fork.one, fork.other,
                                   fork.hash_one, fork.hash_other);
      if (!told_forks_.insert(key).second) continue;
      log_.line("fork", "kind={} one={} other={} count={} at={:.3f}", audit::name(fork.kind), fork.one,
                fork.other, fork.count, fork.at);
      note(now, "fork", fork.one, key);
    }
  }

  void note(double at, const std::string& kind, const std::string& router, const std::string& text) {
    if (keeping_) keep([&] { store_.put(Note{at, kind, router, text}); });
  }

  // A term begins with the first look, when the highest one that any router has obeyed is known.
  void oversee(const std::vector<audit::Finding>& findings, double now) {
    if (!keeping_ || stopped_) return;
    long long highest = 0;
    for (const auto& [name, router] : account_.routers())
      if (router.last) highest = std::max(highest, router.last->stand.order_term);
    if (!overseer_) {
      if (!keep([&] {
            const auto term = store_.new_term(highest);
            overseer_ = std::make_unique<audit::Overseer>(roll_.overseer, term);
            for (const auto& given : store_.orders())
              if (given.order.expires_at > now)
                overseer_->outstanding(given.order.router, given.order.step, given.order.expires_at);
          }))
        return;
      log_.line("term", "number={} above={}", overseer_->term(), highest);
    }
    if (std::max(highest, store_.term()) > overseer_->term()) {
      log_.line("overtaken", "term={} by={}", overseer_->term(), std::max(highest, store_.term()));
      note(now, "overtaken", "", fmt::format("term {}", overseer_->term()));
      stopped_ = true;
      return;
    }
    std::vector<audit::Member> members;
    for (const auto& f : findings) {
      const auto& router = account_.routers().at(f.router);
      audit::Member m;
      m.router = f.router;
      m.site = f.site;
      m.condition = f.condition;
      m.subject = f.subject;
      m.since = f.since;
      m.reachable = f.condition != audit::Condition::unreachable && f.condition != audit::Condition::site_out;
      if (router.last) {
        const auto& stand = router.last->stand;
        m.serving = stand.serving;
        m.taking = stand.participation;
        m.sees_site_lost = stand.site_lost;
        for (const auto& d : stand.suspicions) m.doubts += (m.doubts.empty() ? "" : ", ") + d.kind;
      }
      for (const auto& entry : roll_.routers)
        if (entry.name == f.router) m.agent = entry.agent;
      members.push_back(std::move(m));
    }
    const auto orders = overseer_->round(members, now);
    for (const auto& held : overseer_->held_back()) {
      log_.line("held_back", "router={} step={} guard={}", held.router, name(held.step),
                audit::name(held.guard));
      note(now, "held_back", held.router, fmt::format("{}: {}", name(held.step), audit::name(held.guard)));
    }
    if (orders.empty()) return;
    // Kept first: one that was given and is not known to its giver would never be counted as out.
    if (!keep([&] {
          store_.begin();
          for (const auto& order : orders) store_.put(GivenOrder{order, now});
          store_.commit();
        }))
      return;
    for (const auto& order : orders) try {
        leave(roll_.orders, order);
        log_.line("ordered", "router={} step={} term={} number={} until={:.0f} why=\"{}\"", order.router,
                  name(order.step), order.term, order.number, order.expires_at, order.reason);
      } catch (const std::exception& error) {
        log_.line("order_failed", "router={} why=\"{}\"", order.router, error.what());
      }
  }

  asio::io_context& context_;
  Roll roll_;
  Log& log_;
  Store store_;
  audit::Account account_;
  audit::Stragglers stragglers_;
  Follower follower_;
  std::unique_ptr<audit::Overseer> overseer_;
  asio::steady_timer timer_;
  double began_ = 0, pruned_ = 0, forks_at_ = 0;
  bool keeping_ = false, trouble_ = false, stopped_ = false;
  long long rounds_ = 0;
  std::map<std::string, audit::Condition> told_;
  std::set<std::string> told_forks_;
};

struct Options {
  std::string roll, store, name, out, router;
  double seconds = 0;
  bool as_json = false;
};

int run(const Options& o) {
  Log log(stdout);
  const auto roll = load_roll(o.roll);
  if (!roll.orders.empty()) std::filesystem::create_directories(roll.orders);
  asio::io_context context(1);
  Auditor auditor(context, roll, o.store, log);
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto&, int) { context.stop(); });
  asio::steady_timer end(context);
  if (o.seconds > 0) {
    end.expires_after(std::chrono::milliseconds(static_cast<long>(o.seconds * 1e3)));
    end.async_wait([&](const auto& error) {
      if (!error) context.stop();
    });
  }
  asio::steady_timer sums(context);
  std::function<void()> sum = [&] {
    log.write_summaries(unix_now());
    sums.expires_after(std::chrono::seconds(1));
    sums.async_wait([&](const auto& error) {
      if (!error) sum();
    });
  };
  sum();
  auditor.start();
  context.run();
  return 0;
}

}  // namespace

void add_audit(CLI::App& app, std::function<int()>& chosen) {
  auto* audit =
      app.add_subcommand("audit", "Which router acted on which version; stragglers, and orders to them.");
  audit->require_subcommand(1);
  audit->fallthrough();
  const auto o = std::make_shared<Options>();
  audit->add_option("--store", o->store, "The auditor's store (a file)")->required();
  audit->add_flag("--json", o->as_json, "JSON lines in place of text");
  const auto add = [&](const char* name, const char* help, std::function<int(const Options&)> act) {
    auto* sub = audit->add_subcommand(name, help);
    sub->callback([&chosen, o, act = std::move(act)] {
      chosen = [o, act] {
        try {
          return act(*o);
        } catch (const std::exception& error) {
          fmt::print(stderr, "yoketurn-fleet audit: {}\n", error.what());
          return 1;
        }
      };
    });
    return sub;
  };
  auto* follow =
      add("run", "Follow the routers of a roll, keep what they say, and give orders where it names a folder.",
          run);
  follow->add_option("--roll", o->roll, "The file that names the routers (INFO)")->required();
  follow->add_option("--seconds", o->seconds, "End by itself after so long; 0: never");
  const auto loaded = [](auto tell) {
    return [tell](const Options& given) {
      const Store store(given.store, Store::Use::read);
      tell(store, given);
      return 0;
    };
  };
  add("now", "Each router: what it acts on, how old that is, its doubts",
      loaded([](const Store& s, const Options& g) { tell_now(s, g.as_json); }));
  add("version", "When each router acted on a version of the list",
      loaded([](const Store& s, const Options& g) { tell_version(s, g.name, g.as_json); }))
      ->add_option("version", o->name, "Its count, or the hash of its content")
      ->required();
  add("router", "A router's story",
      loaded([](const Store& s, const Options& g) { tell_router(s, g.name, g.as_json); }))
      ->add_option("router", o->name)
      ->required();
  add("node", "Who sent to a data node, by which list, and after others knew better",
      loaded([](const Store& s, const Options& g) { tell_senders(s, g.name, g.as_json); }))
      ->add_option("node", o->name)
      ->required();
  auto* query = add("query", "What became of a query, and by which versions (from segments of the routers)",
                    [](const Options& g) {
                      tell_query(load_roll(g.roll), g.name);
                      return 0;
                    });
  query->add_option("query", o->name)->required();
  query->add_option("--roll", o->roll, "The file that names the routers")->required();
  add("stragglers", "Who was behind, and what was ordered",
      loaded([](const Store& s, const Options& g) { tell_stragglers(s, g.as_json); }));
  add("forks", "One version with two contents, one name at two processes, counts that went back",
      loaded([](const Store& s, const Options& g) { tell_forks(s, g.as_json); }));
  add("plot", "Draw how versions spread, and who acted on which when, as SVG (needs gnuplot)",
      loaded([](const Store& s, const Options& g) { plot_versions(s, g.out); }))
      ->add_option("-o,--out", o->out)
      ->required();
  audit->footer("Example: yoketurn-fleet audit --store audit.db run --roll roll.info");
}

}  // namespace yoketurn::fleet
