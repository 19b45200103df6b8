/// How long the callers of a route wait, learned from what they say.
#ifndef DRIFTLUG_OVERLOAD_CALLER_WAIT_ESTIMATOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_CALLER_WAIT_ESTIMATOR_H_HEADER_GUARD

#include <map>

namespace driftlug::overload
{
/// Tells callers that ask for the first time from those that come back after a refusal.
///
/// A caller states what is left of its time. Most first requests of a route state the same; whoever states less has
/// waited for the difference already. The time stated most often is taken for that of first requests, so a few callers
/// with more patience change nothing. Where no time stands out, nobody is held to have waited.
class caller_wait_estimator
{
public:
	/// A call arrived.
	///
	/// @param[in] _deadlineMs What is left of its caller's time, in milliseconds; 0 when the caller does not say.
	/// @returns How long its caller has waited already, in milliseconds; 0 when that can't be told.
	int onCall(int _deadlineMs);

	/// @returns The time that first requests state, in milliseconds; 0 while none stands out.
	int typicalDeadlineMs() const;

private:
	/// Calls that stated about the same time.
	struct bucket
	{
		double calls = 0;
		int longestMs = 0;  //!< The longest time stated.
	};

	void halveCounts();

	std::map<int, bucket> m_buckets;  //!< By stated time, in units of kBucketMs.
	double m_calls = 0;               //!< Sum over the buckets.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_CALLER_WAIT_ESTIMATOR_H_HEADER_GUARD
