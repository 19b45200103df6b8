/// Models connections between machines over links of limited bandwidth.
#ifndef DRIFTLUG_LOAD_MODEL_MODELLED_NETWORK_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_MODELLED_NETWORK_H_HEADER_GUARD

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/network.h"
#include "load_model/modelled_link.h"
#include "simulation/event_queue.h"

namespace driftlug::load_model
{
class machine_network;

/// The network of all machines. A frame passes the sender's link, the propagation delay, and the receiver's link.
class modelled_network
{
public:
	modelled_network(simulation::EventQueue& _queue, double _linkMbps, base::Duration _zoneDelay)
		: m_queue(_queue)
		, m_linkMbps(_linkMbps)
		, m_zoneDelay(_zoneDelay)
	{
	}

	simulation::EventQueue& queue()
	{
		return m_queue;
	}

	double linkMbps() const
	{
		return m_linkMbps;
	}

	void add(machine_network* _machine);

	/// @returns The machine at an address, or null.
	machine_network* find(const base::Address& _address);

	base::Duration delay(const std::string& _from, const std::string& _to) const
	{
		return _from == _to ? m_zoneDelay / 2 : m_zoneDelay;
	}

	base::ConnectionId nextConnection()
	{
		return ++m_lastConnection;
	}

private:
	simulation::EventQueue& m_queue;
	double m_linkMbps;
	base::Duration m_zoneDelay;
	std::map<std::string, machine_network*> m_machines;  //!< By host.
	base::ConnectionId m_lastConnection = 0;
};

/// The connections of one machine. Connections within a machine bypass its link.
class machine_network : public base::Network
{
public:
	machine_network(modelled_network& _network, std::string _host, std::string _zone);

	void useHandler(base::ConnectionHandler* _handler)
	{
		m_handler = _handler;
	}

	void setHello(const wire::Hello& _hello) override
	{
		m_hello = _hello;
	}

	base::ConnectionId connect(const base::Address& _address) override;
	void send(base::ConnectionId _connection, const wire::FramePtr& _frame) override;
	void close(base::ConnectionId _connection) override;

	size_t queuedBytes(base::ConnectionId) const override
	{
		return 0;
	}

	size_t unacknowledgedBytes(base::ConnectionId _connection) const override
	{
		const auto found = m_unacknowledged.find(_connection);
		return m_unacknowledged.end() == found ? 0 : found->second;
	}

	const std::string& host() const
	{
		return m_host;
	}

	const modelled_link& out() const
	{
		return m_out;
	}

	const modelled_link& in() const
	{
		return m_in;
	}

private:
	void receive(base::ConnectionId _connection, const wire::FramePtr& _frame);
	void closed(base::ConnectionId _connection);

	modelled_network& m_network;
	std::string m_host;
	std::string m_zone;
	wire::Hello m_hello;
	base::ConnectionHandler* m_handler = nullptr;
	std::map<base::ConnectionId, machine_network*> m_peers;  //!< Peer of each open connection.
	std::map<base::ConnectionId, size_t> m_unacknowledged;   //!< Sent bytes whose arrival is not known yet.
	modelled_link m_out;
	modelled_link m_in;
};

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_MODELLED_NETWORK_H_HEADER_GUARD
