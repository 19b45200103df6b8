#include "routing/endpoint_picker.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace driftlug::routing {
namespace {

constexpr double kLatencySmoothing = 0.2;     // weight of a new sample in the moving average
constexpr double kDefaultLatencyUs = 1000;    // for an endpoint without a known latency
constexpr double kCrossZoneCostFactor = 1.3;  // cost multiplier of an endpoint in another zone
constexpr double kLowestSlowStartShare = 0.1;

double secondsOf(base::Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

EndpointPicker::EndpointPicker(PickerOptions options, const base::TimeSource& time, base::RandomSource random)
    : options_(options), time_(time), random_(random) {}

bool EndpointPicker::usable(const State& state, base::TimePoint now) const {
  return state.connected && state.available && state.ejectedUntil <= now;
}

std::vector<const EndpointTarget*> EndpointPicker::usableEndpoints(const std::vector<EndpointTarget>& endpoints,
                                                                   const std::set<std::string>& excluded, int rank,
                                                                   size_t bodyBytes) {
  const auto now = time_.now();
  std::vector<const EndpointTarget*> healthy;
  std::vector<const EndpointTarget*> connected;
  size_t weighted = 0;
  for (const auto& endpoint : endpoints) {
    if (endpoint.weight <= 0) continue;
    ++weighted;
    const auto& state = states_[endpoint.name];
    if (!state.connected || state.unresponsive || excluded.count(endpoint.name) > 0) continue;
    if (state.refusedUntil > now && rank >= state.refusedRank) continue;
    if (bodyBytes > 0 && state.bodiesRefusedUntil > now) continue;
    connected.push_back(&endpoint);
    if (usable(state, now)) healthy.push_back(&endpoint);
  }
  // Reports that rule out most endpoints of a service are more likely wrong than right, so they are ignored.
  const double lowest = static_cast<double>(weighted) * (1 - options_.maxEjectedShare);
  const bool tooFew = static_cast<double>(healthy.size() + excluded.size()) < lowest;
  return healthy.empty() || (tooFew && excluded.empty()) ? connected : healthy;
}

double EndpointPicker::slowStartShare(const State& state, base::TimePoint now) const {
  if (options_.slowStart.count() == 0) return 1;
  const double share = secondsOf(now - state.slowStartAt) / secondsOf(options_.slowStart);
  return std::clamp(share, kLowestSlowStartShare, 1.0);
}

double EndpointPicker::cost(const EndpointTarget& target, const std::string& ownZone) {
  const auto& state = states_[target.name];
  const auto now = time_.now();
  double cost = state.inFlight + 1;
  if (options_.policy == PickPolicy::kLeastCost) {
    const bool probe = state.inFlight == 0 && now - state.latencyAt > options_.probeAfter;
    double latency = state.latencyUs > 0 && !probe ? state.latencyUs : kDefaultLatencyUs;
    const double age = secondsOf(now - state.latencyAt) / secondsOf(options_.latencyHalfLife);
    latency = std::max(kDefaultLatencyUs / 10, latency * std::exp2(-age));
    cost *= latency;
  }
  if (target.zone != ownZone) cost *= kCrossZoneCostFactor;
  return cost / (target.weight * slowStartShare(state, now));
}

const EndpointTarget* EndpointPicker::pick(const std::vector<EndpointTarget>& endpoints, const std::string& ownZone,
                                           const std::set<std::string>& excluded, int rank, size_t bodyBytes) {
  choice_request request;
  request.zone = ownZone;
  request.rank = rank;
  request.bodyBytes = bodyBytes;
  return pick(endpoints, excluded, request);
}

const EndpointTarget* EndpointPicker::pick(const std::vector<EndpointTarget>& endpoints,
                                           const std::set<std::string>& excluded, const choice_request& request) {
  const auto choices = usableEndpoints(endpoints, excluded, request.rank, request.bodyBytes);
  if (choices.empty()) return nullptr;
  if (choices.size() == 1) return choices[0];
  return chooser_->choose(choices, request);
}

const EndpointTarget* EndpointPicker::choose(const std::vector<const EndpointTarget*>& usable,
                                             const choice_request& request) {
  if (options_.policy == PickPolicy::kNearestIdle) return pickNearestIdle(usable, request.zone, request.bodyBytes);
  if (options_.policy == PickPolicy::kRoundRobin) return usable[roundRobinIndex_++ % usable.size()];
  const auto first = random_.below(usable.size());
  if (options_.policy == PickPolicy::kRandom) return usable[first];
  auto second = random_.below(usable.size() - 1);
  if (second >= first) ++second;
  return cost(*usable[second], request.zone) < cost(*usable[first], request.zone) ? usable[second] : usable[first];
}

void EndpointPicker::removeEndpoint(const std::string& endpoint) {
  states_.erase(endpoint);
  if (chooser_ != this) chooser_->removeEndpoint(endpoint);
}

const EndpointTarget* EndpointPicker::pickByKey(uint64_t key, const std::vector<EndpointTarget>& endpoints,
                                                const std::set<std::string>& excluded) {
  const auto now = time_.now();
  const EndpointTarget* best = nullptr;
  uint64_t highest = 0;
  for (const auto& endpoint : endpoints) {
    const auto& state = states_[endpoint.name];
    const bool isEligible = endpoint.weight > 0 && usable(state, now) && !state.unresponsive;
    if (!isEligible || excluded.count(endpoint.name) > 0) continue;
    const uint64_t hash = XXH3_64bits_withSeed(endpoint.name.data(), endpoint.name.size(), key);
    if (best != nullptr && hash <= highest) continue;
    best = &endpoint;
    highest = hash;
  }
  return best;
}

bool EndpointPicker::hasSingleUsableEndpoint(const std::vector<EndpointTarget>& endpoints) {
  const auto now = time_.now();
  const auto isEligible = [&](const EndpointTarget& endpoint) { return usable(states_[endpoint.name], now); };
  return endpoints.size() > 1 && std::count_if(endpoints.begin(), endpoints.end(), isEligible) == 1;
}

double EndpointPicker::utilization(const EndpointTarget& target) {
  const auto& state = states_[target.name];
  const auto now = time_.now();
  const double age = secondsOf(now - state.reportedAt) / secondsOf(options_.loadReportHalfLife);
  const double others = state.othersInFlight * std::exp2(-age);
  const int slots = target.slots > 0 ? target.slots : options_.defaultSlots;
  return (others + state.inFlight) / (slots * slowStartShare(state, now));
}

double EndpointPicker::decayedLatencyUs(const EndpointTarget& target) {
  const auto& state = states_[target.name];
  const double age = secondsOf(time_.now() - state.latencyAt) / secondsOf(options_.latencyHalfLife);
  return state.latencyUs * std::exp2(-age);
}

const EndpointTarget* EndpointPicker::pickNearestIdle(const std::vector<const EndpointTarget*>& choices,
                                                      const std::string& ownZone, size_t bodyBytes) {
  const double bodyZonePenalties =
      options_.bodyBytesPerZonePenalty > 0
          ? static_cast<double>(bodyBytes) / static_cast<double>(options_.bodyBytesPerZonePenalty)
          : 0;
  const EndpointTarget* best = nullptr;
  double lowest = 0;
  double fastest = 0;  // shortest known latency; 0 while none is known
  for (const auto* target : choices) {
    const double latency = decayedLatencyUs(*target);
    if (latency > 0 && (fastest == 0 || latency < fastest)) fastest = latency;
  }
  // The scan starts at a random position, so that callers do not all choose the same one of several equal endpoints.
  const size_t first = random_.below(choices.size());
  for (size_t i = 0; i < choices.size(); ++i) {
    const auto* target = choices[(first + i) % choices.size()];
    double cost = std::max(options_.idleUtilization, utilization(*target));
    if (target->zone != ownZone) cost += options_.crossZonePenalty * (1 + bodyZonePenalties);
    const double latency = decayedLatencyUs(*target);
    const double slowness = latency > 0 ? std::min(options_.maxSlowness, latency / fastest - 1) : 0;
    cost += options_.slownessPenalty * slowness;
    if (states_[target->name].colocated) cost -= options_.colocationBonus;
    if (best != nullptr && cost >= lowest) continue;
    best = target;
    lowest = cost;
  }
  return best;
}

std::optional<base::Duration> EndpointPicker::refusedFor(const std::vector<EndpointTarget>& endpoints, int rank) const {
  const auto now = time_.now();
  std::optional<base::Duration> earliest;
  for (const auto& endpoint : endpoints) {
    const auto found = states_.find(endpoint.name);
    if (found == states_.end() || found->second.refusedUntil <= now || rank < found->second.refusedRank) continue;
    const auto left = found->second.refusedUntil - now;
    if (!earliest || left < *earliest) earliest = left;
  }
  return earliest;
}

void EndpointPicker::eject(const std::string& endpoint) {
  auto& state = states_[endpoint];
  state.ejectedUntil = time_.now() + options_.ejectFor;
  state.failures = 0;
}

void EndpointPicker::onRequestRefused(const std::string& endpoint, int rank, base::Duration backOff) {
  auto& state = states_[endpoint];
  const auto now = time_.now();
  state.refusedRank = state.refusedUntil > now ? std::min(state.refusedRank, rank) : rank;
  state.refusedUntil = std::max(state.refusedUntil, now + backOff);
}

void EndpointPicker::onLargeBodyRefused(const std::string& endpoint, base::Duration duration) {
  auto& state = states_[endpoint];
  state.bodiesRefusedUntil = std::max(state.bodiesRefusedUntil, time_.now() + duration);
}

void EndpointPicker::onLoadReport(const std::string& endpoint, int inFlight) {
  auto& state = states_[endpoint];
  state.othersInFlight = std::max(0, inFlight - state.inFlight);
  state.reportedAt = time_.now();
}

void EndpointPicker::onSent(const std::string& endpoint) { ++states_[endpoint].inFlight; }

void EndpointPicker::onAbandoned(const std::string& endpoint) {
  auto& state = states_[endpoint];
  state.inFlight = std::max(0, state.inFlight - 1);
}

void EndpointPicker::onDone(const std::string& endpoint, base::Duration latency, bool failed) {
  onAbandoned(endpoint);
  auto& state = states_[endpoint];
  const auto now = time_.now();
  if (failed) {
    if (++state.failures >= options_.ejectAfterFailures) eject(endpoint);
    return;
  }
  state.failures = 0;
  const auto latencyUs = static_cast<double>(latency.count());
  const bool known = state.latencyUs > 0 && now - state.latencyAt <= options_.probeAfter;
  // A slower answer gets twice the weight of a faster one, so that the average rises faster than it falls.
  const double weight = known && latencyUs > state.latencyUs ? 2 * kLatencySmoothing : kLatencySmoothing;
  state.latencyUs = known ? state.latencyUs * (1 - weight) + latencyUs * weight : latencyUs;
  state.latencyAt = now;
}

void EndpointPicker::setConnected(const std::string& endpoint, bool connected) {
  auto& state = states_[endpoint];
  if (connected && !state.connected) state.slowStartAt = time_.now();
  state.connected = connected;
}

void EndpointPicker::setAvailable(const std::string& endpoint, bool available) {
  auto& state = states_[endpoint];
  if (available && !state.available) state.slowStartAt = time_.now();
  state.available = available;
}

bool EndpointPicker::isHealthy(const std::string& endpoint) const {
  const auto found = states_.find(endpoint);
  return found != states_.end() && usable(found->second, time_.now());
}

int EndpointPicker::inFlight(const std::string& endpoint) const {
  const auto found = states_.find(endpoint);
  return found == states_.end() ? 0 : found->second.inFlight;
}

}  // namespace driftlug::routing
