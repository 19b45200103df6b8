#include "overload/body_flow_controller.h"

#include <algorithm>

namespace driftlug::overload
{
namespace
{
/// Initial estimate for a link of unknown bandwidth, in bytes per second: 1 Gbit/s, so that no call is refused before
/// the first measurement.
constexpr double kDefaultBytesPerSecond = 125e6;
/// Maximum share of a link used for bodies; the rest is left for responses, small calls and control messages.
constexpr double kBodyShare = 0.85;
/// Window of granted bytes in flight, as transfer time on the link: several inter-zone round trips of a few
/// milliseconds each, plus one event loop iteration on a node with a tenth of a core.
constexpr double kWindowSeconds = 0.03;
/// Size of one grant, as transfer time on the link; small messages can wait this long behind one piece of a body.
constexpr double kGrantSeconds = 0.01;
/// Smaller pieces cost more in frames and event loop iterations than they save in waiting time for other messages.
constexpr int64_t kMinGrantBytes = int64_t{8} << 10;
constexpr int64_t kMaxGrantBytes = int64_t{64} << 10;
constexpr int64_t kMaxWindowBytes = int64_t{512} << 10;
/// A sender that has not used its grant for this long is stalled, and its grant no longer counts against the window.
constexpr base::Duration kStalledAfter = base::milliseconds(250);
/// Minimum duration of one rate sample.
constexpr base::Duration kSampleSpan = base::milliseconds(100);
/// Weight of a sample in the moving average.
constexpr double kSampleWeight = 0.2;
/// Lower bound of the estimate as a share of the configured bandwidth, since a few stalled senders can make the
/// measured rate arbitrarily low.
constexpr double kMinRateShare = 0.1;

double secondsOf(base::Duration _duration)
{
	return std::chrono::duration<double>(_duration).count();
}

base::Duration durationOf(double _seconds)
{
	return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(_seconds));
}

}  // namespace

body_flow_controller::body_flow_controller(const body_flow_controller_options& _options)
	: m_options(_options)
	, m_bytesPerSecond(0 < _options.linkBytesPerSecond ? kBodyShare * static_cast<double>(_options.linkBytesPerSecond)
													   : kDefaultBytesPerSecond)
{
}

int64_t body_flow_controller::bytesPerSecond() const
{
	return static_cast<int64_t>(m_bytesPerSecond);
}

int64_t body_flow_controller::grantBytes() const
{
	return std::clamp(static_cast<int64_t>(m_bytesPerSecond * kGrantSeconds), kMinGrantBytes, kMaxGrantBytes);
}

int64_t body_flow_controller::windowBytes() const
{
	const auto window = static_cast<int64_t>(m_bytesPerSecond * kWindowSeconds);
	return std::clamp(window, 2 * grantBytes(), kMaxWindowBytes);
}

bool body_flow_controller::empty() const
{
	return m_bodies.empty();
}

int64_t body_flow_controller::missingBytes() const
{
	int64_t missing = 0;
	for (const auto& [body, state] : m_bodies)
	{
		missing += state.bytes - state.arrived;
	}
	return missing;
}

base::Duration body_flow_controller::expectedWait(int64_t _bytes, int _rank, base::TimePoint _deadline) const
{
	int64_t ahead = _bytes;
	for (const auto& [key, state] : m_order)
	{
		const bool goesFirst = key.rank < _rank || (key.rank == _rank && key.deadline <= _deadline);
		// Bytes that are already granted arrive first, regardless of the urgency of their body.
		ahead += goesFirst ? state->bytes - state->arrived : state->granted - state->arrived;
	}
	return durationOf(static_cast<double>(ahead) / m_bytesPerSecond);
}

void body_flow_controller::announce(const body_id& _body, int64_t _bytes, int _rank, base::TimePoint _deadline,
									base::TimePoint _now)
{
	if (m_bodies.empty())
	{
		m_sampleStartedAt = _now;
		m_sampleBytes = 0;
	}

	incoming& state = m_bodies[_body];
	state.bytes = _bytes;
	state.rank = _rank;
	state.deadline = _deadline;
	state.lastProgressAt = _now;
	m_order[{_rank, _deadline, _body}] = &state;
}

bool body_flow_controller::onBytes(const body_id& _body, int64_t _bytes, base::TimePoint _now)
{
	const auto found = m_bodies.find(_body);
	if (m_bodies.end() == found)
	{
		return false;
	}

	updateRateEstimate(_bytes, _now);
	incoming& state = found->second;
	state.arrived = std::min(state.bytes, state.arrived + _bytes);
	state.lastProgressAt = _now;
	const bool complete = state.arrived == state.bytes;
	if (complete)
	{
		removeBody(_body);
	}
	return complete;
}

void body_flow_controller::drop(const body_id& _body)
{
	removeBody(_body);
}

void body_flow_controller::removeBody(const body_id& _body)
{
	const auto found = m_bodies.find(_body);
	if (m_bodies.end() == found)
	{
		return;
	}

	m_order.erase({found->second.rank, found->second.deadline, _body});
	m_bodies.erase(found);
}

bool body_flow_controller::isStalled(const incoming& _body, base::TimePoint _now)
{
	return _body.granted > _body.arrived && _now - _body.lastProgressAt > kStalledAfter;
}

int64_t body_flow_controller::inFlightBytes(base::TimePoint _now) const
{
	int64_t bytes = 0;
	for (const auto& [body, state] : m_bodies)
	{
		bytes += isStalled(state, _now) ? 0 : state.granted - state.arrived;
	}
	return bytes;
}

std::vector<body_grant> body_flow_controller::grant(base::TimePoint _now)
{
	std::vector<body_grant> grants;
	int64_t availableBytes = windowBytes() - inFlightBytes(_now);
	for (auto& [key, state] : m_order)
	{
		while (0 < availableBytes && state->granted < state->bytes && !isStalled(*state, _now))
		{
			const int64_t more = std::min(grantBytes(), state->bytes - state->granted);
			state->granted += more;
			state->lastProgressAt = _now;
			availableBytes -= more;
			grants.push_back({key.body, state->granted});
		}
	}
	return grants;
}

std::vector<body_id> body_flow_controller::takeExpired(base::TimePoint _now)
{
	std::vector<body_id> expired;
	for (const auto& [key, state] : m_order)
	{
		const bool arriving = 0 < state->granted && !isStalled(*state, _now);
		if (key.deadline <= _now && !arriving)
		{
			expired.push_back(key.body);
		}
	}
	for (const auto& body : expired)
	{
		removeBody(body);
	}
	return expired;
}

void body_flow_controller::updateRateEstimate(int64_t _bytes, base::TimePoint _now)
{
	m_sampleBytes += _bytes;
	const base::Duration span = _now - m_sampleStartedAt;
	if (kSampleSpan > span)
	{
		return;
	}

	const double seen = static_cast<double>(m_sampleBytes) / secondsOf(span);
	// While fewer bytes are outstanding than the window allows, the senders are the bottleneck and the link may be
	// faster.
	const bool linkBound = missingBytes() > windowBytes();
	if (linkBound || seen > m_bytesPerSecond)
	{
		m_bytesPerSecond += kSampleWeight * (seen - m_bytesPerSecond);
	}
	if (0 < m_options.linkBytesPerSecond)
	{
		const auto link = static_cast<double>(m_options.linkBytesPerSecond);
		m_bytesPerSecond = std::clamp(m_bytesPerSecond, kMinRateShare * link, kBodyShare * link);
	}
	m_sampleStartedAt = _now;
	m_sampleBytes = 0;
}

}  // namespace driftlug::overload
