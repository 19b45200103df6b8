#include "slow_fleet.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>

namespace driftlug::test
{
namespace
{
constexpr size_t kZones = 4;
constexpr size_t kSeeds = 3;
constexpr base::Duration kFormationTime = base::seconds(8);
constexpr base::Duration kAcceptanceTimeout = base::seconds(10);
constexpr base::Duration kConvergenceTimeout = base::seconds(20);
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

std::string serviceResource(const std::string& _name)
{
	return R"({"resourceType":"services","metadata":{"name":")" + _name
		   + R"("},"spec":{"healthPath":"/healthz","maxConnections":500,"protocol":"h1","tls":false}})";
}

std::string routeResource(const std::string& _name, const std::string& _service)
{
	return R"({"resourceType":"routes","metadata":{"name":"r-)" + _name + R"("},"spec":{"host":")" + _name
		   + R"(.example","pathPrefix":"/)" + _name
		   + R"(/","routeType":"safe","timeoutMs":1200,"targetLatencyMs":300,"priority":2,"retryAttempts":2,"service":")"
		   + _service + R"("}})";
}

std::string versionText(int _version)
{
	return absl::StrFormat("%08x", _version);
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
	runFor(kFormationTime);
	for (const auto& service : kServices)
	{
		m_resources.push_back(serviceResource(service));
	}
}

void slow_fleet::runFor(base::Duration _duration)
{
	base::setLogClock(&m_queue);
	const auto until = m_queue.now() + _duration;
	while (m_queue.runNext(until))
	{
	}
	base::setLogClock(nullptr);
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

std::string slow_fleet::nextConfig(size_t _count)
{
	for (size_t i = 0; i < _count; ++i)
	{
		const auto name = std::to_string(m_resources.size()) + "x" + std::to_string(m_random.below(1'000'000));
		m_resources.push_back(routeResource(name, kServices[i % kServices.size()]));
	}
	const auto base = versionText(m_version);
	const auto version = versionText(++m_version);
	return R"({"version":")" + version + R"(","baseVersion":")" + base + R"(","resources":[)"
		   + absl::StrJoin(m_resources, ",") + "]}";
}

std::optional<transport::HttpResponse> slow_fleet::sendToLeader(const transport::HttpRequest& _request)
{
	std::optional<transport::HttpResponse> answer;
	bool requestPending = false;
	const auto until = m_queue.now() + kAcceptanceTimeout;
	while (m_queue.now() < until)
	{
		auto* machine = leaderMachine();
		if (machine != nullptr && !requestPending)
		{
			requestPending = true;
			machine->request(_request,
							 [&](transport::HttpResponse _response)
							 {
								 requestPending = false;
								 answer = std::move(_response);
							 });
		}
		runFor(kStep);
		if (answer && platform::kOk == answer->status)
		{
			return answer;
		}
	}
	return std::nullopt;
}

bool slow_fleet::addRoutes(size_t _count)
{
	transport::HttpRequest request;
	request.method = "PUT";
	request.path = "/config";
	request.body = nextConfig(_count);
	const auto answer = sendToLeader(request);
	m_acknowledgedAt = m_queue.now();
	if (leader() != nullptr)
	{
		m_revision = leader()->state().table().revision();
	}
	return answer.has_value();
}

bool slow_fleet::configReadable()
{
	transport::HttpRequest request;
	request.method = "GET";
	request.path = "/config";
	const auto answer = sendToLeader(request);
	return answer && answer->body.find(versionText(m_version)) != std::string::npos;
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
	while (nodesUpToDate() < m_nodes.size() && m_queue.now() - m_acknowledgedAt < kConvergenceTimeout)
	{
		runFor(kStep);
	}
	return m_queue.now() - m_acknowledgedAt;
}

core_machine* slow_fleet::leaderMachine()
{
	core_machine* newest = nullptr;
	for (auto& machine : m_core)
	{
		auto* controller = machine->controller();
		if (controller == nullptr || !controller->leads())
		{
			continue;
		}
		if (newest == nullptr || controller->raft().term() > newest->controller()->raft().term())
		{
			newest = machine.get();
		}
	}
	return newest;
}

controller::Controller* slow_fleet::leader()
{
	auto* machine = leaderMachine();
	return machine == nullptr ? nullptr : machine->controller();
}

int64_t slow_fleet::term()
{
	const auto* current = leader();
	return current == nullptr ? 0 : current->raft().term();
}

base::Duration slow_fleet::longestCoreAction() const
{
	base::Duration longestAction{0};
	for (const auto& machine : m_core)
	{
		longestAction = std::max(longestAction, machine->processor().longestAction());
	}
	return longestAction;
}

}  // namespace driftlug::test
