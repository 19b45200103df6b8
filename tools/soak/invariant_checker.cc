#include "soak/invariant_checker.h"

#include <fmt/format.h>

#include "fleet.h"

namespace driftlug::soak
{
invariant_checker::invariant_checker(tools::Fleet& _fleet)
	: m_fleet(_fleet)
{
}

void invariant_checker::setFaulty(const std::string& _name, bool _faulty)
{
	m_faultCounts[_name] += _faulty ? 1 : -1;
}

bool invariant_checker::isFaulty(const std::string& _name) const
{
	const auto found = m_faultCounts.find(_name);
	return m_faultCounts.end() != found && found->second > 0;
}

int invariant_checker::checks() const
{
	return m_checks;
}

std::string invariant_checker::checkNext()
{
	const auto members = m_fleet.allMembers();
	const auto& member = members[m_next++ % members.size()];
	if (isFaulty(member.name))
	{
		return {};
	}
	++m_checks;
	return checkMember(member);
}

std::string invariant_checker::checkListener(const tools::FleetMember& _member)
{
	if (0 == _member.entryPort || !m_fleet.isReady(_member) || m_fleet.acceptsConnections(_member))
	{
		return {};
	}
	return fmt::format("{} is ready and takes no connections", _member.name);
}

std::string invariant_checker::checkMember(const tools::FleetMember& _member)
{
	auto& processes = m_fleet.processes();
	if (!processes.running(_member.name))
	{
		return fmt::format("{} ended by itself", _member.name);
	}
	if (auto wrong = checkListener(_member); !wrong.empty())
	{
		return wrong;
	}
	const double revision = m_fleet.sumMetric({_member}, "table_revision");
	const auto pid = processes.pidOf(_member.name);
	auto& observed = m_observed[_member.name];
	const bool sameProcess = pid == observed.pid;
	// A busy process may not respond; the sum of its metric is then 0, which is not a revision.
	if (0 == revision)
	{
		return {};
	}
	const double before = observed.revision;
	observed = {pid, revision};
	if (sameProcess && revision < before)
	{
		return fmt::format("{} went back from revision {} to {}", _member.name, before, revision);
	}
	return {};
}

}  // namespace driftlug::soak
