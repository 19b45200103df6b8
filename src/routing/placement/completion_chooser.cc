#include "routing/placement/completion_chooser.h"

#include <algorithm>
#include <cmath>

namespace driftlug::routing
{
namespace
{
/// Endpoints, and kinds per endpoint, of which state is kept. A node has links to 16 endpoints of a service, and a
/// service has a few kinds; more are a fault elsewhere and must not cost memory.
constexpr size_t kMaxEndpoints = 1024;
constexpr size_t kMaxKinds = 16;
/// Age at which a reported load counts as unknown: beyond it the endpoint may be cut off.
constexpr base::Duration kLoadLifetime = base::seconds(3);
/// Time in which a reported pace returns to the service's mean, slowly at first: back ends that share their machine are
/// slow for some 0.6 s at a time. A pace trusted for too long costs little, as others serve the requests meanwhile;
/// falling evenly over 0.6 s, an endpoint that stays slow got 0.46 of its share of requests, against 0.17 so.
constexpr double kPaceSpanMs = 1000;
/// Half-life of the evidence that an endpoint refuses, so that one that has recovered gets requests within a second.
constexpr double kRefusalHalfLifeMs = 500;
constexpr double kRefusalWeight = 0.4;   // of one more result in the refused share
constexpr double kLearningWeight = 0.2;  // of a new latency or error in its moving average
/// Half-life of a latency that this node has observed, for endpoints without a current load: after some seconds, such
/// an endpoint counts as idle again, so that it gets a request and with it reports its load.
constexpr double kLatencyHalfLifeMs = 3000;
/// Multiple of the expected completion after which an attempt without a response counts against its endpoint. Below it
/// are nearly all responses of endpoints that work, as run times of a kind differ by half of their mean.
constexpr double kOverdueFactor = 3;
/// Network delay to another zone where none was measured yet.
constexpr double kDefaultZoneDelayMs = 2;
/// Weight of the wait. A request in a queue delays all that come after it until the queue is empty. If it counts only
/// its own wait, fast endpoints have long queues before slow ones get any request, and all are late: with weights of
/// 1, 4, 8 and 16, 0.62, 0.81, 0.87 and 0.85 of lookups are in time in a burst, and 0.89, then 0.94 at a utilization of
/// 0.85.
constexpr double kWaitWeight = 8;
/// Run times after which a reported number of requests has mostly become the usual one. It is more than one, because
/// what is in the queue stays longer: with one, 0.83 instead of 0.87 of lookups are in time in a burst.
constexpr double kTurnoverRuns = 2;
/// The run time counts fully if the fastest endpoint needs 1 / kRelaxedShare of the time to the target latency or more,
/// and less in proportion below: where the target is far away, fast endpoints stay free for other requests.
constexpr double kRelaxedShare = 2;
/// Cost of a request to another zone, beyond the delay: a wait of 10 ms, about the difference of the waits expected at
/// equal endpoints. At a utilization of 0.65, 4 in 1,000 requests leave their zone; with a third of it, 76.
constexpr double kZoneMarginMs = 10 * kWaitWeight;
/// Cost of a KiB between zones. With it, requests and responses of 60 KiB reach the bound below.
constexpr double kZoneMsPerKib = 20;
/// Upper bound of that cost as a share of the target latency: what is sure to be late in its zone leaves it.
constexpr double kMaxZoneBytesShare = 0.75;
/// Response size from which on the transfer is learned apart from the run: 16 KiB take over 10 ms at 12 Mbit/s, and
/// more while other responses are queued for the same link. For smaller ones, the noise of run times is larger.
constexpr double kLargeResponseBytes = 16384;
/// Run time assumed while nothing is known of a kind at any endpoint; equal for all, so it does not affect the choice.
constexpr double kDefaultRunMs = 100;
constexpr int kMaxCount = 1 << 20;     // upper bound of plausible counts and percentages
constexpr int kMaxLoadMs = 3'600'000;  // upper bound of plausible times

double msBetween(base::TimePoint _from, base::TimePoint _to)
{
	return std::chrono::duration<double, std::milli>(_to - _from).count();
}

bool isPlausible(const wire::EndpointLoad& _load)
{
	const auto isCount = [](int _value)
	{
		return 0 <= _value && kMaxCount >= _value;
	};
	const auto isTime = [](int _value)
	{
		return 0 <= _value && kMaxLoadMs >= _value;
	};
	return isCount(_load.running) && isCount(_load.waiting) && 0 < _load.slots && isCount(_load.slots)
		   && 0 < _load.pacePercent && isCount(_load.pacePercent) && isTime(_load.waitMs) && isTime(_load.runMs)
		   && isTime(_load.ageMs);
}

double probabilityBelow(double _z)
{
	return 0.5 * std::erfc(-_z / std::sqrt(2.0));
}

/// @returns The mean of the positive part of a normally distributed value.
double meanExcess(double _mean, double _deviation)
{
	if (0 >= _deviation)
	{
		return std::max(0.0, _mean);
	}
	constexpr double kDensityAtZero = 0.3989422804014327;
	const double z = _mean / _deviation;
	return _mean * probabilityBelow(z) + _deviation * kDensityAtZero * std::exp(-z * z / 2);
}

void learn(double* _average, double _value)
{
	*_average = 0 < *_average ? *_average + kLearningWeight * (_value - *_average) : _value;
}

/// @returns The entry, added if there are fewer than the bound; null otherwise.
template <typename Map>
typename Map::mapped_type* findOrAdd(Map* _map, const typename Map::key_type& _key, size_t _bound)
{
	const auto found = _map->find(_key);
	if (_map->end() != found)
	{
		return &found->second;
	}
	return _map->size() < _bound ? &(*_map)[_key] : nullptr;
}

}  // namespace

completion_chooser::completion_chooser(endpoint_chooser& _fallback, const base::TimeSource& _time,
									   base::RandomSource _random)
	: m_fallback(_fallback)
	, m_time(_time)
	, m_random(_random)
{
}

const completion_chooser::endpoint_state* completion_chooser::stateOf(const std::string& _endpoint) const
{
	const auto found = m_endpoints.find(_endpoint);
	return m_endpoints.end() == found ? nullptr : &found->second;
}

completion_chooser::kind_state* completion_chooser::kindOf(const kind_key& _kind)
{
	return findOrAdd(&m_kinds, _kind, kMaxEndpoints);
}

bool completion_chooser::isCurrent(const endpoint_state& _state) const
{
	return _state.hasLoad && m_time.now() - _state.loadAt <= kLoadLifetime;
}

void completion_chooser::onSent(int64_t _attempt, const std::string& _endpoint, const std::string& _service,
								const overload::call_kind& _kind)
{
	endpoint_state* state = findOrAdd(&m_endpoints, _endpoint, kMaxEndpoints);
	if (nullptr == state)
	{
		return;
	}
	attempt_state attempt{_endpoint, {_service, _kind}, m_time.now(), 0};
	if (!m_lastCosts.empty() && m_lastCosts[m_lastChoice].endpoint == _endpoint)
	{
		const candidate_cost& chosen = m_lastCosts[m_lastChoice];
		attempt.expectedMs = chosen.waitMs + chosen.runMs + chosen.networkMs;
		++m_counters.byCompletion;
		m_counters.leftZone += m_lastLeftZone ? 1 : 0;
	}
	m_lastCosts.clear();
	state->outstanding.emplace(_attempt, attempt.sentAt);
	m_attempts.emplace(_attempt, std::move(attempt));
}

void completion_chooser::onAccepted(int64_t _attempt, const std::optional<wire::EndpointLoad>& _load)
{
	const auto found = m_attempts.find(_attempt);
	if (m_attempts.end() == found)
	{
		return;
	}
	const auto known = m_endpoints.find(found->second.endpoint);
	if (m_endpoints.end() == known)
	{
		return;
	}
	learn(&known->second.roundTripMs, msBetween(found->second.sentAt, m_time.now()));
	if (_load)
	{
		// Messages of a connection keep their order: the endpoint had all attempts up to this one, and no later one.
		onLoad(&known->second, found->second.kind, found->second.sentAt, *_load);
	}
}

void completion_chooser::onEnded(int64_t _attempt, attempt_end _end, const std::optional<wire::EndpointLoad>& _load,
								 size_t _bodyBytes)
{
	const auto found = m_attempts.find(_attempt);
	if (m_attempts.end() == found)
	{
		return;
	}
	const attempt_state attempt = std::move(found->second);
	m_attempts.erase(found);
	const auto known = m_endpoints.find(attempt.endpoint);
	if (m_endpoints.end() == known)
	{
		return;
	}
	endpoint_state& state = known->second;
	state.outstanding.erase(_attempt);
	const auto now = m_time.now();
	if (attempt_end::abandoned != _end)
	{
		const double remembered = std::exp2(-msBetween(state.refusedAt, now) / kRefusalHalfLifeMs);
		const double refused = attempt_end::refused == _end ? 1 : 0;
		state.refusedShare = state.refusedShare * remembered * (1 - kRefusalWeight) + refused * kRefusalWeight;
		state.refusedAt = now;
	}
	if (attempt_end::completed == _end)
	{
		const double latency = msBetween(attempt.sentAt, now);
		kind_state* kind = kindOf(attempt.kind);
		if (nullptr != kind && 0 < attempt.expectedMs)
		{
			// An error beyond three times the expectation is a failure rather than the spread of run times.
			const double error = std::clamp((latency - attempt.expectedMs) / attempt.expectedMs, -3.0, 3.0);
			kind->squaredError += kLearningWeight / 4 * (error * error - kind->squaredError);
		}
		if (nullptr != kind)
		{
			kind->responseBytes += kLearningWeight * (static_cast<double>(_bodyBytes) - kind->responseBytes);
		}
		kind_at_endpoint* own = findOrAdd(&state.kinds, attempt.kind, kMaxKinds);
		if (nullptr != own)
		{
			learn(&own->latencyMs, latency);
			if (kLargeResponseBytes <= static_cast<double>(_bodyBytes) && 0 < attempt.expectedMs)
			{
				own->transferMs = std::max(0.0, own->transferMs + kLearningWeight * (latency - attempt.expectedMs));
			}
			own->at = now;
		}
	}
	if (_load)
	{
		// What was sent within a round trip may have arrived after the response was sent.
		onLoad(&state, attempt.kind, now - base::Duration(static_cast<int64_t>(state.roundTripMs * 1000)), *_load);
	}
}

void completion_chooser::onLoad(endpoint_state* _state, const kind_key& _kind, base::TimePoint _countedUpTo,
								const wire::EndpointLoad& _load)
{
	if (!isPlausible(_load))
	{
		++m_counters.unreadableLoads;
		return;
	}
	_state->running = _load.running;
	_state->waiting = _load.waiting;
	_state->slots = _load.slots;
	_state->pace = _load.pacePercent / 100.0;
	_state->loadAt = m_time.now() - base::milliseconds(_load.ageMs);
	_state->hasLoad = true;
	const auto own = std::count_if(_state->outstanding.begin(), _state->outstanding.end(),
								   [&](const auto& _sent)
								   {
									   return _sent.second <= _countedUpTo;
								   });
	_state->others = std::max(0.0, static_cast<double>(_load.running + _load.waiting) - static_cast<double>(own));
	_state->usualOthersPerSlot += kLearningWeight / 2 * (_state->others / _state->slots - _state->usualOthersPerSlot);
	kind_at_endpoint* kind = findOrAdd(&_state->kinds, _kind, kMaxKinds);
	if (nullptr == kind || 0 == _load.runMs)
	{
		return;
	}
	kind->runMs = _load.runMs / _state->pace;
	kind_state* queue = kindOf(_kind);
	if (nullptr != queue && 0 < _load.waiting && _state->running >= _state->slots)
	{
		const double whole = (_load.waiting + 1) * static_cast<double>(_load.runMs) / _load.slots;
		queue->queueShare += kLearningWeight * (std::min(2.0, _load.waitMs / whole) - queue->queueShare);
	}
}

completion_chooser::service_means completion_chooser::meansOf(const std::vector<const EndpointTarget*>& _usable,
															  const kind_key& _kind)
{
	service_means means;
	double pace = 0;
	double run = 0;
	int withRun = 0;
	for (const EndpointTarget* target : _usable)
	{
		const endpoint_state* state = stateOf(target->name);
		if (nullptr == state || !isCurrent(*state))
		{
			continue;
		}
		++means.reporting;
		means.othersPerSlot[target->zone].add(state->others / state->slots);
		pace += state->pace;
		const auto kind = state->kinds.find(_kind);
		if (state->kinds.end() != kind && 0 < kind->second.runMs)
		{
			run += kind->second.runMs;
			++withRun;
		}
	}
	if (0 < means.reporting)
	{
		means.pace = pace / means.reporting;
	}
	means.runMs = 0 < withRun ? run / withRun : kDefaultRunMs;
	return means;
}

void completion_chooser::addReportedCost(candidate_cost* _cost, const endpoint_state& _state, const kind_key& _kind,
										 const service_means& _means)
{
	const double age = std::max(0.0, msBetween(_state.loadAt, m_time.now()));
	const auto kind = _state.kinds.find(_kind);
	const double usualRun = _state.kinds.end() != kind && 0 < kind->second.runMs ? kind->second.runMs : _means.runMs;
	const double stillAtPace = std::max(0.0, 1 - age * age / (kPaceSpanMs * kPaceSpanMs));
	_cost->runMs = usualRun * (_means.pace + (_state.pace - _means.pace) * stillAtPace);

	// Requests of others that were there have mostly ended after a run time, and others have come, about as many as
	// elsewhere.
	const double stillThere = std::exp(-age / (kTurnoverRuns * _cost->runMs));
	const double ofZone = _means.othersPerSlot.at(_cost->zone).mean();
	const double typical = (ofZone + _state.usualOthersPerSlot) / 2 * _state.slots;
	const double others = typical + (_state.others - typical) * stillThere;
	const double requests = others + static_cast<double>(_state.outstanding.size());
	const double deviation = std::sqrt(std::max(0.0, others) * (1 - stillThere * stillThere));
	const auto known = m_kinds.find(_kind);
	const double queueShare = m_kinds.end() == known ? 1 : known->second.queueShare;
	_cost->waitMs = meanExcess(requests + 1 - _state.slots, deviation) * _cost->runMs / _state.slots * queueShare;
	if (_state.kinds.end() != kind)
	{
		const double remembered = std::exp2(-msBetween(kind->second.at, m_time.now()) / kLatencyHalfLifeMs);
		_cost->networkMs += kind->second.transferMs * remembered;
	}
	_cost->reported = true;
}

void completion_chooser::addLearnedCost(candidate_cost* _cost, const endpoint_state& _state, const kind_key& _kind,
										const service_means& _means)
{
	const auto kind = _state.kinds.find(_kind);
	_cost->runMs = _means.runMs * _means.pace;
	if (_state.kinds.end() != kind && 0 < kind->second.latencyMs)
	{
		const double remembered = std::exp2(-msBetween(kind->second.at, m_time.now()) / kLatencyHalfLifeMs);
		_cost->runMs += (kind->second.latencyMs - _cost->runMs) * remembered;
	}
}

double completion_chooser::penaltyMs(const candidate_cost& _cost, const endpoint_state& _state,
									 const choice_request& _request, const kind_state& _kind)
{
	const auto now = m_time.now();
	const double completion = _cost.waitMs + _cost.runMs + _cost.networkMs;
	const double target = _request.kind.targetLatencyMs;
	double penalty = target * _cost.lateShare;
	const double refused = _state.refusedShare * std::exp2(-msBetween(_state.refusedAt, now) / kRefusalHalfLifeMs);
	penalty += refused * std::max(target, completion);
	if (!_state.outstanding.empty())
	{
		// Attempts without a response for far longer than expected show that the endpoint is slow or cut off.
		const double oldest = msBetween(_state.outstanding.begin()->second, now);
		penalty += kWaitWeight * std::max(0.0, oldest - kOverdueFactor * completion);
	}
	if (_cost.zone != _request.zone)
	{
		const double bytes = static_cast<double>(_request.bodyBytes) + _kind.responseBytes;
		const double bytesMs = bytes / 1024 * kZoneMsPerKib;
		penalty += kZoneMarginMs + (0 < target ? std::min(bytesMs, kMaxZoneBytesShare * target) : bytesMs);
	}
	return penalty;
}

const EndpointTarget* completion_chooser::choose(const std::vector<const EndpointTarget*>& _usable,
												 const choice_request& _request)
{
	m_lastCosts.clear();
	const kind_key key{_request.service, _request.kind};
	service_means means = meansOf(_usable, key);
	if (0 == means.reporting)
	{
		return m_fallback.choose(_usable, _request);
	}

	static const endpoint_state kUnknown;
	std::vector<const endpoint_state*> states;
	for (const EndpointTarget* target : _usable)
	{
		const endpoint_state* state = stateOf(target->name);
		states.push_back(nullptr == state ? &kUnknown : state);
		candidate_cost cost;
		cost.endpoint = target->name;
		cost.zone = target->zone;
		const bool isOtherZone = target->zone != _request.zone;
		const double measured = states.back()->roundTripMs;
		cost.networkMs = 0 < measured ? measured : isOtherZone ? 2 * kDefaultZoneDelayMs : 0;
		if (isCurrent(*states.back()))
		{
			addReportedCost(&cost, *states.back(), key, means);
		}
		m_lastCosts.push_back(cost);
	}

	const auto known = m_kinds.find(key);
	const kind_state kind = m_kinds.end() == known ? kind_state{} : known->second;
	const double left = msBetween(base::TimePoint{}, base::TimePoint{} + _request.leftToTarget);
	double fastest = 0;
	for (size_t i = 0; i < m_lastCosts.size(); ++i)
	{
		candidate_cost& cost = m_lastCosts[i];
		if (!cost.reported)
		{
			addLearnedCost(&cost, *states[i], key, means);
		}
		const double completion = cost.waitMs + cost.runMs + cost.networkMs;
		fastest = 0 == i ? completion : std::min(fastest, completion);
		const double deviation = std::max(1.0, completion * std::sqrt(kind.squaredError));
		cost.lateShare = 0 < left ? probabilityBelow((completion - left) / deviation) : 0;
	}

	const double urgency = 0 < left ? std::min(1.0, kRelaxedShare * fastest / left) : 1;
	for (size_t i = 0; i < m_lastCosts.size(); ++i)
	{
		candidate_cost& cost = m_lastCosts[i];
		cost.cost = kWaitWeight * cost.waitMs + cost.networkMs + urgency * cost.runMs
					+ penaltyMs(cost, *states[i], _request, kind);
	}

	// The scan starts at a random position, so that nodes with equal figures do not all choose the same endpoint.
	const size_t first = m_random.below(m_lastCosts.size());
	m_lastChoice = first;
	bool ownZone = false;
	for (size_t i = 0; i < m_lastCosts.size(); ++i)
	{
		const size_t at = (first + i) % m_lastCosts.size();
		ownZone = ownZone || m_lastCosts[at].zone == _request.zone;
		if (m_lastCosts[at].cost < m_lastCosts[m_lastChoice].cost)
		{
			m_lastChoice = at;
		}
	}
	const EndpointTarget* chosen = _usable[m_lastChoice];
	m_lastLeftZone = ownZone && chosen->zone != _request.zone;
	return chosen;
}

}  // namespace driftlug::routing
