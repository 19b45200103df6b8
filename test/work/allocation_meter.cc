#include "allocation_meter.h"

#include <cstdlib>
#include <new>

namespace driftlug::test
{
namespace
{
constexpr double kMicrosecondsPerAllocation = 0.25;
constexpr double kMicrosecondsPerKib = 1;
constexpr double kBytesPerKib = 1024;

allocations g_allocations;

}  // namespace

allocations currentAllocations()
{
	return g_allocations;
}

base::Duration allocation_meter::operator()()
{
	const auto now = currentAllocations();
	const auto count = static_cast<double>(now.count - m_before.count);
	const auto kib = static_cast<double>(now.bytes - m_before.bytes) / kBytesPerKib;
	m_before = now;
	return base::microsecondsOf((count * kMicrosecondsPerAllocation + kib * kMicrosecondsPerKib) / m_share);
}

}  // namespace driftlug::test

void* operator new(std::size_t _size)
{
	++driftlug::test::g_allocations.count;
	driftlug::test::g_allocations.bytes += _size;
	if (void* memory = std::malloc(_size))
	{
		return memory;
	}
	throw std::bad_alloc();
}

void operator delete(void* _memory) noexcept
{
	std::free(_memory);
}

void operator delete(void* _memory, std::size_t) noexcept
{
	std::free(_memory);
}
