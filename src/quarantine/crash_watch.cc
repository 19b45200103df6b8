#include "quarantine/crash_watch.h"

#include <utility>

#include "quarantine/back_end_presence.h"

namespace driftlug::quarantine
{
namespace
{
/// Connections of one process end together; a busy node finds the last of them closed some turns of its loop later. No
/// back end is up again, and crashed again, so soon.
constexpr base::Duration kSameCrash = base::milliseconds(200);
/// A back end whose supervisor starts it at once listens before anybody asks. It reports soon after its start.
constexpr base::Duration kStartedWithin = base::seconds(5);
constexpr size_t kMostSurvivors = 256;

}  // namespace

crash_watch::crash_watch(const base::TimeSource& _time, base::RandomSource _random, back_end_presence& _presence,
						 crash_handler _onCrash)
	: m_time(_time)
	, m_random(_random)
	, m_presence(_presence)
	, m_onCrash(std::move(_onCrash))
{
}

crash_watch::~crash_watch()
{
	*m_alive = false;
}

void crash_watch::onCut(const crashed_run& _run, verdict _verdict)
{
	if (m_time.now() < m_joinUntil)
	{
		m_onCrash(m_crash, {_run});
		_verdict(m_crash);
		return;
	}

	m_waiting.push_back({_run, std::move(_verdict)});
	if (m_asking)
	{
		return;
	}
	m_asking = true;
	m_presence.check(
		[this, alive = m_alive](presence _presence)
		{
			if (*alive)
			{
				onChecked(presence::gone == _presence);
			}
		});
}

void crash_watch::onChecked(bool _gone)
{
	m_asking = false;
	const auto cuts = std::exchange(m_waiting, {});
	std::vector<crashed_run> runs;
	runs.reserve(cuts.size());
	for (const auto& one : cuts)
	{
		runs.push_back(one.run);
		m_survived.push_back({one.run, m_time.now()});
	}
	while (m_survived.size() > kMostSurvivors)
	{
		m_survived.pop_front();
	}
	if (_gone)
	{
		m_survived.clear();
		begin(runs);
	}
	for (const auto& one : cuts)
	{
		one.done(_gone ? std::optional(m_crash) : std::nullopt);
	}
}

void crash_watch::begin(const std::vector<crashed_run>& _runs)
{
	m_crash = m_random.bits();
	m_joinUntil = m_time.now() + kSameCrash;
	m_onCrash(m_crash, _runs);
}

void crash_watch::onRestart()
{
	std::vector<crashed_run> runs;
	for (const auto& one : std::exchange(m_survived, {}))
	{
		if (m_time.now() - one.at < kStartedWithin)
		{
			runs.push_back(one.run);
		}
	}
	// Unless the crash was seen as it happened, some seconds ago.
	if (m_time.now() - m_joinUntil > kStartedWithin || !runs.empty())
	{
		begin(runs);
	}
}

}  // namespace driftlug::quarantine
