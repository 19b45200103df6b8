/// Plots goodput over offered load.
#ifndef DRIFTLUG_LOAD_MODEL_GOODPUT_PLOT_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_GOODPUT_PLOT_H_HEADER_GUARD

#include <span>
#include <string>
#include <vector>

namespace driftlug::load_model
{
/// A line of the plot.
struct goodput_line
{
	std::string name;
	std::vector<double> shares;  //!< Share of requests served in time, for each offered load.
};

/// @returns An SVG image of the plot.
/// @param[in] _offered Offered loads in ascending order, as multiples of the pattern's load.
std::string plotGoodput(const std::string& _title, std::span<const double> _offered,
						std::span<const goodput_line> _lines);

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_GOODPUT_PLOT_H_HEADER_GUARD
