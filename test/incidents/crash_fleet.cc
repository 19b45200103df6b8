#include "crash_fleet.h"

#include <algorithm>

namespace driftlug::test
{
namespace
{
std::vector<wire::Row> rows()
{
	wire::Row service;
	service.key = table::makeKey(wire::RowKind::SERVICE, kService);
	service.__isset.serviceRow = true;
	wire::Row route;
	route.key = table::makeKey(wire::RowKind::ROUTE, "route");
	route.__isset.routeRow = true;
	route.routeRow.host = kHost;
	route.routeRow.pathPrefix = "/";
	route.routeRow.timeoutMs = kDeadlineMs;
	route.routeRow.targetLatencyMs = kTargetMs;
	route.routeRow.maxAttempts = 2;
	route.routeRow.repeatable = true;
	route.routeRow.priority = 2;
	wire::WeightedService share;
	share.serviceName = kService;
	share.weight = 100;
	route.routeRow.shares.push_back(share);
	return {service, route};
}

}  // namespace

size_t caller_record::otherRequestsLost(const back_end_record& _record) const
{
	return static_cast<size_t>(std::count_if(lost.begin(), lost.end(),
											 [&](const auto& _request)
											 {
												 return !_record.isFatal(_request.second);
											 }));
}

crash_fleet::crash_fleet(uint64_t _seed, size_t _backEnds, size_t _clientNodes)
	: m_random(_seed)
	, m_network(m_queue, base::RandomSource(m_random.bits()), {})
	, m_source(m_queue, m_network, rows())
{
	const std::vector<base::Address> addresses{{"relay", 1}, {"relay", 2}};
	for (size_t i = 0; i < addresses.size(); ++i)
	{
		m_relays.push_back(std::make_unique<fleet_relay>(m_queue, m_network, i, addresses,
														 std::vector<base::Address>{m_source.address()}));
		m_relays.back()->start();
	}
	const std::vector<std::string> zones{"a", "b", "c"};
	for (size_t i = 0; i < _backEnds + _clientNodes; ++i)
	{
		fleet_node_options options;
		options.service = kService;
		options.slots = kSlots;
		options.hasBackEnd = i < _backEnds;
		m_nodes.push_back(
			std::make_unique<fleet_node>(m_queue, m_network, i, zones[i % zones.size()], addresses, options));
		if (options.hasBackEnd)
		{
			auto backEnd = std::make_unique<crashing_back_end>(m_nodes.back()->backEndProcess(), i + 1, i, backEnds);
			m_backEnds.push_back(backEnd.get());
			m_nodes.back()->useBackEnd(std::move(backEnd));
		}
		m_nodes.back()->start();
	}
	runUntil(base::seconds(2));
}

void crash_fleet::runUntil(base::Duration _sinceStart)
{
	base::setLogClock(&m_queue);
	while (m_queue.runNext(at(_sinceStart)))
	{
	}
	base::setLogClock(nullptr);
}

void crash_fleet::startBackgroundTraffic(double _perSecond, base::Duration _until)
{
	const auto gap = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / _perSecond));
	m_queue.after(m_random.duration(gap * 2),
				  [this, _perSecond, _until]
				  {
					  if (m_queue.now() > at(_until))
					  {
						  return;
					  }
					  call("/tiles/" + std::to_string(++m_paths));
					  startBackgroundTraffic(_perSecond, _until);
				  });
}

void crash_fleet::repeat(const std::string& _path, base::Duration _gap, base::Duration _until)
{
	if (m_queue.now() > at(_until))
	{
		return;
	}
	call(_path);
	m_queue.after(_gap / 2 + m_random.duration(_gap),
				  [this, _path, _gap, _until]
				  {
					  repeat(_path, _gap, _until);
				  });
}

void crash_fleet::call(const std::string& _path)
{
	++callers.requests;
	sendAttempt(_path, m_random.below(m_nodes.size()), m_queue.now(), 1);
}

void crash_fleet::sendAttempt(const std::string& _path, size_t _node, base::TimePoint _begunAt, int _triesLeft)
{
	auto* entry = m_nodes[_node]->entry();
	const auto waited = std::chrono::duration_cast<base::milliseconds>(m_queue.now() - _begunAt);
	if (nullptr == entry || waited.count() >= kDeadlineMs)
	{
		return recordLost(_path);
	}
	node::InboundCall inbound;
	inbound.method = "GET";
	inbound.host = kHost;
	inbound.path = _path;
	inbound.deadlineMs = kDeadlineMs - static_cast<int>(waited.count());
	wire::HttpHeader host;
	host.name = "host";
	host.value = kHost;
	inbound.headers = {host};
	if (onAttemptSent)
	{
		onAttemptSent(_node, _path);
	}
	entry->begin(std::move(inbound),
				 [this, _path, _node, _begunAt, _triesLeft](const node::CallAnswer& _answer)
				 {
					 if (onAttemptAnswered)
					 {
						 onAttemptAnswered(_node, _answer);
					 }
					 onAttemptAnswer(_path, _begunAt, _triesLeft, _answer);
				 });
}

void crash_fleet::onAttemptAnswer(const std::string& _path, base::TimePoint _begunAt, int _triesLeft,
								  const node::CallAnswer& _answer)
{
	const auto waited = m_queue.now() - _begunAt;
	if (backEnds.isFatal(_path))
	{
		callers.fatalAnswers.push_back(_answer);
	}
	else if (base::ErrorCode::kRequestHeld == _answer.error)
	{
		++callers.otherRequestsHeld;
	}
	if (wire::CallOutcome::COMPLETED == _answer.outcome)
	{
		++callers.served;
		callers.inTime += waited <= base::milliseconds(kTargetMs) ? 1 : 0;
		return;
	}
	if (0 == _triesLeft)
	{
		return recordLost(_path);
	}
	const auto left = base::milliseconds(kDeadlineMs) - waited;
	const auto pause = std::min<base::Duration>(base::milliseconds(_answer.retryAfterMs), left / 3);
	m_queue.after(pause + base::milliseconds(2),
				  [this, _path, _begunAt, _triesLeft]
				  {
					  sendAttempt(_path, m_random.below(m_nodes.size()), _begunAt, _triesLeft - 1);
				  });
}

}  // namespace driftlug::test
