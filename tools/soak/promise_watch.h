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
class promise_watch
{
public:
	explicit promise_watch(tools::Fleet& _fleet);

	/// Tells that a process is harmed, or no longer; it may be harmed by several things at once. While it is, it isn't
	/// asked, and may end.
	void setHarmed(const std::string& _name, bool _harmed);

	/// @returns Whether a process is harmed.
	bool harmed(const std::string& _name) const;

	/// Looks at one process; the next call at the next one.
	/// @returns What is wrong, empty when nothing is.
	std::string look();

	/// @returns How often a process was looked at.
	int looks() const;

private:
	struct seen_revision
	{
		pid_t pid = 0;
		double revision = 0;
	};

	std::string lookAt(const tools::FleetMember& _member);
	std::string lookAtDoor(const tools::FleetMember& _member);

	tools::Fleet& m_fleet;
	std::map<std::string, int> m_harmed;  // by how many things
	std::map<std::string, seen_revision> m_seen;
	size_t m_next = 0;
	int m_looks = 0;
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_PROMISE_WATCH_H_HEADER_GUARD
