#include "soak/connection_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace driftlug::soak
{
namespace
{
using nlohmann::json;

constexpr int64_t kUsPerMs = 1000;

/// Age from which a request counts as read if a later one was answered: many event-loop iterations of a busy process.
constexpr int64_t kReadAgeUs = 200 * kUsPerMs;

/// Age from which a request counts as read without such evidence: no process in a soak is delayed that long.
constexpr int64_t kMaxLoopDelayUs = 2'000 * kUsPerMs;

/// Time for which the effects of a fault may outlast it: a resumed process has a backlog to work off.
constexpr int64_t kFaultRecoveryUs = 1'000 * kUsPerMs;

bool overlapsFault(const unanswered_request& _request, std::span<const fault_window> _faults)
{
	return std::any_of(_faults.begin(), _faults.end(),
					   [&](const fault_window& _fault)
					   {
						   return _fault.fromUs <= _request.endedUs
								  && _request.sentUs <= _fault.untilUs + kFaultRecoveryUs;
					   });
}

const char* reasonOf(const unanswered_request& _request, int _runs)
{
	const auto age = _request.endedUs - _request.sentUs;
	switch (_request.end)
	{
		case request_end::partial:
			return "its answer was cut short";
		case request_end::silent:
			return "it got no answer";
		case request_end::stopped:
			return "the node that stopped answered in place of its back end";
		case request_end::unread:
			return 0 < _runs ? "it ran, behind an answer that closed its connection" : nullptr;
		case request_end::cut:
			break;
	}
	if (0 < _runs)
	{
		return "it ran, and its connection was cut";
	}
	if (age > kReadAgeUs && _request.newestAnsweredSentUs > _request.sentUs)
	{
		return "its connection was cut while later requests were answered";
	}
	return age > kMaxLoopDelayUs ? "its connection was cut long after it was sent" : nullptr;
}

}  // namespace

std::string findViolation(const unanswered_request& _request, int _runs, std::span<const fault_window> _faults)
{
	const auto* reason = reasonOf(_request, _runs);
	if (nullptr == reason || overlapsFault(_request, _faults))
	{
		return {};
	}
	return fmt::format("request {} to {}, {} ms old: {}", _request.id, _request.target,
					   (_request.endedUs - _request.sentUs) / kUsPerMs, reason);
}

json toJson(std::span<const unanswered_request> _requests)
{
	json list = json::array();
	for (const auto& request : _requests)
	{
		list.push_back({{"id", request.id},
						{"target", request.target},
						{"end", static_cast<int>(request.end)},
						{"keyed", request.keyed},
						{"sent_us", request.sentUs},
						{"ended_us", request.endedUs},
						{"witness_us", request.newestAnsweredSentUs}});
	}
	return list;
}

std::vector<unanswered_request> requestsFromJson(const json& _document)
{
	std::vector<unanswered_request> requests;
	for (const auto& item : _document)
	{
		requests.push_back({item.at("id").get<std::string>(), item.at("target").get<std::string>(),
							static_cast<request_end>(item.at("end").get<int>()), item.at("keyed").get<bool>(),
							item.at("sent_us").get<int64_t>(), item.at("ended_us").get<int64_t>(),
							item.at("witness_us").get<int64_t>()});
	}
	return requests;
}

}  // namespace driftlug::soak
