/// Distinguishes the crash of a back end from the loss of a connection to it.
#ifndef DRIFTLUG_QUARANTINE_CRASH_WATCH_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_CRASH_WATCH_H_HEADER_GUARD

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "quarantine/crash_history.h"

namespace driftlug::quarantine
{
class back_end_presence;

/// Collects the runs whose connection the back end closed without an answer, until a check shows whether a process
/// still listens at its address. If none does, all these runs were active when the back end crashed. Runs whose
/// connection is found closed shortly afterwards belong to the same crash.
class crash_detector
{
public:
	/// Called with the id of the crash that cut a run; nothing if the back end did not crash.
	using result_handler = std::function<void(std::optional<uint64_t> crash)>;

	/// Called one or more times for each crash with the runs that were active, before their result handlers.
	using crash_handler = std::function<void(uint64_t crash, const std::vector<crashed_run>& runs)>;

	/// @param[in] _time Must outlive the detector.
	/// @param[in] _presence Must outlive the detector.
	crash_detector(const base::TimeSource& _time, base::RandomSource _random, back_end_presence& _presence,
				   crash_handler _onCrash);
	~crash_detector();

	/// Processes a run whose connection was closed without an answer.
	/// @param[in] _done Called once; immediately if the run belongs to a crash that is already known.
	void onDisconnected(const crashed_run& _run, result_handler _done);

	/// Processes a restart of the back end that no check has detected. Runs that were cut during the last 5 s, or are
	/// reported by onDisconnected() within the next 200 ms, were active when it crashed.
	void onRestart();

private:
	struct pending_run
	{
		crashed_run run;
		result_handler done;
	};

	struct recent_run
	{
		crashed_run run;
		base::TimePoint at{};
	};

	void onChecked(bool _gone);
	void beginCrash(const std::vector<crashed_run>& _runs);

	const base::TimeSource& m_time;
	base::RandomSource m_random;
	back_end_presence& m_presence;
	crash_handler m_onCrash;
	std::vector<pending_run> m_pending;
	std::deque<recent_run> m_recentRuns;  //!< Recently cut runs that no check attributed to a crash.
	bool m_checking = false;
	uint64_t m_lastCrash = 0;  //!< Id of the last crash.
	base::TimePoint m_sameCrashUntil{};
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_CRASH_WATCH_H_HEADER_GUARD
