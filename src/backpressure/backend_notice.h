/// What a back end says about its own state in the headers of its responses.
#ifndef DRIFTLUG_BACKPRESSURE_BACKEND_NOTICE_H_HEADER_GUARD
#define DRIFTLUG_BACKPRESSURE_BACKEND_NOTICE_H_HEADER_GUARD

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace driftlug::wire
{
class HttpHeader;
}

namespace driftlug::backpressure
{
/// Names of the response headers, in lower case; none for a notice that the back ends do not send.
struct notice_headers
{
	std::vector<std::string>
		rateLimit;                     //!< Hold the requests per second that the back end accepts, as a decimal number.
	std::vector<std::string> leaving;  //!< "1" while the back end is shutting down.
};

/// Notices of one response.
struct backend_notice
{
	std::optional<double> ratePerS;  //!< Accepted requests per second from all callers together; unset for no limit.
	std::optional<std::string>
		unreadableLimit;   //!< Start of a limit that is no number of requests, without a valid one.
	bool leaving = false;  //!< The back end is shutting down.
};

/// Reads the notices of a response. The lowest of several limits counts.
backend_notice readNotice(std::span<const wire::HttpHeader> _headers, const notice_headers& _names);

/// @returns Whether a header holds a notice.
bool isNotice(const wire::HttpHeader& _header, const notice_headers& _names);

}  // namespace driftlug::backpressure

#endif  // DRIFTLUG_BACKPRESSURE_BACKEND_NOTICE_H_HEADER_GUARD
