/// Rate limit that a back end advertises in its responses.
#ifndef DRIFTLUG_BACKPRESSURE_ADVERTISED_RATE_H_HEADER_GUARD
#define DRIFTLUG_BACKPRESSURE_ADVERTISED_RATE_H_HEADER_GUARD

#include <optional>

#include "base/time.h"

namespace driftlug::backpressure
{
struct backend_notice;

/// Tracks the limit in force of one start of a back end. A limit holds until a response does not name it.
///
/// Responses to concurrent requests can overtake each other, so a response that names no limit or a higher one counts
/// only if its request was sent after the limit in force was last named. A lower limit counts at once.
class advertised_rate
{
public:
	/// Handles a response of the back end.
	/// @param[in] _sentAt When its request was sent.
	/// @param[in] _now When it arrived.
	/// @returns Whether the limit in force changed.
	bool onResponse(const backend_notice& _notice, base::TimePoint _sentAt, base::TimePoint _now);

	/// Handles a limit that was learned otherwise than from a response to this process. It counts only until the first
	/// such response.
	/// @returns Whether the limit in force changed.
	bool onHint(double _ratePerS, base::TimePoint _now);

	/// @returns The limit in force, in requests per second; nullopt if there is none.
	std::optional<double> ratePerS() const
	{
		return m_ratePerS;
	}

	/// @returns When the limit in force was last named.
	base::TimePoint namedAt() const
	{
		return m_namedAt;
	}

private:
	bool set(std::optional<double> _ratePerS, base::TimePoint _now);

	std::optional<double> m_ratePerS;
	base::TimePoint m_namedAt{};  //!< When the limit in force was last named.
	bool m_hasResponse = false;
};

}  // namespace driftlug::backpressure

#endif  // DRIFTLUG_BACKPRESSURE_ADVERTISED_RATE_H_HEADER_GUARD
