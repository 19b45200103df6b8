#include "crashing_back_end.h"

#include <algorithm>

namespace driftlug::test
{
std::vector<base::Duration> back_end_record::restartToFirstCall() const
{
	std::vector<base::Duration> times;
	for (const auto& start : starts)
	{
		const auto first = std::find_if(arrivals.begin(), arrivals.end(),
										[&](const back_end_event& _arrival)
										{
											return _arrival.node == start.node && _arrival.time >= start.time;
										});
		times.push_back(arrivals.end() == first ? base::Duration::max() : first->time - start.time);
	}
	return times;
}

size_t back_end_record::crashesBy(const std::string& _path) const
{
	return static_cast<size_t>(std::count_if(crashes.begin(), crashes.end(),
											 [&](const back_end_event& _crash)
											 {
												 return _crash.path == _path;
											 }));
}

size_t back_end_record::arrivalsAfterThirdCrash(const std::string& _path, base::Duration _slack) const
{
	size_t seen = 0;
	base::TimePoint third = base::TimePoint::max() - _slack;
	for (const auto& crash : crashes)
	{
		if (crash.path == _path && 3 == ++seen)
		{
			third = crash.time;
		}
	}
	return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(),
											 [&](const back_end_event& _arrival)
											 {
												 return _arrival.path == _path && _arrival.time > third + _slack;
											 }));
}

crashing_back_end::crashing_back_end(simulation::Process& _process, uint64_t _seed, size_t _node,
									 back_end_record& _record)
	: m_process(_process)
	, m_random(_seed)
	, m_node(_node)
	, m_record(_record)
{
}

uint64_t crashing_back_end::send(const wire::CallRequest& _request, base::Duration,
								 std::function<void(node::BackendAnswer)> _done)
{
	const auto id = ++m_last;
	if (!m_up)
	{
		m_process.schedule(kCloseDetectionDelay,
						   [_done]
						   {
							   _done({node::BackendOutcome::kNotSent, false, 0, {}, {}});
						   });
		return id;
	}
	m_record.arrivals.push_back({m_process.now(), _request.path, m_node});
	if (m_record.onArrival)
	{
		m_record.onArrival(m_record.arrivals.back());
	}
	m_running[id] = {_done, _request.path};
	const bool fatal = m_record.isFatal(_request.path);
	const auto run = fatal ? kCrashDelay : kMeanRunTime / 3 + m_random.duration(kMeanRunTime * 4 / 3);
	m_process.schedule(run,
					   [this, id, fatal]
					   {
						   if (0 == m_running.count(id))
						   {
							   return;
						   }
						   if (!fatal)
						   {
							   return complete(id);
						   }
						   m_record.crashes.push_back({m_process.now(), m_running[id].path, m_node});
						   crash();
					   });
	return id;
}

void crashing_back_end::crash()
{
	m_up = false;
	auto running = std::move(m_running);
	m_running.clear();
	for (auto& [id, run] : running)
	{
		m_process.schedule(kCloseDetectionDelay,
						   [done = run.done]
						   {
							   done({node::BackendOutcome::kUnknown, false, 0, {}, {}});
						   });
	}
	m_process.schedule(kRestartDelay,
					   [this]
					   {
						   m_up = true;
						   ++m_incarnation;
						   m_sequence = 0;
						   m_responseHeaders.clear();
						   m_startedAt = m_process.now() + m_record.clockStep * m_incarnation;
						   m_record.starts.push_back({m_process.now(), {}, m_node});
						   report();
					   });
}

void crashing_back_end::crashExternally()
{
	if (m_up)
	{
		m_record.externalCrashes.push_back(m_process.now());
		crash();
	}
}

void crashing_back_end::heartbeat()
{
	if (m_up)
	{
		report();
	}
	m_process.schedule(base::milliseconds(1500),
					   [this]
					   {
						   heartbeat();
					   });
}

void crashing_back_end::complete(uint64_t _id)
{
	const auto run = m_running.extract(_id);
	run.mapped().done({node::BackendOutcome::kCompleted, false, 200, m_responseHeaders, "whole"});
}

void crashing_back_end::setResponseHeader(const std::string& _name, const std::string& _value)
{
	std::erase_if(m_responseHeaders,
				  [&](const wire::HttpHeader& _header)
				  {
					  return _header.name == _name;
				  });
	if (_value.empty())
	{
		return;
	}
	wire::HttpHeader header;
	header.name = _name;
	header.value = _value;
	m_responseHeaders.push_back(header);
}

void crashing_back_end::report()
{
	node::BackendReport report;
	report.incarnation = "i-" + std::to_string(m_node);
	report.incarnation += m_record.keepIncarnationName ? "" : "-" + std::to_string(m_incarnation);
	report.startedAtMs = kClockAtStart + m_startedAt.time_since_epoch() / base::milliseconds(1);
	report.sequence = ++m_sequence;
	report.slots = kSlots;
	onReport(report);
}

}  // namespace driftlug::test
