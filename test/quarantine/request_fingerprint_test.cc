#include "quarantine/request_fingerprint.h"

#include <catch2/catch.hpp>

namespace driftlug::quarantine
{
namespace
{
constexpr request_identity kRequest{"GET", "maps.example", "/tiles/7?zoom=3", "body"};

}  // namespace

TEST_CASE("a request that is sent again has the same fingerprint")
{
	CHECK(fingerprintOf(kRequest) == fingerprintOf(kRequest));
}

TEST_CASE("each part of a request changes the fingerprint")
{
	const auto own = fingerprintOf(kRequest);
	auto other = kRequest;
	other.method = "PUT";
	CHECK(own != fingerprintOf(other));
	other = kRequest;
	other.host = "shop.example";
	CHECK(own != fingerprintOf(other));
	other = kRequest;
	other.path = "/tiles/7?zoom=4";
	CHECK(own != fingerprintOf(other));
	other = kRequest;
	other.body = "bodi";
	CHECK(own != fingerprintOf(other));
}

TEST_CASE("bytes moved from one part to the next change the fingerprint")
{
	request_identity first = kRequest;
	first.path = "/a";
	first.body = "b";
	request_identity second = kRequest;
	second.path = "/ab";
	second.body = "";
	CHECK(fingerprintOf(first) != fingerprintOf(second));
}

TEST_CASE("a fingerprint is shown as 32 digits")
{
	CHECK("00000000000000020000000000000001" == toText({1, 2}));
}

}  // namespace driftlug::quarantine
