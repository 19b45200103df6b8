/// Bounds how long a kind of request usually takes.
#ifndef DRIFTLUG_OVERLOAD_LATENCY_BOUND_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_LATENCY_BOUND_H_HEADER_GUARD

#include <optional>

#include "base/time.h"

namespace driftlug::overload
{
/// Upper bound of the latency of the next request, from those of earlier ones.
///
/// Load pattern: latencies vary, and their level changes within a day. The bound is the mean plus four mean deviations,
/// with the weights of the retransmission timer of TCP (RFC 6298). Unlike that timer it begins without a deviation,
/// since a bound that is too high rejects requests that could be served. One request is enough to follow a higher
/// level.
class latency_bound
{
public:
	/// Records a request that has ended.
	void record(base::Duration _latency);

	/// @returns The bound; nullopt before the first request has ended.
	std::optional<base::Duration> bound() const;

private:
	bool m_known = false;
	double m_meanUs = 0;
	double m_deviationUs = 0;  //!< Mean absolute deviation.
};

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_LATENCY_BOUND_H_HEADER_GUARD
