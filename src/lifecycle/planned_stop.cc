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
	if (m_begun)
	{
		return;
	}
	m_begun = true;
	m_until = m_scheduler.now() + m_times.timeout;
	m_scheduler.schedule(m_times.linger,
						 [this]
						 {
							 m_target.refuseNew();
							 waitUntilIdle();
						 });
	m_scheduler.schedule(std::max(base::Duration(0), m_times.timeout - kLastAnswers),
						 [this]
						 {
							 m_target.refuseWaiting();
						 });
}

void planned_stop::waitUntilIdle()
{
	if (m_target.idle() || m_scheduler.now() >= m_until)
	{
		return m_target.end();
	}
	m_scheduler.schedule(kPoll,
						 [this]
						 {
							 waitUntilIdle();
						 });
}

}  // namespace driftlug::lifecycle
