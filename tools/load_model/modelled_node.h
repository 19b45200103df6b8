/// A node of the load model, with its back end and callers.
#ifndef DRIFTLUG_LOAD_MODEL_MODELLED_NODE_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_MODELLED_NODE_H_HEADER_GUARD

#include <memory>
#include <string>

#include "load_model/load_model.h"

namespace driftlug::load_model
{
/// The entry and endpoint sides of calls on one machine, the local back end, and the callers of this node.
class modelled_node : public base::ConnectionHandler
{
public:
	modelled_node(load_model& _model, size_t _position, const service_pattern& _service, double _speed,
				  const std::string& _zone);
	~modelled_node() override;

	/// @returns The endpoint state that other nodes receive for the back end.
	wire::EndpointState endpoint() const;

	/// Starts the node with the table and the states of all endpoints.
	void start(const routing::RoutingTablePtr& _table, const std::vector<wire::EndpointState>& _states);

	/// Starts a caller's request of a kind.
	void startRequest(const kind_pattern& _kind);

	void setUp(bool _up);

	const machine_network& network() const
	{
		return m_network;
	}

	const std::string& service() const
	{
		return m_service.name;
	}

	void onOpen(base::ConnectionId _connection, const wire::Hello& _peer) override;
	void onMessage(base::ConnectionId _connection, wire::Message _message) override;
	void onClose(base::ConnectionId _connection) override;

private:
	/// A caller's request and its attempts.
	struct caller_request
	{
		const kind_pattern* kind = nullptr;
		base::TimePoint startedAt{};
		int tries = 0;
		std::string path;  //!< The same in each attempt, so that a returning request is recognized.
		std::string body;
	};

	void attempt(const std::shared_ptr<caller_request>& _request);
	void onAnswer(const std::shared_ptr<caller_request>& _request, const node::CallAnswer& _answer);
	void callNested(const std::string& _kind, int _deadlineMs, std::function<void(bool)> _done);
	node::CallId begin(const std::string& _path, int _deadlineMs, const std::string& _body, node::AnswerCallback _done);
	std::string newPath(const std::string& _kind);

	load_model& m_model;
	const service_pattern& m_service;
	std::string m_zone;
	simulation::Process m_process;
	machine_network m_network;
	modelled_back_end m_backEnd;
	std::unique_ptr<node::EntryCalls> m_entry;
	std::unique_ptr<node::EndpointCalls> m_endpoint;
	int64_t m_lastPath = 0;
};

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_MODELLED_NODE_H_HEADER_GUARD
