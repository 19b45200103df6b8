#include "overload/response_transfer_estimator.h"

namespace driftlug::overload
{
namespace
{
constexpr double kWeight = 0.2;  //!< Weight of a new size in the moving average.
/// Responses with a shorter transfer time are not considered large: many of them fit into a target latency.
constexpr base::Duration kNegligibleTransferTime = base::milliseconds(10);

}  // namespace

void response_transfer_estimator::onResponse(const call_kind& _kind, size_t _bytes)
{
	const auto bytes = static_cast<double>(_bytes);
	const auto [usual, first] = m_typicalBytes.try_emplace(_kind, bytes);
	if (!first)
	{
		usual->second += kWeight * (bytes - usual->second);
	}
}

bool response_transfer_estimator::isLarge(const call_kind& _kind) const
{
	return 0 < m_bytesPerSecond && kNegligibleTransferTime < transferTime(typicalBytes(_kind));
}

int64_t response_transfer_estimator::typicalBytes(const call_kind& _kind) const
{
	const auto usual = m_typicalBytes.find(_kind);
	return m_typicalBytes.end() == usual ? 0 : static_cast<int64_t>(usual->second);
}

base::Duration response_transfer_estimator::transferTime(int64_t _bytes) const
{
	if (0 >= m_bytesPerSecond)
	{
		return base::Duration(0);
	}
	return base::microsecondsOf(static_cast<double>(_bytes) / static_cast<double>(m_bytesPerSecond) * 1e6);
}

}  // namespace driftlug::overload
