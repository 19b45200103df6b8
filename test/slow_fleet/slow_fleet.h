/// Core machines and nodes on the virtual clock whose work takes time, so that what grows with the table shows.
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
	double coreShare = 0.075;  //!< Of a processor.
	double nodeShare = 0.1;
};

class slow_fleet
{
public:
	explicit slow_fleet(const slow_fleet_options& _options = {});

	void runFor(base::Duration _duration);

	/// Ends all processes at once, and starts them again after a pause.
	void killAll(base::Duration _pause);

	/// An operator adds routes of three services to the configuration, and sends the whole of it.
	/// @returns Whether the change was accepted within 10 s.
	bool addRoutes(size_t _count);

	/// An operator reads the configuration.
	/// @returns Whether it came whole within 10 s.
	bool configReadable();

	/// @returns How long behind the acknowledgement of the last change the last node ran it; 20 s for never.
	base::Duration waitForNodes();

	/// @returns Null while nobody leads.
	controller::Controller* leader();

	/// @returns Of the newest leader; 0 while nobody leads.
	int64_t term();

	/// @returns Nodes that run the newest revision.
	size_t nodesUpToDate();

	size_t nodes() const
	{
		return m_nodes.size();
	}

	/// @returns The longest that a core machine dealt with a single event.
	base::Duration longestCoreAction() const;

private:
	std::string nextConfig(size_t _count);
	core_machine* leaderMachine();

	/// Asks whoever leads, again after each refusal.
	/// @returns The first good answer, if one comes in time.
	std::optional<transport::HttpResponse> sendToLeader(const transport::HttpRequest& _request);

	slow_fleet_options m_options;
	simulation::EventQueue m_queue;
	simulation::SimulatedNetwork m_network;
	std::vector<std::unique_ptr<core_machine>> m_core;
	std::vector<std::unique_ptr<slow_node>> m_nodes;
	base::RandomSource m_random;
	std::vector<std::string> m_resources;  //!< Of the configuration.
	int m_version = 0;
	int64_t m_revision = 0;  //!< Of the last change.
	base::TimePoint m_acknowledgedAt{};
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_SLOW_FLEET_SLOW_FLEET_H_HEADER_GUARD
