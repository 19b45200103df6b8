/// Measures how soon a caller's disconnect is propagated to the back end through two nodes.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "exact_histogram.h"
#include "small_fleet.h"

namespace driftlug::tools
{
namespace
{
constexpr int kClosesAtOnce = 20;
constexpr base::Duration kServiceTime = base::milliseconds(400);
constexpr base::Duration kCloseDelay = base::milliseconds(100);
constexpr char kTracedIdPrefix[] = "close-";

/// Guaranteed time within which a request is aborted in the back end after its caller disconnects.
constexpr base::Duration kAbortLimit = base::milliseconds(500);

int connectTo(int _port)
{
	sockaddr_in address{};
	address.sin_family = AF_INET;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(static_cast<uint16_t>(_port));
	const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
	REQUIRE(0 == ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
	return socket;
}

/// Events of the traced requests in the back ends.
struct request_events
{
	std::map<std::string, int64_t> began;    //!< Start of the run, in microseconds of the boot clock.
	std::map<std::string, int64_t> aborted;  //!< Abort, in the same unit.
	std::map<std::string, int64_t> ended;    //!< Completion, in the same unit.
};

/// A small fleet under load, and callers that disconnect while a back end runs their requests.
class disconnecting_callers
{
public:
	disconnecting_callers()
		: m_fleet(options())
	{
	}

	void startLoad(double _rate, int _durationMs)
	{
		m_fleet.startLoad(_rate, _durationMs);
	}

	void closeMany(int _count)
	{
		for (int begun = 0; begun < _count; begun += kClosesAtOnce)
		{
			std::vector<int> sockets;
			for (int ii = 0; ii < kClosesAtOnce; ++ii)
			{
				const auto& entry = m_fleet->entries()[static_cast<size_t>(ii) % m_fleet->entries().size()];
				sockets.push_back(connectTo(entry.entryPort));
				const auto request =
					"GET /lookups/1 HTTP/1.1\r\nhost: small.example\r\nx-request-id: " + idOf(begun + ii) + "\r\n\r\n";
				REQUIRE(static_cast<ssize_t>(request.size())
						== ::send(sockets.back(), request.data(), request.size(), 0));
			}
			::usleep(static_cast<useconds_t>(kCloseDelay.count()));
			for (int ii = 0; ii < kClosesAtOnce; ++ii)
			{
				close(sockets[static_cast<size_t>(ii)], 0 != ii % 2);
				m_closed[idOf(begun + ii)] = base::BootClock::now().time_since_epoch().count();
			}
		}
		::usleep(static_cast<useconds_t>((kAbortLimit + kServiceTime).count()));
	}

	request_events read() const
	{
		request_events all;
		for (const auto& endpoint : m_fleet->endpoints())
		{
			std::istringstream stream(m_fleet->processes().output(endpoint.backendName));
			std::string what;
			std::string id;
			for (int64_t at = 0; stream >> what >> id >> at;)
			{
				("began" == what ? all.began : "ended" == what ? all.ended : all.aborted)[id] = at;
			}
		}
		return all;
	}

	const std::map<std::string, int64_t>& closed() const
	{
		return m_closed;
	}

private:
	static FleetOptions options()
	{
		FleetOptions options;
		options.backendFlags = {"--service-time-us=" + std::to_string(kServiceTime.count()), "--distribution=fixed",
								std::string("--note-ids=") + kTracedIdPrefix};
		return options;
	}

	static std::string idOf(int _call)
	{
		return kTracedIdPrefix + std::to_string(_call);
	}

	/// @param[in] _reset Whether the connection is closed with a TCP reset instead of an orderly close.
	static void close(int _socket, bool _reset)
	{
		const linger atOnce{1, 0};
		if (_reset)
		{
			REQUIRE(0 == ::setsockopt(_socket, SOL_SOCKET, SO_LINGER, &atOnce, sizeof(atOnce)));
		}
		::close(_socket);
	}

	small_fleet m_fleet;
	std::map<std::string, int64_t> m_closed;  //!< Time of each disconnect, in microseconds of the boot clock.
};

/// @returns The time from each disconnect to the abort of a running request.
ExactHistogram abortDelays(const disconnecting_callers& _callers, const request_events& _notes)
{
	ExactHistogram delays;
	for (const auto& [id, at] : _notes.aborted)
	{
		delays.add(at - _callers.closed().at(id));
	}
	return delays;
}

void check(int _closes, double _rate)
{
	disconnecting_callers callers;
	callers.startLoad(_rate, _closes * 10 + 3000);
	::usleep(500'000);
	callers.closeMany(_closes);
	const auto noted = callers.read();
	auto delays = abortDelays(callers, noted);
	// The other requests had completed by then, or were refused.
	REQUIRE(static_cast<size_t>(_closes) / 2 <= delays.count());
	const auto isLate = [&](const auto& _noted)
	{
		return _noted.second > callers.closed().at(_noted.first) + kAbortLimit.count();
	};
	const auto figures =
		fmt::format("{} of {} closes aborted a running request, p50 {} us, p99 {} us, max {} us", delays.count(),
					_closes, delays.percentile(0.5), delays.percentile(0.99), delays.percentile(1));
	INFO(figures);
	CHECK(delays.percentile(1) < kAbortLimit.count());
	CHECK(noted.aborted.size() + noted.ended.size() == noted.began.size());
	CHECK(0 == std::count_if(noted.began.begin(), noted.began.end(), isLate));
	CHECK(0 == std::count_if(noted.ended.begin(), noted.ended.end(), isLate));
	WARN(figures);
}

}  // namespace

TEST_CASE("a back end aborts a request within half a second of its caller's disconnect, through two nodes under load")
{
	check(100, 100);
}

TEST_CASE("figures of closes: two nodes, 2,000 closes beside 150 calls a second", "[.figures]")
{
	check(2000, 150);
}

}  // namespace driftlug::tools
