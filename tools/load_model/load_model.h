/// A fleet under load on the virtual clock: the true entry and endpoint sides of calls, and all that they decide with.
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
/// What became of the requests of one kind.
struct kind_result
{
	int64_t requests = 0;
	int64_t inTime = 0;   //!< Served within their target, from the caller's first try.
	int64_t late = 0;     //!< Served behind it.
	int64_t refused = 0;  //!< Not run, in the end.
	int64_t failed = 0;
	int64_t refusedRetries = 0;  //!< Tries that were refused behind an earlier refusal.
	double utility = 0;          //!< Of all that was asked.
	double earnedUtility = 0;    //!< Of that, by the answers.

	kind_result& operator+=(const kind_result& _other);
};

/// What a run showed.
struct load_result
{
	std::map<std::string, kind_result> kinds;
	slot_time_totals work;
	int64_t linkBytes = 0;           //!< Of all machines, outgoing.
	base::Duration maxLinkDelay{0};  //!< The longest that anything waited for a link.

	/// @returns Of the requests of a kind, or of all kinds that callers ask for, the share served in time.
	double inTimeShare(const std::string& _kind = "") const;

	/// @returns Of the worth that was asked for, the share earned.
	double earnedUtilityShare() const;

	/// @returns The same of the kind of which it is least.
	double minKindUtilityShare() const;

	load_result& operator+=(const load_result& _other);
};

/// What the fleet decides by.
struct load_policy
{
	node::EntryOptions entry;
	node::EndpointOptions endpoint;
};

/// @returns Settings of a fleet whose links carry so much, as the daemons have them.
load_policy defaultPolicy(double _linkMbps);

/// One node with its back end and callers.
class modelled_node;

/// Plays a pattern.
class load_model
{
public:
	/// @param[in] _offered The load of the pattern is multiplied by it.
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
