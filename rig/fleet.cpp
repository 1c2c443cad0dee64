#include "rig/fleet.hpp"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "days/terms.hpp"

namespace yoketurn::rig {

namespace {

using tcp = boost::asio::ip::tcp;

constexpr int kMostRouters = 30;
constexpr double kStartPatience = 5;  // until all routers answer
constexpr double kTail = 0.6;         // after the longest deadline, until all is counted
constexpr double kKilledAfter = 6;    // SIGTERM to SIGKILL, as the platform leaves it a while
constexpr double kStep = 0.05;        // of the rig's own watch over processes and its lateness
constexpr unsigned short kListen = 18081;
constexpr unsigned short kReader = 19081;

double steady() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}
double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// An address of this process alone, so that several rigs can run side by side.
tcp::endpoint listen_of(int router) {
  const auto pid = static_cast<unsigned>(::getpid());
  return {boost::asio::ip::address_v4(
              {static_cast<unsigned char>(127), static_cast<unsigned char>(64 + (pid >> 16) % 64),
               static_cast<unsigned char>(pid >> 8), static_cast<unsigned char>(pid)}),
          static_cast<unsigned short>(kListen + router)};
}

void write_file(const std::string& path, std::string_view text) {
  std::ofstream file(path);
  file << text;
  if (!file) throw std::runtime_error(path + " can't be written");
}

// Moments of the day, written @SECONDS, as the operators' file has them.
std::string with_moments(const std::string& text, double unix_zero) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '@') {
      result += text[i];
      continue;
    }
    std::size_t used = 0;
    const auto at = static_cast<std::time_t>(unix_zero + std::stod(text.substr(i + 1), &used) + 0.5);
    char shown[32];
    std::tm when{};
    std::strftime(shown, sizeof shown, "%Y-%m-%dT%H:%M:%SZ", ::gmtime_r(&at, &when));
    result += shown;
    i += used;
  }
  return result;
}

std::vector<std::string> split_parties(const std::string& text) {
  std::vector<std::string> parties;
  std::istringstream in(text);
  for (std::string one; std::getline(in, one, ',');) parties.push_back(one);
  return parties;
}

}  // namespace

struct Fleet::Agent : toy::Discovery {
  using toy::Discovery::Discovery;
  bool blind = false, stuck = false;
  int told = 0;          // the version it holds
  int said = 0;          // and the one its router was last told
  int before = 0;        // versions before its count began
  std::set<int> forked;  // nodes that it tells as draining
  std::function<void()> on_watch;

 protected:
  void came(toy::Session& session) override {
    const auto had = asked.size();
    toy::Discovery::came(session);
    if (asked.size() > had && on_watch) on_watch();
  }
};

Fleet::Fleet(const Day& day, std::string program, std::string folder)
    : day_(day), folder_(std::move(folder)), active_(day.faults.size(), false), program_(std::move(program)) {
  if (day.routers() > kMostRouters)
    throw BadDay(fmt::format("sites: more than {} routers, which the rig can't start", kMostRouters));
  for (const auto& v : day.verticals)
    if (v.work != day.verticals.front().work)
      throw BadDay("verticals." + v.name + ".work: classes differ in work in the emulator alone");
  zero_ = steady();
  unix_zero_ = unix_now();
  for (std::size_t s = 0; s < day_.sites.size(); ++s) {
    const auto& site = day_.sites[s];
    for (int i = 0; i < site.nodes; ++i) {
      site_of_node_.push_back(static_cast<int>(s));
      node_names_.push_back(fmt::format("{}-{}", site.name, i));
      cell_.push_back(site.cell(i, day_.cells));
    }
    for (int i = 0; i < site.routers; ++i) {
      site_of_router_.push_back(static_cast<int>(s));
      router_names_.push_back(fmt::format("{}-{}", site.name, i));
    }
  }
  const auto clock = [this] { return now(); };
  const auto noted = [this](Event event) { note(std::move(event)); };
  for (const auto& name : node_names_) entries_.push_back({name});
  for (std::size_t n = 0; n < node_names_.size(); ++n)
    machines_.push_back(
        std::make_unique<Machine>(context_, day_, static_cast<int>(n), effects_, clock, noted));
  for (std::size_t r = 0; r < router_names_.size(); ++r) {
    ports_.emplace_back();
    for (std::size_t n = 0; n < node_names_.size(); ++n)
      ports_.back().push_back(
          std::make_unique<Port>(context_, static_cast<int>(r), *machines_[n], static_cast<int>(n),
                                 day_.seed + static_cast<unsigned>(r * 1000 + n), clock, noted));
    const auto router = static_cast<int>(r);
    agents_.push_back(std::make_unique<Agent>(context_));
    if (day_.spares) spares_.push_back(std::make_unique<Agent>(context_));
    for (auto* of : {&agents_, &spares_})
      if (!of->empty())
        of->back()->on_watch = [this, router, agent = of->back().get()] { watched(router, *agent); };
    listens_.push_back(listen_of(router));
    readers_.push_back({listens_.back().address(), static_cast<unsigned short>(kReader + r)});
    gates_.push_back(std::make_unique<Gate>(context_, readers_.back()));
    tell(router);
    write_file(fmt::format("{}/router-{}.json", folder_, r), config_text(router));
    write_operators(router, "");
  }
  wanted_.resize(all(), false);
  stopped_.resize(all(), false);
  other_.resize(all(), false);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < all(); ++i)
    names.push_back(i < router_names_.size() ? fmt::format("router-{}", i)
                                             : fmt::format("auditor-{}", i - router_names_.size()));
  for (int i = 0; i < day_.auditors; ++i) write_roll(i);
  processes_ = std::make_unique<Processes>(folder_, std::move(names));
  if (std::any_of(day_.faults.begin(), day_.faults.end(),
                  [](const Fault& fault) { return fault.what == "step_clock"; }))
    processes_->stepped_clocks(std::filesystem::path(program_).parent_path() /
                               "libyoketurn_stepped_clock.so");
  relink();
}

Fleet::~Fleet() {
  processes_.reset();
  clients_.clear();
}

void Fleet::write_operators(int router, const std::string& of_sites) {
  auto text = fmt::format("sites {{ on {}\n{} }}\n", day_.plan ? "yes" : "no", of_sites);
  if (day_.auditors > 0) {
    const auto& at = readers_[static_cast<std::size_t>(router)];
    text += fmt::format("timeline {{ on yes\n listen {}:{}\n readers 8 }}\n", at.address().to_string(),
                        at.port());
  }
  if (day_.orders || !day_.fleet.empty())
    text += fmt::format("fleet {{ {}\n{} }}\n",
                        day_.orders ? fmt::format("orders \"{}/orders\"", folder_) : "", day_.fleet);
  write_file(fmt::format("{}/router-{}.info", folder_, router), text + day_.operators);
}

void Fleet::write_roll(int auditor) {
  auto text = fmt::format("audit {{ every 0.25\n{}\n{} }}\nrouters {{\n",
                          day_.orders ? fmt::format("orders \"{}/orders\"", folder_) : "", day_.audit);
  for (std::size_t r = 0; r < router_names_.size(); ++r) {
    const auto at = gates_[r]->at();
    text += fmt::format("  {} {{ site {} reader {}:{}", router_names_[r],
                        day_.sites[static_cast<std::size_t>(site_of_router_[r])].name,
                        at.address().to_string(), at.port());
    if (day_.spares)
      text += fmt::format(" agent {}:{}", spares_[r]->at().address().to_string(), spares_[r]->at().port());
    text += " }\n";
  }
  write_file(fmt::format("{}/roll-{}.info", folder_, auditor), text + "}\n");
}

double Fleet::now() const {
  return steady() - zero_;
}

void Fleet::note(Event event) {
  event.at = now();
  result_.record.push_back(std::move(event));
}

std::vector<std::string> Fleet::entries(int router) const {
  std::vector<std::string> list;
  for (std::size_t n = 0; n < entries_.size(); ++n)
    if (entries_[n].state != "gone") list.push_back(entry(router, static_cast<int>(n)));
  return list;
}

std::string Fleet::entry(int router, int node) const {
  const auto r = static_cast<std::size_t>(router), n = static_cast<std::size_t>(node);
  const auto forked = agents_[r]->forked.contains(node);
  return toy::Discovery::entry(
      entries_[n].name, ports_[r][n]->at(), cell_[n], forked ? "draining" : entries_[n].state,
      day_.sites[static_cast<std::size_t>(site_of_node_[n])].name, entries_[n].started_ms);
}

std::string Fleet::config_text(int router) const {
  const auto at = [](const tcp::endpoint& e) {
    return fmt::format("{}:{}", e.address().to_string(), e.port());
  };
  const auto r = static_cast<std::size_t>(router);
  return fmt::format(R"({{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}",)"
                     R"("limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}})",
                     router_names_[r], at(listens_[r]), at(agents_[r]->at()),
                     day_.seed * 2654435761U + static_cast<unsigned>(router), agents_[r]->whole,
                     settings_text(day_, day_.sites[static_cast<std::size_t>(site_of_router_[r])].name));
}

// --- the routers

void Fleet::start(int router) {
  const auto r = static_cast<std::size_t>(router);
  if (r >= router_names_.size()) {
    const auto auditor = r - router_names_.size();
    processes_->start(router, std::filesystem::path(program_).parent_path() / "yoketurn-fleet",
                      {"audit", "--store", fmt::format("{}/audit-{}.db", folder_, auditor), "run", "--roll",
                       fmt::format("{}/roll-{}.info", folder_, auditor)});
    wanted_[r] = true;
    return note(
        {.kind = Kind::process, .router = router, .number = processes_->id(router), .text = "started"});
  }
  processes_->start(router, other_[r] ? program_ + "_other" : program_,
                    {"run", "--config", fmt::format("{}/router-{}.json", folder_, router), "--operators",
                     fmt::format("{}/router-{}.info", folder_, router)});
  wanted_[r] = true;
  note({.kind = Kind::process, .router = router, .number = processes_->id(router), .text = "started"});
  // What its agent holds counts as told.
  for (std::size_t n = 0; n < entries_.size(); ++n)
    if (entries_[n].state != "ready" && agents_[r]->told == version_)
      note({.kind = Kind::told,
            .router = router,
            .node = static_cast<int>(n),
            .number = version_,
            .text = entries_[n].state});
}

void Fleet::watched(int router, Agent& agent) {
  if (agent.said == agent.told) return;
  agent.said = agent.told;
  for (std::size_t n = 0; n < entries_.size(); ++n)
    note({.kind = Kind::told,
          .router = router,
          .node = static_cast<int>(n),
          .number = agent.told,
          .text = agent.forked.contains(static_cast<int>(n)) ? "draining" : entries_[n].state});
}

void Fleet::end(int router, int signal) {
  wanted_[static_cast<std::size_t>(router)] = false;
  if (!processes_->running(router)) return;
  processes_->signal(router, signal);
  note({.kind = Kind::process,
        .router = router,
        .number = signal,
        .text = signal == SIGKILL ? "killed" : "told to end"});
}

// One that ends without being told to has crashed.
void Fleet::watch_processes() {
  for (std::size_t r = 0; r < wanted_.size(); ++r)
    if (wanted_[r] && !processes_->running(static_cast<int>(r))) {
      wanted_[r] = false;
      note({.kind = Kind::process,
            .router = static_cast<int>(r),
            .number = processes_->exit_code(static_cast<int>(r)),
            .value = 1,
            .text = "crashed"});
    }
}

// --- what agents tell

void Fleet::tell(int router) {
  const auto r = static_cast<std::size_t>(router);
  for (auto* of : {&agents_, &spares_}) {
    if (of->empty()) continue;
    auto& agent = *(*of)[r];
    if (agent.blind) continue;
    agent.whole = toy::Discovery::list(version_ - agent.before, true, entries(router));
    agent.told = version_;
  }
}

void Fleet::changed(int node) {
  const auto version = ++version_;
  after(context_, day_.list_late, [this, node, version] {
    const auto n = static_cast<std::size_t>(node);
    for (std::size_t r = 0; r < agents_.size(); ++r) {
      const auto router = static_cast<int>(r);
      tell(router);
      std::vector<std::string> fresh{entry(router, node)};
      // A process under another name: its old one is gone.
      if (const auto& name = entries_[n].name; name != node_names_[n])
        fresh.insert(fresh.begin(),
                     toy::Discovery::entry(node_names_[n], ports_[r][n]->at(), cell_[n], "gone",
                                           day_.sites[static_cast<std::size_t>(site_of_node_[n])].name));
      for (auto* of : {&agents_, &spares_}) {
        if (of->empty()) continue;
        auto& agent = *(*of)[r];
        if (agent.blind || agent.stuck || agent.silent) continue;
        agent.tell(toy::Discovery::list(version - agent.before, false, fresh));
        agent.said = agent.told;
        // A spare that nobody follows tells nobody.
        if (of == &agents_)
          note({.kind = Kind::told,
                .router = router,
                .node = node,
                .number = version,
                .text = entries_[n].state});
      }
    }
  });
}

// --- the faults

std::vector<int> Fleet::processes_of(const std::string& party) const {
  auto found = routers_of(day_, party);
  for (const auto& one : split_parties(party))
    if (one.starts_with("auditor:"))
      found.push_back(static_cast<int>(router_names_.size()) + std::atoi(one.c_str() + 8));
  return found;
}

void Fleet::relink() {
  std::vector<std::vector<Way>> ways(ports_.size(), std::vector<Way>(machines_.size()));
  for (std::size_t r = 0; r < ports_.size(); ++r)
    for (std::size_t n = 0; n < machines_.size(); ++n) {
      ways[r][n].delay = site_of_router_[r] == site_of_node_[n] ? 0 : day_.cross;
      if (!machines_[n]->up()) ways[r][n].to_node = ways[r][n].from_node = false;
    }
  for (std::size_t f = 0; f < day_.faults.size(); ++f) {
    if (!active_[f]) continue;
    const auto& fault = day_.faults[f];
    const auto act = [&](Way& way) {
      if (fault.what == "silent") way.to_node = way.from_node = false;
      if (fault.what == "deaf") way.to_node = false;
      if (fault.what == "dumb") way.from_node = false;
      if (fault.what == "refuse") way.refused = true;
      if (fault.what == "delay") way.delay += fault.amount;
      if (fault.what == "lose_answers") way.lost = std::max(way.lost, fault.amount);
    };
    std::set<std::pair<int, int>> hit;
    const auto to = fault.to.empty() ? std::string("all") : fault.to;
    for (const auto r : routers_of(day_, fault.of))
      for (const auto n : nodes_of(day_, to)) hit.insert({r, n});
    for (const auto r : routers_of(day_, to))
      for (const auto n : nodes_of(day_, fault.of)) hit.insert({r, n});
    // A site cut from all the others still reaches itself.
    const auto cut = fault.to.empty() && fault.of.starts_with("site:");
    for (const auto& [r, n] : hit)
      if (!cut || site_of_router_[static_cast<std::size_t>(r)] != site_of_node_[static_cast<std::size_t>(n)])
        act(ways[static_cast<std::size_t>(r)][static_cast<std::size_t>(n)]);
  }
  for (std::size_t r = 0; r < ports_.size(); ++r)
    for (std::size_t n = 0; n < machines_.size(); ++n) ports_[r][n]->set(ways[r][n]);
}

void Fleet::surge(const std::string& party, double times) {
  for (const auto r : routers_of(day_, party))
    clients_[static_cast<std::size_t>(site_of_router_[static_cast<std::size_t>(r)])]->surge = times;
}

void Fleet::begin(std::size_t f) {
  if (over_) return;
  const auto& fault = day_.faults[f];
  active_[f] = true;
  note({.kind = Kind::fault, .number = 1, .text = fault.what + " " + fault.of});
  const auto routers = processes_of(fault.of);
  const auto nodes = nodes_of(day_, fault.of);
  if (fault.what == "lose") {
    for (const auto n : nodes) {
      machines_[static_cast<std::size_t>(n)]->die();
      note({.kind = Kind::node, .node = n, .text = "died"});
    }
    for (const auto r : routers) end(r, SIGKILL);
  }
  if (fault.what == "kill" || fault.what == "term")
    for (const auto r : routers) end(r, fault.what == "kill" ? SIGKILL : SIGTERM);
  if (fault.what == "pause")
    for (const auto r : routers) {
      processes_->signal(r, SIGSTOP);
      stopped_[static_cast<std::size_t>(r)] = true;
      note({.kind = Kind::process, .router = r, .text = "stopped"});
    }
  if (fault.what == "step_clock")
    for (const auto r : routers) processes_->step_clock(r, static_cast<long long>(fault.amount));
  if (fault.what == "start")
    for (const auto r : routers)
      if (!processes_->running(r)) start(r);
  if (fault.what == "build")
    for (const auto r : routers) {
      other_[static_cast<std::size_t>(r)] = true;
      end(r, SIGKILL);
      processes_->await(r);  // its address must be free
      start(r);
    }
  if (fault.what == "unseen")
    for (const auto r : routers) gates_[static_cast<std::size_t>(r)]->cut(true);
  if (fault.what == "hup")
    for (const auto r : routers) {
      write_operators(r, with_moments(fault.to, unix_zero_));
      processes_->signal(r, SIGHUP);
    }
  if (fault.what == "slow")
    for (const auto n : nodes) machines_[static_cast<std::size_t>(n)]->slow = fault.amount;
  if (fault.what == "surge") surge(fault.of, fault.amount);
  if (fault.what == "drain")
    for (const auto n : nodes) {
      machines_[static_cast<std::size_t>(n)]->drain(true);
      entries_[static_cast<std::size_t>(n)].state = "draining";
      note({.kind = Kind::node, .node = n, .text = "draining"});
      changed(n);
    }
  for (const auto r : routers) {
    if (static_cast<std::size_t>(r) >= agents_.size()) continue;
    auto& agent = *agents_[static_cast<std::size_t>(r)];
    if (fault.what == "blind") agent.blind = true;
    if (fault.what == "stuck") agent.stuck = true;
    if (fault.what == "hush") {
      agent.silent = true;
      agent.mute(true);
    }
    if (fault.what == "recount") {
      agent.before = version_ - 1;
      tell(r);
      if (fault.amount > 0) agent.break_off();
    }
    if (fault.what == "fork") {
      for (const auto n : nodes_of(day_, fault.to)) agent.forked.insert(n);
      agent.said = 0;
      tell(r);
      agent.break_off();
    }
  }
  if (fault.what == "gone")
    for (const auto n : nodes) {
      entries_[static_cast<std::size_t>(n)].state = "gone";
      changed(n);
    }
  if (fault.what == "reset")
    for (const auto r : routers_of(day_, fault.to.empty() ? "all" : fault.to))
      for (const auto n : nodes) ports_[static_cast<std::size_t>(r)][static_cast<std::size_t>(n)]->reset();
  relink();
  if (fault.length > 0) after(context_, fault.length, [this, f] { finish(f); });
  if (fault.every > 0) after(context_, fault.every, [this, f] { begin(f); });
}

void Fleet::finish(std::size_t f) {
  if (!active_[f] || over_) return;
  const auto& fault = day_.faults[f];
  active_[f] = false;
  note({.kind = Kind::fault, .text = fault.what + " " + fault.of});
  const auto routers = processes_of(fault.of);
  const auto nodes = nodes_of(day_, fault.of);
  if (fault.what == "lose")
    for (const auto n : nodes) {
      auto& machine = *machines_[static_cast<std::size_t>(n)];
      machine.start(now());
      if (fault.amount > 0)
        entries_[static_cast<std::size_t>(n)].name = node_names_[static_cast<std::size_t>(n)] + "-anew";
      entries_[static_cast<std::size_t>(n)].started_ms = static_cast<long long>((unix_zero_ + now()) * 1e3);
      for (auto& of_router : ports_) of_router[static_cast<std::size_t>(n)]->reset();
      note({.kind = Kind::node, .node = n, .value = machine.capacity(now()), .text = "started"});
      changed(n);
    }
  if (fault.what == "step_clock")
    for (const auto r : routers) processes_->step_clock(r, 0);
  if (fault.what == "lose" || fault.what == "kill" || fault.what == "term")
    for (const auto r : routers) {
      if (processes_->running(r)) processes_->signal(r, SIGKILL);
      if (!wanted_[static_cast<std::size_t>(r)]) start(r);
    }
  if (fault.what == "pause")
    for (const auto r : routers) {
      processes_->signal(r, SIGCONT);
      stopped_[static_cast<std::size_t>(r)] = false;
      note({.kind = Kind::process, .router = r, .text = "resumed"});
    }
  if (fault.what == "slow")
    for (const auto n : nodes) machines_[static_cast<std::size_t>(n)]->slow = 1;
  if (fault.what == "surge") surge(fault.of, 1);
  if (fault.what == "drain")
    for (const auto n : nodes) {
      machines_[static_cast<std::size_t>(n)]->drain(false);
      entries_[static_cast<std::size_t>(n)].state = "ready";
      note({.kind = Kind::node, .node = n, .value = 1, .text = "ready"});
      changed(n);
    }
  if (fault.what == "build")
    for (const auto r : routers) {
      other_[static_cast<std::size_t>(r)] = false;
      end(r, SIGKILL);
      processes_->await(r);  // its address must be free
      start(r);
    }
  if (fault.what == "unseen")
    for (const auto r : routers) gates_[static_cast<std::size_t>(r)]->cut(false);
  if (fault.what == "gone")
    for (const auto n : nodes) {
      entries_[static_cast<std::size_t>(n)].state = "ready";
      changed(n);
    }
  for (const auto r : routers) {
    if (static_cast<std::size_t>(r) >= agents_.size()) continue;
    auto& agent = *agents_[static_cast<std::size_t>(r)];
    if (fault.what == "stuck") agent.stuck = false;
    if (fault.what == "hush") {
      agent.silent = false;
      agent.mute(false);
    }
    if (fault.what == "fork") {
      agent.forked.clear();
      agent.said = 0;
      tell(r);
      agent.break_off();
    }
    if (fault.what != "blind") continue;
    agent.blind = false;
    if (agent.told == version_) continue;
    tell(r);
    agent.tell(agent.whole);
    watched(r, agent);
  }
  relink();
}

// --- the day

void Fleet::keep_time(double due) {
  result_.ran_late = std::max(result_.ran_late, now() - due);
  watch_processes();
  after(context_, kStep, [this, next = now() + kStep] { keep_time(next); });
}

Result Fleet::play() {
  std::filesystem::create_directories(folder_ + "/orders");
  for (int r = 0; r < day_.routers(); ++r) start(r);
  // An auditor that a fault starts comes with that.
  for (int a = day_.routers(); a < static_cast<int>(all()); ++a) {
    const auto name = fmt::format("auditor:{}", a - day_.routers());
    if (std::none_of(day_.faults.begin(), day_.faults.end(),
                     [&](const Fault& f) { return f.what == "start" && f.of == name; }))
      start(a);
  }
  std::vector<int> sites = site_of_router_;
  front_ = std::make_unique<Front>(context_, day_, listens_, sites, [this] { return now(); });
  const auto all_in = [&] {
    for (int r = 0; r < day_.routers(); ++r)
      if (!front_->in(r)) return false;
    return true;
  };
  while (!all_in()) {
    if (now() > kStartPatience)
      throw std::runtime_error("not all routers have begun to answer; see " + folder_);
    context_.run_one_for(std::chrono::milliseconds(20));
  }
  // The day begins now.
  const auto shift = now();
  zero_ += shift;
  unix_zero_ += shift;
  for (auto& event : result_.record) event.at -= shift;
  keep_time(now());
  for (std::size_t s = 0; s < day_.sites.size(); ++s)
    clients_.push_back(std::make_unique<Clients>(
        context_, day_, static_cast<int>(s), *front_, [this] { return now(); },
        [this](Event event) { note(std::move(event)); }));
  for (std::size_t f = 0; f < day_.faults.size(); ++f)
    after(context_, day_.faults[f].from, [this, f] { begin(f); });
  double longest = 0;
  for (const auto& v : day_.verticals) longest = std::max(longest, v.deadline);
  const auto run_until = [&](double end) {
    while (now() < end)
      context_.run_one_for(std::chrono::microseconds(static_cast<long>((end - now()) * 1e6) + 1));
  };
  run_until(day_.seconds);
  for (auto& clients : clients_) clients->stop();
  run_until(day_.seconds + longest + kTail);
  over_ = true;
  front_->stop();
  for (int r = 0; r < static_cast<int>(all()); ++r) {
    if (stopped_[static_cast<std::size_t>(r)]) processes_->signal(r, SIGCONT);
    end(r, SIGTERM);
  }
  const auto any = [&] {
    for (int r = 0; r < static_cast<int>(all()); ++r)
      if (processes_->running(r)) return true;
    return false;
  };
  for (const auto end = now() + kKilledAfter; any() && now() < end;)
    context_.run_one_for(std::chrono::milliseconds(20));
  processes_.reset();
  for (const auto& machine : machines_)
    result_.most_pushed = std::max(result_.most_pushed, machine->most_pushed());
  for (const auto& of_router : ports_)
    for (const auto& port : of_router) result_.connections += port->connections();
  read_logs();
  result_.unix_zero = unix_zero_;
  std::stable_sort(result_.record.begin(), result_.record.end(),
                   [](const Event& a, const Event& b) { return a.at < b.at; });
  std::ofstream file(folder_ + "/record.jsonl");
  write(file, result_.record);
  return std::move(result_);
}

// What routers and auditors say of themselves and of others, by the common clock.
void Fleet::read_logs() {
  static const std::set<std::string> kStanding{"doubt",         "doubt_over", "step",    "order",
                                               "order_refused", "taking",     "version", "list_again"};
  static const std::set<std::string> kAudit{"router",      "fork",        "ordered", "held_back",
                                            "term",        "overtaken",   "kept",    "store_failed",
                                            "store_again", "store_broken"};
  for (std::size_t i = 0; i < all(); ++i) {
    const auto of_router = i < router_names_.size();
    std::ifstream log(fmt::format("{}/{}-{}.log", folder_, of_router ? "router" : "auditor",
                                  of_router ? i : i - router_names_.size()));
    for (std::string line; std::getline(log, line);) {
      const auto space = line.find(' ');
      if (space == std::string::npos) continue;
      const auto at = std::strtod(line.c_str(), nullptr) - unix_zero_;
      const auto rest = line.substr(space + 1);
      const auto event = rest.substr(0, rest.find(' '));
      const auto say = [&](Kind kind, const std::string& text) {
        result_.record.push_back({at, kind, static_cast<int>(of_router ? i : i - router_names_.size()), -1,
                                  "", -1, -1, 0, 0, text});
      };
      if (of_router && event == "site") say(Kind::site, rest.substr(5));
      if (of_router && kStanding.contains(event)) say(Kind::standing, rest);
      if (!of_router && kAudit.contains(event)) say(Kind::audit, rest);
    }
  }
}

}  // namespace yoketurn::rig
