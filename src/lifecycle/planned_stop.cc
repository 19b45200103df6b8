#include "lifecycle/planned_stop.h"

#include <algorithm>

namespace driftlug::lifecycle
{
namespace
{
/// Time reserved before the timeout to send the answers to aborted calls: two event loop iterations of a busy node,
/// plus the network delay to the caller.
constexpr base::Duration kFinalAnswerTime = base::milliseconds(200);
/// Part of that time for the answers to requests that a back end is still running. The rest is for withdrawing requests
/// that wait at other nodes.
constexpr base::Duration kPendingAnswerTime = base::milliseconds(100);
constexpr base::Duration kPollInterval = base::milliseconds(20);  // Interval between checks for requests in progress.

}  // namespace

planned_stop::planned_stop(const stop_times& _times, base::Scheduler& _scheduler, stop_target& _target)
	: m_times(_times)
	, m_scheduler(_scheduler)
	, m_target(_target)
{
}

void planned_stop::begin()
{
	if (stage::running != m_stage)
	{
		return;
	}
	m_stage = stage::lingering;
	m_deadline = m_scheduler.now() + m_times.timeout;
	m_target.prepareEnd(m_deadline - kFinalAnswerTime);
	m_scheduler.schedule(m_times.linger,
						 [this]
						 {
							 refuse();
						 });
	m_scheduler.schedule(std::max(base::Duration(0), m_times.timeout - kFinalAnswerTime),
						 [this]
						 {
							 abortPending();
						 });
	m_scheduler.schedule(std::max(base::Duration(0), m_times.timeout - kPendingAnswerTime),
						 [this]
						 {
							 m_target.answerPending();
						 });
}

void planned_stop::refuse()
{
	if (stage::lingering == m_stage)
	{
		m_stage = stage::refusing;
	}
	m_target.refuseNew();
	poll();
}

void planned_stop::abortPending()
{
	stopReadingRequests();
	m_target.refuseWaiting();
}

void planned_stop::stopReadingRequests()
{
	if (stage::closing == m_stage)
	{
		return;
	}
	m_stage = stage::closing;
	m_target.stopReadingRequests();
}

bool planned_stop::allAnswered() const
{
	// Answers still queued for a connection are lost when the process ends. For a peer that does not read, 12.9 MB of a
	// 16.8 MB answer stay queued while no request is pending.
	return m_target.idle() && 0 == m_target.unsentBytes();
}

void planned_stop::poll()
{
	if (m_scheduler.now() >= m_deadline)
	{
		return m_target.end();
	}
	if (allAnswered())
	{
		if (stage::closing == m_stage)
		{
			return m_target.end();
		}
		// Requests read during this loop iteration are seen by the next poll.
		stopReadingRequests();
	}
	m_scheduler.schedule(kPollInterval,
						 [this]
						 {
							 poll();
						 });
}

}  // namespace driftlug::lifecycle
