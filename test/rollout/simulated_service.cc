#include "simulated_service.h"

#include <algorithm>
#include <cmath>

#include "rollout/trial_group.h"

namespace driftlug::test
{
namespace
{
constexpr char kStanding[] = "v1";
constexpr char kTarget[] = "v2";
constexpr base::Duration kTickInterval = base::milliseconds(10);
constexpr base::Duration kReportInterval = base::milliseconds(250);
constexpr base::Duration kReportDelay = base::milliseconds(150);
constexpr base::Duration kRowPropagationDelay = base::milliseconds(300);
constexpr base::Duration kDecisionInterval = base::milliseconds(100);
constexpr base::Duration kColdFor = base::seconds(3);
constexpr double kColdFactor = 2;
constexpr double kTimeoutMs = 2000;  // timeout of the routes
constexpr double kSpeeds[] = {0.6, 1.0, 1.4};

/// Mean run time in milliseconds and its spread, for three routes; the first route gets half of the requests.
struct route_shape
{
	double workMs;
	double spread;
};
constexpr route_shape kRoutes[] = {{220, 0.7}, {290, 0.3}, {88, 0.7}};

double secondsOf(base::Duration _duration)
{
	return std::chrono::duration<double>(_duration).count();
}

double normal(base::RandomSource* _random)
{
	double sum = -6;
	for (int i = 0; i < 12; ++i)
	{
		sum += _random->unit();
	}
	return sum;
}

}  // namespace

simulated_service::simulated_service(uint64_t _seed, version_fault _bad, const background_faults& _faults)
	: m_random(_seed)
	, m_bad(_bad)
	, m_faults(_faults)
	, m_badShare(version_fault::slow == _bad ? 0.6 + 0.4 * m_random.unit() : 0.35 + 0.5 * m_random.unit())
	, m_badFactor(3 + 3 * m_random.unit())
	, m_faultDelay(base::seconds(3) + m_random.duration(base::seconds(4)))
	, m_size(6 + m_random.below(30))
	, m_perSecond(static_cast<double>(m_size) * 20)
{
	m_row.standing = kStanding;
	m_row.state = wire::RolloutState::STANDING;
	m_rowAtNodes = m_row;
	addBackEnds(false);
}

void simulated_service::addBackEnds(bool _target)
{
	for (size_t i = 0; i < m_size; ++i)
	{
		back_end added;
		added.name = (_target ? "new-" : "old-") + std::to_string(m_random.bits());
		added.target = _target;
		added.speed = kSpeeds[m_random.below(std::size(kSpeeds))];
		added.failing = m_faults.grey && m_random.chance(0.14) ? 0.4 : 0;
		added.slower = m_faults.slow && m_random.chance(0.16) ? 5 : 1;
		added.crashes = m_faults.crashes && m_random.chance(0.15);
		added.startedAt = _target ? m_time.now() + base::seconds(1) : m_time.now() - base::seconds(60);
		m_backEnds.push_back(std::move(added));
	}
}

rollout_outcome simulated_service::run(base::Duration _finishBy)
{
	m_begunAt = m_time.now();
	serve(base::seconds(5));
	m_orderedAt = m_time.now();
	addBackEnds(true);
	writeRow(rollout::rollout_driver::begin(m_row, kTarget, _finishBy));
	serve(_finishBy + base::seconds(4));
	m_outcome.exposure = static_cast<double>(m_outcome.requests) / (m_perSecond * secondsOf(_finishBy));
	if (m_fiftiethBadAnswerAt)
	{
		m_outcome.rollbackDelay = std::max(base::Duration(0), m_lastToTarget - *m_fiftiethBadAnswerAt);
	}
	return m_outcome;
}

void simulated_service::writeRow(const wire::RolloutRow& _row)
{
	m_row = _row;
	m_writtenAt = m_time.now();
	m_nodesUpdateAt = m_time.now() + kRowPropagationDelay;
	if (wire::RolloutState::RUNNING != m_row.state && wire::RolloutState::RUNNING == m_outcome.state)
	{
		m_outcome.state = m_row.state;
		m_outcome.decidedAfter = m_time.now() - m_orderedAt;
		m_outcome.reason = m_row.reason;
	}
}

void simulated_service::serve(base::Duration _span)
{
	const auto end = m_time.now() + _span;
	int64_t ticks = 0;
	double pendingRequests = 0;
	while (m_time.now() < end)
	{
		m_time.advance(kTickInterval);
		++ticks;
		if (m_time.now() >= m_nodesUpdateAt)
		{
			m_rowAtNodes = m_row;
		}
		const auto elapsed = m_time.now() - m_begunAt;
		const bool burst = m_faults.burst && elapsed > base::seconds(9) && elapsed < base::seconds(14);
		pendingRequests += m_perSecond * secondsOf(kTickInterval) * (burst ? 1.6 : 1);
		for (; pendingRequests >= 1; pendingRequests -= 1)
		{
			request(m_random.chance(0.5) ? 0 : 1 + static_cast<int64_t>(m_random.below(2)));
		}
		if (0 == ticks % (kReportInterval / kTickInterval))
		{
			report();
		}
		if (0 == ticks % (kDecisionInterval / kTickInterval))
		{
			decide();
		}
	}
}

int simulated_service::busyOf(back_end* _backEnd) const
{
	auto& busy = _backEnd->busyUntil;
	std::erase_if(busy,
				  [&](base::TimePoint _until)
				  {
					  return _until <= m_time.now();
				  });
	return static_cast<int>(busy.size());
}

bool simulated_service::isUp(const back_end& _backEnd) const
{
	const auto elapsed = m_time.now() - m_begunAt;
	const bool down = _backEnd.crashes && elapsed > base::seconds(8) && elapsed < base::seconds(12);
	return !down && _backEnd.startedAt <= m_time.now();
}

simulated_service::back_end* simulated_service::choose(bool _target)
{
	std::vector<std::string> names;
	for (const auto& candidate : m_backEnds)
	{
		if (candidate.target == _target && candidate.startedAt <= m_time.now())
		{
			names.push_back(candidate.name);
		}
	}
	const bool group = _target && 0 < m_rowAtNodes.groupSize;
	const auto taken = rollout::chooseTrialGroup(names, m_rowAtNodes.groupOffset, group ? m_rowAtNodes.groupSize : 0);
	back_end* best = nullptr;
	int least = m_slots;
	const size_t first = m_random.below(m_backEnds.size());
	for (size_t i = 0; i < m_backEnds.size(); ++i)
	{
		auto& candidate = m_backEnds[(first + i) % m_backEnds.size()];
		if (candidate.target != _target || !isUp(candidate) || 0 == taken.count(candidate.name))
		{
			continue;
		}
		if (const int busy = busyOf(&candidate); busy < least)
		{
			best = &candidate;
			least = busy;
		}
	}
	return best;
}

bool simulated_service::isBad(const back_end& _backEnd, int64_t _route, int _busy)
{
	const auto age = m_time.now() - _backEnd.startedAt;
	switch (m_bad)
	{
		case version_fault::none:
			return false;
		case version_fault::fails:
		case version_fault::slow:
			break;
		case version_fault::oneRoute:
			if (1 != _route)
			{
				return false;
			}
			break;
		case version_fault::underLoad:
			if (2 * _busy <= m_slots)
			{
				return false;
			}
			break;
		case version_fault::later:
			if (age < m_faultDelay)
			{
				return false;
			}
			break;
	}
	return _backEnd.target && m_random.chance(m_badShare);
}

void simulated_service::request(int64_t _route)
{
	++m_all;
	const auto policy = rollout::policyOf(m_rowAtNodes);
	const bool trial = policy.running && m_random.chance(policy.targetPermille / 1000.0);
	const bool toTarget = policy.retiring || trial || policy.standing == kTarget;
	auto* chosen = choose(toTarget);
	if (nullptr == chosen)
	{
		return;
	}
	const auto& shape = kRoutes[_route];
	const auto elapsed = m_time.now() - m_begunAt;
	const bool dependencyFails = m_faults.dependencyFails && elapsed > base::seconds(10) && elapsed < base::seconds(13);
	const bool cold = m_time.now() - chosen->startedAt < kColdFor;
	const int busy = busyOf(chosen);
	const bool bad = isBad(*chosen, _route, busy);
	const bool fails = m_random.chance(chosen->failing) || (dependencyFails && m_random.chance(0.3))
					   || m_random.chance(0.01) || (bad && version_fault::slow != m_bad);
	double ms = shape.workMs * std::exp(shape.spread * normal(&m_random) - shape.spread * shape.spread / 2);
	ms *= chosen->slower * (cold ? kColdFactor : 1) * (bad && version_fault::slow == m_bad ? m_badFactor : 1)
		  / chosen->speed;
	const auto run =
		std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(std::min(ms, kTimeoutMs)));
	chosen->busyUntil.push_back(m_time.now() + run);
	chosen->figures.record(_route, fails || ms > kTimeoutMs, run, {cold, 2 * busy > m_slots});
	if (!chosen->target)
	{
		return;
	}
	m_lastToTarget = m_time.now();
	const bool open = wire::RolloutState::COMPLETED != m_row.state;
	m_outcome.requests += open ? 1 : 0;
	m_outcome.badAnswers += bad ? 1 : 0;
	m_outcome.badBeforeDecision += open && bad ? 1 : 0;
	if (bad && 50 == m_outcome.badAnswers)
	{
		m_fiftiethBadAnswerAt = m_time.now() + run;
	}
}

void simulated_service::report()
{
	if (wire::RolloutState::RUNNING != m_rowAtNodes.state)
	{
		return;
	}
	for (auto& backEnd : m_backEnds)
	{
		if (!isUp(backEnd))
		{
			continue;
		}
		wire::VersionReport report;
		report.endpoint = backEnd.name;
		report.version = backEnd.target ? kTarget : kStanding;
		report.life = 1;
		report.sequence = ++backEnd.sequence;
		report.active = busyOf(&backEnd);
		report.slots = m_slots;
		backEnd.figures.fill(&report);
		m_reports.push_back({m_time.now() + kReportDelay, report});
	}
}

void simulated_service::decide()
{
	while (!m_reports.empty() && m_reports.front().at <= m_time.now())
	{
		m_evidence.onReport(m_reports.front().report, rollout::policyOf(m_row));
		m_reports.pop_front();
	}
	if (wire::RolloutState::RUNNING != m_row.state)
	{
		return;
	}
	rollout::rollout_situation situation;
	situation.stepAge = m_time.now() - m_writtenAt;
	situation.elapsed = base::milliseconds(m_row.elapsedMs) + situation.stepAge;
	situation.leadershipAge = base::seconds(60);
	situation.p99RunTime = m_evidence.p99RunTime();
	situation.answersPerSecond = m_evidence.answersPerSecond();
	situation.verdict = m_evidence.evaluate(rollout::policyOf(m_row));
	const auto sum = [&](const char* _version, rollout::version_endpoints* _sum)
	{
		for (const auto& [name, report] : m_evidence.reportsOf(_version, base::seconds(2)))
		{
			++_sum->count;
			_sum->slots += report.slots;
			_sum->active += report.active;
		}
	};
	sum(kTarget, &situation.target);
	sum(kStanding, &situation.standing);
	situation.standingIdle = m_row.retiring && 0 == situation.standing.active;
	situation.inForceEverywhere = m_rowAtNodes == m_row;
	situation.nodes = 2 * m_size;
	if (onEvaluated)
	{
		onEvaluated(situation);
	}
	if (const auto next = m_driver.next(m_row, situation))
	{
		writeRow(*next);
	}
}

}  // namespace driftlug::test
