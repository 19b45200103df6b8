/// Estimates how long the callers of a route have been waiting, from the deadlines that they send.
#ifndef DRIFTLUG_OVERLOAD_CALLER_WAIT_ESTIMATOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_CALLER_WAIT_ESTIMATOR_H_HEADER_GUARD

#include <map>

namespace driftlug::overload
{
/// Distinguishes first requests from retries after a refusal.
///
/// A caller sends its remaining time. Most first requests of a route send the same value; a caller that sends less has
/// already waited for the difference. The most frequent value is taken as that of first requests, so a few callers with
/// longer deadlines have no effect. If no value is frequent enough, no caller is considered to have waited.
class caller_wait_estimator
{
public:
	/// Records a received call.
	///
	/// @param[in] _deadlineMs Remaining time of the caller, in milliseconds; 0 if the caller sent none.
	/// @returns How long the caller has already waited, in milliseconds; 0 if unknown.
	int onCall(int _deadlineMs);

	/// @returns Remaining time that first requests send, in milliseconds; 0 if no value is frequent enough.
	int typicalDeadlineMs() const;

private:
	/// Calls with about the same remaining time.
	struct bucket
	{
		double calls = 0;
		int longestMs = 0;  //!< Longest remaining time in this bucket.
	};

	void halveCounts();

	std::map<int, bucket> m_buckets;  //!< By remaining time, in units of kBucketMs.
	double m_calls = 0;               //!< Total over all buckets.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_CALLER_WAIT_ESTIMATOR_H_HEADER_GUARD
