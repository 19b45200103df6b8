/// What goes wrong during a soak, drawn from a seed.
#ifndef DRIFTLUG_SOAK_SOAK_PLAN_H_HEADER_GUARD
#define DRIFTLUG_SOAK_SOAK_PLAN_H_HEADER_GUARD

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "soak/link_fault.h"

namespace driftlug::soak
{
/// What is done to a process, or to the link to it.
enum class soak_action
{
	kill,     //!< SIGKILL; started again when the fault ends.
	pause,    //!< SIGSTOP, then SIGCONT.
	restart,  //!< SIGTERM; started again when the fault ends.
	link,     //!< A link fault.
};

/// Part that a process plays; decides what may happen to it.
enum class soak_role
{
	controller,
	relay,
	node,
	back_end,
};

/// A process that may be harmed.
struct soak_target
{
	std::string name;
	soak_role role;
};

/// One fault on one process.
struct soak_step
{
	int atMs = 0;
	int forMs = 0;
	std::string target;
	soak_action action = soak_action::kill;
	link_fault fault = link_fault::none;  //!< With `soak_action::link`.
	int delayMs = 0;                      //!< With `link_fault::delay`.
};

/// How much goes wrong.
struct soak_shape
{
	int durationMs = 60'000;  //!< Time in which faults begin and end.
	int meanGapMs = 700;      //!< Between the beginnings of two faults.
	int longestFaultMs = 6'000;
	int controllersAtOnce = 1;  //!< Controllers harmed at one time at most.
};

/// Name of an action, as in reports.
std::string_view nameOf(soak_action _action);

/// Draws a plan. Equal seeds, targets and shapes give equal plans.
/// @returns Steps in order of their beginning; no process is harmed twice at once.
std::vector<soak_step> drawPlan(uint64_t _seed, std::span<const soak_target> _targets, const soak_shape& _shape);

/// One line for a step, as in reports.
std::string textOf(const soak_step& _step);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_SOAK_PLAN_H_HEADER_GUARD
