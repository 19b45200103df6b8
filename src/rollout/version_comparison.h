/// Statistical tests between the endpoints of two versions.
#ifndef DRIFTLUG_ROLLOUT_VERSION_COMPARISON_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_VERSION_COMPARISON_H_HEADER_GUARD

#include <cstddef>
#include <optional>
#include <span>

#include "rollout/run_sample.h"

namespace driftlug::rollout
{
/// What is looked for: a share of answers beyond what is usual.
struct symptom
{
	const char* name = "";
	bool failing = false;    //!< Answers that fail, or else that are slow.
	double excessShare = 0;  //!< Share of answers beyond the usual one.
};

/// How sure a test is that a version is bad.
struct test_result
{
	double strength = 0;           //!< Of what is needed: 1 and more is sure.
	size_t testedEndpoints = 0;    //!< Endpoints of the version with answers.
	size_t excludedEndpoints = 0;  //!< Of these: as many as may be ill by themselves, the worst first.
};

/// What is usual among the endpoints of the standing version.
struct symptom_baseline
{
	double share = 0;        //!< Of the answers of well endpoints that show a symptom.
	double faultyShare = 0;  //!< Of the endpoints that show it far more often than the others.
};

/// @returns What is usual, with some unremarkable answers and endpoints assumed besides those seen.
symptom_baseline symptomBaselineOf(const symptom& _symptom, std::span<const run_sample> _standing);

/// @returns How many of some endpoints may be ill by themselves, by chance, where a share of endpoints is.
size_t faultyByChance(size_t _endpoints, double _faultyShare);

/// Tests for a symptom.
///
/// Faults of single endpoints look like a bad version as long as few endpoints were tried. So as many of the worst are
/// left out as may be ill by chance, seen what share of the standing version's is, and the others have to be worse
/// without them: one ill endpoint never makes a version bad, and a bad version is told from few answers each of many.
/// @param[in] _target Answers of the endpoints of the version on trial, on one route in one span of time.
/// @param[in] _known Endpoints of the version on trial that there are.
test_result testSymptom(const symptom& _symptom, const symptom_baseline& _baseline, std::span<const run_sample> _target,
						size_t _knownEndpoints);

/// @returns The mean logarithm of run times from which on an endpoint of the standing version is held to be ill, and
/// tells nothing of its version; infinite while too little was seen.
double slowOutlierThreshold(std::span<const run_sample> _standing);

/// @returns The mean logarithm of an endpoint's run times; nothing where too few were seen.
std::optional<double> meanLogRunTime(const run_sample& _sample);

/// Tests whether the endpoints of the version on trial take longer, by their mean logarithms of run times, than those
/// of the standing version, seen how far these are apart among themselves: machines differ in speed. Those that are ill
/// by themselves are left out on both sides. It tells a version that is slower as a whole from some 20 answers each of
/// some endpoints.
test_result testRunTimes(std::span<const run_sample> _target, std::span<const run_sample> _standing);

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_VERSION_COMPARISON_H_HEADER_GUARD
