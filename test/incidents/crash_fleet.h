/// A small fleet on the virtual clock whose back ends crash: the true relays, entry and endpoint sides of calls.
#ifndef DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD
#define DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD

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
/// What became of the requests of callers, with the tries that they made themselves.
struct caller_record
{
	int asked = 0;
	int served = 0;
	int inTime = 0;
	std::vector<std::pair<base::TimePoint, std::string>> lost;  //!< Requests that were not served.
	std::vector<node::CallAnswer> fatalAnswers;                 //!< To requests that crash what runs them.
	int heldOthers = 0;                                         //!< Answers to others that were held back.

	/// @returns How many requests that crash nothing were not served.
	size_t lostOthers(const back_end_record& _record) const;
};

/// Relays, nodes, back ends and callers.
class crash_fleet
{
public:
	/// @param[in] _seed Of all that is drawn.
	/// @param[in] _backEnds Of the service; four run at half of their slots under the traffic of callers.
	explicit crash_fleet(uint64_t _seed, size_t _backEnds = 4, size_t _others = 6);

	void runUntil(base::Duration _sinceStart);

	base::Duration now() const
	{
		return m_queue.now() - base::TimePoint{};
	}

	/// Callers ask for different things all the time, at all nodes.
	void callAllTheTime(double _perSecond, base::Duration _until);

	/// The same request comes again and again, at any node.
	void repeat(const std::string& _path, base::Duration _gap, base::Duration _until);

	/// A caller asks at any node, and once more when it is not served in time.
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

private:
	void ask(const std::string& _path, size_t _node, base::TimePoint _begunAt, int _triesLeft);

	void onAnswer(const std::string& _path, base::TimePoint _begunAt, int _triesLeft, const node::CallAnswer& _answer);

	void lose(const std::string& _path)
	{
		callers.lost.emplace_back(m_queue.now(), _path);
	}

	simulation::EventQueue m_queue;
	base::RandomSource m_random;
	simulation::SimulatedNetwork m_network;
	controller_stub m_source;
	std::vector<std::unique_ptr<fleet_relay>> m_relays;
	std::vector<std::unique_ptr<fleet_node>> m_nodes;
	std::vector<crashing_back_end*> m_backEnds;  //!< Of the first nodes.
	int m_paths = 0;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_INCIDENTS_CRASH_FLEET_H_HEADER_GUARD
