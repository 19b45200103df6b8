/// Chooses an endpoint of a service by what this node has itself observed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/routing_table.h"

namespace driftlug::routing {

/// How candidates are compared.
enum class PickPolicy {
  kRoundRobin,
  kRandom,
  kLeastInFlight,  ///< fewer own requests in flight, of two drawn at random
  kLeastCost,      ///< smaller (latency × requests in flight), of two drawn at random
  kNearestIdle,    ///< the own zone while it has slots to spare, else the endpoint with the most
};

/// Settings of the picker.
struct PickerOptions {
  PickPolicy policy = PickPolicy::kLeastCost;
  base::Duration slowStart = base::seconds(5);         ///< over which a new endpoint gets its full share
  base::Duration latencyHalfLife = base::seconds(10);  ///< half-life of an observed latency
  /// An endpoint without an answer for so long, and without a request, counts as one of unknown latency: what made it
  /// slow may be over, and only a request can tell.
  base::Duration probeAfter = base::seconds(2);
  int ejectAfterFailures = 5;  ///< consecutive failures
  base::Duration ejectFor = base::seconds(3);
  double maxEjectedShare = 0.5;   ///< of a service's endpoints
  int defaultSlots = 16;          ///< of an endpoint that does not tell
  double idleUtilization = 0.85;  ///< kNearestIdle: up to this share of busy slots endpoints count as equal
  double crossZonePenalty = 0.5;  ///< kNearestIdle: share of busy slots that another zone counts more
  size_t bodyBytesPerZonePenalty =
      0;  ///< kNearestIdle: bytes of a body that count as another zone does, beside it; 0 for none
  /// kNearestIdle: share of busy slots that the endpoint beside the node counts less, since a call there crosses no
  /// link.
  double colocationBonus = 0;
  double slownessPenalty = 0.2;  ///< kNearestIdle: for each time that an endpoint is slower than the fastest
  double maxSlowness = 3;        ///< kNearestIdle: times slower that are told apart
  base::Duration loadReportHalfLife = base::milliseconds(500);  ///< half-life of what an endpoint said of its load
};

/// State of all endpoints that this node uses, kept across table versions.
///
/// Own observations lead: a load or a condition that others report can take an endpoint out of the choice, but
/// never below half of a service's endpoints, and it never makes a slow endpoint look fast.
class EndpointPicker {
 public:
  EndpointPicker(PickerOptions options, const base::TimeSource& time, base::RandomSource random);

  /// Chooses among a service's endpoints.
  /// @param excluded endpoints that were already tried for this request
  /// @return null when there is no candidate
  /// @param rank how urgent the request is, lower first; endpoints that refused an equal or more urgent request for
  /// want of slots are left out for a while
  /// @param bodyBytes size of a body that is large enough to matter, which is to cross to another zone only where that
  /// gains much; else 0
  const EndpointTarget* pick(const std::vector<EndpointTarget>& endpoints, const std::string& ownZone,
                             const std::set<std::string>& excluded, int rank = 0, size_t bodyBytes = 0);

  /// Chooses the endpoint that a key puts first among those that take work, the same at all nodes that know the same.
  /// @param excluded endpoints that were already tried for this request
  /// @return null when none takes work
  const EndpointTarget* pickByKey(uint64_t key, const std::vector<EndpointTarget>& endpoints,
                                  const std::set<std::string>& excluded);

  /// @return whether a single endpoint takes work while others of the service are away.
  bool hasSingleUsableEndpoint(const std::vector<EndpointTarget>& endpoints);

  /// A request was sent to an endpoint.
  void onSent(const std::string& endpoint);

  /// A request ended.
  /// @param failed whether the endpoint, not the request, was at fault
  void onDone(const std::string& endpoint, base::Duration latency, bool failed);

  /// The endpoint told, with an answer, how many requests it runs or holds for all callers.
  void onLoadReport(const std::string& endpoint, int inFlight);

  /// The endpoint's back end is known to be away: it is left out for as long as after failures in a row.
  void eject(const std::string& endpoint);

  /// The endpoint refused a request of this rank for want of slots, and is not asked again before the given time.
  void onFull(const std::string& endpoint, int rank, base::Duration backOff);

  /// The endpoint refused a request since its body could not have crossed the endpoint's link in time; no other request
  /// with a large body goes there for this time.
  void onLargeBodyRefused(const std::string& endpoint, base::Duration duration);

  /// Forgets an endpoint that is gone for good.
  void forget(const std::string& endpoint) { states_.erase(endpoint); }

  /// A request ended without telling anything of the endpoint.
  void onAbandoned(const std::string& endpoint);

  /// The connection to an endpoint's node opened or closed.
  void setConnected(const std::string& endpoint, bool connected);

  /// The endpoint said, or a relay said of it, that it takes no new work, or that it does again.
  void setAvailable(const std::string& endpoint, bool available);

  /// The endpoint's node does not acknowledge what is sent to it, or does so again.
  void setUnresponsive(const std::string& endpoint, bool unresponsive) {
    states_[endpoint].unresponsive = unresponsive;
  }

  /// The endpoint's node is this one: a call there crosses no link.
  void setColocated(const std::string& endpoint) { states_[endpoint].colocated = true; }

  int inFlight(const std::string& endpoint) const;

  /// @return the share of an endpoint's slots that is busy, as far as this node knows.
  double utilization(const EndpointTarget& target);

 private:
  struct State {
    int inFlight = 0;
    double latencyUs = 0;  // moving average; 0 while unknown
    base::TimePoint latencyAt{};
    double othersInFlight = 0;  // requests of other callers, when the endpoint last told
    base::TimePoint reportedAt{};
    int failures = 0;  // consecutive
    base::TimePoint ejectedUntil{};
    bool connected = false;
    bool available = true;
    bool unresponsive = false;
    bool colocated = false;
    base::TimePoint slowStartAt{};  // when it was first connected
    int refusedRank = 0;            // the most urgent rank that was refused, until refusedUntil
    base::TimePoint refusedUntil{};
    base::TimePoint bodiesRefusedUntil{};
  };

  bool usable(const State& state, base::TimePoint now) const;
  double cost(const EndpointTarget& target, const std::string& ownZone);
  double decayedLatencyUs(const EndpointTarget& target);
  const EndpointTarget* pickNearestIdle(const std::vector<const EndpointTarget*>& choices, const std::string& ownZone,
                                        size_t bodyBytes);
  double slowStartShare(const State& state, base::TimePoint now) const;
  std::vector<const EndpointTarget*> candidates(const std::vector<EndpointTarget>& endpoints,
                                                const std::set<std::string>& excluded, int rank, size_t bodyBytes);

  PickerOptions options_;
  const base::TimeSource& time_;
  base::RandomSource random_;
  std::map<std::string, State> states_;
  uint64_t roundRobinIndex_ = 0;  // of round robin
};

}  // namespace driftlug::routing
