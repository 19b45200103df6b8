/// What a modelled fleet is made of, and what its callers ask for.
#ifndef DRIFTLUG_LOAD_MODEL_LOAD_PATTERN_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_LOAD_PATTERN_H_HEADER_GUARD

#include <absl/status/statusor.h>

#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"

namespace driftlug::load_model
{
/// A service and its back ends.
struct service_pattern
{
	std::string name;
	size_t backEnds = 0;
	int slots = 1;                    //!< Of each back end.
	int queue = 0;                    //!< Requests that one keeps beside those; more are refused as not run.
	std::vector<double> speeds{1.0};  //!< Of the back ends in turn, of the usual one.
};

/// Calls that a back end makes for a request before it answers.
struct nested_pattern
{
	std::string kind;  //!< Empty for none.
	int times = 0;
	double share = 0;         //!< Of the requests.
	bool concurrent = false;  //!< At once, or one after the other.
};

/// A kind of request.
struct kind_pattern
{
	std::string name;
	std::string service;
	double perSecond = 0;  //!< From callers of all nodes together; 0 for one that only back ends make.
	double workMs = 0;     //!< Mean, on a back end of the usual speed.
	double spread = 0;     //!< Standard deviation of its logarithm.
	double maxWorkMs = 0;
	int targetMs = 0;
	int deadlineMs = 0;
	int timeoutMs = 0;  //!< Of the route.
	int priority = 0;
	bool repeatable = true;
	int callerRetries = 0;
	double utility = 1;             //!< Of an answer in time.
	double lateUtilityShare = 0.3;  //!< Of that, of a late one.
	double requestBytes = 0;        //!< Mean of the bodies, exponentially distributed.
	double answerBytes = 0;
	nested_pattern nested;
};

/// The load is multiplied for some time.
struct burst_pattern
{
	double fromS = 0;
	double toS = 0;
	double factor = 1;
};

/// Back ends of a service are away for some time.
struct outage_pattern
{
	std::string service;
	size_t backEnds = 0;
	double fromS = 0;
	double toS = 0;
};

/// Everything that one run of the model is drawn from.
struct load_pattern
{
	std::string name;
	double linkMbps = 1000;  //!< Of each machine, each way.
	double zoneDelayMs = 0.5;
	size_t zones = 1;
	double lengthS = 20;
	std::vector<service_pattern> services;
	std::vector<kind_pattern> kinds;
	std::vector<burst_pattern> bursts;
	std::vector<outage_pattern> outages;
};

/// @returns The pattern of a TOML file, or kBadSetting with what is wrong.
absl::StatusOr<load_pattern> readPattern(const std::string& _path);

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_LOAD_PATTERN_H_HEADER_GUARD
