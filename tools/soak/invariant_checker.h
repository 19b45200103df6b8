/// Checks invariants of a fleet during fault injection.
#ifndef DRIFTLUG_SOAK_INVARIANT_CHECKER_H_HEADER_GUARD
#define DRIFTLUG_SOAK_INVARIANT_CHECKER_H_HEADER_GUARD

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
/// Detects processes that return to an older revision without a restart, processes that exit unexpectedly, and nodes
/// that report readiness but accept no connections.
class invariant_checker
{
public:
	explicit invariant_checker(tools::Fleet& _fleet);

	/// Adds or removes one fault of a process; several may overlap. A process with a fault is not checked and may exit.
	void setFaulty(const std::string& _name, bool _faulty);

	/// @returns Whether a process has a fault.
	bool isFaulty(const std::string& _name) const;

	/// Checks one process; successive calls check the processes in turn.
	/// @returns A description of the violation; empty if there is none.
	std::string checkNext();

	/// @returns The number of checks so far.
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
	std::map<std::string, int> m_faultCounts;  // number of active faults by process
	std::map<std::string, observed_revision> m_observed;
	size_t m_next = 0;
	int m_checks = 0;
};

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_INVARIANT_CHECKER_H_HEADER_GUARD
