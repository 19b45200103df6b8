/// Reads the description of a modelled fleet and its load.
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
	int slots = 1;                    //!< Requests that a back end runs concurrently.
	int queue = 0;                    //!< Capacity of a back end's queue; further requests are refused as not run.
	std::vector<double> speeds{1.0};  //!< Speed factors, assigned to the back ends in turn.
	int reportedFigures = 0;          //!< Figures of the load that back ends report: 0 for none, 3, or 4 with the pace.
	double slowShare = 0;             //!< Share of the intervals in which a back end is slow.
	double slowFactor = 2.5;          //!< Factor by which work takes longer then.
	int slowIntervalMs = 600;         //!< Length of an interval.
};

/// Nested calls that a back end makes before it responds to a request.
struct nested_pattern
{
	std::string kind;         //!< Empty for none.
	int times = 0;            //!< Number of nested calls per request.
	double share = 0;         //!< Share of requests that make nested calls.
	bool concurrent = false;  //!< Whether the calls are made concurrently instead of sequentially.
};

/// A kind of request.
struct kind_pattern
{
	std::string name;
	std::string service;
	double perSecond = 0;  //!< Arrival rate over all nodes; 0 for a kind that is only used in nested calls.
	double workMs = 0;     //!< Mean service time at speed 1.
	double spread = 0;     //!< Standard deviation of the logarithm of the service time.
	double maxWorkMs = 0;  //!< Upper bound of the service time at speed 1.
	int targetMs = 0;      //!< Target latency; later responses count as late.
	int deadlineMs = 0;    //!< After which the caller gives up.
	int timeoutMs = 0;     //!< Timeout of the route.
	int priority = 0;
	bool repeatable = true;
	int callerRetries = 0;          //!< Maximum retries by the caller.
	double utility = 1;             //!< Utility of a response in time.
	double lateUtilityShare = 0.3;  //!< Share of that utility that a late response earns.
	double requestBytes = 0;        //!< Mean body size; exponentially distributed.
	double answerBytes = 0;         //!< As requestBytes, for responses.
	bool fixedAnswerBytes = false;  //!< Whether all responses have answerBytes.
	bool largeAnswers = false;      //!< Whether the route has large responses.
	nested_pattern nested;
};

/// A time interval in which the load is multiplied by a factor.
struct burst_pattern
{
	double fromS = 0;
	double toS = 0;
	double factor = 1;
};

/// A time interval in which some back ends of a service are down.
struct outage_pattern
{
	std::string service;
	size_t backEnds = 0;
	double fromS = 0;
	double toS = 0;
};

/// A modelled fleet, its load, and the bursts and outages during a run.
struct load_pattern
{
	std::string name;
	double linkMbps = 1000;    //!< Bandwidth of each machine's link, in each direction.
	double zoneDelayMs = 0.5;  //!< One-way delay between zones; half of it within a zone.
	size_t zones = 1;
	double lengthS = 20;
	std::vector<service_pattern> services;
	std::vector<kind_pattern> kinds;
	std::vector<burst_pattern> bursts;
	std::vector<outage_pattern> outages;
};

/// @returns The pattern read from a TOML file, or kBadSetting with the first error.
absl::StatusOr<load_pattern> readPattern(const std::string& _path);

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_LOAD_PATTERN_H_HEADER_GUARD
