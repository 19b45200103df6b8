#include "quarantine/request_quarantine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "quarantine/fingerprint_bytes.h"

namespace driftlug::quarantine
{
namespace
{
/// Cleared marks are batched for this time. After a crash up to eight of nine requests are cleared within some hundred
/// milliseconds, and each message goes to all nodes of the service. Until the message arrives, nodes run these requests
/// on probation.
constexpr base::Duration kClearedBatchDelay = base::milliseconds(100);

/// Maximum number of held requests that are tracked for logging; beyond it, a request may be logged as held twice.
constexpr size_t kMaxLoggedHeld = 1024;

/// Upper limit of the Retry-After time of held requests. A caller that retries after a day gets a new time.
constexpr base::Duration kMaxRetryAfter = std::chrono::hours(24);

}  // namespace

request_quarantine::request_quarantine(base::Scheduler& _scheduler, const crash_history_options& _options)
	: m_history(_scheduler, _options)
	, m_sendTimer(_scheduler,
				  [this]
				  {
					  const auto cleared = std::exchange(m_cleared, {});
					  if (m_sendReports)
					  {
						  m_sendReports(cleared);
					  }
				  })
	, m_changeTimer(_scheduler,
					[this]
					{
						if (m_onChange)
						{
							m_onChange();
						}
					})
	, m_decisions("quarantine", _scheduler)
{
}

void request_quarantine::onCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
								 std::span<const crashed_run> _runs)
{
	++m_counters.crashes;
	const auto changes = m_history.addCrash(_id, _service, _endpoint, _runs);
	onHistoryChanged(changes, "crash");
	if (m_sendReports && !changes.empty())
	{
		m_sendReports(changes);
	}
}

void request_quarantine::onRemoteCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
									   const crashed_run& _run)
{
	onHistoryChanged(m_history.addCrash(_id, _service, _endpoint, {&_run, 1}), "crash");
}

void request_quarantine::onRunSucceeded(const request_fingerprint& _request)
{
	auto changes = m_history.clear(_request);
	if (changes.empty())
	{
		return;
	}
	++m_counters.cleared;
	onHistoryChanged(changes, "ran_well");
	scheduleSend(std::move(changes));
}

bool request_quarantine::release(const request_fingerprint& _request)
{
	auto changes = m_history.clear(_request);
	if (changes.empty())
	{
		return false;
	}
	onHistoryChanged(changes, "operator");
	scheduleSend(std::move(changes));
	return true;
}

void request_quarantine::onReports(std::span<const wire::CrashReport> _reports)
{
	onHistoryChanged(m_history.merge(_reports), "told");
}

request_quarantine::reports request_quarantine::all() const
{
	return m_history.all();
}

base::Duration request_quarantine::retryAfter(const request_fingerprint& _request) const
{
	return std::min(m_history.untilProbe(_request), kMaxRetryAfter);
}

void request_quarantine::scheduleSend(reports _cleared)
{
	m_cleared.insert(m_cleared.end(), std::make_move_iterator(_cleared.begin()),
					 std::make_move_iterator(_cleared.end()));
	if (!m_sendTimer.running())
	{
		m_sendTimer.start(kClearedBatchDelay);
	}
}

void request_quarantine::onHistoryChanged(const reports& _changes, const char* _cause)
{
	if (_changes.empty())
	{
		return;
	}
	for (const auto& report : _changes)
	{
		for (const auto& request : report.requests)
		{
			if (const auto fingerprint = fingerprintFromBytes(request.fingerprint))
			{
				logHeldChange(*fingerprint, report.serviceName, _cause);
			}
		}
	}
	m_changeTimer.start(base::Duration(0));
}

/// Drops logged requests whose marks have expired or are explained by another request, once the set is at its limit.
void request_quarantine::pruneLoggedHeld()
{
	if (m_loggedHeld.size() < kMaxLoggedHeld)
	{
		return;
	}
	std::set<request_fingerprint> held;
	for (const auto& request : m_history.quarantinedRequests())
	{
		if (request_status::held == request.treatedAs)
		{
			held.insert(request.request);
		}
	}
	m_loggedHeld = std::move(held);
}

void request_quarantine::logHeldChange(const request_fingerprint& _request, std::string_view _service,
									   const char* _cause)
{
	const bool held = request_status::held == m_history.statusOf(_request, _service);
	if (held == (0 < m_loggedHeld.count(_request)))
	{
		return;
	}
	if (held)
	{
		pruneLoggedHeld();
		m_loggedHeld.insert(_request);
	}
	else
	{
		m_loggedHeld.erase(_request);
	}
	++(held ? m_counters.held : m_counters.released);
	m_decisions.write(
		base::LinePriority::kFailure,
		[&]
		{
			const auto probe = std::chrono::duration_cast<base::milliseconds>(m_history.untilProbe(_request));
			return fmt::format("{} request={} service={} because={} probe_in_ms={}", held ? "held" : "released",
							   toText(_request), _service, _cause, probe.count());
		});
}

}  // namespace driftlug::quarantine
