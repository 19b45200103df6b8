/// Load that a back end reported last, and the pace that follows from its reports.
#ifndef DRIFTLUG_OVERLOAD_REPORTED_LOAD_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_REPORTED_LOAD_H_HEADER_GUARD

#include <array>
#include <deque>
#include <optional>

#include "base/time.h"
#include "overload/load_report.h"

namespace driftlug::overload
{
/// Tracks the load reports of one start of a back end.
///
/// Load pattern: the back end shares its machine and is a few times slower for some hundred milliseconds at a time.
/// Responses of concurrent requests overtake each other, so a report counts only if its request was sent no earlier
/// than that of the report counted last.
///
/// The pace is the factor by which work takes longer than usual, 1 for as usual. A reported pace holds for the usual
/// span of its kind, slow or not, and then returns to the mean pace within a further span: a back end that gets no
/// requests reports nothing, and must not be taken to be slow for long.
class reported_load
{
public:
	/// After this time without a report, the load is unknown. A busy back end reports many times a second and a health
	/// check is made four times a second, so that one this silent is idle or has stopped to report.
	static constexpr base::Duration kStaleAfter = base::seconds(5);
	/// Factor between two paces that counts as a change. A back end reports whole percents, which vary slightly.
	static constexpr double kNotableChange = 1.2;

	/// Handles a report.
	/// @param[in] _sentAt When the request was sent to whose response the report belongs.
	/// @returns Whether it counts; false if it is older than one that was counted, or belongs to an earlier start.
	bool onReport(const load_report& _report, base::TimePoint _sentAt, base::TimePoint _now);

	/// Forgets all reports, since the back end has restarted. Reports of requests sent before now don't count.
	void reset(base::TimePoint _now);

	/// @returns The report counted last; nullopt if there is none or it is stale.
	std::optional<load_report> current(base::TimePoint _now) const;

	/// @returns Time since the report counted last; nullopt if there is none or it is stale.
	std::optional<base::Duration> age(base::TimePoint _now) const;

	/// @returns The pace of work that starts now; 1 if the back end reports none.
	double pace(base::TimePoint _now) const;

	/// @returns The time that work would have taken at the usual pace.
	/// @param[in] _from Start of the work.
	/// @param[in] _to Its end, not later than now.
	base::Duration usualTime(base::TimePoint _from, base::TimePoint _to) const;

private:
	struct pace_interval
	{
		base::TimePoint from;
		double pace;
	};

	void onPace(double _pace, base::TimePoint _now);
	void addPace(base::TimePoint _from, double _pace);
	base::Duration expectedSpan(double _pace) const;
	bool isSlow(double _pace) const;

	std::optional<load_report> m_last;
	base::TimePoint m_reportedAt{};
	base::TimePoint m_sentAt{};         //!< Of the request of the last report, or the time of the last reset.
	std::deque<pace_interval> m_paces;  //!< Oldest first; bounded.
	base::TimePoint m_changedAt{};      //!< Last notable change of the pace.
	double m_meanPace = 1;
	/// Usual spans of a usual and of a slow pace. Before any is measured, half a second: shorter than a caller waits.
	std::array<base::Duration, 2> m_spans{base::milliseconds(500), base::milliseconds(500)};
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_REPORTED_LOAD_H_HEADER_GUARD
