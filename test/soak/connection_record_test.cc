#include "soak/connection_record.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace driftlug::soak
{
namespace
{
constexpr int64_t kMs = 1000;

/// A request that was sent at 10 s and whose connection ended some time later, with nothing answered behind it.
unanswered_request cutAfter(int64_t _ageMs)
{
	unanswered_request request;
	request.id = "id";
	request.target = "entry";
	request.sentUs = 10'000 * kMs;
	request.endedUs = request.sentUs + _ageMs * kMs;
	return request;
}

bool isViolation(const unanswered_request& _request, int _runs = 0)
{
	return !findViolation(_request, _runs, {}).empty();
}

}  // namespace

TEST_CASE("a request that crosses the end of its connection is no break")
{
	CHECK_FALSE(isViolation(cutAfter(150)));
	// Its process may have been kept from its turn, as nothing shows that it had one.
	CHECK_FALSE(isViolation(cutAfter(1'000)));
}

TEST_CASE("a request is broken that is cut while later ones are answered")
{
	auto request = cutAfter(250);
	request.newestAnsweredSentUs = request.sentUs + kMs;
	CHECK(isViolation(request));
	request.newestAnsweredSentUs = request.sentUs - kMs;
	CHECK_FALSE(isViolation(request));
}

TEST_CASE("a request is broken that is cut long after it was sent, or has run, at any age")
{
	CHECK(isViolation(cutAfter(2'500)));
	CHECK(isViolation(cutAfter(1), 1));
}

TEST_CASE("behind an answer that closes the connection nothing runs")
{
	auto request = cutAfter(3'000);
	request.end = request_end::unread;
	CHECK_FALSE(isViolation(request));
	CHECK(isViolation(request, 1));
}

TEST_CASE("an answer cut short and a request without an answer are broken")
{
	auto request = cutAfter(1);
	request.end = request_end::partial;
	CHECK(isViolation(request));
	request.end = request_end::silent;
	CHECK(isViolation(request));
}

TEST_CASE("harm beside a planned stop excuses what met it, and nothing else")
{
	const auto request = cutAfter(3'000);
	const auto excused = [&](int64_t _fromMs, int64_t _untilMs)
	{
		const fault_window fault{_fromMs * kMs, _untilMs * kMs};
		return findViolation(request, 1, {&fault, 1}).empty();
	};
	CHECK(excused(11'000, 12'000));
	CHECK(excused(8'000, 9'500));
	CHECK_FALSE(excused(8'000, 8'500));
	CHECK_FALSE(excused(13'500, 14'000));
}

TEST_CASE("requests are read as they were written")
{
	auto request = cutAfter(7);
	request.end = request_end::unread;
	request.keyed = true;
	request.newestAnsweredSentUs = 5;
	const auto read = requestsFromJson(toJson({&request, 1}));
	REQUIRE(read.size() == 1);
	CHECK(toJson(read) == toJson({&request, 1}));
	CHECK(read[0].end == request_end::unread);
	CHECK(read[0].newestAnsweredSentUs == 5);
}

}  // namespace driftlug::soak
