#include "descriptors/descriptor_shares.h"

#include <sys/resource.h>
#include <catch2/catch.hpp>

#include <algorithm>

namespace driftlug::descriptors
{
TEST_CASE("the shares and the reserve stay within the limit")
{
	const size_t limit = GENERATE(16, 64, 256, 1024, 2048, 4096, 4100, 20'000, 1'048'576);
	const auto shares = shareDescriptors(limit);
	const size_t sum = shares.callers + shares.accepted + shares.links + shares.backend;
	CHECK(sum <= limit - std::min(kReservedDescriptors, limit / kReserveDivisor));
	CHECK(0 < shares.callers);
	CHECK(0 < shares.accepted);
	CHECK(0 < shares.links);
	CHECK(0 < shares.backend);
}

TEST_CASE("a node in a fleet of a few hundred has enough descriptors for connections to and from all others")
{
	constexpr size_t kNodes = 300;
	constexpr size_t kServices = 30;
	constexpr size_t kLinksPerService = 16;
	const auto shares = shareDescriptors(4096);
	CHECK(kNodes <= shares.accepted);
	CHECK(kServices * kLinksPerService <= shares.links);
}

TEST_CASE("the limit of the process is the one that the system enforces")
{
	rlimit before{};
	REQUIRE(0 == ::getrlimit(RLIMIT_NOFILE, &before));
	auto lowered = before;
	lowered.rlim_cur = 300;
	REQUIRE(0 == ::setrlimit(RLIMIT_NOFILE, &lowered));
	CHECK(300 == processLimit());
	REQUIRE(0 == ::setrlimit(RLIMIT_NOFILE, &before));
}

}  // namespace driftlug::descriptors
