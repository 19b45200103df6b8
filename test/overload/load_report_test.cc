#include "overload/load_report.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

namespace driftlug::overload
{
TEST_CASE("a load report has three or four whole numbers")
{
	const auto three = std::get<load_report>(readLoadReport("12,3,14"));
	CHECK(12 == three.running);
	CHECK(3 == three.waiting);
	CHECK(14 == three.slots);
	CHECK(!three.pacePercent);
	const auto four = std::get<load_report>(readLoadReport("0, 0 ,9, 250"));
	CHECK(0 == four.running);
	CHECK(9 == four.slots);
	CHECK(250 == four.pacePercent);
}

// Guards against a figure that is taken for another one, or that makes a prediction negative, infinite or absurd.
TEST_CASE("values that are no load report give the error that describes them")
{
	using error = load_report_error;
	const std::pair<std::string, error> cases[] = {
		{"", error::notANumber},
		{"soon", error::notANumber},
		{"1,2,", error::notANumber},
		{"1,,3", error::notANumber},
		{"1,2,3,nan", error::notANumber},
		{"1,2,0x10", error::notANumber},
		{"1,2.5,3", error::notANumber},
		{"+1,2,3", error::notANumber},
		{"1 2,3,4", error::notANumber},
		{"1,-2,3", error::negative},
		{"1,2,3,-100", error::negative},
		{"1,2,1000001", error::tooLarge},
		{"1,2,99999999999999999999", error::tooLarge},
		{"1,2,3,10001", error::tooLarge},
		{std::string(100'000, '1'), error::tooLarge},
		{"1,2,3,0", error::zeroPace},
		{"1", error::tooFewFigures},
		{"1,2", error::tooFewFigures},
		{"1,2,3,100,5", error::tooManyFigures},
	};
	for (const auto& [value, expected] : cases)
	{
		CAPTURE(value.substr(0, 40));
		const auto read = readLoadReport(value);
		REQUIRE(std::holds_alternative<error>(read));
		CHECK(nameOf(expected) == nameOf(std::get<error>(read)));
	}
}

}  // namespace driftlug::overload
