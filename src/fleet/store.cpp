#include "fleet/store.hpp"

#include <fmt/format.h>
#include <sqlite3.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <utility>

namespace yoketurn::fleet {

namespace {

constexpr int kBusy = 2000;  // milliseconds that another writer is waited for

// An interval that goes on is told again and again: the row is replaced while it is not closed.
constexpr const char* kTables = R"(
create table if not exists term (one integer primary key check (one = 1), term integer not null);
insert or ignore into term values (1, 0);
create table if not exists stands (router text, began real, at real, offset real, bound real, told text,
  primary key (router, began)) without rowid;
create table if not exists intervals (router text, began real, number integer, changed integer, since real,
  until real, c0 integer, e0 integer, h0 integer, c1 integer, e1 integer, h1 integer, c2 integer, e2 integer,
  h2 integer, c3 integer, e3 integer, h3 integer, told text, primary key (router, began, number)) without rowid;
create index if not exists by_end on intervals (until);
create table if not exists orders (term integer, number integer, at real, router text, step integer,
  until real, why text, agent text, primary key (term, number)) without rowid;
create table if not exists notes (at real, kind text, router text, words text);
)";

long long as_signed(std::uint64_t value) {
  return static_cast<long long>(value);
}

}  // namespace

class Store::Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &held_, nullptr) != SQLITE_OK)
      throw StoreTrouble(fmt::format("store: {}", sqlite3_errmsg(db)));
  }
  ~Statement() { sqlite3_finalize(held_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  template <class... Values>
  Statement& bind(const Values&... values) {
    sqlite3_reset(held_);
    int at = 0;
    (one(++at, values), ...);
    return *this;
  }
  bool step() {
    const auto result = sqlite3_step(held_);
    if (result == SQLITE_ROW) return true;
    if (result == SQLITE_DONE) return false;
    const std::string why = sqlite3_errmsg(db_);
    sqlite3_reset(held_);
    throw StoreTrouble("store: " + why);
  }
  double real(int i) const { return sqlite3_column_double(held_, i); }
  long long whole(int i) const { return sqlite3_column_int64(held_, i); }
  std::string text(int i) const {
    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(held_, i));
    return bytes == nullptr ? ""
                            : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(held_, i)));
  }

 private:
  void one(int at, double value) { sqlite3_bind_double(held_, at, value); }
  void one(int at, long long value) { sqlite3_bind_int64(held_, at, value); }
  void one(int at, const std::string& value) {
    sqlite3_bind_text(held_, at, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT);
  }
  sqlite3* db_;
  sqlite3_stmt* held_ = nullptr;
};

Store::Store(const std::string& path, Use use) {
  try {
    open(path, use);
  } catch (const StoreTrouble& trouble) {
    const std::string why = trouble.what();
    if (use == Use::read || !why.starts_with("broken")) throw;
    const auto aside = fmt::format(
        "{}.broken-{:.0f}", path,
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count());
    for (const auto* tail : {"", "-wal", "-shm"})
      if (std::filesystem::exists(path + tail)) std::filesystem::rename(path + tail, aside + tail);
    told_ = fmt::format("{}; it stands at {} now, a new one is begun", why, aside);
    open(path, use);
  }
}

void Store::open(const std::string& path, Use use) {
  const auto flags = use == Use::read ? SQLITE_OPEN_READONLY : SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  const auto opened = sqlite3_open_v2(path.c_str(), &db_, flags, nullptr);
  try {
    if (opened != SQLITE_OK) fail(path);
    sqlite3_busy_timeout(db_, kBusy);
    std::string sound = "ok";  // readers find out as they go
    if (use == Use::write) try {
        Statement check(db_, "pragma quick_check(1)");
        sound = check.step() ? check.text(0) : "";
      } catch (const StoreTrouble& trouble) {
        sound = trouble.what();
      }
    if (sound != "ok") throw StoreTrouble(fmt::format("broken store {}: {}", path, sound));
    const auto version = [&] {
      Statement get(db_, "pragma user_version");
      return get.step() ? get.whole(0) : 0;
    }();
    if (version > kStoreVersion)
      throw StoreTrouble(fmt::format("store {} is of version {}, newer than {}: it is left as it is", path,
                                     version, kStoreVersion));
    if (use == Use::read) return;
    run("pragma journal_mode = wal");
    run("pragma synchronous = normal");  // a commit outlives the process; the machine's end may cost the last
                                         // ones
    run(kTables);
    run(fmt::format("pragma user_version = {}", kStoreVersion).c_str());
    put_stand_ =
        std::make_unique<Statement>(db_, "insert or replace into stands values (?1, ?2, ?3, ?4, ?5, ?6)");
    put_interval_ = std::make_unique<Statement>(
        db_,
        "insert into intervals values (?1,?2,?3,?4,?5,?6,?7,?8,?9,?10,?11,?12,?13,?14,?15,?16,?17,?18,?19) "
        "on conflict do update set until = ?6, told = ?19 where until = 0");
    put_order_ = std::make_unique<Statement>(
        db_, "insert or replace into orders values (?1, ?2, ?3, ?4, ?5, ?6, ?7, ?8)");
    put_note_ = std::make_unique<Statement>(db_, "insert into notes values (?1, ?2, ?3, ?4)");
  } catch (...) {
    put_stand_.reset();
    put_interval_.reset();
    put_order_.reset();
    put_note_.reset();
    sqlite3_close(std::exchange(db_, nullptr));
    throw;
  }
}

Store::~Store() {
  put_stand_.reset();
  put_interval_.reset();
  put_order_.reset();
  put_note_.reset();
  sqlite3_close(db_);
}

void Store::fail(const std::string& what) const {
  throw StoreTrouble(fmt::format("store: {}: {}", what, db_ != nullptr ? sqlite3_errmsg(db_) : "no memory"));
}

void Store::run(const char* sql) const {
  if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) fail(sql);
}

void Store::begin() {
  run("begin immediate");
}

void Store::commit() {
  run("commit");
}

void Store::rollback() {
  if (sqlite3_get_autocommit(db_) == 0) sqlite3_exec(db_, "rollback", nullptr, nullptr, nullptr);
}

long long Store::new_term(long long above) {
  begin();
  const auto next = std::max(term(), above) + 1;
  Statement set(db_, "update term set term = ?1");
  set.bind(next).step();
  commit();
  return next;
}

long long Store::term() const {
  Statement get(db_, "select term from term");
  return get.step() ? get.whole(0) : 0;
}

void Store::put(const audit::Seen& s) {
  put_stand_->bind(s.stand.router, s.stand.process_started_at, s.at, s.offset, s.bound, to_json(s.stand))
      .step();
}

void Store::put(const std::string& router, double began, const ReportedInterval& told) {
  const auto& i = told.interval;
  const auto c = [&](std::size_t k) { return i.versions[k].count; };
  const auto e = [&](std::size_t k) { return static_cast<long long>(i.versions[k].epoch); };
  const auto h = [&](std::size_t k) { return as_signed(i.versions[k].hash); };
  put_interval_
      ->bind(router, began, as_signed(i.number), static_cast<long long>(i.changed_input), i.started_at,
             i.ended_at, c(0), e(0), h(0), c(1), e(1), h(1), c(2), e(2), h(2), c(3), e(3), h(3),
             to_json(i, 0, told.verticals))
      .step();
}

void Store::put(const GivenOrder& given) {
  const auto& o = given.order;
  put_order_
      ->bind(o.term, o.number, given.at, o.router, static_cast<long long>(o.step), o.expires_at, o.reason,
             o.discovery_agent)
      .step();
}

void Store::put(const Note& note) {
  put_note_->bind(note.at, note.kind, note.router, note.text).step();
}

// What leaves is stated: the life's gap moves up to it as it is loaded, by the numbers that are missing.
void Store::prune(double before, long long rows) {
  Statement old(db_, "delete from intervals where until > 0 and until < ?1");
  old.bind(before).step();
  Statement notes(db_, "delete from notes where at < ?1");
  notes.bind(before).step();
  const auto many = intervals();
  if (many <= rows) return;
  Statement most(
      db_,
      "delete from intervals where until > 0 and until <= (select until from intervals where until > 0 "
      "order by until limit 1 offset ?1)");
  most.bind(many - rows - 1).step();
}

long long Store::intervals() const {
  Statement count(db_, "select count(*) from intervals");
  count.step();
  return count.whole(0);
}

void Store::bound_pages(int pages) {
  run(fmt::format("pragma max_page_count = {}", pages).c_str());
}

audit::Account Store::load(bool acts) const {
  audit::Account account;
  Statement stands(db_, "select told, at, offset, bound from stands order by at");
  while (stands.step()) {
    const auto told = parse_versions_line(stands.text(0));
    if (const auto* stand = std::get_if<VersionReport>(&told))
      account.take({*stand, stands.real(1), stands.real(2), stands.real(3)});
  }
  const std::string columns =
      "select router, began, number, changed, since, until, c0, e0, h0, c1, e1, h1, c2, e2, h2, c3, e3, h3";
  Statement rows(db_, (columns + (acts ? ", told from intervals" : " from intervals")).c_str());
  while (rows.step()) {
    ReportedInterval told;
    if (acts) {
      const auto read = parse_versions_line(rows.text(18));
      if (const auto* interval = std::get_if<ReportedInterval>(&read)) told = *interval;
    } else {
      auto& i = told.interval;
      i.number = static_cast<std::uint64_t>(rows.whole(2));
      i.changed_input = static_cast<VersionedInput>(rows.whole(3));
      i.started_at = rows.real(4);
      i.ended_at = rows.real(5);
      for (int k = 0; k < static_cast<int>(kVersionedInputCount); ++k)
        i.versions[static_cast<std::size_t>(k)] = {rows.whole(6 + 3 * k),
                                                   static_cast<int>(rows.whole(7 + 3 * k)),
                                                   static_cast<std::uint64_t>(rows.whole(8 + 3 * k))};
    }
    account.take(rows.text(0), rows.real(1), told);
  }
  return account;
}

std::vector<GivenOrder> Store::orders() const {
  std::vector<GivenOrder> found;
  Statement rows(
      db_, "select term, number, at, router, step, until, why, agent from orders order by term, number");
  while (rows.step()) {
    GivenOrder given;
    given.order = {rows.whole(0), rows.whole(1), rows.text(3), static_cast<OrderStep>(rows.whole(4)),
                   rows.text(6),  rows.real(5),  rows.text(7)};
    given.at = rows.real(2);
    found.push_back(std::move(given));
  }
  return found;
}

std::vector<Note> Store::notes() const {
  std::vector<Note> found;
  Statement rows(db_, "select at, kind, router, words from notes order by at");
  while (rows.step()) found.push_back({rows.real(0), rows.text(1), rows.text(2), rows.text(3)});
  return found;
}

}  // namespace yoketurn::fleet
