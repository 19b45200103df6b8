#include "quarantine/request_quarantine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "quarantine/fingerprint_bytes.h"

namespace driftlug::quarantine
{
namespace
{
/// Clearances are gathered for so long: after a crash up to eight requests of nine are cleared within some hundred
/// milliseconds, and each message goes to all nodes of the service. A node that doesn't know yet runs them on
/// probation.
constexpr base::Duration kGatherCleared = base::milliseconds(100);

/// Held requests whose log lines are remembered; more than these are noted twice.
constexpr size_t kMostNoted = 1024;

/// Longest time that is told to a caller whose request is held. Somebody who comes back after a day may be told again.
constexpr base::Duration kLongestRetryAfter = std::chrono::hours(24);

}  // namespace

request_quarantine::request_quarantine(base::Scheduler& _scheduler, const crash_history_options& _options)
	: m_history(_scheduler, _options)
	, m_spreadTimer(_scheduler,
					[this]
					{
						const auto cleared = std::exchange(m_cleared, {});
						if (m_spread)
						{
							m_spread(cleared);
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
	const auto news = m_history.addCrash(_id, _service, _endpoint, _runs);
	changed(news, "crash");
	if (m_spread && !news.empty())
	{
		m_spread(news);
	}
}

void request_quarantine::onCrashElsewhere(uint64_t _id, std::string_view _service, std::string_view _endpoint,
										  const crashed_run& _run)
{
	changed(m_history.addCrash(_id, _service, _endpoint, {&_run, 1}), "crash");
}

void request_quarantine::onRanWell(const request_fingerprint& _request)
{
	auto news = m_history.clear(_request);
	if (news.empty())
	{
		return;
	}
	++m_counters.cleared;
	changed(news, "ran_well");
	spreadSoon(std::move(news));
}

bool request_quarantine::release(const request_fingerprint& _request)
{
	auto news = m_history.clear(_request);
	if (news.empty())
	{
		return false;
	}
	changed(news, "operator");
	spreadSoon(std::move(news));
	return true;
}

void request_quarantine::onReports(std::span<const wire::CrashReport> _reports)
{
	changed(m_history.merge(_reports), "told");
}

request_quarantine::reports request_quarantine::all() const
{
	return m_history.all();
}

base::Duration request_quarantine::retryAfter(const request_fingerprint& _request) const
{
	return std::min(m_history.untilProbe(_request), kLongestRetryAfter);
}

void request_quarantine::spreadSoon(reports _cleared)
{
	m_cleared.insert(m_cleared.end(), std::make_move_iterator(_cleared.begin()),
					 std::make_move_iterator(_cleared.end()));
	if (!m_spreadTimer.running())
	{
		m_spreadTimer.start(kGatherCleared);
	}
}

void request_quarantine::changed(const reports& _news, const char* _because)
{
	if (_news.empty())
	{
		return;
	}
	for (const auto& report : _news)
	{
		for (const auto& request : report.requests)
		{
			if (const auto fingerprint = fingerprintFromBytes(request.fingerprint))
			{
				noteStanding(*fingerprint, report.serviceName, _because);
			}
		}
	}
	m_changeTimer.start(base::Duration(0));
}

/// What was noted as held and is forgotten since, or accounted for, is dropped before there is much of it.
void request_quarantine::forgetReleased()
{
	if (m_held.size() < kMostNoted)
	{
		return;
	}
	std::set<request_fingerprint> held;
	for (const auto& request : m_history.known())
	{
		if (standing::held == request.treatedAs)
		{
			held.insert(request.request);
		}
	}
	m_held = std::move(held);
}

void request_quarantine::noteStanding(const request_fingerprint& _request, std::string_view _service,
									  const char* _because)
{
	const bool held = standing::held == m_history.standingOf(_request, _service);
	if (held == (0 < m_held.count(_request)))
	{
		return;
	}
	if (held)
	{
		forgetReleased();
		m_held.insert(_request);
	}
	else
	{
		m_held.erase(_request);
	}
	++(held ? m_counters.held : m_counters.released);
	m_decisions.write(
		base::LinePriority::kFailure,
		[&]
		{
			const auto probe = std::chrono::duration_cast<base::milliseconds>(m_history.untilProbe(_request));
			return fmt::format("{} request={} service={} because={} probe_in_ms={}", held ? "held" : "released",
							   toText(_request), _service, _because, probe.count());
		});
}

}  // namespace driftlug::quarantine
