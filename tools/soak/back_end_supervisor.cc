#include "soak/back_end_supervisor.h"

#include <algorithm>

#include "fleet.h"

namespace driftlug::soak
{
namespace
{
constexpr base::Duration kRestartDelay = base::milliseconds(1500);
/// Limit for a crash to become known to all nodes of a fleet.
constexpr base::Duration kPropagationLimit = base::seconds(3);
constexpr size_t kDetectionCrashes = 3;

}  // namespace

back_end_supervisor::back_end_supervisor(tools::Fleet& _fleet)
	: m_fleet(_fleet)
{
}

void back_end_supervisor::poll()
{
	const auto now = m_fleet.http().loop().now();
	for (const auto& endpoint : m_fleet.endpoints())
	{
		const auto& name = endpoint.backendName;
		const auto away = m_downSince.find(name);
		if (m_downSince.end() != away)
		{
			if (now - away->second > kRestartDelay)
			{
				m_fleet.processes().startAgain(name);
				m_downSince.erase(away);
			}
			continue;
		}
		if (!m_fleet.processes().running(name))
		{
			m_downSince[name] = now;
			m_crashes.push_back(now);
		}
	}
}

size_t back_end_supervisor::lateCrashes() const
{
	if (kDetectionCrashes > m_crashes.size())
	{
		return 0;
	}
	const auto known = m_crashes[kDetectionCrashes - 1] + kPropagationLimit;
	return static_cast<size_t>(std::count_if(m_crashes.begin(), m_crashes.end(),
											 [&](base::TimePoint _at)
											 {
												 return _at > known;
											 }));
}

}  // namespace driftlug::soak
