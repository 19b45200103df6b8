#include "lifecycle/planned_stop.h"

#include <algorithm>

namespace driftlug::lifecycle
{
namespace
{
/// What a planned stop keeps at its end for the answers to calls that it gives up: two turns of the loop of a busy
/// node, and the way to the caller.
constexpr base::Duration kLastAnswers = base::milliseconds(200);
constexpr base::Duration kPoll = base::milliseconds(20);  // Between two looks at what is in progress.

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
	m_until = m_scheduler.now() + m_times.timeout;
	m_scheduler.schedule(m_times.linger,
						 [this]
						 {
							 refuse();
						 });
	m_scheduler.schedule(std::max(base::Duration(0), m_times.timeout - kLastAnswers),
						 [this]
						 {
							 giveUp();
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

void planned_stop::giveUp()
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
	// An answer that waits for room on its connection is lost with the process: 12.9 MB of one of 16.8 MB to a peer
	// that does not read, by the server's own count.
	return m_target.idle() && 0 == m_target.unsentBytes();
}

void planned_stop::poll()
{
	if (m_scheduler.now() >= m_until)
	{
		return m_target.end();
	}
	if (allAnswered())
	{
		if (stage::closing == m_stage)
		{
			return m_target.end();
		}
		// What was read in this turn shows in the next poll.
		stopReadingRequests();
	}
	m_scheduler.schedule(kPoll,
						 [this]
						 {
							 poll();
						 });
}

}  // namespace driftlug::lifecycle
