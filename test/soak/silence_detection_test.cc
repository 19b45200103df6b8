/// Measures how soon each kind of connection is closed after it goes silent without a close.
#include <unistd.h>
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <vector>

#include "exact_histogram.h"
#include "small_fleet.h"
#include "soak/link_fault.h"

namespace driftlug::tools
{
namespace
{
constexpr base::Duration kPoll = base::milliseconds(5);
constexpr base::Duration kReconnectTime = base::seconds(6);  //!< Until all processes have reconnected.
constexpr base::Duration kDetectionLimit = base::seconds(20);
constexpr double kCallsPerSecond = 200;

/// A kind of connection, and the log line that an observer writes when it closes a silent one.
struct connection_kind
{
	std::string name;
	std::string muted;                   //!< The process whose connections go silent.
	std::vector<std::string> observers;  //!< Each must write the line.
	std::string line;
	base::Duration bound;
};

/// A small fleet under load, behind a fault proxy.
class silenced_fleet
{
public:
	explicit silenced_fleet(int _durationMs)
		: m_fleet(behindProxy())
	{
		m_fleet.startLoad(kCallsPerSecond, _durationMs);
		::usleep(1'000'000);
	}

	Fleet& fleet() const
	{
		return *m_fleet;
	}

	/// @returns The time from the start of the silence to each observer's log line.
	std::vector<base::Duration> detect(const connection_kind& _kind)
	{
		std::map<std::string, size_t> seen;
		for (const auto& observer : _kind.observers)
		{
			seen[observer] = linesOf(observer, _kind.line);
		}
		const auto begun = base::BootClock::now();
		REQUIRE(m_fleet->setLinkFault(_kind.muted, soak::nameOf(soak::link_fault::mute), 0, 0));
		std::vector<base::Duration> delays;
		while (!seen.empty() && base::BootClock::now() - begun < kDetectionLimit)
		{
			::usleep(static_cast<useconds_t>(kPoll.count()));
			std::erase_if(
				seen,
				[&](const auto& _seen)
				{
					if (linesOf(_seen.first, _kind.line) == _seen.second)
					{
						return false;
					}
					delays.push_back(std::chrono::duration_cast<base::Duration>(base::BootClock::now() - begun));
					return true;
				});
		}
		for (const auto& [observer, count] : seen)
		{
			FAIL_CHECK(_kind.name << ": " << observer << " has not detected the silence");
		}
		REQUIRE(m_fleet->setLinkFault(_kind.muted, soak::nameOf(soak::link_fault::none), 0, 0));
		::usleep(static_cast<useconds_t>(kReconnectTime.count()));
		return delays;
	}

private:
	static FleetOptions behindProxy()
	{
		FleetOptions options;
		options.faultProxy = true;
		return options;
	}

	size_t linesOf(const std::string& _process, const std::string& _line) const
	{
		const auto output = m_fleet->processes().output(_process);
		size_t count = 0;
		for (size_t at = output.find(_line); std::string::npos != at; at = output.find(_line, at + 1))
		{
			++count;
		}
		return count;
	}

	small_fleet m_fleet;
};

std::vector<std::string> namesOf(const std::vector<FleetMember>& _members)
{
	std::vector<std::string> names;
	for (const auto& member : _members)
	{
		names.push_back(member.name);
	}
	return names;
}

/// @returns The kinds of connections; each comment lists the terms of the bound.
std::vector<connection_kind> kindsOf(Fleet& _fleet)
{
	const auto relay = _fleet.relays()[0].name;
	const auto leader = _fleet.leader();
	std::vector<std::string> followers;
	for (const auto& controller : _fleet.controllers())
	{
		if (controller.name != leader)
		{
			followers.push_back(controller.name);
		}
	}
	const auto& endpoint = _fleet.endpoints()[0].node.name;
	return {
		// 250 ms timeout, checked every 100 ms, plus the time to the next call; doubled for load.
		{"node to node, calls in progress", endpoint, namesOf(_fleet.entries()), " is silent",
		 base::milliseconds(1500)},
		// 1.8 s heartbeat timeout, checked every 200 ms.
		{"node to relay", relay, namesOf(_fleet.allNodes()), ": silent,", base::milliseconds(2500)},
		// A keep-alive every second, 2 s timeout for its reply, checked every 250 ms.
		{"relay to controller", leader, {relay}, ": it is silent", base::milliseconds(3800)},
		{"controller to controller", leader, followers, ": it is silent", base::milliseconds(3800)},
	};
}

void check(int _rounds, int _durationMs)
{
	silenced_fleet muted(_durationMs);
	std::map<std::string, ExactHistogram> delays;
	for (int round = 0; round < _rounds; ++round)
	{
		// Evaluated again for each kind, since the leader may have changed.
		for (size_t position = 0; position < kindsOf(muted.fleet()).size(); ++position)
		{
			const auto kind = kindsOf(muted.fleet())[position];
			for (const auto delay : muted.detect(kind))
			{
				delays[kind.name].add(delay.count());
				CHECK(delay < kind.bound);
			}
		}
	}
	for (auto& [name, all] : delays)
	{
		WARN(name << ": " << all.count() << " connections, p50 " << all.percentile(0.5) << " us, longest "
				  << all.percentile(1) << " us");
	}
}

}  // namespace

TEST_CASE("silent connections are closed within the time limit of their kind")
{
	check(1, 60'000);
}

TEST_CASE("figures of silence: ten rounds of each kind", "[.figures]")
{
	check(10, 500'000);
}

}  // namespace driftlug::tools
