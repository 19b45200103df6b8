/// Fleet of production controllers, relays and nodes on the virtual clock, with a rollout of a service.
#ifndef DRIFTLUG_TEST_ROLLOUT_ROLLOUT_FLEET_H_HEADER_GUARD
#define DRIFTLUG_TEST_ROLLOUT_ROLLOUT_FLEET_H_HEADER_GUARD

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/controller_host.h"
#include "fleet/fleet_node.h"
#include "fleet/fleet_relay.h"
#include "versioned_back_end.h"

namespace driftlug::test
{
constexpr char kMovedService[] = "claims";
constexpr char kOldVersion[] = "v1";
constexpr char kNewVersion[] = "v2";

/// Counts of the outcomes of calls.
struct caller_counters
{
	int sent = 0;
	int answered = 0;  //!< Answered with status 200.
	int failed = 0;    //!< Answered by a back end with another status.
	int notRun = 0;
	int unknown = 0;  //!< Calls that may have run, without an answer.
};

/// Three controllers, two relays, and nodes with back ends of one version. startVersion() adds those of another one.
class rollout_fleet
{
public:
	static constexpr size_t kBackEnds = 12;  //!< Number of back ends of each version.
	static constexpr int kSlots = 6;

	explicit rollout_fleet(uint64_t _seed);
	~rollout_fleet();

	void runUntil(base::Duration _sinceStart);

	base::Duration now() const
	{
		return m_queue.now() - base::TimePoint{};
	}

	/// Sends calls to random nodes of the first version until a time.
	void generateLoad(double _perSecond, base::Duration _until);

	/// Starts nodes with back ends of a version.
	/// @returns The position of the first node.
	size_t startVersion(const std::string& _version);

	/// Orders a rollout of the service to a version.
	/// @returns The answer of the leader; kNotLeader while there is none.
	base::ErrorCode order(const std::string& _version, base::Duration _finishBy);

	/// @returns The row of the service at the leader; empty if there is no leader or no row.
	std::optional<wire::RolloutRow> row();

	/// Runs until the rollout is decided, but not beyond a time.
	/// @returns The state of the rollout.
	wire::RolloutState::type runUntilDecided(base::Duration _until);

	/// @returns The leading controller; null if there is none.
	Host* leader();

	/// Cuts or restores the network between a node and the relays and controllers; other nodes still reach the node.
	void cutOff(size_t _node, bool _cut);

	fleet_node& node(size_t _position)
	{
		return *m_nodes[_position];
	}

	versioned_back_end& backEnd(size_t _position)
	{
		return *m_backEnds[_position];
	}

	std::vector<std::unique_ptr<Host>>& controllers()
	{
		return m_hosts;
	}

	size_t nodes() const
	{
		return m_nodes.size();
	}

	const std::vector<std::string>& seeds() const
	{
		return m_seeds;
	}

	/// @returns The traffic sent by all processes.
	const simulation::Traffic& traffic() const
	{
		return m_network.traffic();
	}

	/// @returns The number of requests running on back ends of a version.
	size_t runningOn(const std::string& _version) const;

	version_record record;
	caller_counters callers;

private:
	void addTable();
	void call();

	simulation::EventQueue m_queue;
	base::RandomSource m_random;
	simulation::SimulatedNetwork m_network;
	std::vector<std::string> m_seeds{"c-1", "c-2", "c-3"};
	std::vector<std::unique_ptr<Host>> m_hosts;
	std::vector<base::Address> m_relayAddresses{{"relay-a", 1}, {"relay-b", 2}};
	std::vector<std::unique_ptr<fleet_relay>> m_relays;
	std::vector<std::unique_ptr<fleet_node>> m_nodes;
	std::vector<versioned_back_end*> m_backEnds;  //!< Indexed by node.
	std::vector<std::string> m_versions;          //!< Indexed by node.
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_ROLLOUT_ROLLOUT_FLEET_H_HEADER_GUARD
