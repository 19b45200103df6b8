/// Injects faults into a deployment running as processes on loopback, and checks the results seen by callers and back
/// ends.
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
class back_end_supervisor;
class fault_injector;
class process_fault_injector;
class invariant_checker;

/// Options of a soak.
struct soak_options
{
	uint64_t seed = 1;
	plan_options planOptions;
	double rate = 150;             //!< Calls per second.
	double filingShare = 0.2;      //!< Share of calls that may not be repeated.
	bool rolling = false;          //!< Stops every node in turn, twice, instead of using a random plan.
	int rollingStopGapMs = 900;    //!< Time between two of these stops.
	bool stopByKill = false;       //!< Planned stops send SIGKILL, to verify that the checks fail.
	int recoveryLimitMs = 15'000;  //!< Time limit for full recovery after the last fault.
	std::string fatalPath;         //!< Path that callers keep requesting and that crashes back ends; empty for none.
};

/// Runs one soak on a fleet.
class soak_run
{
public:
	///
	/// @param[in] _fleet A started fleet with a fault proxy; outlives the run.
	///
	soak_run(tools::Fleet& _fleet, const soak_options& _options);
	~soak_run();

	/// Runs the plan and checks the guarantees.
	/// @returns A report, whose `broken` lists one description per violation.
	nlohmann::json run();

private:
	void runPlan(std::vector<soak_step> _plan);
	bool resolve(soak_step* _step);
	void apply(const soak_step& _step, bool _begin);
	bool isReady(const std::string& _name);
	void applyEnd(const soak_step& _step);
	void pollOnce(int _untilMs);
	void pollUntil(int _atMs);
	void waitForRestarts();
	void edit();
	void checkRecovery();
	void checkEdits();
	void checkCrashes(nlohmann::json* _report);
	void checkOpenConnections(nlohmann::json* _report);
	void checkRecords(const std::string& _load);
	void expectZero(const std::string& _load, const char* _what, int64_t _count);
	void checkCalls(const std::string& _load, nlohmann::json* _report);
	void addViolation(const std::string& _what);
	int elapsedMs();

	tools::Fleet& m_fleet;
	soak_options m_options;
	std::unique_ptr<process_fault_injector> m_processFaults;
	std::unique_ptr<fault_injector> m_linkFaults;
	std::unique_ptr<invariant_checker> m_checker;
	std::unique_ptr<back_end_supervisor> m_supervisor;  //!< Null if fatalPath is empty.
	std::map<std::string, std::vector<fault_window>>
		m_faultWindows;  // kills and pauses by process; planned stops excuse nothing
	int64_t m_startedUs = 0;
	int m_activeEditStorms = 0;  // edit storms in progress
	int m_edits = 0;
	int m_unknownEdits = 0;
	int64_t m_lastRevision = 0;
	std::vector<std::string> m_acceptedNotes;
	std::vector<std::string> m_violations;
};

/// @returns The processes of a fleet that faults may be applied to.
std::vector<soak_target> targetsOf(const tools::Fleet& _fleet);

}  // namespace driftlug::soak

#endif  // DRIFTLUG_SOAK_SOAK_RUN_H_HEADER_GUARD
