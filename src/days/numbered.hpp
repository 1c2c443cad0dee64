// A record's events in numbers, one after the other: names of queries become small indices.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include "days/passing.hpp"

namespace yoketurn::days {

class Numbered {
 public:
  // Valid until the next call.
  Passing of(const Event& e) {
    Passing p{e.at,    e.kind,   e.router, e.node, -1, -1,    e.vertical,
              e.shard, e.number, e.value,  false,  {}, e.text};
    if (e.id.empty()) return p;
    p.query = number(queries_, e.id, &names_);
    if (e.kind != Kind::asked && e.kind != Kind::answered && e.kind != Kind::unanswered) return p;
    p.ask = number(asks_, e.id.substr(0, e.id.rfind('t')), nullptr);
    if (e.kind == Kind::unanswered) return p;
    p.whole = e.text.starts_with("whole=1");
    shards_.clear();
    for (auto at = e.text.find_first_of("0123456789", e.text.starts_with("whole=") ? 7 : 0);
         at != std::string::npos; at = e.text.find_first_of("0123456789", std::min(at, e.text.size()))) {
      int shard = 0;
      for (; at < e.text.size() && e.text[at] >= '0' && e.text[at] <= '9'; ++at)
        shard = 10 * shard + e.text[at] - '0';
      shards_.push_back(shard);
    }
    p.shards = shards_;
    return p;
  }
  const std::string& name(long long query) const { return names_[static_cast<std::size_t>(query)]; }

 private:
  static long long number(std::unordered_map<std::string, long long>& of, const std::string& id,
                          std::vector<std::string>* names) {
    const auto [at, fresh] = of.try_emplace(id, static_cast<long long>(of.size()));
    if (fresh && names != nullptr) names->push_back(id);
    return at->second;
  }
  std::unordered_map<std::string, long long> queries_, asks_;
  std::vector<std::string> names_;
  std::vector<int> shards_;
};

}  // namespace yoketurn::days
