#include "soak/relayed_connection.h"

#include <algorithm>

namespace driftlug::soak
{
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
	owner->hold(this, {{}, std::string(_bytes), false});
}

void relayed_connection::direction::onClosed(bool /*_orderly*/)
{
	owner->hold(this, {{}, {}, true});
}

void relayed_connection::hold(direction* _direction, chunk _chunk)
{
	const auto delay = link_fault::delay == m_owner.m_fault ? m_owner.m_delay : base::Duration(0);
	_chunk.due = m_owner.m_loop.now() + delay;
	if (!_direction->held.empty())
	{
		_chunk.due = std::max(_chunk.due, _direction->held.back().due);
	}
	_direction->held.push_back(std::move(_chunk));
	// Not from within an event of a stream: the end of a connection destroys both.
	if (!m_timer.running())
	{
		m_timer.start(delay);
	}
}

bool relayed_connection::blocked(const direction& _direction) const
{
	const auto oneWay = _direction.toServer ? link_fault::silence_in : link_fault::silence_out;
	return link_fault::silence == m_owner.m_fault || oneWay == m_owner.m_fault;
}

bool relayed_connection::deliver(direction* _direction, transport::TcpStream* _to)
{
	const auto now = m_owner.m_loop.now();
	while (!_direction->held.empty() && _direction->held.front().due <= now && !blocked(*_direction))
	{
		const auto first = std::move(_direction->held.front());
		_direction->held.pop_front();
		if (first.end)
		{
			return false;
		}
		_to->write(first.bytes);
	}
	return true;
}

void relayed_connection::pump()
{
	if (link_fault::reset == m_owner.m_fault || !deliver(&m_toServer, m_toClient.from.get())
		|| !deliver(&m_toClient, m_toServer.from.get()))
	{
		return m_owner.forget(m_id);
	}
	base::TimePoint next = base::TimePoint::max();
	for (const auto* direction : {&m_toServer, &m_toClient})
	{
		if (!direction->held.empty() && !blocked(*direction))
		{
			next = std::min(next, direction->held.front().due);
		}
	}
	if (base::TimePoint::max() != next)
	{
		m_timer.start(std::max<base::Duration>(base::Duration(1), next - m_owner.m_loop.now()));
	}
}

}  // namespace driftlug::soak
