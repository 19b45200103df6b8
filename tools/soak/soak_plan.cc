#include "soak/soak_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

#include "base/random.h"

namespace driftlug::soak
{
namespace
{
constexpr int kShortestFaultMs = 200;
constexpr int kLongestDelayMs = 80;
constexpr link_fault kLinkFaults[] = {link_fault::delay, link_fault::silence, link_fault::silence_in,
									  link_fault::silence_out, link_fault::reset};

/// Keeps what is harmed at the time that steps are drawn for.
class harmed_targets
{
public:
	harmed_targets(std::span<const soak_target> _targets, int _controllersAtOnce)
		: m_targets(_targets)
		, m_controllersAtOnce(_controllersAtOnce)
	{
	}

	bool free(const soak_target& _target, int _atMs) const
	{
		const auto busy = [&](const soak_target& _other)
		{
			const auto found = m_until.find(_other.name);
			return m_until.end() != found && found->second > _atMs;
		};
		if (busy(_target))
		{
			return false;
		}
		if (soak_role::controller != _target.role)
		{
			return true;
		}
		const auto controllers = std::count_if(m_targets.begin(), m_targets.end(),
											   [&](const soak_target& _other)
											   {
												   return soak_role::controller == _other.role && busy(_other);
											   });
		return controllers < m_controllersAtOnce;
	}

	void take(const soak_target& _target, int _untilMs)
	{
		m_until[_target.name] = _untilMs;
	}

private:
	std::span<const soak_target> m_targets;
	int m_controllersAtOnce;
	std::map<std::string, int> m_until;
};

soak_action drawAction(base::RandomSource& _random, soak_role _role)
{
	// What a back end has run is known to itself alone, so it is only paused or cut off.
	if (soak_role::back_end == _role)
	{
		return _random.chance(0.3) ? soak_action::pause : soak_action::link;
	}
	constexpr soak_action kActions[] = {soak_action::kill, soak_action::pause, soak_action::restart, soak_action::link,
										soak_action::link};
	return kActions[_random.below(std::size(kActions))];
}

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
	}
	return "unknown";
}

std::vector<soak_step> drawPlan(uint64_t _seed, std::span<const soak_target> _targets, const soak_shape& _shape)
{
	base::RandomSource random(_seed);
	harmed_targets harmed(_targets, _shape.controllersAtOnce);
	std::vector<soak_step> plan;
	int atMs = 0;
	while (true)
	{
		atMs += 1 + static_cast<int>(random.below(2 * static_cast<uint64_t>(_shape.meanGapMs)));
		soak_step step;
		step.atMs = atMs;
		const auto longest = static_cast<uint64_t>(_shape.longestFaultMs - kShortestFaultMs);
		step.forMs = kShortestFaultMs + static_cast<int>(random.below(longest));
		if (atMs + step.forMs > _shape.durationMs)
		{
			return plan;
		}
		const auto& target = _targets[random.below(_targets.size())];
		step.target = target.name;
		step.action = drawAction(random, target.role);
		step.fault = soak_action::link == step.action ? kLinkFaults[random.below(std::size(kLinkFaults))] : step.fault;
		step.delayMs = 1 + static_cast<int>(random.below(kLongestDelayMs));
		if (harmed.free(target, atMs))
		{
			harmed.take(target, atMs + step.forMs);
			plan.push_back(step);
		}
	}
}

std::string textOf(const soak_step& _step)
{
	const auto what = soak_action::link == _step.action ? nameOf(_step.fault) : nameOf(_step.action);
	return fmt::format("{} ms: {} {} for {} ms", _step.atMs, what, _step.target, _step.forMs);
}

}  // namespace driftlug::soak
