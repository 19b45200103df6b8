#include "overload/reservation_book.h"

#include <catch2/catch.hpp>

#include <vector>

#include "manual_time.h"

namespace driftlug::overload
{
namespace
{
constexpr base::Duration kInterval = base::milliseconds(13);
constexpr size_t kLimit = 4;

struct BookFixture
{
	reservation_demand demand(int _rank = 3, base::Duration _freeIn = base::milliseconds(200),
							  base::Duration _latestIn = base::milliseconds(500))
	{
		return {_rank, time.now() + _freeIn, time.now() + _latestIn, kInterval, kLimit};
	}

	test::ManualTime time;
	reservation_book book{time, 1000};
};

}  // namespace

// Guards against refused callers that all return at the same time, and against more promises than slots.
TEST_CASE_METHOD(BookFixture, "reservations are spread over time and bounded by the limit")
{
	std::vector<base::TimePoint> times;
	for (size_t i = 0; i < kLimit; ++i)
	{
		const auto offered = book.offer(demand());
		REQUIRE(offered);
		times.push_back(offered->at);
	}
	for (size_t i = 1; i < times.size(); ++i)
	{
		CHECK(times[i] - times[i - 1] >= kInterval);
	}
	CHECK(times[0] == time.now() + base::milliseconds(200));
	CHECK_FALSE(book.offer(demand()));
	CHECK(book.held() == kLimit);
	CHECK(book.counters().offered == static_cast<int64_t>(kLimit));
}

// Guards against a time that the caller doesn't honour, since it returns earlier.
TEST_CASE_METHOD(BookFixture, "a time beyond the latest one is not offered")
{
	CHECK_FALSE(book.offer(demand(3, base::milliseconds(600))));
	CHECK(book.offer(demand(3, base::milliseconds(490))));
	CHECK_FALSE(book.offer(demand(3, base::milliseconds(490))));
	CHECK(book.held() == 1);
}

// Guards against slots that stay promised to callers that don't come back.
TEST_CASE_METHOD(BookFixture, "a reservation that is not used within 100 ms of its time is given to others")
{
	const auto first = book.offer(demand());
	for (size_t i = 1; i < kLimit; ++i)
	{
		REQUIRE(book.offer(demand()));
	}
	time.advance(base::milliseconds(299));
	CHECK(book.held() == kLimit);
	time.advance(base::milliseconds(60));
	CHECK(book.held() == 0);
	CHECK(book.counters().expired == static_cast<int64_t>(kLimit));
	CHECK_FALSE(book.use(first->id));
	CHECK(book.offer(demand()));
}

// Guards against a second start by one reservation, and against callers that ignore Retry-After and go ahead of others.
TEST_CASE_METHOD(BookFixture, "a reservation is used once, and not before its time")
{
	const auto offered = book.offer(demand());
	REQUIRE(offered);
	time.advance(base::milliseconds(100));
	CHECK_FALSE(book.use(offered->id));
	time.advance(base::milliseconds(60));
	CHECK(book.use(offered->id));
	CHECK_FALSE(book.use(offered->id));
	CHECK(book.counters().used == 1);
	CHECK(book.counters().expired == 0);
}

// Guards against a reservation of an earlier run of the node that is taken for one of this run.
TEST_CASE_METHOD(BookFixture, "ids of another run are unknown")
{
	const auto offered = book.offer(demand(3, base::milliseconds(20)));
	reservation_book later(time, 0xfedcba9876543210);
	const auto own = later.offer(demand(3, base::milliseconds(20)));
	REQUIRE(own);
	CHECK(own->id > 0);
	CHECK_FALSE(later.use(offered->id));
	CHECK_FALSE(later.use(0));
	CHECK_FALSE(later.use(-1));
	CHECK(later.use(own->id));
}

// Guards against urgent requests that are refused because of reservations of less urgent ones.
TEST_CASE_METHOD(BookFixture, "reservations count for requests that they go ahead of only")
{
	REQUIRE(book.offer(demand(3)));
	REQUIRE(book.offer(demand(5)));
	const auto far = time.now() + base::seconds(1);
	CHECK(book.ahead(2, far) == 0);
	CHECK(book.ahead(3, far) == 1);
	CHECK(book.ahead(6, far) == 2);
	CHECK(book.ahead(6, time.now() + base::milliseconds(199)) == 0);
	book.clear();
	CHECK(book.ahead(6, far) == 0);
}

}  // namespace driftlug::overload
