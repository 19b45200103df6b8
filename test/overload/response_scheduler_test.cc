#include "overload/response_scheduler.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

namespace driftlug::overload
{
namespace
{
constexpr base::TimePoint kStart{};
constexpr int64_t kLinkBytesPerSecond = 1'500'000;  // 12 Mbit/s
constexpr int64_t kLarge = 90'000;
constexpr int64_t kAll = int64_t{1} << 40;

base::TimePoint at(int _milliseconds)
{
	return kStart + base::milliseconds(_milliseconds);
}

/// A FIFO link behind a scheduler, on a virtual clock with steps of one millisecond.
struct link_fixture
{
	response_scheduler scheduler{{kLinkBytesPerSecond}};
	int nowMs = 0;
	std::map<uint64_t, int64_t> frozen;  //!< Connections that acknowledge nothing any more, with their bytes.
	std::map<int64_t, int> sentAtMs;     //!< When the last byte of each response had been carried.
	std::vector<int64_t> order;          //!< Responses in the order in which they were sent whole.
	double queued = 0;                   //!< Bytes sent that the link has not carried yet.
	double mostQueued = 0;
	std::vector<std::pair<double, int64_t>> ends;  //!< Bytes to be carried before a response is whole.
	double carried = 0;
	double sent = 0;
	std::map<uint64_t, int64_t> bytesOf;  //!< Sent by connection.

	void add(int64_t _call, int _rank, int _targetMs, uint64_t _connection = 1, int64_t _bytes = kLarge,
			 int64_t _credit = kAll)
	{
		scheduler.add({_connection, _call}, _bytes, _rank, at(_targetMs), at(_targetMs + 1200), at(nowMs));
		scheduler.credit({_connection, _call}, _credit, at(nowMs));
	}

	void run(int _milliseconds)
	{
		for (int i = 0; i < _milliseconds; ++i, ++nowMs)
		{
			const double step = std::min(queued, kLinkBytesPerSecond / 1000.0);
			carried += step;
			queued -= step;
			while (!ends.empty() && ends.front().first <= carried + 0.5)
			{
				sentAtMs[ends.front().second] = nowMs;
				ends.erase(ends.begin());
			}
			sendPieces();
		}
	}

	void sendPieces()
	{
		for (const auto connection : scheduler.connections())
		{
			const bool stands = 0 < frozen.count(connection);
			scheduler.onSocketBytes(connection, stands ? frozen[connection] : static_cast<int64_t>(queued), at(nowMs));
		}
		while (const auto piece = scheduler.nextPiece(at(nowMs)))
		{
			bytesOf[piece->response.connection] += piece->bytes;
			if (0 < frozen.count(piece->response.connection))
			{
				frozen[piece->response.connection] += piece->bytes;
				continue;
			}
			queued += static_cast<double>(piece->bytes);
			sent += static_cast<double>(piece->bytes);
			mostQueued = std::max(mostQueued, queued);
			if (piece->last)
			{
				order.push_back(piece->response.call);
				ends.emplace_back(sent, piece->response.call);
			}
		}
	}
};

expected_response expectedAt(int _readyMs, int _targetMs, int _rank = 1)
{
	return {kLarge, _rank, at(_targetMs), at(_readyMs)};
}

}  // namespace

// Guards against bodies that fill the queue in front of the link, behind which small messages wait.
TEST_CASE_METHOD(link_fixture, "the queue of the link holds 20 ms at most, and the link is kept busy")
{
	for (int call = 1; call <= 20; ++call)
	{
		add(call, 1, 5000);
	}
	run(1000);
	CHECK(mostQueued <= 0.020 * kLinkBytesPerSecond);
	CHECK(carried >= 0.94 * kLinkBytesPerSecond);
}

// Guards against less urgent or already late responses ahead of those that can still be in time.
TEST_CASE_METHOD(link_fixture, "responses go by urgency, then by target, and late ones last")
{
	add(1, 2, 2000);
	add(2, 1, 1500);
	add(3, 1, 1000);
	add(4, 1, 10);
	add(5, 0, 2500);
	run(1000);
	CHECK(order == std::vector<int64_t>{5, 3, 2, 1, 4});
	CHECK(0 == scheduler.size());
	CHECK(0 == scheduler.queuedBytes());
}

// Guards against a late response that is pushed back for ever by ones that can be in time.
TEST_CASE_METHOD(link_fixture, "a late response is sent before its caller leaves if others have time")
{
	add(1, 1, 10);
	for (int call = 2; call <= 40; ++call)
	{
		add(call, 1, nowMs + 700);
		run(58);
	}
	REQUIRE(0 < sentAtMs.count(1));
	CHECK(sentAtMs[1] <= 1210);
	for (int call = 2; call <= 30; ++call)
	{
		CHECK(sentAtMs[call] <= (call - 2) * 58 + 700);
	}
}

// Guards against one large response that makes several others late.
TEST_CASE_METHOD(link_fixture, "if not all responses can be in time, the largest one is late")
{
	add(1, 1, 300, 1, 300'000);
	add(2, 1, 310, 1, kLarge);
	add(3, 1, 320, 1, kLarge);
	add(4, 1, 330, 1, kLarge);
	run(1000);
	CHECK(order == std::vector<int64_t>{2, 3, 4, 1});
	CHECK(sentAtMs[4] <= 330);
}

// Guards against a receiver that doesn't read and thereby holds up the responses of others.
TEST_CASE_METHOD(link_fixture, "a response without credits, and a socket without progress, hold up only themselves")
{
	add(1, 0, 500, 1, kLarge, 20'000);
	frozen[2] = 0;
	add(2, 0, 500, 2);
	add(3, 1, 2000, 3);
	run(1000);
	CHECK(20'000 == bytesOf[1]);
	CHECK(bytesOf[2] <= scheduler.windowBytes() + scheduler.pieceBytes());
	CHECK(0 < sentAtMs.count(3));
	// The stalled responses are not ahead of a further one either.
	const auto forecast = scheduler.forecast(expectedAt(nowMs, nowMs + 100), {}, at(nowMs));
	CHECK(forecast.admitted);
	// They continue as their receivers do.
	frozen.erase(2);
	CHECK(scheduler.credit({1, 1}, kAll, at(nowMs)));
	run(400);
	CHECK(0 == scheduler.size());
}

// Guards against a response that is taken for stalled since its socket was not looked at while nothing was queued.
TEST_CASE_METHOD(link_fixture, "a socket that was not looked at for long is not taken for stalled")
{
	add(1, 1, 500);
	run(70);
	nowMs += 1000;
	queued = 20'000;  // of other messages
	scheduler.onSocketBytes(1, 20'000, at(nowMs));
	add(2, 1, nowMs + 500);
	CHECK(scheduler.nextPiece(at(nowMs)));
}

TEST_CASE_METHOD(link_fixture, "credits are cumulative, and unknown ones are rejected")
{
	add(1, 1, 500, 1, kLarge, 10'000);
	CHECK(scheduler.credit({1, 1}, 5'000, at(0)));
	CHECK_FALSE(scheduler.credit({1, 2}, 5'000, at(0)));
	CHECK_FALSE(scheduler.credit({2, 1}, 5'000, at(0)));
	run(100);
	CHECK(10'000 == bytesOf[1]);
	CHECK(kLarge - 10'000 == scheduler.queuedBytes());
	CHECK_FALSE(scheduler.nextPieceIn(at(nowMs)));
}

// Guards against pieces for receivers that have left, which take the link from others.
TEST_CASE_METHOD(link_fixture, "a response whose receiver leaves frees the link at once")
{
	add(1, 1, 500, 1);
	add(2, 1, 600, 2);
	add(3, 1, 700, 2);
	run(10);
	CHECK(scheduler.drop({1, 1}));
	CHECK_FALSE(scheduler.drop({1, 1}));
	CHECK(scheduler.dropConnection(2).size() == 2);
	CHECK(0 == scheduler.queuedBytes());
	run(50);
	CHECK(order.empty());
	CHECK_FALSE(scheduler.nextPieceIn(at(nowMs)));
}

// Guards against requests that cost a slot and a transfer and are late all the same.
TEST_CASE_METHOD(link_fixture, "a request is refused if its response would be late behind those before it")
{
	std::vector<expected_response> expected;
	int admitted = 0;
	for (; admitted < 30; ++admitted)
	{
		const auto forecast = scheduler.forecast(expectedAt(150, 800), expected, at(0));
		if (!forecast.admitted)
		{
			// The link is free when the responses before it are sent; a run takes 150 ms.
			CHECK(forecast.capacityAt > at(admitted * 60));
			CHECK(forecast.capacityAt < at(admitted * 66));
			break;
		}
		expected.push_back(expectedAt(150, 800));
	}
	// 650 ms of the link carry 10 responses of 60 ms.
	CHECK(8 <= admitted);
	CHECK(admitted <= 10);
	// A more urgent one goes first, and makes no equally urgent one late.
	CHECK(scheduler.forecast(expectedAt(150, 400, 0), expected, at(0)).admitted);
	// One that would make others of its urgency late is refused.
	CHECK_FALSE(scheduler.forecast(expectedAt(150, 790), expected, at(0)).admitted);
	// A refused request changes nothing for the others.
	CHECK_FALSE(scheduler.forecast(expectedAt(150, 800), expected, at(0)).admitted);
}

// Guards against late responses that starve since new requests take all of the link.
TEST_CASE_METHOD(link_fixture, "queued responses that are late count in the forecast of any request")
{
	for (int call = 1; call <= 10; ++call)
	{
		add(call, 3, 0);
	}
	CHECK_FALSE(scheduler.forecast(expectedAt(150, 600), {}, at(0)).admitted);
	CHECK(scheduler.forecast(expectedAt(150, 900), {}, at(0)).admitted);
}

TEST_CASE_METHOD(link_fixture, "a request that is late in any case is admitted while the link has no queue")
{
	CHECK(scheduler.forecast(expectedAt(150, 100), {}, at(0)).admitted);
	for (int call = 1; call <= 6; ++call)
	{
		add(call, 1, 1000);
	}
	CHECK_FALSE(scheduler.forecast(expectedAt(150, 100), {}, at(0)).admitted);
}

// Guards against memory that grows without bound with targets of many seconds.
TEST_CASE("requests are refused at the bound of queued bytes")
{
	response_scheduler scheduler({kLinkBytesPerSecond, 3 * kLarge});
	const std::vector<expected_response> expected(2, expectedAt(150, 60'000));
	CHECK(scheduler.forecast(expectedAt(150, 60'000), expected, kStart).admitted);
	CHECK_FALSE(
		scheduler.forecast(expectedAt(150, 60'000), std::vector<expected_response>(3, expectedAt(150, 60'000)), kStart)
			.admitted);
}

TEST_CASE("a link of unknown bandwidth refuses nothing")
{
	const response_scheduler scheduler({0});
	const std::vector<expected_response> expected(50, expectedAt(150, 800));
	CHECK(scheduler.forecast(expectedAt(150, 800), expected, kStart).admitted);
}

}  // namespace driftlug::overload
