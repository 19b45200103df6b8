/// A caller's connection that stays in use until the server closes it.
#ifndef DRIFTLUG_SOAK_PERSISTENT_CONNECTION_H_HEADER_GUARD
#define DRIFTLUG_SOAK_PERSISTENT_CONNECTION_H_HEADER_GUARD

#include <deque>
#include <functional>
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "soak/connection_record.h"
#include "transport/http_reader.h"
#include "transport/tcp_stream.h"

namespace driftlug::soak
{
/// A request in flight.
struct pending_request
{
	std::string id;
	std::string digest;  //!< Digest of its body.
	bool keyed = false;  //!< Has an idempotency key.
	int64_t sentUs = 0;  //!< In microseconds of the monotonic clock.
};

/// Receives the outcomes of a connection's requests.
class request_observer
{
public:
	virtual ~request_observer() = default;

	/// A complete response arrived.
	virtual void onAnswered(const pending_request& _request, const transport::HttpHead& _head,
							const std::string& _body) = 0;

	/// A request ended without a complete response.
	virtual void onUnanswered(const pending_request& _request, request_end _end) = 0;

	/// Bytes arrived that are not a response to a request in flight.
	virtual void onStray() = 0;
};

/// Keeps one connection to a server open and in use, and reconnects when it closes.
///
/// A connection is used until a response announces its close or the server closes it, regardless of the server's state.
class persistent_connection : private transport::StreamHandler
{
public:
	/// Traffic of a connection.
	struct traffic
	{
		size_t burst = 1;  //!< Maximum number of requests sent at once; several are pipelined.
		base::Duration maxPause = base::milliseconds(400);
	};

	/// Creates the next request and serializes it into the given string.
	using request_factory = std::function<pending_request(std::string*)>;

	persistent_connection(transport::EventLoop& _loop, const base::Address& _target, const traffic& _traffic,
						  base::RandomSource _random, request_factory _make, request_observer& _observer);
	~persistent_connection() override;

	/// Opens the connection and starts sending requests.
	void start();

	/// Stops sending requests; those in flight still wait for their responses.
	void finish();

	/// @returns The number of requests in flight.
	size_t outstanding() const;

private:
	void onConnected() override;
	void onBytes(std::string_view _bytes) override;
	void onClosed(bool _orderly) override;

	void open();
	void send();
	void onAnswerTimeout();
	bool onMessage();
	void failOutstanding(request_end _end);
	base::Duration drawPause();

	transport::EventLoop& m_loop;
	base::Address m_target;
	traffic m_traffic;
	base::RandomSource m_random;
	request_factory m_makeRequest;
	request_observer& m_observer;
	std::shared_ptr<transport::TcpStream> m_stream;
	std::unique_ptr<transport::HttpReader> m_reader;
	std::deque<pending_request> m_outstanding;
	bool m_connected = false;
	bool m_closeAnnounced = false;
	bool m_finishing = false;
	base::Timer m_nextTimer;    // next requests, or next connection attempt
	base::Timer m_answerTimer;  // runs while a response is awaited; restarted by each response
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_PERSISTENT_CONNECTION_H_HEADER_GUARD
