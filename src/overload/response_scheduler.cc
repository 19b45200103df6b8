#include "overload/response_scheduler.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace driftlug::overload
{
namespace
{
/// Assumed bandwidth of a link of unknown bandwidth, in bytes per second: 1 Gbit/s, so that no request is refused.
constexpr double kDefaultBytesPerSecond = 125e6;
/// Share of the link used for responses in pieces; the rest is left for headers of packets and for small messages.
constexpr double kLinkShare = 0.96;
/// Size of a piece as transfer time on the link.
constexpr double kPieceSeconds = 0.008;
/// Smaller pieces cost more in frames and event loop iterations than they save in waiting time for other messages.
constexpr int64_t kMinPieceBytes = int64_t{4} << 10;
constexpr int64_t kMaxPieceBytes = int64_t{64} << 10;
/// Transfer time of sent pieces above which no further piece is sent. With one more piece, a small message waits 20 ms
/// at most, and a timer that is late by some milliseconds leaves the link busy.
constexpr base::Duration kMaxBacklog = base::milliseconds(12);
/// Window of unacknowledged bytes, as transfer time on the link: the backlog, and some round trips between zones.
constexpr double kWindowSeconds = 0.03;
/// A socket without acknowledgements, or a response without credits, for this long is stalled: its bytes don't count
/// against the window, or the forecast. Longer than round trips and stalls of a node with a tenth of a core.
constexpr base::Duration kStalledAfter = base::milliseconds(250);
/// Interval at which sockets are checked that hold up pieces.
constexpr base::Duration kSocketCheckInterval = base::milliseconds(4);
/// As kSocketCheckInterval, if only stalled sockets are left.
constexpr base::Duration kStalledCheckInterval = base::milliseconds(50);
/// Time between two reports of a socket's contents after which it counts as making progress.
constexpr base::Duration kMaxUnobserved = base::milliseconds(120);
/// Error of a forecast, as a share of its span: run times and sizes of responses vary.
constexpr double kForecastMargin = 0.08;
/// Time before its last chance at which a late response is sent ahead of those in time; leaves room for a few tries,
/// since the others have slack only at times.
constexpr base::Duration kDeadlineLead = base::milliseconds(200);
/// A response that is late in any case is admitted if it waits for at most this multiple of its own transfer time.
constexpr int kLateTransfers = 1;

/// A response in the forecast.
struct job
{
	int rank = 0;
	base::TimePoint target{};
	base::TimePoint readyAt{};
	base::Duration left{0};
	base::TimePoint sentAt{};
	bool candidate = false;
};

bool goesFirst(const job& _left, const job& _right)
{
	return std::tie(_left.rank, _left.target) < std::tie(_right.rank, _right.target);
}

/// Sends the jobs on a link that is free from a time on, each as soon as it is ready and no job before it waits.
///
/// @param[in,out] _jobs Jobs in their order; their sentAt is set.
void simulate(std::vector<job>* _jobs, base::TimePoint _freeAt)
{
	base::TimePoint now = _freeAt;
	for (size_t left = _jobs->size(); 0 < left;)
	{
		job* next = nullptr;
		auto nextReadyAt = base::TimePoint::max();
		for (auto& item : *_jobs)
		{
			if (base::Duration(0) == item.left)
			{
				continue;
			}
			if (item.readyAt > now)
			{
				nextReadyAt = std::min(nextReadyAt, item.readyAt);
			}
			else
			{
				next = &item;
				break;
			}
		}
		if (nullptr == next)
		{
			now = nextReadyAt;
			continue;
		}
		// A job before it may become ready meanwhile.
		const auto span = std::min<base::Duration>(next->left, nextReadyAt - now);
		now += span;
		next->left -= span;
		if (base::Duration(0) == next->left)
		{
			next->sentAt = now;
			--left;
		}
	}
}

}  // namespace

response_scheduler::response_scheduler(const response_scheduler_options& _options)
	: m_options(_options)
	, m_bytesPerSecond(0 < _options.linkBytesPerSecond ? kLinkShare * static_cast<double>(_options.linkBytesPerSecond)
													   : kDefaultBytesPerSecond)
{
}

int64_t response_scheduler::pieceBytes() const
{
	return std::clamp(static_cast<int64_t>(m_bytesPerSecond * kPieceSeconds), kMinPieceBytes, kMaxPieceBytes);
}

int64_t response_scheduler::windowBytes() const
{
	return std::max(static_cast<int64_t>(m_bytesPerSecond * kWindowSeconds), 2 * pieceBytes());
}

base::Duration response_scheduler::transferTime(int64_t _bytes) const
{
	// At least one microsecond, so that each job of a forecast takes time.
	return base::microsecondsOf(static_cast<double>(_bytes) / m_bytesPerSecond * 1e6) + base::Duration(1);
}

base::TimePoint response_scheduler::linkFreeAt(base::TimePoint _now) const
{
	return std::max(m_linkFreeAt, _now);
}

void response_scheduler::add(const body_id& _response, int64_t _bytes, int _rank, base::TimePoint _target,
							 base::TimePoint _deadline, base::TimePoint _now)
{
	drop(_response);
	m_responses[_response] = {_response, _bytes, 0, 0, _rank, _target, _deadline, _now};
	m_queuedBytes += _bytes;
	m_sockets.try_emplace(_response.connection, socket_state{0, _now, _now});
}

bool response_scheduler::credit(const body_id& _response, int64_t _upToBytes, base::TimePoint _now)
{
	const auto found = m_responses.find(_response);
	if (m_responses.end() == found)
	{
		return false;
	}

	queued& state = found->second;
	if (_upToBytes > state.credited)
	{
		state.credited = std::min(_upToBytes, state.bytes);
		state.lastProgressAt = _now;
	}
	return true;
}

bool response_scheduler::drop(const body_id& _response)
{
	const auto found = m_responses.find(_response);
	if (m_responses.end() == found)
	{
		return false;
	}

	m_queuedBytes -= found->second.bytes - found->second.sent;
	m_responses.erase(found);
	return true;
}

std::vector<body_id> response_scheduler::dropConnection(uint64_t _connection)
{
	std::vector<body_id> dropped;
	for (auto item = m_responses.lower_bound({_connection, std::numeric_limits<int64_t>::min()});
		 m_responses.end() != item && item->first.connection == _connection; ++item)
	{
		dropped.push_back(item->first);
	}
	for (const auto& response : dropped)
	{
		drop(response);
	}
	m_sockets.erase(_connection);
	return dropped;
}

std::vector<uint64_t> response_scheduler::connections() const
{
	std::vector<uint64_t> connections;
	for (const auto& [connection, socket] : m_sockets)
	{
		connections.push_back(connection);
	}
	return connections;
}

void response_scheduler::onSocketBytes(uint64_t _connection, int64_t _bytes, base::TimePoint _now)
{
	const auto found = m_sockets.find(_connection);
	if (m_sockets.end() == found)
	{
		return;
	}

	socket_state& socket = found->second;
	// Without recent reports, nothing is known of acknowledgements: other messages may fill the socket again.
	const bool unobserved = _now - socket.checkedAt > kMaxUnobserved;
	if (0 == _bytes || _bytes < socket.bytes || unobserved)
	{
		socket.lastProgressAt = _now;
	}
	socket.bytes = _bytes;
	socket.checkedAt = _now;
	const auto first = m_responses.lower_bound({_connection, std::numeric_limits<int64_t>::min()});
	const bool hasResponses = m_responses.end() != first && first->first.connection == _connection;
	if (0 == _bytes && !hasResponses)
	{
		m_sockets.erase(found);
	}
}

bool response_scheduler::isStuck(const socket_state& _socket, base::TimePoint _now) const
{
	return 0 < _socket.bytes && _now - _socket.lastProgressAt > kStalledAfter;
}

bool response_scheduler::maySend(const queued& _response, base::TimePoint _now) const
{
	const auto socket = m_sockets.find(_response.id.connection);
	const bool stuck = m_sockets.end() != socket && isStuck(socket->second, _now);
	return _response.sent < _response.credited && !stuck;
}

bool response_scheduler::isStalled(const queued& _response, base::TimePoint _now) const
{
	return !maySend(_response, _now) && _now - _response.lastProgressAt > kStalledAfter;
}

int64_t response_scheduler::inFlightBytes(base::TimePoint _now) const
{
	int64_t bytes = 0;
	for (const auto& [connection, socket] : m_sockets)
	{
		bytes += isStuck(socket, _now) ? 0 : socket.bytes;
	}
	return bytes;
}

const response_scheduler::queued* response_scheduler::nextToSend(base::TimePoint _now) const
{
	std::vector<const queued*> ordered;
	for (const auto& [id, state] : m_responses)
	{
		if (maySend(state, _now))
		{
			ordered.push_back(&state);
		}
	}
	std::sort(ordered.begin(), ordered.end(),
			  [](const queued* _left, const queued* _right)
			  {
				  return std::tie(_left->rank, _left->target, _left->id)
						 < std::tie(_right->rank, _right->target, _right->id);
			  });
	const auto leftBytes = [](const queued* _response)
	{
		return _response->bytes - _response->sent;
	};
	std::vector<const queued*> inTime;
	std::vector<const queued*> late;
	auto sentAt = linkFreeAt(_now);
	for (const queued* response : ordered)
	{
		inTime.push_back(response);
		sentAt += transferTime(leftBytes(response));
		if (sentAt <= response->target)
		{
			continue;
		}
		// The largest one of this urgency is late: that keeps most others in time.
		auto largest = std::prev(inTime.end());
		for (auto item = inTime.begin(); inTime.end() != item; ++item)
		{
			const bool sameRank = (*item)->rank == response->rank;
			largest = sameRank && leftBytes(*item) > leftBytes(*largest) ? item : largest;
		}
		sentAt -= transferTime(leftBytes(*largest));
		late.push_back(*largest);
		inTime.erase(largest);
	}
	if (inTime.empty())
	{
		return ordered.empty() ? nullptr : ordered.front();
	}
	// The longest delay of all in-time responses that leaves them in time.
	auto slack = base::Duration::max();
	auto inTimeSentAt = linkFreeAt(_now);
	for (const queued* response : inTime)
	{
		inTimeSentAt += transferTime(leftBytes(response));
		slack = std::min<base::Duration>(slack, response->target - inTimeSentAt);
	}
	for (const queued* response : late)
	{
		const auto transfer = transferTime(leftBytes(response));
		const bool wouldMiss = inTimeSentAt + transfer + kDeadlineLead > response->deadline;
		const bool canMeet = linkFreeAt(_now) + transfer <= response->deadline;
		if (wouldMiss && canMeet && transfer <= slack)
		{
			return response;
		}
	}
	return inTime.front();
}

std::optional<response_piece> response_scheduler::nextPiece(base::TimePoint _now)
{
	if (m_linkFreeAt - _now > kMaxBacklog || inFlightBytes(_now) >= windowBytes())
	{
		return std::nullopt;
	}
	const queued* next = nextToSend(_now);
	if (nullptr == next)
	{
		return std::nullopt;
	}

	queued& state = m_responses.at(next->id);
	response_piece piece;
	piece.response = state.id;
	piece.offset = state.sent;
	piece.bytes = std::min(pieceBytes(), state.credited - state.sent);
	state.sent += piece.bytes;
	state.lastProgressAt = _now;
	piece.last = state.sent == state.bytes;
	m_queuedBytes -= piece.bytes;
	m_linkFreeAt = linkFreeAt(_now) + transferTime(piece.bytes);
	socket_state& socket = m_sockets[piece.response.connection];
	if (0 == socket.bytes)
	{
		socket.lastProgressAt = _now;
	}
	socket.bytes += piece.bytes;
	if (piece.last)
	{
		drop(piece.response);
	}
	return piece;
}

std::optional<base::Duration> response_scheduler::nextPieceIn(base::TimePoint _now) const
{
	bool credited = false;
	bool sendable = false;
	for (const auto& [id, state] : m_responses)
	{
		credited = credited || state.sent < state.credited;
		sendable = sendable || maySend(state, _now);
	}
	if (!credited)
	{
		return std::nullopt;
	}
	if (!sendable)
	{
		return kStalledCheckInterval;
	}
	const base::Duration paced = m_linkFreeAt - kMaxBacklog - _now;
	const base::Duration sockets = inFlightBytes(_now) >= windowBytes() ? kSocketCheckInterval : base::Duration(0);
	return std::max({paced, sockets, base::Duration(0)});
}

response_forecast response_scheduler::forecast(const expected_response& _response,
											   const std::vector<expected_response>& _expected,
											   base::TimePoint _now) const
{
	std::vector<job> jobs;
	int64_t bytes = _response.bytes;
	const auto add = [&](int64_t _bytes, int _rank, base::TimePoint _target, base::TimePoint _readyAt)
	{
		const auto transfer = transferTime(_bytes);
		// Late responses are sent last, but they have to be sent as well: admission leaves the capacity for them.
		const bool late = _readyAt + transfer > _target;
		const int rank = late ? std::numeric_limits<int>::min() : _rank;
		jobs.push_back({rank, late ? base::TimePoint::max() : _target, _readyAt, transfer, {}, false});
		bytes += _bytes;
	};
	for (const auto& [id, state] : m_responses)
	{
		if (!isStalled(state, _now))
		{
			add(state.bytes - state.sent, state.rank, state.target, _now);
		}
	}
	for (const auto& expected : _expected)
	{
		add(expected.bytes, expected.rank, expected.target, std::max(expected.readyAt, _now));
	}
	const auto transfer = transferTime(_response.bytes);
	const auto readyAt = std::max(_response.readyAt, _now);
	std::sort(jobs.begin(), jobs.end(), goesFirst);
	std::vector<job> with = jobs;
	const bool alwaysLate = readyAt + transfer > _response.target;
	const int rank = alwaysLate ? std::numeric_limits<int>::max() : _response.rank;
	const job candidate{rank, _response.target, readyAt, transfer, {}, true};
	with.insert(std::upper_bound(with.begin(), with.end(), candidate, goesFirst), candidate);
	simulate(&with, linkFreeAt(_now));
	simulate(&jobs, linkFreeAt(_now));

	const auto isInTime = [_now](const job& _job)
	{
		const auto span = static_cast<double>((_job.sentAt - _now).count());
		return _job.sentAt + base::microsecondsOf(kForecastMargin * span) <= _job.target;
	};
	response_forecast result;
	bool inTime = false;
	bool displaces = false;
	auto before = jobs.begin();
	for (const job& item : with)
	{
		if (item.candidate)
		{
			result.sentAt = item.sentAt;
			inTime = isInTime(item);
			continue;
		}
		displaces = displaces || (item.rank <= _response.rank && isInTime(*before) && !isInTime(item));
		++before;
	}
	const bool idle = result.sentAt <= readyAt + (1 + kLateTransfers) * transfer;
	result.admitted = (alwaysLate ? idle : inTime) && !displaces && bytes <= m_options.maxQueuedBytes;
	result.capacityAt = std::max(_now, result.sentAt - transfer - (readyAt - _now));
	return result;
}

}  // namespace driftlug::overload
