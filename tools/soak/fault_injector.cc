#include "soak/fault_injector.h"

#include <csignal>

#include "fleet.h"
#include "soak/soak_plan.h"

namespace driftlug::soak
{
namespace
{
class process_faults : public fault_injector
{
public:
	explicit process_faults(tools::Fleet& _fleet)
		: m_fleet(_fleet)
	{
	}

	void begin(const soak_step& _step) override
	{
		m_fleet.processes().signal(_step.target, beginSignal(_step.action));
	}

	void end(const soak_step& _step) override
	{
		constexpr int kStopTimeoutMs = 15'000;
		auto& processes = m_fleet.processes();
		if (soak_action::pause == _step.action)
		{
			return processes.signal(_step.target, SIGCONT);
		}
		processes.waitFor(_step.target, kStopTimeoutMs);
		processes.startAgain(_step.target);
	}

private:
	static int beginSignal(soak_action _action)
	{
		if (soak_action::kill == _action)
		{
			return SIGKILL;
		}
		return soak_action::pause == _action ? SIGSTOP : SIGTERM;
	}

	tools::Fleet& m_fleet;
};

class link_faults : public fault_injector
{
public:
	explicit link_faults(tools::Fleet& _fleet)
		: m_fleet(_fleet)
	{
	}

	void begin(const soak_step& _step) override
	{
		(void)m_fleet.setLinkFault(_step.target, nameOf(_step.fault), _step.delayMs);
	}

	void end(const soak_step& _step) override
	{
		(void)m_fleet.setLinkFault(_step.target, nameOf(link_fault::none), 0);
	}

private:
	tools::Fleet& m_fleet;
};

}  // namespace

std::unique_ptr<fault_injector> makeProcessFaults(tools::Fleet& _fleet)
{
	return std::make_unique<process_faults>(_fleet);
}

std::unique_ptr<fault_injector> makeLinkFaults(tools::Fleet& _fleet)
{
	return std::make_unique<link_faults>(_fleet);
}

}  // namespace driftlug::soak
