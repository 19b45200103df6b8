/// Injects faults into processes and links.
#ifndef DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD
#define DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD

#include <memory>
#include <string>
#include <vector>

namespace driftlug::tools
{
class Fleet;
}

namespace driftlug::soak
{
struct soak_step;

/// Injects one class of faults.
class fault_injector
{
public:
	virtual ~fault_injector() = default;

	/// Starts the fault of a step.
	virtual void begin(const soak_step& _step) = 0;

	/// Ends the fault of a step.
	virtual void end(const soak_step& _step) = 0;
};

/// Injects faults into processes. A stopped process is restarted once it has exited, which may be after the end of its
/// fault.
class process_fault_injector : public fault_injector
{
public:
	/// Restarts the processes that are due.
	/// @param[out] _started Names of restarted processes, once for each fault that had stopped them.
	/// @returns A description of a planned stop that timed out or failed; empty if there is none.
	virtual std::string poll(std::vector<std::string>* _started) = 0;

	/// Announces that the next planned stop hits a process that has not been ready since its start. The signal may
	/// terminate it directly, because its signal handlers may not be installed yet.
	virtual void expectEarlyStop(const std::string& _name) = 0;

	/// @returns Whether all stopped processes have been restarted.
	virtual bool allRestarted() const = 0;
};

/// Creates an injector that sends signals to the processes of a fleet.
/// @param[in] _stopByKill Whether planned stops send SIGKILL, to verify that the checks fail.
std::unique_ptr<process_fault_injector> makeProcessFaultInjector(tools::Fleet& _fleet, bool _stopByKill);

/// Creates an injector that sets faults of the fault proxy's links.
std::unique_ptr<fault_injector> makeLinkFaultInjector(tools::Fleet& _fleet);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD
