/// A modelled back end with a fixed number of slots and a speed factor.
#ifndef DRIFTLUG_LOAD_MODEL_MODELLED_BACK_END_H_HEADER_GUARD
#define DRIFTLUG_LOAD_MODEL_MODELLED_BACK_END_H_HEADER_GUARD

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random.h"
#include "load_model/load_pattern.h"
#include "node/call_types.h"
#include "simulation/process.h"

namespace driftlug::load_model
{
/// Makes a nested call through the local node; the callback receives whether it was served.
using nested_call = std::function<void(const std::string& kind, int deadlineMs, std::function<void(bool)>)>;

/// Slot time that back ends used during a run, in total.
struct slot_time_totals
{
	double usefulMs = 0;  //!< Of requests that succeeded.
	double wastedMs = 0;  //!< Of requests that failed or were cancelled.
};

/// Runs requests: first the nested calls, then the request's own work. A request holds its slot until it completes.
class modelled_back_end : public node::BackendClient
{
public:
	/// Response header with the load, in lower case.
	static constexpr char kLoadHeader[] = "x-load";

	/// @param[in] _kinds Kinds by name. All references must outlive the back end.
	modelled_back_end(simulation::Process& _process, base::RandomSource _random, const service_pattern& _service,
					  double _speed, const std::map<std::string, kind_pattern>& _kinds, slot_time_totals& _totals);

	void useNestedCalls(nested_call _call)
	{
		m_call = std::move(_call);
	}

	uint64_t send(const wire::CallRequest& _request, base::Duration _timeout,
				  std::function<void(node::BackendAnswer)> _done) override;
	void cancel(uint64_t _id) override;

	/// Starts or stops the back end; stopping it fails all its requests with an unknown outcome.
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
		int pendingCalls = 0;    //!< Nested calls in flight.
		int remainingCalls = 0;  //!< Nested calls not yet made.
		bool failed = false;
	};

	void startNext();
	void start(uint64_t _id);
	void callNested(uint64_t _id);
	void onNested(uint64_t _id, bool _served);
	void work(uint64_t _id);
	void finish(uint64_t _id, int _status);
	double drawWorkMs(const kind_pattern& _kind);
	void drawPace();
	std::vector<wire::HttpHeader> loadHeaders() const;

	simulation::Process& m_process;
	base::RandomSource m_random;
	const service_pattern& m_service;
	double m_speed;
	double m_pace = 1;  //!< Factor by which work that starts now takes longer than usual.
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
