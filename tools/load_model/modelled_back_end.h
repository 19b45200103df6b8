/// A back end that works on some requests at once, at a speed of its own.
#ifndef DRIFTLUG_LOAD_MODEL_MODELLED_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_MODELLED_BACK_END_H_HEADER_GUARD

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "base/random.h"
#include "load_model/load_pattern.h"
#include "node/call_types.h"
#include "simulation/process.h"

namespace driftlug::load_model
{
/// Calls a kind through the node beside the back end; answers whether it was served.
using nested_call = std::function<void(const std::string& kind, int deadlineMs, std::function<void(bool)>)>;

/// What back ends did, over the run.
struct slot_time_totals
{
	double usefulMs = 0;  //!< Slot time of runs that were answered with success.
	double wastedMs = 0;  //!< Of runs that failed or were cut off.
};

/// Runs a request: its own work, with the calls that it makes before. It holds its slot until it answers.
class modelled_back_end : public node::BackendClient
{
public:
	/// @param[in] _kinds By name; outlives the back end, as all else given here does.
	modelled_back_end(simulation::Process& _process, base::RandomSource _random, const service_pattern& _service,
					  double _speed, const std::map<std::string, kind_pattern>& _kinds, slot_time_totals& _totals);

	void useNestedCalls(nested_call _call)
	{
		m_call = std::move(_call);
	}

	uint64_t send(const wire::CallRequest& _request, base::Duration _timeout,
				  std::function<void(node::BackendAnswer)> _done) override;
	void cancel(uint64_t _id) override;

	/// Nothing listens at its address, or it does again; what it works on is lost.
	void setUp(bool _up);

	bool isUp() const
	{
		return m_up;
	}

private:
	struct run
	{
		const kind_pattern* kind = nullptr;
		std::function<void(node::BackendAnswer)> done;
		base::TimePoint deadline{};
		base::TimePoint startedAt{};
		bool started = false;
		int pendingCalls = 0;    //!< Nested calls without an answer.
		int remainingCalls = 0;  //!< Nested calls that are still to be made.
		bool failed = false;
	};

	void startNext();
	void start(uint64_t _id);
	void callNested(uint64_t _id);
	void onNested(uint64_t _id, bool _served);
	void work(uint64_t _id);
	void finish(uint64_t _id, int _status);
	double drawWorkMs(const kind_pattern& _kind);

	simulation::Process& m_process;
	base::RandomSource m_random;
	const service_pattern& m_service;
	double m_speed;
	const std::map<std::string, kind_pattern>& m_kinds;
	slot_time_totals& m_totals;
	nested_call m_call;  //!< May be empty.
	std::map<uint64_t, run> m_runs;
	std::deque<uint64_t> m_waiting;
	int m_busySlots = 0;
	uint64_t m_lastId = 0;
	bool m_up = true;
};

}  // namespace driftlug::load_model

#endif  // DRIFTLUG_LOAD_MODEL_MODELLED_BACK_END_H_HEADER_GUARD
