#include "placement_fleet.h"

#include <algorithm>
#include <numeric>

namespace driftlug::routing
{
namespace
{
constexpr double kSlowPace = 2.5;
constexpr int kPaceIntervalMs = 600;

base::Duration fromMs(double _ms)
{
	return base::Duration(static_cast<int64_t>(_ms * 1000));
}

}  // namespace

placement_fleet::placement_fleet(const fleet_pattern& _pattern)
	: kinds(_pattern.kinds.size())
	, inTimeBurst(2)
	, m_pattern(_pattern)
	, m_random(_pattern.seed)
{
	for (int i = 0; i < _pattern.backEnds; ++i)
	{
		back_end backEnd;
		backEnd.speed = _pattern.speeds[static_cast<size_t>(i) % _pattern.speeds.size()];
		backEnd.target = {std::to_string(i), "", 0, std::to_string(i % kZones), kFullWeight, kSlots, ""};
		backEnds.push_back(backEnd);
	}
	PickerOptions options;
	options.policy = PickPolicy::kNearestIdle;
	options.slowStart = base::Duration(0);
	m_nodes.resize(static_cast<size_t>(_pattern.nodes));
	for (int i = 0; i < _pattern.nodes; ++i)
	{
		node& added = m_nodes[static_cast<size_t>(i)];
		added.zone = std::to_string(i % kZones);
		added.picker = std::make_unique<EndpointPicker>(options, queue, base::RandomSource(m_random.bits()));
		added.chooser = std::make_unique<completion_chooser>(*added.picker, queue, base::RandomSource(m_random.bits()));
		if (_pattern.byCompletion)
		{
			added.picker->useChooser(*added.chooser);
		}
		// Links to 16 endpoints, at most 12 of them in the own zone, as nodes have them.
		std::vector<EndpointTarget> own;
		std::vector<EndpointTarget> others;
		for (const auto& backEnd : backEnds)
		{
			(backEnd.target.zone == added.zone ? own : others).push_back(backEnd.target);
		}
		for (size_t j = 0; j < others.size(); ++j)
		{
			std::swap(others[j], others[j + m_random.below(others.size() - j)]);
		}
		own.resize(std::min<size_t>(12, own.size()));
		others.resize(std::min(others.size(), 16 - own.size()));
		added.endpoints = own;
		added.endpoints.insert(added.endpoints.end(), others.begin(), others.end());
		for (const auto& endpoint : added.endpoints)
		{
			added.picker->setConnected(endpoint.name, true);
		}
	}
}

void placement_fleet::run()
{
	double capacity = 0;  // requests per millisecond
	for (const auto& backEnd : backEnds)
	{
		double hold = 0;
		for (const auto& kind : m_pattern.kinds)
		{
			hold += kind.share * (kind.workMs / backEnd.speed * (1 + m_pattern.slowShare * (kSlowPace - 1)));
			hold += kind.share * 0.7 * kind.nestedMs;
		}
		capacity += kSlots / hold;
	}
	arrive(capacity * m_pattern.utilization);
	sample();
	const auto end = base::TimePoint{} + fromMs(m_pattern.runS * 1000);
	while (queue.runNext(end))
	{
	}
	busiestOverMean = std::accumulate(m_samples.begin(), m_samples.end(), 0.0) / std::max<size_t>(1, m_samples.size());
}

double placement_fleet::arrivalsOverMean(int _backEnd, double _fromS, double _toS) const
{
	const auto count = [&](const back_end& _counted)
	{
		return std::count_if(_counted.arrivals.begin(), _counted.arrivals.end(),
							 [&](double _at)
							 {
								 return _at >= _fromS && _at < _toS;
							 });
	};
	double all = 0;
	for (const auto& backEnd : backEnds)
	{
		all += static_cast<double>(count(backEnd));
	}
	return static_cast<double>(count(backEnds[static_cast<size_t>(_backEnd)])) * static_cast<double>(backEnds.size())
		   / all;
}

double placement_fleet::paceAt(int _backEnd, base::TimePoint _time)
{
	auto& paces = backEnds[static_cast<size_t>(_backEnd)].paces;
	const auto interval =
		static_cast<size_t>((_time - base::TimePoint{}) / base::Duration(base::milliseconds(kPaceIntervalMs)));
	while (paces.size() <= interval)
	{
		paces.push_back(m_random.chance(m_pattern.slowShare) ? kSlowPace : 1);
	}
	return paces[interval];
}

double placement_fleet::workEndMs(int _backEnd, double _workMs)
{
	double elapsed = 0;
	const base::Duration interval = base::milliseconds(kPaceIntervalMs);
	for (auto now = queue.now();;)
	{
		const double pace = paceAt(_backEnd, now);
		const auto next = base::TimePoint{} + ((now - base::TimePoint{}) / interval + 1) * interval;
		const double left = std::chrono::duration<double, std::milli>(next - now).count();
		if (_workMs * pace <= left)
		{
			return elapsed + _workMs * pace;
		}
		_workMs -= left / pace;
		elapsed += left;
		now = next;
	}
}

void placement_fleet::sample()
{
	queue.after(base::milliseconds(20),
				[this]
				{
					double sum = 0;
					double most = 0;
					for (const auto& backEnd : backEnds)
					{
						const double requests = backEnd.running + static_cast<double>(backEnd.queue.size());
						sum += requests / static_cast<double>(backEnds.size());
						most = std::max(most, requests);
					}
					if (queue.now() > base::TimePoint{} + base::seconds(2) && sum > 0)
					{
						m_samples.push_back(most / sum);
					}
					sample();
				});
}

void placement_fleet::arrive(double _perMs)
{
	const double second = std::chrono::duration<double>(queue.now() - base::TimePoint{}).count();
	const double factor = second >= 6 && second < 9 ? m_pattern.burst : 1;
	queue.after(fromMs(-std::log(1 - m_random.unit()) / (_perMs * factor)),
				[this, _perMs]
				{
					auto added = std::make_shared<request>();
					added->node = static_cast<int>(m_random.below(m_nodes.size()));
					if (m_random.chance(m_pattern.oneZoneShare))
					{
						added->node -= added->node % kZones;
					}
					double drawn = m_random.unit();
					while (added->kind + 1 < static_cast<int>(m_pattern.kinds.size())
						   && drawn >= m_pattern.kinds[static_cast<size_t>(added->kind)].share)
					{
						drawn -= m_pattern.kinds[static_cast<size_t>(added->kind++)].share;
					}
					added->startedAt = queue.now();
					const double now = std::chrono::duration<double>(queue.now() - base::TimePoint{}).count();
					added->counted = now > 2 && now < m_pattern.runS - 2;
					kinds[static_cast<size_t>(added->kind)].requests += added->counted ? 1 : 0;
					inTimeBurst[0] += now >= 6 && now < 9 ? 1 : 0;
					attempt(added);
					arrive(_perMs);
				});
}

base::Duration placement_fleet::delay(int _node, int _backEnd) const
{
	const bool same = m_nodes[static_cast<size_t>(_node)].zone == backEnds[static_cast<size_t>(_backEnd)].target.zone;
	return fromMs(same ? 0.1 : 1.4);
}

void placement_fleet::attempt(const std::shared_ptr<request>& _request)
{
	node& sender = m_nodes[static_cast<size_t>(_request->node)];
	const request_kind& kind = m_pattern.kinds[static_cast<size_t>(_request->kind)];
	choice_request choice;
	choice.zone = sender.zone;
	choice.service = "service";
	choice.kind = kind.kind;
	choice.leftToTarget = _request->startedAt + base::milliseconds(kind.kind.targetLatencyMs) - queue.now();
	choice.bodyBytes = kind.bodyBytes;
	const EndpointTarget* target = sender.picker->pick(sender.endpoints, _request->tried, choice);
	if (nullptr == target || _request->tried.size() >= 4)
	{
		return;
	}
	const int chosen = std::stoi(target->name);
	kind_totals& totals = kinds[static_cast<size_t>(_request->kind)];
	const bool first = _request->tried.empty() && _request->counted;
	totals.leftZone += first && target->zone != sender.zone ? 1 : 0;
	totals.onSlow += first && backEnds[static_cast<size_t>(chosen)].speed < 1 ? 1 : 0;
	_request->tried.insert(target->name);
	const int64_t id = ++m_lastAttempt;
	sender.picker->onSent(target->name);
	sender.chooser->onSent(id, target->name, choice.service, kind.kind);
	queue.after(delay(_request->node, chosen),
				[this, id, _request, chosen]
				{
					onArrived(id, _request, chosen);
				});
}

std::optional<wire::EndpointLoad> placement_fleet::loadOf(int _backEnd, int _kind)
{
	back_end& backEnd = backEnds[static_cast<size_t>(_backEnd)];
	if (!backEnd.reports)
	{
		return std::nullopt;
	}
	const double pace = paceAt(_backEnd, queue.now());
	const double runMs = backEnd.runMs[_kind] * pace;
	wire::EndpointLoad load;
	load.running = backEnd.refusing ? 0 : backEnd.running;
	load.waiting = backEnd.refusing ? 0 : static_cast<int>(backEnd.queue.size());
	load.slots = kSlots;
	load.pacePercent = static_cast<int>(100 * pace);
	load.runMs = static_cast<int>(runMs);
	load.waitMs = load.running < kSlots ? 0 : static_cast<int>((load.waiting + 1) * runMs / kSlots);
	return load;
}

void placement_fleet::onArrived(int64_t _attempt, const std::shared_ptr<request>& _request, int _backEnd)
{
	back_end& backEnd = backEnds[static_cast<size_t>(_backEnd)];
	backEnd.arrivals.push_back(std::chrono::duration<double>(queue.now() - base::TimePoint{}).count());
	if (backEnd.cutOff)
	{
		return;
	}
	if (backEnd.refusing || static_cast<int>(backEnd.queue.size()) >= kMaxWaiting)
	{
		return respond(_attempt, _request, _backEnd, true);
	}
	if (backEnd.running < kSlots)
	{
		start(_attempt, _request, _backEnd);
	}
	else
	{
		backEnd.queue.push_back(
			[this, _attempt, _request, _backEnd]
			{
				start(_attempt, _request, _backEnd);
			});
	}
	queue.after(delay(_request->node, _backEnd),
				[this, _attempt, _request, load = loadOf(_backEnd, _request->kind)]
				{
					m_nodes[static_cast<size_t>(_request->node)].chooser->onAccepted(_attempt, load);
				});
}

void placement_fleet::start(int64_t _attempt, const std::shared_ptr<request>& _request, int _backEnd)
{
	back_end& backEnd = backEnds[static_cast<size_t>(_backEnd)];
	++backEnd.running;
	const request_kind& kind = m_pattern.kinds[static_cast<size_t>(_request->kind)];
	constexpr double kSpread = 0.5;
	const double normal = std::sqrt(-2 * std::log(1 - m_random.unit())) * std::cos(6.283185307 * m_random.unit());
	const double work = kind.workMs / backEnd.speed * std::exp(kSpread * normal - kSpread * kSpread / 2);
	const double nested = m_random.chance(0.7) ? -kind.nestedMs * std::log(1 - m_random.unit()) : 0;
	const double pace = paceAt(_backEnd, queue.now());
	const double held = nested + workEndMs(_backEnd, work);
	queue.after(fromMs(held),
				[this, _attempt, _request, _backEnd, held, pace]
				{
					back_end& ended = backEnds[static_cast<size_t>(_backEnd)];
					--ended.running;
					double& mean = ended.runMs[_request->kind];
					mean = 0 < mean ? mean + 0.1 * (held / pace - mean) : held / pace;
					if (!ended.queue.empty())
					{
						const auto next = ended.queue.front();
						ended.queue.erase(ended.queue.begin());
						next();
					}
					respond(_attempt, _request, _backEnd, false);
				});
}

void placement_fleet::respond(int64_t _attempt, const std::shared_ptr<request>& _request, int _backEnd, bool _refused)
{
	const back_end& backEnd = backEnds[static_cast<size_t>(_backEnd)];
	if (backEnd.cutOff)
	{
		return;
	}
	const int requests = backEnd.running + static_cast<int>(backEnd.queue.size());
	queue.after(delay(_request->node, _backEnd),
				[this, _attempt, _request, _backEnd, _refused, requests, load = loadOf(_backEnd, _request->kind)]
				{
					node& sender = m_nodes[static_cast<size_t>(_request->node)];
					const auto& name = backEnds[static_cast<size_t>(_backEnd)].target.name;
					const request_kind& kind = m_pattern.kinds[static_cast<size_t>(_request->kind)];
					const auto latency = queue.now() - _request->startedAt;
					sender.picker->onLoadReport(name, requests);
					sender.chooser->onEnded(_attempt, _refused ? attempt_end::refused : attempt_end::completed, load,
											_refused ? 0 : kind.responseBytes);
					if (_refused)
					{
						sender.picker->onAbandoned(name);
						return attempt(_request);
					}
					sender.picker->onDone(name, latency, false);
					const bool inTime = latency <= base::milliseconds(kind.kind.targetLatencyMs);
					kinds[static_cast<size_t>(_request->kind)].inTime += _request->counted && inTime ? 1 : 0;
					const double started =
						std::chrono::duration<double>(_request->startedAt - base::TimePoint{}).count();
					inTimeBurst[1] += inTime && started >= 6 && started < 9 ? 1 : 0;
				});
}

}  // namespace driftlug::routing
