#include "overload/body_flow_controller.h"

#include <catch2/catch.hpp>
#include <deque>
#include <set>

namespace driftlug::overload
{
namespace
{
constexpr base::TimePoint kStart{};
constexpr int64_t kLinkBytesPerSecond = 975'000;  // 7.8 Mbit/s

base::TimePoint at(int _milliseconds)
{
	return kStart + base::milliseconds(_milliseconds);
}

/// A slow link that transmits the granted pieces one after the other, in the order of the grants.
struct narrow_link
{
	struct piece
	{
		body_id body;
		int64_t bytes = 0;
	};

	void send(const std::vector<body_grant>& _grants)
	{
		for (const auto& grant : _grants)
		{
			pieces.push_back({grant.body, grant.upToBytes - sent[grant.body]});
			queued += pieces.back().bytes;
			sent[grant.body] = grant.upToBytes;
		}
		longestQueue = std::max(longestQueue, queued);
	}

	/// Simulates one millisecond.
	void step(body_flow_controller& _flowController, base::TimePoint _now)
	{
		carried += kLinkBytesPerSecond / 1000;
		while (!pieces.empty() && pieces.front().bytes <= carried)
		{
			const piece next = pieces.front();
			pieces.pop_front();
			carried -= next.bytes;
			queued -= next.bytes;
			if (_flowController.onBytes(next.body, next.bytes, _now))
			{
				whole.push_back(next.body.call);
			}
			send(_flowController.grant(_now));
		}
		if (pieces.empty())
		{
			carried = 0;
		}
	}

	std::deque<piece> pieces;
	std::map<body_id, int64_t> sent;
	std::vector<int64_t> whole;
	int64_t carried = 0;
	int64_t queued = 0;
	int64_t longestQueue = 0;
};

}  // namespace

TEST_CASE("seventy senders together never queue more than a few pieces in front of a narrow link")
{
	body_flow_controller flowController({kLinkBytesPerSecond});
	narrow_link link;
	for (int64_t i = 1; i <= 70; ++i)
	{
		flowController.announce({static_cast<uint64_t>(i), i}, 60'000, 0, at(9'000), kStart);
	}
	link.send(flowController.grant(kStart));
	for (int ms = 1; ms <= 6'000; ++ms)
	{
		link.step(flowController, at(ms));
	}
	CHECK(link.whole.size() == 70);
	CHECK(flowController.empty());
	// Seventy complete bodies take 4.3 s on this link.
	CHECK(link.longestQueue <= kLinkBytesPerSecond / 20);
}

TEST_CASE("the body that is needed first comes first, also when it is announced later")
{
	body_flow_controller flowController({kLinkBytesPerSecond});
	narrow_link link;
	for (int64_t i = 1; i <= 5; ++i)
	{
		flowController.announce({1, i}, 60'000, 0, at(2'000 - static_cast<int>(i)), kStart);
	}
	link.send(flowController.grant(kStart));
	for (int ms = 1; ms <= 1'000; ++ms)
	{
		link.step(flowController, at(ms));
	}
	CHECK(link.whole == std::vector<int64_t>{5, 4, 3, 2, 1});
}

TEST_CASE("a body of an urgent call goes before one that is needed sooner")
{
	body_flow_controller flowController({kLinkBytesPerSecond});
	narrow_link link;
	flowController.announce({1, 1}, 60'000, 5, at(150), kStart);
	flowController.announce({1, 2}, 60'000, 5, at(150), kStart);
	flowController.announce({1, 3}, 60'000, 2, at(900), kStart);
	CHECK(flowController.expectedWait(60'000, 2, at(900)) < base::milliseconds(160));
	CHECK(flowController.expectedWait(60'000, 5, at(150)) > base::milliseconds(200));
	link.send(flowController.grant(kStart));
	for (int ms = 1; ms <= 500; ++ms)
	{
		link.step(flowController, at(ms));
	}
	CHECK(link.whole == std::vector<int64_t>{3, 1, 2});
}

TEST_CASE("the expected wait of a body depends on the bytes ahead of it and on the bandwidth of the link")
{
	body_flow_controller flowController({kLinkBytesPerSecond});
	const auto alone = flowController.expectedWait(60'000, 0, at(1'000));
	CHECK(alone > base::milliseconds(60));
	CHECK(alone < base::milliseconds(90));
	for (int64_t i = 1; i <= 10; ++i)
	{
		flowController.announce({1, i}, 60'000, 0, at(1'000), kStart);
	}
	CHECK(flowController.expectedWait(60'000, 0, at(1'000)) > base::milliseconds(600));
	CHECK(flowController.expectedWait(60'000, 0, at(500)) < base::milliseconds(90));
}

TEST_CASE("a stalled sender does not delay other senders")
{
	body_flow_controller flowController({kLinkBytesPerSecond});
	flowController.announce({1, 1}, 600'000, 0, at(500), kStart);
	const auto first = flowController.grant(kStart);
	CHECK(first.back().body.connection == 1);
	flowController.announce({2, 2}, 60'000, 0, at(5'000), at(10));
	CHECK(flowController.grant(at(10)).empty());
	const auto later = flowController.grant(at(400));
	std::set<uint64_t> granted;
	for (const auto& grant : later)
	{
		granted.insert(grant.body.connection);
	}
	CHECK(granted == std::set<uint64_t>{2});
	CHECK(flowController.onBytes({1, 1}, 8'192, at(410)) == false);
	CHECK(flowController.takeExpired(at(600)).empty());
	CHECK(flowController.takeExpired(at(700)) == std::vector<body_id>{{1, 1}});
}

TEST_CASE("the estimate adapts to a link that is slower than configured")
{
	body_flow_controller flowController({10 * kLinkBytesPerSecond});
	narrow_link link;
	for (int64_t i = 1; i <= 200; ++i)
	{
		flowController.announce({1, i}, 60'000, 0, at(60'000), kStart);
	}
	link.send(flowController.grant(kStart));
	for (int ms = 1; ms <= 4'000; ++ms)
	{
		link.step(flowController, at(ms));
	}
	CHECK(flowController.bytesPerSecond() < 2 * kLinkBytesPerSecond);
	CHECK(flowController.bytesPerSecond() > kLinkBytesPerSecond / 2);
}

TEST_CASE("a body without a grant by its deadline expires, one that is in flight does not")
{
	body_flow_controller flowController({kLinkBytesPerSecond});
	flowController.announce({1, 1}, 60'000, 0, at(100), kStart);
	CHECK(!flowController.grant(kStart).empty());
	flowController.announce({1, 2}, 60'000, 0, at(100), kStart);
	CHECK(flowController.takeExpired(at(99)).empty());
	CHECK(flowController.takeExpired(at(100)) == std::vector<body_id>{{1, 2}});
	CHECK(flowController.takeExpired(at(200)).empty());
	CHECK(!flowController.empty());
}

}  // namespace driftlug::overload
