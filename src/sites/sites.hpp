// What is believed of whole sites (zones of the list): whether one is lost or cut off, when it comes back,
// and how much of what would go there may. No I/O; the caller tells what was sent, how it ended and the time.
//
// A site's nodes bear witness together: each node has one say, good (it answered) or bad (its connection was
// refused or broke, or a part has waited there longer than nearly all do), until its say changes. A site's
// evidence is Page's cumulative sum (E. S. Page, Continuous inspection schemes, Biometrika 41, 1954) of the
// log likelihood of these says between a site that is lost and one that is as usual, where usual is learned,
// and is what the other sites say at the same time: a slow fleet is no lost site. Times are seconds, shares 0
// to 1.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "brain.hpp"

namespace yoketurn {

// doubted: half of the evidence is there; nothing is done about it. cut_off: all sites but the router's own
// are lost: it is this router's site that stands alone. Both are handled as lost.
enum class SiteBelief : std::uint8_t { sound, doubted, lost, cut_off, returning, evacuated };

// A change of belief, with what it hung on.
struct SiteNews {
  int site = kNone;
  SiteBelief before = SiteBelief::sound, now = SiteBelief::sound;
  double at = 0, lasted = 0;       // and how long the one before lasted
  int nodes = 0, bad = 0;          // of the site; of those, with a bad say
  int refused = 0;                 // of the bad: by a connection
  double evidence = 0, usual = 0;  // log likelihood; share of bad says that is usual
  double share = 1;                // of its load it may get now
  bool cold = false;               // returning: its answers are those of cold nodes
  bool held_back = false;          // an evacuation waits, as another site is lost
};

// An operators' order: the site is emptied from `from` on over `over` seconds, and filled again from `until`
// on.
struct Evacuation {
  int site = kNone;
  double from = 0, over = 0, until = 0;
  bool stands = false;  // it did before this process began: its site is empty already
  bool operator==(const Evacuation&) const = default;
};

// From the first answer of a lost site until it gets all its load again, where all goes well.
double return_time(const Settings& settings, bool cold);

class Sites {
 public:
  // own: the router's site, or kNone.
  Sites(const Settings& settings, std::uint64_t seed);

  void on(bool on);  // off: all sites count as sound, nothing is told
  void list(std::span<const DiscoveredNode> hosts, bool complete, double now);
  void forget(int node);
  void sent(int node, double now);
  // Of a call that was sent at `sent`.
  void ended(int node, double sent, Outcome outcome, double now);
  void evacuate(const std::optional<Evacuation>& order);
  void tick(double now);

  // By site; empty: nothing is believed that would change a choice.
  std::span<const SiteShare> shares() const { return shares_; }
  bool changed();  // since the last call
  std::vector<SiteNews> news();
  SiteBelief belief(int site) const;
  std::size_t many() const { return sites_.size(); }

 private:
  struct Node {
    int site = kNone;
    bool up = false;
    double born = 0;
    int out = 0;            // calls without an end
    double waits_from = 0;  // since the last answer; 0: nothing is out
    double silent = 0;      // what calls that were given up waited in vain since the last answer, in all
    bool bad = false;       // its say
    bool refused = false;
    int round = 0;          // of its site, in which it was last bad
    double good_sent = -1;  // when the latest part it has answered was sent
  };
  struct Site {
    SiteBelief belief = SiteBelief::sound;
    double since = 0;
    double lost_at = 0;
    int nodes = 0;
    int round = 1;  // the evidence began anew so often
    int bad = 0, refused = 0;
    double bad_from = 0;  // from when on parts were sent that the first of these left without an answer
    double evidence = 0;
    double usual_bad = 0;                // share of bad says, smoothed
    double good_says = 0, bad_says = 0;  // of late
    double share = 1, grown = 0;         // while it returns
    int good_since = 0, bad_since = 0;   // the last step
    double latency = 0;                  // of its answers since it returns
    double pause = 0, trial_at = 0;      // between two trials, and the next one
    double back_since = 0;
    double evacuated = 0;  // share that is taken away by order
    bool held_back = false;
  };

  Site& at(int site) { return sites_[static_cast<std::size_t>(site)]; }
  Node* known(int node);
  void say(Node& node, bool bad, bool refused, double sent, double latency, double now);
  int answered_since(int site, double sent) const;
  bool others_answer(int site, double sent) const;
  double patience() const;
  double overdue_from(double waits_from, double now) const;
  double usual(const Site& site) const;
  void weigh(int site, double now);
  void enter(int site, SiteBelief belief, double now);
  bool cold(const Site& site) const;
  double bound(const Site& site, double now) const;
  void grow(int site, double now);
  void empty(double now);
  void share_out(double now);

  int own_;
  double start_, cold_time_, fall_;
  std::ranlux24_base chance_;
  bool on_ = true;
  std::vector<Node> nodes_;
  std::vector<Site> sites_;
  std::vector<SiteShare> shares_;
  std::vector<SiteNews> news_;
  std::optional<Evacuation> order_;
  double latency_ = 0, deviation_ = 0;  // of answers from sites that are sound, smoothed
  int answers_ = 0;                     // that these are made of, to kWarm
  double ticked_ = -1, awake_ = 0;
  bool changed_ = false;
};

}  // namespace yoketurn
