/// Chooses endpoints by expected completion time, from the loads that they report.
#ifndef DRIFTLUG_ROUTING_PLACEMENT_COMPLETION_CHOOSER_H_HEADER_GUARD
#define DRIFTLUG_ROUTING_PLACEMENT_COMPLETION_CHOOSER_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "routing/placement/endpoint_chooser.h"
#include "wire/frame.h"

namespace driftlug::routing
{
/// How an attempt ended, as far as it concerns its endpoint.
enum class attempt_end
{
	completed,
	refused,    //!< The endpoint or its back end refused the request, or the attempt failed.
	abandoned,  //!< The attempt ended without a result.
};

/// Counters of the choices that were used for an attempt.
struct placement_counters
{
	int64_t byCompletion = 0;     //!< Attempts whose endpoint was chosen by expected completion.
	int64_t leftZone = 0;         //!< Of these, attempts sent to another zone although the own zone had a candidate.
	int64_t unreadableLoads = 0;  //!< Reported loads with impossible values, which are ignored.
};

/// Cost of one candidate, in milliseconds.
struct candidate_cost
{
	std::string endpoint;
	std::string zone;
	double waitMs = 0;
	double runMs = 0;
	double networkMs = 0;
	double lateShare = 0;   //!< Probability that the request misses its target latency there.
	double cost = 0;        //!< What is compared.
	bool reported = false;  //!< Whether the endpoint has a current load.
};

/// Chooses the endpoint with the lowest expected cost for services whose endpoints report their load.
///
/// The load pattern: many nodes choose among endpoints of different speeds, and see each endpoint's load only in
/// messages of their own, some half a second old. The expected completion is the wait for a slot, plus the run time
/// of this kind of request at the endpoint's speed and pace, plus the network delay. The number of requests at an
/// endpoint is this node's own, which it knows, plus those of others, which approach what is usual with the
/// age of the report. That prevents herds: an endpoint that was idle half a second ago counts as little better than
/// average.
///
/// A service without any current load is left to the fallback. State is kept per endpoint and kind of request, for a
/// bounded number of each.
class completion_chooser : public endpoint_chooser
{
public:
	/// @param[in] _fallback Chooses for services without loads. All references must outlive this object.
	completion_chooser(endpoint_chooser& _fallback, const base::TimeSource& _time, base::RandomSource _random);

	const EndpointTarget* choose(const std::vector<const EndpointTarget*>& _usable,
								 const choice_request& _request) override;

	void removeEndpoint(const std::string& _endpoint) override
	{
		m_endpoints.erase(_endpoint);
	}

	/// Records that an attempt was sent.
	///
	/// @param[in] _attempt Identifies the attempt; never reused.
	void onSent(int64_t _attempt, const std::string& _endpoint, const std::string& _service,
				const overload::call_kind& _kind);

	/// Records that the endpoint has received the attempt, and its load if it reports one.
	void onAccepted(int64_t _attempt, const std::optional<wire::EndpointLoad>& _load);

	/// Records the end of an attempt.
	///
	/// @param[in] _load Load reported with the response, if any.
	/// @param[in] _bodyBytes Size of the response body.
	void onEnded(int64_t _attempt, attempt_end _end, const std::optional<wire::EndpointLoad>& _load = std::nullopt,
				 size_t _bodyBytes = 0);

	const placement_counters& counters() const
	{
		return m_counters;
	}

	/// @returns The costs compared in the last choice, in the order of the candidates; empty if it was the fallback's.
	const std::vector<candidate_cost>& lastCosts() const
	{
		return m_lastCosts;
	}

	/// @returns The number of endpoints of which state is kept.
	size_t knownEndpoints() const
	{
		return m_endpoints.size();
	}

private:
	using kind_key = std::pair<std::string, overload::call_kind>;  // service and kind

	struct attempt_state
	{
		std::string endpoint;
		kind_key kind;
		base::TimePoint sentAt{};
		double expectedMs = 0;  // 0 if unknown
	};

	struct kind_at_endpoint
	{
		double runMs = 0;       // at the usual pace; 0 while unknown
		double latencyMs = 0;   // moving average of this node's own; 0 while unknown
		double transferMs = 0;  // by which large responses take longer than the wait and the run
		base::TimePoint at{};   // of the last completion
	};

	struct endpoint_state
	{
		int running = 0;
		int waiting = 0;
		int slots = 0;
		double others = 0;  // requests of other nodes in the last report
		double pace = 1;
		base::TimePoint loadAt{};  // time for which the load holds
		bool hasLoad = false;
		double usualOthersPerSlot = 0;  // moving average over reports
		double roundTripMs = 0;         // 0 while unknown
		double refusedShare = 0;
		base::TimePoint refusedAt{};
		std::map<kind_key, kind_at_endpoint> kinds;
		std::map<int64_t, base::TimePoint> outstanding;  // attempts and when they were sent
	};

	struct kind_state
	{
		double squaredError = 0.25;  // mean of ((latency - expected) / expected)^2
		double queueShare = 1;       // reported wait over that of the whole queue
		double responseBytes = 0;    // moving average
	};

	struct running_mean
	{
		double sum = 0;
		int count = 0;

		void add(double _value)
		{
			sum += _value;
			++count;
		}
		double mean() const
		{
			return sum / count;
		}
	};

	/// Means over the candidates with a current load.
	struct service_means
	{
		std::map<std::string, running_mean> othersPerSlot;  // by zone
		double pace = 1;
		double runMs = 0;   // at the usual pace
		int reporting = 0;  // number of these candidates
	};

	const endpoint_state* stateOf(const std::string& _endpoint) const;
	kind_state* kindOf(const kind_key& _kind);
	void onLoad(endpoint_state* _state, const kind_key& _kind, base::TimePoint _countedUpTo,
				const wire::EndpointLoad& _load);
	bool isCurrent(const endpoint_state& _state) const;
	service_means meansOf(const std::vector<const EndpointTarget*>& _usable, const kind_key& _kind);
	void addReportedCost(candidate_cost* _cost, const endpoint_state& _state, const kind_key& _kind,
						 const service_means& _means);
	void addLearnedCost(candidate_cost* _cost, const endpoint_state& _state, const kind_key& _kind,
						const service_means& _means);
	double penaltyMs(const candidate_cost& _cost, const endpoint_state& _state, const choice_request& _request,
					 const kind_state& _kind);

	endpoint_chooser& m_fallback;
	const base::TimeSource& m_time;
	base::RandomSource m_random;
	std::map<std::string, endpoint_state> m_endpoints;
	std::map<kind_key, kind_state> m_kinds;
	std::map<int64_t, attempt_state> m_attempts;
	std::vector<candidate_cost> m_lastCosts;
	size_t m_lastChoice = 0;  // index into m_lastCosts
	bool m_lastLeftZone = false;
	placement_counters m_counters;
};

}  // namespace driftlug::routing

#endif  // DRIFTLUG_ROUTING_PLACEMENT_COMPLETION_CHOOSER_H_HEADER_GUARD
