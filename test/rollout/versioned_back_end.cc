#include "versioned_back_end.h"

#include <algorithm>

namespace driftlug::test
{
namespace
{
constexpr base::Duration kDetectionDelay = base::milliseconds(1);  // until the node detects that the process is gone
constexpr base::Duration kHeartbeat = base::milliseconds(1500);
constexpr int kOk = 200;
constexpr int kFailed = 500;

}  // namespace

size_t version_record::arrivalsOf(const std::string& _version, base::TimePoint _since) const
{
	return static_cast<size_t>(std::count_if(arrivals.begin(), arrivals.end(),
											 [&](const version_arrival& _arrival)
											 {
												 return _arrival.version == _version && _arrival.time >= _since;
											 }));
}

versioned_back_end::versioned_back_end(simulation::Process& _process, uint64_t _seed, size_t _node,
									   std::string _version, int _slots, version_record& _record)
	: m_process(_process)
	, m_random(_seed)
	, m_node(_node)
	, m_version(std::move(_version))
	, m_slots(_slots)
	, m_record(_record)
{
}

uint64_t versioned_back_end::send(const wire::CallRequest&, base::Duration,
								  std::function<void(node::BackendAnswer)> _done)
{
	const auto id = ++m_last;
	if (!m_up)
	{
		m_process.schedule(kDetectionDelay,
						   [_done]
						   {
							   _done({node::BackendOutcome::kNotSent, false, 0, {}, {}});
						   });
		return id;
	}
	const bool bad = m_version == m_record.badVersion && m_random.chance(m_record.badShare);
	m_record.arrivals.push_back({m_process.now(), m_version, m_node, bad});
	m_running[id] = std::move(_done);
	m_process.schedule(kRun / 3 + m_random.duration(kRun * 4 / 3),
					   [this, id, bad]
					   {
						   complete(id, bad);
					   });
	return id;
}

void versioned_back_end::complete(uint64_t _id, bool _bad)
{
	const auto run = m_running.extract(_id);
	if (!run.empty())
	{
		run.mapped()({node::BackendOutcome::kCompleted, false, _bad ? kFailed : kOk, {}, "whole"});
	}
}

void versioned_back_end::heartbeat()
{
	if (!m_up)
	{
		return;
	}
	node::BackendReport report;
	report.incarnation = "i-" + std::to_string(m_node);
	report.sequence = ++m_sequence;
	report.slots = m_slots;
	report.version = m_version;
	onReport(report);
	m_process.schedule(kHeartbeat,
					   [this]
					   {
						   heartbeat();
					   });
}

void versioned_back_end::stop()
{
	m_up = false;
	auto running = std::move(m_running);
	m_running.clear();
	for (auto& [id, done] : running)
	{
		m_process.schedule(kDetectionDelay,
						   [done]
						   {
							   done({node::BackendOutcome::kUnknown, false, 0, {}, {}});
						   });
	}
}

}  // namespace driftlug::test
