#include "load_model/load_pattern.h"

#include <toml++/toml.h>

#include "base/error.h"

namespace driftlug::load_model
{
namespace
{
template <typename T>
T valueOf(const toml::table& _table, std::string_view _name, T _default)
{
	return _table[_name].value_or(_default);
}

/// Calls back for each table in an array of tables.
template <typename Callback>
void forEach(const toml::table& _table, std::string_view _name, Callback _callback)
{
	const auto* list = _table[_name].as_array();
	if (nullptr == list)
	{
		return;
	}
	for (const auto& item : *list)
	{
		if (const auto* entry = item.as_table())
		{
			_callback(*entry);
		}
	}
}

service_pattern serviceOf(const toml::table& _table)
{
	service_pattern service;
	service.name = valueOf(_table, "name", std::string());
	service.backEnds = static_cast<size_t>(valueOf<int64_t>(_table, "back_ends", 0));
	service.slots = static_cast<int>(valueOf<int64_t>(_table, "slots", 1));
	service.queue = static_cast<int>(valueOf<int64_t>(_table, "queue", 0));
	service.reportedFigures = static_cast<int>(valueOf<int64_t>(_table, "reported_figures", 0));
	service.slowShare = valueOf(_table, "slow_share", 0.0);
	service.slowFactor = valueOf(_table, "slow_factor", service.slowFactor);
	service.slowIntervalMs = static_cast<int>(valueOf<int64_t>(_table, "slow_interval_ms", service.slowIntervalMs));
	if (const auto* speeds = _table["speeds"].as_array())
	{
		service.speeds.clear();
		for (const auto& speed : *speeds)
		{
			service.speeds.push_back(speed.value_or(1.0));
		}
	}
	return service;
}

kind_pattern kindOf(const toml::table& _table)
{
	kind_pattern kind;
	kind.name = valueOf(_table, "name", std::string());
	kind.service = valueOf(_table, "service", std::string());
	kind.perSecond = valueOf(_table, "per_s", 0.0);
	kind.workMs = valueOf(_table, "work_ms", 0.0);
	kind.spread = valueOf(_table, "spread", 0.0);
	kind.maxWorkMs = valueOf(_table, "most_work_ms", 1e9);
	kind.targetMs = static_cast<int>(valueOf<int64_t>(_table, "target_ms", 0));
	kind.deadlineMs = static_cast<int>(valueOf<int64_t>(_table, "deadline_ms", 1000));
	kind.timeoutMs = static_cast<int>(valueOf<int64_t>(_table, "timeout_ms", kind.deadlineMs));
	kind.priority = static_cast<int>(valueOf<int64_t>(_table, "priority", 0));
	kind.repeatable = valueOf(_table, "repeatable", true);
	kind.callerRetries = static_cast<int>(valueOf<int64_t>(_table, "caller_retries", 0));
	kind.utility = valueOf(_table, "worth", kind.utility);
	kind.lateUtilityShare = valueOf(_table, "late_share", kind.lateUtilityShare);
	kind.requestBytes = valueOf(_table, "request_bytes", 0.0);
	kind.answerBytes = valueOf(_table, "answer_bytes", 0.0);
	kind.fixedAnswerBytes = valueOf(_table, "fixed_answer_bytes", false);
	kind.largeAnswers = valueOf(_table, "large_answers", false);
	if (const auto* nested = _table["nested"].as_table())
	{
		kind.nested.kind = valueOf(*nested, "kind", std::string());
		kind.nested.times = static_cast<int>(valueOf<int64_t>(*nested, "times", 1));
		kind.nested.share = valueOf(*nested, "share", 1.0);
		kind.nested.concurrent = valueOf(*nested, "together", false);
	}
	return kind;
}

/// @returns The first error in a pattern; empty if it is valid.
std::string problemOf(const load_pattern& _pattern)
{
	const auto knows = [](const auto& _list, const std::string& _name)
	{
		return std::any_of(_list.begin(), _list.end(),
						   [&](const auto& _item)
						   {
							   return _item.name == _name;
						   });
	};
	for (const auto& service : _pattern.services)
	{
		if (0 == service.backEnds || service.speeds.empty())
		{
			return "service " + service.name + " has no back ends";
		}
		if (0 != service.reportedFigures && 3 != service.reportedFigures && 4 != service.reportedFigures)
		{
			return "service " + service.name + " reports other than 0, 3 or 4 figures";
		}
		if (0 > service.slowShare || 1 < service.slowShare || 0 >= service.slowFactor || 0 >= service.slowIntervalMs)
		{
			return "service " + service.name + " has slow intervals that can't be";
		}
	}
	for (const auto& kind : _pattern.kinds)
	{
		if (!knows(_pattern.services, kind.service))
		{
			return "kind " + kind.name + " asks an unknown service";
		}
		if (!kind.nested.kind.empty() && !knows(_pattern.kinds, kind.nested.kind))
		{
			return "kind " + kind.name + " calls an unknown kind";
		}
	}
	return _pattern.kinds.empty() ? "no kinds of requests" : "";
}

}  // namespace

absl::StatusOr<load_pattern> readPattern(const std::string& _path)
{
	load_pattern pattern;
	try
	{
		const auto table = toml::parse_file(_path);
		pattern.name = valueOf(table, "name", _path);
		pattern.linkMbps = valueOf(table, "link_mbps", pattern.linkMbps);
		pattern.zoneDelayMs = valueOf(table, "zone_delay_ms", pattern.zoneDelayMs);
		pattern.zones = static_cast<size_t>(valueOf<int64_t>(table, "zones", 1));
		pattern.lengthS = valueOf(table, "length_s", pattern.lengthS);
		forEach(table, "services",
				[&](const toml::table& _entry)
				{
					pattern.services.push_back(serviceOf(_entry));
				});
		forEach(table, "kinds",
				[&](const toml::table& _entry)
				{
					pattern.kinds.push_back(kindOf(_entry));
				});
		forEach(table, "bursts",
				[&](const toml::table& _entry)
				{
					pattern.bursts.push_back(
						{valueOf(_entry, "from_s", 0.0), valueOf(_entry, "to_s", 0.0), valueOf(_entry, "factor", 1.0)});
				});
		forEach(table, "outages",
				[&](const toml::table& _entry)
				{
					pattern.outages.push_back({valueOf(_entry, "service", std::string()),
											   static_cast<size_t>(valueOf<int64_t>(_entry, "back_ends", 0)),
											   valueOf(_entry, "from_s", 0.0), valueOf(_entry, "to_s", 0.0)});
				});
	}
	catch (const toml::parse_error& error)
	{
		return base::makeError(base::ErrorCode::kBadSetting, _path + ": " + std::string(error.description()));
	}
	if (const auto problem = problemOf(pattern); !problem.empty())
	{
		return base::makeError(base::ErrorCode::kBadSetting, _path + ": " + problem);
	}
	return pattern;
}

}  // namespace driftlug::load_model
