/// Predicts how long a back end runs a request, by the kind of the request and the pace of the back end.
#ifndef DRIFTLUG_OVERLOAD_SERVICE_TIME_PREDICTOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_SERVICE_TIME_PREDICTOR_H_HEADER_GUARD

#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "overload/nested_call_detector.h"

namespace driftlug::overload
{
/// Learns the service times of one back end at its usual pace.
///
/// Load pattern: kinds whose service times differ by an order of magnitude share the slots of a back end, and its
/// speed differs from that of others. One mean for all kinds is off by a multiple for each of them.
class service_time_predictor
{
public:
	/// Identifies a kind within a predictor.
	using kind_id = int;

	/// Kinds beyond this number share one prediction, so that memory is bounded. A deployment has a few per service.
	static constexpr size_t kMaxKinds = 64;

	/// @returns Id of a kind; it stays the same.
	kind_id idOf(const call_kind& _kind);

	/// Records a run that has ended.
	/// @param[in] _usualTime Time that it would have taken at the usual pace.
	void onRun(const call_kind& _kind, base::Duration _usualTime);

	/// @returns Predicted time of a run that starts now; nullopt before the first run of its kind.
	/// @param[in] _pace Factor by which work takes longer than usual.
	std::optional<base::Duration> runTime(const call_kind& _kind, double _pace) const;

	/// @returns As runTime(), for a kind of which an id was made; the mean over all kinds before its first run.
	base::Duration holdTime(kind_id _kind, double _pace) const;

	/// @returns Predicted rest of a run. A run that takes longer than predicted is expected to take longer by a further
	/// mean deviation of its kind.
	/// @param[in] _elapsed Time for which it has run, at the usual pace.
	base::Duration restTime(const call_kind& _kind, base::Duration _elapsed, double _pace) const;

	/// @returns Mean absolute deviation of the times of a kind, or of all kinds before its first run.
	base::Duration deviation(const call_kind& _kind, double _pace) const;

private:
	struct estimate
	{
		int runs = 0;
		double meanUs = 0;
		double deviationUs = 0;  //!< Mean absolute deviation from the mean.

		void add(double _us);
	};

	const estimate& estimateOf(const call_kind& _kind) const;
	const estimate& learned(const estimate& _estimate) const;

	std::map<call_kind, kind_id> m_ids;
	std::vector<estimate> m_estimates = std::vector<estimate>(1);  //!< By id; the first is shared by further kinds.
	estimate m_all;                                                //!< Over all kinds.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_SERVICE_TIME_PREDICTOR_H_HEADER_GUARD
