/// A caller's connection that is kept in use until its server ends it.
#ifndef DRIFTLUG_SOAK_OPEN_CONNECTION_H_HEADER_GUARD
#define DRIFTLUG_SOAK_OPEN_CONNECTION_H_HEADER_GUARD

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
/// One request that waits for its answer.
struct pending_request
{
	std::string id;
	std::string digest;  //!< Of its body.
	bool keyed = false;
	int64_t sentUs = 0;
};

/// Takes what becomes of the requests of a connection.
class request_observer
{
public:
	virtual ~request_observer() = default;

	/// A whole answer came.
	virtual void onAnswered(const pending_request& _request, const transport::HttpHead& _head,
							const std::string& _body) = 0;

	/// None came.
	virtual void onUnanswered(const pending_request& _request, request_end _end) = 0;

	/// Bytes came that answer nothing.
	virtual void onStray() = 0;
};

/// Keeps one connection to a server open and in use, and opens the next one when it ends.
///
/// A connection on which no answer said that it closes is used until it ends, whatever is known of the server.
class persistent_connection : private transport::StreamHandler
{
public:
	/// What a connection sends.
	struct traffic
	{
		size_t burst = 1;  //!< Requests sent at once, at most; more than one are pipelined.
		base::Duration maxPause = base::milliseconds(400);
	};

	/// Makes the next request, and its bytes as they are sent.
	using request_factory = std::function<pending_request(std::string*)>;

	persistent_connection(transport::EventLoop& _loop, const base::Address& _target, const traffic& _traffic,
						  base::RandomSource _random, request_factory _make, request_observer& _observer);
	~persistent_connection() override;

	/// Opens the connection and keeps it in use.
	void start();

	/// Sends nothing more; what waits for an answer is waited for.
	void finish();

	/// @returns Requests without an answer so far.
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
	base::Timer m_nextTimer;    // for the next requests, or the next connection
	base::Timer m_answerTimer;  // since the last answer, while one is waited for
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_OPEN_CONNECTION_H_HEADER_GUARD
