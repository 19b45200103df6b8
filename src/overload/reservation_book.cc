#include "overload/reservation_book.h"

#include <algorithm>
#include <set>

namespace driftlug::overload
{
namespace
{
/// Ids stay positive for the whole run of a node, and 0 means "no reservation" on the wire.
constexpr uint64_t kIdMask = 0x3fffffffffffffff;

}  // namespace

reservation_book::reservation_book(const base::TimeSource& _time, uint64_t _firstId)
	: m_time(_time)
	, m_nextId(static_cast<int64_t>(_firstId & kIdMask) + 1)
{
}

std::optional<reservation> reservation_book::offer(const reservation_demand& _demand)
{
	expire();
	if (_demand.limit <= m_entries.size())
	{
		return std::nullopt;
	}

	std::set<base::TimePoint> taken;
	for (const auto& [id, held] : m_entries)
	{
		if (held.rank <= _demand.rank)
		{
			taken.insert(held.at);
		}
	}

	auto at = std::max(_demand.freeAt, m_time.now());
	for (const auto other : taken)
	{
		if (other < at + _demand.interval && at < other + _demand.interval)
		{
			at = other + _demand.interval;
		}
	}
	if (_demand.latestAt < at)
	{
		return std::nullopt;
	}

	const reservation offered{m_nextId++, at};
	m_entries[offered.id] = {at, _demand.rank};
	++m_counters.offered;
	return offered;
}

bool reservation_book::use(int64_t _id)
{
	expire();
	const auto found = m_entries.find(_id);
	if (m_entries.end() == found || m_time.now() + kEarly < found->second.at)
	{
		return false;
	}

	m_entries.erase(found);
	++m_counters.used;
	return true;
}

size_t reservation_book::ahead(int _rank, base::TimePoint _until)
{
	expire();
	return static_cast<size_t>(std::count_if(m_entries.begin(), m_entries.end(),
											 [&](const auto& _item)
											 {
												 return _item.second.rank <= _rank && _item.second.at <= _until;
											 }));
}

size_t reservation_book::held()
{
	expire();
	return m_entries.size();
}

void reservation_book::clear()
{
	m_counters.expired += static_cast<int64_t>(m_entries.size());
	m_entries.clear();
}

void reservation_book::expire()
{
	const auto now = m_time.now();
	const auto expired = std::erase_if(m_entries,
									   [&](const auto& _item)
									   {
										   return _item.second.at + kHold < now;
									   });
	m_counters.expired += static_cast<int64_t>(expired);
}

}  // namespace driftlug::overload
