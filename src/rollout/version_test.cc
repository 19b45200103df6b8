#include "rollout/version_test.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <vector>

namespace driftlug::rollout
{
namespace
{
/// Required sum of log-likelihood ratios: the false positive odds of a single evaluation are 1 in e^11, about 60,000. A
/// rollout is evaluated some hundred times, for several symptoms, routes and time spans, most of which use the same
/// answers.
constexpr double kRequiredEvidence = 11;
/// With fewer endpoints, an unhealthy version cannot be distinguished reliably from faulty endpoints, and twice the
/// evidence is required.
constexpr size_t kFewEndpoints = 3;
constexpr double kFewEndpointsFactor = 2;
/// Log-likelihood ratio from which an endpoint counts as faulty.
constexpr double kFaultyEvidence = 3;
/// Maximum probability that more endpoints are faulty than are excluded.
constexpr double kExcessFaultyProbability = 1e-3;
/// Prior for the share of faulty endpoints, so that the estimate is not zero for a small fleet without faults.
constexpr double kPriorEndpoints = 10;
constexpr double kPriorFaultyEndpoints = 0.5;
/// Prior share of answers with a symptom, and its weight in answers.
constexpr double kPriorShare = 0.02;
constexpr double kPriorAnswers = 50;
/// Minimum number of run times for a usable mean of an endpoint, and of endpoints for a comparison.
constexpr int64_t kMinTimedAnswers = 5;
constexpr size_t kMinComparedEndpoints = 2;
/// Required difference of the means in standard errors.
constexpr double kRequiredStandardErrors = 5;
/// Lower bound of the standard deviation between endpoints of one version: 0.7 to 1.4 times the typical speed.
constexpr double kMinEndpointDeviation = 0.3;
/// Minimum slowdown that justifies a rollback: run times 1.5 times as long.
const double kMinShift = std::log(1.5);

/// Distance of slow outliers from the median of the standing version's endpoints, as a logarithm: 2.7 times slower.
/// Differences between healthy machines are smaller.
constexpr double kSlowOutlierMargin = 1;
/// Variance of the logarithms of single run times; known services have 0.1 to 0.6.
constexpr double kRunTimeVariance = 0.5;

/// Mean logarithms of the run times of endpoints.
struct endpoint_means
{
	std::vector<double> means;
	double samplingVariance = 0;  //!< Mean sampling variance of the means.

	double mean() const
	{
		double sum = 0;
		for (const double mean : means)
		{
			sum += mean;
		}
		return sum / static_cast<double>(means.size());
	}

	double variance() const
	{
		const double middle = mean();
		double sum = 0;
		for (const double mean : means)
		{
			sum += (mean - middle) * (mean - middle);
		}
		return sum / std::max(1.0, static_cast<double>(means.size()) - 1);
	}
};

/// @returns The means in ascending order.
endpoint_means meansOf(std::span<const run_sample> _samples)
{
	endpoint_means found;
	for (const auto& sample : _samples)
	{
		if (const auto mean = meanLogRunTime(sample))
		{
			found.means.push_back(*mean);
			found.samplingVariance += kRunTimeVariance / static_cast<double>(sample.timed);
		}
	}
	found.samplingVariance /= std::max<double>(1, static_cast<double>(found.means.size()));
	std::sort(found.means.begin(), found.means.end());
	return found;
}

/// @returns The probability of more than _hits successes in _draws independent trials.
double binomialTail(size_t _hits, size_t _draws, double _probability)
{
	double sum = 0;
	for (size_t hits = _hits + 1; hits <= _draws; ++hits)
	{
		const auto n = static_cast<double>(_draws);
		const auto k = static_cast<double>(hits);
		const double ways = std::lgamma(n + 1) - std::lgamma(k + 1) - std::lgamma(n - k + 1);
		sum += std::exp(ways + k * std::log(_probability) + (n - k) * std::log1p(-_probability));
	}
	return sum;
}

/// Maximum expected share of answers with a symptom; above it, an excess cannot be detected.
constexpr double kMaxBaselineShare = 0.95;

/// @returns The log-likelihood ratio of an endpoint's answers with the symptom to those without it.
double logLikelihoodRatio(const run_sample& _sample, const symptom& _symptom, double _baselineShare)
{
	const double baselineShare = std::min(_baselineShare, kMaxBaselineShare - _symptom.excessShare);
	const double with = baselineShare + _symptom.excessShare;
	const auto trials = static_cast<double>(_symptom.failing ? _sample.answered : _sample.timed);
	const auto events = static_cast<double>(_symptom.failing ? _sample.failed : _sample.slow);
	return events * std::log(with / baselineShare) + (trials - events) * std::log((1 - with) / (1 - baselineShare));
}

}  // namespace

size_t faultyByChance(size_t _endpoints, double _faultyShare)
{
	size_t faulty = 0;
	while (faulty < _endpoints && kExcessFaultyProbability < binomialTail(faulty, _endpoints, _faultyShare))
	{
		++faulty;
	}
	return faulty;
}

symptom_baseline symptomBaselineOf(const symptom& _symptom, std::span<const run_sample> _standing)
{
	const auto shareOf = [&](const run_sample& _sum)
	{
		const auto events = static_cast<double>(_symptom.failing ? _sum.failed : _sum.slow);
		const auto trials = static_cast<double>(_symptom.failing ? _sum.answered : _sum.timed);
		return (events + kPriorShare * kPriorAnswers) / (trials + kPriorAnswers);
	};
	run_sample all;
	for (const auto& sample : _standing)
	{
		all += sample;
	}
	symptom_baseline baseline;
	baseline.share = shareOf(all);
	// Faulty endpoints raise the share of all above that of the healthy ones.
	run_sample healthy;
	double faulty = kPriorFaultyEndpoints;
	double endpointCount = kPriorEndpoints;
	for (const auto& sample : _standing)
	{
		const bool isFaulty = kFaultyEvidence <= logLikelihoodRatio(sample, _symptom, baseline.share);
		endpointCount += 0 < sample.answered ? 1 : 0;
		faulty += isFaulty ? 1 : 0;
		healthy += isFaulty ? run_sample{} : sample;
	}
	baseline.share = shareOf(healthy);
	baseline.faultyShare = faulty / endpointCount;
	return baseline;
}

test_result testSymptom(const symptom& _symptom, const symptom_baseline& _baseline, std::span<const run_sample> _target,
						size_t _knownEndpoints)
{
	std::vector<double> evidence;
	for (const auto& sample : _target)
	{
		if (0 < sample.answered)
		{
			evidence.push_back(logLikelihoodRatio(sample, _symptom, _baseline.share));
		}
	}

	test_result result;
	result.testedEndpoints = evidence.size();
	const bool few = _knownEndpoints < kFewEndpoints;
	result.excludedEndpoints =
		few ? result.testedEndpoints / 2 : faultyByChance(result.testedEndpoints, _baseline.faultyShare);
	std::sort(evidence.begin(), evidence.end(), std::greater<>());
	double sum = 0;
	for (size_t i = result.excludedEndpoints; i < evidence.size(); ++i)
	{
		sum += evidence[i];
	}
	result.strength = std::max(0.0, sum / (few ? kFewEndpointsFactor * kRequiredEvidence : kRequiredEvidence));
	return result;
}

std::optional<double> meanLogRunTime(const run_sample& _sample)
{
	if (kMinTimedAnswers > _sample.timed)
	{
		return std::nullopt;
	}
	return _sample.logSumMs / static_cast<double>(_sample.timed);
}

double slowOutlierThreshold(std::span<const run_sample> _standing)
{
	const auto standing = meansOf(_standing);
	if (kMinComparedEndpoints > standing.means.size())
	{
		return std::numeric_limits<double>::infinity();
	}
	return standing.means[standing.means.size() / 2] + kSlowOutlierMargin;
}

test_result testRunTimes(std::span<const run_sample> _target, std::span<const run_sample> _standing)
{
	auto target = meansOf(_target);
	auto standing = meansOf(_standing);
	test_result result;
	result.testedEndpoints = target.means.size();
	const auto faulty = static_cast<double>(std::erase_if(standing.means,
														  [threshold = slowOutlierThreshold(_standing)](double _mean)
														  {
															  return _mean >= threshold;
														  }));
	const auto endpointCount = static_cast<double>(standing.means.size()) + faulty;
	result.excludedEndpoints =
		faultyByChance(result.testedEndpoints, (faulty + kPriorFaultyEndpoints) / (endpointCount + kPriorEndpoints));
	if (kMinComparedEndpoints > result.testedEndpoints - result.excludedEndpoints
		|| kMinComparedEndpoints > standing.means.size())
	{
		return result;
	}

	target.means.resize(result.testedEndpoints - result.excludedEndpoints);
	// The variance between endpoints of one version is estimated from the standing version, which has more of them.
	const double between =
		std::max(kMinEndpointDeviation * kMinEndpointDeviation, standing.variance() - standing.samplingVariance);
	const double error =
		std::sqrt((between + target.samplingVariance) / static_cast<double>(target.means.size())
				  + (between + standing.samplingVariance) / static_cast<double>(standing.means.size()));
	const double shift = target.mean() - standing.mean();
	if (shift >= kMinShift)
	{
		result.strength = shift / error / kRequiredStandardErrors;
	}
	return result;
}

}  // namespace driftlug::rollout
