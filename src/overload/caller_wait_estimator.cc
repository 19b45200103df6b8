#include "overload/caller_wait_estimator.h"

#include <algorithm>

namespace driftlug::overload
{
namespace
{
/// Width of a bucket, in milliseconds; first requests differ by their network delay.
constexpr int kBucketMs = 8;
/// Total count at which all counts are halved, so that old calls lose weight.
constexpr double kDecayCalls = 128;
/// Minimum share of calls in a bucket for its value to be taken as that of first requests. The values of retries are
/// spread widely, so first requests are the peak even if they are few.
constexpr double kMinBucketShare = 0.1;
/// Buckets with a smaller count are removed.
constexpr double kMinCount = 0.3;

}  // namespace

int caller_wait_estimator::onCall(int _deadlineMs)
{
	if (0 >= _deadlineMs)
	{
		return 0;
	}

	if (kDecayCalls <= m_calls)
	{
		halveCounts();
	}

	bucket& stated = m_buckets[_deadlineMs / kBucketMs];
	stated.calls += 1;
	stated.longestMs = std::max(stated.longestMs, _deadlineMs);
	m_calls += 1;
	return std::max(0, typicalDeadlineMs() - _deadlineMs);
}

int caller_wait_estimator::typicalDeadlineMs() const
{
	const bucket* usual = nullptr;
	for (const auto& [time, stated] : m_buckets)
	{
		if (nullptr == usual || usual->calls <= stated.calls)
		{
			usual = &stated;
		}
	}

	const bool standsOut = nullptr != usual && kMinBucketShare * m_calls <= usual->calls;
	return standsOut ? usual->longestMs : 0;
}

void caller_wait_estimator::halveCounts()
{
	m_calls = 0;
	for (auto it = m_buckets.begin(); m_buckets.end() != it;)
	{
		it->second.calls /= 2;
		m_calls += it->second.calls;
		it = kMinCount > it->second.calls ? m_buckets.erase(it) : std::next(it);
	}
}

}  // namespace driftlug::overload
