/// Tells the crash of a back end from a lost connection to it.
#ifndef DRIFTLUG_QUARANTINE_CRASH_DETECTOR_H_HEADER_GUARD
#define DRIFTLUG_QUARANTINE_CRASH_DETECTOR_H_HEADER_GUARD

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

/// Runs whose connection the back end closed without an answer wait here, for as long as it takes to ask whether
/// something still listens at its address. If nothing does, all of them were at work on it when it crashed. Those that
/// are found cut a moment later belong to the same crash.
class crash_detector
{
public:
	/// A run that was cut and, once that is known, the crash that cut it; nothing where there was none.
	using result_handler = std::function<void(std::optional<uint64_t> crash)>;

	/// Called for each crash, once or more, with the runs that were at work; before their verdicts.
	using crash_handler = std::function<void(uint64_t crash, const std::vector<crashed_run>& runs)>;

	/// @param[in] _presence Outlives the watch, as the source of time does.
	crash_detector(const base::TimeSource& _time, base::RandomSource _random, back_end_presence& _presence,
				   crash_handler _onCrash);
	~crash_detector();

	/// A run was cut.
	/// @param[in] _verdict Called once, at once where it belongs to a crash that is known already.
	void onCut(const crashed_run& _run, result_handler _done);

	/// The back end has started again without having been found gone: whatever it had cut in the last seconds, and what
	/// is found cut now, was at work on it when it crashed.
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
	std::deque<recent_run> m_recentRuns;  //!< Cut lately, while something listened.
	bool m_checking = false;
	uint64_t m_lastCrash = 0;  //!< The last one.
	base::TimePoint m_sameCrashUntil{};
	std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace driftlug::quarantine

#endif  // DRIFTLUG_QUARANTINE_CRASH_DETECTOR_H_HEADER_GUARD
