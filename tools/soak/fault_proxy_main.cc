/// driftlug-fault-proxy: a proxy between the processes of a fleet on loopback that injects faults into connections.
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <map>
#include <memory>

#include "base/error.h"
#include "base/settings.h"
#include "daemon.h"
#include "soak/fault_proxy.h"
#include "transport/http_server.h"

DEFINE_string(links, "", "links as name=port:target_port, separated by commas");
DEFINE_int32(control_port, 0, "port for GET /fault?link=NAME&fault=FAULT[&delay_ms=N][&bytes_per_second=N]");
DEFINE_double(link_mbps, 0, "bandwidth of each link in each direction, in Mbit/s; 0 for unlimited");

namespace
{
using namespace driftlug;

constexpr char kLoopback[] = "127.0.0.1";
constexpr int kBadRequest = 400;

using proxy_map = std::map<std::string, std::unique_ptr<soak::fault_proxy>>;

[[noreturn]] void exitWithBadLink(const std::string& _text)
{
	apps::exitWithError(base::makeError(base::ErrorCode::kBadSetting, "links: '" + _text + "' is not name=port:port"));
}

proxy_map listenOrExit(transport::EventLoop& _loop)
{
	proxy_map all;
	for (const auto& text : base::splitList(FLAGS_links))
	{
		const std::pair<std::string, std::string> link = absl::StrSplit(text, '=');
		const std::pair<std::string, std::string> ports = absl::StrSplit(link.second, ':');
		int port = 0;
		int target = 0;
		if (!absl::SimpleAtoi(ports.first, &port) || !absl::SimpleAtoi(ports.second, &target))
		{
			exitWithBadLink(text);
		}
		auto& proxy = all[link.first];
		proxy = std::make_unique<soak::fault_proxy>(_loop, base::Address{kLoopback, target});
		constexpr double kBytesPerMegabit = 1e6 / 8;
		proxy->setCapacity(static_cast<int64_t>(FLAGS_link_mbps * kBytesPerMegabit));
		if (const auto status = proxy->listen(port); !status.ok())
		{
			apps::exitWithError(status);
		}
	}
	return all;
}

transport::HttpResponse setFault(const proxy_map& _proxies, const transport::HttpRequest& _request)
{
	const auto found = _proxies.find(_request.parameter("link"));
	const auto fault = soak::faultOf(_request.parameter("fault"));
	if (_proxies.end() == found || !fault)
	{
		return transport::jsonResponse(kBadRequest, "{}");
	}
	int delayMs = 0;
	(void)absl::SimpleAtoi(_request.parameter("delay_ms"), &delayMs);
	int64_t bytesPerSecond = 0;
	(void)absl::SimpleAtoi(_request.parameter("bytes_per_second"), &bytesPerSecond);
	found->second->setFault(*fault, {base::milliseconds(delayMs), bytesPerSecond});
	return transport::jsonResponse(200, "{}");
}

}  // namespace

int main(int argc, char** argv)
{
	base::declareRequired("links");
	base::declareRange("control_port", 1, 65535);
	base::declareRange("link_mbps", 0, 1'000'000);
	base::loadSettingsOrExit(argc, argv, "driftlug-fault-proxy: injects faults into connections on loopback", false);
	apps::configureLogsFromSettings();
	transport::EventLoop loop;
	auto all = listenOrExit(loop);
	transport::HttpServer* answering = nullptr;
	transport::HttpServer server(
		loop, "control", {},
		[&](transport::ExchangeId _exchange, const transport::HttpRequest& _request)
		{
			answering->respond(_exchange, setFault(all, _request));
		},
		[](transport::ExchangeId) {});
	answering = &server;
	if (const auto status = server.listen(kLoopback, FLAGS_control_port); !status.ok())
	{
		apps::exitWithError(status);
	}
	loop.onSignals({[&loop]
					{
						loop.stop();
					},
					{}});
	loop.run();
	all.clear();
	return 0;
}
