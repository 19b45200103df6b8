#include "backpressure/endpoint_notices.h"

#include <algorithm>

#include "backpressure/backend_notice.h"

namespace driftlug::backpressure
{
namespace
{
/// Bounds what is remembered of back ends that ended while they had a limit.
constexpr size_t kMaxEndpoints = 4096;

}  // namespace

void endpoint_notices::onResponse(const std::string& _endpoint, const backend_notice& _notice, base::TimePoint _sentAt)
{
	auto found = m_rates.find(_endpoint);
	if (m_rates.end() == found)
	{
		if (!_notice.ratePerS)
		{
			return;
		}
		found = m_rates.try_emplace(_endpoint).first;
	}
	found->second.onResponse(_notice, _sentAt, m_time.now());
	if (!found->second.ratePerS())
	{
		m_rates.erase(found);
	}
	else if (kMaxEndpoints < m_rates.size())
	{
		dropOldest();
	}
}

std::optional<double> endpoint_notices::rateOf(const std::string& _endpoint) const
{
	const auto found = m_rates.find(_endpoint);
	return m_rates.end() == found ? std::nullopt : found->second.ratePerS();
}

void endpoint_notices::dropOldest()
{
	const auto oldest = std::min_element(m_rates.begin(), m_rates.end(),
										 [](const auto& _a, const auto& _b)
										 {
											 return _a.second.namedAt() < _b.second.namedAt();
										 });
	m_rates.erase(oldest);
}

}  // namespace driftlug::backpressure
