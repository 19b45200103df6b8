#include "soak/soak_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "base/random.h"

namespace driftlug::soak
{
namespace
{
constexpr int kMinFaultMs = 200;
constexpr int kMaxDelayMs = 80;
constexpr int kMaxEditStormMs = 3'000;
constexpr int kElectionFaultMs = 1'200;       // Time reserved on all controllers for a disturbed election.
constexpr int kMaxSecondSignalDelayMs = 500;  // Latest second signal after a stop.
constexpr int kRollingGapMs = 250;            // Between two stops of a random rolling stop.
constexpr int kRollingRestartDelayMs = 700;   // Minimum time before a node of it is restarted.
constexpr int kMinThrottleBytesPerSecond = 20'000;
constexpr int kMaxThrottleBytesPerSecond = 200'000;
constexpr link_fault kLinkFaults[] = {link_fault::delay,       link_fault::silence, link_fault::silence_in,
									  link_fault::silence_out, link_fault::reset,   link_fault::throttle,
									  link_fault::mute};

/// Target of a fault: a process or the link to it. Both may have faults at the same time.
enum class domain
{
	process,
	link,
};

domain domainOf(soak_action _action)
{
	return soak_action::link == _action ? domain::link : domain::process;
}

/// Draws a random plan.
class plan_generator
{
public:
	plan_generator(uint64_t _seed, std::span<const soak_target> _targets, const plan_options& _options)
		: m_random(_seed)
		, m_targets(_targets)
		, m_options(_options)
	{
	}

	std::vector<soak_step> draw()
	{
		int atMs = 0;
		while (true)
		{
			atMs += 1 + static_cast<int>(m_random.below(2 * static_cast<uint64_t>(m_options.meanGapMs)));
			if (atMs + kMinFaultMs > m_options.durationMs)
			{
				break;
			}
			drawAt(atMs);
		}
		std::stable_sort(m_plan.begin(), m_plan.end(),
						 [](const soak_step& _left, const soak_step& _right)
						 {
							 return _left.atMs < _right.atMs;
						 });
		return std::move(m_plan);
	}

private:
	int drawBetween(int _least, int _most)
	{
		return _least
			   + static_cast<int>(m_random.below(static_cast<uint64_t>(_most) - static_cast<uint64_t>(_least) + 1));
	}

	void drawAt(int _atMs)
	{
		const double kind = m_random.unit();
		if (kind < 0.06)
		{
			return add({_atMs, drawBetween(kMinFaultMs, kMaxEditStormMs), {}, soak_action::edit_storm});
		}
		if (kind < 0.12)
		{
			return drawReload(_atMs);
		}
		if (kind < 0.17)
		{
			return drawElection(_atMs);
		}
		if (kind < 0.20)
		{
			return drawRollingStop(_atMs);
		}
		drawFault(_atMs);
	}

	void drawReload(int _atMs)
	{
		const auto& target = m_targets[m_random.below(m_targets.size())];
		if (takesReload(target.role))
		{
			add({_atMs, 0, target.name, soak_action::reload});
		}
	}

	/// Relays and back ends have no settings to reload.
	static bool takesReload(soak_role _role)
	{
		return soak_role::relay != _role && soak_role::back_end != _role;
	}

	/// Stops the leader, and another controller during the election of a successor.
	void drawElection(int _atMs)
	{
		if (faultyControllers(_atMs) > 0 || _atMs < m_electionUntil || !fits(_atMs, kElectionFaultMs))
		{
			return;
		}
		m_electionUntil = _atMs + kElectionFaultMs;
		add({_atMs, drawBetween(kMinFaultMs, kElectionFaultMs / 2), std::string(kLeaderTarget), soak_action::restart});
		add({_atMs + drawBetween(50, kElectionFaultMs / 3), kMinFaultMs, std::string(kFollowerTarget),
			 soak_action::restart});
	}

	void drawRollingStop(int _atMs)
	{
		const int begunMs = _atMs;
		for (const auto& target : m_targets)
		{
			const bool node = soak_role::node == target.role || soak_role::entry == target.role;
			if (node && isFree(target, domain::process, _atMs) && fits(_atMs, kRollingRestartDelayMs))
			{
				reserve(target.name, domain::process, _atMs + kRollingRestartDelayMs);
				add({_atMs, kRollingRestartDelayMs, target.name, soak_action::restart});
				_atMs += kRollingGapMs;
			}
		}
		add({begunMs, std::max(kMinFaultMs, _atMs - begunMs), {}, soak_action::edit_storm});
	}

	void drawFault(int _atMs)
	{
		soak_step step;
		step.atMs = _atMs;
		step.forMs = drawBetween(kMinFaultMs, m_options.maxFaultMs - 1);
		const auto& target = m_targets[m_random.below(m_targets.size())];
		step.target = target.name;
		step.action = drawAction(target.role);
		step.fault =
			soak_action::link == step.action ? kLinkFaults[m_random.below(std::size(kLinkFaults))] : step.fault;
		step.delayMs = drawBetween(1, kMaxDelayMs);
		step.bytesPerSecond = drawBetween(kMinThrottleBytesPerSecond, kMaxThrottleBytesPerSecond);
		if (!fits(_atMs, step.forMs) || !isFree(target, domainOf(step.action), _atMs))
		{
			return;
		}
		reserve(target.name, domainOf(step.action), _atMs + step.forMs);
		if (soak_action::restart == step.action)
		{
			drawMoreSignals(step, target.role);
		}
		add(step);
	}

	void drawMoreSignals(const soak_step& _stop, soak_role _role)
	{
		const int latest = std::min(kMaxSecondSignalDelayMs, _stop.forMs - 1);
		if (m_random.chance(0.5))
		{
			add({_stop.atMs + drawBetween(1, latest), 0, _stop.target, soak_action::stop_again});
		}
		if (m_random.chance(0.5) && takesReload(_role))
		{
			add({_stop.atMs + drawBetween(1, latest), 0, _stop.target, soak_action::reload});
		}
	}

	soak_action drawAction(soak_role _role)
	{
		// Only the back end itself records what it has run, so it is never stopped, only paused or disconnected.
		if (soak_role::back_end == _role)
		{
			return m_random.chance(0.3) ? soak_action::pause : soak_action::link;
		}
		if (soak_role::entry == _role)
		{
			constexpr soak_action kActions[] = {soak_action::kill, soak_action::pause, soak_action::restart,
												soak_action::restart, soak_action::restart};
			return kActions[m_random.below(std::size(kActions))];
		}
		constexpr soak_action kActions[] = {soak_action::kill, soak_action::pause, soak_action::restart,
											soak_action::link, soak_action::link};
		return kActions[m_random.below(std::size(kActions))];
	}

	bool fits(int _atMs, int _forMs) const
	{
		return _atMs + _forMs <= m_options.durationMs;
	}

	bool isReserved(const std::string& _name, domain _domain, int _atMs) const
	{
		const auto found = m_reservedUntil.find({_name, _domain});
		return m_reservedUntil.end() != found && found->second > _atMs;
	}

	int64_t faultyControllers(int _atMs) const
	{
		return std::count_if(m_targets.begin(), m_targets.end(),
							 [&](const soak_target& _target)
							 {
								 return soak_role::controller == _target.role
										&& (isReserved(_target.name, domain::process, _atMs)
											|| isReserved(_target.name, domain::link, _atMs));
							 });
	}

	bool isFree(const soak_target& _target, domain _domain, int _atMs) const
	{
		const bool election = soak_role::controller == _target.role && _atMs < m_electionUntil;
		if (election || isReserved(_target.name, _domain, _atMs))
		{
			return false;
		}
		const auto other = domain::link == _domain ? domain::process : domain::link;
		return soak_role::controller != _target.role || isReserved(_target.name, other, _atMs)
			   || faultyControllers(_atMs) < m_options.maxFaultyControllers;
	}

	void reserve(const std::string& _name, domain _domain, int _untilMs)
	{
		auto& until = m_reservedUntil[{_name, _domain}];
		until = std::max(until, _untilMs);
	}

	void add(const soak_step& _step)
	{
		if (fits(_step.atMs, _step.forMs))
		{
			m_plan.push_back(_step);
		}
	}

	base::RandomSource m_random;
	std::span<const soak_target> m_targets;
	const plan_options& m_options;
	std::vector<soak_step> m_plan;
	std::map<std::pair<std::string, domain>, int> m_reservedUntil;
	int m_electionUntil = 0;  // until then, controllers get no other faults
};

}  // namespace

std::string_view nameOf(soak_action _action)
{
	switch (_action)
	{
		case soak_action::kill:
			return "kill";
		case soak_action::pause:
			return "pause";
		case soak_action::restart:
			return "restart";
		case soak_action::link:
			return "link";
		case soak_action::reload:
			return "reload";
		case soak_action::stop_again:
			return "stop_again";
		case soak_action::edit_storm:
			return "edit_storm";
	}
	return "unknown";
}

bool isDisruptive(soak_action _action)
{
	return soak_action::reload != _action && soak_action::stop_again != _action && soak_action::edit_storm != _action;
}

std::vector<soak_step> drawPlan(uint64_t _seed, std::span<const soak_target> _targets, const plan_options& _options)
{
	return plan_generator(_seed, _targets, _options).draw();
}

std::vector<soak_step> rollingPlan(std::span<const soak_target> _targets, int _gapMs)
{
	constexpr int kRounds = 2;
	std::vector<soak_step> plan;
	int atMs = _gapMs;
	for (int round = 0; round < kRounds; ++round)
	{
		for (const auto& target : _targets)
		{
			if (soak_role::node == target.role || soak_role::entry == target.role)
			{
				plan.push_back({atMs, std::min(kRollingRestartDelayMs, _gapMs), target.name, soak_action::restart});
				atMs += _gapMs;
			}
		}
	}
	plan.insert(plan.begin(), {0, atMs, {}, soak_action::edit_storm});
	return plan;
}

int planEndMs(std::span<const soak_step> _plan)
{
	int endMs = 0;
	for (const auto& step : _plan)
	{
		endMs = std::max(endMs, step.atMs + step.forMs);
	}
	return endMs;
}

std::string textOf(const soak_step& _step)
{
	const auto what = soak_action::link == _step.action ? nameOf(_step.fault) : nameOf(_step.action);
	return fmt::format("{} ms: {} {} for {} ms", _step.atMs, what, _step.target, _step.forMs);
}

}  // namespace driftlug::soak
