/// Estimates how long large responses occupy a slow link.
#ifndef DRIFTLUG_OVERLOAD_RESPONSE_TRANSFER_ESTIMATOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_RESPONSE_TRANSFER_ESTIMATOR_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "overload/nested_call_detector.h"

namespace driftlug::overload
{
/// Tracks the typical response size of each kind of call and estimates the transfer time of further responses.
///
/// Responses that a link can't transmit in time queue in front of it and delay everything else that the machine sends.
/// This includes acknowledgements of new table versions, so that the node falls behind the table. Callers of this class
/// therefore refuse a call early, before its back end has produced the response.
class response_transfer_estimator
{
public:
	/// @param[in] _bytesPerSecond Bandwidth of the link; 0 if unknown, which makes every transfer time 0.
	explicit response_transfer_estimator(int64_t _bytesPerSecond)
		: m_bytesPerSecond(_bytesPerSecond)
	{
	}

	/// Records the response of a back end to a call.
	///
	/// @param[in] _kind Kind of the call.
	/// @param[in] _bytes Size of the response body.
	void onResponse(const call_kind& _kind, size_t _bytes);

	/// @returns Whether responses to calls of a kind take more than a negligible time on this link.
	bool isLarge(const call_kind& _kind) const;

	/// @returns Average size of the responses to calls of a kind, in bytes; 0 before the first response.
	int64_t typicalBytes(const call_kind& _kind) const;

	/// @returns Time that the link needs to transmit a number of bytes; 0 if its bandwidth is unknown.
	base::Duration transferTime(int64_t _bytes) const;

private:
	int64_t m_bytesPerSecond;
	std::map<call_kind, double> m_typicalBytes;  //!< Moving averages.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_RESPONSE_TRANSFER_ESTIMATOR_H_HEADER_GUARD
