#include "overload/reported_load.h"

#include <algorithm>
#include <cmath>

namespace driftlug::overload
{
namespace
{
/// Time constant of the mean pace; long against the spans of some hundred milliseconds over which the pace varies.
constexpr base::Duration kMeanPaceTime = base::seconds(30);
/// Bound of the paces kept. Runs take at most seconds, and the pace seldom changes more than a few times a second.
constexpr size_t kMaxPaces = 64;
/// Weight of a new span in the usual one.
constexpr double kSpanWeight = 0.2;
constexpr base::Duration kMinSpan = base::milliseconds(100);

double secondsOf(base::Duration _duration)
{
	return std::chrono::duration<double>(_duration).count();
}

bool notablyDiffer(double _one, double _other)
{
	return std::max(_one, _other) > reported_load::kNotableChange * std::min(_one, _other);
}

}  // namespace

bool reported_load::onReport(const load_report& _report, base::TimePoint _sentAt, base::TimePoint _now)
{
	if (_sentAt < m_sentAt)
	{
		return false;
	}
	onPace(_report.pacePercent.value_or(100) / 100.0, _now);
	m_last = _report;
	m_reportedAt = _now;
	m_sentAt = _sentAt;
	return true;
}

bool reported_load::isSlow(double _pace) const
{
	return _pace > kNotableChange * m_meanPace;
}

/// @returns Time for which a pace is expected to hold; one that has lasted for longer than usual may last as long
/// again.
base::Duration reported_load::expectedSpan(double _pace) const
{
	return std::max(m_spans.at(isSlow(_pace) ? 1 : 0), m_reportedAt - m_changedAt);
}

void reported_load::addPace(base::TimePoint _from, double _pace)
{
	if (m_paces.back().pace == _pace)
	{
		return;
	}
	m_paces.push_back({_from, _pace});
	if (kMaxPaces < m_paces.size())
	{
		m_paces.pop_front();
	}
}

void reported_load::onPace(double _pace, base::TimePoint _now)
{
	if (m_paces.empty())
	{
		m_changedAt = _now;
		m_paces.push_back({_now, _pace});
		return;
	}
	const double before = m_paces.back().pace;
	const auto heldUntil = m_reportedAt + expectedSpan(before);
	const auto held = std::min(_now, heldUntil) - m_reportedAt;
	m_meanPace += (1 - std::exp(-secondsOf(held) / secondsOf(kMeanPaceTime))) * (before - m_meanPace);
	if (notablyDiffer(before, _pace))
	{
		auto& span = m_spans.at(isSlow(before) ? 1 : 0);
		const auto last = std::clamp<base::Duration>(_now - m_changedAt, kMinSpan, kStaleAfter);
		span += base::microsecondsOf(kSpanWeight * static_cast<double>((last - span).count()));
		m_changedAt = _now;
	}
	if (heldUntil < _now)
	{
		addPace(heldUntil, m_meanPace);
	}
	addPace(_now, _pace);
}

void reported_load::reset(base::TimePoint _now)
{
	*this = {};
	m_sentAt = _now;
}

std::optional<load_report> reported_load::current(base::TimePoint _now) const
{
	return age(_now) ? m_last : std::nullopt;
}

std::optional<base::Duration> reported_load::age(base::TimePoint _now) const
{
	if (!m_last || _now - m_reportedAt > kStaleAfter)
	{
		return std::nullopt;
	}
	return _now - m_reportedAt;
}

double reported_load::pace(base::TimePoint _now) const
{
	const auto last = current(_now);
	if (!last || !last->pacePercent)
	{
		return 1;
	}
	const double reported = *last->pacePercent / 100.0;
	const auto span = expectedSpan(reported);
	const double overdue = secondsOf(_now - m_reportedAt - span) / secondsOf(span);
	return m_meanPace + std::clamp(1 - overdue, 0.0, 1.0) * (reported - m_meanPace);
}

base::Duration reported_load::usualTime(base::TimePoint _from, base::TimePoint _to) const
{
	double usualUs = 0;
	auto until = _to;
	if (!m_paces.empty())
	{
		// Without a report, the last pace is not known to have held for longer than it usually does.
		const auto heldUntil = std::max(_from, m_reportedAt + expectedSpan(m_paces.back().pace));
		usualUs += static_cast<double>(std::max(base::Duration(0), until - heldUntil).count()) / m_meanPace;
		until = std::min(until, heldUntil);
	}
	for (auto interval = m_paces.rbegin(); interval != m_paces.rend() && until > _from; ++interval)
	{
		const auto from = std::min(until, std::max(interval->from, _from));
		usualUs += static_cast<double>((until - from).count()) / interval->pace;
		until = from;
	}
	const auto before = std::max(base::Duration(0), until - _from);
	return base::microsecondsOf(usualUs + static_cast<double>(before.count()) / m_meanPace);
}

}  // namespace driftlug::overload
