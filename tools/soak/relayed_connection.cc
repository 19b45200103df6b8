#include "soak/relayed_connection.h"

#include <algorithm>

namespace driftlug::soak
{
namespace
{
/// Buffer of a throttled link, as in a router with a small buffer; further bytes stay with the sender.
constexpr size_t kThrottledBufferBytes = 16U << 10;

/// Unit of transmission of a throttled link: about one packet.
constexpr size_t kPieceBytes = 1460;

}  // namespace

relayed_connection::relayed_connection(fault_proxy& _owner, uint64_t _id, std::shared_ptr<transport::TcpStream> _client)
	: m_owner(_owner)
	, m_id(_id)
	, m_timer(_owner.m_loop,
			  [this]
			  {
				  pump();
			  })
{
	m_toServer.owner = this;
	m_toServer.toServer = true;
	m_toServer.from = std::move(_client);
	m_toServer.from->setHandler(&m_toServer);
	m_toClient.owner = this;
	m_toClient.from = transport::TcpStream::connect(_owner.m_loop, _owner.m_target, &m_toClient, {});
}

relayed_connection::~relayed_connection()
{
	m_toServer.from->close();
	m_toClient.from->close();
}

void relayed_connection::direction::onBytes(std::string_view _bytes)
{
	owner->enqueue(this, {{}, std::string(_bytes), false});
}

void relayed_connection::direction::onClosed(bool /*_orderly*/)
{
	owner->enqueue(this, {{}, {}, true});
}

void relayed_connection::enqueue(direction* _direction, chunk _chunk)
{
	if (m_muted)
	{
		return dropMuted(_direction, _chunk.end);
	}
	const auto delay = link_fault::delay == m_owner.m_fault ? m_owner.m_parameters.delay : base::Duration(0);
	_chunk.due = m_owner.m_loop.now() + delay;
	if (!_direction->queue.empty())
	{
		_chunk.due = std::max(_chunk.due, _direction->queue.back().due);
	}
	_direction->queuedBytes += _chunk.bytes.size();
	_direction->queue.push_back(std::move(_chunk));
	throttleSender(_direction);
	// Not called from a stream event: removing the connection destroys both streams.
	if (!m_timer.running())
	{
		m_timer.start(delay);
	}
}

void relayed_connection::mute()
{
	m_muted = true;
	m_timer.stop();
	for (auto* direction : {&m_toServer, &m_toClient})
	{
		direction->ended = !direction->queue.empty() && direction->queue.back().end;
		direction->queue.clear();
	}
}

void relayed_connection::dropMuted(direction* _direction, bool _end)
{
	_direction->ended = _direction->ended || _end;
	if (m_toServer.ended && m_toClient.ended)
	{
		m_owner.scheduleRemoval(m_id);
	}
}

bool relayed_connection::blocked(const direction& _direction) const
{
	const auto oneWay = _direction.toServer ? link_fault::silence_in : link_fault::silence_out;
	return m_muted || link_fault::silence == m_owner.m_fault || oneWay == m_owner.m_fault;
}

void relayed_connection::throttleSender(direction* _direction)
{
	const bool reading = 0 == m_owner.bytesPerSecond() || _direction->queuedBytes < kThrottledBufferBytes;
	if (reading != _direction->reading)
	{
		_direction->reading = reading;
		_direction->from->setReading(reading);
	}
}

size_t relayed_connection::nextPiece(direction* _direction)
{
	const auto waiting = _direction->queue.front().bytes.size();
	if (0 == m_owner.bytesPerSecond() || 0 == waiting)
	{
		_direction->pieceBytes = 0;
		return waiting;
	}
	if (0 == _direction->pieceBytes)
	{
		_direction->pieceBytes = std::min(waiting, kPieceBytes);
		_direction->pieceDue = m_owner.reserve(_direction->toServer, _direction->pieceBytes);
	}
	return std::min(waiting, _direction->pieceBytes);
}

base::TimePoint relayed_connection::nextDue(const direction& _direction) const
{
	if (_direction.queue.empty() || blocked(_direction))
	{
		return base::TimePoint::max();
	}
	const auto due = _direction.queue.front().due;
	return 0 == _direction.pieceBytes ? due : std::max(due, _direction.pieceDue);
}

bool relayed_connection::deliver(direction* _direction, transport::TcpStream* _to)
{
	const auto now = m_owner.m_loop.now();
	while (!_direction->queue.empty() && _direction->queue.front().due <= now && !blocked(*_direction))
	{
		auto& first = _direction->queue.front();
		if (first.end)
		{
			return false;
		}
		const auto bytes = nextPiece(_direction);
		if (0 != _direction->pieceBytes && _direction->pieceDue > now)
		{
			break;
		}
		_direction->pieceBytes = 0;
		_to->write(std::string_view(first.bytes).substr(0, bytes));
		_direction->queuedBytes -= bytes;
		first.bytes.erase(0, bytes);
		if (first.bytes.empty())
		{
			_direction->queue.pop_front();
		}
	}
	throttleSender(_direction);
	return true;
}

void relayed_connection::pump()
{
	if (m_muted)
	{
		return;
	}
	if (link_fault::reset == m_owner.m_fault || !deliver(&m_toServer, m_toClient.from.get())
		|| !deliver(&m_toClient, m_toServer.from.get()))
	{
		return m_owner.scheduleRemoval(m_id);
	}
	const auto next = std::min(nextDue(m_toServer), nextDue(m_toClient));
	if (base::TimePoint::max() != next)
	{
		m_timer.start(std::max<base::Duration>(base::Duration(1), next - m_owner.m_loop.now()));
	}
}

}  // namespace driftlug::soak
