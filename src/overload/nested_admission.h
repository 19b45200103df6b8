/// Admission of outer requests at a node whose back end makes nested calls.
#ifndef DRIFTLUG_OVERLOAD_NESTED_ADMISSION_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_NESTED_ADMISSION_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace driftlug::overload
{
/// How a nested call ended, as evidence of the capacity of the service that it went to.
enum class nested_outcome
{
	served,
	refused_for_capacity,  //!< Refused by a node, not by a back end.
	other,                 //!< Failed, abandoned, or refused for another reason; no evidence of capacity.
};

/// Decides which share of the outer requests goes on to the back end.
///
/// Load pattern: services that wait for one another, of which one has no capacity. Outer requests then hold slots in
/// front until their nested calls are refused: the work that they have done is lost, and the slots are missing to
/// requests that could be served.
///
/// Every kInterval, the share falls in proportion to the nested calls that were refused for lack of capacity, or rises
/// if they were served. While the share is below 1, nested calls in flight, and with them the slots that wait for them,
/// are bounded too: by Little's law, at twice the product of the calls served a second and the time that a call takes
/// without refusals. More calls in flight than that only wait.
class nested_admission
{
public:
	/// Interval at which the share changes; about the time of a nested call, so that a change shows its effect before
	/// the next one.
	static constexpr base::Duration kInterval = base::milliseconds(100);
	/// Share that is always admitted, so that a recovery is seen.
	static constexpr double kMinShare = 0.1;

	explicit nested_admission(const base::TimeSource& _time);

	/// Records that the back end began a nested call.
	void onNestedBegan();

	/// Records the end of a nested call that was recorded as begun.
	///
	/// @param[in] _latency From its begin to its end.
	void onNestedEnded(nested_outcome _outcome, base::Duration _latency);

	/// Decides about an outer request. At least one is admitted in each kInterval.
	bool admitOuter();

	/// @returns The admitted share, from kMinShare to 1.
	double share();

	/// @returns The time until the share is 1 again if no more nested calls are refused; 0 while it is 1.
	base::Duration recoveryTime();

	/// @returns The bound of nested calls in flight; 0 while there is none.
	int maxInFlight();

	int inFlight() const
	{
		return m_inFlight;
	}

private:
	void advance();
	void closeInterval();
	void raise();

	const base::TimeSource& m_time;
	base::TimePoint m_intervalEnd;
	int64_t m_served = 0;   //!< In this interval.
	int64_t m_refused = 0;  //!< In this interval.
	int m_quietIntervals = 0;
	double m_share = 1;
	size_t m_raises = 0;      //!< Intervals in a row in which the share rose.
	double m_credit = 0;      //!< Outer requests that may be admitted now, at most 1.
	double m_usualUs = 0;     //!< Moving average of the time of served calls while none are refused.
	double m_servedPerS = 0;  //!< Moving average over intervals.
	int m_inFlight = 0;
	base::TimePoint m_admittedAt{};
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_NESTED_ADMISSION_H_HEADER_GUARD
