#include "overload/response_gatherer.h"

#include <catch2/catch.hpp>
#include <string>

namespace driftlug::overload
{
namespace
{
constexpr int64_t kLarge = 90'000;

std::string bytes(int64_t _count)
{
	return std::string(static_cast<size_t>(_count), 'x');
}

}  // namespace

TEST_CASE("a response is credited whole at once, and complete with its last byte")
{
	response_gatherer gatherer;
	gatherer.begin(1, kLarge);
	const auto credits = gatherer.credits();
	REQUIRE(credits.size() == 1);
	CHECK(credits[0].response == 1);
	CHECK(credits[0].upToBytes == kLarge);
	CHECK(gatherer.credits().empty());
	CHECK(gatherer.onPiece(1, bytes(kLarge - 1)) == piece_result::incomplete);
	CHECK(gatherer.gatheredBytes() == kLarge - 1);
	CHECK(gatherer.onPiece(1, "y") == piece_result::complete);
	CHECK(gatherer.takeBody(1) == bytes(kLarge - 1) + "y");
	CHECK(gatherer.gatheredBytes() == 0);
	CHECK_FALSE(gatherer.gathers(1));
}

// Guards against bytes that a caller takes for a part of its response.
TEST_CASE("pieces beyond the announced size and of unknown responses are ignored")
{
	response_gatherer gatherer;
	gatherer.begin(1, 10);
	CHECK(gatherer.onPiece(1, bytes(11)) == piece_result::excess);
	CHECK(gatherer.onPiece(2, bytes(1)) == piece_result::unknown);
	CHECK(gatherer.gatheredBytes() == 0);
	CHECK(gatherer.onPiece(1, bytes(10)) == piece_result::complete);
}

// Guards against a node that runs out of memory as many callers get large responses at the same time, and against
// responses that stop halfway for ever since none gets the last credits.
TEST_CASE("above the bound, only the oldest response gets credits, and all are completed")
{
	constexpr int64_t kBound = 300'000;
	constexpr int64_t kWindow = 50'000;
	constexpr int kResponses = 10;
	response_gatherer gatherer({kBound, kWindow});
	std::map<int64_t, int64_t> credited;
	std::map<int64_t, int64_t> sent;
	for (int id = 1; id <= kResponses; ++id)
	{
		gatherer.begin(id, kLarge);
	}
	int complete = 0;
	for (int round = 0; round < 1000 && complete < kResponses; ++round)
	{
		for (const auto& credit : gatherer.credits())
		{
			CHECK(credit.upToBytes > credited[credit.response]);
			CHECK(credit.upToBytes <= kLarge);
			credited[credit.response] = credit.upToBytes;
		}
		for (auto& [id, upTo] : credited)
		{
			const int64_t more = std::min<int64_t>(10'000, upTo - sent[id]);
			if (0 < more)
			{
				sent[id] += more;
				if (gatherer.onPiece(id, bytes(more)) == piece_result::complete)
				{
					++complete;
					CHECK(gatherer.takeBody(id).size() == kLarge);
				}
			}
			CHECK(gatherer.gatheredBytes() <= kBound + kWindow);
		}
	}
	CHECK(complete == kResponses);
	CHECK(gatherer.gatheredBytes() == 0);
}

TEST_CASE("a response that is dropped halfway frees its bytes")
{
	response_gatherer gatherer({100'000, 100'000});
	gatherer.begin(1, kLarge);
	gatherer.begin(2, kLarge);
	gatherer.begin(3, kLarge);
	CHECK(gatherer.credits().size() == 2);
	(void)gatherer.onPiece(1, bytes(50'000));
	gatherer.drop(1);
	gatherer.drop(1);
	CHECK(gatherer.gatheredBytes() == 0);
	CHECK(gatherer.credits().size() == 1);
}

// Guards against small responses that wait until a large one is complete.
TEST_CASE("responses above the bounded size neither hold up others nor wait for them")
{
	response_gatherer_options options;
	options.maxBytes = 100'000;
	options.windowBytes = 50'000;
	options.maxBoundedBytes = kLarge;
	response_gatherer gatherer(options);
	gatherer.begin(1, 1'000'000);
	gatherer.begin(2, kLarge);
	gatherer.begin(3, kLarge);
	gatherer.begin(4, kLarge);
	gatherer.begin(5, 1'000'000);
	std::vector<int64_t> credited;
	for (const auto& credit : gatherer.credits())
	{
		credited.push_back(credit.response);
	}
	CHECK(credited == std::vector<int64_t>{1, 2, 3, 5});
}

}  // namespace driftlug::overload
