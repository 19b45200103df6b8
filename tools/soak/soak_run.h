/// Runs a deployment as processes on loopback, harms them from outside, and checks what callers and back ends see.
#ifndef DRIFTLUG_SOAK_SOAK_RUN_H_HEADER_GUARD
#define DRIFTLUG_SOAK_SOAK_RUN_H_HEADER_GUARD

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "soak/connection_record.h"
#include "soak/soak_plan.h"

namespace driftlug::tools
{
class Fleet;
}

namespace driftlug::soak
{
class crash_keeper;
class fault_injector;
class process_fault_injector;
class promise_watch;

/// How a soak runs.
struct soak_options
{
	uint64_t seed = 1;
	soak_shape shape;
	double rate = 150;         //!< Calls a second.
	double filingShare = 0.2;  //!< Of calls, those that may not be repeated.
	bool rolling = false;      //!< Every node is stopped in turn, twice, instead of a drawn plan.
	int rollingGapMs = 900;    //!< Between two of these stops.
	bool stopByKill = false;   //!< Planned stops kill; proves that the checks trip.
	int recoverMs = 15'000;    //!< Within which all is well again once the last fault is over.
	std::string fatalPath;     //!< Callers ask for it again and again, and it crashes back ends; empty for none.
};

/// One soak of one fleet.
class soak_run
{
public:
	///
	/// @param[in] _fleet A started fleet with a fault proxy; outlives the run.
	///
	soak_run(tools::Fleet& _fleet, const soak_options& _options);
	~soak_run();

	/// Plays the plan and checks the promises.
	/// @returns A report with `broken`, one text for each broken promise.
	nlohmann::json run();

private:
	void play(std::vector<soak_step> _plan);
	bool resolve(soak_step* _step);
	void apply(const soak_step& _step, bool _begin);
	bool isReady(const std::string& _name);
	void applyEnd(const soak_step& _step);
	void turn(int _untilMs);
	void idleUntil(int _atMs);
	void settle();
	void edit();
	void checkRecovery();
	void checkEdits();
	void checkCrashes(nlohmann::json* _report);
	void checkOpenConnections(nlohmann::json* _report);
	void checkRecords(const std::string& _load);
	void mustBeZero(const std::string& _load, const char* _what, int64_t _count);
	void checkCalls(const std::string& _load, nlohmann::json* _report);
	void broken(const std::string& _what);
	int elapsedMs();

	tools::Fleet& m_fleet;
	soak_options m_options;
	std::unique_ptr<process_fault_injector> m_processFaults;
	std::unique_ptr<fault_injector> m_linkFaults;
	std::unique_ptr<promise_watch> m_watch;
	std::unique_ptr<crash_keeper> m_crashes;                  //!< Null where no request crashes back ends.
	std::map<std::string, std::vector<harm_window>> m_harms;  // of processes, by anything but planned stops
	int64_t m_begunUs = 0;
	int m_storms = 0;  // edit storms in progress
	int m_edits = 0;
	int m_unknownEdits = 0;
	int64_t m_lastRevision = 0;
	std::vector<std::string> m_acceptedNotes;
	std::vector<std::string> m_broken;
};

/// @returns What of a fleet may be harmed.
std::vector<soak_target> targetsOf(const tools::Fleet& _fleet);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_SOAK_RUN_H_HEADER_GUARD
