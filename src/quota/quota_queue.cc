#include "quota/quota_queue.h"

#include <algorithm>
#include <utility>

namespace driftlug::quota
{
namespace
{
constexpr base::Duration kMaxWait = base::seconds(3600);
/// The leader takes larger demands for invalid.
constexpr int kMaxDemand = 1'000'000;
/// Keeps times within the range of the messages.
constexpr base::Duration kMaxRetryAfter = base::seconds(86'400);

}  // namespace

wire::QuotaDecision decisionOf(const std::string& _tenant, const permit_outcome& _outcome)
{
	wire::QuotaDecision decision;
	decision.tenant = _tenant;
	decision.granted = _outcome.granted;
	decision.denied = _outcome.denied;
	decision.retryAfterMs = base::millisecondsOf(_outcome.retryAfter);
	decision.retryAfterStepMs = base::millisecondsOf(_outcome.retryAfterStep);
	return decision;
}

quota_queue::quota_queue(base::Scheduler& _scheduler, const quota_queue_options& _options, send_request _sendRequest)
	: m_scheduler(_scheduler)
	, m_options(_options)
	, m_sendRequest(std::move(_sendRequest))
	, m_timer(_scheduler,
			  [this]
			  {
				  onTimer();
			  })
{
}

void quota_queue::wait(owner _owner, const std::string& _tenant, int _count, callback _done)
{
	add({_owner, _count, m_scheduler.now() + m_options.answerTimeout, false, std::move(_done)}, _tenant);
}

void quota_queue::wait(owner _owner, const std::string& _tenant, int _count, base::Duration _maxWait, callback _done)
{
	add({_owner, _count, m_scheduler.now() + std::min(_maxWait, kMaxWait), true, std::move(_done)}, _tenant);
}

void quota_queue::setDemand(owner _owner, const std::string& _tenant, int _total, base::Duration _maxWait,
							callback _done)
{
	const auto expiresAt = m_scheduler.now() + std::min(_maxWait, kMaxWait);
	const auto found = m_queues.find(_tenant);
	int further = _total;
	if (m_queues.end() != found)
	{
		auto& queue = found->second;
		for (auto& waiter : queue.waiters)
		{
			if (waiter.ownerId == _owner)
			{
				waiter.expiresAt = expiresAt;
				further -= waiter.count;
			}
		}
		for (auto last = queue.waiters.end(); 0 > further && queue.waiters.begin() != last;)
		{
			--last;
			if (last->ownerId == _owner)
			{
				const int surplus = std::min(-further, last->count);
				further += surplus;
				takeFrom(&queue, last, surplus);
				last = 0 == last->count ? queue.waiters.erase(last) : last;
			}
		}
		queue.firstExpiry = std::min(queue.firstExpiry, expiresAt);
		removeEmptyQueues();
	}
	if (0 < further)
	{
		add({_owner, further, expiresAt, true, std::move(_done)}, _tenant);
	}
}

void quota_queue::add(waiter _waiter, const std::string& _tenant)
{
	const auto now = m_scheduler.now();
	const auto expiresAt = _waiter.expiresAt;
	auto& queue = m_queues[_tenant];
	queue.waiting += _waiter.count;
	queue.firstExpiry = std::min(queue.firstExpiry, expiresAt);
	++m_owners[_waiter.ownerId];
	queue.waiters.push_back(std::move(_waiter));
	wakeBy(std::min(std::max(now, m_earliestSendAt), expiresAt));
}

/// Lowers the count of a waiter. Waiters without a count are to be erased by the caller.
///
/// If the waiter was not deferred, the deferred ones are taken to be fewer than they are, which sends the demand early.
void quota_queue::takeFrom(tenant_queue* _queue, std::deque<waiter>::iterator _waiter, int _count)
{
	_queue->waiting -= _count;
	_queue->deferred = std::max(0, _queue->deferred - _count);
	_waiter->count -= _count;
	if (0 == _waiter->count)
	{
		const auto owner = m_owners.find(_waiter->ownerId);
		if (0 == --owner->second)
		{
			m_owners.erase(owner);
		}
	}
}

void quota_queue::removeEmptyQueues()
{
	std::erase_if(m_queues,
				  [](const auto& _item)
				  {
					  return _item.second.waiters.empty();
				  });
}

void quota_queue::removeWaiters(tenant_queue* _queue, owner _owner)
{
	for (auto next = _queue->waiters.begin(); _queue->waiters.end() != next;)
	{
		if (next->ownerId == _owner)
		{
			takeFrom(_queue, next, next->count);
			next = _queue->waiters.erase(next);
		}
		else
		{
			++next;
		}
	}
}

void quota_queue::drop(owner _owner)
{
	if (!m_owners.contains(_owner))
	{
		return;
	}
	for (auto& [tenant, queue] : m_queues)
	{
		removeWaiters(&queue, _owner);
	}
	removeEmptyQueues();
}

void quota_queue::resendAll()
{
	for (auto& [tenant, queue] : m_queues)
	{
		queue.sentAt.reset();
		queue.unanswered = 0;
		queue.deferred = 0;
	}
	m_earliestSendAt = m_scheduler.now();
	if (!m_queues.empty())
	{
		wakeBy(m_scheduler.now());
	}
}

void quota_queue::onTimer()
{
	m_wakeAt = base::TimePoint::max();
	expire();
	if (m_scheduler.now() >= m_earliestSendAt)
	{
		sendDemands();
	}
	startTimer();
}

void quota_queue::startTimer()
{
	if (m_queues.empty())
	{
		return;
	}
	auto next = base::TimePoint::max();
	for (const auto& [tenant, queue] : m_queues)
	{
		next = std::min({next, queue.firstExpiry, std::max(nextSendAt(queue), m_earliestSendAt)});
	}
	wakeBy(next);
}

/// Moves the end of the timer forward to the given time, if it is later.
void quota_queue::wakeBy(base::TimePoint _time)
{
	if (_time < m_wakeAt)
	{
		m_wakeAt = _time;
		m_timer.start(std::max<base::Duration>(base::Duration(0), _time - m_scheduler.now()));
	}
}

/// @returns When the demands of a tenant are to be sent, apart from the batch interval.
base::TimePoint quota_queue::nextSendAt(const tenant_queue& _queue) const
{
	if (_queue.sentAt)
	{
		return *_queue.sentAt + m_options.resendInterval;
	}
	return _queue.waiting > _queue.deferred ? base::TimePoint{} : _queue.askAgainAt;
}

void quota_queue::sendDemands()
{
	const auto now = m_scheduler.now();
	wire::QuotaAsk request;
	std::vector<tenant_queue*> queuesToSend;
	for (auto& [tenant, queue] : m_queues)
	{
		if (nextSendAt(queue) > now)
		{
			continue;
		}
		// The longest time of all: with the shortest, one request without time would have all others denied.
		base::Duration maxWait{0};
		for (const auto& waiter : queue.waiters)
		{
			maxWait = std::max<base::Duration>(maxWait, waiter.deferrable ? waiter.expiresAt - now : base::Duration(0));
		}
		wire::QuotaDemand demand;
		demand.tenant = tenant;
		demand.count = std::min(queue.waiting, kMaxDemand);
		demand.maxWaitMs = base::millisecondsOf(maxWait);
		request.demands.push_back(demand);
		queuesToSend.push_back(&queue);
	}
	if (request.demands.empty())
	{
		return;
	}
	if (!m_sendRequest(request))
	{
		m_earliestSendAt = now + m_options.resendInterval;
		return;
	}
	m_earliestSendAt = now + m_options.batchInterval;
	for (auto* queue : queuesToSend)
	{
		queue->sentAt = now;
		queue->unanswered = std::min(queue->waiting, kMaxDemand);
		queue->deferred = 0;
	}
}

void quota_queue::expire()
{
	const auto now = m_scheduler.now();
	std::vector<outcome_call> calls;
	for (auto& [tenant, queue] : m_queues)
	{
		if (queue.firstExpiry > now)
		{
			continue;
		}
		queue.firstExpiry = base::TimePoint::max();
		for (auto next = queue.waiters.begin(); queue.waiters.end() != next;)
		{
			if (next->expiresAt > now)
			{
				queue.firstExpiry = std::min(queue.firstExpiry, next->expiresAt);
				++next;
				continue;
			}
			permit_outcome outcome;
			outcome.unanswered = next->count;
			calls.push_back({std::move(next->done), outcome});
			takeFrom(&queue, next, next->count);
			next = queue.waiters.erase(next);
		}
	}
	removeEmptyQueues();
	for (const auto& call : calls)
	{
		call.done(call.outcome);
	}
}

/// Callbacks may add or remove waiters, so they are called after all changes to the queues.
void quota_queue::onGrant(const wire::QuotaGrant& _grant)
{
	std::vector<outcome_call> calls;
	for (const auto& decision : _grant.decisions)
	{
		const auto lowest = std::min({decision.granted, decision.denied, decision.deferred, decision.retryAfterMs,
									  decision.retryAfterStepMs, decision.askAgainMs});
		if (0 > lowest)
		{
			++m_invalidDecisions;
			continue;
		}
		const auto found = m_queues.find(decision.tenant);
		if (m_queues.end() != found)
		{
			decide(&found->second, decision, &calls);
		}
	}
	removeEmptyQueues();
	startTimer();
	for (const auto& call : calls)
	{
		call.done(call.outcome);
	}
}

void quota_queue::decide(tenant_queue* _queue, const wire::QuotaDecision& _decision, std::vector<outcome_call>* _calls)
{
	int granted = _decision.granted;
	// A repeated answer may grant permits to any request of the tenant, but does not refuse requests that it is not
	// for.
	const int decided = std::min(_queue->unanswered, granted);
	int denied = std::clamp(_decision.denied, 0, _queue->unanswered - decided);
	const int deferred = std::clamp(_decision.deferred, 0, _queue->unanswered - decided - denied);
	_queue->unanswered -= decided + denied + deferred;
	const auto step = base::milliseconds(_decision.retryAfterStepMs);
	base::Duration retryAfter = base::milliseconds(_decision.retryAfterMs);
	while (0 < granted + denied && !_queue->waiters.empty())
	{
		const auto first = _queue->waiters.begin();
		permit_outcome outcome;
		outcome.granted = std::min(granted, first->count);
		outcome.denied = std::min(denied, first->count - outcome.granted);
		outcome.retryAfter = std::min(retryAfter, kMaxRetryAfter);
		outcome.retryAfterStep = step;
		retryAfter += step * outcome.denied;
		granted -= outcome.granted;
		denied -= outcome.denied;
		_calls->push_back({first->done, outcome});
		takeFrom(_queue, first, outcome.granted + outcome.denied);
		if (0 == first->count)
		{
			_queue->waiters.pop_front();
		}
	}
	if (0 < deferred)
	{
		_queue->askAgainAt = m_scheduler.now() + base::milliseconds(_decision.askAgainMs);
		_queue->deferred = deferred;
		denyExpiring(_queue, _decision, _calls);
	}
	if (0 == _queue->unanswered)
	{
		_queue->sentAt.reset();
	}
}

/// Denies the demands that can't wait until the first deferred one finds a token.
void quota_queue::denyExpiring(tenant_queue* _queue, const wire::QuotaDecision& _decision,
							   std::vector<outcome_call>* _calls)
{
	if (_queue->firstExpiry >= _queue->askAgainAt)
	{
		return;
	}
	const auto step = base::milliseconds(_decision.retryAfterStepMs);
	base::Duration retryAfter = base::milliseconds(_decision.askAgainMs);
	for (auto next = _queue->waiters.begin(); _queue->waiters.end() != next;)
	{
		if (next->expiresAt >= _queue->askAgainAt)
		{
			++next;
			continue;
		}
		permit_outcome outcome;
		outcome.denied = next->count;
		outcome.retryAfter = retryAfter;
		outcome.retryAfterStep = step;
		retryAfter += step * next->count;
		_calls->push_back({std::move(next->done), outcome});
		takeFrom(_queue, next, next->count);
		next = _queue->waiters.erase(next);
	}
}

size_t quota_queue::waiting() const
{
	size_t count = 0;
	for (const auto& [tenant, queue] : m_queues)
	{
		count += static_cast<size_t>(queue.waiting);
	}
	return count;
}

}  // namespace driftlug::quota
