/// Restarts back ends that a request crashes during a soak, and counts the crashes.
#ifndef DRIFTLUG_SOAK_BACK_END_SUPERVISOR_H_HEADER_GUARD
#define DRIFTLUG_SOAK_BACK_END_SUPERVISOR_H_HEADER_GUARD

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
/// Supervises the back ends of a fleet in which one request crashes every back end that runs it.
class back_end_supervisor
{
public:
	explicit back_end_supervisor(tools::Fleet& _fleet);

	/// Checks all back ends; records those that have exited and restarts them after a delay.
	void poll();

	/// @returns The number of crashes so far.
	size_t crashes() const
	{
		return m_crashes.size();
	}

	/// @returns The number of crashes later than a few seconds after the third one, by when all nodes must refuse the
	/// request.
	size_t lateCrashes() const;

	/// @returns Whether no back end is waiting for its restart.
	bool allRunning() const
	{
		return m_downSince.empty();
	}

private:
	tools::Fleet& m_fleet;
	std::map<std::string, base::TimePoint> m_downSince;  //!< Time since which a back end is down, by name.
	std::vector<base::TimePoint> m_crashes;
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_BACK_END_SUPERVISOR_H_HEADER_GUARD
