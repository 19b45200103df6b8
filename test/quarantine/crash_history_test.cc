#include "quarantine/crash_history.h"

#include <catch2/catch.hpp>

#include "manual_time.h"
#include "quarantine/fingerprint_bytes.h"

namespace driftlug::quarantine
{
namespace
{
constexpr char kService[] = "tiles";

request_fingerprint numbered(uint64_t _number)
{
	return {_number, 77};
}

const auto kCrashing = numbered(1);
const auto kOther = numbered(2);
const auto kThird = numbered(3);

struct fixture
{
	test::ManualTime time;
	crash_history history{time};

	request_status of(const request_fingerprint& _request) const
	{
		return history.statusOf(_request, kService);
	}
};

}  // namespace

TEST_CASE_METHOD(fixture, "all requests that ran on a crashed back end are suspects, and no others")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}});
	CHECK(request_status::suspect == of(kCrashing));
	CHECK(request_status::suspect == of(kOther));
	CHECK(request_status::clear == of(kThird));
}

TEST_CASE_METHOD(fixture, "crashes shared with other requests never hold a request; a single crash on probation does")
{
	for (uint64_t id = 10; id < 20; ++id)
	{
		history.addCrash(id, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}});
	}
	CHECK(request_status::suspect == of(kCrashing));
	history.addCrash(20, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}, {kThird}});
	CHECK(request_status::held == of(kCrashing));
	CHECK(history.untilProbe(kCrashing) == std::chrono::minutes(5));
}

TEST_CASE_METHOD(fixture, "a held request explains its crashes, and other requests are no longer suspects")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}});
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}, {kThird}});
	CHECK(request_status::clear == of(kOther));
	CHECK(request_status::clear == of(kThird));
	CHECK(1 == history.quarantinedRequests().size());
}

TEST_CASE_METHOD(fixture, "a request held in place of an unknown crashing request is released once that one is held")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}});
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing}, {kOther, true}});
	CHECK(request_status::held == of(kOther));
	history.addCrash(12, kService, "i-3", std::vector<crashed_run>{{kCrashing, true}});
	CHECK(request_status::held == of(kCrashing));
	CHECK(request_status::clear == of(kOther));
}

TEST_CASE_METHOD(fixture, "a successful run clears a suspect, and later crashes count again")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}});
	CHECK(1 == history.clear(kOther).size());
	CHECK(request_status::clear == of(kOther));
	CHECK(request_status::suspect == of(kCrashing));
	CHECK(history.clear(kOther).empty());
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kOther}});
	CHECK(request_status::suspect == of(kOther));
}

TEST_CASE_METHOD(fixture, "reports may arrive in any order and repeatedly")
{
	crash_history origin(time);
	auto crash = origin.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}});
	const auto cleared = origin.clear(kOther);
	history.merge(cleared);
	CHECK(request_status::clear == of(kOther));
	CHECK(1 == history.merge(crash).size());
	CHECK(request_status::clear == of(kOther));
	CHECK(request_status::suspect == of(kCrashing));
	CHECK(history.merge(crash).empty());
	CHECK(history.merge(cleared).empty());
}

TEST_CASE_METHOD(fixture, "a later report that adds probation is a change")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}});
	CHECK(1 == history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing, true}}).size());
	CHECK(request_status::held == of(kCrashing));
}

TEST_CASE_METHOD(fixture, "a process that merges all marks of another one treats requests alike")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}, {kOther}, {kThird}});
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}});
	history.addCrash(12, "orders", "i-3", std::vector<crashed_run>{{kThird}});
	time.advance(base::seconds(30));
	crash_history restarted(time);
	restarted.merge(history.all(
		[](const std::string& _service)
		{
			return kService == _service;
		}));
	CHECK(request_status::held == restarted.statusOf(kCrashing, kService));
	CHECK(request_status::clear == restarted.statusOf(kOther, kService));
	CHECK(request_status::clear == restarted.statusOf(kThird, kService));
	CHECK(history.untilProbe(kCrashing) == restarted.untilProbe(kCrashing));
}

TEST_CASE_METHOD(fixture, "a request held for one service is a suspect for another")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}});
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}});
	CHECK(request_status::held == of(kCrashing));
	CHECK(request_status::suspect == history.statusOf(kCrashing, "other"));
}

TEST_CASE_METHOD(fixture, "a held request is probed at increasing intervals, and is cleared by a successful run")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}});
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}});
	time.advance(std::chrono::minutes(5) - base::seconds(1));
	CHECK(request_status::held == of(kCrashing));
	time.advance(base::seconds(1));
	CHECK(request_status::suspect == of(kCrashing));
	history.addCrash(12, kService, "i-3", std::vector<crashed_run>{{kCrashing, true}});
	CHECK(request_status::held == of(kCrashing));
	CHECK(history.untilProbe(kCrashing) == std::chrono::hours(1));
	time.advance(std::chrono::hours(1));
	CHECK(request_status::suspect == of(kCrashing));
	history.clear(kCrashing);
	CHECK(request_status::clear == of(kCrashing));
	CHECK(history.empty());
}

TEST_CASE_METHOD(fixture, "probes end four back ends within a week, and six in a hundred days")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}});
	history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}});
	size_t probes = 0;
	size_t probesInAWeek = 0;
	for (int minutes = 0; minutes < 100 * 24 * 60; ++minutes)
	{
		time.advance(std::chrono::minutes(1));
		if (request_status::suspect == of(kCrashing))
		{
			history.addCrash(12 + probes, kService, "i-3", std::vector<crashed_run>{{kCrashing, true}});
			++probes;
		}
		probesInAWeek = 7 * 24 * 60 > minutes ? probes : probesInAWeek;
	}
	CHECK(4 == probesInAWeek);
	CHECK(5 == probes);
}

TEST_CASE_METHOD(fixture, "single marks expire after a day, held requests do not")
{
	history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kOther}});
	history.addCrash(11, kService, "i-1", std::vector<crashed_run>{{kCrashing}});
	history.addCrash(12, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}});
	time.advance(std::chrono::hours(25));
	history.addCrash(13, kService, "i-2", std::vector<crashed_run>{{kThird}});
	CHECK(request_status::clear == of(kOther));
	CHECK(3 == history.marks());
}

TEST_CASE_METHOD(fixture, "after a minute a held request only occupies its own marks")
{
	std::vector<crashed_run> runs{{kCrashing}};
	for (uint64_t i = 0; i < 8; ++i)
	{
		runs.push_back({numbered(100 + i)});
	}
	history.addCrash(10, kService, "i-1", runs);
	runs[0].onProbation = true;
	history.addCrash(11, kService, "i-2", runs);
	for (uint64_t i = 0; i < 8; ++i)
	{
		history.clear(numbered(100 + i));
	}
	time.advance(base::seconds(61));
	history.addCrash(12, kService, "i-3", std::vector<crashed_run>{{kThird}});
	CHECK(3 == history.marks());
	CHECK(request_status::held == of(kCrashing));
}

TEST_CASE_METHOD(fixture, "the number of marks is limited, and held requests are kept longest")
{
	crash_history_options options;
	options.maxMarks = 100;
	crash_history bounded(time, options);
	bounded.addCrash(1, kService, "i-1", std::vector<crashed_run>{{kCrashing}});
	bounded.addCrash(2, kService, "i-1", std::vector<crashed_run>{{kCrashing, true}});
	for (uint64_t i = 0; i < 1000; ++i)
	{
		time.advance(base::milliseconds(1));
		bounded.addCrash(10 + i, kService, "i-1",
						 std::vector<crashed_run>{{numbered(100 + 2 * i)}, {numbered(101 + 2 * i)}});
	}
	CHECK(100 >= bounded.marks());
	CHECK(request_status::held == bounded.statusOf(kCrashing, kService));
	CHECK(request_status::suspect == bounded.statusOf(numbered(100 + 2 * 999), kService));
	CHECK(request_status::clear == bounded.statusOf(numbered(100), kService));
}

TEST_CASE_METHOD(fixture, "a released request stays released when a disconnected process reports its crashes later")
{
	crash_history disconnected(time);
	disconnected.merge(history.addCrash(10, kService, "i-1", std::vector<crashed_run>{{kCrashing}}));
	disconnected.merge(history.addCrash(11, kService, "i-2", std::vector<crashed_run>{{kCrashing, true}}));
	history.clear(kCrashing);
	time.advance(std::chrono::hours(1));
	history.addCrash(12, kService, "i-2", std::vector<crashed_run>{{kThird}});
	history.merge(disconnected.all(
		[](const std::string&)
		{
			return true;
		}));
	CHECK(request_status::held != of(kCrashing));
}

TEST_CASE("a fingerprint survives encoding and decoding as bytes and as text")
{
	const request_fingerprint fingerprint{0x0123456789abcdef, 0xfedcba9876543210};
	CHECK(fingerprint == fingerprintFromBytes(toBytes(fingerprint)));
	CHECK(fingerprint == fingerprintFromText(toText(fingerprint)));
	CHECK_FALSE(fingerprintFromBytes("short").has_value());
	CHECK_FALSE(fingerprintFromText("xyz").has_value());
	CHECK_FALSE(fingerprintFromText(std::string(32, 'x')).has_value());
}

}  // namespace driftlug::quarantine
