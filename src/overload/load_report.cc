#include "overload/load_report.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <array>
#include <string>
#include <vector>

namespace driftlug::overload
{
namespace
{
constexpr size_t kMaxValueLength = 64;
/// Far beyond the requests that one back end holds; sums of such counts fit into an int.
constexpr int kMaxCount = 1'000'000;
/// A back end at a hundredth of its usual speed serves no caller in time.
constexpr int kMaxPacePercent = 10'000;
constexpr size_t kMinFigures = 3;
constexpr size_t kMaxFigures = 4;

std::variant<int, load_report_error> readFigure(absl::string_view _text, int _max)
{
	const auto digits = absl::StripAsciiWhitespace(_text);
	const bool minus = !digits.empty() && '-' == digits.front();
	const auto magnitude = minus ? digits.substr(1) : digits;
	if (magnitude.empty() || absl::string_view::npos != magnitude.find_first_not_of("0123456789"))
	{
		return load_report_error::notANumber;
	}
	if (minus)
	{
		return load_report_error::negative;
	}
	int figure = 0;
	if (!absl::SimpleAtoi(magnitude, &figure) || _max < figure)
	{
		return load_report_error::tooLarge;
	}
	return figure;
}

}  // namespace

std::string_view nameOf(load_report_error _error)
{
	switch (_error)
	{
		case load_report_error::notANumber:
			return "not_a_number";
		case load_report_error::negative:
			return "negative";
		case load_report_error::tooLarge:
			return "too_large";
		case load_report_error::zeroPace:
			return "zero_pace";
		case load_report_error::tooFewFigures:
			return "too_few_figures";
		case load_report_error::tooManyFigures:
			return "too_many_figures";
	}
	return "unknown";
}

std::variant<load_report, load_report_error> readLoadReport(std::string_view _value)
{
	if (kMaxValueLength < _value.size())
	{
		return load_report_error::tooLarge;
	}
	const std::vector<absl::string_view> texts = absl::StrSplit(absl::string_view(_value.data(), _value.size()), ',');
	if (kMaxFigures < texts.size())
	{
		return load_report_error::tooManyFigures;
	}
	std::array<int, kMaxFigures> figures{};
	for (size_t i = 0; i < texts.size(); ++i)
	{
		const auto figure = readFigure(texts[i], kMinFigures == i ? kMaxPacePercent : kMaxCount);
		if (const auto* error = std::get_if<load_report_error>(&figure))
		{
			return *error;
		}
		figures.at(i) = std::get<int>(figure);
	}
	if (texts.size() < kMinFigures)
	{
		return load_report_error::tooFewFigures;
	}
	load_report report{figures[0], figures[1], figures[2], std::nullopt};
	if (kMaxFigures == texts.size())
	{
		if (0 == figures[3])
		{
			return load_report_error::zeroPace;
		}
		report.pacePercent = figures[3];
	}
	return report;
}

}  // namespace driftlug::overload
