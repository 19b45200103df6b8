/// Simulated back ends of several versions on the virtual clock.
#ifndef DRIFTLUG_TEST_ROLLOUT_VERSIONED_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_TEST_ROLLOUT_VERSIONED_BACK_END_H_HEADER_GUARD

#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/fleet_back_end.h"
#include "simulation/process.h"

namespace driftlug::test
{
/// A request that arrived at a back end.
struct version_arrival
{
	base::TimePoint time;
	std::string version;
	size_t node = 0;
	bool bad = false;  //!< Whether it gets a bad answer.
};

/// Requests at all back ends, and the fault of one version.
struct version_record
{
	std::vector<version_arrival> arrivals;
	double badShare = 0;     //!< Share of bad answers of the unhealthy version.
	std::string badVersion;  //!< Unhealthy version; may be empty.

	/// @returns The number of requests to a version since a point in time.
	size_t arrivalsOf(const std::string& _version, base::TimePoint _since) const;
};

/// Back end of one version; answers of the unhealthy version may fail.
class versioned_back_end : public fleet_back_end
{
public:
	static constexpr base::Duration kRun = base::milliseconds(60);  //!< Mean; uniform between 1/3 and 5/3 of it.

	versioned_back_end(simulation::Process& _process, uint64_t _seed, size_t _node, std::string _version, int _slots,
					   version_record& _record);

	uint64_t send(const wire::CallRequest& _request, base::Duration _timeout,
				  std::function<void(node::BackendAnswer)> _done) override;

	void cancel(uint64_t _id) override
	{
		m_running.erase(_id);
	}

	void dropConnections() override
	{
		m_running.clear();
	}

	void heartbeat() override;

	bool up() const override
	{
		return m_up;
	}

	/// Stops the back end; the outcome of its running requests is unknown.
	void stop();

	size_t running() const
	{
		return m_running.size();
	}

private:
	void complete(uint64_t _id, bool _bad);

	simulation::Process& m_process;
	base::RandomSource m_random;
	size_t m_node;
	std::string m_version;
	int m_slots;
	version_record& m_record;
	std::map<uint64_t, std::function<void(node::BackendAnswer)>> m_running;
	uint64_t m_last = 0;
	int64_t m_sequence = 0;
	bool m_up = true;
};

}  // namespace driftlug::test

#endif  // DRIFTLUG_TEST_ROLLOUT_VERSIONED_BACK_END_H_HEADER_GUARD
