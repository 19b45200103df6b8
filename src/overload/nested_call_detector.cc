#include "overload/nested_call_detector.h"

namespace driftlug::overload
{
namespace
{
/// Total count at which all counts are halved, so that old calls lose weight.
constexpr double kDecayCalls = 2000;
/// Minimum expected calls of a kind from a service before their absence counts as evidence.
constexpr double kMinExpectedCalls = 8;
/// Share of the expected calls up to which a service counts as sending none.
constexpr double kSilentShare = 0.05;
/// Smaller counts are removed.
constexpr double kMinCount = 0.3;

}  // namespace

void nested_call_detector::onCall(const call_kind& _kind, std::string_view _service)
{
	if (_service.empty())
	{
		return;
	}

	if (kDecayCalls <= m_calls)
	{
		halveCounts();
	}

	kind_counts& known = m_kinds[_kind];
	const auto service = known.calls.find(_service);
	if (known.calls.end() == service)
	{
		known.calls.emplace(_service, 1);
	}
	else
	{
		service->second += 1;
	}
	known.sum += 1;
	m_calls += 1;
}

bool nested_call_detector::isNested(const call_kind& _kind) const
{
	const auto own = m_kinds.find(_kind);
	if (m_kinds.end() == own)
	{
		return false;
	}

	by_service others;
	for (const auto& [kind, known] : m_kinds)
	{
		if (kind == _kind)
		{
			continue;
		}
		for (const auto& [service, calls] : known.calls)
		{
			others[service] += calls;
		}
	}

	const double sumOfOthers = m_calls - own->second.sum;
	for (const auto& [service, calls] : others)
	{
		const double expected = own->second.sum * calls / sumOfOthers;
		const auto sent = own->second.calls.find(service);
		const double got = own->second.calls.end() == sent ? 0 : sent->second;
		if (kMinExpectedCalls <= expected && kSilentShare * expected >= got)
		{
			return true;
		}
	}
	return false;
}

void nested_call_detector::halveCounts()
{
	m_calls = 0;
	for (auto& [kind, known] : m_kinds)
	{
		known.sum = 0;
		for (auto it = known.calls.begin(); known.calls.end() != it;)
		{
			it->second /= 2;
			known.sum += it->second;
			it = kMinCount > it->second ? known.calls.erase(it) : std::next(it);
		}
		m_calls += known.sum;
	}
}

}  // namespace driftlug::overload
