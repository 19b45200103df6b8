/// Back ends on the virtual clock that some requests crash.
#ifndef DRIFTLUG_TEST_INCIDENTS_CRASHING_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_TEST_INCIDENTS_CRASHING_BACK_END_H_HEADER_GUARD

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
constexpr int64_t kClockAtStart = 1'764'720'000'000;  // Unix milliseconds, of the clocks of back ends

inline base::TimePoint at(base::Duration _sinceStart)
{
	return base::TimePoint{} + _sinceStart;
}

/// Something that a back end saw.
struct arrival
{
	base::TimePoint time;
	std::string path;
	size_t node = 0;
};

/// What all back ends of the fleet saw, and which requests crash them.
struct back_end_record
{
	std::vector<arrival> arrivals;
	std::vector<arrival> crashes;        //!< By requests.
	std::vector<base::TimePoint> plain;  //!< From outside.
	std::vector<std::string> fatal;      //!< Paths of requests that crash what runs them.
	std::vector<arrival> starts;         //!< First reports of back ends that have started again.
	bool sameName = false;               //!< Back ends start again under the name that they had.
	base::Duration clockStep{0};         //!< Between two starts, on the clock that they tell their starts by.

	/// @returns How long after its first report each back end that started again got its first call.
	std::vector<base::Duration> untilFirstCall() const;

	bool isFatal(const std::string& _path) const
	{
		return fatal.end() != std::find(fatal.begin(), fatal.end(), _path);
	}

	size_t crashesBy(const std::string& _path) const;

	/// @returns How often a request reached a back end later than _slack after it had crashed the third.
	size_t arrivalsPastThird(const std::string& _path, base::Duration _slack) const;
};

/// A back end that works on some requests at once, and is away for some seconds when one of them crashes it.
class crashing_back_end : public fleet_back_end
{
public:
	static constexpr base::Duration kRun = base::milliseconds(90);       //!< Mean; drawn from a third to five thirds.
	static constexpr base::Duration kFatalRun = base::milliseconds(40);  //!< Until the crash.
	static constexpr base::Duration kNotices = base::milliseconds(1);    //!< Until its node sees a closed connection.
	static constexpr base::Duration kBackAfter = base::milliseconds(3000);  //!< The next incarnation.

	crashing_back_end(simulation::Process& _process, uint64_t _seed, size_t _node, back_end_record& _record);

	uint64_t send(const wire::CallRequest& _request, base::Duration,
				  std::function<void(node::BackendAnswer)> _done) override;

	void cancel(uint64_t _id) override
	{
		m_running.erase(_id);
	}

	/// All connections are lost; it works on nothing more.
	void dropConnections() override
	{
		m_running.clear();
	}

	/// Ends, with all that it works on.
	void crash();

	void crashPlainly();

	/// Tells its node of itself, now and then.
	void heartbeat() override;

	bool up() const override
	{
		return m_up;
	}

private:
	struct running
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
	std::map<uint64_t, running> m_running;
	uint64_t m_last = 0;
	int m_incarnation = 1;
	base::TimePoint m_startedAt{};
	int64_t m_sequence = 0;
	bool m_up = true;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_INCIDENTS_CRASHING_BACK_END_H_HEADER_GUARD
