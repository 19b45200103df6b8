#include "overload/service_time_predictor.h"

#include <algorithm>
#include <cmath>

namespace driftlug::overload
{
namespace
{
/// Weight of a new run in the moving averages. The first runs weigh more, so that a mean is useful after a few of them.
constexpr double kMinWeight = 0.05;

}  // namespace

void service_time_predictor::estimate::add(double _us)
{
	++runs;
	const double weight = std::max(kMinWeight, 1.0 / runs);
	const double difference = _us - meanUs;
	meanUs += weight * difference;
	deviationUs += weight * ((1 == runs ? 0 : std::abs(difference)) - deviationUs);
}

service_time_predictor::kind_id service_time_predictor::idOf(const call_kind& _kind)
{
	const auto found = m_ids.find(_kind);
	if (m_ids.end() != found)
	{
		return found->second;
	}
	if (kMaxKinds <= m_ids.size())
	{
		return 0;
	}
	m_estimates.emplace_back();
	return m_ids[_kind] = static_cast<kind_id>(m_estimates.size()) - 1;
}

void service_time_predictor::onRun(const call_kind& _kind, base::Duration _usualTime)
{
	const auto us = static_cast<double>(_usualTime.count());
	m_estimates.at(static_cast<size_t>(idOf(_kind))).add(us);
	m_all.add(us);
}

const service_time_predictor::estimate& service_time_predictor::estimateOf(const call_kind& _kind) const
{
	const auto found = m_ids.find(_kind);
	return m_estimates.at(m_ids.end() == found ? 0 : static_cast<size_t>(found->second));
}

const service_time_predictor::estimate& service_time_predictor::learned(const estimate& _estimate) const
{
	return 0 < _estimate.runs ? _estimate : m_all;
}

std::optional<base::Duration> service_time_predictor::runTime(const call_kind& _kind, double _pace) const
{
	const auto& estimate = estimateOf(_kind);
	if (0 == estimate.runs)
	{
		return std::nullopt;
	}
	return base::microsecondsOf(estimate.meanUs * _pace);
}

base::Duration service_time_predictor::holdTime(kind_id _kind, double _pace) const
{
	const auto known = 0 <= _kind && static_cast<size_t>(_kind) < m_estimates.size();
	return base::microsecondsOf(learned(m_estimates.at(known ? static_cast<size_t>(_kind) : 0)).meanUs * _pace);
}

base::Duration service_time_predictor::restTime(const call_kind& _kind, base::Duration _elapsed, double _pace) const
{
	const auto& estimate = learned(estimateOf(_kind));
	const double restUs = estimate.meanUs - static_cast<double>(_elapsed.count());
	return base::microsecondsOf(std::max(restUs, estimate.deviationUs) * _pace);
}

base::Duration service_time_predictor::deviation(const call_kind& _kind, double _pace) const
{
	return base::microsecondsOf(learned(estimateOf(_kind)).deviationUs * _pace);
}

}  // namespace driftlug::overload
