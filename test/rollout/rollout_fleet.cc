#include "rollout_fleet.h"

#include "base/log.h"

namespace driftlug::test
{
namespace
{
constexpr char kFleetHost[] = "claims.example";
constexpr int kDeadline = 2000;
constexpr base::Duration kClusterFormed = base::seconds(3);
constexpr base::Duration kServing = base::seconds(5);

wire::Mutation mutationOf(wire::Row _row)
{
	wire::Mutation mutation;
	mutation.row = std::move(_row);
	mutation.expectedRevision = -1;
	return mutation;
}

}  // namespace

rollout_fleet::rollout_fleet(uint64_t _seed)
	: m_random(_seed)
	, m_network(m_queue, base::RandomSource(m_random.bits()), {})
{
	std::vector<base::Address> controllers;
	for (size_t i = 0; i < m_seeds.size(); ++i)
	{
		m_hosts.push_back(
			std::make_unique<Host>(m_queue, m_network, m_seeds[i], "zone-" + std::to_string(i), m_random.bits()));
		m_hosts.back()->start(m_seeds, true);
		controllers.push_back({m_seeds[i], kPort});
	}
	runUntil(kClusterFormed);
	addTable();
	for (size_t i = 0; i < m_relayAddresses.size(); ++i)
	{
		m_relays.push_back(std::make_unique<fleet_relay>(m_queue, m_network, i, m_relayAddresses, controllers));
		m_relays.back()->start();
	}
	startVersion(kOldVersion);
	runUntil(kServing);
}

rollout_fleet::~rollout_fleet()
{
	base::setLogClock(nullptr);
}

void rollout_fleet::addTable()
{
	wire::Row service;
	service.key = table::makeKey(wire::RowKind::SERVICE, kMovedService);
	service.__isset.serviceRow = true;
	wire::Row route;
	route.key = table::makeKey(wire::RowKind::ROUTE, "route");
	route.__isset.routeRow = true;
	route.routeRow.host = kFleetHost;
	route.routeRow.pathPrefix = "/";
	route.routeRow.timeoutMs = kDeadline;
	route.routeRow.targetLatencyMs = 300;
	route.routeRow.maxAttempts = 2;
	wire::WeightedService share;
	share.serviceName = kMovedService;
	share.weight = 100;
	route.routeRow.shares.push_back(share);
	wire::EditCommand edit;
	edit.requestId = "rows";
	edit.mutations = {mutationOf(service), mutationOf(route)};
	leader()->controller().submitEdit(edit,
									  [](const controller::EditAnswer& _answer)
									  {
										  REQUIRE(base::ErrorCode::kNone == _answer.code);
									  });
	runUntil(now() + base::milliseconds(200));
}

void rollout_fleet::runUntil(base::Duration _sinceStart)
{
	base::setLogClock(&m_queue);
	while (m_queue.runNext(base::TimePoint{} + _sinceStart))
	{
	}
	base::setLogClock(nullptr);
}

size_t rollout_fleet::startVersion(const std::string& _version)
{
	const size_t first = m_nodes.size();
	for (size_t i = 0; i < kBackEnds; ++i)
	{
		const size_t position = m_nodes.size();
		fleet_node_options options;
		options.service = kMovedService;
		options.slots = kSlots;
		options.hasBackEnd = true;
		m_nodes.push_back(std::make_unique<fleet_node>(m_queue, m_network, position, "zone-" + std::to_string(i % 3),
													   m_relayAddresses, options));
		auto backEnd = std::make_unique<versioned_back_end>(m_nodes.back()->backEndProcess(), m_random.bits(), position,
															_version, kSlots, record);
		m_backEnds.push_back(backEnd.get());
		m_versions.push_back(_version);
		m_nodes.back()->useBackEnd(std::move(backEnd));
		m_nodes.back()->start();
	}
	return first;
}

Host* rollout_fleet::leader()
{
	for (const auto& host : m_hosts)
	{
		if (host->running() && host->controller().leads())
		{
			return host.get();
		}
	}
	return nullptr;
}

base::ErrorCode rollout_fleet::order(const std::string& _version, base::Duration _finishBy)
{
	auto* leading = leader();
	if (nullptr == leading)
	{
		return base::ErrorCode::kNotLeader;
	}
	std::optional<base::ErrorCode> code;
	leading->controller().rollouts().order({kMovedService, _version, _finishBy},
										   [&](const controller::RolloutAnswer& _answer)
										   {
											   code = _answer.code;
										   });
	for (int i = 0; i < 20 && !code; ++i)
	{
		runUntil(now() + base::milliseconds(50));
	}
	return code.value_or(base::ErrorCode::kOutcomeUnknown);
}

std::optional<wire::RolloutRow> rollout_fleet::row()
{
	const auto* leading = leader();
	if (nullptr == leading)
	{
		return std::nullopt;
	}
	const auto row = const_cast<Host*>(leading)->controller().rollouts().rowOf(kMovedService);
	return row ? std::optional(row->rolloutRow) : std::nullopt;
}

wire::RolloutState::type rollout_fleet::runUntilDecided(base::Duration _until)
{
	while (now() < _until)
	{
		runUntil(now() + base::milliseconds(50));
		if (const auto current = row(); current && wire::RolloutState::RUNNING != current->state)
		{
			return current->state;
		}
	}
	return wire::RolloutState::RUNNING;
}

void rollout_fleet::cutOff(size_t _node, bool _cut)
{
	const auto& host = node(_node).process().name();
	std::vector<std::string> others = m_seeds;
	for (const auto& relay : m_relays)
	{
		others.push_back(relay->process().name());
	}
	for (const auto& other : others)
	{
		m_network.setCut(host, other, _cut);
		m_network.setCut(other, host, _cut);
	}
}

size_t rollout_fleet::runningOn(const std::string& _version) const
{
	size_t running = 0;
	for (size_t i = 0; i < m_backEnds.size(); ++i)
	{
		running += m_versions[i] == _version ? m_backEnds[i]->running() : 0;
	}
	return running;
}

void rollout_fleet::generateLoad(double _perSecond, base::Duration _until)
{
	const auto gap = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(1 / _perSecond));
	m_queue.after(m_random.duration(gap * 2),
				  [this, _perSecond, _until]
				  {
					  if (now() > _until)
					  {
						  return;
					  }
					  call();
					  generateLoad(_perSecond, _until);
				  });
}

void rollout_fleet::call()
{
	// Callers are local to the nodes of the first version.
	auto* entry = m_nodes[m_random.below(kBackEnds)]->entry();
	if (nullptr == entry)
	{
		return;
	}
	++callers.sent;
	node::InboundCall inbound;
	inbound.method = "GET";
	inbound.host = kFleetHost;
	inbound.path = "/" + std::to_string(callers.sent);
	inbound.deadlineMs = kDeadline;
	entry->begin(std::move(inbound),
				 [this](const node::CallAnswer& _answer)
				 {
					 const bool completed = wire::CallOutcome::COMPLETED == _answer.outcome;
					 callers.answered += completed && 200 == _answer.httpStatus ? 1 : 0;
					 callers.failed += completed && 200 != _answer.httpStatus ? 1 : 0;
					 callers.notRun += wire::CallOutcome::NOT_RUN == _answer.outcome ? 1 : 0;
					 callers.unknown += wire::CallOutcome::UNKNOWN == _answer.outcome ? 1 : 0;
				 });
}

}  // namespace driftlug::test
