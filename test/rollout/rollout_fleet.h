/// A fleet on the virtual clock with the true controllers, relays and nodes, whose service moves to another version.
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

/// Answers to callers.
struct caller_counters
{
	int asked = 0;
	int answered = 0;  //!< With 200.
	int failed = 0;    //!< With another answer of a back end.
	int notRun = 0;
	int unknown = 0;  //!< That may have run and have no answer.
};

/// Three controllers, two relays, and nodes with back ends of one version; those of another one come with start().
class rollout_fleet
{
public:
	static constexpr size_t kBackEnds = 12;  //!< Of each version.
	static constexpr int kSlots = 6;

	explicit rollout_fleet(uint64_t _seed);
	~rollout_fleet();

	void runUntil(base::Duration _sinceStart);

	base::Duration now() const
	{
		return m_queue.now() - base::TimePoint{};
	}

	/// Callers ask at all nodes.
	void generateLoad(double _perSecond, base::Duration _until);

	/// Starts nodes with back ends of a version.
	/// @returns The position of the first.
	size_t startVersion(const std::string& _version);

	/// Orders the service onto a version.
	/// @returns The answer of the leader, or of nobody while none leads.
	base::ErrorCode order(const std::string& _version, base::Duration _finishBy);

	/// @returns The row of the service at the leader; empty while none leads or there is none.
	std::optional<wire::RolloutRow> row();

	/// Goes on until the order is decided, at the latest until a time.
	wire::RolloutState::type runUntilDecided(base::Duration _until);

	/// @returns The controller that leads; null while none does.
	Host* leader();

	/// Nothing passes between a node and the relays and controllers; other nodes reach it.
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

	/// @returns What all processes have sent.
	const simulation::Traffic& traffic() const
	{
		return m_network.traffic();
	}

	/// @returns Requests at work on back ends of a version.
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
	std::vector<versioned_back_end*> m_backEnds;  //!< By node.
	std::vector<std::string> m_versions;          //!< By node.
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_ROLLOUT_ROLLOUT_FLEET_H_HEADER_GUARD
