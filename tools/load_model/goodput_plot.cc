#include "load_model/goodput_plot.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>

namespace driftlug::load_model
{
namespace
{
constexpr double kWidth = 720;
constexpr double kHeight = 400;
constexpr double kLeft = 60;
constexpr double kRight = 150;  // for the legend
constexpr double kTop = 40;
constexpr double kBottom = 50;
constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#b9770e", "#555555"};

double xOf(double _value, double _most)
{
	return kLeft + (kWidth - kLeft - kRight) * _value / _most;
}

double yOf(double _share)
{
	return kHeight - kBottom - (kHeight - kTop - kBottom) * _share;
}

std::string textAt(double _x, double _y, const char* _anchor, const std::string& _text)
{
	return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", _x, _y, _anchor, _text);
}

}  // namespace

std::string plotGoodput(const std::string& _title, std::span<const double> _offered,
						std::span<const goodput_line> _lines)
{
	const double most = _offered.empty() ? 1 : _offered.back();
	std::string svg = absl::StrFormat(
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" font-family=\"sans-serif\" "
		"font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
		kWidth, kHeight);
	svg += textAt(kLeft, kTop / 2, "start", _title);
	for (int i = 0; i <= 5; ++i)
	{
		const double share = i / 5.0;
		svg += absl::StrFormat("<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"#dddddd\"/>\n", kLeft,
							   yOf(share), kWidth - kRight, yOf(share));
		svg += textAt(kLeft - 8, yOf(share) + 4, "end", absl::StrFormat("%.1f", share));
	}
	for (const double offered : _offered)
	{
		svg += textAt(xOf(offered, most), kHeight - kBottom + 18, "middle", absl::StrFormat("%.2g", offered));
	}
	svg += textAt(xOf(most / 2, most), kHeight - 10, "middle", "offered load");
	for (size_t i = 0; i < _lines.size(); ++i)
	{
		const char* colour = kColours[i % std::size(kColours)];
		std::string points;
		for (size_t j = 0; j < _offered.size() && j < _lines[i].shares.size(); ++j)
		{
			points += absl::StrFormat("%.1f,%.1f ", xOf(_offered[j], most), yOf(_lines[i].shares[j]));
		}
		svg += absl::StrFormat("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n", points,
							   colour);
		const double y = kTop + 18 * static_cast<double>(i);
		svg += absl::StrFormat("<rect x=\"%.1f\" y=\"%.1f\" width=\"12\" height=\"4\" fill=\"%s\"/>\n",
							   kWidth - kRight + 12, y, colour);
		svg += textAt(kWidth - kRight + 30, y + 6, "start", _lines[i].name);
	}
	return svg + "</svg>\n";
}

}  // namespace driftlug::load_model
