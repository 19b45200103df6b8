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
	kill,        //!< SIGKILL; started again when the fault ends.
	pause,       //!< SIGSTOP, then SIGCONT.
	restart,     //!< SIGTERM; started again when the fault ends, once it has ended.
	link,        //!< A link fault.
	reload,      //!< SIGHUP, at any time, also during a stop.
	stop_again,  //!< SIGTERM to a process that stops already.
	edit_storm,  //!< One change after another; of no process.
};

/// Part that a process plays; decides what may happen to it.
enum class soak_role
{
	controller,
	relay,
	node,
	entry,  //!< A node that callers have connections to; their links have no proxy.
	back_end,
};

/// A process that may be harmed.
struct soak_target
{
	std::string name;
	soak_role role;
};

/// Stands for whichever controller leads when the fault begins.
inline constexpr std::string_view kLeaderTarget = "(leader)";

/// Stands for some controller that doesn't.
inline constexpr std::string_view kFollowerTarget = "(follower)";

/// One fault on one process.
struct soak_step
{
	int atMs = 0;
	int forMs = 0;
	std::string target;
	soak_action action = soak_action::kill;
	link_fault fault = link_fault::none;  //!< With `soak_action::link`.
	int delayMs = 0;                      //!< With `link_fault::delay`.
	int bytesPerSecond = 0;               //!< With `link_fault::throttle`.
};

/// How much goes wrong.
struct plan_options
{
	int durationMs = 60'000;  //!< Time in which faults begin and end.
	int meanGapMs = 700;      //!< Between the beginnings of two faults.
	int maxFaultMs = 6'000;
	int maxFaultyControllers = 1;  //!< Controllers harmed at one time at most, but for elections that are disturbed.
};

/// Name of an action, as in reports.
std::string_view nameOf(soak_action _action);

/// @returns Whether an action harms its process, so that it may be silent or end meanwhile.
bool isDisruptive(soak_action _action);

/// Draws a plan. Equal seeds, targets and shapes give equal plans.
///
/// Faults overlap: a process and the link to it may be harmed at once, a process that stops is told so again and told
/// to reload, all nodes stop one after another, and a controller restarts while another one's end is dealt with.
///
/// @returns Steps in order of their beginning; no process is ended or paused twice at once, and no link is harmed
/// twice at once.
std::vector<soak_step> drawPlan(uint64_t _seed, std::span<const soak_target> _targets, const plan_options& _options);

/// Stops every node in turn, twice, and changes the table throughout.
/// @param[in] _gapMs Between the stops of two nodes.
std::vector<soak_step> rollingPlan(std::span<const soak_target> _targets, int _gapMs);

/// @returns When the last fault of a plan ends.
int planEndMs(std::span<const soak_step> _plan);

/// One line for a step, as in reports.
std::string textOf(const soak_step& _step);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_SOAK_PLAN_H_HEADER_GUARD
