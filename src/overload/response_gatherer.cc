#include "overload/response_gatherer.h"

#include <algorithm>
#include <utility>

namespace driftlug::overload
{
response_gatherer::response_gatherer(const response_gatherer_options& _options)
	: m_options(_options)
{
}

void response_gatherer::begin(int64_t _response, int64_t _bytes)
{
	drop(_response);
	gathered& state = m_responses[_response];
	state.bytes = _bytes;
	state.body.reserve(static_cast<size_t>(_bytes));
}

piece_result response_gatherer::onPiece(int64_t _response, std::string_view _data)
{
	const auto found = m_responses.find(_response);
	if (m_responses.end() == found)
	{
		return piece_result::unknown;
	}

	gathered& state = found->second;
	const auto bytes = static_cast<int64_t>(_data.size());
	if (bytes > state.bytes - static_cast<int64_t>(state.body.size()))
	{
		return piece_result::excess;
	}
	state.body.append(_data);
	m_gatheredBytes += bytes;
	return static_cast<int64_t>(state.body.size()) == state.bytes ? piece_result::complete : piece_result::incomplete;
}

std::string response_gatherer::takeBody(int64_t _response)
{
	const auto found = m_responses.find(_response);
	if (m_responses.end() == found)
	{
		return {};
	}

	std::string body = std::move(found->second.body);
	m_gatheredBytes -= static_cast<int64_t>(body.size());
	m_creditedBytes -= isBounded(found->second) ? found->second.credited : 0;
	m_responses.erase(found);
	return body;
}

void response_gatherer::drop(int64_t _response)
{
	(void)takeBody(_response);
}

std::vector<response_credit> response_gatherer::credits()
{
	std::vector<response_credit> credits;
	for (auto& [response, state] : m_responses)
	{
		const auto arrived = static_cast<int64_t>(state.body.size());
		// Further credits in halves of the window, so that they are few and the sender never waits for one.
		const bool due = state.credited < state.bytes && state.credited - arrived <= m_options.windowBytes / 2;
		const bool oldest = m_responses.begin()->first == response;
		const bool full = isBounded(state) && m_creditedBytes >= m_options.maxBytes;
		if (!due || (full && !oldest))
		{
			continue;
		}
		const int64_t upToBytes = std::min(state.bytes, arrived + m_options.windowBytes);
		m_creditedBytes += isBounded(state) ? upToBytes - state.credited : 0;
		state.credited = upToBytes;
		credits.push_back({response, upToBytes});
	}
	return credits;
}

}  // namespace driftlug::overload
