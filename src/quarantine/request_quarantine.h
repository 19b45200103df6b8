/// Quarantine of requests that crash back ends, as seen by one node.
#ifndef DRIFTLUG_QUARANTINE_REQUEST_QUARANTINE_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_REQUEST_QUARANTINE_H_HEADER_GUARD

#include <cstdint>
#include <functional>
#include <set>
#include <span>
#include <string_view>

#include "base/decision_log.h"
#include "base/time.h"
#include "quarantine/crash_history.h"

namespace driftlug::quarantine
{
/// Counters of a node's quarantine.
struct quarantine_counters
{
	int64_t crashes = 0;   //!< Crashes of the local back end.
	int64_t cleared = 0;   //!< Suspects that ran successfully on the local back end.
	int64_t held = 0;      //!< Requests that became held, as seen by this node.
	int64_t released = 0;  //!< Held requests that were released, as seen by this node.
};

/// Crash history of one node. Its outgoing and incoming calls query and update the history, and its control connection
/// exchanges reports with the relays.
class request_quarantine
{
public:
	using reports = crash_history::reports;
	using report_sender = std::function<void(const reports&)>;

	explicit request_quarantine(base::Scheduler& _scheduler, const crash_history_options& _options = {});

	/// Sets the handler that sends reports of this node to others.
	void onOutgoingReports(report_sender _send)
	{
		m_sendReports = std::move(_send);
	}

	/// Sets the handler that is called after the status of requests may have changed, never from within the change.
	void onChange(std::function<void()> _handler)
	{
		m_onChange = std::move(_handler);
	}

	/// Records a crash of the local back end.
	void onCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
				 std::span<const crashed_run> _runs);

	/// Records a crash of a remote back end that cut a call of this node. The report is not forwarded, since the node
	/// of the back end sends one.
	void onRemoteCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint, const crashed_run& _run);

	/// Records that the local back end answered a request, and clears its marks.
	void onRunSucceeded(const request_fingerprint& _request);

	/// Releases a request on behalf of an operator.
	/// @returns Whether the request had any uncleared marks.
	bool release(const request_fingerprint& _request);

	/// Merges reports from a relay.
	void onReports(std::span<const wire::CrashReport> _reports);

	/// @returns All marks known to this node, for a newly connected relay.
	reports all() const;

	/// @returns Whether no request has an uncleared mark, so that no fingerprint needs to be computed.
	bool empty() const
	{
		return m_history.empty();
	}

	request_status statusOf(const request_fingerprint& _request, std::string_view _service) const
	{
		return m_history.statusOf(_request, _service);
	}

	/// @returns The Retry-After time for the caller of a held request.
	base::Duration retryAfter(const request_fingerprint& _request) const;

	const crash_history& history() const
	{
		return m_history;
	}

	const quarantine_counters& counters() const
	{
		return m_counters;
	}

private:
	void onHistoryChanged(const reports& _changes, const char* _cause);
	void logHeldChange(const request_fingerprint& _request, std::string_view _service, const char* _cause);
	void pruneLoggedHeld();
	void scheduleSend(reports _cleared);

	crash_history m_history;
	report_sender m_sendReports;       //!< May be empty.
	std::function<void()> m_onChange;  //!< May be empty.
	std::set<request_fingerprint> m_loggedHeld;
	reports m_cleared;  //!< Cleared marks that are not sent yet.
	base::Timer m_sendTimer;
	base::Timer m_changeTimer;
	quarantine_counters m_counters;
	base::DecisionLog m_decisions;
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_REQUEST_QUARANTINE_H_HEADER_GUARD
