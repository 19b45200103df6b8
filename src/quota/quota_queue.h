/// Queue of requests that wait for quota permits.
#ifndef DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD
#define DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/time.h"
#include "wire/gen/driftlug_types.h"

namespace driftlug::quota
{
/// Outcome for some or all of the permits of one wait() call.
struct permit_outcome
{
	int granted = 0;
	int denied = 0;                //!< Over the limit.
	int unanswered = 0;            //!< No decision within the timeout.
	base::Duration retryAfter{0};  //!< Delay before a retry; only meaningful if some were denied.
};

/// Timing of a queue.
struct quota_queue_options
{
	base::Duration batchInterval;   //!< Minimum interval between two requests; demands in between are batched.
	base::Duration answerTimeout;   //!< Timeout after which a waiter is reported as unanswered.
	base::Duration resendInterval;  //!< Interval after which a request without an answer is resent.
};

/// Batches demands, requests permits and assigns them in FIFO order. Nodes use a queue for their calls, and relays use
/// one for the requests of their nodes, so that only relays send requests to the leader.
///
/// A resent request may be granted twice; surplus permits are discarded, so the limit still holds.
class quota_queue
{
public:
	using owner = uint64_t;  //!< Id of the call or connection that waits.
	using callback = std::function<void(const permit_outcome&)>;
	/// Sends a request for permits.
	/// @returns Whether there was a peer to send it to.
	using send_request = std::function<bool(const wire::QuotaAsk&)>;

	quota_queue(base::Scheduler& _scheduler, const quota_queue_options& _options, send_request _sendRequest);

	/// Queues a demand for permits. The callback is called once for each part that is decided, never from within this
	/// call.
	void wait(owner _owner, const std::string& _tenant, int _count, callback _done);

	/// Removes all demands of an owner without calling back.
	void drop(owner _owner);

	/// Applies decisions to the queued demands.
	void onGrant(const wire::QuotaGrant& _grant);

	/// Resends all queued demands, after the peer was lost or replaced.
	void resendAll();

	/// Sets the minimum interval between two requests.
	void setBatchInterval(base::Duration _batchInterval)
	{
		m_options.batchInterval = _batchInterval;
	}

	/// @returns Number of permits that are waited for.
	size_t waiting() const;

private:
	struct waiter
	{
		owner ownerId;
		int count;
		base::TimePoint since;
		std::optional<base::TimePoint> sentAt;
		callback done;
	};

	using waiters = std::deque<waiter>;  //!< Oldest first.

	void sendDemands();
	void onTimer();
	void expire();
	bool needsSending(const waiter& _waiter) const;
	void removeEmptyQueues();
	static void decide(waiters* _queue, const wire::QuotaDecision& _decision);

	base::Scheduler& m_scheduler;
	quota_queue_options m_options;
	send_request m_sendRequest;
	std::map<std::string, waiters> m_queues;  //!< By tenant; contains no empty queues.
	base::TimePoint m_lastSentAt{};
	bool m_hasSent = false;
	bool m_batching = false;  //!< The timer is running for the next request.
	base::Timer m_timer;      //!< Runs while the queue is not empty.
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD
