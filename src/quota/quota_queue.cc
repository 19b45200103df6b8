#include "quota/quota_queue.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace driftlug::quota
{
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
	const auto now = m_scheduler.now();
	m_queues[_tenant].push_back({_owner, _count, now, std::nullopt, std::move(_done)});
	const auto earliest = m_hasSent ? m_lastSentAt + m_options.batchInterval : now;
	const auto pause = std::max<base::Duration>(base::Duration(0), earliest - now);
	if (!m_batching)
	{
		m_batching = true;
		m_timer.start(pause);
	}
}

void quota_queue::removeEmptyQueues()
{
	std::erase_if(m_queues,
				  [](const auto& _item)
				  {
					  return _item.second.empty();
				  });
}

void quota_queue::drop(owner _owner)
{
	for (auto& [tenant, queue] : m_queues)
	{
		std::erase_if(queue,
					  [_owner](const waiter& _waiter)
					  {
						  return _waiter.ownerId == _owner;
					  });
	}
	removeEmptyQueues();
}

void quota_queue::resendAll()
{
	for (auto& [tenant, queue] : m_queues)
	{
		for (auto& waiter : queue)
		{
			waiter.sentAt.reset();
		}
	}
	if (!m_queues.empty())
	{
		m_timer.start(base::Duration(0));
	}
}

void quota_queue::onTimer()
{
	m_batching = false;
	expire();
	if (m_queues.empty())
	{
		return;
	}
	sendDemands();
	m_timer.start(std::min(m_options.resendInterval, m_options.answerTimeout));
}

bool quota_queue::needsSending(const waiter& _waiter) const
{
	return !_waiter.sentAt || m_scheduler.now() - *_waiter.sentAt >= m_options.resendInterval;
}

void quota_queue::sendDemands()
{
	wire::QuotaAsk request;
	std::vector<waiter*> waitersToSend;
	for (auto& [tenant, queue] : m_queues)
	{
		wire::QuotaDemand demand;
		demand.tenant = tenant;
		for (auto& waiter : queue)
		{
			if (needsSending(waiter))
			{
				demand.count += waiter.count;
				waitersToSend.push_back(&waiter);
			}
		}
		if (0 < demand.count)
		{
			request.demands.push_back(demand);
		}
	}
	if (request.demands.empty() || !m_sendRequest(request))
	{
		return;
	}
	m_lastSentAt = m_scheduler.now();
	m_hasSent = true;
	for (auto* waiter : waitersToSend)
	{
		waiter->sentAt = m_lastSentAt;
	}
}

void quota_queue::expire()
{
	const auto limit = m_scheduler.now() - m_options.answerTimeout;
	std::vector<waiter> expired;
	for (auto& [tenant, queue] : m_queues)
	{
		while (!queue.empty() && queue.front().since <= limit)
		{
			expired.push_back(std::move(queue.front()));
			queue.pop_front();
		}
	}
	removeEmptyQueues();
	for (const auto& waiter : expired)
	{
		permit_outcome outcome;
		outcome.unanswered = waiter.count;
		waiter.done(outcome);
	}
}

void quota_queue::onGrant(const wire::QuotaGrant& _grant)
{
	for (const auto& decision : _grant.decisions)
	{
		const auto found = m_queues.find(decision.tenant);
		if (m_queues.end() != found)
		{
			decide(&found->second, decision);
		}
	}
	removeEmptyQueues();
}

/// Callbacks may add or remove waiters, so they are called after all changes to the queue.
void quota_queue::decide(waiters* _queue, const wire::QuotaDecision& _decision)
{
	int granted = std::max(0, _decision.granted);
	int denied = std::max(0, _decision.denied);
	std::vector<std::pair<callback, permit_outcome>> outcomes;
	while (0 < granted + denied && !_queue->empty())
	{
		auto& first = _queue->front();
		permit_outcome outcome;
		outcome.granted = std::min(granted, first.count);
		outcome.denied = std::min(denied, first.count - outcome.granted);
		outcome.retryAfter = base::milliseconds(_decision.retryAfterMs);
		granted -= outcome.granted;
		denied -= outcome.denied;
		first.count -= outcome.granted + outcome.denied;
		outcomes.emplace_back(first.done, outcome);
		if (0 == first.count)
		{
			_queue->pop_front();
		}
	}
	for (const auto& [done, outcome] : outcomes)
	{
		done(outcome);
	}
}

size_t quota_queue::waiting() const
{
	size_t count = 0;
	for (const auto& [tenant, queue] : m_queues)
	{
		for (const auto& waiter : queue)
		{
			count += static_cast<size_t>(waiter.count);
		}
	}
	return count;
}

}  // namespace driftlug::quota
