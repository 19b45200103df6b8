#include "quarantine/crash_history.h"

#include <algorithm>

#include "quarantine/fingerprint_bytes.h"

namespace driftlug::quarantine
{
namespace
{
/// Probes are at most this far apart, so that the time fits where it is told to callers.
constexpr base::Duration kLongestProbe = std::chrono::hours(24 * 365);

base::milliseconds ageOf(base::TimePoint _at, base::TimePoint _now)
{
	return std::chrono::duration_cast<base::milliseconds>(_now - _at);
}

}  // namespace

crash_history::crash_history(const base::TimeSource& _time, const crash_history_options& _options)
	: m_time(_time)
	, m_options(_options)
{
}

crash_history::crash& crash_history::crashOf(const wire::CrashReport& _report)
{
	const auto [place, added] = m_crashes.try_emplace(static_cast<uint64_t>(_report.id));
	auto& known = place->second;
	if (added)
	{
		known.service = _report.serviceName;
		known.endpoint = _report.endpoint;
		known.at = m_time.now() - base::milliseconds(std::max<int64_t>(0, _report.ageMs));
		known.touchedAt = m_time.now();
	}
	return known;
}

bool crash_history::add(uint64_t _id, crash* _crash, const request_fingerprint& _request, const mark& _mark)
{
	const auto [place, added] = _crash->requests.try_emplace(_request);
	auto& known = place->second;
	const bool probation = _mark.onProbation && !known.onProbation;
	const bool cleared = _mark.cleared && !known.cleared;
	known.onProbation = known.onProbation || _mark.onProbation;
	known.cleared = known.cleared || _mark.cleared;
	m_remembered += added ? 1 : 0;
	if (added && !known.cleared)
	{
		m_marks[_request].push_back(_id);
	}
	if (!added && cleared)
	{
		unmark(_id, _request);
	}

	const bool news = added || probation || cleared;
	if (news)
	{
		_crash->touchedAt = m_time.now();
	}
	return news;
}

void crash_history::unmark(uint64_t _id, const request_fingerprint& _request)
{
	const auto marks = m_marks.find(_request);
	std::erase(marks->second, _id);
	if (marks->second.empty())
	{
		m_marks.erase(marks);
	}
}

crash_history::reports crash_history::merge(std::span<const wire::CrashReport> _reports)
{
	reports news;
	for (const auto& report : _reports)
	{
		auto& known = crashOf(report);
		wire::CrashReport changed = report;
		changed.requests.clear();
		for (const auto& request : report.requests)
		{
			const auto fingerprint = fingerprintFromBytes(request.fingerprint);
			const auto id = static_cast<uint64_t>(report.id);
			if (fingerprint && add(id, &known, *fingerprint, {request.onProbation, request.cleared}))
			{
				changed.requests.push_back(request);
			}
		}
		if (!changed.requests.empty())
		{
			news.push_back(std::move(changed));
		}
	}
	settle();
	forgetOld();
	forgetBeyondBound();
	return news;
}

crash_history::reports crash_history::addCrash(uint64_t _id, std::string_view _service, std::string_view _endpoint,
											   std::span<const crashed_run> _runs)
{
	wire::CrashReport report;
	report.id = static_cast<int64_t>(_id);
	report.serviceName = _service;
	report.endpoint = _endpoint;
	for (const auto& run : _runs)
	{
		wire::CrashedRequest request;
		request.fingerprint = toBytes(run.request);
		request.onProbation = run.onProbation;
		report.requests.push_back(std::move(request));
	}
	return merge({&report, 1});
}

crash_history::reports crash_history::clear(const request_fingerprint& _request)
{
	const auto* marks = marksOf(_request);
	if (nullptr == marks)
	{
		return {};
	}

	reports cleared;
	for (const auto id : *marks)
	{
		const auto& known = m_crashes.at(id);
		wire::CrashReport report;
		report.id = static_cast<int64_t>(id);
		report.serviceName = known.service;
		report.endpoint = known.endpoint;
		report.ageMs = ageOf(known.at, m_time.now()).count();
		wire::CrashedRequest request;
		request.fingerprint = toBytes(_request);
		request.onProbation = known.requests.at(_request).onProbation;
		request.cleared = true;
		report.requests.push_back(std::move(request));
		cleared.push_back(std::move(report));
	}
	return merge(cleared);
}

const crash_history::marks_of* crash_history::marksOf(const request_fingerprint& _request) const
{
	const auto found = m_marks.find(_request);
	return m_marks.end() == found ? nullptr : &found->second;
}

size_t crash_history::probationCrashes(const marks_of& _marks, const request_fingerprint& _request) const
{
	return static_cast<size_t>(std::count_if(_marks.begin(), _marks.end(),
											 [&](uint64_t _id)
											 {
												 return m_crashes.at(_id).requests.at(_request).onProbation;
											 }));
}

bool crash_history::crashedOnProbation(const request_fingerprint& _request) const
{
	const auto* marks = marksOf(_request);
	return nullptr != marks && 0 < probationCrashes(*marks, _request);
}

/// Whether another request that was at work in a crash is to blame: one that is held and has more crashes. With as many
/// it may be innocent itself, on probation beside a guilty one that nobody knew yet.
bool crash_history::accountedFor(uint64_t _crash, const request_fingerprint& _request) const
{
	const size_t own = marksOf(_request)->size();
	const auto& requests = m_crashes.at(_crash).requests;
	return std::any_of(requests.begin(), requests.end(),
					   [&](const auto& _item)
					   {
						   const auto* others = _item.second.cleared ? nullptr : marksOf(_item.first);
						   return nullptr != others && others->size() > own && crashedOnProbation(_item.first);
					   });
}

base::TimePoint crash_history::lastCrashOf(const marks_of& _marks) const
{
	base::TimePoint last{};
	for (const auto id : _marks)
	{
		last = std::max(last, m_crashes.at(id).at);
	}
	return last;
}

base::TimePoint crash_history::probeAt(const marks_of& _marks, const request_fingerprint& _request) const
{
	base::Duration wait = m_options.firstProbe;
	for (size_t i = 1; i < probationCrashes(_marks, _request) && wait < kLongestProbe; ++i)
	{
		wait = std::min(kLongestProbe, wait * m_options.probeFactor);
	}
	return lastCrashOf(_marks) + wait;
}

standing crash_history::standingOf(const request_fingerprint& _request, std::string_view _service) const
{
	const auto* marks = marksOf(_request);
	if (nullptr == marks)
	{
		return standing::clear;
	}

	bool counts = false;
	bool here = false;
	for (const auto id : *marks)
	{
		counts = counts || !accountedFor(id, _request);
		here = here || m_crashes.at(id).service == _service;
	}
	if (!counts)
	{
		return standing::clear;
	}

	const bool held = here && 0 < probationCrashes(*marks, _request) && m_time.now() < probeAt(*marks, _request);
	return held ? standing::held : standing::suspect;
}

base::Duration crash_history::untilProbe(const request_fingerprint& _request) const
{
	const auto* marks = marksOf(_request);
	if (nullptr == marks || 0 == probationCrashes(*marks, _request))
	{
		return base::Duration(0);
	}
	return std::max(base::Duration(0), probeAt(*marks, _request) - m_time.now());
}

base::Duration crash_history::sinceLastCrash(const request_fingerprint& _request) const
{
	const auto* marks = marksOf(_request);
	return nullptr == marks ? base::Duration::max() : m_time.now() - lastCrashOf(*marks);
}

wire::CrashReport crash_history::reportOf(uint64_t _id, const crash& _crash) const
{
	wire::CrashReport report;
	report.id = static_cast<int64_t>(_id);
	report.serviceName = _crash.service;
	report.endpoint = _crash.endpoint;
	report.ageMs = ageOf(_crash.at, m_time.now()).count();
	const bool settled = m_time.now() - _crash.touchedAt > m_options.clearedFor;
	for (const auto& [fingerprint, itsMark] : _crash.requests)
	{
		if (settled && isDone(itsMark))
		{
			continue;
		}
		wire::CrashedRequest request;
		request.fingerprint = toBytes(fingerprint);
		request.onProbation = itsMark.onProbation;
		request.cleared = itsMark.cleared;
		report.requests.push_back(std::move(request));
	}
	return report;
}

crash_history::reports crash_history::all(const std::function<bool(const std::string& service)>& _wants) const
{
	reports wanted;
	for (const auto& [id, known] : m_crashes)
	{
		if (!_wants(known.service))
		{
			continue;
		}
		auto report = reportOf(id, known);
		if (!report.requests.empty())
		{
			wanted.push_back(std::move(report));
		}
	}
	return wanted;
}

std::vector<known_request> crash_history::known() const
{
	std::vector<known_request> result;
	for (const auto& [request, marks] : m_marks)
	{
		const auto& service = m_crashes.at(marks.back()).service;
		const auto treatedAs = standingOf(request, service);
		if (standing::clear == treatedAs)
		{
			continue;
		}
		result.push_back(
			{request, service, treatedAs, marks.size(), m_time.now() - lastCrashOf(marks), untilProbe(request)});
	}
	return result;
}

/// Whether nothing in a crash holds a request. Cleared marks of one that was held are kept as long as others, so that a
/// node that was cut off meanwhile can't hold it again.
bool crash_history::isWorthLittle(const crash& _crash) const
{
	return std::none_of(_crash.requests.begin(), _crash.requests.end(),
						[this](const auto& _item)
						{
							return _item.second.onProbation || crashedOnProbation(_item.first);
						});
}

/// Clears what held requests account for, so that it is neither remembered nor sent any more. All processes do so by
/// themselves, and none needs to be told.
void crash_history::settle()
{
	for (auto& [id, known] : m_crashes)
	{
		for (auto& [request, itsMark] : known.requests)
		{
			if (!itsMark.cleared && !crashedOnProbation(request) && accountedFor(id, request))
			{
				itsMark.cleared = true;
				unmark(id, request);
			}
		}
	}
}

/// Drops the cleared marks of those that only were at work beside others: a node that subscribes after a hundred guilty
/// requests is sent 11 kB instead of 38 (1,487 marks, a fleet of 300 nodes).
void crash_history::forgetCleared(crash* _crash)
{
	m_remembered -= std::erase_if(_crash->requests,
								  [](const auto& _item)
								  {
									  return isDone(_item.second);
								  });
}

void crash_history::forgetOld()
{
	const auto now = m_time.now();
	for (auto it = m_crashes.begin(); m_crashes.end() != it;)
	{
		const auto& requests = it->second.requests;
		if (now - it->second.touchedAt > m_options.clearedFor)
		{
			forgetCleared(&it->second);
		}
		const bool allCleared = std::all_of(requests.begin(), requests.end(),
											[](const auto& _item)
											{
												return _item.second.cleared;
											});
		const bool little = isWorthLittle(it->second);
		const bool passed = allCleared && little && now - it->second.touchedAt > m_options.clearedFor;
		const bool old = (little || allCleared) && now - it->second.touchedAt > m_options.suspectFor;
		it = passed || old ? forget(it) : std::next(it);
	}
}

void crash_history::forgetBeyondBound()
{
	while (m_remembered > m_options.mostMarks)
	{
		auto first = m_crashes.begin();
		const auto rank = [this](const auto& _item)
		{
			return std::make_pair(!isWorthLittle(_item.second), _item.second.at);
		};
		for (auto it = m_crashes.begin(); m_crashes.end() != it; ++it)
		{
			first = rank(*it) < rank(*first) ? it : first;
		}
		forget(first);
	}
}

crash_history::crashes::iterator crash_history::forget(crashes::iterator _crash)
{
	for (const auto& [request, itsMark] : _crash->second.requests)
	{
		--m_remembered;
		if (!itsMark.cleared)
		{
			unmark(_crash->first, request);
		}
	}
	return m_crashes.erase(_crash);
}

}  // namespace driftlug::quarantine
