/// Nodes that choose among modelled back ends on a virtual clock, each by its own observations.
#pragma once

#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "routing/endpoint_picker.h"
#include "routing/placement/completion_chooser.h"
#include "simulation/event_queue.h"

namespace driftlug::routing
{
constexpr int kZones = 3;
constexpr int kSlots = 14;
constexpr int kMaxWaiting = 56;

/// One kind of request, with log-normal work.
struct request_kind
{
	overload::call_kind kind;
	double workMs = 0;
	double nestedMs = 0;  //!< Mean wait for nested calls, in 7 of 10 requests.
	double share = 1;     //!< Of all requests.
	size_t bodyBytes = 0;
	size_t responseBytes = 400;
};

struct fleet_pattern
{
	bool byCompletion = true;
	double utilization = 0.65;  //!< Of the capacity of all back ends.
	double burst = 1;           //!< Multiple of the load from 6 to 9 s.
	int backEnds = 30;
	int nodes = 72;
	std::vector<double> speeds = {0.5, 1, 1, 1.5};
	std::vector<request_kind> kinds = {{{0, 500, false}, 190, 80, 1}};
	double slowShare = 0;     //!< Of intervals of 0.6 s in which a back end is 2.5 times slower.
	double oneZoneShare = 0;  //!< Of the requests that start in the first zone, beyond its third.
	double runS = 12;
	uint64_t seed = 1;
};

struct kind_totals
{
	int requests = 0;
	int inTime = 0;
	int leftZone = 0;
	int onSlow = 0;  //!< Sent to back ends below the usual speed.

	double inTimeShare() const
	{
		return inTime / std::max(1.0, static_cast<double>(requests));
	}
	double leftShare() const
	{
		return leftZone / std::max(1.0, static_cast<double>(requests));
	}
	double slowShare() const
	{
		return onSlow / std::max(1.0, static_cast<double>(requests));
	}
};

class placement_fleet
{
public:
	explicit placement_fleet(const fleet_pattern& _pattern);

	void run();

	/// A back end; the public fields are the faults that a test brings about.
	struct back_end
	{
		EndpointTarget target;
		double speed = 1;
		bool reports = true;    // says its load
		bool refusing = false;  // refuses everything, and says that it is idle
		bool cutOff = false;    // gets nothing, and nothing of it arrives
		int running = 0;
		std::vector<std::function<void()>> queue;
		std::map<int, double> runMs;   // by kind, at the usual pace
		std::vector<double> paces;     // by interval
		std::vector<double> arrivals;  // in seconds, also of what is lost
	};

	std::vector<back_end> backEnds;
	std::vector<kind_totals> kinds;   // of requests sent after the first 2 s
	std::vector<double> inTimeBurst;  // requests and those in time that started from 6 to 9 s
	double busiestOverMean = 0;       // mean over moments, of requests at a back end
	simulation::EventQueue queue;

	/// @returns The pace of a back end.
	double paceAt(int _backEnd, base::TimePoint _time);

	/// @returns The requests that were sent to a back end in a time, over the mean of all back ends.
	double arrivalsOverMean(int _backEnd, double _fromS, double _toS) const;

	/// Runs an action at a time.
	void at(double _seconds, std::function<void()> _action)
	{
		queue.at(base::TimePoint{} + base::Duration(static_cast<int64_t>(_seconds * 1e6)), std::move(_action));
	}

private:
	struct node
	{
		std::string zone;
		std::vector<EndpointTarget> endpoints;
		std::unique_ptr<EndpointPicker> picker;
		std::unique_ptr<completion_chooser> chooser;
	};

	struct request
	{
		int node = 0;
		int kind = 0;
		base::TimePoint startedAt{};
		std::set<std::string> tried;
		bool counted = false;
	};

	void arrive(double _perMs);
	void attempt(const std::shared_ptr<request>& _request);
	void onArrived(int64_t _attempt, const std::shared_ptr<request>& _request, int _backEnd);
	void start(int64_t _attempt, const std::shared_ptr<request>& _request, int _backEnd);
	void respond(int64_t _attempt, const std::shared_ptr<request>& _request, int _backEnd, bool _refused);
	base::Duration delay(int _node, int _backEnd) const;
	std::optional<wire::EndpointLoad> loadOf(int _backEnd, int _kind);
	double workEndMs(int _backEnd, double _workMs);
	void sample();

	fleet_pattern m_pattern;
	base::RandomSource m_random;
	std::vector<node> m_nodes;
	std::vector<double> m_samples;
	int64_t m_lastAttempt = 0;
};

}  // namespace driftlug::routing
