// Reports the versions this router acts on and its suspicions that they are out of date, and carries out the
// orders that the auditor puts into its folder. Versions and Service make the decisions; this class connects
// them to files, log lines and readers.
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

// Hash of a whole member list, independent of the order of its members. Leaves out the addresses, as routers
// may reach the same node at different ones.
std::uint64_t content_hash(std::span<const Member> members);
std::uint64_t content_hash(std::string_view text);

class VersionReporter {
 public:
  // How the router carries out a step.
  struct Callbacks {
    std::function<void()> request_full_list, reload;
    std::function<void(const boost::asio::ip::tcp::endpoint&)> follow_discovery;
  };
  struct RouterIdentity {
    std::string router, site;
    std::vector<std::string> verticals;
  };

  VersionReporter(RouterIdentity identity, std::uint64_t seed, double now, double unix_at_zero, Log& log,
                  Callbacks callbacks);

  // has_readers: whether anything can read the intervals; without readers only a few are kept.
  void configure(const OperatorSettings::FleetSettings& fleet, bool has_readers);
  void set_file_version(VersionedInput subject, std::uint64_t hash, std::string_view source, double now);
  // full: discovery sent the whole list, not a change to it.
  void set_list(const MemberList& whole, bool full, const std::string& source, double now);
  void set_member(int node, const Member& member) { versions_.set_node(node, member.id, member.up); }
  // nodes_in_lost_sites: by node number.
  void tick(bool draining, bool site_lost, const std::vector<bool>& nodes_in_lost_sites, double now);

  VersionTracker& versions() { return versions_; }
  bool healthy() const { return participation_.healthy(); }
  bool rejects_new_query(double now) { return participation_.rejects_new_query(now); }
  void set_serving(bool serving) { serving_ = serving; }

  // For readers: the current status, then the intervals from a given number on.
  VersionsView view() const;
  // Called on each change of a version.
  std::function<void(VersionedInput)> on_version_change;

 private:
  void poll_orders(double now);
  void apply_order(const Order& order, double now);
  void perform(OrderStep step);
  void log_interval(const Interval& interval);
  void log_suspicions(double now);
  void report_version(bool changed, VersionedInput subject);
  VersionReport status(double now) const;

  RouterIdentity identity_;
  double unix_at_zero_;
  Log& log_;
  Callbacks callbacks_;
  VersionTracker versions_;
  ParticipationController participation_;
  ParticipationController::RouterState state_;
  bool serving_ = false;
  std::string orders_folder_;
  double next_poll_at_ = 0;
  std::string last_order_file_;  // inode, modification time and size of the order file as last read
  std::string last_verdict_;
  Participation logged_taking_ = Participation::in;
  std::array<double, kStalenessKindCount> logged_suspicion_since_{};  // 0: none logged, or its end is logged
};

}  // namespace yoketurn
