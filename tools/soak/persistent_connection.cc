#include "soak/persistent_connection.h"

namespace driftlug::soak
{
namespace
{
/// Delay before reconnecting: a server takes about that long to start.
constexpr base::Duration kReconnectDelay = base::milliseconds(50);

/// Time limit for a response: twice the timeout of the slowest route, with margin for a busy machine.
constexpr base::Duration kAnswerTimeout = base::seconds(8);

}  // namespace

persistent_connection::persistent_connection(transport::EventLoop& _loop, const base::Address& _target,
											 const traffic& _traffic, base::RandomSource _random, request_factory _make,
											 request_observer& _observer)
	: m_loop(_loop)
	, m_target(_target)
	, m_traffic(_traffic)
	, m_random(_random)
	, m_makeRequest(std::move(_make))
	, m_observer(_observer)
	, m_nextTimer(_loop,
				  [this]
				  {
					  if (nullptr == m_stream)
					  {
						  open();
					  }
					  else
					  {
						  send();
					  }
				  })
	, m_answerTimer(_loop,
					[this]
					{
						onAnswerTimeout();
					})
{
}

persistent_connection::~persistent_connection()
{
	if (nullptr != m_stream)
	{
		m_stream->close();
	}
}

void persistent_connection::start()
{
	open();
}

void persistent_connection::finish()
{
	m_finishing = true;
}

size_t persistent_connection::outstanding() const
{
	return m_outstanding.size();
}

base::Duration persistent_connection::drawPause()
{
	return m_random.duration(m_traffic.maxPause) + base::Duration(1);
}

void persistent_connection::open()
{
	if (m_finishing)
	{
		return;
	}
	m_connected = false;
	m_closeAnnounced = false;
	m_reader =
		std::make_unique<transport::HttpReader>(transport::HttpReader::Kind::kResponses, transport::HttpReaderLimits{});
	m_stream = transport::TcpStream::connect(m_loop, m_target, this, {});
}

void persistent_connection::onConnected()
{
	m_connected = true;
	send();
}

void persistent_connection::send()
{
	if (m_finishing || !m_connected || m_closeAnnounced || !m_outstanding.empty())
	{
		return;
	}
	const auto count = 1 + m_random.below(m_traffic.burst);
	std::string bytes;
	for (uint64_t i = 0; i < count; ++i)
	{
		std::string request;
		m_outstanding.push_back(m_makeRequest(&request));
		m_outstanding.back().sentUs = m_loop.now().time_since_epoch().count();
		bytes += request;
	}
	m_stream->write(bytes);
	m_answerTimer.start(kAnswerTimeout);
}

bool persistent_connection::onMessage()
{
	const auto head = m_reader->takeHead();
	const auto body = m_reader->takeBody();
	if (m_outstanding.empty())
	{
		m_observer.onStray();
		return false;
	}
	const auto request = std::move(m_outstanding.front());
	m_outstanding.pop_front();
	m_closeAnnounced = m_closeAnnounced || !head.keepAlive;
	m_observer.onAnswered(request, head, body);
	m_answerTimer.start(kAnswerTimeout);
	return true;
}

void persistent_connection::onBytes(std::string_view _bytes)
{
	while (!_bytes.empty())
	{
		const auto progress = m_reader->feed(&_bytes);
		if (transport::HttpProgress::kIncomplete == progress)
		{
			break;
		}
		if (transport::HttpProgress::kMessage != progress)
		{
			m_observer.onStray();
			break;
		}
		if (!onMessage())
		{
			break;
		}
	}
	if (m_outstanding.empty())
	{
		m_answerTimer.stop();
		m_nextTimer.start(drawPause());
	}
}

void persistent_connection::failOutstanding(request_end _end)
{
	m_answerTimer.stop();
	for (const auto& request : m_outstanding)
	{
		m_observer.onUnanswered(request, _end);
		// Only the first request can have a partial response.
		_end = request_end::partial == _end ? request_end::cut : _end;
	}
	m_outstanding.clear();
	m_stream->close();
	m_stream.reset();
	m_nextTimer.start(kReconnectDelay);
}

void persistent_connection::onAnswerTimeout()
{
	failOutstanding(m_closeAnnounced ? request_end::unread : request_end::silent);
}

void persistent_connection::onClosed(bool /*_orderly*/)
{
	if (m_reader->midMessage())
	{
		return failOutstanding(request_end::partial);
	}
	failOutstanding(m_closeAnnounced ? request_end::unread : request_end::cut);
}

}  // namespace driftlug::soak
