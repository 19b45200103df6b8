/// Models a fleet under load on a virtual clock, with the production code for the entry and endpoint sides of calls.
#ifndef DRIFTLUG_LOAD_MODEL_LOAD_MODEL_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_LOAD_MODEL_H_HEADER_GUARD

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "load_model/load_pattern.h"
#include "load_model/modelled_back_end.h"
#include "load_model/modelled_network.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"

namespace driftlug::load_model
{
/// Outcomes of the requests of one kind.
struct kind_result
{
	int64_t requests = 0;
	int64_t inTime = 0;          //!< Served within the target latency, counted from the caller's first attempt.
	int64_t late = 0;            //!< Served after the target latency.
	int64_t refused = 0;         //!< Last attempt refused without being run.
	int64_t failed = 0;          //!< Last attempt failed in another way.
	int64_t refusedRetries = 0;  //!< Refused attempts other than a request's first.
	double utility = 0;          //!< Utility of all requests if served in time.
	double earnedUtility = 0;    //!< Utility of the responses received.

	kind_result& operator+=(const kind_result& _other);
};

/// Result of a run.
struct load_result
{
	std::map<std::string, kind_result> kinds;
	slot_time_totals work;
	int64_t linkBytes = 0;           //!< Bytes sent by all machines.
	base::Duration maxLinkDelay{0};  //!< Longest queuing and transmission delay on any link.

	/// @returns The share of requests served in time, of one kind or, if `_kind` is empty, of all kinds.
	double inTimeShare(const std::string& _kind = "") const;

	/// @returns The share of the utility of all requests that was earned.
	double earnedUtilityShare() const;

	/// @returns The lowest earned share of utility of any kind.
	double minKindUtilityShare() const;

	load_result& operator+=(const load_result& _other);
};

/// Settings of the modelled fleet.
struct load_policy
{
	node::EntryOptions entry;
	node::EndpointOptions endpoint;
};

/// @returns The settings that the daemons use at a link bandwidth, in Mbit/s.
load_policy defaultPolicy(double _linkMbps);

class modelled_node;

/// Simulates a load pattern.
class load_model
{
public:
	/// @param[in] _offered Multiplier of the pattern's load.
	load_model(const load_pattern& _pattern, const load_policy& _policy, uint64_t _seed, double _offered = 1);
	~load_model();

	load_result run();

private:
	friend class modelled_node;

	void addNodes();
	void connectAll();
	void arrive(const kind_pattern& _kind);
	void scheduleArrival(const kind_pattern& _kind);
	void scheduleOutage(const outage_pattern& _outage);
	double loadFactorNow() const;
	routing::RoutingTablePtr table() const;

	load_pattern m_pattern;
	load_policy m_policy;
	base::RandomSource m_random;
	double m_offered;
	simulation::EventQueue m_queue;
	modelled_network m_network;
	std::map<std::string, kind_pattern> m_kinds;
	std::vector<std::unique_ptr<modelled_node>> m_nodes;
	std::vector<wire::EndpointState> m_states;
	load_result m_result;
};

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_LOAD_MODEL_H_HEADER_GUARD
