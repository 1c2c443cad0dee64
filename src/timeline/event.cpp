#include "timeline/event.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <span>

namespace yoketurn {

namespace {

using Words = std::span<const std::string_view>;

constexpr std::string_view kWhat[] = {
    "known",       "ready",    "draining", "gone",        "belief",   "report",   "sent",     "passed",
    "cancelled",   "outcome",  "opened",   "closed",      "departed", "returned", "accepted", "first_byte",
    "request",     "answered", "shut",     "door_failed", "started",  "taken",    "ended",    "waits",
    "stood_still", "ran_late", "at_bound", "clock",       "gap",      "site",     "version"};
static_assert(std::size(kWhat) == static_cast<std::size_t>(What::last));
constexpr std::string_view kReason[] = {
    "none",        "first",        "copy",         "lost_again",   "failed_again", "race_lost",
    "lost_answer", "on_time",      "copies_spent", "none_quicker", "none_left",    "paused",
    "calls_spent", "extras_spent", "may_have_run", "dearer",       "down",         "cold",
    "suspect",     "tried",        "whole",        "share",        "no_room",      "strained",
    "hopeless",    "out_of_reach", "time_over",    "cannot_reach", "away",         "shut_out",
    "too_large"};
static_assert(std::size(kReason) == static_cast<std::size_t>(Reason::answer_too_large) + 1);
constexpr std::string_view kOutcome[] = {"pending",     "success", "failure", "overloaded", "timed_out",
                                         "unreachable", "broken",  "spoilt",  "cancelled",  "unsent"};
constexpr std::string_view kBelief[] = {"unheard", "trusted", "cold", "suspect", "on_trial"};
constexpr std::string_view kSite[] = {"sound", "doubted", "lost", "cut_off", "returning", "evacuated"};
constexpr std::string_view kReport[] = {"fresh", "repeated", "older", "unreadable"};
constexpr std::string_view kClosing[] = {"idle",   "refused", "timed_out", "broken",
                                         "spoilt", "retired", "room",      "stopped"};
constexpr std::string_view kShut[] = {"by_client", "mute",   "half",    "room",  "answered",
                                      "bad",       "unread", "stopped", "memory"};
constexpr std::string_view kBound[] = {"queries", "connections", "clients", "log", "judged"};
constexpr std::string_view kVersion[] = {"list", "configuration", "operators", "build"};
constexpr std::string_view kDeparture[] = {"slow",        "stall",         "swallows",   "fails", "flaps",
                                           "late_report", "frozen_report", "connection", "cold"};
static_assert(std::size(kDeparture) == static_cast<std::size_t>(Departure::last));

Words words_of(What what) {
  switch (what) {
    case What::sent:
    case What::passed:
    case What::cancelled:
    case What::ended:
    case What::waits:
      return kReason;
    case What::outcome:
      return kOutcome;
    case What::belief:
      return kBelief;
    case What::site:
      return kSite;
    case What::report:
      return kReport;
    case What::closed:
      return kClosing;
    case What::shut:
      return kShut;
    case What::at_bound:
      return kBound;
    case What::version:
      return kVersion;
    case What::departed:
    case What::returned:
      return kDeparture;
    default:
      return {};
  }
}

std::optional<std::size_t> place(Words words, std::string_view name) {
  const auto at = std::find(words.begin(), words.end(), name);
  if (at == words.end()) return std::nullopt;
  return static_cast<std::size_t>(at - words.begin());
}

}  // namespace

std::string_view name(What what) {
  return what < What::last ? kWhat[static_cast<std::size_t>(what)] : "unknown";
}

std::string_view why_name(What what, std::uint8_t why) {
  const auto words = words_of(what);
  return why < words.size() ? words[why] : "";
}

std::optional<What> what_named(std::string_view name) {
  const auto at = place(kWhat, name);
  return at ? std::optional(static_cast<What>(*at)) : std::nullopt;
}

std::optional<std::uint8_t> why_named(What what, std::string_view name) {
  const auto at = place(words_of(what), name);
  return at ? std::optional(static_cast<std::uint8_t>(*at)) : std::nullopt;
}

std::uint64_t id_of(std::string_view query) {
  return XXH3_64bits(query.data(), query.size());
}

}  // namespace yoketurn
