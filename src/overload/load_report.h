/// Reads the load that a back end reports in a response header.
#ifndef DRIFTLUG_OVERLOAD_LOAD_REPORT_H_HEADER_GUARD
#define DRIFTLUG_OVERLOAD_LOAD_REPORT_H_HEADER_GUARD

#include <optional>
#include <string_view>
#include <variant>

namespace driftlug::overload
{
/// Load of a back end as it reports it.
struct load_report
{
	int running = 0;                 //!< Requests that it runs.
	int waiting = 0;                 //!< Requests that wait in it for a slot.
	int slots = 0;                   //!< Requests that it can run concurrently.
	std::optional<int> pacePercent;  //!< How long work currently takes there, in percent of the usual time.
};

/// Reason for which a value is not a load report.
enum class load_report_error
{
	notANumber,      //!< A figure is empty or holds something else than digits.
	negative,        //!< A figure is below 0.
	tooLarge,        //!< A figure is beyond any real load, or the value is too long to hold four figures.
	zeroPace,        //!< Work would take no time.
	tooFewFigures,   //!< Fewer than three.
	tooManyFigures,  //!< More than four.
};

/// @returns Name of an error, as log lines show it.
std::string_view nameOf(load_report_error _error);

/// Reads `running,waiting,slots` or `running,waiting,slots,pace`: whole numbers separated by commas, which may be
/// surrounded by blanks.
std::variant<load_report, load_report_error> readLoadReport(std::string_view _value);

}  // namespace driftlug::overload

#endif  // DRIFTLUG_OVERLOAD_LOAD_REPORT_H_HEADER_GUARD
