#include "overload/answer_room.h"

namespace driftlug::overload
{
namespace
{
constexpr double kWeight = 0.2;  //!< Of a new size in the moving average.
/// An answer that takes less of a link than this is no matter: many of them fit into a target latency.
constexpr base::Duration kSmall = base::milliseconds(10);

}  // namespace

void answer_room::onAnswer(const call_kind& _kind, size_t _bytes)
{
	const auto bytes = static_cast<double>(_bytes);
	const auto [usual, first] = m_usualBytes.try_emplace(_kind, bytes);
	if (!first)
	{
		usual->second += kWeight * (bytes - usual->second);
	}
}

bool answer_room::large(const call_kind& _kind) const
{
	return 0 < m_bytesPerSecond && kSmall < timeFor(usualBytes(_kind));
}

int64_t answer_room::usualBytes(const call_kind& _kind) const
{
	const auto usual = m_usualBytes.find(_kind);
	return m_usualBytes.end() == usual ? 0 : static_cast<int64_t>(usual->second);
}

base::Duration answer_room::timeFor(int64_t _bytes) const
{
	if (0 >= m_bytesPerSecond)
	{
		return base::Duration(0);
	}
	return base::microsecondsOf(static_cast<double>(_bytes) / static_cast<double>(m_bytesPerSecond) * 1e6);
}

}  // namespace driftlug::overload
