#include "quarantine/crash_history.h"

#include <algorithm>

#include "quarantine/fingerprint_bytes.h"

namespace driftlug::quarantine
{
namespace
{
/// Maximum time between probes, so that it fits the value sent to callers.
constexpr base::Duration kMaxProbeDelay = std::chrono::hours(24 * 365);

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

crash_history::crash& crash_history::findOrAddCrash(const wire::CrashReport& _report)
{
	const auto [place, added] = m_crashes.try_emplace(static_cast<uint64_t>(_report.id));
	auto& known = place->second;
	if (added)
	{
		known.service = _report.serviceName;
		known.endpoint = _report.endpoint;
		known.at = m_time.now() - base::milliseconds(std::max<int64_t>(0, _report.ageMs));
		known.modifiedAt = m_time.now();
	}
	return known;
}

bool crash_history::addMark(uint64_t _id, crash* _crash, const request_fingerprint& _request, const mark& _mark)
{
	const auto [place, added] = _crash->requests.try_emplace(_request);
	auto& known = place->second;
	const bool probation = _mark.onProbation && !known.onProbation;
	const bool cleared = _mark.cleared && !known.cleared;
	known.onProbation = known.onProbation || _mark.onProbation;
	known.cleared = known.cleared || _mark.cleared;
	m_markCount += added ? 1 : 0;
	if (added && !known.cleared)
	{
		m_unclearedCrashes[_request].push_back(_id);
	}
	if (!added && cleared)
	{
		removeMark(_id, _request);
	}

	const bool changed = added || probation || cleared;
	if (changed)
	{
		_crash->modifiedAt = m_time.now();
	}
	return changed;
}

void crash_history::removeMark(uint64_t _id, const request_fingerprint& _request)
{
	const auto crashIds = m_unclearedCrashes.find(_request);
	std::erase(crashIds->second, _id);
	if (crashIds->second.empty())
	{
		m_unclearedCrashes.erase(crashIds);
	}
}

crash_history::reports crash_history::merge(std::span<const wire::CrashReport> _reports)
{
	reports changes;
	for (const auto& report : _reports)
	{
		auto& known = findOrAddCrash(report);
		wire::CrashReport changed = report;
		changed.requests.clear();
		for (const auto& request : report.requests)
		{
			const auto fingerprint = fingerprintFromBytes(request.fingerprint);
			const auto id = static_cast<uint64_t>(report.id);
			if (fingerprint && addMark(id, &known, *fingerprint, {request.onProbation, request.cleared}))
			{
				changed.requests.push_back(request);
			}
		}
		if (!changed.requests.empty())
		{
			changes.push_back(std::move(changed));
		}
	}
	clearExplained();
	dropExpired();
	evictExcess();
	return changes;
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
	const auto* crashIds = unclearedCrashesOf(_request);
	if (nullptr == crashIds)
	{
		return {};
	}

	reports cleared;
	for (const auto id : *crashIds)
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

const crash_history::crash_ids* crash_history::unclearedCrashesOf(const request_fingerprint& _request) const
{
	const auto found = m_unclearedCrashes.find(_request);
	return m_unclearedCrashes.end() == found ? nullptr : &found->second;
}

size_t crash_history::countProbationCrashes(const crash_ids& _crashes, const request_fingerprint& _request) const
{
	return static_cast<size_t>(std::count_if(_crashes.begin(), _crashes.end(),
											 [&](uint64_t _id)
											 {
												 return m_crashes.at(_id).requests.at(_request).onProbation;
											 }));
}

bool crash_history::crashedOnProbation(const request_fingerprint& _request) const
{
	const auto* crashIds = unclearedCrashesOf(_request);
	return nullptr != crashIds && 0 < countProbationCrashes(*crashIds, _request);
}

/// @returns Whether another request that was running during a crash explains it: one that has crashed a back end on
/// probation and has more crashes than _request. A request with the same number of crashes may itself be harmless: it
/// may have been on probation together with a crashing request that was not known yet.
bool crash_history::isExplainedByHeldRequest(uint64_t _crash, const request_fingerprint& _request) const
{
	const size_t own = unclearedCrashesOf(_request)->size();
	const auto& requests = m_crashes.at(_crash).requests;
	return std::any_of(requests.begin(), requests.end(),
					   [&](const auto& _item)
					   {
						   const auto* others = _item.second.cleared ? nullptr : unclearedCrashesOf(_item.first);
						   return nullptr != others && others->size() > own && crashedOnProbation(_item.first);
					   });
}

base::TimePoint crash_history::lastCrashOf(const crash_ids& _crashes) const
{
	base::TimePoint last{};
	for (const auto id : _crashes)
	{
		last = std::max(last, m_crashes.at(id).at);
	}
	return last;
}

base::TimePoint crash_history::nextProbeAt(const crash_ids& _crashes, const request_fingerprint& _request) const
{
	base::Duration wait = m_options.firstProbeDelay;
	for (size_t i = 1; i < countProbationCrashes(_crashes, _request) && wait < kMaxProbeDelay; ++i)
	{
		wait = std::min(kMaxProbeDelay, wait * m_options.probeBackoffFactor);
	}
	return lastCrashOf(_crashes) + wait;
}

request_status crash_history::statusOf(const request_fingerprint& _request, std::string_view _service) const
{
	const auto* crashIds = unclearedCrashesOf(_request);
	if (nullptr == crashIds)
	{
		return request_status::clear;
	}

	bool unexplained = false;
	bool inService = false;
	for (const auto id : *crashIds)
	{
		unexplained = unexplained || !isExplainedByHeldRequest(id, _request);
		inService = inService || m_crashes.at(id).service == _service;
	}
	if (!unexplained)
	{
		return request_status::clear;
	}

	const bool held =
		inService && 0 < countProbationCrashes(*crashIds, _request) && m_time.now() < nextProbeAt(*crashIds, _request);
	return held ? request_status::held : request_status::suspect;
}

base::Duration crash_history::untilProbe(const request_fingerprint& _request) const
{
	const auto* crashIds = unclearedCrashesOf(_request);
	if (nullptr == crashIds || 0 == countProbationCrashes(*crashIds, _request))
	{
		return base::Duration(0);
	}
	return std::max(base::Duration(0), nextProbeAt(*crashIds, _request) - m_time.now());
}

base::Duration crash_history::timeSinceLastCrash(const request_fingerprint& _request) const
{
	const auto* crashIds = unclearedCrashesOf(_request);
	return nullptr == crashIds ? base::Duration::max() : m_time.now() - lastCrashOf(*crashIds);
}

wire::CrashReport crash_history::reportOf(uint64_t _id, const crash& _crash) const
{
	wire::CrashReport report;
	report.id = static_cast<int64_t>(_id);
	report.serviceName = _crash.service;
	report.endpoint = _crash.endpoint;
	report.ageMs = ageOf(_crash.at, m_time.now()).count();
	const bool reportsDelivered = m_time.now() - _crash.modifiedAt > m_options.clearedRetention;
	for (const auto& [fingerprint, requestMark] : _crash.requests)
	{
		if (reportsDelivered && isObsolete(requestMark))
		{
			continue;
		}
		wire::CrashedRequest request;
		request.fingerprint = toBytes(fingerprint);
		request.onProbation = requestMark.onProbation;
		request.cleared = requestMark.cleared;
		report.requests.push_back(std::move(request));
	}
	return report;
}

crash_history::reports crash_history::all(const std::function<bool(const std::string& service)>& _includesService) const
{
	reports selected;
	for (const auto& [id, known] : m_crashes)
	{
		if (!_includesService(known.service))
		{
			continue;
		}
		auto report = reportOf(id, known);
		if (!report.requests.empty())
		{
			selected.push_back(std::move(report));
		}
	}
	return selected;
}

std::vector<quarantined_request> crash_history::quarantinedRequests() const
{
	std::vector<quarantined_request> result;
	for (const auto& [request, crashIds] : m_unclearedCrashes)
	{
		const auto& service = m_crashes.at(crashIds.back()).service;
		const auto treatedAs = statusOf(request, service);
		if (request_status::clear == treatedAs)
		{
			continue;
		}
		result.push_back(
			{request, service, treatedAs, crashIds.size(), m_time.now() - lastCrashOf(crashIds), untilProbe(request)});
	}
	return result;
}

/// @returns Whether no request is held because of a crash. A cleared mark of a request on probation counts too, so that
/// it is kept as long as uncleared marks; otherwise a node that was disconnected when the mark was cleared could cause
/// the request to be held again.
bool crash_history::causesNoHold(const crash& _crash) const
{
	return std::none_of(_crash.requests.begin(), _crash.requests.end(),
						[this](const auto& _item)
						{
							return _item.second.onProbation || crashedOnProbation(_item.first);
						});
}

/// Clears the marks of requests whose crashes are explained by held requests, so that they are no longer stored or
/// sent. Each process does this on its own; no reports are needed.
void crash_history::clearExplained()
{
	for (auto& [id, known] : m_crashes)
	{
		for (auto& [request, requestMark] : known.requests)
		{
			if (!requestMark.cleared && !crashedOnProbation(request) && isExplainedByHeldRequest(id, request))
			{
				requestMark.cleared = true;
				removeMark(id, request);
			}
		}
	}
}

/// Drops the cleared marks of requests that were not on probation. A node that subscribes after a hundred crashing
/// requests then receives 11 kB instead of 38 kB (1,487 marks, fleet of 300 nodes).
void crash_history::dropClearedMarks(crash* _crash)
{
	m_markCount -= std::erase_if(_crash->requests,
								 [](const auto& _item)
								 {
									 return isObsolete(_item.second);
								 });
}

void crash_history::dropExpired()
{
	const auto now = m_time.now();
	for (auto it = m_crashes.begin(); m_crashes.end() != it;)
	{
		const auto& requests = it->second.requests;
		if (now - it->second.modifiedAt > m_options.clearedRetention)
		{
			dropClearedMarks(&it->second);
		}
		const bool allCleared = std::all_of(requests.begin(), requests.end(),
											[](const auto& _item)
											{
												return _item.second.cleared;
											});
		const bool noneHeld = causesNoHold(it->second);
		const bool clearedExpired = allCleared && noneHeld && now - it->second.modifiedAt > m_options.clearedRetention;
		const bool suspectExpired =
			(noneHeld || allCleared) && now - it->second.modifiedAt > m_options.suspectRetention;
		it = clearedExpired || suspectExpired ? removeCrash(it) : std::next(it);
	}
}

void crash_history::evictExcess()
{
	while (m_markCount > m_options.maxMarks)
	{
		auto first = m_crashes.begin();
		const auto rank = [this](const auto& _item)
		{
			return std::make_pair(!causesNoHold(_item.second), _item.second.at);
		};
		for (auto it = m_crashes.begin(); m_crashes.end() != it; ++it)
		{
			first = rank(*it) < rank(*first) ? it : first;
		}
		removeCrash(first);
	}
}

crash_history::crashes::iterator crash_history::removeCrash(crashes::iterator _crash)
{
	for (const auto& [request, requestMark] : _crash->second.requests)
	{
		--m_markCount;
		if (!requestMark.cleared)
		{
			removeMark(_crash->first, request);
		}
	}
	return m_crashes.erase(_crash);
}

}  // namespace driftlug::quarantine
