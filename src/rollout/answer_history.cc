#include "rollout/answer_history.h"

namespace driftlug::rollout
{
namespace
{
/// Retention of individual samples. At four reports per second this is 20 samples.
constexpr base::Duration kRetention = base::seconds(5);

}  // namespace

void answer_history::add(const run_sample& _sample, base::TimePoint _now)
{
	m_total += _sample;
	m_recent.push_back({_now, _sample});
	while (m_recent.front().at < _now - kRetention)
	{
		m_recent.pop_front();
	}
}

run_sample answer_history::since(base::TimePoint _time) const
{
	run_sample sum;
	for (auto entry = m_recent.rbegin(); entry != m_recent.rend() && entry->at >= _time; ++entry)
	{
		sum += entry->sample;
	}
	return sum;
}

}  // namespace driftlug::rollout
