#include "load_model/modelled_node.h"

#include <algorithm>
#include <cmath>

namespace driftlug::load_model
{
namespace
{
constexpr char kHost[] = "model.example";
constexpr int kPort = 7000;
constexpr int kMinRetryTimeMs = 20;  // remaining time below which a caller does not retry

std::string hostOf(size_t _position)
{
	return "10." + std::to_string(_position / 250) + ".0." + std::to_string(_position % 250 + 1);
}

}  // namespace

modelled_node::modelled_node(load_model& _model, size_t _position, const service_pattern& _service, double _speed,
							 const std::string& _zone)
	: m_model(_model)
	, m_service(_service)
	, m_zone(_zone)
	, m_process(_model.m_queue, "node-" + std::to_string(_position), {_zone, "region"}, {hostOf(_position), kPort})
	, m_network(_model.m_network, hostOf(_position), _zone)
	, m_backEnd(m_process, base::RandomSource(_model.m_random.bits()), _service, _speed, _model.m_kinds,
				_model.m_result.work)
{
	m_process.start();
	m_network.useHandler(this);
	auto entry = _model.m_policy.entry;
	entry.nodeId = m_process.name();
	entry.zone = _zone;
	m_entry =
		std::make_unique<node::EntryCalls>(entry, m_process, base::RandomSource(_model.m_random.bits()), m_network);
	auto endpoint = _model.m_policy.endpoint;
	endpoint.service = _service.name;
	endpoint.dynamicEndpoint = true;
	endpoint.loadHeader = modelled_back_end::kLoadHeader;
	m_endpoint = std::make_unique<node::EndpointCalls>(endpoint, m_process, m_network, m_backEnd, nullptr);
	m_endpoint->useIncarnation(m_process.name(), _service.slots);
	m_entry->onNestedCalls(
		[this]
		{
			m_endpoint->onNestedBegan();
		},
		[this](overload::nested_outcome _outcome, base::Duration _latency)
		{
			m_endpoint->onNestedEnded(_outcome, _latency);
		});
	m_backEnd.useNestedCalls(
		[this](const std::string& _kind, int _deadlineMs, std::function<void(bool)> _done)
		{
			callNested(_kind, _deadlineMs, std::move(_done));
		});
	wire::Hello hello;
	hello.role = wire::Role::NODE;
	hello.id = m_process.name();
	hello.zone = _zone;
	hello.serviceName = _service.name;
	hello.takesBodyPieces = true;
	hello.acknowledgesCalls = true;
	hello.takesAnswerPieces = true;
	m_network.setHello(hello);
}

modelled_node::~modelled_node() = default;

wire::EndpointState modelled_node::endpoint() const
{
	wire::EndpointState state;
	state.endpoint = m_process.name();
	state.serviceName = m_service.name;
	state.condition = wire::EndpointCondition::LIVE;
	state.incarnation = 1;
	state.sequence = 1;
	state.address = m_process.address().host;
	state.port = m_process.address().port;
	state.zone = m_zone;
	state.slots = m_service.slots;
	return state;
}

void modelled_node::start(const routing::RoutingTablePtr& _table, const std::vector<wire::EndpointState>& _states)
{
	m_entry->useTable(_table);
	m_endpoint->useTable(*_table);
	m_entry->onEndpointStates(_states);
}

void modelled_node::setUp(bool _up)
{
	m_backEnd.setUp(_up);
	m_endpoint->setDraining(!_up);
}

std::string modelled_node::newPath(const std::string& _kind)
{
	return "/" + _kind + "/" + std::to_string(++m_lastPath);
}

node::CallId modelled_node::begin(const std::string& _path, int _deadlineMs, const std::string& _body,
								  node::AnswerCallback _done)
{
	node::InboundCall call;
	call.method = "GET";
	call.host = kHost;
	call.path = _path;
	call.deadlineMs = _deadlineMs;
	call.body = _body;
	return m_entry->begin(std::move(call), std::move(_done));
}

void modelled_node::callNested(const std::string& _kind, int _deadlineMs, std::function<void(bool)> _done)
{
	begin(newPath(_kind), _deadlineMs, "",
		  [done = std::move(_done)](const node::CallAnswer& _answer)
		  {
			  done(wire::CallOutcome::COMPLETED == _answer.outcome && 200 == _answer.httpStatus);
		  });
}

void modelled_node::startRequest(const kind_pattern& _kind)
{
	auto& result = m_model.m_result.kinds[_kind.name];
	++result.requests;
	result.utility += _kind.utility;
	auto request = std::make_shared<caller_request>();
	request->kind = &_kind;
	request->startedAt = m_process.now();
	request->path = newPath(_kind.name);
	request->body = std::string(static_cast<size_t>(-_kind.requestBytes * std::log(1 - m_model.m_random.unit())), 'b');
	attempt(request);
}

void modelled_node::attempt(const std::shared_ptr<caller_request>& _request)
{
	++_request->tries;
	const auto waited = std::chrono::duration_cast<base::milliseconds>(m_process.now() - _request->startedAt);
	const auto left = _request->kind->deadlineMs - static_cast<int>(waited.count());
	begin(_request->path, left, _request->body,
		  [this, _request](const node::CallAnswer& _answer)
		  {
			  onAnswer(_request, _answer);
		  });
}

void modelled_node::onAnswer(const std::shared_ptr<caller_request>& _request, const node::CallAnswer& _answer)
{
	const auto& kind = *_request->kind;
	auto& result = m_model.m_result.kinds[kind.name];
	const auto waited = m_process.now() - _request->startedAt;
	if (wire::CallOutcome::COMPLETED == _answer.outcome && 200 == _answer.httpStatus)
	{
		const bool inTime = waited <= base::milliseconds(kind.targetMs);
		++(inTime ? result.inTime : result.late);
		result.earnedUtility += kind.utility * (inTime ? 1 : kind.lateUtilityShare);
		return;
	}
	const bool notRun = wire::CallOutcome::NOT_RUN == _answer.outcome;
	result.refusedRetries += notRun && 1 < _request->tries ? 1 : 0;
	const base::Duration left = base::milliseconds(kind.deadlineMs) - waited;
	const bool mayAsk = kind.repeatable || notRun;
	if (!mayAsk || _request->tries > kind.callerRetries || left < base::milliseconds(kMinRetryTimeMs))
	{
		++(notRun ? result.refused : result.failed);
		return;
	}
	// Callers honour the retry-after delay, up to a third of the remaining time.
	const auto pause = std::min<base::Duration>(base::milliseconds(_answer.retryAfterMs), left / 3);
	m_process.schedule(pause + base::milliseconds(1 + m_model.m_random.below(20)),
					   [this, _request]
					   {
						   attempt(_request);
					   });
}

void modelled_node::onOpen(base::ConnectionId _connection, const wire::Hello& _peer)
{
	m_entry->onOpen(_connection, _peer);
	m_endpoint->onOpen(_connection, _peer);
}

void modelled_node::onMessage(base::ConnectionId _connection, wire::Message _message)
{
	if (const auto* request = std::get_if<wire::CallRequest>(&_message))
	{
		m_endpoint->onRequest(_connection, *request);
	}
	else if (const auto* cancel = std::get_if<wire::CallCancel>(&_message))
	{
		m_endpoint->onCancel(_connection, cancel->callId);
	}
	else if (const auto* piece = std::get_if<wire::CallBodyPiece>(&_message))
	{
		m_endpoint->onBodyPiece(_connection, *piece);
	}
	else if (const auto* credit = std::get_if<wire::CallAnswerCredit>(&_message))
	{
		m_endpoint->onAnswerCredit(_connection, *credit);
	}
	else if (std::holds_alternative<wire::KeepAlive>(_message) && !m_entry->isOutbound(_connection))
	{
		m_endpoint->onKeepAlive(_connection);
	}
	else
	{
		m_entry->onMessage(_connection, std::move(_message));
	}
}

void modelled_node::onClose(base::ConnectionId _connection)
{
	m_endpoint->onClose(_connection);
	m_entry->onClose(_connection);
}

}  // namespace driftlug::load_model
