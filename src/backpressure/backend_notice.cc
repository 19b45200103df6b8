#include "backpressure/backend_notice.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

#include "wire/gen/driftlug_types.h"

namespace driftlug::backpressure
{
namespace
{
constexpr size_t kMaxShownValue = 64;

bool contains(const std::vector<std::string>& _names, const std::string& _name)
{
	return _names.end() != std::find(_names.begin(), _names.end(), _name);
}

std::optional<double> parseRate(const std::string& _text)
{
	constexpr char kDecimalCharacters[] = "0123456789.eE+-";  // SimpleAtod() accepts hexadecimal numbers as well
	const bool decimal = std::string::npos == _text.find_first_not_of(kDecimalCharacters);
	double rate = 0;
	if (!decimal || !absl::SimpleAtod(_text, &rate) || !std::isfinite(rate) || 0 > rate)
	{
		return std::nullopt;
	}
	return rate;
}

}  // namespace

backend_notice readNotice(std::span<const wire::HttpHeader> _headers, const notice_headers& _names)
{
	backend_notice notice;
	for (const auto& header : _headers)
	{
		if (contains(_names.leaving, header.name))
		{
			notice.leaving = notice.leaving || "1" == header.value;
		}
		if (!contains(_names.rateLimit, header.name))
		{
			continue;
		}
		if (const auto rate = parseRate(header.value))
		{
			notice.ratePerS = std::min(*rate, notice.ratePerS.value_or(*rate));
		}
		else
		{
			notice.unreadableLimit = header.value.substr(0, kMaxShownValue);
		}
	}
	if (notice.ratePerS)
	{
		notice.unreadableLimit.reset();
	}
	return notice;
}

bool isNotice(const wire::HttpHeader& _header, const notice_headers& _names)
{
	return contains(_names.leaving, _header.name) || contains(_names.rateLimit, _header.name);
}

}  // namespace driftlug::backpressure
