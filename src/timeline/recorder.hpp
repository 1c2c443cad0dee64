// Turns what the router sees and decides into events of the time line, and feeds the departures. One call a
// hook.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "anomalies/anomaly_detector.hpp"
#include "queries/query_observer.hpp"
#include "sites/sites.hpp"
#include "timeline/timeline.hpp"
#include "versions/versions.hpp"

namespace yoketurn {

class Recorder : public QueryObserver {
 public:
  Recorder(const Timeline::Budget& budget, const AnomalyLimits& limits, bool departures, int verticals,
           double now, double unix_at_zero);

  void on_decision(long long query, const Query& q, const Decision& answer,
                   std::span<const DecisionTraceEntry> judged, double now) override;
  void on_outcome(long long query, const Query& q, int leaf, int call, double now) override;

  // Of a node: its place in the list, where it is, since when; again whenever it is told.
  void listed(int node, const std::string& name, const std::string& address, bool up, double born,
              long long version, double now);
  void left(int node, long long version, double now);  // gone, as told
  void forgotten(int node, double now);                // its number may be given again
  void believed(int node, NodeHealth belief, double now);
  void load_asked(int node, double now);
  void load_answered(int node, double now);  // whatever it says
  void reported(int node, double in_flight, double queue, double measured, Report kind, double now);
  void opened(int node, double took, double now);
  void closed(int node, Closing why, double now);

  void taken(long long query, std::string_view id, int vertical, double now);
  void door(What what, std::uint8_t why, int connection, std::uint32_t address, double a, double b,
            double now);
  void version(VersionedInput subject, const Version& version, std::uint64_t interval, double now);
  void site(const std::string& name, const SiteHealthChange& news);
  void loop(What what, std::uint8_t why, double a, double b, double now);

  // Departures that are new; the clock against the common one.
  std::vector<AnomalyEvent> tick(double now, double unix_at_zero);

  Timeline& timeline() { return timeline_; }
  const Timeline& timeline() const { return timeline_; }
  std::string name_of(int node) const;

 private:
  struct Node {
    std::uint32_t line = kNoLine;
    std::string name;
    double born = 0;
    int told = -1;  // 1: up
    NodeHealth belief = NodeHealth::unknown;
    double in_flight = -1, queue = -1, measured = 0;
  };
  Node& at(int node);
  std::uint32_t line_of(int node) const;
  Event event(What what, std::uint32_t line, std::uint8_t why, double now) const;

  Timeline timeline_;
  AnomalyDetector anomaly_detector_;
  bool departs_;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, std::uint32_t> sites_;  // their lines
};

}  // namespace yoketurn
