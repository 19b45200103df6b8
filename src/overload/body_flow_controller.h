/// Which request bodies cross a node's link, and when.
#ifndef DRIFTLUG_OVERLOAD_BODY_FLOW_CONTROLLER_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_BODY_FLOW_CONTROLLER_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <vector>

#include "base/time.h"

namespace driftlug::overload
{
/// Settings of an intake.
struct body_flow_controller_options
{
	/// What the node's link carries, in bytes a second; 0 where it is not known.
	int64_t linkBytesPerSecond = 0;
};

/// Names a body by the call that it belongs to.
struct body_id
{
	uint64_t connection = 0;  //!< On which the call came.
	int64_t call = 0;         //!< Id of the call on its connection.
	auto operator<=>(const body_id&) const = default;
};

/// Allows the sender of a body to send it up to a size.
struct body_grant
{
	body_id body;
	int64_t upToBytes = 0;  //!< How much of it may have been sent.
};

/// Receiver-driven flow control: bodies are announced by their size, and their senders send only what was granted.
///
/// Many senders that send as they like fill the queue in front of a slow link, and small messages wait behind them for
/// seconds. So only a little more than the link carries in a round trip is granted at any time, to the most urgent
/// body. What the link carries is learned from the bytes that arrive while there is something to wait for.
///
/// Invariants: the granted bytes on their way, without those of stalled senders, stay within windowBytes() and one
/// grant; each body is granted in order, never beyond its size.
class body_flow_controller
{
public:
	explicit body_flow_controller(const body_flow_controller_options& _options);

	/// @param[in] _bytes The size of a body that is not announced yet.
	/// @param[in] _rank How urgent its call is, lower first.
	/// @param[in] _deadline When it has to be there, at the latest.
	/// @returns How long it would take until it is there, behind those that go first.
	base::Duration expectedWait(int64_t _bytes, int _rank, base::TimePoint _deadline) const;

	/// Queues a body.
	void announce(const body_id& _body, int64_t _bytes, int _rank, base::TimePoint _deadline, base::TimePoint _now);

	/// Bytes of a body arrived.
	/// @returns Whether the body is whole now; it is forgotten then.
	bool onBytes(const body_id& _body, int64_t _bytes, base::TimePoint _now);

	/// Forgets a body that will not come.
	void drop(const body_id& _body);

	/// @returns What may be sent now, beside what was granted before.
	std::vector<body_grant> grant(base::TimePoint _now);

	/// @returns Bodies that had to be there by now and don't come: nothing of them was granted, or their senders
	/// stalled. They are forgotten.
	std::vector<body_id> takeExpired(base::TimePoint _now);

	/// @returns Whether any body is on its way or waits.
	bool empty() const;

	/// @returns Bytes of announced bodies that have not arrived.
	int64_t missingBytes() const;

	/// @returns What the link is taken to carry, in bytes a second.
	int64_t bytesPerSecond() const;

	/// @returns Bytes that may be granted and on their way at once.
	int64_t windowBytes() const;

private:
	/// A body that has not arrived whole.
	struct incoming
	{
		int64_t bytes = 0;
		int64_t granted = 0;
		int64_t arrived = 0;
		int rank = 0;
		base::TimePoint deadline{};
		base::TimePoint lastProgressAt{};  //!< When it was granted something or bytes of it arrived, the last time.
	};

	/// Order of bodies: the most urgent first, and of these the one that is needed first.
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
	void forget(const body_id& _body);

	body_flow_controller_options m_options;
	std::map<body_id, incoming> m_bodies;
	std::map<queue_key, incoming*> m_order;
	double m_bytesPerSecond;              //!< Moving average of what arrives while something is missing.
	base::TimePoint m_sampleStartedAt{};  //!< Of the bytes in m_sampleBytes; meaningless while nothing is missing.
	int64_t m_sampleBytes = 0;
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_BODY_FLOW_CONTROLLER_H_HEADER_GUARD
