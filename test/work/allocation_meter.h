/// Measures work by its heap allocations, which are the same on any machine and at any load.
#ifndef DRIFTLUG_TEST_WORK_ALLOCATION_METER_H_HEADER_GUARD
#define DRIFTLUG_TEST_WORK_ALLOCATION_METER_H_HEADER_GUARD

#include <cstdint>

#include "base/time.h"

namespace driftlug::test
{
/// Counts since the start of the process; a program that links this file counts all its allocations.
struct allocations
{
	uint64_t count = 0;
	uint64_t bytes = 0;
};

allocations currentAllocations();

/// Computes from allocations the time that work takes on a share of a processor.
class allocation_meter
{
public:
	/// @param[in] _share Share of a whole processor.
	explicit allocation_meter(double _share)
		: m_share(_share)
	{
	}

	/// @returns Time for the work done since the previous call.
	base::Duration operator()();

private:
	double m_share;
	allocations m_before;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_WORK_ALLOCATION_METER_H_HEADER_GUARD
