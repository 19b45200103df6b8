/// Plans the faults of a soak, drawn from a seed.
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
/// Fault or signal applied to a process or to the link to it.
enum class soak_action
{
	kill,        //!< SIGKILL; restarted when the fault ends.
	pause,       //!< SIGSTOP, then SIGCONT.
	restart,     //!< SIGTERM; restarted when the fault has ended and the process has exited.
	link,        //!< A link fault.
	reload,      //!< SIGHUP, at any time, also during a stop.
	stop_again,  //!< SIGTERM to a process that is already stopping.
	edit_storm,  //!< Edits in quick succession; affects no process directly.
};

/// Role of a process, which determines the applicable faults.
enum class soak_role
{
	controller,
	relay,
	node,
	entry,  //!< A node that accepts connections from callers, which bypass the fault proxy.
	back_end,
};

/// A process that faults may be applied to.
struct soak_target
{
	std::string name;
	soak_role role;
};

/// Placeholder for the controller that is the leader when the fault starts.
inline constexpr std::string_view kLeaderTarget = "(leader)";

/// Placeholder for a controller that is not the leader.
inline constexpr std::string_view kFollowerTarget = "(follower)";

/// A fault of one process, or a signal to it.
struct soak_step
{
	int atMs = 0;   //!< Start, relative to the start of the soak.
	int forMs = 0;  //!< Duration.
	std::string target;
	soak_action action = soak_action::kill;
	link_fault fault = link_fault::none;  //!< Only for `soak_action::link`.
	int delayMs = 0;                      //!< Only for `link_fault::delay`.
	int bytesPerSecond = 0;               //!< Only for `link_fault::throttle`.
};

/// Intensity of a random plan.
struct plan_options
{
	int durationMs = 60'000;  //!< Duration of the plan; all faults end within it.
	int meanGapMs = 700;      //!< Mean time between the starts of two faults.
	int maxFaultMs = 6'000;
	int maxFaultyControllers = 1;  //!< Controllers with a fault at the same time, except for disturbed elections.
};

/// @returns The name of an action in reports.
std::string_view nameOf(soak_action _action);

/// @returns Whether a process may become unresponsive or exit during an action.
bool isDisruptive(soak_action _action);

/// Draws a plan. Equal seeds, targets and shapes give equal plans.
///
/// Faults overlap: a process and the link to it may have faults at the same time, a stopping process may get a second
/// SIGTERM or a SIGHUP, all nodes may stop one after another, and a controller may restart during the election of the
/// successor of another one.
///
/// @returns Steps in order of their start. No process is stopped or paused by two overlapping steps, and no link has
/// two overlapping faults.
std::vector<soak_step> drawPlan(uint64_t _seed, std::span<const soak_target> _targets, const plan_options& _options);

/// @returns A plan that stops every node in turn, twice, and edits the table throughout.
/// @param[in] _gapMs Time between the stops of two nodes.
std::vector<soak_step> rollingPlan(std::span<const soak_target> _targets, int _gapMs);

/// @returns The end of the last fault of a plan, in milliseconds from its start.
int planEndMs(std::span<const soak_step> _plan);

/// @returns The description of a step in reports, as one line.
std::string textOf(const soak_step& _step);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_SOAK_PLAN_H_HEADER_GUARD
