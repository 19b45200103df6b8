#include "load_model/modelled_back_end.h"

#include <algorithm>
#include <cmath>

namespace driftlug::load_model
{
namespace
{
constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr int kTimedOut = 504;
constexpr int kFull = 503;
constexpr char kNotRunHeader[] = "x-shed";
/// Round-trip time between a node and its local back end.
constexpr base::Duration kLocalDelay = base::microseconds(300);

double drawNormal(base::RandomSource* _random)
{
	// Approximates a standard normal distribution: the sum of twelve uniform draws has a variance of one.
	double sum = -6;
	for (int i = 0; i < 12; ++i)
	{
		sum += _random->unit();
	}
	return sum;
}

node::BackendAnswer answerOf(int _status, size_t _bytes)
{
	node::BackendAnswer answer;
	answer.outcome = node::BackendOutcome::kCompleted;
	answer.httpStatus = _status;
	answer.body = std::string(_bytes, 'a');
	return answer;
}

}  // namespace

modelled_back_end::modelled_back_end(simulation::Process& _process, base::RandomSource _random,
									 const service_pattern& _service, double _speed,
									 const std::map<std::string, kind_pattern>& _kinds, slot_time_totals& _totals)
	: m_process(_process)
	, m_random(_random)
	, m_service(_service)
	, m_speed(_speed)
	, m_kinds(_kinds)
	, m_totals(_totals)
{
}

void modelled_back_end::drawPace()
{
	m_pace = m_random.chance(m_service.slowShare) ? m_service.slowFactor : 1;
	m_process.schedule(base::milliseconds(m_service.slowIntervalMs),
					   [this]
					   {
						   drawPace();
					   });
}

std::vector<wire::HttpHeader> modelled_back_end::loadHeaders() const
{
	if (0 == m_service.reportedFigures)
	{
		return {};
	}
	wire::HttpHeader header;
	header.name = kLoadHeader;
	header.value =
		std::to_string(m_busySlots) + "," + std::to_string(m_waiting.size()) + "," + std::to_string(m_service.slots);
	if (3 < m_service.reportedFigures)
	{
		header.value += "," + std::to_string(std::lround(100 * m_pace));
	}
	return {header};
}

uint64_t modelled_back_end::send(const wire::CallRequest& _request, base::Duration _timeout,
								 std::function<void(node::BackendAnswer)> _done)
{
	const auto id = ++m_lastId;
	// Not at construction, when the process does not run yet and would drop the timer.
	if (1 == id && 0 < m_service.slowShare)
	{
		drawPace();
	}
	// The first path segment is the name of the request's kind.
	const auto name = _request.path.substr(1, _request.path.find('/', 1) - 1);
	const bool full = m_busySlots >= m_service.slots && m_waiting.size() >= static_cast<size_t>(m_service.queue);
	if (!m_up || full)
	{
		m_process.schedule(kLocalDelay,
						   [_done, up = m_up]
						   {
							   auto answer = answerOf(kFull, 0);
							   wire::HttpHeader notRun;
							   notRun.name = kNotRunHeader;
							   answer.headers.push_back(notRun);
							   answer.outcome = up ? answer.outcome : node::BackendOutcome::kNotSent;
							   _done(answer);
						   });
		return id;
	}
	auto& added = m_runs[id];
	added.kind = &m_kinds.at(name);
	added.done = std::move(_done);
	added.deadline = m_process.now() + _timeout;
	m_waiting.push_back(id);
	startNext();
	return id;
}

void modelled_back_end::startNext()
{
	while (m_busySlots < m_service.slots && !m_waiting.empty())
	{
		const auto id = m_waiting.front();
		m_waiting.pop_front();
		start(id);
	}
}

void modelled_back_end::start(uint64_t _id)
{
	auto& run = m_runs.at(_id);
	run.started = true;
	run.startedAt = m_process.now();
	++m_busySlots;
	const auto left = run.deadline - m_process.now();
	m_process.schedule(std::max(base::Duration(0), left),
					   [this, _id]
					   {
						   finish(_id, kTimedOut);
					   });
	const auto& nested = run.kind->nested;
	run.remainingCalls = !nested.kind.empty() && m_call && m_random.chance(nested.share) ? nested.times : 0;
	if (0 == run.remainingCalls)
	{
		return work(_id);
	}
	callNested(_id);
}

void modelled_back_end::callNested(uint64_t _id)
{
	auto& run = m_runs.at(_id);
	const auto& nested = run.kind->nested;
	const int calls = nested.concurrent ? run.remainingCalls : 1;
	run.remainingCalls -= calls;
	run.pendingCalls += calls;
	const auto left = std::chrono::duration_cast<base::milliseconds>(run.deadline - m_process.now());
	const int deadlineMs = std::min(m_kinds.at(nested.kind).deadlineMs, static_cast<int>(left.count()));
	const auto name = nested.kind;
	for (int i = 0; i < calls; ++i)
	{
		m_call(name, std::max(1, deadlineMs),
			   [this, _id](bool _served)
			   {
				   onNested(_id, _served);
			   });
	}
}

void modelled_back_end::onNested(uint64_t _id, bool _served)
{
	const auto found = m_runs.find(_id);
	if (m_runs.end() == found)
	{
		return;
	}
	auto& run = found->second;
	--run.pendingCalls;
	run.failed = run.failed || !_served;
	if (0 < run.pendingCalls)
	{
		return;
	}
	if (run.failed)
	{
		return finish(_id, kFailed);
	}
	if (0 < run.remainingCalls)
	{
		return callNested(_id);
	}
	work(_id);
}

double modelled_back_end::drawWorkMs(const kind_pattern& _kind)
{
	const double drawn =
		_kind.workMs * std::exp(_kind.spread * drawNormal(&m_random) - _kind.spread * _kind.spread / 2);
	return std::min(drawn, _kind.maxWorkMs) / m_speed * m_pace;
}

void modelled_back_end::work(uint64_t _id)
{
	const auto& run = m_runs.at(_id);
	const auto time = std::chrono::duration<double, std::milli>(drawWorkMs(*run.kind));
	m_process.schedule(std::chrono::duration_cast<base::Duration>(time),
					   [this, _id]
					   {
						   finish(_id, kOk);
					   });
}

void modelled_back_end::finish(uint64_t _id, int _status)
{
	auto ended = m_runs.extract(_id);
	if (ended.empty())
	{
		return;
	}
	auto& run = ended.mapped();
	const double heldMs = std::chrono::duration<double, std::milli>(m_process.now() - run.startedAt).count();
	(kOk == _status ? m_totals.usefulMs : m_totals.wastedMs) += heldMs;
	--m_busySlots;
	const double drawn = run.kind->fixedAnswerBytes ? 1 : -std::log(1 - m_random.unit());
	const auto bytes = kOk == _status ? run.kind->answerBytes * drawn : 0;
	m_process.schedule(kLocalDelay,
					   [done = std::move(run.done), _status, bytes, load = loadHeaders()]
					   {
						   auto answer = answerOf(_status, static_cast<size_t>(bytes));
						   answer.headers = load;
						   done(std::move(answer));
					   });
	startNext();
}

void modelled_back_end::cancel(uint64_t _id)
{
	const auto found = m_runs.find(_id);
	if (m_runs.end() == found)
	{
		return;
	}
	std::erase(m_waiting, _id);
	if (found->second.started)
	{
		m_totals.wastedMs +=
			std::chrono::duration<double, std::milli>(m_process.now() - found->second.startedAt).count();
		--m_busySlots;
	}
	m_runs.erase(found);
	startNext();
}

void modelled_back_end::setUp(bool _up)
{
	m_up = _up;
	if (_up)
	{
		return;
	}
	auto lost = std::move(m_runs);
	m_runs.clear();
	m_waiting.clear();
	m_busySlots = 0;
	for (auto& [id, run] : lost)
	{
		m_process.schedule(kLocalDelay,
						   [done = std::move(run.done)]
						   {
							   done({node::BackendOutcome::kUnknown, false, 0, {}, {}});
						   });
	}
}

}  // namespace driftlug::load_model
