/// A small fleet with crashing back ends on the virtual clock; relays and both sides of calls are the real ones.
#ifndef DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD
#define DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/log.h"
#include "crashing_back_end.h"
#include "fleet/controller_stub.h"
#include "fleet/fleet_node.h"
#include "fleet/fleet_relay.h"

namespace driftlug::test
{
/// Outcomes of the callers' requests, including the callers' own retries.
struct caller_record
{
	int requests = 0;
	int served = 0;
	int inTime = 0;
	std::vector<std::pair<base::TimePoint, std::string>> lost;  //!< Requests that were not served.
	std::vector<node::CallAnswer> fatalAnswers;                 //!< Answers to requests that crash back ends.
	int otherRequestsHeld = 0;                                  //!< Answers that refuse other requests as held.

	/// @returns Number of lost requests that don't crash back ends.
	size_t otherRequestsLost(const back_end_record& _record) const;
};

/// Relays, nodes, back ends and callers.
class crash_fleet
{
public:
	/// @param[in] _seed Seed of all random draws.
	/// @param[in] _backEnds Back ends of the service; four use half of their slots under the callers' traffic.
	explicit crash_fleet(uint64_t _seed, size_t _backEnds = 4, size_t _clientNodes = 6);

	void runUntil(base::Duration _sinceStart);

	base::Duration now() const
	{
		return m_queue.now() - base::TimePoint{};
	}

	/// Sends requests for distinct paths to random nodes, at a mean rate of _perSecond.
	void startBackgroundTraffic(double _perSecond, base::Duration _until);

	/// Sends the same request repeatedly to random nodes.
	void repeat(const std::string& _path, base::Duration _gap, base::Duration _until);

	/// Sends a request to a random node, and once more to a random node if it is not served.
	void call(const std::string& _path);

	crashing_back_end& backEnd(size_t _position)
	{
		return *m_backEnds[_position];
	}

	fleet_node& node(size_t _position)
	{
		return *m_nodes[_position];
	}

	fleet_relay& relay(size_t _position)
	{
		return *m_relays[_position];
	}

	size_t nodes() const
	{
		return m_nodes.size();
	}

	simulation::SimulatedNetwork& network()
	{
		return m_network;
	}

	simulation::EventQueue& queue()
	{
		return m_queue;
	}

	base::RandomSource& random()
	{
		return m_random;
	}

	back_end_record backEnds;
	caller_record callers;

	/// Called with the node of each attempt of a caller when it is sent, and with its answer.
	std::function<void(size_t, const std::string&)> onAttemptSent;
	std::function<void(size_t, const node::CallAnswer&)> onAttemptAnswered;

private:
	void sendAttempt(const std::string& _path, size_t _node, base::TimePoint _begunAt, int _triesLeft);

	void onAttemptAnswer(const std::string& _path, base::TimePoint _begunAt, int _triesLeft,
						 const node::CallAnswer& _answer);

	void recordLost(const std::string& _path)
	{
		callers.lost.emplace_back(m_queue.now(), _path);
	}

	simulation::EventQueue m_queue;
	base::RandomSource m_random;
	simulation::SimulatedNetwork m_network;
	controller_stub m_source;
	std::vector<std::unique_ptr<fleet_relay>> m_relays;
	std::vector<std::unique_ptr<fleet_node>> m_nodes;
	std::vector<crashing_back_end*> m_backEnds;  //!< Back ends of the first nodes.
	int m_paths = 0;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD
