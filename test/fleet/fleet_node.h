/// A node of a simulated fleet.
#ifndef DRIFTLUG_TEST_FLEET_FLEET_NODE_H_HEADER_GUARD
#define DRIFTLUG_TEST_FLEET_FLEET_NODE_H_HEADER_GUARD

#include <memory>
#include <string>
#include <vector>

#include "fleet_back_end.h"
#include "node/control_client.h"
#include "node/endpoint_calls.h"
#include "node/entry_calls.h"
#include "node/local_backend.h"
#include "node/version_reporter.h"
#include "quarantine/back_end_presence.h"
#include "quarantine/crash_watch.h"
#include "quarantine/request_quarantine.h"
#include "simulation/simulated_network.h"

namespace driftlug::test
{
/// Options of a node.
struct fleet_node_options
{
	std::string service;  //!< Service of the local back end.
	int slots = 9;        //!< Slots of the back end.
	bool hasBackEnd = false;
};

/// A node with the entry and endpoint sides of calls and an optional local back end, which outlives the node's process.
class fleet_node : public base::ConnectionHandler
{
public:
	fleet_node(simulation::EventQueue& _queue, simulation::SimulatedNetwork& _network, size_t _position,
			   const std::string& _zone, std::vector<base::Address> _relays, const fleet_node_options& _options);
	~fleet_node() override;

	/// Sets the back end; must be called before the first start. The back end schedules its events on backEndProcess().
	void useBackEnd(std::unique_ptr<fleet_back_end> _backEnd);

	void start();

	void kill();

	node::EntryCalls* entry()
	{
		return m_entry.get();
	}

	node::EndpointCalls* endpoint()
	{
		return m_endpoint.get();
	}

	quarantine::request_quarantine* quarantine()
	{
		return m_quarantine.get();
	}

	node::ControlClient* control()
	{
		return m_client.get();
	}

	fleet_back_end* backEnd()
	{
		return m_backEnd.get();
	}

	simulation::Process& process()
	{
		return m_process;
	}

	simulation::Process& backEndProcess()
	{
		return m_backEndProcess;
	}

	void onOpen(base::ConnectionId _connection, const wire::Hello& _peer) override;
	void onMessage(base::ConnectionId _connection, wire::Message _message) override;
	void onClose(base::ConnectionId _connection) override;

private:
	class back_end_probe;
	class no_back_end;

	void startEntry(base::RandomSource _random);
	void startEndpoint();
	void startControl(base::RandomSource _random);
	void startLocal(base::RandomSource _random);

	simulation::SimulatedNetwork& m_simulated;
	fleet_node_options m_options;
	simulation::Process m_process;
	simulation::Process m_backEndProcess;  //!< Process of the back end; keeps running when the node is killed.
	std::vector<base::Address> m_relays;
	size_t m_position;
	uint64_t m_startCount = 0;
	std::unique_ptr<no_back_end> m_noBackEnd;
	std::unique_ptr<fleet_back_end> m_backEnd;
	std::unique_ptr<simulation::ProcessNetwork> m_control;
	std::unique_ptr<simulation::ProcessNetwork> m_calls;
	std::unique_ptr<back_end_probe> m_presence;
	std::unique_ptr<quarantine::request_quarantine> m_quarantine;
	std::unique_ptr<quarantine::crash_detector> m_watch;
	std::unique_ptr<node::EntryCalls> m_entry;
	std::unique_ptr<node::EndpointCalls> m_endpoint;
	std::unique_ptr<node::ControlClient> m_client;
	std::unique_ptr<node::LocalBackend> m_local;
	std::unique_ptr<node::VersionReporter> m_reporter;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_FLEET_FLEET_NODE_H_HEADER_GUARD
