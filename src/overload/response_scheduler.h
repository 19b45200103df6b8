/// Order, pacing and admission of large response bodies on a node's link.
#ifndef DRIFTLUG_OVERLOAD_RESPONSE_SCHEDULER_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_RESPONSE_SCHEDULER_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "overload/body_flow_controller.h"

namespace driftlug::overload
{
/// Settings of a response_scheduler.
struct response_scheduler_options
{
	/// Configured bandwidth of the node's link, in bytes per second; 0 if unknown.
	int64_t linkBytesPerSecond = 0;
	/// Maximum total size of queued and expected responses, above which no further request is admitted.
	int64_t maxQueuedBytes = int64_t{16} << 20;
};

/// A response that a request in progress will add.
struct expected_response
{
	int64_t bytes = 0;
	int rank = 0;              //!< Urgency of its request, lower values first.
	base::TimePoint target{};  //!< When it has to be sent to be in time.
	base::TimePoint readyAt{};
};

/// The part of a response that may be sent next.
struct response_piece
{
	body_id response;
	int64_t offset = 0;
	int64_t bytes = 0;
	bool last = false;
};

/// Whether and when a further response would be sent.
struct response_forecast
{
	bool admitted = false;
	base::TimePoint sentAt{};      //!< When it would be sent whole.
	base::TimePoint capacityAt{};  //!< When a request of the same kind could start and find the link free.
};

/// Decides which queued response sends its next piece, and when; forecasts the end of further responses.
///
/// Load pattern: back ends produce responses of tens of kB faster than the link carries them, and the same link carries
/// small responses that other services wait for. A response that is sent whole delays everything behind it, and where
/// all are sent in the order in which they are ready, all become late. So pieces are paced at the bandwidth of the
/// link, and responses that can be in time are sent first.
///
/// Order: responses that can be in time by urgency, then by target, earliest first; then the late ones, which are
/// always sent. If not all of one urgency can be in time, the largest are late, so that most are in time (Moore's
/// algorithm). A late response whose caller would leave before its turn goes first if that makes no other one late:
/// under lasting load there are always responses that can be in time.
///
/// Invariants: no byte is sent beyond the credit of its receiver; at most windowBytes() and one piece are in flight in
/// sockets that make progress. A receiver that gives no credits, or a socket that makes no progress, holds up only its
/// own responses.
class response_scheduler
{
public:
	explicit response_scheduler(const response_scheduler_options& _options);

	/// Queues a response.
	///
	/// @param[in] _bytes Size of its body, above 0.
	/// @param[in] _rank Urgency of its request, lower values first.
	/// @param[in] _target When it has to be sent to be in time.
	/// @param[in] _deadline When its caller stops waiting.
	void add(const body_id& _response, int64_t _bytes, int _rank, base::TimePoint _target, base::TimePoint _deadline,
			 base::TimePoint _now);

	/// Lets a response be sent up to an offset; a lower offset than before has no effect.
	/// @returns Whether the response is queued.
	bool credit(const body_id& _response, int64_t _upToBytes, base::TimePoint _now);

	/// Removes a response whose receiver no longer waits for it.
	/// @returns Whether it was queued.
	bool drop(const body_id& _response);

	/// Removes all responses of a closed connection.
	/// @returns The removed responses.
	std::vector<body_id> dropConnection(uint64_t _connection);

	/// Records how many bytes the socket of a connection holds that its peer has not acknowledged.
	void onSocketBytes(uint64_t _connection, int64_t _bytes, base::TimePoint _now);

	/// @returns The connections whose socket contents are to be reported before nextPiece().
	std::vector<uint64_t> connections() const;

	/// @returns The piece to send now; nullopt if none may be sent. A response is removed with its last piece.
	std::optional<response_piece> nextPiece(base::TimePoint _now);

	/// @returns Time after which nextPiece() is to be called again; nullopt if all queued responses wait for credits.
	std::optional<base::Duration> nextPieceIn(base::TimePoint _now) const;

	/// Forecasts a request's response.
	///
	/// It is admitted if it is expected in time and makes no response of the same or a higher urgency late that would
	/// be in time otherwise. If it can't be in time on an idle link either, it is admitted while the link has no queue.
	///
	/// @param[in] _response Response of the further request.
	/// @param[in] _expected Responses of the requests that were admitted and have no response yet.
	response_forecast forecast(const expected_response& _response, const std::vector<expected_response>& _expected,
							   base::TimePoint _now) const;

	/// @returns Bytes of queued responses that are not sent yet.
	int64_t queuedBytes() const
	{
		return m_queuedBytes;
	}

	/// @returns Number of queued responses.
	size_t size() const
	{
		return m_responses.size();
	}

	/// @returns Bandwidth used for responses, in bytes per second.
	double bytesPerSecond() const
	{
		return m_bytesPerSecond;
	}

	/// @returns Size of one piece.
	int64_t pieceBytes() const;

	/// @returns Maximum number of unacknowledged bytes in sockets before another piece is sent.
	int64_t windowBytes() const;

private:
	struct queued
	{
		body_id id;
		int64_t bytes = 0;
		int64_t sent = 0;
		int64_t credited = 0;
		int rank = 0;
		base::TimePoint target{};
		base::TimePoint deadline{};
		base::TimePoint lastProgressAt{};  //!< When it was queued, credited or sent last.
	};

	/// Bytes of a socket that the peer has not acknowledged.
	struct socket_state
	{
		int64_t bytes = 0;
		base::TimePoint lastProgressAt{};  //!< When bytes were acknowledged last, or the socket was empty.
		base::TimePoint checkedAt{};       //!< When its contents were reported last.
	};

	base::Duration transferTime(int64_t _bytes) const;
	base::TimePoint linkFreeAt(base::TimePoint _now) const;
	bool isStuck(const socket_state& _socket, base::TimePoint _now) const;
	bool maySend(const queued& _response, base::TimePoint _now) const;
	bool isStalled(const queued& _response, base::TimePoint _now) const;
	int64_t inFlightBytes(base::TimePoint _now) const;
	const queued* nextToSend(base::TimePoint _now) const;

	response_scheduler_options m_options;
	double m_bytesPerSecond;
	std::map<body_id, queued> m_responses;
	std::map<uint64_t, socket_state> m_sockets;  //!< Of connections with queued responses or pieces in flight.
	base::TimePoint m_linkFreeAt{};              //!< When the link has carried the pieces sent so far.
	int64_t m_queuedBytes = 0;
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_RESPONSE_SCHEDULER_H_HEADER_GUARD
