#include "slow_fleet.h"

#include <algorithm>

namespace driftlug::test
{
namespace
{
constexpr size_t kZones = 4;
constexpr size_t kSeeds = 3;
constexpr base::Duration kFormation = base::seconds(8);
constexpr base::Duration kAcceptance = base::seconds(10);
constexpr base::Duration kNever = base::seconds(20);
constexpr base::Duration kStep = base::milliseconds(5);
const std::vector<std::string> kServices = {"archive", "intake", "vehicles"};

std::string zoneOf(size_t _position)
{
	return "zone-" + std::to_string(_position % kZones);
}

std::string hostOf(size_t _position)
{
	return "10.0.0." + std::to_string(_position + 1);
}

wire::Mutation serviceNamed(const std::string& _name)
{
	wire::Mutation mutation;
	mutation.row.key = table::makeKey(wire::RowKind::SERVICE, _name);
	mutation.row.__isset.serviceRow = true;
	return mutation;
}

wire::Mutation routeTo(const std::string& _service, const std::string& _name)
{
	wire::Mutation mutation;
	mutation.row.key = table::makeKey(wire::RowKind::ROUTE, "r-" + _name);
	mutation.row.__isset.routeRow = true;
	auto& route = mutation.row.routeRow;
	route.host = _name + ".example";
	route.pathPrefix = "/" + _name + "/";
	route.timeoutMs = 1000;
	wire::WeightedService share;
	share.serviceName = _service;
	share.weight = table::kWeightSum;
	route.shares.push_back(share);
	return mutation;
}

}  // namespace

slow_fleet::slow_fleet(const slow_fleet_options& _options)
	: m_options(_options)
	, m_network(m_queue, base::RandomSource(7), {})
	, m_random(11)
{
	std::vector<std::string> seeds;
	std::vector<base::Address> relays;
	for (size_t i = 0; i < kSeeds; ++i)
	{
		seeds.push_back(hostOf(i));
		relays.push_back(core_machine::relayAddress(hostOf(i)));
	}
	for (size_t i = 0; i < m_options.coreMachines; ++i)
	{
		m_core.push_back(std::make_unique<core_machine>(m_queue, m_network, hostOf(i), zoneOf(i), seeds,
														m_options.coreShare, i + 1));
		m_core.back()->start(true);
	}
	for (size_t i = 0; i < m_options.nodes; ++i)
	{
		m_nodes.push_back(std::make_unique<slow_node>(m_queue, m_network, "10.0.1." + std::to_string(i + 1), zoneOf(i),
													  kServices[i % kServices.size()], relays, m_options.nodeShare,
													  i + 100));
		m_nodes.back()->start();
	}
	runFor(kFormation);
}

void slow_fleet::runFor(base::Duration _duration)
{
	base::showLogTime(&m_queue);
	const auto until = m_queue.now() + _duration;
	while (m_queue.runNext(until))
	{
	}
	base::showLogTime(nullptr);
}

void slow_fleet::killAll(base::Duration _pause)
{
	for (auto& machine : m_core)
	{
		machine->kill();
	}
	for (auto& node : m_nodes)
	{
		node->kill();
	}
	runFor(_pause);
	for (auto& machine : m_core)
	{
		machine->start(false);
	}
	for (auto& node : m_nodes)
	{
		node->start();
	}
}

wire::EditCommand slow_fleet::nextEdit(size_t _count)
{
	wire::EditCommand edit;
	edit.requestId = "edit-" + std::to_string(++m_edits);
	if (1 == m_edits)
	{
		for (const auto& service : kServices)
		{
			edit.mutations.push_back(serviceNamed(service));
		}
	}
	for (size_t i = 0; i < _count; ++i)
	{
		const auto name = std::to_string(m_routes++) + "x" + std::to_string(m_random.below(1'000'000));
		edit.mutations.push_back(routeTo(kServices[i % kServices.size()], name));
	}
	return edit;
}

bool slow_fleet::addRoutes(size_t _count)
{
	auto edit = nextEdit(_count);
	bool accepted = false;
	bool asking = false;
	const auto until = m_queue.now() + kAcceptance;
	while (!accepted && m_queue.now() < until)
	{
		if (auto* leading = leader(); leading != nullptr && !asking)
		{
			asking = true;
			edit.baseRevision = leading->state().table().revision();
			leading->submitEdit(edit,
								[&](const controller::EditAnswer& _answer)
								{
									asking = false;
									accepted = base::ErrorCode::kNone == _answer.code;
									m_revision = _answer.outcome.revision;
								});
		}
		runFor(kStep);
	}
	m_acknowledgedAt = m_queue.now();
	return accepted;
}

size_t slow_fleet::nodesUpToDate()
{
	return static_cast<size_t>(std::count_if(m_nodes.begin(), m_nodes.end(),
											 [this](const auto& _node)
											 {
												 return _node->revision() >= m_revision;
											 }));
}

base::Duration slow_fleet::waitForNodes()
{
	while (nodesUpToDate() < m_nodes.size() && m_queue.now() - m_acknowledgedAt < kNever)
	{
		runFor(kStep);
	}
	return m_queue.now() - m_acknowledgedAt;
}

controller::Controller* slow_fleet::leader()
{
	controller::Controller* newest = nullptr;
	for (auto& machine : m_core)
	{
		auto* controller = machine->controller();
		if (controller == nullptr || !controller->leads())
		{
			continue;
		}
		if (newest == nullptr || controller->raft().term() > newest->raft().term())
		{
			newest = controller;
		}
	}
	return newest;
}

int64_t slow_fleet::term()
{
	const auto* leading = leader();
	return leading == nullptr ? 0 : leading->raft().term();
}

base::Duration slow_fleet::longestEvent() const
{
	base::Duration longest{0};
	for (const auto& machine : m_core)
	{
		longest = std::max(longest, machine->processor().longest());
	}
	return longest;
}

}  // namespace driftlug::test
