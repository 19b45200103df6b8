/// Client-side load balancing: chooses an endpoint of a service from what this node has observed.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/placement/endpoint_chooser.h"
#include "routing/routing_table.h"

namespace driftlug::routing {

/// How candidates are compared.
enum class PickPolicy {
  kRoundRobin,
  kRandom,
  kLeastInFlight,  ///< power of two choices: the one with fewer of this node's requests in flight
  kLeastCost,      ///< power of two choices: the one with the smaller latency × requests in flight
  kNearestIdle,    ///< the local zone while it has free slots, else the endpoint with the most free slots
};

/// Settings of the picker.
struct PickerOptions {
  PickPolicy policy = PickPolicy::kLeastCost;
  base::Duration slowStart = base::seconds(5);         ///< time over which a new endpoint ramps up to its full share
  base::Duration latencyHalfLife = base::seconds(10);  ///< after which an observed latency counts half
  /// The latency of an endpoint that has answered nothing for this long and has no request in flight counts as unknown:
  /// the cause of the slowness may have passed, and only a request can show it.
  base::Duration probeAfter = base::seconds(2);
  int ejectAfterFailures = 5;  ///< consecutive failures
  base::Duration ejectFor = base::seconds(3);
  double maxEjectedShare = 0.5;   ///< of a service's endpoints
  int defaultSlots = 16;          ///< of an endpoint that does not report its number of slots
  double idleUtilization = 0.85;  ///< kNearestIdle: endpoints below this utilization (0 to 1) count as equally loaded
  double crossZonePenalty = 0.5;  ///< kNearestIdle: utilization added to an endpoint in another zone
  /// kNearestIdle: request body bytes that add crossZonePenalty once more to an endpoint in another zone; 0 ignores the
  /// body size.
  size_t bodyBytesPerZonePenalty = 0;
  /// kNearestIdle: utilization subtracted from the endpoint on this node, since a call to it crosses no link.
  double colocationBonus = 0;
  double slownessPenalty = 0.2;  ///< kNearestIdle: utilization added per multiple of the fastest latency
  double maxSlowness = 3;        ///< kNearestIdle: upper bound of (latency / fastest latency - 1)
  base::Duration loadReportHalfLife = base::milliseconds(500);  ///< after which a reported load counts half
};

/// Load, latency and health of all endpoints that this node uses, kept across table versions.
///
/// Local observations take precedence over reports: reported load and availability can exclude endpoints, but at most
/// maxEjectedShare of a service's endpoints, and never make a slow endpoint look fast.
class EndpointPicker : public endpoint_chooser {
 public:
  EndpointPicker(PickerOptions options, const base::TimeSource& time, base::RandomSource random);

  /// Chooses among a service's endpoints by the configured policy.
  /// @param excluded endpoints that were already tried for this request
  /// @param rank priority of the request, lowest first; skips endpoints that recently refused a request of the same or
  /// a higher priority because all slots were busy
  /// @param bodyBytes size of a large request body, which makes endpoints in other zones less attractive; 0 for a small
  /// body
  /// @return null when there is no candidate
  const EndpointTarget* pick(const std::vector<EndpointTarget>& endpoints, const std::string& ownZone,
                             const std::set<std::string>& excluded, int rank = 0, size_t bodyBytes = 0);

  /// Replaces the configured policy as the strategy of pick(). The strategy gets only usable endpoints, at least two.
  /// @param chooser must outlive this object; may use this object as its fallback
  void useChooser(endpoint_chooser& chooser) { chooser_ = &chooser; }

  /// Chooses among a service's endpoints by the strategy of useChooser(), or else by the configured policy.
  /// @param excluded endpoints that were already tried for this request
  /// @return null when there is no candidate
  const EndpointTarget* pick(const std::vector<EndpointTarget>& endpoints, const std::set<std::string>& excluded,
                             const choice_request& request);

  /// Chooses by the configured policy.
  const EndpointTarget* choose(const std::vector<const EndpointTarget*>& usable,
                               const choice_request& request) override;

  /// @return the endpoints among which pick() chooses, for the same arguments; unhealthy ones only if reports rule out
  /// most of the service's endpoints.
  std::vector<const EndpointTarget*> usableEndpoints(const std::vector<EndpointTarget>& endpoints,
                                                     const std::set<std::string>& excluded, int rank, size_t bodyBytes);

  /// @return the time until the first endpoint is used again of those that recently refused a request of the same or a
  /// higher priority; nullopt if none did
  std::optional<base::Duration> refusedFor(const std::vector<EndpointTarget>& endpoints, int rank) const;

  /// Chooses an endpoint by rendezvous hashing; nodes with the same view choose the same one. Considers endpoints with
  /// a weight above 0 that are connected, available, responsive and not ejected.
  /// @param excluded endpoints that were already tried for this request
  /// @return null when there is none
  const EndpointTarget* pickByKey(uint64_t key, const std::vector<EndpointTarget>& endpoints,
                                  const std::set<std::string>& excluded);

  /// @return whether the service has several endpoints, of which exactly one is connected, available and not ejected.
  bool hasSingleUsableEndpoint(const std::vector<EndpointTarget>& endpoints);

  /// Counts a request that was sent to an endpoint.
  void onSent(const std::string& endpoint);

  /// Records the result of a request.
  /// @param failed whether the request failed because of the endpoint
  void onDone(const std::string& endpoint, base::Duration latency, bool failed);

  /// Records the number of requests, running and queued, that an endpoint reported for all its callers.
  void onLoadReport(const std::string& endpoint, int inFlight);

  /// Excludes an endpoint for ejectFor, after consecutive failures or if its back end is known to be down.
  void eject(const std::string& endpoint);

  /// Records that the endpoint refused a request of this rank because all slots were busy; it gets no request of the
  /// same or a lower priority for the given time.
  void onRequestRefused(const std::string& endpoint, int rank, base::Duration backOff);

  /// Records that the endpoint refused a request because its link is too slow to transfer the body in time; it gets no
  /// request with a large body for the given time.
  void onLargeBodyRefused(const std::string& endpoint, base::Duration duration);

  /// Drops the state of a removed endpoint.
  void removeEndpoint(const std::string& endpoint) override;

  /// Records that a request ended without a result that affects the latency or failures of the endpoint.
  void onAbandoned(const std::string& endpoint);

  /// Sets whether the connection to the endpoint's node is open.
  void setConnected(const std::string& endpoint, bool connected);

  /// Sets whether the endpoint accepts new requests, as reported by itself or by a relay.
  void setAvailable(const std::string& endpoint, bool available);

  /// Sets whether the endpoint's node has stopped acknowledging messages.
  void setUnresponsive(const std::string& endpoint, bool unresponsive) {
    states_[endpoint].unresponsive = unresponsive;
  }

  /// Marks an endpoint as served by this node: a call to it crosses no link.
  void setColocated(const std::string& endpoint) { states_[endpoint].colocated = true; }

  int inFlight(const std::string& endpoint) const;

  /// @return whether the endpoint is connected, available and not ejected.
  bool isHealthy(const std::string& endpoint) const;

  /// @return the estimated share of an endpoint's slots that is busy; may exceed 1.
  double utilization(const EndpointTarget& target);

 private:
  struct State {
    int inFlight = 0;
    double latencyUs = 0;  // exponential moving average; 0 while unknown
    base::TimePoint latencyAt{};
    double othersInFlight = 0;  // requests of other callers in the last load report
    base::TimePoint reportedAt{};
    int failures = 0;  // consecutive
    base::TimePoint ejectedUntil{};
    bool connected = false;
    bool available = true;
    bool unresponsive = false;
    bool colocated = false;
    base::TimePoint slowStartAt{};  // start of the current slow start: connected or available again
    int refusedRank = 0;            // highest priority (lowest rank) refused before refusedUntil
    base::TimePoint refusedUntil{};
    base::TimePoint bodiesRefusedUntil{};
  };

  bool usable(const State& state, base::TimePoint now) const;
  double cost(const EndpointTarget& target, const std::string& ownZone);
  double decayedLatencyUs(const EndpointTarget& target);
  const EndpointTarget* pickNearestIdle(const std::vector<const EndpointTarget*>& choices, const std::string& ownZone,
                                        size_t bodyBytes);
  double slowStartShare(const State& state, base::TimePoint now) const;

  PickerOptions options_;
  const base::TimeSource& time_;
  base::RandomSource random_;
  endpoint_chooser* chooser_ = this;
  std::map<std::string, State> states_;
  uint64_t roundRobinIndex_ = 0;
};

}  // namespace driftlug::routing
