#include "soak/open_connection.h"

namespace driftlug::soak
{
namespace
{
/// Before a connection is opened again: a server that starts takes about that long.
constexpr base::Duration kReopen = base::milliseconds(50);

/// After which an answer doesn't come any more: twice the time of the slowest route, and what a busy machine takes.
constexpr base::Duration kSilence = base::seconds(8);

}  // namespace

open_connection::open_connection(transport::EventLoop& _loop, const base::Address& _target, const traffic& _traffic,
								 base::RandomSource _random, request_maker _make, request_watcher& _watcher)
	: m_loop(_loop)
	, m_target(_target)
	, m_traffic(_traffic)
	, m_random(_random)
	, m_make(std::move(_make))
	, m_watcher(_watcher)
	, m_next(_loop,
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
	, m_silence(_loop,
				[this]
				{
					onSilence();
				})
{
}

open_connection::~open_connection()
{
	if (nullptr != m_stream)
	{
		m_stream->close();
	}
}

void open_connection::start()
{
	open();
}

void open_connection::finish()
{
	m_finishing = true;
}

size_t open_connection::outstanding() const
{
	return m_outstanding.size();
}

base::Duration open_connection::pause()
{
	return m_random.duration(m_traffic.longestPause) + base::Duration(1);
}

void open_connection::open()
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

void open_connection::onConnected()
{
	m_connected = true;
	send();
}

void open_connection::send()
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
		m_outstanding.push_back(m_make(&request));
		m_outstanding.back().sentUs = m_loop.now().time_since_epoch().count();
		bytes += request;
	}
	m_stream->write(bytes);
	m_silence.start(kSilence);
}

bool open_connection::onMessage()
{
	const auto head = m_reader->takeHead();
	const auto body = m_reader->takeBody();
	if (m_outstanding.empty())
	{
		m_watcher.onStray();
		return false;
	}
	const auto request = std::move(m_outstanding.front());
	m_outstanding.pop_front();
	m_closeAnnounced = m_closeAnnounced || !head.keepAlive;
	m_watcher.onAnswered(request, head, body);
	m_silence.start(kSilence);
	return true;
}

void open_connection::onBytes(std::string_view _bytes)
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
			m_watcher.onStray();
			break;
		}
		if (!onMessage())
		{
			break;
		}
	}
	if (m_outstanding.empty())
	{
		m_silence.stop();
		m_next.start(pause());
	}
}

void open_connection::giveUp(request_end _end)
{
	m_silence.stop();
	for (const auto& request : m_outstanding)
	{
		m_watcher.onUnanswered(request, _end);
		// Only the first one's answer had begun.
		_end = request_end::partial == _end ? request_end::cut : _end;
	}
	m_outstanding.clear();
	m_stream->close();
	m_stream.reset();
	m_next.start(kReopen);
}

void open_connection::onSilence()
{
	giveUp(m_closeAnnounced ? request_end::unread : request_end::silent);
}

void open_connection::onClosed(bool /*_orderly*/)
{
	if (m_reader->midMessage())
	{
		return giveUp(request_end::partial);
	}
	giveUp(m_closeAnnounced ? request_end::unread : request_end::cut);
}

}  // namespace driftlug::soak
