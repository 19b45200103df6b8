/// Back ends on the virtual clock that crash on some requests.
#ifndef DRIFTLUG_TEST_INCIDENTS_CRASHING_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_TEST_INCIDENTS_CRASHING_BACK_END_H_HEADER_GUARD

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/fleet_back_end.h"
#include "simulation/process.h"

namespace driftlug::test
{
constexpr char kService[] = "tiles";
constexpr char kHost[] = "maps.example";
constexpr int kSlots = 9;
constexpr int kDeadlineMs = 1200;
constexpr int kTargetMs = 300;
constexpr int64_t kClockAtStart = 1'764'720'000'000;  // Unix milliseconds on the clocks of back ends

inline base::TimePoint at(base::Duration _sinceStart)
{
	return base::TimePoint{} + _sinceStart;
}

/// An arrival of a request at a back end, or a crash or start of a back end.
struct back_end_event
{
	base::TimePoint time;
	std::string path;
	size_t node = 0;
};

/// Events of all back ends of the fleet, and the requests that crash them.
struct back_end_record
{
	std::vector<back_end_event> arrivals;
	std::function<void(const back_end_event&)> onArrival;  //!< Called with each arrival; may be empty.
	std::vector<back_end_event> crashes;                   //!< Crashes caused by requests.
	std::vector<base::TimePoint> externalCrashes;          //!< Crashes that no request causes.
	std::vector<std::string> fatal;                        //!< Paths of requests that crash back ends.
	std::vector<back_end_event> starts;                    //!< First reports of restarted back ends.
	bool keepIncarnationName = false;                      //!< Restarted back ends keep their incarnation name.
	base::Duration clockStep{0};                           //!< Step of the back ends' clocks between two starts.

	/// @returns Time from the first report of each restarted back end to its first call.
	std::vector<base::Duration> restartToFirstCall() const;

	bool isFatal(const std::string& _path) const
	{
		return fatal.end() != std::find(fatal.begin(), fatal.end(), _path);
	}

	size_t crashesBy(const std::string& _path) const;

	/// @returns How often a request reached a back end more than _slack after the third crash that it caused.
	size_t arrivalsAfterThirdCrash(const std::string& _path, base::Duration _slack) const;
};

/// A back end that runs requests concurrently, and is down for some seconds after one of them has crashed it.
class crashing_back_end : public fleet_back_end
{
public:
	static constexpr base::Duration kMeanRunTime =
		base::milliseconds(90);                                            //!< Mean; drawn from a third to five thirds.
	static constexpr base::Duration kCrashDelay = base::milliseconds(40);  //!< From a fatal request to the crash.
	static constexpr base::Duration kCloseDetectionDelay =
		base::milliseconds(1);  //!< Until its node detects the closed connection.
	static constexpr base::Duration kRestartDelay = base::milliseconds(3000);  //!< Until the next incarnation starts.

	crashing_back_end(simulation::Process& _process, uint64_t _seed, size_t _node, back_end_record& _record);

	uint64_t send(const wire::CallRequest& _request, base::Duration,
				  std::function<void(node::BackendAnswer)> _done) override;

	/// Sets a header of all further responses; an empty value removes it.
	void setResponseHeader(const std::string& _name, const std::string& _value);

	void cancel(uint64_t _id) override
	{
		m_running.erase(_id);
	}

	/// Drops all running requests, as after the loss of all connections.
	void dropConnections() override
	{
		m_running.clear();
	}

	/// Crashes, with all requests that it runs.
	void crash();

	void crashExternally();

	/// Reports to its node at regular intervals.
	void heartbeat() override;

	bool up() const override
	{
		return m_up;
	}

private:
	struct running_request
	{
		std::function<void(node::BackendAnswer)> done;
		std::string path;
	};

	void complete(uint64_t _id);

	void report();

	simulation::Process& m_process;
	base::RandomSource m_random;
	size_t m_node;
	back_end_record& m_record;
	std::map<uint64_t, running_request> m_running;
	std::vector<wire::HttpHeader> m_responseHeaders;
	uint64_t m_last = 0;
	int m_incarnation = 1;
	base::TimePoint m_startedAt{};
	int64_t m_sequence = 0;
	bool m_up = true;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_INCIDENTS_CRASHING_BACK_END_H_HEADER_GUARD
