/// Graceful shutdown of a node.
#ifndef DRIFTLUG_LIFECYCLE_PLANNED_STOP_H_HEADER_GUARD
#define DRIFTLUG_LIFECYCLE_PLANNED_STOP_H_HEADER_GUARD

#include <cstddef>

#include "base/time.h"

namespace driftlug::lifecycle
{
/// Operations that a planned stop performs on the process that it shuts down.
class stop_target
{
public:
	virtual ~stop_target() = default;

	/// From now on takes new requests, and begins further attempts of others, only if they are expected to be answered
	/// by a point in time.
	virtual void prepareEnd(base::TimePoint _answeredBy) = 0;

	/// Refuses new requests as not run; requests in progress continue.
	virtual void refuseNew() = 0;

	/// Refuses the requests that no back end has started to run, with a final answer as not run.
	virtual void refuseWaiting() = 0;

	/// Answers the requests that are still in progress, which may have run.
	virtual void answerPending() = 0;

	/// Stops reading requests: connections without a request are closed, requests already read are still answered.
	virtual void stopReadingRequests() = 0;

	/// @returns Whether no request is in progress.
	virtual bool idle() const = 0;

	/// @returns Bytes of answers that are still queued in the process.
	virtual size_t unsentBytes() const = 0;

	/// Ends the process.
	virtual void end() = 0;
};

/// Timing of a planned stop, relative to its start.
struct stop_times
{
	/// Requests that can end in time are accepted until then, so that other processes can notice the stop first.
	base::Duration linger{0};
	base::Duration timeout{0};  //!< The process ends by then, even with requests in progress.
};

/// Runs the phases of a planned stop: accept requests, refuse new ones, stop reading, end. A repeated begin() is
/// ignored.
///
/// Invariants: before the timeout the process ends only when no request is in progress, every answer has been sent and
/// no more requests are read; at the timeout it ends in any case. Shortly before, each request in progress gets an
/// answer, since its caller would otherwise see the connection end without one.
class planned_stop
{
public:
	planned_stop(const stop_times& _times, base::Scheduler& _scheduler, stop_target& _target);

	void begin();

private:
	/// Phase of a stop.
	enum class stage
	{
		running,
		lingering,  //!< Requests are still accepted.
		refusing,   //!< New requests are refused, those in progress continue.
		closing,    //!< No more requests are read.
	};

	void refuse();
	void abortPending();
	void stopReadingRequests();
	void poll();
	bool allAnswered() const;

	stop_times m_times;
	base::Scheduler& m_scheduler;
	stop_target& m_target;
	stage m_stage = stage::running;
	base::TimePoint m_deadline{};
};

}  // namespace driftlug::lifecycle

#endif  // DRIFTLUG_LIFECYCLE_PLANNED_STOP_H_HEADER_GUARD
