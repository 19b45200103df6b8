/// What a node knows of requests that crash back ends, and tells others of them.
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
	int64_t crashes = 0;   //!< Of the back end beside this node.
	int64_t cleared = 0;   //!< Suspects that ran well beside this node.
	int64_t held = 0;      //!< Requests that this node learned to be held.
	int64_t released = 0;  //!< Held requests that it learned to run again.
};

/// The crash history of one node: both sides of its calls ask it and add to it, its control connection carries news
/// from and to relays.
class request_quarantine
{
public:
	using reports = crash_history::reports;
	using report_sender = std::function<void(const reports&)>;

	explicit request_quarantine(base::Scheduler& _scheduler, const crash_history_options& _options = {});

	/// Sets what carries news of this node to others.
	void onOutgoingReports(report_sender _send)
	{
		m_sendReports = std::move(_send);
	}

	/// Sets what is called after the standing of requests may have changed, never from within a change.
	void onChange(std::function<void()> _handler)
	{
		m_onChange = std::move(_handler);
	}

	/// The back end beside this node crashed.
	void onCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
				 std::span<const crashed_run> _runs);

	/// A call that began at this node was cut by a crash elsewhere. The node there tells all others.
	void onRemoteCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint, const crashed_run& _run);

	/// The back end beside this node answered a request.
	void onRunSucceeded(const request_fingerprint& _request);

	/// An operator lets a request run again.
	/// @returns Whether anything was known of it.
	bool release(const request_fingerprint& _request);

	/// A relay told of crashes.
	void onReports(std::span<const wire::CrashReport> _reports);

	/// @returns All that this node knows, for a relay that may know less.
	reports all() const;

	/// @returns Whether fingerprints are of any use now.
	bool empty() const
	{
		return m_history.empty();
	}

	standing standingOf(const request_fingerprint& _request, std::string_view _service) const
	{
		return m_history.standingOf(_request, _service);
	}

	/// @returns Time after which the caller of a held request is asked to come back.
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
	void onHistoryChanged(const reports& _changes, const char* _because);
	void logStandingChange(const request_fingerprint& _request, std::string_view _service, const char* _because);
	void pruneLoggedHeld();
	void scheduleSend(reports _cleared);

	crash_history m_history;
	report_sender m_sendReports;       //!< May be empty.
	std::function<void()> m_onChange;  //!< May be empty.
	std::set<request_fingerprint> m_loggedHeld;
	reports m_cleared;  //!< To be spread.
	base::Timer m_sendTimer;
	base::Timer m_changeTimer;
	quarantine_counters m_counters;
	base::DecisionLog m_decisions;
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_REQUEST_QUARANTINE_H_HEADER_GUARD
