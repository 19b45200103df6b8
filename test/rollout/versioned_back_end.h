/// Back ends of several versions on the virtual clock.
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
/// A request at a back end.
struct version_arrival
{
	base::TimePoint time;
	std::string version;
	size_t node = 0;
	bool bad = false;  //!< It was answered badly.
};

/// What all back ends saw.
struct version_record
{
	std::vector<version_arrival> arrivals;
	double badShare = 0;     //!< Of the answers of the version that is bad.
	std::string badVersion;  //!< May be empty.

	/// @returns Requests to a version since a point in time.
	size_t arrivalsOf(const std::string& _version, base::TimePoint _since) const;
};

/// Works on some requests at once; an answer of the bad version may fail.
class versioned_back_end : public fleet_back_end
{
public:
	static constexpr base::Duration kRun = base::milliseconds(60);  //!< Mean; drawn from a third to five thirds.

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

	/// Ends, with all that it works on.
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
