/// Receiver-driven flow control for request bodies on a node's link.
#ifndef DRIFTLUG_OVERLOAD_BODY_FLOW_CONTROLLER_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_BODY_FLOW_CONTROLLER_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"

namespace driftlug::overload
{
/// Settings of a body_flow_controller.
struct body_flow_controller_options
{
	/// Configured bandwidth of the node's link, in bytes per second; 0 if unknown.
	int64_t linkBytesPerSecond = 0;
};

/// Identifies a body by the call that it belongs to.
struct body_id
{
	uint64_t connection = 0;  //!< Connection on which the call arrived.
	int64_t call = 0;         //!< Id of the call on its connection.
	auto operator<=>(const body_id&) const = default;
};

/// Permission for the sender of a body to send it up to an offset.
struct body_grant
{
	body_id body;
	int64_t upToBytes = 0;  //!< Cumulative: all bytes before this offset may be sent.
};

/// Senders announce a body with its size and send only the bytes that were granted.
///
/// Without flow control many senders fill the queue in front of a slow link, and small messages wait behind them for
/// seconds. Therefore only slightly more than the bandwidth-delay product of the link is granted at any time, to the
/// most urgent body first. The bandwidth is estimated from the bytes that arrive while bodies are outstanding.
///
/// Invariants: the granted bytes in flight, excluding those of stalled senders, exceed windowBytes() by at most one
/// grant; each body is granted in order, never beyond its size.
class body_flow_controller
{
public:
	explicit body_flow_controller(const body_flow_controller_options& _options);

	/// @param[in] _bytes Size of a body that is not announced yet.
	/// @param[in] _rank Urgency of its call, lower values first.
	/// @param[in] _deadline Latest useful arrival time.
	/// @returns Expected time until the body has arrived, behind the bodies that are ordered before it.
	base::Duration expectedWait(int64_t _bytes, int _rank, base::TimePoint _deadline) const;

	/// Queues a body for grants.
	void announce(const body_id& _body, int64_t _bytes, int _rank, base::TimePoint _deadline, base::TimePoint _now);

	/// Records received bytes of a body.
	/// @returns Whether the body is complete; a complete body is removed.
	bool onBytes(const body_id& _body, int64_t _bytes, base::TimePoint _now);

	/// Removes a body that will not be received.
	void drop(const body_id& _body);

	/// @returns New grants, in addition to those returned before.
	std::vector<body_grant> grant(base::TimePoint _now);

	/// Removes the bodies whose deadline has passed and of which nothing was granted or whose sender has stalled.
	/// @returns The removed bodies.
	std::vector<body_id> takeExpired(base::TimePoint _now);

	/// @returns Whether no body is in flight or queued.
	bool empty() const;

	/// @returns Bytes of announced bodies that have not arrived yet.
	int64_t missingBytes() const;

	/// @returns Estimated bandwidth for bodies, in bytes per second.
	int64_t bytesPerSecond() const;

	/// @returns Maximum number of granted bytes in flight.
	int64_t windowBytes() const;

private:
	/// An incomplete body.
	struct incoming
	{
		int64_t bytes = 0;
		int64_t granted = 0;
		int64_t arrived = 0;
		int rank = 0;
		base::TimePoint deadline{};
		base::TimePoint lastProgressAt{};  //!< Time of the last grant or arrival of bytes.
	};

	/// Sort key of bodies: by urgency, then by deadline.
	struct queue_key
	{
		int rank = 0;
		base::TimePoint deadline{};
		body_id body;
		auto operator<=>(const queue_key&) const = default;
	};

	static bool isStalled(const incoming& _body, base::TimePoint _now);
	int64_t grantBytes() const;
	int64_t inFlightBytes(base::TimePoint _now) const;
	void updateRateEstimate(int64_t _bytes, base::TimePoint _now);
	void removeBody(const body_id& _body);

	body_flow_controller_options m_options;
	std::map<body_id, incoming> m_bodies;
	std::map<queue_key, incoming*> m_order;
	double m_bytesPerSecond;              //!< Moving average of the receive rate while bodies are outstanding.
	base::TimePoint m_sampleStartedAt{};  //!< Start of the current sample; only valid while bodies are outstanding.
	int64_t m_sampleBytes = 0;
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_BODY_FLOW_CONTROLLER_H_HEADER_GUARD
