#include "soak/soak_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "fleet.h"
#include "soak/back_end_supervisor.h"
#include "soak/fault_injector.h"
#include "soak/invariant_checker.h"

namespace driftlug::soak
{
namespace
{
using nlohmann::json;

constexpr char kLoadName[] = "soak-load";
constexpr char kOpenName[] = "open-connections";
constexpr char kAfterName[] = "after-load";
constexpr char kFatalName[] = "fatal-load";
constexpr double kFatalRate = 3;  // Calls per second.
// Limits on the back ends that one request crashes: after the first crashes have become known, and in total.
constexpr size_t kMaxLateCrashes = 3;
constexpr size_t kMaxCrashes = 6;
constexpr int kLoadTailMs = 60'000;
constexpr int kAfterLoadMs = 3'000;
constexpr int kPollIntervalMs = 40;   // Between two checks of the fleet.
constexpr int kEditIntervalMs = 600;  // Between two edits.

/// Start or end of a fault.
struct event
{
	int atMs;
	soak_step* step;
	bool begin;
};

std::vector<event> eventsOf(std::vector<soak_step>* _plan)
{
	std::vector<event> events;
	for (auto& step : *_plan)
	{
		events.push_back({step.atMs, &step, true});
		events.push_back({step.atMs + step.forMs, &step, false});
	}
	std::stable_sort(events.begin(), events.end(),
					 [](const event& _left, const event& _right)
					 {
						 return _left.atMs < _right.atMs;
					 });
	return events;
}

}  // namespace

std::vector<soak_target> targetsOf(const tools::Fleet& _fleet)
{
	std::vector<soak_target> targets;
	for (const auto& member : _fleet.controllers())
	{
		targets.push_back({member.name, soak_role::controller});
	}
	for (const auto& member : _fleet.relays())
	{
		targets.push_back({member.name, soak_role::relay});
	}
	for (const auto& member : _fleet.entries())
	{
		targets.push_back({member.name, soak_role::entry});
	}
	for (const auto& endpoint : _fleet.endpoints())
	{
		targets.push_back({endpoint.node.name, soak_role::node});
		targets.push_back({endpoint.backendName, soak_role::back_end});
	}
	return targets;
}

soak_run::soak_run(tools::Fleet& _fleet, const soak_options& _options)
	: m_fleet(_fleet)
	, m_options(_options)
	, m_processFaults(makeProcessFaultInjector(_fleet, _options.stopByKill))
	, m_linkFaults(makeLinkFaultInjector(_fleet))
	, m_checker(std::make_unique<invariant_checker>(_fleet))
{
	if (!m_options.fatalPath.empty())
	{
		m_supervisor = std::make_unique<back_end_supervisor>(_fleet);
	}
}

soak_run::~soak_run() = default;

int soak_run::elapsedMs()
{
	const auto nowUs = m_fleet.http().loop().now().time_since_epoch().count();
	return static_cast<int>((nowUs - m_startedUs) / 1000);
}

void soak_run::addViolation(const std::string& _what)
{
	m_violations.push_back(fmt::format("{} ms: {}", elapsedMs(), _what));
}

bool soak_run::resolve(soak_step* _step)
{
	if (kLeaderTarget != _step->target && kFollowerTarget != _step->target)
	{
		return true;
	}
	const auto leader = m_fleet.leader();
	if (kLeaderTarget == _step->target)
	{
		_step->target = leader;
		return !leader.empty();
	}
	for (const auto& member : m_fleet.controllers())
	{
		if (leader != member.name && !m_checker->isFaulty(member.name))
		{
			_step->target = member.name;
			return true;
		}
	}
	return false;
}

void soak_run::apply(const soak_step& _step, bool _begin)
{
	if (soak_action::edit_storm == _step.action)
	{
		m_activeEditStorms += _begin ? 1 : -1;
		return;
	}
	if (!isDisruptive(_step.action))
	{
		if (_begin)
		{
			m_processFaults->begin(_step);
		}
		return;
	}
	if (!_begin)
	{
		return applyEnd(_step);
	}
	const auto nowUs = m_fleet.http().loop().now().time_since_epoch().count();
	if (soak_action::kill == _step.action || soak_action::pause == _step.action)
	{
		m_faultWindows[_step.target].push_back({nowUs, nowUs + int64_t{1000} * _step.forMs});
	}
	if (soak_action::restart == _step.action && !isReady(_step.target))
	{
		m_processFaults->expectEarlyStop(_step.target);
	}
	m_checker->setFaulty(_step.target, true);
	auto& faults = soak_action::link == _step.action ? *m_linkFaults : static_cast<fault_injector&>(*m_processFaults);
	faults.begin(_step);
}

bool soak_run::isReady(const std::string& _name)
{
	for (const auto& member : m_fleet.allMembers())
	{
		if (_name == member.name)
		{
			return m_fleet.isReady(member);
		}
	}
	return false;
}

void soak_run::applyEnd(const soak_step& _step)
{
	if (soak_action::link == _step.action)
	{
		m_linkFaults->end(_step);
		return m_checker->setFaulty(_step.target, false);
	}
	m_processFaults->end(_step);
	if (soak_action::pause == _step.action)
	{
		const auto nowUs = m_fleet.http().loop().now().time_since_epoch().count();
		m_faultWindows[_step.target].push_back({nowUs, nowUs});
		m_checker->setFaulty(_step.target, false);
	}
}

void soak_run::edit()
{
	const auto& services = m_fleet.deployment().services;
	const auto& service = services[static_cast<size_t>(m_edits) % services.size()];
	const auto note = fmt::format("soak-{}", ++m_edits);
	const json limit = {
		{"service", service.name}, {"max_concurrent", service.slots}, {"max_queued", 4 * service.slots + m_edits % 7}};
	const json edits =
		json::array({{{"kind", "limit"}, {"name", service.name}, {"expected_revision", -1}, {"row", limit}},
					 {{"kind", "note"}, {"name", note}, {"expected_revision", 0}, {"row", {{"text", note}}}}});
	const auto answer = m_fleet.edit(edits);
	if (200 != answer.status)
	{
		++m_unknownEdits;
		return;
	}
	m_acceptedNotes.push_back(note);
	const auto revision = answer.body.value("revision", int64_t{0});
	if (revision <= m_lastRevision)
	{
		addViolation(fmt::format("an accepted change got revision {} after {}", revision, m_lastRevision));
	}
	m_lastRevision = std::max(m_lastRevision, revision);
}

void soak_run::pollOnce(int _untilMs)
{
	if (m_activeEditStorms > 0 || elapsedMs() / kEditIntervalMs >= m_edits)
	{
		edit();
	}
	std::vector<std::string> started;
	if (auto wrong = m_processFaults->poll(&started); !wrong.empty())
	{
		addViolation(wrong);
	}
	for (const auto& name : started)
	{
		m_checker->setFaulty(name, false);
	}
	if (m_supervisor)
	{
		m_supervisor->poll();
	}
	if (auto wrong = m_checker->checkNext(); !wrong.empty())
	{
		addViolation(wrong);
	}
	m_fleet.http().wait(base::milliseconds(std::clamp(_untilMs - elapsedMs(), 1, kPollIntervalMs)));
}

void soak_run::pollUntil(int _atMs)
{
	while (elapsedMs() < _atMs)
	{
		pollOnce(_atMs);
	}
}

void soak_run::waitForRestarts()
{
	while (!m_processFaults->allRestarted() || (m_supervisor && !m_supervisor->allRunning()))
	{
		pollOnce(elapsedMs() + kPollIntervalMs);
	}
}

void soak_run::runPlan(std::vector<soak_step> _plan)
{
	std::set<const soak_step*> skipped;
	for (const auto& event : eventsOf(&_plan))
	{
		pollUntil(event.atMs);
		if (event.begin && !resolve(event.step))
		{
			skipped.insert(event.step);
		}
		if (0 == skipped.count(event.step))
		{
			apply(*event.step, event.begin);
		}
	}
	pollUntil(m_options.planOptions.durationMs);
	waitForRestarts();
}

void soak_run::checkRecovery()
{
	const auto healed = m_fleet.http().loop().now();
	for (const auto& member : m_fleet.allMembers())
	{
		if (!m_fleet.waitReady(member, m_options.recoveryLimitMs))
		{
			addViolation(
				fmt::format("{} is not ready {} ms after the last fault", member.name, m_options.recoveryLimitMs));
		}
	}
	const auto accepted = m_acceptedNotes.size();
	while (accepted == m_acceptedNotes.size()
		   && m_fleet.http().loop().now() - healed < base::milliseconds(m_options.recoveryLimitMs))
	{
		edit();
	}
	if (accepted == m_acceptedNotes.size())
	{
		addViolation(fmt::format("no change was accepted within {} ms of the last fault", m_options.recoveryLimitMs));
	}
	if (m_fleet.waitForConvergence(m_lastRevision, healed, m_options.recoveryLimitMs) < 0)
	{
		addViolation(fmt::format("revision {} is not in force everywhere", m_lastRevision));
	}
}

void soak_run::checkOpenConnections(json* _report)
{
	const auto summary = m_fleet.finishLoad(kOpenName, m_options.planOptions.durationMs + kLoadTailMs);
	(*_report)[kOpenName] = summary;
	const auto unanswered = m_fleet.unansweredRequests(kOpenName);
	if (summary.contains("failed") || !unanswered.is_array())
	{
		return addViolation(fmt::format("{} did not end", kOpenName));
	}
	std::map<std::string, std::string> entryOf;
	for (const auto& member : m_fleet.entries())
	{
		entryOf[fmt::format("127.0.0.1:{}", member.entryPort)] = member.name;
	}
	const auto runs = m_fleet.runCounts();
	for (const auto& request : requestsFromJson(unanswered))
	{
		const auto ran = runs.find(request.id);
		const auto& entry = entryOf[request.target];
		const auto wrong =
			findViolation(request, runs.end() == ran ? 0 : static_cast<int>(ran->second), m_faultWindows[entry]);
		if (!wrong.empty())
		{
			m_violations.push_back(fmt::format("{} ms: {}: {}", (request.endedUs - m_startedUs) / 1000, entry, wrong));
		}
	}
	for (const char* outcome : {"crossed", "truncated", "stray"})
	{
		if (const auto count = summary["outcomes"].value(outcome, int64_t{0}); 0 != count)
		{
			addViolation(fmt::format("{}: {} answers {}", kOpenName, count, outcome));
		}
	}
	checkRecords(kOpenName);
}

void soak_run::checkRecords(const std::string& _load)
{
	const auto records = m_fleet.checkRecords({_load});
	expectZero(_load, "ran more than once", records.duplicates);
	expectZero(_load, "answered as done did not run", records.lost);
	expectZero(_load, "answered as not run did run", records.falseNotRun);
}

void soak_run::expectZero(const std::string& _load, const char* _what, int64_t _count)
{
	if (0 != _count)
	{
		addViolation(fmt::format("{}: {} calls {}", _load, _count, _what));
	}
}

void soak_run::checkEdits()
{
	const auto rows = m_fleet.request("GET", "/v1/rows?kind=note");
	const auto text = rows.body.dump();
	for (const auto& note : m_acceptedNotes)
	{
		if (std::string::npos == text.find("\"" + note + "\""))
		{
			addViolation(fmt::format("the accepted change {} is gone", note));
		}
	}
}

void soak_run::checkCrashes(json* _report)
{
	(*_report)[kFatalName] = m_fleet.finishLoad(kFatalName, m_options.planOptions.durationMs + kLoadTailMs);
	(*_report)["crashes"] = m_supervisor->crashes();
	if (0 == m_supervisor->crashes())
	{
		addViolation("the request that crashes back ends reached none");
	}
	if (kMaxCrashes < m_supervisor->crashes() || kMaxLateCrashes < m_supervisor->lateCrashes())
	{
		addViolation(fmt::format("one request crashed {} back ends, {} of them long after the third",
								 m_supervisor->crashes(), m_supervisor->lateCrashes()));
	}
}

void soak_run::checkCalls(const std::string& _load, json* _report)
{
	const auto load = m_fleet.finishLoad(_load, m_options.planOptions.durationMs + kLoadTailMs);
	(*_report)[_load] = load;
	if (load.contains("failed"))
	{
		return addViolation(fmt::format("{} did not end", _load));
	}
	checkRecords(_load);
	expectZero(_load, "got another call's answer", load.value("crossed", int64_t{0}));
	expectZero(_load, "got a part of their answer", load.value("truncated", int64_t{0}));
	if (kAfterName == _load)
	{
		expectZero(_load, "failed without a fault", load.value("calls", int64_t{0}) - load.value("ok", int64_t{0}));
		for (const auto& endpoint : m_fleet.endpoints())
		{
			if (!load["by_backend"].contains(endpoint.backendName))
			{
				addViolation(fmt::format("{} gets no calls though it is well again", endpoint.backendName));
			}
		}
	}
}

json soak_run::run()
{
	auto targets = targetsOf(m_fleet);
	if (m_supervisor)
	{
		// Paused or disconnected back ends do not crash, and they have no proxy in this mode.
		std::erase_if(targets,
					  [](const soak_target& _target)
					  {
						  return soak_role::back_end == _target.role;
					  });
	}
	auto plan = m_options.rolling ? rollingPlan(targets, m_options.rollingStopGapMs)
								  : drawPlan(m_options.seed, targets, m_options.planOptions);
	if (m_options.rolling)
	{
		m_options.planOptions.durationMs = planEndMs(plan) + m_options.rollingStopGapMs;
	}
	json report = {{"seed", m_options.seed}, {"faults", plan.size()}, {"plan", json::array()}};
	for (const auto& step : plan)
	{
		report["plan"].push_back(textOf(step));
	}
	m_startedUs = m_fleet.http().loop().now().time_since_epoch().count();
	tools::LoadOptions load;
	load.rate = m_options.rate;
	load.filingShare = m_options.filingShare;
	load.durationMs = m_options.planOptions.durationMs;
	load.seed = static_cast<int>(m_options.seed % 1'000'000) + 1;
	m_fleet.startLoad(kLoadName, load);
	m_fleet.startPersistentCallers(kOpenName, load);
	if (m_supervisor)
	{
		auto fatal = load;
		fatal.samePath = m_options.fatalPath;
		fatal.rate = kFatalRate;
		fatal.filingShare = 0;
		m_fleet.startLoad(kFatalName, fatal);
	}
	runPlan(std::move(plan));
	if (m_supervisor)
	{
		checkCrashes(&report);
	}
	checkOpenConnections(&report);
	checkCalls(kLoadName, &report);
	checkRecovery();
	checkEdits();
	load.durationMs = kAfterLoadMs;
	load.seed += 1'000'000;
	m_fleet.startLoad(kAfterName, load);
	checkCalls(kAfterName, &report);
	report["processes"] = m_fleet.allMembers().size() + m_fleet.endpoints().size();
	report["edits_accepted"] = m_acceptedNotes.size();
	report["edits_unknown"] = m_unknownEdits;
	report["looks"] = m_checker->checks();
	report["broken"] = m_violations;
	return report;
}

}  // namespace driftlug::soak
