/// What a node has been told by back ends in the responses to its own requests.
#ifndef DRIFTLUG_BACKPRESSURE_ENDPOINT_NOTICES_H_HEADER_GUARD
#define DRIFTLUG_BACKPRESSURE_ENDPOINT_NOTICES_H_HEADER_GUARD

#include <map>
#include <optional>
#include <string>

#include "backpressure/advertised_rate.h"

namespace driftlug::backpressure
{
/// Remembers the rate limits of endpoints, whether or not they are still announced: the node beside a back end may have
/// restarted and forgotten them.
class endpoint_notices
{
public:
	explicit endpoint_notices(const base::TimeSource& _time)
		: m_time(_time)
	{
	}

	/// Handles a response of an endpoint's back end.
	/// @param[in] _sentAt When its request was sent.
	void onResponse(const std::string& _endpoint, const backend_notice& _notice, base::TimePoint _sentAt);

	/// @returns The rate limit that the endpoint's back end advertises, in requests per second; nullopt if none is
	/// known.
	std::optional<double> rateOf(const std::string& _endpoint) const;

	/// @returns Number of endpoints with a known rate limit.
	size_t rateLimited() const
	{
		return m_rates.size();
	}

private:
	void dropOldest();

	const base::TimeSource& m_time;
	std::map<std::string, advertised_rate> m_rates;  //!< Only of endpoints with a limit.
};

}  // namespace driftlug::backpressure

#endif  // DRIFTLUG_BACKPRESSURE_ENDPOINT_NOTICES_H_HEADER_GUARD
