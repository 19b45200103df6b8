/// Queue of requests that wait for quota permits.
#ifndef DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD
#define DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

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
	base::Duration retryAfter{0};  //!< Delay before a retry of the first that was denied; only meaningful if some were.
	base::Duration retryAfterStep{0};  //!< Added for each further one that was denied.
};

/// @returns The decision that passes an outcome on to the asker of the permits, without those that are unanswered.
wire::QuotaDecision decisionOf(const std::string& _tenant, const permit_outcome& _outcome);

/// Timing of a queue.
struct quota_queue_options
{
	base::Duration batchInterval;   //!< Minimum interval between two requests; demands in between are batched.
	base::Duration answerTimeout;   //!< Timeout of waiters that do not state how long they can wait.
	base::Duration resendInterval;  //!< Interval after which a demand without an answer is resent.
};

/// Batches demands, requests permits and assigns them in FIFO order. Nodes use a queue for their calls, and relays use
/// one for the requests of their nodes, so that only relays send requests to the leader.
///
/// A request states, for each tenant, all permits that are waited for. While it is unanswered, the tenant's demand is
/// not sent again before the resend interval has passed, so the receiver can tell a repeated demand from a further one.
/// The demands of one tenant do not delay those of others. A demand that is resent although it has been answered may be
/// granted twice; surplus permits are discarded, so the limit still holds.
class quota_queue
{
public:
	using owner = uint64_t;  //!< Id of the call or connection that waits.
	using callback = std::function<void(const permit_outcome&)>;
	/// Sends a request for permits.
	/// @returns Whether there was a peer to send it to.
	using send_request = std::function<bool(const wire::QuotaAsk&)>;

	quota_queue(base::Scheduler& _scheduler, const quota_queue_options& _options, send_request _sendRequest);

	/// Queues a demand for permits of requests that are not to be deferred; it is reported as unanswered after the
	/// answer timeout. The callback is called once for each part that is decided, never from within this call.
	void wait(owner _owner, const std::string& _tenant, int _count, callback _done);

	/// Queues a demand for permits of requests that can wait for the given time, and may be deferred for as long.
	/// @param[in] _maxWait Time after which the demand is reported as unanswered, at most an hour.
	void wait(owner _owner, const std::string& _tenant, int _count, base::Duration _maxWait, callback _done);

	/// Queues what an owner demands beyond its queued demands, or removes what it no longer demands, its latest first.
	/// @param[in] _total All permits that the owner waits for.
	/// @param[in] _maxWait How long all of them can wait from now on.
	void setDemand(owner _owner, const std::string& _tenant, int _total, base::Duration _maxWait, callback _done);

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

	/// @returns Number of decisions that were ignored because they hold negative numbers.
	int64_t invalidDecisions() const
	{
		return m_invalidDecisions;
	}

	/// @returns Number of permits that are waited for.
	size_t waiting() const;

private:
	struct waiter
	{
		owner ownerId;
		int count;
		base::TimePoint expiresAt;
		bool deferrable;
		callback done;
	};

	/// The demands of one tenant. They are new, sent or deferred; the deferred ones come first.
	struct tenant_queue
	{
		std::deque<waiter> waiters;             //!< Oldest first.
		int waiting = 0;                        //!< Permits that are waited for.
		int unanswered = 0;                     //!< Permits of the last request that are not decided.
		int deferred = 0;                       //!< Permits that are deferred until askAgainAt.
		std::optional<base::TimePoint> sentAt;  //!< Set while a part of the last request is unanswered.
		base::TimePoint askAgainAt{};
		base::TimePoint firstExpiry = base::TimePoint::max();  //!< No waiter expires earlier.
	};

	struct outcome_call
	{
		callback done;
		permit_outcome outcome;
	};

	void add(waiter _waiter, const std::string& _tenant);
	void startTimer();
	void wakeBy(base::TimePoint _time);
	void sendDemands();
	void onTimer();
	void expire();
	base::TimePoint nextSendAt(const tenant_queue& _queue) const;
	void removeEmptyQueues();
	void removeWaiters(tenant_queue* _queue, owner _owner);
	void takeFrom(tenant_queue* _queue, std::deque<waiter>::iterator _waiter, int _count);
	void decide(tenant_queue* _queue, const wire::QuotaDecision& _decision, std::vector<outcome_call>* _calls);
	void denyExpiring(tenant_queue* _queue, const wire::QuotaDecision& _decision, std::vector<outcome_call>* _calls);

	base::Scheduler& m_scheduler;
	quota_queue_options m_options;
	send_request m_sendRequest;
	std::map<std::string, tenant_queue> m_queues;  //!< By tenant; contains no empty queues.
	std::unordered_map<owner, int> m_owners;       //!< Number of waiters of each owner that has any.
	base::TimePoint m_earliestSendAt{};
	int64_t m_invalidDecisions = 0;
	base::TimePoint m_wakeAt = base::TimePoint::max();  //!< When the timer ends.
	base::Timer m_timer;                                //!< Runs while the queue is not empty.
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD
