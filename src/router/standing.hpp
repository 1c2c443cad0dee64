// Where this router stands in its fleet: the versions it acts on, its doubts, and the orders it takes from
// its folder. The decisions are those of Versions and Service; here they get their files, log lines and
// readers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/list.hpp"
#include "logging/log.hpp"
#include "operators/operators.hpp"
#include "versions/record.hpp"
#include "versions/service.hpp"
#include "versions/versions.hpp"

namespace yoketurn {

// Of the whole list, whatever the order of its members. Addresses are left out: a node may have another one
// at each router.
std::uint64_t content_hash(std::span<const Member> members);
std::uint64_t content_hash(std::string_view text);

class Standing {
 public:
  // What the router does when a step asks for it.
  struct Hands {
    std::function<void()> ask_again, read_again;
    std::function<void(const boost::asio::ip::tcp::endpoint&)> follow;
  };
  struct Town {  // what the router knows of itself
    std::string router, site;
    std::vector<std::string> verticals;
  };

  Standing(Town town, std::uint64_t seed, double now, double unix_at_zero, Log& log, Hands hands);

  void shape(const Operators::Fleet& fleet, bool readers);
  void file(VersionedInput subject, std::uint64_t hash, std::string_view source, double now);
  void listed(const MemberList& whole, bool full, const std::string& source, double now);
  void member(int node, const Member& member) { versions_.set_node(node, member.id, member.up); }
  // sites_lost: by node, whether its site is held for lost.
  void tick(bool draining, bool site_lost, const std::vector<bool>& hidden, double now);

  VersionTracker& versions() { return versions_; }
  bool healthy() const { return participation_.healthy(); }
  bool bars(double now) { return participation_.rejects_new_query(now); }
  void serving(bool serving) { serving_ = serving; }

  // For readers: the stand, then each interval from a number on.
  VersionsView view() const;
  // Is told of each change of version, for the time line.
  std::function<void(VersionedInput)> changed;

 private:
  void look_for_orders(double now);
  void take(const Order& order, double now);
  void perform(OrderStep step);
  void tell_interval(const Interval& interval);
  void tell_doubts(double now);
  void note(bool change, VersionedInput subject);
  VersionReport stand(double now) const;

  Town town_;
  double unix_at_zero_;
  Log& log_;
  Hands hands_;
  VersionTracker versions_;
  ParticipationController participation_;
  ParticipationController::RouterState state_;
  bool serving_ = false;
  std::string folder_;
  double look_at_ = 0;
  std::string seen_;  // of the order's file, as it was last read: its place, time and size
  std::string verdict_;
  Participation told_ = Participation::in;
  std::array<double, kStalenessKindCount>
      doubt_told_{};  // since when, of those that are logged; 0: it is over
};

}  // namespace yoketurn
