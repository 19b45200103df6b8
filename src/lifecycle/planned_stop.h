/// How a node ends a planned stop.
#ifndef DRIFTLUG_LIFECYCLE_PLANNED_STOP_H_HEADER_GUARD
#define DRIFTLUG_LIFECYCLE_PLANNED_STOP_H_HEADER_GUARD

#include <cstddef>

#include "base/time.h"

namespace driftlug::lifecycle
{
/// What a planned stop asks of the process that it ends.
class stop_target
{
public:
	virtual ~stop_target() = default;

	/// Requests that come from now on are refused as not run; those in progress go on.
	virtual void refuseNew() = 0;

	/// Requests that no back end has begun to run get their final answer as not run.
	virtual void refuseWaiting() = 0;

	/// No request is read from now on; connections without one end, and what was read is answered.
	virtual void stopReadingRequests() = 0;

	/// @returns Whether no request is in progress.
	virtual bool idle() const = 0;

	/// @returns Bytes of answers that have not left the process.
	virtual size_t unsentBytes() const = 0;

	/// Ends the process.
	virtual void end() = 0;
};

/// The times of a planned stop, from its beginning.
struct stop_times
{
	base::Duration linger{0};   //!< Requests are taken for so long, so that others hear of the stop.
	base::Duration timeout{0};  //!< The process ends by then, whatever is in progress.
};

/// Takes a process through a planned stop. A second order to stop changes nothing.
///
/// Invariants: before its timeout a stop ends only once nothing is in progress, every answer has left and no request is
/// read any more; at its timeout it ends in any case.
class planned_stop
{
public:
	planned_stop(const stop_times& _times, base::Scheduler& _scheduler, stop_target& _target);

	void begin();

private:
	/// How far a stop has come.
	enum class stage
	{
		running,
		lingering,  //!< Requests are taken.
		refusing,   //!< New requests are refused, those in progress go on.
		closing,    //!< No request is read.
	};

	void refuse();
	void giveUp();
	void stopReadingRequests();
	void poll();
	bool allAnswered() const;

	stop_times m_times;
	base::Scheduler& m_scheduler;
	stop_target& m_target;
	stage m_stage = stage::running;
	base::TimePoint m_until{};
};

}  // namespace driftlug::lifecycle

#endif  // DRIFTLUG_LIFECYCLE_PLANNED_STOP_H_HEADER_GUARD
