/// Requests of tenants that wait for permits.
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
/// What became of a part of those that waited together.
struct permit_outcome
{
	int granted = 0;
	int denied = 0;                //!< Beyond the limit.
	int unanswered = 0;            //!< Nobody decided in time.
	base::Duration retryAfter{0};  //!< Where some were denied.
};

/// Times of a queue.
struct quota_queue_options
{
	base::Duration batchInterval;   //!< Least time between two questions; demands in between leave together.
	base::Duration answerTimeout;   //!< After which what waits counts as unanswered.
	base::Duration resendInterval;  //!< A question without an answer is put again after this time.
};

/// Gathers demands, asks for permits and hands them to those that have waited longest. Nodes have one for their calls,
/// and relays have one for the questions of their nodes, so that the leader is asked by relays only.
///
/// A question that is put again may be granted twice; what is left over then is dropped, which keeps the limit.
class quota_queue
{
public:
	using owner = uint64_t;  //!< On whose behalf is waited: a call, or a connection.
	using callback = std::function<void(const permit_outcome&)>;
	/// @returns Whether there was somebody to ask.
	using send_request = std::function<bool(const wire::QuotaAsk&)>;

	quota_queue(base::Scheduler& _scheduler, const quota_queue_options& _options, send_request _ask);

	/// Waits for permits. The callback comes for each part that is decided, never from within this call.
	void wait(owner _owner, const std::string& _tenant, int _count, callback _done);

	/// Forgets what an owner waits for.
	void drop(owner _owner);

	/// Decisions on the demands of this queue.
	void onGrant(const wire::QuotaGrant& _grant);

	/// The one that was asked is gone, or another one is in its place: all that waits is asked for again.
	void resendAll();

	/// Sets the least time between two questions.
	void setBatchInterval(base::Duration _batchInterval)
	{
		m_options.batchInterval = _batchInterval;
	}

	/// @returns How many wait.
	size_t waiting() const;

private:
	struct waiter
	{
		owner ownerId;
		int count;
		base::TimePoint since;
		std::optional<base::TimePoint> askedAt;
		callback done;
	};

	using waiters = std::deque<waiter>;  //!< Longest waiting first.

	void sendDemands();
	void onTimer();
	void expire();
	bool needsSending(const waiter& _waiter) const;
	void forgetEmpty();
	static void decide(waiters* _queue, const wire::QuotaDecision& _decision);

	base::Scheduler& m_scheduler;
	quota_queue_options m_options;
	send_request m_ask;
	std::map<std::string, waiters> m_queues;  //!< By tenant; none is empty.
	base::TimePoint m_askedAt{};
	bool m_askedOnce = false;
	bool m_batching = false;  //!< The timer runs to put the next question.
	base::Timer m_timer;      //!< Runs while anything waits.
};

}  // namespace driftlug::quota

#endif  // DRIFTLUG_QUOTA_QUOTA_QUEUE_H_HEADER_GUARD
