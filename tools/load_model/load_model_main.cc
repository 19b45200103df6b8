/// driftlug-load-model: simulates how a fleet serves a load pattern, on a virtual clock.
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>

#include "base/error.h"
#include "base/log.h"
#include "base/settings.h"
#include "load_model/goodput_plot.h"
#include "load_model/load_model.h"

DEFINE_string(pattern, "", "TOML file with the load pattern");
DEFINE_int32(seeds, 5, "number of runs, with seeds from 1; results are summed or averaged over them");
DEFINE_double(offered, 1, "multiple of the pattern's load");
DEFINE_string(plot, "", "SVG file to plot goodput over offered loads of 0.5 to 3; empty for none");

namespace driftlug::load_model
{
namespace
{
constexpr double kOfferedLoads[] = {0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3};

load_result runSeeds(const load_pattern& _pattern, double _offered)
{
	load_result sum;
	for (int seed = 1; seed <= FLAGS_seeds; ++seed)
	{
		load_model model(_pattern, defaultPolicy(_pattern.linkMbps), static_cast<uint64_t>(seed), _offered);
		sum += model.run();
	}
	return sum;
}

double shareOf(int64_t _part, int64_t _all)
{
	return 0 == _all ? 0 : static_cast<double>(_part) / static_cast<double>(_all);
}

void print(const load_result& _result)
{
	std::printf("%-14s %8s %8s %8s %8s %8s %10s %8s\n", "kind", "asked", "in time", "late", "refused", "failed",
				"ref. again", "earned");
	for (const auto& [name, kind] : _result.kinds)
	{
		std::printf("%-14s %8lld %8.3f %8.3f %8.3f %8.3f %10lld %8.3f\n", name.c_str(),
					static_cast<long long>(kind.requests), shareOf(kind.inTime, kind.requests),
					shareOf(kind.late, kind.requests), shareOf(kind.refused, kind.requests),
					shareOf(kind.failed, kind.requests), static_cast<long long>(kind.refusedRetries),
					kind.earnedUtility / std::max(1.0, kind.utility));
	}
	const double wastedShare = _result.work.wastedMs / (_result.work.usefulMs + _result.work.wastedMs);
	std::printf(
		"in time %.3f; earned utility %.3f, lowest of a kind %.3f; wasted slot time %.3f; links %.1f MB, longest delay "
		"%.2f s\n",
		_result.inTimeShare(), _result.earnedUtilityShare(), _result.minKindUtilityShare(), wastedShare,
		static_cast<double>(_result.linkBytes) / 1e6 / FLAGS_seeds,
		std::chrono::duration<double>(_result.maxLinkDelay).count());
}

bool plot(const load_pattern& _pattern)
{
	std::vector<goodput_line> lines;
	for (const double offered : kOfferedLoads)
	{
		const auto result = runSeeds(_pattern, offered);
		std::printf("offered load %.2f\n", offered);
		print(result);
		if (lines.empty())
		{
			for (const auto& [name, kind] : result.kinds)
			{
				lines.push_back({name, {}});
			}
		}
		for (auto& line : lines)
		{
			const auto& kind = result.kinds.at(line.name);
			line.shares.push_back(shareOf(kind.inTime, kind.requests));
		}
	}
	std::ofstream file(FLAGS_plot);
	file << plotGoodput(_pattern.name + ": share of requests served in time", kOfferedLoads, lines);
	return file.good();
}

int runModel()
{
	const auto pattern = readPattern(FLAGS_pattern);
	if (!pattern.ok())
	{
		std::fprintf(stderr, "%s: %s\n", std::string(base::errorName(base::errorCodeOf(pattern.status()))).c_str(),
					 base::errorText(pattern.status()).c_str());
		return 2;
	}
	if (!FLAGS_plot.empty())
	{
		return plot(*pattern) ? 0 : 1;
	}
	print(runSeeds(*pattern, FLAGS_offered));
	return 0;
}

}  // namespace
}  // namespace driftlug::load_model

int main(int argc, char** argv)
{
	gflags::SetUsageMessage("simulates how a fleet serves a load pattern, on a virtual clock");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	driftlug::base::configureLogs(false, "off");
	return driftlug::load_model::runModel();
}
