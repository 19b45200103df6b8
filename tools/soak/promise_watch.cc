#include "soak/promise_watch.h"

#include <fmt/format.h>

#include "fleet.h"

namespace driftlug::soak
{
promise_watch::promise_watch(tools::Fleet& _fleet)
	: m_fleet(_fleet)
{
}

void promise_watch::setHarmed(const std::string& _name, bool _harmed)
{
	m_harmed[_name] += _harmed ? 1 : -1;
}

bool promise_watch::harmed(const std::string& _name) const
{
	const auto found = m_harmed.find(_name);
	return m_harmed.end() != found && found->second > 0;
}

int promise_watch::looks() const
{
	return m_looks;
}

std::string promise_watch::look()
{
	const auto members = m_fleet.allMembers();
	const auto& member = members[m_next++ % members.size()];
	if (harmed(member.name))
	{
		return {};
	}
	++m_looks;
	return lookAt(member);
}

std::string promise_watch::lookAtDoor(const tools::FleetMember& _member)
{
	if (0 == _member.entryPort || !m_fleet.isReady(_member) || m_fleet.takesConnections(_member))
	{
		return {};
	}
	return fmt::format("{} is ready and takes no connections", _member.name);
}

std::string promise_watch::lookAt(const tools::FleetMember& _member)
{
	auto& processes = m_fleet.processes();
	if (!processes.running(_member.name))
	{
		return fmt::format("{} ended by itself", _member.name);
	}
	if (auto wrong = lookAtDoor(_member); !wrong.empty())
	{
		return wrong;
	}
	const double revision = m_fleet.sumMetric({_member}, "table_revision");
	const auto pid = processes.pidOf(_member.name);
	auto& seen = m_seen[_member.name];
	const bool sameLife = pid == seen.pid;
	// Nothing is heard of a process that is busy; that is no revision.
	if (0 == revision)
	{
		return {};
	}
	const double before = seen.revision;
	seen = {pid, revision};
	if (sameLife && revision < before)
	{
		return fmt::format("{} went back from revision {} to {}", _member.name, before, revision);
	}
	return {};
}

}  // namespace driftlug::soak
