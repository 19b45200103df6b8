/// Brings faults about and ends them.
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

/// One way to bring faults about.
class fault_injector
{
public:
	virtual ~fault_injector() = default;

	/// Puts the fault of a step in force.
	virtual void begin(const soak_step& _step) = 0;

	/// Ends it.
	virtual void end(const soak_step& _step) = 0;
};

/// Faults of processes. An ended process is started again as soon as it is gone, which may be later than its fault
/// ends.
class process_fault_injector : public fault_injector
{
public:
	/// Starts what is due.
	/// @param[out] _started Names of processes that run again, once for each fault that had ended them.
	/// @returns What is wrong: a planned stop that took too long or failed. Empty when nothing is.
	virtual std::string poll(std::vector<std::string>* _started) = 0;

	/// The next planned stop comes to a process that never was ready in this life: it may end by the signal alone, as
	/// it may not deal with signals yet.
	virtual void expectEarlyStop(const std::string& _name) = 0;

	/// @returns Whether every process runs again whose fault has ended.
	virtual bool allRestarted() const = 0;
};

/// Signals to processes that the fleet has started.
/// @param[in] _stopByKill Whether a planned stop kills, to prove that the checks trip.
std::unique_ptr<process_fault_injector> makeProcessFaultInjector(tools::Fleet& _fleet, bool _stopByKill);

/// Faults of the links before processes.
std::unique_ptr<fault_injector> makeLinkFaultInjector(tools::Fleet& _fleet);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD
