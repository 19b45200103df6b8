#include "soak/soak_run.h"

#include <fmt/format.h>

#include <algorithm>

#include "fleet.h"
#include "soak/fault_injector.h"
#include "soak/promise_watch.h"

namespace driftlug::soak
{
namespace
{
using nlohmann::json;

constexpr char kLoadName[] = "soak-load";
constexpr char kAfterName[] = "after-load";
constexpr int kLoadTailMs = 60'000;
constexpr int kAfterMs = 3'000;
constexpr int kLookMs = 40;   // Between two looks at the fleet.
constexpr int kEditMs = 600;  // Between two changes.

/// One end of a fault.
struct event
{
	int atMs;
	const soak_step* step;
	bool begin;
};

std::vector<event> eventsOf(const std::vector<soak_step>& _plan)
{
	std::vector<event> events;
	for (const auto& step : _plan)
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
	, m_processFaults(makeProcessFaults(_fleet))
	, m_linkFaults(makeLinkFaults(_fleet))
	, m_watch(std::make_unique<promise_watch>(_fleet))
{
}

soak_run::~soak_run() = default;

int soak_run::elapsedMs()
{
	const auto nowUs = m_fleet.http().loop().now().time_since_epoch().count();
	return static_cast<int>((nowUs - m_begunUs) / 1000);
}

void soak_run::broken(const std::string& _what)
{
	m_broken.push_back(fmt::format("{} ms: {}", elapsedMs(), _what));
}

void soak_run::apply(const soak_step& _step, bool _begin)
{
	auto& faults = soak_action::link == _step.action ? *m_linkFaults : *m_processFaults;
	if (_begin)
	{
		m_watch->setHarmed(_step.target, true);
		faults.begin(_step);
		return;
	}
	faults.end(_step);
	m_watch->setHarmed(_step.target, false);
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
		broken(fmt::format("an accepted change got revision {} after {}", revision, m_lastRevision));
	}
	m_lastRevision = std::max(m_lastRevision, revision);
}

void soak_run::idleUntil(int _atMs)
{
	while (elapsedMs() < _atMs)
	{
		if (elapsedMs() / kEditMs >= m_edits)
		{
			edit();
		}
		if (auto wrong = m_watch->look(); !wrong.empty())
		{
			broken(wrong);
		}
		m_fleet.http().wait(base::milliseconds(std::clamp(_atMs - elapsedMs(), 1, kLookMs)));
	}
}

void soak_run::play(const std::vector<soak_step>& _plan)
{
	for (const auto& event : eventsOf(_plan))
	{
		idleUntil(event.atMs);
		apply(*event.step, event.begin);
	}
	idleUntil(m_options.shape.durationMs);
}

void soak_run::checkRecovery()
{
	const auto healed = m_fleet.http().loop().now();
	for (const auto& member : m_fleet.allMembers())
	{
		if (!m_fleet.waitReady(member, m_options.recoverMs))
		{
			broken(fmt::format("{} is not ready {} ms after the last fault", member.name, m_options.recoverMs));
		}
	}
	edit();
	if (m_fleet.waitEverywhere(m_lastRevision, healed, m_options.recoverMs) < 0)
	{
		broken(fmt::format("revision {} is not in force everywhere", m_lastRevision));
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
			broken(fmt::format("the accepted change {} is gone", note));
		}
	}
}

void soak_run::checkCalls(const std::string& _load, json* _report)
{
	const auto load = m_fleet.finishLoad(_load, m_options.shape.durationMs + kLoadTailMs);
	const auto records = m_fleet.checkRecords({_load});
	(*_report)[_load] = load;
	const auto mustBeZero = [&](const char* _what, int64_t _count)
	{
		if (0 != _count)
		{
			broken(fmt::format("{}: {} calls {}", _load, _count, _what));
		}
	};
	if (load.contains("failed"))
	{
		return broken(fmt::format("{} did not end", _load));
	}
	mustBeZero("ran more than once", records.doubled);
	mustBeZero("answered as done did not run", records.lost);
	mustBeZero("answered as not run did run", records.falseNotRun);
	mustBeZero("got another call's answer", load.value("crossed", int64_t{0}));
	mustBeZero("got a part of their answer", load.value("truncated", int64_t{0}));
	if (kAfterName == _load)
	{
		mustBeZero("failed without a fault", load.value("calls", int64_t{0}) - load.value("ok", int64_t{0}));
		for (const auto& endpoint : m_fleet.endpoints())
		{
			if (!load["by_backend"].contains(endpoint.backendName))
			{
				broken(fmt::format("{} gets no calls though it is well again", endpoint.backendName));
			}
		}
	}
}

json soak_run::run()
{
	const auto targets = targetsOf(m_fleet);
	const auto plan = drawPlan(m_options.seed, targets, m_options.shape);
	json report = {{"seed", m_options.seed}, {"faults", plan.size()}, {"plan", json::array()}};
	for (const auto& step : plan)
	{
		report["plan"].push_back(textOf(step));
	}
	m_begunUs = m_fleet.http().loop().now().time_since_epoch().count();
	tools::LoadOptions load;
	load.rate = m_options.rate;
	load.filingShare = m_options.filingShare;
	load.durationMs = m_options.shape.durationMs;
	load.seed = static_cast<int>(m_options.seed % 1'000'000) + 1;
	m_fleet.startLoad(kLoadName, load);
	play(plan);
	checkCalls(kLoadName, &report);
	checkRecovery();
	checkEdits();
	load.durationMs = kAfterMs;
	load.seed += 1'000'000;
	m_fleet.startLoad(kAfterName, load);
	checkCalls(kAfterName, &report);
	report["edits_accepted"] = m_acceptedNotes.size();
	report["edits_unknown"] = m_unknownEdits;
	report["looks"] = m_watch->looks();
	report["broken"] = m_broken;
	return report;
}

}  // namespace driftlug::soak
