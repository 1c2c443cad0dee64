// What the auditor has seen and ordered, on disk: SQLite in WAL mode. What commit() has returned from
// survives the end of the process at any moment. Times are Unix time. Not for the router.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "audit/account.hpp"

struct sqlite3;

namespace yoketurn::fleet {

inline constexpr int kStoreVersion = 1;

struct StoreTrouble : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct GivenOrder {
  Order order;
  double at = 0;
};

struct Note {
  double at = 0;
  std::string kind, router, text;
};

class Store {
 public:
  enum class Use { read, write };

  // A store that is broken is moved aside, beside the new one, and told; one of a newer version is refused.
  Store(const std::string& path, Use use);
  ~Store();
  const std::string& told() const { return told_; }

  // Higher than any before and than `above`, kept before it returns.
  long long new_term(long long above);
  long long term() const;

  void begin();
  void commit();
  void rollback();  // what was put since begin() is forgotten
  void put(const audit::Seen& seen);
  void put(const std::string& router, double began, const ReportedInterval& told);
  void put(const GivenOrder& given);
  void put(const Note& note);
  void prune(double before, long long rows);  // intervals that ended earlier, and the oldest beyond so many

  // acts: with what was done in each interval, not only by which versions.
  audit::Account load(bool acts) const;
  std::vector<GivenOrder> orders() const;
  std::vector<Note> notes() const;
  long long intervals() const;
  void bound_pages(int pages);  // for tests: the disk is full then

 private:
  class Statement;
  void open(const std::string& path, Use use);
  void run(const char* sql) const;
  [[noreturn]] void fail(const std::string& what) const;

  sqlite3* db_ = nullptr;
  std::string told_;
  std::unique_ptr<Statement> put_stand_, put_interval_, put_order_, put_note_;
};

}  // namespace yoketurn::fleet
