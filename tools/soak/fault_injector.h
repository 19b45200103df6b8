/// Brings faults about and ends them.
#ifndef DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD
#define DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD

#include <memory>

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

/// Signals to processes that the fleet has started.
std::unique_ptr<fault_injector> makeProcessFaults(tools::Fleet& _fleet);

/// Faults of the links before processes.
std::unique_ptr<fault_injector> makeLinkFaults(tools::Fleet& _fleet);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_FAULT_INJECTOR_H_HEADER_GUARD
