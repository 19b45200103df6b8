/// Detects which kinds of calls are made by back ends, from the services that the calls come from.
#ifndef DRIFTLUG_OVERLOAD_NESTED_CALL_DETECTOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_NESTED_CALL_DETECTOR_H_HEADER_GUARD

#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace driftlug::overload
{
/// Properties of a call's route that are visible to an endpoint; calls with equal properties are of one kind.
struct call_kind
{
	int priority = 0;
	int targetLatencyMs = 0;
	bool runOnce = false;

	auto operator<=>(const call_kind&) const = default;
};

/// Distinguishes nested calls, which a back end makes while it runs a call, from calls of external callers.
///
/// External callers send through the nodes of every service, nested calls come only from the nodes of the services
/// whose back ends make them. A kind is therefore classified as nested if the nodes of some service send none of it,
/// although their share of all other calls implies that some should have arrived. With a single service there is no
/// evidence, and nothing is classified as nested.
class nested_call_detector
{
public:
	/// Records a received call.
	///
	/// @param[in] _kind Kind of the call.
	/// @param[in] _service Service of the back end of the sending node; a call without a service is not counted.
	void onCall(const call_kind& _kind, std::string_view _service);

	/// @returns Whether the recorded calls show that this kind is made by back ends; false without enough evidence.
	bool isNested(const call_kind& _kind) const;

private:
	using by_service = std::map<std::string, double, std::less<>>;

	struct kind_counts
	{
		by_service calls;
		double sum = 0;
	};

	void halveCounts();

	std::map<call_kind, kind_counts> m_kinds;
	double m_calls = 0;  //!< Total over all kinds.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_NESTED_CALL_DETECTOR_H_HEADER_GUARD
