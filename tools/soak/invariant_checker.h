/// Watches a fleet while it is harmed.
#ifndef DRIFTLUG_SOAK_PROMISE_WATCH_H_HEADER_GUARD
#define DRIFTLUG_SOAK_PROMISE_WATCH_H_HEADER_GUARD

#include <sys/types.h>

#include <map>
#include <string>

namespace driftlug::tools
{
class Fleet;
struct FleetMember;
}  // namespace driftlug::tools

namespace driftlug::soak
{
/// Notices nodes that go back to an older revision within one life, processes that end by themselves, and nodes that
/// say that they are ready and take no connections.
class invariant_checker
{
public:
	explicit invariant_checker(tools::Fleet& _fleet);

	/// Tells that a process is harmed, or no longer; it may be harmed by several things at once. While it is, it isn't
	/// asked, and may end.
	void setFaulty(const std::string& _name, bool _faulty);

	/// @returns Whether a process is harmed.
	bool isFaulty(const std::string& _name) const;

	/// Looks at one process; the next call at the next one.
	/// @returns What is wrong, empty when nothing is.
	std::string checkNext();

	/// @returns How often a process was looked at.
	int checks() const;

private:
	struct observed_revision
	{
		pid_t pid = 0;
		double revision = 0;
	};

	std::string checkMember(const tools::FleetMember& _member);
	std::string checkListener(const tools::FleetMember& _member);

	tools::Fleet& m_fleet;
	std::map<std::string, int> m_faultCounts;  // by how many things
	std::map<std::string, observed_revision> m_observed;
	size_t m_next = 0;
	int m_checks = 0;
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_PROMISE_WATCH_H_HEADER_GUARD
