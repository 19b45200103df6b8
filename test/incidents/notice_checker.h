/// Checks at the back ends of a fleet whether their notices are followed.
#ifndef DRIFTLUG_TEST_INCIDENTS_NOTICE_CHECKER_H_HEADER_GUARD
#define DRIFTLUG_TEST_INCIDENTS_NOTICE_CHECKER_H_HEADER_GUARD

#include <map>
#include <string>
#include <vector>

#include "crash_fleet.h"

namespace driftlug::test
{
/// Counts the requests that reach back ends from nodes that had passed on a notice of the back end to a caller.
class notice_checker
{
public:
	explicit notice_checker(crash_fleet& _fleet);

	/// Makes a back end name a rate limit in its responses from now on; none if _value is empty. Ignored while it is
	/// down.
	void advertiseRate(size_t _backEnd, const std::string& _value);

	/// Makes a back end say in its responses from now on that it is shutting down. Ignored while
	/// it is down.
	void leave(size_t _backEnd);

	/// Crashes a back end, which restarts without notices.
	void crash(size_t _backEnd);

	/// Kills a node and starts it again; it is no longer expected to know what it passed on before.
	/// Ignored while it is down.
	void restartNode(size_t _node, base::Duration _downFor);

	/// @returns Largest number of arrivals within four seconds, from _since on, of requests that began at nodes that
	/// had passed on the rate limit half a second earlier.
	size_t mostInFourSeconds(size_t _backEnd, base::Duration _since) const;

	/// @returns Largest number of arrivals that a rate allows within four seconds.
	static size_t allowedInFourSeconds(double _ratePerS);

	/// @returns The most by which the arrivals within four seconds, counted as above, exceed what the advertised rates
	/// of that time allow, over all back ends; windows begin three seconds after a limit began, and end before it does.
	double worstExcess() const;

	/// @returns Number of arrivals that callers had sent more than two seconds after their node had passed on that the
	/// back end is leaving.
	size_t arrivalsAfterLeaving() const
	{
		return m_arrivalsAfterLeaving;
	}

private:
	struct attempt
	{
		base::TimePoint sentAt;
		size_t node = 0;
	};

	/// First answer with a notice that a node passed on, by node and back end.
	using passed_notices = std::map<std::pair<size_t, size_t>, base::TimePoint>;

	/// A rate from a time on; none if it is 0.
	struct rate_change
	{
		base::TimePoint time;
		double perSecond = 0;
	};

	double allowedFrom(const std::vector<rate_change>& _rates, base::TimePoint _first) const;
	void onAnswer(size_t _node, const node::CallAnswer& _answer);
	void onArrival(const back_end_event& _arrival);

	crash_fleet& m_fleet;
	std::map<std::string, attempt> m_attempts;  //!< Last attempt, by path.
	passed_notices m_ratesPassed;
	passed_notices m_leavingPassed;
	std::map<size_t, std::vector<base::TimePoint>> m_limitedArrivals;  //!< By back end.
	size_t m_arrivalsAfterLeaving = 0;
	std::map<size_t, std::vector<rate_change>> m_rates;  //!< By back end.
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_INCIDENTS_NOTICE_CHECKER_H_HEADER_GUARD
