#include "soak/fault_injector.h"

#include <fmt/format.h>

#include <csignal>
#include <map>

#include "fleet.h"
#include "soak/soak_plan.h"

namespace driftlug::soak
{
namespace
{
/// A planned stop allows 10 s for the calls in flight; the rest is margin for a busy machine.
constexpr base::Duration kStopTimeout = base::seconds(15);

class signal_injector : public process_fault_injector
{
public:
	signal_injector(tools::Fleet& _fleet, bool _stopByKill)
		: m_fleet(_fleet)
		, m_stopByKill(_stopByKill)
	{
	}

	void begin(const soak_step& _step) override
	{
		m_fleet.processes().signal(_step.target, signalOf(_step.action));
		if (soak_action::kill == _step.action || soak_action::restart == _step.action)
		{
			auto& state = m_stops[_step.target];
			state.since = m_fleet.http().loop().now();
			state.planned = soak_action::restart == _step.action && (0 == state.faults || state.planned);
			state.startAgain = false;
			++state.faults;
		}
	}

	void end(const soak_step& _step) override
	{
		if (soak_action::pause == _step.action)
		{
			// The timeout of a stop in progress starts over when its process resumes.
			if (const auto stopping = m_stops.find(_step.target); m_stops.end() != stopping)
			{
				stopping->second.since = m_fleet.http().loop().now();
			}
			return m_fleet.processes().signal(_step.target, SIGCONT);
		}
		m_stops[_step.target].startAgain = true;
	}

	std::string poll(std::vector<std::string>* _started) override
	{
		for (auto& [name, state] : m_stops)
		{
			if (m_fleet.processes().running(name))
			{
				if (m_fleet.http().loop().now() - state.since < kStopTimeout)
				{
					continue;
				}
				m_fleet.processes().signal(name, SIGABRT);
				state.since = m_fleet.http().loop().now();
				state.planned = false;
				return fmt::format("{} did not end within {} s of its stop", name, kStopTimeout / base::seconds(1));
			}
			const int code = m_fleet.processes().exitCodeOf(name);
			constexpr int kEndedByStop = 128 + SIGTERM;
			if (state.planned && 0 != code && !(state.early && kEndedByStop == code))
			{
				state.planned = false;
				return fmt::format("{} ended with code {} in a planned stop", name, code);
			}
			if (state.startAgain)
			{
				m_fleet.processes().startAgain(name);
				_started->insert(_started->end(), static_cast<size_t>(state.faults), name);
				m_stops.erase(name);
				return {};
			}
		}
		return {};
	}

	void expectEarlyStop(const std::string& _name) override
	{
		m_stops[_name].early = true;
	}

	bool allRestarted() const override
	{
		return m_stops.empty();
	}

private:
	struct stop_state
	{
		base::TimePoint since{};
		int faults = 0;  // faults that stop it; a further one may start during a stop
		bool planned = false;
		bool early = false;
		bool startAgain = false;
	};

	int signalOf(soak_action _action) const
	{
		switch (_action)
		{
			case soak_action::kill:
				return SIGKILL;
			case soak_action::pause:
				return SIGSTOP;
			case soak_action::reload:
				return SIGHUP;
			default:
				return m_stopByKill ? SIGKILL : SIGTERM;
		}
	}

	tools::Fleet& m_fleet;
	bool m_stopByKill;
	std::map<std::string, stop_state> m_stops;
};

class proxy_injector : public fault_injector
{
public:
	explicit proxy_injector(tools::Fleet& _fleet)
		: m_fleet(_fleet)
	{
	}

	void begin(const soak_step& _step) override
	{
		(void)m_fleet.setLinkFault(_step.target, nameOf(_step.fault), _step.delayMs, _step.bytesPerSecond);
	}

	void end(const soak_step& _step) override
	{
		(void)m_fleet.setLinkFault(_step.target, nameOf(link_fault::none), 0, 0);
	}

private:
	tools::Fleet& m_fleet;
};

}  // namespace

std::unique_ptr<process_fault_injector> makeProcessFaultInjector(tools::Fleet& _fleet, bool _stopByKill)
{
	return std::make_unique<signal_injector>(_fleet, _stopByKill);
}

std::unique_ptr<fault_injector> makeLinkFaultInjector(tools::Fleet& _fleet)
{
	return std::make_unique<proxy_injector>(_fleet);
}

}  // namespace driftlug::soak
