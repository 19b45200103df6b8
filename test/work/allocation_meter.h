/// Work as the heap allocations that it makes: the same on any machine, at any load.
#ifndef DRIFTLUG_TEST_WORK_ALLOCATION_METER_H_HEADER_GUARD
#define DRIFTLUG_TEST_WORK_ALLOCATION_METER_H_HEADER_GUARD

#include <cstdint>

#include "base/time.h"

namespace driftlug::test
{
/// Counts since the start of the process; a program that links this counts all its allocations.
struct allocations
{
	uint64_t count = 0;
	uint64_t bytes = 0;
};

allocations currentAllocations();

/// Tells the processor time that work would take on a share of a processor.
class allocation_meter
{
public:
	/// @param[in] _share Of a whole processor.
	explicit allocation_meter(double _share)
		: m_share(_share)
	{
	}

	/// @returns For the work done since it was last asked.
	base::Duration operator()();

private:
	double m_share;
	allocations m_before;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_WORK_ALLOCATION_METER_H_HEADER_GUARD
