#include "descriptors/descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>

namespace driftlug::descriptors
{
namespace
{
constexpr size_t kCallersDivisor = 2;
constexpr size_t kAcceptedDivisor = 5;
constexpr size_t kLinksDivisor = 5;
constexpr size_t kBackendDivisor = 10;

/// Assumed if the process limit is unlimited or can't be read; the default soft limit of Linux.
constexpr size_t kDefaultLimit = 1024;

size_t shareOf(size_t _descriptors, size_t _divisor)
{
	return std::max<size_t>(1, _descriptors / _divisor);
}

}  // namespace

descriptor_shares shareDescriptors(size_t _limit)
{
	const size_t reserve = std::min(kReservedDescriptors, _limit / kReserveDivisor);
	const size_t left = _limit - reserve;
	descriptor_shares shares;
	shares.callers = shareOf(left, kCallersDivisor);
	shares.accepted = shareOf(left, kAcceptedDivisor);
	shares.links = shareOf(left, kLinksDivisor);
	shares.backend = shareOf(left, kBackendDivisor);
	return shares;
}

size_t processLimit()
{
	rlimit limit{};
	const bool known = 0 == ::getrlimit(RLIMIT_NOFILE, &limit);
	return known && RLIM_INFINITY != limit.rlim_cur ? static_cast<size_t>(limit.rlim_cur) : kDefaultLimit;
}

}  // namespace driftlug::descriptors
