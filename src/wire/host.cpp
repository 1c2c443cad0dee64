#include "wire/host.hpp"

#include <algorithm>
#include <exception>
#include <istream>
#include <ostream>

namespace yoketurn::wire {

RouterInstance* InstanceHost::activate(std::string_view name) {
  const auto at = instances_.find(name);
  if (at == instances_.end()) return nullptr;
  if (std::find(active_.begin(), active_.end(), name) == active_.end()) active_.emplace_back(name);
  return at->second.get();
}

void InstanceHost::remove_failed(const std::string& name, const std::string& why) {
  reply_ += "bug " + name + " " + why + "\n";
  instances_.erase(name);
}

void InstanceHost::open_instance(FieldReader& fields) {
  const std::string name(fields.word("router"));
  const auto seed = fields.unsigned_integer("nonce64");
  const auto setup = parse_settings_text(fields.rest());
  try {
    instances_[name] = std::make_unique<RouterInstance>(name, seed, setup, now_);
    activate(name);
  } catch (const std::exception& error) {
    remove_failed(name, error.what());
    throw InputError(error.what());
  }
}

void InstanceHost::handle_line(std::string_view line) {
  FieldReader fields(line);
  const auto verb = fields.word("message");
  if (verb == "node") {
    if (missing_entries_ == 0) throw InputError("node: the inventory it belongs to is complete or missing");
    --missing_entries_;
    NodeEntry entry;
    entry.node = fields.integer("node");
    entry.zone = fields.word("zone");
    fields.word("sku");
    entry.cell = fields.index("cell");
    entry.status = fields.word("status").front();
    fields.word("power_hint");
    entry.started_at = fields.seconds("born_us", 0);
    incomplete_list_->push_back(entry);
    return;
  }
  if (verb == "inventory") {
    const auto ref = fields.integer("ref");
    const auto count = fields.integer("hosts");
    if (ref < 0 || ref >= static_cast<long long>(kMaxNodeLists) || count < 0)
      throw InputError("inventory: ref or hosts is out of range");
    incomplete_list_ = &node_lists_[static_cast<std::size_t>(ref)];
    incomplete_list_->clear();
    missing_entries_ = static_cast<std::size_t>(count);
    return;
  }
  if (verb == "open_instance") return open_instance(fields);
  const std::string name(fields.word("router"));
  if (verb == "teardown") {
    instances_.erase(name);
    return;
  }
  auto* instance = activate(name);
  if (instance == nullptr) return;
  try {
    if (verb == "membership") {
      const auto kind = fields.word("kind");
      const auto ref = fields.number("ref", 0);
      if (ref < 0 || ref >= static_cast<double>(kMaxNodeLists))
        throw InputError("membership: ref is out of range");
      instance->on_node_list(kind, node_lists_[static_cast<std::size_t>(ref)], now_);
    } else if (verb == "demand") {
      instance->on_request(fields, now_);
    } else if (verb == "response") {
      instance->on_response(fields, now_);
    } else if (verb == "gone") {
      instance->on_client_gone(fields);
    } else if (verb == "message") {
      instance->on_peer_message(fields, now_);
    } else if (verb == "reminder") {
      instance->on_timer(fields.word("nonce"), now_);
    } else if (verb != "started" && verb != "sampled") {
      throw InputError("message '" + std::string(verb) + "' is unknown");
    }
  } catch (const InputError&) {
    throw;
  } catch (const std::exception& error) {
    remove_failed(name, error.what());
  }
}

void InstanceHost::run(std::istream& in, std::ostream& out, std::ostream& log) {
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
            at->second->finish_batch(now_, reply_);
          } catch (const std::exception& error) {
            remove_failed(name, error.what());
          }
        }
        out << reply_ << "end " << batch << '\n' << std::flush;
        reply_.clear();
        active_.clear();
      } else if (line.starts_with("frame ")) {
        FieldReader fields(std::string_view(line).substr(6));
        now_ = static_cast<double>(fields.integer("clock")) / 1e6;
        batch = fields.word("number");
      } else {
        handle_line(line);
      }
    } catch (const InputError& error) {
      log << "line " << number << ": " << error.what() << std::endl;
    }
  }
}

}  // namespace yoketurn::wire
