#include "wire/host.hpp"

#include <algorithm>
#include <exception>
#include <istream>
#include <ostream>

namespace yoketurn::wire {

Instance* Host::find(std::string_view name) {
  const auto at = instances_.find(name);
  if (at == instances_.end()) return nullptr;
  if (std::find(active_.begin(), active_.end(), name) == active_.end()) active_.emplace_back(name);
  return at->second.get();
}

void Host::fault(const std::string& name, const std::string& why) {
  reply_ += "bug " + name + " " + why + "\n";
  instances_.erase(name);
}

void Host::open(Fields& fields) {
  const std::string name(fields.word("router"));
  const auto seed = fields.natural("nonce64");
  const auto setup = parse_settings_text(fields.rest());
  try {
    instances_[name] = std::make_unique<Instance>(name, seed, setup, now_);
    find(name);
  } catch (const std::exception& error) {
    fault(name, error.what());
    throw InputError(error.what());
  }
}

void Host::event(std::string_view line) {
  Fields fields(line);
  const auto what = fields.word("message");
  if (what == "node") {
    if (missing_ == 0) throw InputError("node: no list has room for it");
    --missing_;
    Entry entry;
    entry.node = fields.integer("node");
    entry.zone = fields.word("zone");
    fields.word("sku");
    entry.cell = fields.index("cell");
    entry.status = fields.word("status").front();
    fields.word("power_hint");
    entry.born = fields.seconds("born_us", 0);
    filling_->push_back(entry);
    return;
  }
  if (what == "inventory") {
    const auto ref = fields.integer("ref");
    const auto many = fields.integer("hosts");
    if (ref < 0 || ref >= static_cast<long long>(kLists) || many < 0)
      throw InputError("inventory: out of range");
    filling_ = &lists_[static_cast<std::size_t>(ref)];
    filling_->clear();
    missing_ = static_cast<std::size_t>(many);
    return;
  }
  if (what == "open_instance") return open(fields);
  const std::string name(fields.word("router"));
  if (what == "teardown") {
    instances_.erase(name);
    return;
  }
  auto* instance = find(name);
  if (instance == nullptr) return;
  try {
    if (what == "membership") {
      const auto kind = fields.word("kind");
      const auto ref = fields.number("ref", 0);
      if (ref < 0 || ref >= static_cast<double>(kLists)) throw InputError("ref: out of range");
      instance->on_list(kind, lists_[static_cast<std::size_t>(ref)], now_);
    } else if (what == "demand") {
      instance->on_demand(fields, now_);
    } else if (what == "response") {
      instance->on_response(fields, now_);
    } else if (what == "gone") {
      instance->on_gone(fields);
    } else if (what == "message") {
      instance->on_message(fields, now_);
    } else if (what == "reminder") {
      instance->on_reminder(fields.word("nonce"), now_);
    } else if (what != "started" && what != "sampled") {
      throw InputError("message '" + std::string(what) + "' is unknown");
    }
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& error) {
    fault(name, error.what());
  }
}

void Host::run(std::istream& in, std::ostream& out, std::ostream& log) {
  std::string line;
  std::string batch;
  for (long long number = 1; std::getline(in, line); ++number) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    try {
      if (line.empty()) continue;
      if (line == "go") {
        for (const auto& name : active_) {
          const auto at = instances_.find(name);
          if (at == instances_.end()) continue;
          try {
            at->second->finish(now_, reply_);
          } catch (const std::exception& error) {
            fault(name, error.what());
          }
        }
        out << reply_ << "end " << batch << '\n' << std::flush;
        reply_.clear();
        active_.clear();
      } else if (line.starts_with("frame ")) {
        Fields fields(std::string_view(line).substr(6));
        now_ = static_cast<double>(fields.integer("clock")) / 1e6;
        batch = fields.word("number");
      } else {
        event(line);
      }
    } catch (const InputError& error) {
      log << "line " << number << ": " << error.what() << std::endl;
    }
  }
}

}  // namespace yoketurn::wire
