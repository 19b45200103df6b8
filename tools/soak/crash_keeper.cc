#include "soak/crash_keeper.h"

#include <algorithm>

#include "fleet.h"

namespace driftlug::soak
{
namespace
{
constexpr base::Duration kAwayFor = base::milliseconds(1500);
/// A fleet knows a crash everywhere within this time.
constexpr base::Duration kKnownWithin = base::seconds(3);
constexpr size_t kThird = 3;

}  // namespace

crash_keeper::crash_keeper(tools::Fleet& _fleet)
	: m_fleet(_fleet)
{
}

void crash_keeper::look()
{
	const auto now = m_fleet.http().loop().now();
	for (const auto& endpoint : m_fleet.endpoints())
	{
		const auto& name = endpoint.backendName;
		const auto away = m_away.find(name);
		if (m_away.end() != away)
		{
			if (now - away->second > kAwayFor)
			{
				m_fleet.processes().startAgain(name);
				m_away.erase(away);
			}
			continue;
		}
		if (!m_fleet.processes().running(name))
		{
			m_away[name] = now;
			m_crashes.push_back(now);
		}
	}
}

size_t crash_keeper::pastThird() const
{
	if (kThird > m_crashes.size())
	{
		return 0;
	}
	const auto known = m_crashes[kThird - 1] + kKnownWithin;
	return static_cast<size_t>(std::count_if(m_crashes.begin(), m_crashes.end(),
											 [&](base::TimePoint _at)
											 {
												 return _at > known;
											 }));
}

}  // namespace driftlug::soak
