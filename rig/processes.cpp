#include "rig/processes.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <cstdio>

#include "files/write_fully.hpp"

namespace yoketurn::rig {

namespace process = boost::process;

namespace {
constexpr unsigned kFirstOther = 3;  // descriptor after those of the standard streams
}

struct Processes::One {
  process::child child;
  bool begun = false;
};

Processes::Processes(std::string folder, std::vector<std::string> names)
    : folder_(std::move(folder)), names_(std::move(names)) {
  for (std::size_t i = 0; i < names_.size(); ++i) all_.push_back(std::make_unique<One>());
}

Processes::~Processes() {
  for (auto& one : all_) {
    std::error_code ignored;
    if (!one->begun || !one->child.running(ignored)) continue;
    ::kill(one->child.id(), SIGKILL);
    one->child.wait(ignored);
  }
}

std::string Processes::log(int which) const {
  return fmt::format("{}/{}.log", folder_, names_[static_cast<std::size_t>(which)]);
}

std::string Processes::clock_file(int which) const {
  return fmt::format("{}/{}.clock", folder_, names_[static_cast<std::size_t>(which)]);
}

void Processes::stepped_clocks(const std::string& library) {
  clock_library_ = library;
  for (std::size_t i = 0; i < names_.size(); ++i) step_clock(static_cast<int>(i), 0);
}

// The file is mapped by the process: it is written in place.
void Processes::step_clock(int which, long long seconds_ahead) {
  const auto path = clock_file(which);
  const auto file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  const auto* bytes = reinterpret_cast<const char*>(&seconds_ahead);
  const auto written = file >= 0 && write_fully(file, bytes, sizeof seconds_ahead);
  if (file >= 0) ::close(file);
  if (!written) throw std::runtime_error(path + " can't be written");
}

void Processes::start(int which, const std::string& program, const std::vector<std::string>& arguments) {
  auto& one = *all_[static_cast<std::size_t>(which)];
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> out(std::fopen(log(which).c_str(), "a"), std::fclose);
  if (!out) throw std::runtime_error(log(which) + " can't be written");
  auto environment = process::environment(boost::this_process::environment());
  if (!clock_library_.empty()) {
    environment["LD_PRELOAD"] = clock_library_;
    environment["YOKETURN_CLOCK_OFFSET"] = clock_file(which);
  }
  // They end with the rig, however it ends.
  one.child = process::child(program, process::args(arguments), environment,
                             process::std_in<process::null, process::std_out> out.get(),
                             process::std_err > out.get(), process::extend::on_exec_setup([](auto&) {
                               ::prctl(PR_SET_PDEATHSIG, SIGKILL);
                               // The rig's own sockets would count as the process's.
                               ::close_range(kFirstOther, ~0U, CLOSE_RANGE_CLOEXEC);
                             }));
  one.begun = true;
}

void Processes::signal(int which, int number) {
  auto& one = *all_[static_cast<std::size_t>(which)];
  std::error_code ignored;
  if (one.begun && one.child.running(ignored)) ::kill(one.child.id(), number);
}

bool Processes::running(int which) {
  auto& one = *all_[static_cast<std::size_t>(which)];
  std::error_code ignored;
  return one.begun && one.child.running(ignored);
}

void Processes::await(int which) {
  auto& one = *all_[static_cast<std::size_t>(which)];
  std::error_code ignored;
  if (one.begun && one.child.valid()) one.child.wait(ignored);
}

int Processes::exit_code(int which) {
  const auto status = all_[static_cast<std::size_t>(which)]->child.native_exit_code();
  return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

int Processes::id(int which) {
  return all_[static_cast<std::size_t>(which)]->child.id();
}

}  // namespace yoketurn::rig
