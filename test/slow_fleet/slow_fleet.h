/// Core machines and nodes on the virtual clock whose work takes time, to show costs that grow with the table.
#ifndef DRIFTLUG_TEST_SLOW_FLEET_SLOW_FLEET_H_HEADER_GUARD
#define DRIFTLUG_TEST_SLOW_FLEET_SLOW_FLEET_H_HEADER_GUARD

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core_machine.h"
#include "slow_node.h"

namespace driftlug::test
{
struct slow_fleet_options
{
	size_t coreMachines = 11;
	size_t nodes = 33;
	double coreShare = 0.075;  //!< Share of a processor.
	double nodeShare = 0.1;
};

class slow_fleet
{
public:
	explicit slow_fleet(const slow_fleet_options& _options = {});

	void runFor(base::Duration _duration);

	/// Ends all processes at once, and starts them again after a pause.
	void killAll(base::Duration _pause);

	/// Adds routes of three services to the configuration, and sends the complete configuration.
	/// @returns Whether the change was accepted within 10 s.
	bool addRoutes(size_t _count);

	/// Reads the configuration.
	/// @returns Whether the newest version was read within 10 s.
	bool configReadable();

	/// @returns Time from the acknowledgement of the last change until the last node runs it; 20 s if one does not.
	base::Duration waitForNodes();

	/// @returns The newest leader; null if there is none.
	controller::Controller* leader();

	/// @returns Term of the newest leader; 0 if there is none.
	int64_t term();

	/// @returns Number of nodes that run the newest revision.
	size_t nodesUpToDate();

	size_t nodes() const
	{
		return m_nodes.size();
	}

	/// @returns Longest time that a core machine took for a single event.
	base::Duration longestCoreAction() const;

private:
	std::string nextConfig(size_t _count);
	core_machine* leaderMachine();

	/// Sends a request to the current leader, again after each refusal.
	/// @returns The first successful answer, if one comes within 10 s.
	std::optional<transport::HttpResponse> sendToLeader(const transport::HttpRequest& _request);

	slow_fleet_options m_options;
	simulation::EventQueue m_queue;
	simulation::SimulatedNetwork m_network;
	std::vector<std::unique_ptr<core_machine>> m_core;
	std::vector<std::unique_ptr<slow_node>> m_nodes;
	base::RandomSource m_random;
	std::vector<std::string> m_resources;  //!< Resources of the configuration.
	int m_version = 0;
	int64_t m_revision = 0;  //!< Revision of the last change.
	base::TimePoint m_acknowledgedAt{};
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_SLOW_FLEET_SLOW_FLEET_H_HEADER_GUARD
