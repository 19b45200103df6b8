/// Statistical tests that compare the endpoints of the target version with those of the standing version.
#ifndef DRIFTLUG_ROLLOUT_VERSION_TEST_H_HEADER_GUARD
#define DRIFTLUG_ROLLOUT_VERSION_TEST_H_HEADER_GUARD

#include <cstddef>
#include <optional>
#include <span>

#include "rollout/run_sample.h"

namespace driftlug::rollout
{
/// A failure symptom: an excess of failed or slow answers over the baseline.
struct symptom
{
	const char* name = "";
	bool failing = false;    //!< Whether failed answers are counted; slow ones otherwise.
	double excessShare = 0;  //!< Expected share of such answers in excess of the baseline share.
};

/// Evidence of a test that a version is unhealthy.
struct test_result
{
	double strength = 0;           //!< Evidence relative to the required one; 1 or more means unhealthy.
	size_t testedEndpoints = 0;    //!< Endpoints of the version with enough answers.
	size_t excludedEndpoints = 0;  //!< The worst of these, which may be faulty by chance.
};

/// Baseline of a symptom on the standing version.
struct symptom_baseline
{
	double share = 0;        //!< Share of answers with the symptom on healthy endpoints.
	double faultyShare = 0;  //!< Share of endpoints that show the symptom far more often than the others.
};

/// @returns The baseline of a symptom, estimated with priors for the answers and the endpoints.
symptom_baseline symptomBaselineOf(const symptom& _symptom, std::span<const run_sample> _standing);

/// @returns The number of endpoints that may be faulty by chance if each is with probability _faultyShare.
size_t faultyByChance(size_t _endpoints, double _faultyShare);

/// Tests the target version for a symptom.
///
/// While few endpoints have been tested, faults of single endpoints look like an unhealthy version. The test therefore
/// excludes the worst endpoints, as many as may be faulty by chance given the share among the standing version's, and
/// sums the evidence of the others. A single faulty endpoint never makes a version unhealthy, and an unhealthy version
/// is detected from few answers of each of many endpoints.
/// @param[in] _target Samples of the target version's endpoints, on one route in one time span.
/// @param[in] _knownEndpoints Number of endpoints of the target version, with or without answers.
test_result testSymptom(const symptom& _symptom, const symptom_baseline& _baseline, std::span<const run_sample> _target,
						size_t _knownEndpoints);

/// @returns The mean logarithm of run times from which an endpoint of the standing version counts as a slow outlier and
/// is excluded from the baseline; infinity if fewer than two endpoints have enough run times.
double slowOutlierThreshold(std::span<const run_sample> _standing);

/// @returns The mean logarithm of an endpoint's run times in milliseconds; nothing if there are too few.
std::optional<double> meanLogRunTime(const run_sample& _sample);

/// Tests whether the target version has longer run times than the standing version. The test compares the means over
/// the endpoints of their mean logarithmic run times, relative to the variance between endpoints: machines differ in
/// speed. Faulty endpoints are excluded on both sides. About 20 answers of each of several endpoints suffice to detect
/// a version that is slower overall.
test_result testRunTimes(std::span<const run_sample> _target, std::span<const run_sample> _standing);

}  // namespace driftlug::rollout

#endif  // DRIFTLUG_ROLLOUT_VERSION_TEST_H_HEADER_GUARD
