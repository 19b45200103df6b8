/// A client's connection through a fault proxy.
#ifndef DRIFTLUG_SOAK_RELAYED_CONNECTION_H_HEADER_GUARD
#define DRIFTLUG_SOAK_RELAYED_CONNECTION_H_HEADER_GUARD

#include <deque>
#include <string>

#include "soak/fault_proxy.h"

namespace driftlug::soak
{
/// A pair of streams and the bytes in transit between them.
class relayed_connection
{
public:
	relayed_connection(fault_proxy& _owner, uint64_t _id, std::shared_ptr<transport::TcpStream> _client);
	~relayed_connection();

	/// Delivers the bytes that are due and not blocked by the current fault.
	void pump();

	/// Stops forwarding for good. The connection is removed once both sides have closed it.
	void mute();

private:
	struct chunk
	{
		base::TimePoint due;
		std::string bytes;
		bool end = false;  //!< The sender has closed; no bytes.
	};

	/// One direction: reads from a stream and queues the bytes for the other one.
	struct direction : transport::StreamHandler
	{
		void onBytes(std::string_view _bytes) override;
		void onClosed(bool _orderly) override;

		relayed_connection* owner = nullptr;
		bool toServer = false;
		std::shared_ptr<transport::TcpStream> from;
		std::deque<chunk> queue;
		size_t queuedBytes = 0;
		bool reading = true;
		bool ended = false;          //!< The sender has closed; only used when muted.
		size_t pieceBytes = 0;       //!< Bytes with a reservation of the link; 0 if there is none.
		base::TimePoint pieceDue{};  //!< End of the reservation.
	};

	void enqueue(direction* _direction, chunk _chunk);
	bool blocked(const direction& _direction) const;
	bool deliver(direction* _direction, transport::TcpStream* _to);
	size_t nextPiece(direction* _direction);
	base::TimePoint nextDue(const direction& _direction) const;
	void throttleSender(direction* _direction);
	void dropMuted(direction* _direction, bool _end);

	fault_proxy& m_owner;
	uint64_t m_id;
	direction m_toServer;
	direction m_toClient;
	base::Timer m_timer;
	bool m_muted = false;
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_RELAYED_CONNECTION_H_HEADER_GUARD
