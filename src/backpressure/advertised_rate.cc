#include "backpressure/advertised_rate.h"

#include <cmath>

#include "backpressure/backend_notice.h"

namespace driftlug::backpressure
{
bool advertised_rate::onResponse(const backend_notice& _notice, base::TimePoint _sentAt, base::TimePoint _now)
{
	m_hasResponse = true;
	if (_notice.unreadableLimit)
	{
		return false;
	}
	const bool lower = _notice.ratePerS && (!m_ratePerS || *_notice.ratePerS <= *m_ratePerS);
	const bool newer = _sentAt >= m_namedAt;
	if (!lower && !newer)
	{
		return false;
	}
	return set(_notice.ratePerS, _now);
}

bool advertised_rate::onHint(double _ratePerS, base::TimePoint _now)
{
	const bool valid = std::isfinite(_ratePerS) && 0 <= _ratePerS;
	if (m_hasResponse || !valid || (m_ratePerS && *m_ratePerS <= _ratePerS))
	{
		return false;
	}
	return set(_ratePerS, _now);
}

bool advertised_rate::set(std::optional<double> _ratePerS, base::TimePoint _now)
{
	const bool changed = _ratePerS != m_ratePerS;
	m_ratePerS = _ratePerS;
	if (_ratePerS)
	{
		m_namedAt = _now;
	}
	return changed;
}

}  // namespace driftlug::backpressure
