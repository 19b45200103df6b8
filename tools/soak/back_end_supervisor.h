/// Back ends that a request crashes, in a soak: starts them again, and counts.
#ifndef DRIFTLUG_SOAK_CRASH_KEEPER_H_HEADER_GUARD
#define DRIFTLUG_SOAK_CRASH_KEEPER_H_HEADER_GUARD

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace driftlug::tools
{
class Fleet;
}

namespace driftlug::soak
{
/// Watches back ends, one of whose requests ends the process that begins to run it.
class back_end_supervisor
{
public:
	explicit back_end_supervisor(tools::Fleet& _fleet);

	/// Looks at all back ends; those that have been away for long enough are started again.
	void poll();

	/// @returns Back ends that ended by themselves so far.
	size_t crashes() const
	{
		return m_crashes.size();
	}

	/// @returns Those of them that ended later than some seconds after the third, by when all nodes must know.
	size_t lateCrashes() const;

	/// @returns Whether every back end runs.
	bool allRunning() const
	{
		return m_downSince.empty();
	}

private:
	tools::Fleet& m_fleet;
	std::map<std::string, base::TimePoint> m_downSince;  //!< By name: since when.
	std::vector<base::TimePoint> m_crashes;
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_CRASH_KEEPER_H_HEADER_GUARD
