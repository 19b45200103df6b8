/// What callers saw of their requests on connections that they kept in use, and how it is judged.
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
/// How a request ended that got no complete answer.
enum class request_end
{
	cut,      //!< Its connection ended, and nothing told that it was not read.
	partial,  //!< The same, within its answer.
	unread,   //!< An answer before it said that the connection closes; nothing behind is read.
	silent,   //!< Its connection stays open, and no answer came in time.
};

/// One request without a complete answer. Times are of the monotonic clock, in microseconds.
struct unanswered_request
{
	std::string id;
	std::string target;  //!< Address that the connection was opened to.
	request_end end = request_end::cut;
	bool keyed = false;  //!< May not be repeated; back ends keep a record of it.
	int64_t sentUs = 0;
	int64_t endedUs = 0;
	int64_t newestAnsweredSentUs =
		0;  //!< When the last request was sent to the target that it answered before the end.
};

/// A time in which a process was harmed, in microseconds of the monotonic clock.
struct fault_window
{
	int64_t fromUs = 0;
	int64_t untilUs = 0;
};

/// Judges a request that got no complete answer from a process whose planned stops are no excuse.
///
/// A request that crosses the end of its connection is no break. It was read if the process answered one that was sent
/// later: the later one was read in a turn of the loop that found this one as well. Bytes on loopback can be read as
/// soon as they are sent.
///
/// @param[in] _runs How often back ends ran it, as far as they keep a record.
/// @param[in] _harms When the process was harmed by anything but planned stops.
/// @returns What is wrong, empty when nothing is.
std::string findViolation(const unanswered_request& _request, int _runs, std::span<const fault_window> _faults);

/// Writes requests as JSON, and reads them.
nlohmann::json toJson(std::span<const unanswered_request> _requests);
std::vector<unanswered_request> requestsFromJson(const nlohmann::json& _document);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_CONNECTION_RECORD_H_HEADER_GUARD
