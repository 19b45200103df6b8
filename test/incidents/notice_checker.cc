#include "notice_checker.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace driftlug::test
{
namespace
{
constexpr char kPositionHeader[] = "back-end";
constexpr base::Duration kWindow = base::seconds(4);
constexpr base::Duration kPropagation = base::milliseconds(500);
constexpr base::Duration kReactionTime = base::seconds(3);
constexpr base::Duration kDrainTime = base::seconds(2);
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;

}  // namespace

notice_checker::notice_checker(crash_fleet& _fleet)
	: m_fleet(_fleet)
{
	m_fleet.onAttemptSent = [this](size_t _node, const std::string& _path)
	{
		m_attempts[_path] = {m_fleet.queue().now(), _node};
	};
	m_fleet.onAttemptAnswered = [this](size_t _node, const node::CallAnswer& _answer)
	{
		onAnswer(_node, _answer);
	};
	m_fleet.backEnds.onArrival = [this](const back_end_event& _arrival)
	{
		onArrival(_arrival);
	};
}

void notice_checker::advertiseRate(size_t _backEnd, const std::string& _value)
{
	if (!m_fleet.backEnd(_backEnd).up())
	{
		return;
	}
	m_fleet.backEnd(_backEnd).setResponseHeader(kPositionHeader, std::to_string(_backEnd));
	m_fleet.backEnd(_backEnd).setResponseHeader(kRateLimitHeader, _value);
	m_rates[_backEnd].push_back({m_fleet.queue().now(), _value.empty() ? 0 : std::stod(_value)});
}

void notice_checker::crash(size_t _backEnd)
{
	const auto isOfBackEnd = [_backEnd](const auto& _passed)
	{
		return _passed.first.second == _backEnd;
	};
	std::erase_if(m_ratesPassed, isOfBackEnd);
	std::erase_if(m_leavingPassed, isOfBackEnd);
	m_fleet.backEnd(_backEnd).crashExternally();
	m_rates[_backEnd].push_back({m_fleet.queue().now(), 0});
}

void notice_checker::leave(size_t _backEnd)
{
	if (!m_fleet.backEnd(_backEnd).up())
	{
		return;
	}
	m_fleet.backEnd(_backEnd).setResponseHeader(kPositionHeader, std::to_string(_backEnd));
	m_fleet.backEnd(_backEnd).setResponseHeader(kLeavingHeader, "1");
}

void notice_checker::restartNode(size_t _node, base::Duration _downFor)
{
	if (nullptr == m_fleet.node(_node).entry())
	{
		return;
	}
	const auto isOfNode = [_node](const auto& _passed)
	{
		return _passed.first.first == _node;
	};
	std::erase_if(m_ratesPassed, isOfNode);
	std::erase_if(m_leavingPassed, isOfNode);
	m_fleet.node(_node).kill();
	m_fleet.queue().after(_downFor,
						  [this, _node]
						  {
							  m_fleet.node(_node).start();
						  });
}

void notice_checker::onAnswer(size_t _node, const node::CallAnswer& _answer)
{
	const auto position = node::headerValue(_answer.headers, kPositionHeader);
	if (position.empty())
	{
		return;
	}
	const std::pair<size_t, size_t> passed{_node, std::stoul(position)};
	if (!node::headerValue(_answer.headers, kRateLimitHeader).empty())
	{
		m_ratesPassed.try_emplace(passed, m_fleet.queue().now());
	}
	if (!node::headerValue(_answer.headers, kLeavingHeader).empty())
	{
		m_leavingPassed.try_emplace(passed, m_fleet.queue().now());
	}
}

void notice_checker::onArrival(const back_end_event& _arrival)
{
	const auto& origin = m_attempts[_arrival.path];
	const std::pair<size_t, size_t> key{origin.node, _arrival.node};
	if (const auto passed = m_ratesPassed.find(key);
		m_ratesPassed.end() != passed && _arrival.time >= passed->second + kPropagation)
	{
		m_limitedArrivals[_arrival.node].push_back(_arrival.time);
	}
	if (const auto passed = m_leavingPassed.find(key);
		m_leavingPassed.end() != passed && origin.sentAt > passed->second + kDrainTime)
	{
		++m_arrivalsAfterLeaving;
	}
}

size_t notice_checker::mostInFourSeconds(size_t _backEnd, base::Duration _since) const
{
	const auto found = m_limitedArrivals.find(_backEnd);
	if (m_limitedArrivals.end() == found)
	{
		return 0;
	}
	const auto& times = found->second;
	size_t most = 0;
	for (auto first = std::lower_bound(times.begin(), times.end(), at(_since)); first != times.end(); ++first)
	{
		const auto last = std::lower_bound(first, times.end(), *first + kWindow);
		most = std::max(most, static_cast<size_t>(last - first));
	}
	return most;
}

size_t notice_checker::allowedInFourSeconds(double _ratePerS)
{
	return static_cast<size_t>(kTolerance * _ratePerS * std::chrono::duration<double>(kWindow).count() + kSlack);
}

/// @returns What the rates allow in the window from _first on; infinite if the window does not count.
double notice_checker::allowedFrom(const std::vector<rate_change>& _rates, base::TimePoint _first) const
{
	constexpr double kUnlimited = std::numeric_limits<double>::infinity();
	double requests = 0;
	std::optional<base::TimePoint> limitedSince;
	for (auto rate = _rates.begin(); _rates.end() != rate && rate->time < _first + kWindow; ++rate)
	{
		const auto next = std::next(rate);
		const auto end = std::min(_first + kWindow, _rates.end() == next ? m_fleet.queue().now() : next->time);
		if (0 == rate->perSecond)
		{
			limitedSince.reset();
			if (end > _first)
			{
				return kUnlimited;
			}
			continue;
		}
		limitedSince = limitedSince.value_or(rate->time);
		const auto begin = std::max(_first, rate->time);
		requests += rate->perSecond * std::max(0.0, std::chrono::duration<double>(end - begin).count());
	}
	const bool counts = limitedSince && *limitedSince + kReactionTime <= _first;
	return counts ? kTolerance * requests + kSlack : kUnlimited;
}

double notice_checker::worstExcess() const
{
	double worst = -std::numeric_limits<double>::infinity();
	for (const auto& [backEnd, rates] : m_rates)
	{
		const auto found = m_limitedArrivals.find(backEnd);
		if (m_limitedArrivals.end() == found)
		{
			continue;
		}
		const auto& times = found->second;
		for (auto first = times.begin(); times.end() != first; ++first)
		{
			const auto last = std::lower_bound(first, times.end(), *first + kWindow);
			worst = std::max(worst, static_cast<double>(last - first) - allowedFrom(rates, *first));
		}
	}
	return worst;
}

}  // namespace driftlug::test
