/// Which kinds of calls are made by back ends, learned from where they come.
#ifndef DRIFTLUG_OVERLOAD_NESTED_CALL_DETECTOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_NESTED_CALL_DETECTOR_H_HEADER_GUARD

#include <compare>
#include <map>
#include <string>
#include <string_view>

namespace driftlug::overload
{
/// What an endpoint sees of a call's route; calls that are alike in it count as of one kind.
struct call_kind
{
	int priority = 0;
	int targetLatencyMs = 0;
	bool runOnce = false;

	auto operator<=>(const call_kind&) const = default;
};

/// Tells nested calls, which a back end makes for a call that it is running, from those of callers outside.
///
/// Callers outside are found beside the back ends of every service; a nested call comes only from beside those services
/// whose back ends make it. So a kind is nested when some service's nodes send none of it, though they send enough of
/// everything else that some should have come. With one service only, nothing can be told and nothing is nested.
class nested_call_detector
{
public:
	/// A call arrived.
	///
	/// @param[in] _kind What kind of call it is.
	/// @param[in] _service The service beside the node that sent it; a call without one is not counted.
	void onCall(const call_kind& _kind, std::string_view _service);

	/// @returns Whether calls of this kind are made by back ends, as far as can be told.
	bool nested(const call_kind& _kind) const;

private:
	using by_service = std::map<std::string, double, std::less<>>;

	struct kind_counts
	{
		by_service calls;
		double sum = 0;
	};

	void halveCounts();

	std::map<call_kind, kind_counts> m_kinds;
	double m_calls = 0;  //!< Sum over the kinds.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_NESTED_CALL_DETECTOR_H_HEADER_GUARD
