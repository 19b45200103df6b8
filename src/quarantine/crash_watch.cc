#include "quarantine/crash_watch.h"

#include <utility>

#include "quarantine/back_end_presence.h"

namespace driftlug::quarantine
{
namespace
{
/// Runs cut within this time belong to the same crash. All connections of a process close together, but a busy node
/// detects the last of them some event loop iterations later. No back end restarts and crashes again within this time.
constexpr base::Duration kSameCrashWindow = base::milliseconds(200);
/// Time within which a restarted back end reports to its node. If its supervisor restarts it at once, it may already
/// listen again when the presence check runs, so the crash is found by this report only.
constexpr base::Duration kRestartWindow = base::seconds(5);
constexpr size_t kMaxRecentRuns = 256;

}  // namespace

crash_detector::crash_detector(const base::TimeSource& _time, base::RandomSource _random, back_end_presence& _presence,
							   crash_handler _onCrash)
	: m_time(_time)
	, m_random(_random)
	, m_presence(_presence)
	, m_onCrash(std::move(_onCrash))
{
}

crash_detector::~crash_detector()
{
	*m_alive = false;
}

void crash_detector::onDisconnected(const crashed_run& _run, result_handler _done)
{
	if (m_time.now() < m_sameCrashUntil)
	{
		m_onCrash(m_lastCrash, {_run});
		_done(m_lastCrash);
		return;
	}

	m_pending.push_back({_run, std::move(_done)});
	if (m_checking)
	{
		return;
	}
	m_checking = true;
	m_presence.check(
		[this, alive = m_alive](presence _presence)
		{
			if (*alive)
			{
				onChecked(presence::gone == _presence);
			}
		});
}

void crash_detector::onChecked(bool _gone)
{
	m_checking = false;
	const auto pending = std::exchange(m_pending, {});
	std::vector<crashed_run> runs;
	runs.reserve(pending.size());
	for (const auto& entry : pending)
	{
		runs.push_back(entry.run);
		m_recentRuns.push_back({entry.run, m_time.now()});
	}
	while (m_recentRuns.size() > kMaxRecentRuns)
	{
		m_recentRuns.pop_front();
	}
	if (_gone)
	{
		m_recentRuns.clear();
		beginCrash(runs);
	}
	for (const auto& entry : pending)
	{
		entry.done(_gone ? std::optional(m_lastCrash) : std::nullopt);
	}
}

void crash_detector::beginCrash(const std::vector<crashed_run>& _runs)
{
	m_lastCrash = m_random.bits();
	m_sameCrashUntil = m_time.now() + kSameCrashWindow;
	m_onCrash(m_lastCrash, _runs);
}

void crash_detector::onRestart()
{
	std::vector<crashed_run> runs;
	for (const auto& entry : std::exchange(m_recentRuns, {}))
	{
		if (m_time.now() - entry.at < kRestartWindow)
		{
			runs.push_back(entry.run);
		}
	}
	// A crash that was detected directly, a few seconds ago, is not counted again.
	if (m_time.now() - m_sameCrashUntil > kRestartWindow || !runs.empty())
	{
		beginCrash(runs);
	}
}

}  // namespace driftlug::quarantine
