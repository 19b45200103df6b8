#include "lifecycle/planned_stop.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "simulation/process.h"

namespace driftlug::lifecycle
{
namespace
{
constexpr stop_times kTimes = {base::seconds(3), base::milliseconds(5500)};

/// Notes what it is asked for, and when.
class noted_target : public stop_target
{
public:
	explicit noted_target(const base::TimeSource& _time)
		: m_time(_time)
	{
	}

	void refuseNew() override
	{
		note("refuse new");
	}

	void refuseWaiting() override
	{
		note("refuse waiting");
	}

	bool idle() const override
	{
		return isIdle;
	}

	void end() override
	{
		note("end");
	}

	bool has(const std::string& _what) const
	{
		for (const auto& [what, atMs] : notes)
		{
			if (_what == what)
			{
				return true;
			}
		}
		return false;
	}

	bool isIdle = true;
	std::vector<std::pair<std::string, int64_t>> notes;  // What was asked for, and the ms since the start.

private:
	void note(const std::string& _what)
	{
		notes.emplace_back(_what, m_time.now().time_since_epoch().count() / 1000);
	}

	const base::TimeSource& m_time;
};

using notes = std::vector<std::pair<std::string, int64_t>>;

struct fixture
{
	fixture()
		: process(queue, "node", {"zone", "region"}, {"10.0.0.1", 1})
		, target(process)
		, stop(kTimes, process, target)
	{
		process.start();
	}

	void runUntil(int _ms)
	{
		while (queue.runNext(base::TimePoint{} + base::milliseconds(_ms)))
		{
		}
	}

	simulation::EventQueue queue;
	simulation::Process process;
	noted_target target;
	planned_stop stop;
};

}  // namespace

TEST_CASE_METHOD(fixture, "a stop takes calls for a while, refuses new ones and ends once nothing is in progress")
{
	target.isIdle = false;
	stop.begin();
	runUntil(4000);
	CHECK(notes{{"refuse new", 3000}} == target.notes);
	target.isIdle = true;
	runUntil(4100);
	CHECK(target.has("end"));
}

TEST_CASE_METHOD(fixture, "a stop gives up what waits before its time is over, and ends then")
{
	target.isIdle = false;
	stop.begin();
	runUntil(10'000);
	REQUIRE(3 <= target.notes.size());
	CHECK(std::pair<std::string, int64_t>("refuse waiting", 5300) == target.notes[1]);
	CHECK(std::pair<std::string, int64_t>("end", 5500) == target.notes.back());
}

TEST_CASE_METHOD(fixture, "a second order to stop changes nothing")
{
	target.isIdle = false;
	stop.begin();
	runUntil(2000);
	stop.begin();
	runUntil(10'000);
	CHECK(std::pair<std::string, int64_t>("end", 5500) == target.notes.back());
	CHECK(3 == target.notes.size());
}

}  // namespace driftlug::lifecycle
