/// Room of a narrow link for large answers.
#ifndef DRIFTLUG_OVERLOAD_RESPONSE_TRANSFER_ESTIMATOR_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_RESPONSE_TRANSFER_ESTIMATOR_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/time.h"
#include "overload/nested_call_detector.h"

namespace driftlug::overload
{
/// Learns how large the answers of each kind of call are, and tells how long another one would be on its way.
///
/// Answers that a link can't carry in time pile up in front of it, and with them all else that the machine sends: the
/// acknowledgements of new versions too, so that it falls behind the table. A call is refused while that costs nothing,
/// before its back end has made the answer.
class response_transfer_estimator
{
public:
	/// @param[in] _bytesPerSecond What the link carries; 0 where that is not known, and then there is always room.
	explicit response_transfer_estimator(int64_t _bytesPerSecond)
		: m_bytesPerSecond(_bytesPerSecond)
	{
	}

	/// A back end has answered a call.
	void onResponse(const call_kind& _kind, size_t _bytes);

	/// @returns Whether answers to calls of a kind are large enough to matter on this link.
	bool isLarge(const call_kind& _kind) const;

	/// @returns Usual size of the answer to a call of a kind, in bytes; 0 while none is known.
	int64_t typicalBytes(const call_kind& _kind) const;

	/// @returns How long it takes the link to carry so many bytes.
	base::Duration transferTime(int64_t _bytes) const;

private:
	int64_t m_bytesPerSecond;
	std::map<call_kind, double> m_typicalBytes;  //!< Moving averages.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_RESPONSE_TRANSFER_ESTIMATOR_H_HEADER_GUARD
