/// Records requests on persistent connections that got no complete response, and detects violations among them.
#ifndef DRIFTLUG_SOAK_CONNECTION_RECORD_H_HEADER_GUARD
#define DRIFTLUG_SOAK_CONNECTION_RECORD_H_HEADER_GUARD

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace driftlug::soak
{
/// Why a request got no complete response of a back end.
enum class request_end
{
	cut,      //!< Its connection closed, with no indication that the request was not read.
	partial,  //!< Its connection closed in the middle of the response.
	unread,   //!< An earlier response announced the close of the connection; later requests are not read.
	silent,   //!< The connection stayed open, and no response arrived in time.
	stopped,  //!< The server stopped, and answered in place of a back end that may be running the request.
};

/// A request without a complete response. Times are in microseconds of the monotonic clock.
struct unanswered_request
{
	std::string id;
	std::string target;  //!< Address of the server.
	request_end end = request_end::cut;
	bool keyed = false;  //!< Has an idempotency key; back ends record its runs.
	int64_t sentUs = 0;
	int64_t endedUs = 0;
	int64_t newestAnsweredSentUs = 0;  //!< Send time of the newest request that the target had answered by endedUs.
};

/// A time interval in which a fault affected a process, in microseconds of the monotonic clock.
struct fault_window
{
	int64_t fromUs = 0;
	int64_t untilUs = 0;
};

/// Decides whether a request without a complete response violates the guarantees of a server. Planned stops excuse
/// nothing.
///
/// A request that is in transit while the server closes its connection is no violation. It counts as read if the server
/// answered a request that was sent later: the event-loop iteration that read the later one could read this one as
/// well, since bytes on loopback are readable as soon as they are sent.
///
/// @param[in] _runs How often back ends ran the request, as far as they record it.
/// @param[in] _faults Faults of the server other than planned stops.
/// @returns A description of the violation; empty if there is none.
std::string findViolation(const unanswered_request& _request, int _runs, std::span<const fault_window> _faults);

/// Converts requests to JSON and back.
nlohmann::json toJson(std::span<const unanswered_request> _requests);
std::vector<unanswered_request> requestsFromJson(const nlohmann::json& _document);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_CONNECTION_RECORD_H_HEADER_GUARD
